#ifndef CORNELTRAY_HTTP_API_TEST_H_
#define CORNELTRAY_HTTP_API_TEST_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "corneltray/background_queue.h"
#include "corneltray/control_client.h"
#include "corneltray/control_state.h"
#include "corneltray/http_api.h"
#include "corneltray/metrics.h"
#include "corneltray/routing_state.h"
#include "corneltray/upstream_client.h"
#include "test_socket.h"

namespace corneltray {

// The replicated log in memory, with faults on the way to it.
class MemoryControl : public ControlClient {
 public:
  enum class Fault { kNone, kUnreachable, kReplyLost };

  Result<CommandReply> Propose(const Command& command, TimePoint) override {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_fault == Fault::kUnreachable) return Error{ControlErrc::kNotProposed, "test"};
    const CommandReply reply = m_state.Apply(command, UnixNow());
    if (m_fault == Fault::kReplyLost && m_lost++ < 1) {
      return Error{ControlErrc::kUnavailable, "test"};
    }
    return reply;
  }
  Result<BookingReply> ReadBooking(const BookingKey& key, TimePoint) override {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_fault == Fault::kUnreachable) return Error{ControlErrc::kUnavailable, "test"};
    return m_state.ReadBooking(key);
  }
  void SetFault(Fault fault) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_fault = fault;
    m_lost = 0;
  }

 private:
  std::mutex m_mutex;
  ControlState m_state;
  Fault m_fault = Fault::kNone;
  int m_lost = 0;
};

// The parts of an entry process without its server and its links.
class TestEntry {
 public:
  explicit TestEntry(const std::string& configuration)
      : routing("entry-1", "dkr-a"), engines(&watchdog), services(&watchdog) {
    const ParsedDocument parsed = ParseConfiguration({configuration, {}}, "dkr");
    m_configuration = std::make_shared<Configuration>(MakeConfiguration(parsed.values, "dkr", 7));
    routing.SetConfiguration(*m_configuration);
    context.host = "entry-1";
    context.configuration = [this] { return m_configuration; };
    context.is_draining = [this] { return draining.load(); };
    context.routing = &routing;
    context.engines = &engines;
    context.services = &services;
    context.control = &control;
    context.background = &background;
    context.metrics = &metrics;
  }

  void AddEngine(const std::string& name, const std::string& address, std::uint32_t first,
                 std::uint32_t last) {
    UpstreamView view;
    view.announcement.name = name;
    view.announcement.address = address;
    view.announcement.availability_zone = "dkr-a";
    view.announcement.layers_per_s = 100;
    view.announcement.holdings = {{{"assistant", "1", ""}, first, last, HoldingState::kReady}};
    Add(view);
  }
  void AddService(const std::string& name, const std::string& address) {
    UpstreamView view;
    view.announcement.kind = UpstreamKind::kService;
    view.announcement.service = "ledger";
    view.announcement.name = name;
    view.announcement.address = address;
    view.announcement.availability_zone = "dkr-a";
    Add(view);
  }

  std::atomic<bool> draining{false};
  RoutingState routing;
  CallWatchdog watchdog;
  EngineClient engines;
  ServiceClient services;
  MemoryControl control;
  Metrics metrics;
  BackgroundQueue background{2, 100};
  EntryContext context;

 private:
  void Add(const UpstreamView& view) {
    m_upstreams.push_back(view);
    routing.SetUpstreams(m_upstreams);
  }

  std::shared_ptr<const Configuration> m_configuration;
  std::vector<UpstreamView> m_upstreams;
};

constexpr char kTestConfiguration[] = R"(
[[model]]
name = "assistant"
version = "1"
adapters = ["wolof"]
layers = 24
bytes_per_layer = 1000
max_prompt_bytes = 100
max_tokens = 50

[[model]]
name = "unplaced"
version = "1"
layers = 4
bytes_per_layer = 1000

[[customer]]
name = "committee"
key = "0123456789abcdef"
requests_per_s = 10000.0
burst = 10000.0

[[customer]]
name = "small"
key = "small-0123456789"
requests_per_s = 0.001
burst = 1.0

[[service]]
name = "ledger"
lookup_path = "/v1/bookings/{key}"
idempotent_calls = ["POST /v1/quotes"]

[routing]
first_token_timeout_ms = 200
progress_timeout_ms = 200

[bookings]
resolve_after_ms = 100

[limits]
max_body_bytes = 2000
default_deadline_ms = 5000
)";

inline HttpRequest TestRequest(const std::string& method, const std::string& target,
                               const std::string& body,
                               std::vector<std::pair<std::string, std::string>> headers = {},
                               const std::string& key = "0123456789abcdef") {
  HttpRequest request;
  request.method = method;
  request.target = target;
  request.body = body;
  request.headers = std::move(headers);
  if (!key.empty()) request.headers.emplace_back("authorization", "Bearer " + key);
  request.has_hung_up = [] { return false; };
  return request;
}

// Returns a value of a response header, or an empty text.
inline std::string HeaderOf(const HttpResponse& response, const std::string& name) {
  for (const auto& [key, value] : response.headers) {
    if (key == name) return value;
  }
  return "";
}

inline nlohmann::json ErrorOf(const HttpResponse& response) {
  const auto body = nlohmann::json::parse(response.body, nullptr, false);
  return body.is_object() ? body.value("error", nlohmann::json::object()) : nlohmann::json();
}

}  // namespace corneltray

#endif  // CORNELTRAY_HTTP_API_TEST_H_
