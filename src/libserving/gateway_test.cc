// Tests of the data path with scripted upstreams over loopback sockets.
#include "corneltray/gateway.h"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "gateway_fixture_test.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

HttpHead MakeAuthenticHead(int status, const std::string& type = "text/plain") {
  HttpHead head = MakeResponse(status);
  head.Add("Request-Id", "r1");
  head.Add("Mark", "m");
  head.Add("Content-Type", type);
  return head;
}

void RespondWith(const std::string& body, const HttpCall& call) {
  call.Respond(MakeAuthenticHead(200), body);
}

void Refuse(const HttpCall& call, const std::string& faulty = "") {
  HttpHead head = MakeResponse(503);
  head.Add("Not-Run", "1");
  if (!faulty.empty()) head.Add("Faulty", faulty);
  call.Respond(std::move(head), "");
}

int StatusOf(const std::string& answer) {
  return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("a call is forwarded to an upstream and its response is returned") {
  GatewayFixture fixture;
  ScriptedUpstream* upstream = fixture.Add(
      "u", "a", [](ScriptedUpstream&, const HttpCall& call) { RespondWith("done", call); });
  const std::string answer = fixture.Call("POST", "/get/x?y=1", "X-Own: 1\r\n", "body");
  CHECK(StatusOf(answer) == 200);
  CHECK(Contains(answer, "Mark: m"));
  CHECK(Contains(answer, "\r\n\r\ndone"));
  fixture.loop.Run([&] {
    REQUIRE(upstream->heads.size() == 1);
    const HttpHead& head = upstream->heads[0];
    CHECK(head.method == "POST");
    CHECK(head.target == "/get/x?y=1");
    CHECK(head.Value("X-Own") == "1");
    CHECK(head.Value("Content-Length") == "4");
    CHECK(head.Value("Customer") == "customer");
    CHECK(head.Value("Only") == "u");
    CHECK(head.Find("Key") == nullptr);
    CHECK(head.Find("Connection") == nullptr);
  });
}

TEST_CASE("a request that must not be served is refused by the gateway") {
  GatewayFixture fixture;
  ScriptedUpstream* upstream = fixture.Add(
      "u", "a", [](ScriptedUpstream&, const HttpCall& call) { RespondWith("done", call); });
  SUBCASE("without a route") { CHECK(StatusOf(fixture.Call("GET", "/none/")) == 404); }
  SUBCASE("with an unknown key") {
    TestSocket caller(fixture.Address());
    REQUIRE(
        caller.Send("GET /get/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nKey: other\r\n"
                    "Connection: close\r\n\r\n"));
    CHECK(StatusOf(caller.ReadWhile([](const std::string&) { return true; })) == 401);
  }
  SUBCASE("with a revoked key") {
    RouteTable table = MakeTable(2);
    table.customers[0].keys = {"new"};
    fixture.loop.Run([&] { fixture.gateway->SetRouteTable(table); });
    CHECK(StatusOf(fixture.Call("GET", "/get/")) == 401);
  }
  // Guards against a table whose last customer was removed and that opens its routes to every key.
  SUBCASE("whatever its key, when the last customer has been removed") {
    RouteTable table = MakeTable(2);
    table.customers.clear();
    fixture.loop.Run([&] { fixture.gateway->SetRouteTable(table); });
    CHECK(StatusOf(fixture.Call("GET", "/get/")) == 401);
    for (const char* key : {"", "Key: \r\n", "Key: other\r\n"}) {
      CAPTURE(key);
      TestSocket caller(fixture.Address());
      REQUIRE(caller.Send("GET /get/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\n" + std::string(key) +
                          "Connection: close\r\n\r\n"));
      CHECK(StatusOf(caller.ReadWhile([](const std::string&) { return true; })) == 401);
    }
  }
  SUBCASE("but not for its key when the table has no customers at all") {
    RouteTable table = MakeTable(2);
    table.customers.clear();
    table.access = RouteAccess::kEveryone;
    fixture.loop.Run([&] { fixture.gateway->SetRouteTable(table); });
    CHECK(StatusOf(fixture.Call("GET", "/get/")) == 200);
    return;
  }
  SUBCASE("but not because of a table that is older than the current one") {
    RouteTable table = MakeTable(0);
    table.customers.clear();
    fixture.loop.Run([&] { fixture.gateway->SetRouteTable(table); });
    CHECK(StatusOf(fixture.Call("GET", "/get/")) == 200);
    return;
  }
  // Guards against a request that is accepted late in a graceful shutdown and aborted at its end.
  SUBCASE("when the process is shutting down") {
    TestSocket caller(fixture.Address());
    REQUIRE(caller.Send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"));
    caller.ReadWhile([](const std::string& read) { return !Contains(read, "\r\n\r\n"); });
    fixture.loop.Run([&] {
      fixture.gateway->BeginDrain();
      fixture.gateway->StopAccepting();
    });
    REQUIRE(caller.Send("GET /get/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nKey: key\r\n\r\n"));
    const std::string answer = caller.ReadWhile([](const std::string&) { return true; });
    CHECK(StatusOf(answer) == 503);
    CHECK(Contains(answer, "Retry-After: "));
    CHECK(Contains(answer, "Connection: close"));
  }
  CHECK(upstream->requests == 0);
}

// Guards against a booking that runs twice, and against a 503 for a booking that may have run.
TEST_CASE("a non-idempotent call is sent once") {
  GatewayFixture fixture;
  int refusals = 0;
  GatewayFixture::Script script;
  SUBCASE("when the connection is closed without a response") {
    script = [](ScriptedUpstream&, const HttpCall& call) { call.Abort(); };
    fixture.Add("u", "a", script);
    fixture.Add("v", "b", script);
    CHECK(StatusOf(fixture.Call("POST", "/book/")) == 502);
  }
  SUBCASE("when the upstream fails, and the error response is forwarded") {
    script = [](ScriptedUpstream&, const HttpCall& call) {
      call.Respond(MakeAuthenticHead(500), "broken");
    };
    ScriptedUpstream* u = fixture.Add("u", "a", script);
    ScriptedUpstream* v = fixture.Add("v", "b", script);
    const std::string answer = fixture.Call("POST", "/book/");
    CHECK(StatusOf(answer) == 500);
    CHECK(Contains(answer, "broken"));
    CHECK(u->requests + v->requests == 1);
  }
  SUBCASE("unless the upstream reports that it has not run the call") {
    script = [&refusals](ScriptedUpstream&, const HttpCall& call) {
      if (refusals++ == 0) return Refuse(call);
      RespondWith("booked", call);
    };
    fixture.Add("u", "a", script);
    fixture.Add("v", "b", script);
    CHECK(Contains(fixture.Call("POST", "/book/"), "booked"));
  }
  SUBCASE("and the caller gets a 503 with Retry-After if no upstream has run it") {
    script = [](ScriptedUpstream&, const HttpCall& call) { Refuse(call); };
    fixture.Add("u", "a", script);
    const std::string answer = fixture.Call("POST", "/book/");
    CHECK(StatusOf(answer) == 503);
    CHECK(Contains(answer, "Retry-After: "));
  }
}

TEST_CASE("an idempotent call is retried at another upstream") {
  GatewayFixture fixture;
  int failures = 0;
  GatewayFixture::Script first;
  SUBCASE("when the connection is closed") {
    first = [](ScriptedUpstream&, const HttpCall& call) { call.Abort(); };
  }
  SUBCASE("when the upstream fails") {
    first = [](ScriptedUpstream&, const HttpCall& call) {
      call.Respond(MakeAuthenticHead(500), "");
    };
  }
  SUBCASE("when the response lacks the upstream's signature") {
    first = [](ScriptedUpstream&, const HttpCall& call) {
      HttpHead head = MakeResponse(200);
      head.Add("Request-Id", "r1");
      call.Respond(std::move(head), "forged");
    };
  }
  SUBCASE("when there is no response before the timeout of the attempt") {
    first = [](ScriptedUpstream& self, const HttpCall& call) { self.pending.push_back(call); };
  }
  const auto script = [&failures, first](ScriptedUpstream& self, const HttpCall& call) {
    if (failures++ == 0) return first(self, call);
    RespondWith("found", call);
  };
  fixture.Add("u", "a", script);
  fixture.Add("v", "b", script);
  CHECK(Contains(fixture.Call("GET", "/get/"), "found"));
}

// Guards against an upstream's error response that the gateway replaces with its own when no
// attempt is left.
TEST_CASE("when every upstream fails the caller gets the last error response") {
  GatewayFixture fixture;
  const auto script = [](ScriptedUpstream&, const HttpCall& call) {
    call.Respond(MakeAuthenticHead(500), "the upstream's words");
  };
  ScriptedUpstream* u = fixture.Add("u", "a", script);
  ScriptedUpstream* v = fixture.Add("v", "b", script);
  const std::string answer = fixture.Call("GET", "/get/");
  CHECK(StatusOf(answer) == 500);
  CHECK(Contains(answer, "the upstream's words"));
  CHECK(u->requests + v->requests == 2);
}

// Streams the events `from` to `to`, then ends the response or aborts it within an event.
void Stream(const HttpCall& call, int from, int to, bool whole) {
  call.Begin(MakeAuthenticHead(200, "text/event-stream"));
  for (int id = from; id <= to; ++id) call.Write(Event(id));
  if (!whole) {
    call.Write("id: 99\ndata: cut");
    call.Abort();
  } else {
    call.End();
  }
}

std::string Events(int from, int to) {
  std::string text;
  for (int id = from; id <= to; ++id) text += Event(id);
  return text;
}

// Returns the decoded body of a chunked response.
std::string Body(const std::string& answer) {
  std::string body;
  std::size_t at = answer.find("\r\n\r\n");
  if (at == std::string::npos) return body;
  at += 4;
  while (at < answer.size()) {
    const std::size_t line = answer.find("\r\n", at);
    const std::size_t size = std::stoul(answer.substr(at, line - at), nullptr, 16);
    if (size == 0) break;
    body += answer.substr(line + 2, size);
    at = line + 2 + size + 2;
  }
  return body;
}

bool EndsAsComplete(const std::string& answer) {
  return answer.size() > 5 && answer.compare(answer.size() - 5, 5, "0\r\n\r\n") == 0;
}

// Guards against tokens that are lost or duplicated when a stage fails during a response.
TEST_CASE("a generation that loses its chain resumes at another chain") {
  GatewayFixture fixture;
  std::atomic<int> runs{0};
  const auto script = [&runs](ScriptedUpstream&, const HttpCall& call) {
    if (runs++ == 0) return Stream(call, 1, 3, false);
    const int from = std::stoi(std::string(call.Head().Value("Last-Event"))) + 1;
    Stream(call, from, 6, true);
  };
  const auto unused = [](ScriptedUpstream&, const HttpCall& call) { call.Abort(); };
  ScriptedUpstream* a = fixture.Add("a1", "a", script, 0, 40);
  fixture.Add("a2", "a", unused, 40, 80);
  fixture.Add("b1", "b", script, 0, 40);
  fixture.Add("b2", "b", unused, 40, 80);
  const std::string answer = fixture.Call("POST", "/talk/");
  CHECK(Body(answer) == Events(1, 6));
  CHECK(EndsAsComplete(answer));
  CHECK(runs == 2);
  fixture.loop.Run([&] {
    REQUIRE_FALSE(a->heads.empty());
    CHECK(a->heads[0].Value("Chain") == "a1 a2 ");
  });
}

// Guards against a request that runs at more upstreams than its route allows because each of its
// chains loses a stage while the first stage continues.
TEST_CASE("a generation runs at no more first stages than its route allows") {
  GatewayFixture fixture;
  std::string lost;
  const auto stalls = [&lost](ScriptedUpstream& self, const HttpCall& call) {
    if (call.Head().target == "/report") return call.Respond(MakeResponse(200), lost);
    call.Begin(MakeAuthenticHead(200, "text/event-stream"));
    const std::string after(call.Head().Value("Last-Event"));
    call.Write(Event(after.empty() ? 1 : std::stoi(after) + 1));
    self.pending.push_back(call);
  };
  const auto unused = [](ScriptedUpstream&, const HttpCall& call) { call.Abort(); };
  std::vector<ScriptedUpstream*> first;
  std::vector<ScriptedUpstream*> second;
  for (const char* zone : {"a", "b", "c"}) {
    first.push_back(fixture.Add(std::string(zone) + "1", zone, stalls, 0, 40));
    second.push_back(fixture.Add(std::string(zone) + "2", zone, unused, 40, 80));
  }
  lost = fixture.loop.Run([&] {
    nlohmann::json addresses;
    for (ScriptedUpstream* upstream : second) addresses.push_back(upstream->listener->Address());
    return addresses.dump();
  });
  const std::string answer = fixture.Call("POST", "/talk/");
  CHECK(Body(answer) == Events(1, 2));
  CHECK_FALSE(EndsAsComplete(answer));
  CHECK(first[0]->requests + first[1]->requests + first[2]->requests == 2);
}

// Guards against the same failure if the first stages are only suspected because they send no
// report.
TEST_CASE("a first stage that is only suspected counts as one that has run the request") {
  GatewayFixture fixture;
  const auto silent = [](ScriptedUpstream& self, const HttpCall& call) {
    if (call.Head().target != "/report") {
      call.Begin(MakeAuthenticHead(200, "text/event-stream"));
      const std::string after(call.Head().Value("Last-Event"));
      call.Write(Event(after.empty() ? 1 : std::stoi(after) + 1));
    }
    self.pending.push_back(call);
  };
  std::vector<ScriptedUpstream*> engines;
  for (const char* zone : {"a", "b", "c"}) {
    engines.push_back(fixture.Add(zone, zone, silent, 0, 80));
  }
  SUBCASE("while it still announces itself") {}
  SUBCASE("when it has missed announcements, as a frozen process does") {
    std::this_thread::sleep_for(kSilenceTimeout + milliseconds(100));
  }
  CHECK(Body(fixture.Call("POST", "/talk/")) == Events(1, 2));
  CHECK(engines[0]->requests + engines[1]->requests + engines[2]->requests == 2);
}

TEST_CASE("a stream that cannot resume ends as incomplete") {
  GatewayFixture fixture;
  fixture.Add(
      "a1", "a", [](ScriptedUpstream&, const HttpCall& call) { Stream(call, 1, 3, false); }, 0, 80);
  const std::string answer = fixture.Call("POST", "/talk/");
  CHECK(Body(answer) == Events(1, 3));
  CHECK_FALSE(EndsAsComplete(answer));
}

TEST_CASE("a response of a stream route that is not an event stream is forwarded as a whole") {
  GatewayFixture fixture;
  fixture.Add("u", "a",
              [](ScriptedUpstream&, const HttpCall& call) { RespondWith("plain", call); });
  const std::string answer = fixture.Call("POST", "/talk-plain/");
  CHECK(StatusOf(answer) == 200);
  CHECK(Contains(answer, "\r\n\r\nplain"));
}

// A stage is lost under load, and the first stage reports the address that its requests wait for.
// Guards against callers that wait for the engine's timeout, and against a crash when an attempt
// was used after the report of its suspected engine had ended it.
TEST_CASE("requests that wait for a lost stage fail over to another chain at once") {
  GatewayFixture fixture;
  std::string lost;
  bool refuses = false;
  bool is_reported_lost = false;
  SUBCASE("when the report of the first stage names it") {}
  SUBCASE("when the first stage refuses the requests after a stall") { refuses = true; }
  SUBCASE("when a control process reports that it does not respond") { is_reported_lost = true; }
  const auto first_of_a = [&](ScriptedUpstream& self, const HttpCall& call) {
    if (call.Head().target != "/report") return self.pending.push_back(call);
    if (refuses) {
      // No report is sent. The engine refuses its pending requests after its own timeout.
      return;
    }
    call.Respond(MakeResponse(200), is_reported_lost ? "[]" : "[\"" + lost + "\"]");
  };
  const auto unused = [](ScriptedUpstream&, const HttpCall& call) { call.Abort(); };
  const auto serve = [](ScriptedUpstream&, const HttpCall& call) { Stream(call, 1, 4, true); };
  ScriptedUpstream* a1 = fixture.Add("a1", "a", first_of_a, 0, 40);
  ScriptedUpstream* a2 = fixture.Add("a2", "a", unused, 40, 80);
  lost = fixture.loop.Run([&] { return a2->listener->Address(); });
  std::vector<std::thread> callers;
  std::atomic<int> complete{0};
  constexpr int kCallers = 8;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      const std::string answer = fixture.Call("POST", "/talk/");
      if (Body(answer) == Events(1, 4) && EndsAsComplete(answer)) {
        ++complete;
      }
    });
  }
  CHECK(fixture.loop.WaitFor([&] { return a1->requests == kCallers; }));
  fixture.Add("b1", "b", serve, 0, 40);
  fixture.Add("b2", "b", unused, 40, 80);
  if (refuses) {
    std::this_thread::sleep_for(milliseconds(1600));
    fixture.loop.Run([&] {
      for (const HttpCall& call : a1->pending) Refuse(call, lost);
    });
  }
  if (is_reported_lost) {
    // Longer than the silence after which a request fails over from a lost engine.
    std::this_thread::sleep_for(milliseconds(200));
    fixture.loop.Run([&] { fixture.gateway->UpdateEngineHealth({{"a2", 1, false, 0.0, 1.0}}); });
  }
  for (std::thread& caller : callers) caller.join();
  CHECK(complete == kCallers);
}

