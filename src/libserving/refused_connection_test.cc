// Tests of requests that meet upstreams which accept no connection.
#include <doctest/doctest.h>

#include <string>

#include "gateway_fixture_test.h"

namespace corneltray {
namespace {

// Nothing listens at this address.
constexpr char kClosedAddress[] = "127.0.0.1:1";

void Answer(ScriptedUpstream&, const HttpCall& call) {
  HttpHead head = MakeResponse(200);
  head.Add("Request-Id", "r1");
  head.Add("Mark", "m");
  if (call.Head().Path() != "/talk/") return call.Respond(head, "done");
  head.Add("Content-Type", "text/event-stream");
  call.Begin(head);
  call.Write(Event(1));
  call.End();
}

bool IsWhole(const std::string& answer) {
  return answer.find("\r\n\r\ndone") != std::string::npos ||
         answer.find("token 1") != std::string::npos;
}

void UseUpRetries(GatewayFixture* fixture, const std::string& service) {
  fixture->loop.Run([&] {
    while (fixture->gateway->TryRetry(service, RetryPurpose::kFinish)) continue;
  });
}

// Guards against a 503 for a request that no upstream has received, because the retries of other
// requests had used up the quota.
TEST_CASE("a request whose upstream refuses the connection needs no quota of retries") {
  GatewayFixture fixture;
  std::string service = "plain";
  std::string target = "/get/";
  std::uint32_t layers = 0;
  SUBCASE("an idempotent call") {}
  SUBCASE("a call that may run once") { target = "/book/"; }
  SUBCASE("a stream") {
    service = "model";
    target = "/talk/";
    layers = 80;
  }
  fixture.Add("other", "b", Answer, 0, layers);
  // A host that has just opened a connection does not take itself for cut off.
  REQUIRE(IsWhole(fixture.Call("POST", target)));
  fixture.loop.Run([&] { fixture.Announce("closed", "a", kClosedAddress, 0, layers); });
  UseUpRetries(&fixture, service);
  const std::string answer = fixture.Call("POST", target);
  CHECK_MESSAGE(IsWhole(answer), answer);
}

}  // namespace
}  // namespace corneltray
