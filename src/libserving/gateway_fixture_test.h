#ifndef CORNELTRAY_GATEWAY_FIXTURE_TEST_H_
#define CORNELTRAY_GATEWAY_FIXTURE_TEST_H_

#include <doctest/doctest.h>

#include <atomic>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../libcorneltray/test_socket.h"
#include "../libhttp/event_loop_test.h"
#include "corneltray/gateway.h"
#include "dialect_test.h"
#include "engine_fleet_test.h"

namespace corneltray {

inline RouteEntry MakeRoute(const std::string& prefix, CallKind kind, const std::string& service) {
  RouteEntry route;
  route.name = prefix;
  route.host = "h";
  route.prefix = prefix;
  route.kind = kind;
  route.timeout = std::chrono::milliseconds(3000);
  route.objective = std::chrono::milliseconds(100);
  route.max_upstreams = 2;
  route.is_resumable = true;
  route.targets = {{service, 1}};
  return route;
}

inline RouteTable MakeTable(std::uint64_t version) {
  RouteTable table;
  table.version = version;
  table.services["plain"].name = "plain";
  table.services["model"].name = "model";
  table.services["model"].engine = TestProfile();
  // Large enough that two stages hold the whole model and leave memory for prompts.
  table.services["model"].engine->accelerators["fast"].memory_mb = 100'000.0;
  table.routes = {MakeRoute("/get/", CallKind::kIdempotent, "plain"),
                  MakeRoute("/book/", CallKind::kNonIdempotent, "plain"),
                  MakeRoute("/talk/", CallKind::kStream, "model"),
                  MakeRoute("/talk-plain/", CallKind::kStream, "plain")};
  table.customers = {{"customer", {"key"}, std::nullopt}};
  table.limits = {16384, 1 << 20, std::chrono::milliseconds(3000),
                  std::chrono::milliseconds(15000)};
  return table;
}

inline std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n";
}

// More than the buffers of both ends of a connection hold.
constexpr std::size_t kLongBodyBytes = std::size_t{8} * 1024 * 1024;

// Returns a part of an answer without a length, with one and in chunks.
inline std::vector<std::string> CutOffAnswers(const std::string& fields, const std::string& part) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", part.size());
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nMark: m\r\n" + fields;
  return {head + "\r\n" + part, head + "Content-Length: 100000\r\n\r\n" + part,
          head + "Transfer-Encoding: chunked\r\n\r\n" + size + part + "\r\n"};
}

// An upstream of a test that handles each request with a script.
struct ScriptedUpstream {
  std::unique_ptr<HttpListener> listener;
  std::atomic<int> requests{0};
  std::vector<HttpHead> heads;    // of received requests; accessed on the event loop only
  std::vector<HttpCall> pending;  // kept open by the script; accessed on the event loop only
};

class GatewayFixture {
 public:
  using Script = std::function<void(ScriptedUpstream& self, const HttpCall& call)>;

  explicit GatewayFixture(PaceMode pace_mode = PaceMode::kOff) {
    loop.Run([this, pace_mode] {
      GatewayOptions options;
      options.availability_zone = "a";
      options.dialect = std::make_shared<TestDialect>();
      options.retry_allowance = 1000.0;
      options.pace_mode = pace_mode;
      options.host = "host";
      options.shared_key = "shared key";
      gateway = std::make_unique<Gateway>(loop.Io(), options);
      REQUIRE(gateway->Listen("127.0.0.1:0").Ok());
      gateway->SetRouteTable(MakeTable(1));
      gateway->ConfirmRouteTable(BootTimeNow());
      GrantRetries();
    });
  }
  ~GatewayFixture() {
    loop.Run([this] {
      for (const auto& upstream : m_upstreams) upstream->pending.clear();
      gateway.reset();
      m_upstreams.clear();
    });
    loop.Stop();
  }

  // Starts an upstream that holds the layers [first, end). The range is empty for a plain service.
  ScriptedUpstream* Add(const std::string& name, const std::string& zone, Script script,
                        std::uint32_t first = 0, std::uint32_t end = 0) {
    return loop.Run([&] {
      m_upstreams.push_back(std::make_unique<ScriptedUpstream>());
      ScriptedUpstream* self = m_upstreams.back().get();
      self->listener =
          std::make_unique<HttpListener>(loop.Io(), [self, script](const HttpCall& call) {
            if (call.Head().target != "/report") {
              ++self->requests;
              self->heads.push_back(call.Head());
            }
            script(*self, call);
          });
      REQUIRE(self->listener->Listen("127.0.0.1:0").Ok());
      Announce(name, zone, self->listener->Address(), first, end);
      return self;
    });
  }

  // Announces an upstream at an address that the test chooses. Must run on the event loop.
  void Announce(const std::string& name, const std::string& zone, const std::string& address,
                std::uint32_t first = 0, std::uint32_t end = 0, std::uint64_t incarnation = 1) {
    UpstreamUpdate update = TestEngine(name, zone, "fast", first, end);
    update.announcement.incarnation = incarnation;
    update.announcement.service = first < end ? "model" : "plain";
    update.announcement.address = address;
    update.announcement.slots = 100;
    UpstreamUpdates updates;
    updates.updates.push_back(update);
    gateway->UpdateUpstreams(updates);
  }

  std::string Address() {
    return loop.Run([this] { return gateway->Address(); });
  }

  // Sends one request and returns everything received until the connection is closed.
  std::string Call(const std::string& method, const std::string& target,
                   const std::string& fields = "", const std::string& body = "") {
    TestSocket caller(Address());
    REQUIRE(caller.Send(method + " " + target + " HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\n" +
                        "Key: key\r\nConnection: close\r\n" + fields +
                        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body));
    return caller.ReadWhile([](const std::string&) { return true; });
  }

  // Takes requests with kLongBodyBytes.
  void AllowLongBodies() {
    loop.Run([this] {
      RouteTable table = MakeTable(2);
      table.limits.max_body_bytes = kLongBodyBytes;
      gateway->SetRouteTable(std::move(table));
    });
  }

  EventLoopThread loop;
  std::unique_ptr<Gateway> gateway;

 private:
  // As a leader of the control hosts does.
  void GrantRetries() {
    constexpr RetryQuota kQuota{90.0, 36.0};
    RetryGrant grant{1, {}};
    for (const std::string service : {"plain", "model"}) {
      gateway->BudgetOf(service);
      grant.quotas[service] = kQuota;
    }
    gateway->ApplyRetryGrant(grant);
  }

  std::vector<std::unique_ptr<ScriptedUpstream>> m_upstreams;
};

}  // namespace corneltray

#endif  // CORNELTRAY_GATEWAY_FIXTURE_TEST_H_