// Guards against upstreams that continue to work for a caller that has disconnected.
TEST_CASE("a caller that disconnects cancels the request at its upstream") {
  GatewayFixture fixture;
  std::atomic<bool> ended{false};
  ScriptedUpstream* upstream =
      fixture.Add("u", "a", [&ended](ScriptedUpstream& self, const HttpCall& call) {
        call.OnCallerGone([&ended] { ended = true; });
        self.pending.push_back(call);
      });
  {
    TestSocket caller(fixture.Address());
    REQUIRE(caller.Send("GET /get/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nKey: key\r\n\r\n"));
    REQUIRE(fixture.loop.WaitFor([&] { return upstream->requests == 1; }));
  }
  CHECK(fixture.loop.WaitFor([&] { return ended.load(); }));
  CHECK(fixture.loop.WaitFor([&] { return fixture.gateway->InFlight() == 0; }));
}

TEST_CASE("a request ends with its timeout") {
  GatewayFixture fixture;
  fixture.Add("u", "a",
              [](ScriptedUpstream& self, const HttpCall& call) { self.pending.push_back(call); });
  const TimePoint start = Clock::now();
  CHECK(StatusOf(fixture.Call("POST", "/book/", "Time-Left: 300\r\n")) == 504);
  const auto took = Clock::now() - start;
  CHECK(took >= milliseconds(300));
  CHECK(took < milliseconds(800));
}

