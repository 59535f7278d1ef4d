// Tests of admission in the data path, over loopback sockets.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <thread>

#include "corneltray/gateway.h"
#include "gateway_fixture_test.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

constexpr const char* kRequest =
    "POST /talk/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nKey: key\r\nConnection: close\r\n"
    "Content-Length: 0\r\n\r\n";

// A route to the engines with time to wait, and a second one when `ranks` is 2.
RouteTable MakeRankedTable(std::uint32_t ranks) {
  RouteTable table = MakeTable(2);
  for (RouteEntry& route : table.routes) {
    route.timeout = milliseconds(10'000);
    route.objective = milliseconds(6'000);
  }
  RouteEntry less_urgent = table.routes[2];
  less_urgent.prefix = "/talk-later/";
  less_urgent.priority = ranks - 1;
  table.routes.push_back(less_urgent);
  return table;
}

// Full engines that take about `tokens_per_s` of this host.
ServiceRoom FullRoom(double tokens_per_s) {
  ServiceRoom room;
  room.is_known = true;
  room.capacity_tokens = tokens_per_s;
  room.load = 1.0;
  room.usual_tokens = 875.0;
  room.usual_stay_s = 0.5;
  return room;
}
const ServiceRoom kSlowRoom = FullRoom(1500.0);
const ServiceRoom kNoRoom = FullRoom(0.01);

ServiceRoom FreeRoom() {
  ServiceRoom room = FullRoom(1e6);
  room.load = 0.1;
  return room;
}

// A gateway with one engine that answers at once. Access its members on the event loop only.
struct AdmissionFixture : GatewayFixture {
  AdmissionFixture(const ServiceRoom& first_room, std::uint32_t ranks) : room(first_room) {
    loop.Run([this, ranks] {
      gateway->SetRouteTable(MakeRankedTable(ranks));
      gateway->SetRoomSource([this](TimePoint, const std::string&) { return room; });
    });
    const auto answer = [](ScriptedUpstream&, const HttpCall& call) {
      HttpHead head = MakeResponse(200);
      head.Add("Request-Id", "r1");
      head.Add("Mark", "m");
      head.Add("Content-Type", "text/event-stream");
      call.Respond(std::move(head), Event(1) + Event(2));
    };
    engine = Add("e", "a", answer, 0, 80);
  }

  void SetRoom(const ServiceRoom& changed) {
    loop.Run([this, changed] { room = changed; });
  }
  int EngineRequests() {
    return loop.Run([this] { return engine->requests.load(); });
  }
  // Whether a request waits. Must run on the event loop.
  bool IsHeld() const {
    return gateway->MetricsText().find("corneltray_admission_waiting 1") != std::string::npos;
  }
  // Sends requests that are answered until the bucket is empty.
  void EmptyBucket() {
    constexpr int kDepth = 4;  // usual requests
    for (int i = 0; i < kDepth; ++i) {
      CHECK(Call("POST", "/talk/").find("HTTP/1.1 200") == 0);
    }
  }

  // Returns the caller of a request that waits.
  std::unique_ptr<TestSocket> HoldRequest() {
    constexpr int kMaxAnswered = 3;  // by what is left of the bucket
    for (int i = 0; i < kMaxAnswered; ++i) {
      const int sent = EngineRequests();
      auto caller = std::make_unique<TestSocket>(Address());
      REQUIRE(caller->Send(kRequest));
      REQUIRE(loop.WaitFor([&] { return IsHeld() || engine->requests > sent; }));
      if (loop.Run([this] { return IsHeld(); })) return caller;
    }
    return nullptr;
  }

  ServiceRoom room;
  ScriptedUpstream* engine = nullptr;
};

TEST_CASE("a request that the engines have no room for now waits at the gateway") {
  AdmissionFixture fixture(kSlowRoom, 2);
  fixture.EmptyBucket();
  std::unique_ptr<TestSocket> caller = fixture.HoldRequest();
  REQUIRE(caller != nullptr);
  fixture.SetRoom(kNoRoom);
  const int sent = fixture.EngineRequests();

  // Guards against a request that stays held although the engines have room again.
  SUBCASE("until there is room") {
    std::this_thread::sleep_for(milliseconds(200));
    CHECK(fixture.EngineRequests() == sent);
    fixture.SetRoom(FreeRoom());
    const std::string answer = caller->ReadWhile([](const std::string&) { return true; });
    CHECK(answer.find("HTTP/1.1 200") == 0);
    CHECK(fixture.EngineRequests() == sent + 1);
  }
  // Guards against work for a caller that no longer listens.
  SUBCASE("but not longer than its caller") {
    caller.reset();
    CHECK(fixture.loop.WaitFor([&] { return fixture.gateway->InFlight() == 0; }));
    fixture.SetRoom(FreeRoom());
    CHECK(fixture.Call("POST", "/talk/").find("HTTP/1.1 200") == 0);
    CHECK(fixture.EngineRequests() == sent + 1);
  }
  // Guards against callers that lose their request when a host is stopped for planned work.
  SUBCASE("and is sent when the process is told to stop") {
    fixture.loop.Run([&] { fixture.gateway->BeginDrain(); });
    const std::string answer = caller->ReadWhile([](const std::string&) { return true; });
    CHECK(answer.find("HTTP/1.1 200") == 0);
  }
}

// Guards against a refusal whose request runs nevertheless, and against one that names no time.
TEST_CASE("a request that cannot be served in time is refused at once and never runs") {
  AdmissionFixture fixture(kNoRoom, 2);
  fixture.EmptyBucket();
  std::string answer;
  for (int i = 0; i < 2 && answer.find("HTTP/1.1 503") != 0; ++i) {
    answer = fixture.Call("POST", "/talk/");
  }
  CHECK(answer.find("HTTP/1.1 503") == 0);
  CHECK(answer.find("Retry-After: ") != std::string::npos);
  const int sent = fixture.EngineRequests();
  fixture.SetRoom(FreeRoom());
  std::this_thread::sleep_for(milliseconds(200));
  CHECK(fixture.EngineRequests() == sent);
}

// Guards against requests that wait where the configuration names no order of urgency.
TEST_CASE("requests of a service with one rank are sent whatever the engines report") {
  AdmissionFixture fixture(kNoRoom, 1);
  fixture.EmptyBucket();
  fixture.EmptyBucket();
  CHECK(fixture.EngineRequests() == 8);
}

}  // namespace
}  // namespace corneltray
