// Tests of an entry host that reaches no upstream, and of another one that serves its requests.
#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <thread>

#include "gateway_fixture_test.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

// A port of the loopback address at which nothing listens.
constexpr char kClosedAddress[] = "127.0.0.1:1";

HttpHead MakeAuthenticHead(const std::string& type) {
  HttpHead head = MakeResponse(200);
  head.Add("Request-Id", "r1");
  head.Add("Mark", "m");
  head.Add("Content-Type", type);
  return head;
}

void Serve(ScriptedUpstream&, const HttpCall& call) {
  if (call.Head().Path() != "/talk/") {
    return call.Respond(MakeAuthenticHead("text/plain"), "done");
  }
  call.Begin(MakeAuthenticHead("text/event-stream"));
  call.Write(Event(1));
  call.Write(Event(2));
  call.End();
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

// A host whose upstreams accept no connection.
class IsolatedHost {
 public:
  IsolatedHost() {
    fixture.loop.Run([this] {
      fixture.Announce("gone", "a", kClosedAddress);
      fixture.Announce("gone-engine", "a", "127.0.0.1:2", 0, 80);
      fixture.gateway->SuspectIsolation();
    });
    REQUIRE(fixture.loop.WaitFor([this] { return fixture.gateway->IsIsolated(); }));
  }

  void ForwardTo(GatewayFixture* other) {
    const std::string address = other->Address();
    fixture.loop.Run([&] { fixture.gateway->SetForwardHosts({{"other", address}}); });
  }

  GatewayFixture fixture;
};

// Guards against callers of a host that is cut off from all upstreams and get nothing but refusals.
TEST_CASE("a host that reaches no upstream forwards its requests") {
  IsolatedHost isolated;
  GatewayFixture other;

  SUBCASE("and another host serves them") {
    ScriptedUpstream* upstream = other.Add("u", "a", Serve);
    other.Add("engine", "a", Serve, 0, 80);
    isolated.ForwardTo(&other);
    for (const std::string target : {"/get/", "/book/"}) {
      CAPTURE(target);
      const std::string answer = isolated.fixture.Call("POST", target, "Time-Left: 900\r\n", "x");
      CHECK(Contains(answer, "\r\n\r\ndone"));
      CHECK_FALSE(Contains(answer, "Corneltray-"));
    }
    CHECK(Contains(isolated.fixture.Call("POST", "/talk/"), "token 2"));
    other.loop.Run([&] {
      REQUIRE(upstream->heads.size() == 2);
      for (const HttpHead& head : upstream->heads) {
        CHECK(head.Value("Customer") == "customer");
        CHECK(head.Find("Key") == nullptr);
        CHECK(std::stoi(std::string(head.Value("Time-Left"))) <= 900);
        for (const HttpField& field : head.fields) CHECK_FALSE(Contains(field.name, "Corneltray"));
      }
    });
  }
  // Guards against a request of one configuration that another one serves.
  SUBCASE("once the other host has the same route table") {
    ScriptedUpstream* upstream = other.Add("u", "a", Serve);
    other.loop.Run([&] { other.gateway->SetRouteTable(MakeTable(2)); });
    isolated.ForwardTo(&other);
    CHECK(Contains(isolated.fixture.Call("POST", "/book/"), " 503 "));
    CHECK(upstream->requests == 0);
    std::string answer;
    std::thread caller([&] { answer = isolated.fixture.Call("POST", "/book/"); });
    std::this_thread::sleep_for(milliseconds(50));
    isolated.fixture.loop.Run([&] { isolated.fixture.gateway->SetRouteTable(MakeTable(2)); });
    caller.join();
    CHECK(Contains(isolated.fixture.Call("POST", "/book/"), "\r\n\r\ndone"));
  }
  // Guards against a request that began before a change and that no host takes afterwards.
  SUBCASE("also those that began before a change of the route table") {
    const auto go_on = [](ScriptedUpstream&, const HttpCall& call) {
      call.Begin(MakeAuthenticHead("text/event-stream"));
      call.Write(Event(2));
      call.End();
    };
    other.Add("engine", "a", go_on, 0, 80);
    const auto stay_silent = [](ScriptedUpstream& self, const HttpCall& call) {
      if (call.Head().Path() == "/talk/") {
        call.Begin(MakeAuthenticHead("text/event-stream"));
        call.Write(Event(1));
      }
      self.pending.push_back(call);
    };
    // One upstream among many that are gone does not end the isolation.
    isolated.fixture.loop.Run([&] {
      for (int port = 3; port < 20; ++port) {
        isolated.fixture.Announce("gone" + std::to_string(port), "a",
                                  "127.0.0.1:" + std::to_string(port));
      }
    });
    ScriptedUpstream* silent = isolated.fixture.Add("silent", "a", stay_silent, 0, 80);
    std::string answer;
    std::thread caller([&] { answer = isolated.fixture.Call("POST", "/talk/"); });
    CHECK(isolated.fixture.loop.WaitFor([&] { return silent->requests == 1; }));
    for (GatewayFixture* host : {&isolated.fixture, &other}) {
      host->loop.Run([&] { host->gateway->SetRouteTable(MakeTable(2)); });
    }
    isolated.ForwardTo(&other);
    caller.join();
    CHECK_MESSAGE(Contains(answer, "token 2"), answer);
  }
  // Guards against two cut hosts that send a request to and fro.
  SUBCASE("but not to a host that is isolated as well") {
    IsolatedHost also;
    isolated.ForwardTo(&also.fixture);
    also.ForwardTo(&isolated.fixture);
    CHECK(Contains(isolated.fixture.Call("GET", "/get/"), " 503 "));
    CHECK(also.fixture.loop.Run([&] { return also.fixture.gateway->InFlight(); }) == 0);
  }
  // Guards against a booking that is sent to a second host although it may have run.
  SUBCASE("and sends one that may not be repeated to no second host") {
    std::atomic<int> runs{0};
    const auto close = [&runs](ScriptedUpstream&, const HttpCall& call) {
      ++runs;
      call.Abort();
    };
    other.Add("u", "a", close);
    GatewayFixture third;
    third.Add("v", "a", close);
    const std::string address = third.Address();
    isolated.ForwardTo(&other);
    isolated.fixture.loop.Run([&] {
      isolated.fixture.gateway->SetForwardHosts({{"third", address}});
    });
    CHECK(Contains(isolated.fixture.Call("POST", "/book/"), " 502 "));
    CHECK(runs == 1);
  }
  // Guards against work that goes on for a caller that has left.
  SUBCASE("and cancels them when the caller leaves") {
    std::atomic<bool> ended{false};
    ScriptedUpstream* upstream =
        other.Add("u", "a", [&ended](ScriptedUpstream& self, const HttpCall& call) {
          call.OnCallerGone([&ended] { ended = true; });
          self.pending.push_back(call);
        });
    isolated.ForwardTo(&other);
    {
      TestSocket caller(isolated.fixture.Address());
      REQUIRE(caller.Send("GET /get/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nKey: key\r\n\r\n"));
      REQUIRE(other.loop.WaitFor([&] { return upstream->requests == 1; }));
    }
    CHECK(other.loop.WaitFor([&] { return ended.load(); }));
  }
  SUBCASE("until it reaches most upstreams again") {
    for (int i = 0; i < 8; ++i) isolated.fixture.Add("back" + std::to_string(i), "a", Serve);
    CHECK(isolated.fixture.loop.WaitFor([&] { return !isolated.fixture.gateway->IsIsolated(); }));
    CHECK(Contains(isolated.fixture.Call("GET", "/get/"), "\r\n\r\ndone"));
  }
}

// Guards against a caller that passes for an entry host.
TEST_CASE("a field of forwarded requests that no host has signed is removed") {
  GatewayFixture fixture;
  ScriptedUpstream* upstream = fixture.Add("u", "a", Serve);
  const std::string answer =
      fixture.Call("GET", "/get/", "Corneltray-Forwarded: 00ff 9 2 host\r\n");
  CHECK(Contains(answer, "\r\n\r\ndone"));
  CHECK_FALSE(Contains(answer, "Corneltray-"));
  fixture.loop.Run([&] {
    REQUIRE(upstream->heads.size() == 1);
    CHECK(upstream->heads[0].Find("Corneltray-Forwarded") == nullptr);
  });
}

// Guards against a part of an answer of another host that passes for the whole one, since the host
// was reset while a long request was being written to it.
TEST_CASE("an answer of another host that a reset cuts off is not passed on") {
  const std::string body(kLongBodyBytes, 'u');
  for (const std::string& cut_off : CutOffAnswers("Corneltray-Served-By: 1 1 u\r\n", "part")) {
    CAPTURE(cut_off);
    ScriptedPeer other([&cut_off](TestSocket* socket) {
      socket->ReadUntil("\r\n\r\n");
      socket->Send(cut_off);
      socket->Reset();
    });
    IsolatedHost isolated;
    isolated.fixture.AllowLongBodies();
    isolated.fixture.loop.Run([&] {
      isolated.fixture.gateway->SetForwardHosts({{"other", other.Address()}});
    });
    for (const std::string target : {"/get/", "/book/"}) {
      CAPTURE(target);
      const std::string answer = isolated.fixture.Call("POST", target, "", body);
      CHECK(answer.find("HTTP/1.1 502 ") == 0);
      CHECK_FALSE(Contains(answer, "part"));
    }
    CHECK(other.Connections() >= 2);
  }
}

}  // namespace
}  // namespace corneltray