// Guards against a host that runs out of memory when many upstreams send large bodies at once.
TEST_CASE("buffered responses share one memory limit") {
  GatewayFixture fixture;
  fixture.loop.Run([&] {
    constexpr std::size_t kAnswer = std::size_t{16} * 1024 * 1024;
    CHECK(fixture.gateway->ReserveResponseBytes(kAnswer));
    CHECK(fixture.gateway->ReserveResponseBytes(kAnswer));
    CHECK_FALSE(fixture.gateway->ReserveResponseBytes(kAnswer));
    fixture.gateway->ReleaseResponseBytes(kAnswer);
    CHECK(fixture.gateway->ReserveResponseBytes(kAnswer));
    fixture.gateway->ReleaseResponseBytes(2 * kAnswer);
  });
}

TEST_CASE("a host is ready with a route table, upstreams and a lease on keys") {
  GatewayFixture fixture;
  const auto ready = [&fixture] {
    return fixture.loop.Run([&] { return fixture.gateway->IsReady(); });
  };
  CHECK_FALSE(ready());
  fixture.Add("u", "a", [](ScriptedUpstream&, const HttpCall& call) { RespondWith("", call); });
  CHECK(ready());
  fixture.loop.Run([&] { fixture.gateway->BeginDrain(); });
  CHECK_FALSE(ready());
}

