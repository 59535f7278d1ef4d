#include "stand_in.h"

#include <httplib.h>
#include <pthread.h>

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace corneltray::fake {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kPollInterval{5};
constexpr milliseconds kAnnounceTimeout{400};
constexpr time_t kKeepAliveSeconds = 60;
constexpr std::size_t kKeepAliveRequests = 1'000'000'000;

// State of the connection that the current thread serves.
struct ConnectionState {
  std::uint64_t epoch = 0;  // silent once the server's epoch is greater
  std::vector<std::function<void()>> at_end;
};
thread_local ConnectionState t_connection;

// Without SO_REUSEPORT, which lets two processes bind the same port by mistake.
void SetSocketOptions(socket_t socket) {
  int yes = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
}

std::pair<std::string, int> SplitAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return {address, 0};
  return {address.substr(0, colon), std::atoi(address.c_str() + colon + 1)};  // NOLINT
}

// Runs each connection on a thread of its own.
class ThreadPerConnection : public httplib::TaskQueue {
 public:
  explicit ThreadPerConnection(std::atomic<std::uint64_t>* epoch) : m_epoch(epoch) {}

  void enqueue(std::function<void()> serve) override {  // NOLINT: named by cpp-httplib
    std::thread([serve = std::move(serve), epoch = m_epoch] {
      t_connection.epoch = *epoch;
      serve();
      for (const auto& function : t_connection.at_end) function();
      t_connection.at_end.clear();
    }).detach();
  }
  // Open connections outlive the listener; the process ends without waiting for them.
  void shutdown() override {}  // NOLINT: named by cpp-httplib

 private:
  std::atomic<std::uint64_t>* m_epoch;
};

}  // namespace

HttpReply JsonReply(int status, const json& body) {
  return {status, body.dump(), "application/json", nullptr};
}

HttpReply ErrorReply(int status, const std::string& code, const std::string& message) {
  return JsonReply(status, {{"error", {{"code", code}, {"message", message}}}});
}

std::optional<json> ParseObject(const std::string& text) {
  json body = json::parse(text, nullptr, false);
  if (!body.is_object()) return std::nullopt;
  return body;
}

class StandInServer::Impl {
 public:
  Impl() {
    m_server.new_task_queue = [this] { return new ThreadPerConnection(&m_epoch); };
    m_server.set_socket_options(SetSocketOptions);
    m_server.set_tcp_nodelay(true);
    m_server.set_keep_alive_timeout(kKeepAliveSeconds);
    m_server.set_keep_alive_max_count(kKeepAliveRequests);
  }

  void Route(const std::string& method, const std::string& pattern, Handler handler) {
    const auto serve = [this, handler = std::move(handler)](const httplib::Request& from,
                                                            httplib::Response& to) {
      Serve(handler, from, to);
    };
    if (method == "GET") {
      m_server.Get(pattern, serve);
    } else {
      m_server.Post(pattern, serve);
    }
  }

  std::optional<std::string> Start(const std::string& address) {
    const auto [host, port] = SplitAddress(address);
    int bound = port;
    if (port == 0) {
      bound = m_server.bind_to_any_port(host);
      if (bound < 0) return std::nullopt;
    } else if (!m_server.bind_to_port(host, port)) {
      return std::nullopt;
    }
    std::thread([this] { m_server.listen_after_bind(); }).detach();
    return host + ":" + std::to_string(bound);
  }

  void RefuseConnections() { m_server.stop(); }
  void SetFrozen(bool frozen) { m_frozen = frozen; }
  void SilenceOpenConnections() { ++m_epoch; }

  bool IsHeld() const { return m_frozen || t_connection.epoch < m_epoch; }

  void WaitWhileFrozen(const std::function<bool()>& is_cancelled) {
    while (m_frozen && !is_cancelled()) std::this_thread::sleep_for(kPollInterval);
  }

 private:
  // Adds the server's faults to a chunked answer.
  class Sink : public StreamSink {
   public:
    Sink(Impl* impl, httplib::DataSink* sink) : m_impl(impl), m_sink(sink) {}
    bool Write(std::string_view bytes) override {
      while (m_impl->IsHeld()) {
        if (!IsOpen()) return false;
        std::this_thread::sleep_for(kPollInterval);
      }
      return m_sink->write(bytes.data(), bytes.size());
    }
    bool IsOpen() override { return m_sink->is_writable(); }

   private:
    Impl* m_impl;
    httplib::DataSink* m_sink;
  };

  void Serve(const Handler& handler, const httplib::Request& from, httplib::Response& to) {
    const bool can_be_held = from.path.rfind("/fake/", 0) != 0;
    while (can_be_held && IsHeld()) std::this_thread::sleep_for(kPollInterval);
    HttpRequest request{from.method, from.path, {}, {}, {}, from.body};
    for (std::size_t i = 1; i < from.matches.size(); ++i) {
      request.captures.push_back(from.matches[i]);
    }
    for (const auto& [name, value] : from.headers) {
      std::string lower = name;
      std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
      request.headers[lower] = value;
    }
    for (const auto& [name, value] : from.params) request.query[name] = value;
    HttpReply reply = handler(request);
    while (can_be_held && IsHeld()) std::this_thread::sleep_for(kPollInterval);
    to.status = reply.status;
    if (!reply.stream) {
      to.set_content(reply.body, reply.content_type);
      return;
    }
    to.set_chunked_content_provider(reply.content_type, [this, stream = std::move(reply.stream)](
                                                            std::size_t, httplib::DataSink& sink) {
      Sink held_sink(this, &sink);
      stream(held_sink);
      sink.done();
      return true;
    });
  }

