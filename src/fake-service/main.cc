#include <CLI/CLI.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>

#include "../fake-common/stand_in.h"
#include "corneltray/time.h"

// Stand-in for a plain service (ledger, booking): books once for each call, without regard to the
// key, so that every duplicate call shows in the counts.

namespace corneltray::fake {
namespace {

using nlohmann::json;

struct ServiceOptions {
  std::string service = "ledger";
  std::string name = "ledger-0";
  std::string availability_zone = "dkr-a";
  std::string store;  // file that replicas share; empty: bookings stay in this process
  bool has_lookup = true;
};

class FakeService {
 public:
  FakeService(ServiceOptions options, StandInServer* server)
      : m_options(std::move(options)), m_incarnation(UnixNow()), m_server(server) {}

  json Announcement(const std::string& address) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {{"kind", "service"},
            {"service", m_options.service},
            {"name", m_options.name},
            {"incarnation", m_incarnation},
            {"availability_zone", m_options.availability_zone},
            {"address", address},
            {"state", m_leaving_since > 0 ? "leaving" : "ready"},
            {"load", {{"running", m_running}, {"waiting", 0}, {"kv_used", 0.0}}}};
  }

  HttpReply Book(const HttpRequest& request) {
    const auto header = request.headers.find("idempotency-key");
    const std::string key = header == request.headers.end() ? "" : header->second;
    std::unique_lock<std::mutex> lock(m_mutex);
    ++m_calls[key];
    if (m_leaving_since > 0) m_after_leaving.push_back(UnixNow());
    ++m_running;
    Pause(lock, "before", key);
    const std::string body = Record(key, request.body);
    Pause(lock, "after", key);
    --m_running;
    return {201, body, "application/json", nullptr};
  }

  HttpReply Lookup(const HttpRequest& request) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_lookups;
    if (!m_options.has_lookup) return ErrorReply(404, "no_such_path", "this service has no lookup");
    for (const auto& [key, body] : ReadBookings()) {
      if (key == request.captures[0]) return {200, body, "application/json", nullptr};
    }
    return ErrorReply(404, "no_booking", "no booking has this key");
  }

  // The same answer from every replica.
  HttpReply Stock(const HttpRequest& request) {
    std::unique_lock<std::mutex> lock(m_mutex);
    ++m_stock_reads;
    if (m_leaving_since > 0) m_after_leaving.push_back(UnixNow());
    WaitSlow(lock);
    std::uint32_t level = 7;
    for (const char c : request.captures[0]) {
      level = (level * 31 + static_cast<unsigned char>(c)) % 1000;
    }
    return JsonReply(200, {{"item", request.captures[0]}, {"level", level}});
  }

  HttpReply SetFault(const HttpRequest& request) {
    const auto body = ParseObject(request.body);
    if (!body) return ErrorReply(400, "malformed_body", "expected a JSON object");
    const std::string fault = body->value("fault", "");
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (fault == "die" && !body->contains("moment")) std::_Exit(1);
    if (fault == "die" || fault == "hold") {
      m_call_faults[body->value("key", "")] = {fault, body->value("moment", "before")};
    } else if (fault == "release") {
      m_call_faults.erase(body->value("key", ""));
      m_changed.notify_all();
    } else if (fault == "slow") {
      m_delay = std::chrono::milliseconds(body->value("delay_ms", 1000));
    } else if (fault == "freeze") {
      m_server->SetFrozen(true);
    } else if (fault == "silent") {
      m_server->SilenceOpenConnections();
    } else if (fault == "refuse") {
      m_server->RefuseConnections();
    } else if (fault == "leave") {
      m_leaving_since = UnixNow();
      m_announcer->Kick();
    } else if (fault == "stop_announcing") {
      m_announcer->SetStopped(true);
    } else if (fault == "none") {
      m_call_faults.clear();
      m_delay = {};
      m_server->SetFrozen(false);
      m_announcer->SetStopped(false);
      m_changed.notify_all();
    } else {
      return ErrorReply(400, "unknown_fault", fault);
    }
    return JsonReply(200, {{"fault", fault}});
  }