// A host starts while callers reconnect after a power failure. Guards against callers whose last
// retry is refused because the host knows no upstream during its first second.
TEST_CASE("requests are deferred while a host starts") {
  GatewayFixture fixture;
  std::string answer;
  std::thread caller([&] { answer = fixture.Call("GET", "/get/"); });
  SUBCASE("until an upstream announces itself") {
    std::this_thread::sleep_for(milliseconds(200));
    fixture.Add("u", "a",
                [](ScriptedUpstream&, const HttpCall& call) { RespondWith("found", call); });
    caller.join();
    CHECK(Contains(answer, "found"));
  }
  SUBCASE("unless the caller disconnects in the meantime") {
    {
      TestSocket disconnecting(fixture.Address());
      REQUIRE(disconnecting.Send(
          "GET /get/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\nKey: key\r\n\r\n"));
      std::this_thread::sleep_for(milliseconds(100));
    }
    std::this_thread::sleep_for(milliseconds(100));
    ScriptedUpstream* upstream = fixture.Add(
        "u", "a", [](ScriptedUpstream&, const HttpCall& call) { RespondWith("", call); });
    caller.join();
    CHECK(upstream->requests == 1);
  }
  SUBCASE("for a limited time") {
    const TimePoint start = Clock::now();
    caller.join();
    CHECK(StatusOf(answer) == 503);
    CHECK(Clock::now() - start < milliseconds(2500));
    const TimePoint later = Clock::now();
    CHECK(StatusOf(fixture.Call("GET", "/get/")) == 503);
    CHECK(Clock::now() - later < milliseconds(500));
  }
}