  httplib::Server m_server;
  std::atomic<bool> m_frozen{false};
  std::atomic<std::uint64_t> m_epoch{0};
};

StandInServer::StandInServer() : m_impl(std::make_unique<Impl>()) {}
StandInServer::~StandInServer() = default;
void StandInServer::Route(const std::string& method, const std::string& pattern, Handler handler) {
  m_impl->Route(method, pattern, std::move(handler));
}
std::optional<std::string> StandInServer::Start(const std::string& address) {
  return m_impl->Start(address);
}
void StandInServer::RefuseConnections() { m_impl->RefuseConnections(); }
void StandInServer::SetFrozen(bool frozen) { m_impl->SetFrozen(frozen); }
void StandInServer::SilenceOpenConnections() { m_impl->SilenceOpenConnections(); }
void StandInServer::WaitWhileFrozen(const std::function<bool()>& is_cancelled) {
  m_impl->WaitWhileFrozen(is_cancelled);
}
void StandInServer::AtConnectionEnd(std::function<void()> function) {
  t_connection.at_end.push_back(std::move(function));
}

class HttpConnection::Impl {
 public:
  Impl(const std::string& address, milliseconds timeout)
      : m_client(SplitAddress(address).first, SplitAddress(address).second) {
    m_client.set_keep_alive(true);
    m_client.set_tcp_nodelay(true);
    m_client.set_connection_timeout(timeout);
    m_client.set_read_timeout(timeout);
  }
  std::optional<HttpReply> Finish(const httplib::Result& result) const {
    if (!result || m_aborted) return std::nullopt;
    return HttpReply{result->status, result->body, result->get_header_value("Content-Type"), {}};
  }
  void Abort() {
    m_aborted = true;
    m_client.stop();
  }

  std::mutex m_mutex;
  std::atomic<bool> m_aborted{false};
  httplib::Client m_client;
};

HttpConnection::HttpConnection(const std::string& address, milliseconds timeout)
    : m_impl(std::make_unique<Impl>(address, timeout)) {}
HttpConnection::~HttpConnection() = default;

std::optional<HttpReply> HttpConnection::Post(const std::string& path, const json& body) {
  const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
  if (m_impl->m_aborted) return std::nullopt;
  return m_impl->Finish(m_impl->m_client.Post(path, body.dump(), "application/json"));
}
std::optional<HttpReply> HttpConnection::Get(const std::string& path) {
  const std::lock_guard<std::mutex> lock(m_impl->m_mutex);
  if (m_impl->m_aborted) return std::nullopt;
  return m_impl->Finish(m_impl->m_client.Get(path));
}
void HttpConnection::Abort() { m_impl->Abort(); }

Announcer::Announcer(std::vector<std::string> targets, std::function<json()> make)
    : m_initial_targets(std::move(targets)),
      m_targets(m_initial_targets),
      m_make(std::move(make)) {}

Announcer::~Announcer() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_ending = true;
  }
  m_changed.notify_all();
  if (m_thread.joinable()) m_thread.join();
}

void Announcer::Start() {
  m_thread = std::thread([this] { Run(); });
}

void Announcer::Kick() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_kicked = true;
  }
  m_changed.notify_all();
}

void Announcer::SetStopped(bool stopped) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_stopped = stopped;
}

void Announcer::Run() {
  std::unique_lock<std::mutex> lock(m_mutex);
  while (!m_ending) {
    if (!m_stopped && !m_targets.empty()) {
      lock.unlock();
      json body = m_make();
      body["sequence"] = ++m_sent;
      if (!AnnounceOnce(body)) m_targets = m_initial_targets;
      lock.lock();
    }
    m_changed.wait_for(lock, m_interval, [this] { return m_kicked || m_ending; });
    m_kicked = false;
  }
}

bool Announcer::AnnounceOnce(const json& body) {
  // One attempt with each target, so that a dead entry host costs one timeout and no announcement.
  for (std::size_t i = 0; i < m_targets.size(); ++i) {
    const std::string target = m_targets[m_next_target++ % m_targets.size()];
    const auto reply = HttpConnection(target, kAnnounceTimeout).Post("/v1/announce", body);
    if (!reply || reply->status != 200) continue;
    const auto answer = ParseObject(reply->body);
    if (!answer) return true;
    m_interval = milliseconds(std::clamp(answer->value("next_ms", 1000), 10, 60'000));
    const auto next = answer->value("announce_to", std::vector<std::string>{});
    if (!next.empty()) m_targets = next;
    return true;
  }
  return false;
}

void PrintEvent(const json& event) {
  const std::string line = event.dump() + "\n";
  std::fwrite(line.data(), 1, line.size(), stdout);
  std::fflush(stdout);
}

void BlockStopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);  // NOLINT
}

void WaitForStopSignal(const std::function<json()>& counts) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int signal = 0;
  sigwait(&signals, &signal);
  PrintEvent({{"event", "stopped"}, {"counts", counts()}});
  std::_Exit(0);
}

int ServeUntilStopped(StandInServer* server, const ServeOptions& options,
                      const std::function<json(const std::string& address)>& announcement,
                      const std::function<void(Announcer*)>& set_announcer,
                      const std::function<json()>& counts) {
  std::string address;
  Announcer announcer(options.targets, [&] { return announcement(address); });
  set_announcer(&announcer);
  const auto bound = server->Start(options.listen);
  if (!bound) {
    PrintEvent({{"event", "listen_failed"}, {"address", options.listen}});
    return 1;
  }
  address = options.advertise.empty() ? *bound : options.advertise;
  announcer.Start();
  PrintEvent({{"event", "listening"}, {"http_address", *bound}});
  WaitForStopSignal(counts);
}

}  // namespace corneltray::fake