  json Counts() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::map<std::string, std::uint64_t> bookings;
    for (const auto& row : ReadBookings()) ++bookings[row.first];
    return {{"name", m_options.name},
            {"calls", m_calls},
            {"bookings", bookings},
            {"lookups", m_lookups},
            {"stock", m_stock_reads},
            {"running", m_running},
            {"held", m_held},
            {"leaving_since_ms", m_leaving_since},
            {"after_leaving", m_after_leaving}};
  }

  void SetAnnouncer(Announcer* announcer) { m_announcer = announcer; }

 private:
  // A fault of single calls: "die" or "hold", "before" or "after" the booking is recorded.
  struct CallFault {
    std::string fault;
    std::string moment;
  };

  // Returns the fault set for this key, or for every key, at this moment of a booking.
  std::string FaultOf(const std::string& key, const std::string& moment) const {
    auto found = m_call_faults.find(key);
    if (found == m_call_faults.end()) found = m_call_faults.find("");
    if (found == m_call_faults.end() || found->second.moment != moment) return "";
    return found->second.fault;
  }

  void Pause(std::unique_lock<std::mutex>& lock, const std::string& moment,
             const std::string& key) {
    if (moment == "before") WaitSlow(lock);
    const std::string fault = FaultOf(key, moment);
    if (fault.empty()) return;
    if (fault == "die") std::_Exit(1);
    ++m_held;
    PrintEvent({{"event", "held"}, {"moment", moment}, {"key", key}});
    m_changed.wait(lock, [&] { return FaultOf(key, moment).empty(); });
    --m_held;
  }

  void WaitSlow(std::unique_lock<std::mutex>& lock) {
    if (m_delay.count() == 0) return;
    const auto until = std::chrono::steady_clock::now() + m_delay;
    m_changed.wait_until(lock, until, [this] { return m_delay.count() == 0; });
  }

  std::string Record(const std::string& key, const std::string& request) {
    const std::string id =
        m_options.name + "-" + std::to_string(m_incarnation) + "-" + std::to_string(++m_booked);
    const json row = {{"id", id}, {"key", key}, {"replica", m_options.name}, {"request", request}};
    std::string line = row.dump();
    if (m_options.store.empty()) {
      m_bookings.emplace_back(key, line);
    } else {
      // One write in append mode, so that lines of several replicas never mix.
      std::FILE* file = std::fopen(m_options.store.c_str(), "a");
      if (file == nullptr) std::_Exit(2);
      std::fputs((line + "\n").c_str(), file);
      std::fclose(file);
    }
    return line;
  }

  std::vector<std::pair<std::string, std::string>> ReadBookings() const {
    if (m_options.store.empty()) return m_bookings;
    std::vector<std::pair<std::string, std::string>> rows;
    std::ifstream file(m_options.store);
    for (std::string line; std::getline(file, line);) {
      if (const auto row = ParseObject(line)) rows.emplace_back(row->value("key", ""), line);
    }
    return rows;
  }

  const ServiceOptions m_options;
  const UnixMs m_incarnation;
  StandInServer* m_server;
  Announcer* m_announcer = nullptr;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<std::pair<std::string, std::string>> m_bookings;  // key and answer, in order
  std::map<std::string, std::uint64_t> m_calls;
  std::uint64_t m_booked = 0;
  std::uint64_t m_lookups = 0;
  std::uint64_t m_stock_reads = 0;
  std::uint64_t m_running = 0;
  std::uint64_t m_held = 0;
  std::map<std::string, CallFault> m_call_faults;  // by key; "" is every key
  std::chrono::milliseconds m_delay{0};
  UnixMs m_leaving_since = 0;
  std::vector<UnixMs> m_after_leaving;
};

int Run(int argc, char** argv) {
  ServiceOptions options;
  ServeOptions serve;
  bool no_lookup = false;
  CLI::App app{"Stand-in for a plain service"};
  app.add_option("--service", options.service, "service name");
  app.add_option("--name", options.name, "replica name");
  app.add_option("--availability-zone", options.availability_zone, "zone of this replica");
  app.add_option("--listen", serve.listen, "IP:PORT, port 0 picks a free one");
  app.add_option("--advertise", serve.advertise,
                 "IP:PORT to announce instead of the bound address");
  app.add_option("--announce", serve.targets, "IP:PORT of an entry process; repeatable");
  app.add_option("--store", options.store, "file of bookings that replicas share");
  app.add_flag("--no-lookup", no_lookup, "leave out the lookup of bookings");
  CLI11_PARSE(app, argc, argv);
  options.has_lookup = !no_lookup;
  BlockStopSignals();
  StandInServer server;
  FakeService service(options, &server);
  using Request = HttpRequest;
  server.Route("POST", "/v1/bookings", [&](const Request& r) { return service.Book(r); });
  server.Route("GET", "/v1/bookings/([^/]+)", [&](const Request& r) { return service.Lookup(r); });
  server.Route("GET", "/v1/stock/([^/]+)", [&](const Request& r) { return service.Stock(r); });
  server.Route("POST", "/fake/fault", [&](const Request& r) { return service.SetFault(r); });
  server.Route("GET", "/fake/counts",
               [&](const Request&) { return JsonReply(200, service.Counts()); });
  return ServeUntilStopped(
      &server, serve, [&](const std::string& address) { return service.Announcement(address); },
      [&](Announcer* announcer) { service.SetAnnouncer(announcer); },
      [&] { return service.Counts(); });
}

}  // namespace
}  // namespace corneltray::fake

int main(int argc, char** argv) { return corneltray::fake::Run(argc, argv); }