// Guards against outcomes that do not reach the pace, which would leave a server idle or flooded.
TEST_CASE("a restarted upstream is paced by how its calls end") {
  GatewayFixture fixture(PaceMode::kAuto);
  bool refuses = false;
  ScriptedUpstream* upstream =
      fixture.Add("u", "a", [&refuses](ScriptedUpstream&, const HttpCall& call) {
        if (refuses) return Refuse(call);
        if (call.Head().Path() == "/get/x") return RespondWith("done", call);
        call.Begin(MakeAuthenticHead(200, "text/event-stream"));
        call.Write(Event(1));
        call.End();
      });
  fixture.Call("GET", "/get/x");  // the service is in use before the restart
  const auto paced = [&] {
    return fixture.loop.Run([&] { return fixture.gateway->Pace().PacedServers(); });
  };
  CHECK(paced() == 0);
  fixture.loop.Run(
      [&] { fixture.Announce("u", "a", upstream->listener->Address(), 0, 0, /*incarnation=*/2); });
  CHECK(paced() == 1);

  SUBCASE("an answer") {
    CHECK(StatusOf(fixture.Call("GET", "/get/x")) == 200);
    CHECK(StatusOf(fixture.Call("GET", "/get/x")) == 200);
    CHECK(paced() == 0);
  }
  SUBCASE("a stream") {
    CHECK(StatusOf(fixture.Call("POST", "/talk-plain/x")) == 200);
    CHECK(StatusOf(fixture.Call("POST", "/talk-plain/x")) == 200);
    CHECK(paced() == 0);
  }
  SUBCASE("a refusal") {
    fixture.loop.Run([&] { refuses = true; });
    CHECK(StatusOf(fixture.Call("GET", "/get/x")) == 503);
    fixture.loop.Run([&] {
      const ServerPaceCounts counts = fixture.gateway->OwnPaceCounts();
      REQUIRE(counts.count("u") == 1);
      CHECK(counts.at("u").refused == 1);
      CHECK(counts.at("u").incarnation == 2);
      CHECK(Contains(fixture.gateway->MetricsText(), "paced_servers_failed"));
    });
  }
}

