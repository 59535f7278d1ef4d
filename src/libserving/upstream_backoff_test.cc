// Tests of the data path with upstreams that ask, in their responses, for no more requests.
#include <doctest/doctest.h>

#include <atomic>
#include <string>
#include <utility>

#include "gateway_fixture_test.h"

namespace corneltray {
namespace {

constexpr int kCalls = 20;

HttpHead MakeAuthenticHead(const std::string& type) {
  HttpHead head = MakeResponse(200);
  head.Add("Request-Id", "r1");
  head.Add("Mark", "m");
  head.Add("Content-Type", type);
  return head;
}

bool HasStatus(const std::string& response, const std::string& status) {
  return response.compare(0, 12, "HTTP/1.1 " + status) == 0;
}

// Guards against requests that reach an upstream after it has told this host that it is shutting
// down, while the control processes do not say so.
TEST_CASE("an upstream that says in a response that it is leaving gets no more requests") {
  GatewayFixture fixture;
  std::atomic<bool> is_leaving{true};

  SUBCASE("as the replica of a service") {
    const auto leave = [&is_leaving](ScriptedUpstream&, const HttpCall& call) {
      HttpHead head = MakeAuthenticHead("text/plain");
      if (is_leaving) head.Add("Leaving", "1");
      call.Respond(std::move(head), "done");
    };
    ScriptedUpstream* leaving = fixture.Add("u", "a", leave);
    CHECK(HasStatus(fixture.Call("GET", "/get/"), "200"));

    SUBCASE("while another replica serves") {
      ScriptedUpstream* other = fixture.Add("v", "b", [](ScriptedUpstream&, const HttpCall& call) {
        call.Respond(MakeAuthenticHead("text/plain"), "done");
      });
      for (int i = 0; i < kCalls; ++i) CHECK(HasStatus(fixture.Call("GET", "/get/"), "200"));
      CHECK(leaving->requests == 1);
      CHECK(other->requests == kCalls);
    }
    SUBCASE("and the caller is refused at once if no other is left") {
      CHECK(HasStatus(fixture.Call("GET", "/get/"), "503"));
      CHECK(leaving->requests == 1);
    }
    SUBCASE("until it starts again under its name") {
      is_leaving = false;
      fixture.loop.Run([&] {
        UpstreamUpdates updates;
        updates.updates.push_back(TestEngine("u", "a", "fast", 0, 0));
        Announcement& announcement = updates.updates.front().announcement;
        announcement.service = "plain";
        announcement.address = leaving->listener->Address();
        announcement.incarnation = 2;
        fixture.gateway->UpdateUpstreams(updates);
      });
      CHECK(HasStatus(fixture.Call("GET", "/get/"), "200"));
      CHECK(leaving->requests == 2);
    }
  }

  SUBCASE("as an engine") {
    const auto stream = [](HttpHead head, const HttpCall& call) {
      call.Begin(std::move(head));
      call.Write(Event(1) + Event(2));
      call.End();
    };
    ScriptedUpstream* leaving = fixture.Add(
        "a1", "a",
        [stream](ScriptedUpstream&, const HttpCall& call) {
          HttpHead head = MakeAuthenticHead("text/event-stream");
          head.Add("Leaving", "1");
          stream(std::move(head), call);
        },
        0, 80);
    CHECK(HasStatus(fixture.Call("POST", "/talk/"), "200"));
    const auto serve = [stream](ScriptedUpstream&, const HttpCall& call) {
      stream(MakeAuthenticHead("text/event-stream"), call);
    };
    ScriptedUpstream* first = fixture.Add("b1", "b", serve, 0, 40);
    fixture.Add("b2", "b", serve, 40, 80);
    for (int i = 0; i < kCalls; ++i) CHECK(HasStatus(fixture.Call("POST", "/talk/"), "200"));
    CHECK(leaving->requests == 1);
    fixture.loop.Run([&] {
      for (const HttpHead& head : first->heads) CHECK(head.Value("Chain") == "b1 b2 ");
    });
  }
}

}  // namespace
}  // namespace corneltray