// Guards against an explanation that sends something, changes a later decision or differs from it.
TEST_CASE("a request is explained without being sent") {
  GatewayFixture fixture(PaceMode::kAuto);
  ScriptedUpstream* first = fixture.Add(
      "u1", "a", [](ScriptedUpstream&, const HttpCall& call) { RespondWith("done", call); });
  ScriptedUpstream* second = fixture.Add(
      "u2", "b", [](ScriptedUpstream&, const HttpCall& call) { RespondWith("done", call); });
  const auto explain = [&](const std::string& target, const std::string& key = "key") {
    HttpHead head;
    head.method = "GET";
    head.target = target;
    head.fields = {{"Host", "h"}, {"Request-Id", "r1"}, {"Key", key}};
    return fixture.loop.Run([&] { return fixture.gateway->Explain(head); });
  };

  SUBCASE("to the upstream that the next request goes to") {
    const auto answer = explain("/get/x");
    CHECK(answer["route"] == "/get/");
    CHECK(answer["customer"] == "customer");
    CHECK(answer["service"] == "plain");
    CHECK(answer["admission"]["decision"] == "send");
    CHECK(answer["choice"]["upstream"] == "u1");
    REQUIRE(answer["candidates"].size() == 2);
    CHECK(answer["candidates"][0]["reason"] != answer["candidates"][1]["reason"]);
    CHECK(first->requests + second->requests == 0);
    fixture.Call("GET", "/get/x");
    CHECK(first->requests == 1);
  }
  SUBCASE("with the reason of a refusal") {
    CHECK(explain("/get/x", "wrong")["admission"]["reason"] == "unknown_key");
    CHECK(explain("/other/x")["admission"]["status"] == 404);
    const auto answer = explain("/talk/x");
    CHECK(answer["service"] == "model");
    CHECK(answer["admission"]["reason"] == "no_upstream");
    CHECK(answer["choice"].is_null());
  }
  SUBCASE("with an upstream that has no room at its pace") {
    fixture.Call("GET", "/get/x");
    fixture.loop.Run([&] {
      fixture.Announce("u1", "a", first->listener->Address(), 0, 0, /*incarnation=*/2);
      for (int i = 0; i < 2; ++i) fixture.gateway->Pace().Begin("u1");
    });
    const auto answer = explain("/get/x");
    CHECK(answer["choice"]["upstream"] == "u2");
    CHECK(answer["choice"]["held_back_by_pace"] == "u1");
    for (const auto& candidate : answer["candidates"]) {
      if (candidate["upstream"] != "u1") continue;
      CHECK(candidate["reason"] == "no_room_at_its_pace");
    }
  }
  CHECK(second->requests == 0);
}

// Guards against a host that refuses the retries of the first requests for a service, because it
// asks for a quota only with them.
TEST_CASE("a host reports a service for its quota of retries before the first request") {
  GatewayFixture fixture;
  RouteTable table = MakeTable(2);
  table.services["unused"] = {};
  const auto make_report = [&] {
    return fixture.loop.Run([&] { return fixture.gateway->MakeRetryReport(); });
  };
  auto report = make_report();
  REQUIRE(report.has_value());
  CHECK(report->services.count("unused") == 0);
  fixture.loop.Run([&] { fixture.gateway->SetRouteTable(table); });
  report = make_report();
  REQUIRE(report.has_value());
  CHECK(report->services.count("unused") == 1);

  // Guards against reports of hundreds of hosts that say nothing new and slow down the leader.
  SUBCASE("and again only when there is something new") {
    const auto apply = [&] {
      const RetryGrant grant{report->sequence, {{"plain", {1.0, 1.0}}}};
      fixture.loop.Run([&] { fixture.gateway->ApplyRetryGrant(grant); });
    };
    CHECK_MESSAGE(make_report().has_value(), "the last report is not answered");
    ++report->sequence;
    apply();
    CHECK_FALSE(make_report().has_value());
    const auto try_retry = [&] {
      return fixture.loop.Run(
          [&] { return fixture.gateway->TryRetry("plain", RetryPurpose::kFinish); });
    };
    CHECK(try_retry());
    report = make_report();
    REQUIRE(report.has_value());
    CHECK(report->services.at("plain").retries == 1);
    while (try_retry()) continue;
    report = make_report();
    REQUIRE(report.has_value());
    apply();
    CHECK_FALSE(make_report().has_value());
    CHECK_FALSE(try_retry());
    CHECK_MESSAGE(make_report().has_value(), "a retry was refused");
  }
}

}  // namespace
}  // namespace corneltray
