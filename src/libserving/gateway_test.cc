// The data path against upstreams that a test scripts, over loopback sockets.
#include "corneltray/gateway.h"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <optional>
#include <vector>

#include "gateway_fixture_test.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

HttpHead Authentic(int status, const std::string& type = "text/plain") {
  HttpHead head = MakeResponse(status);
  head.Add("Request-Id", "r1");
  head.Add("Mark", "m");
  head.Add("Content-Type", type);
  return head;
}

void AnswerWith(const std::string& body, const HttpCall& call) {
  call.Respond(Authentic(200), body);
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

TEST_CASE("a call reaches an upstream as the caller sent it, and its answer comes back") {
  GatewayFixture fixture;
  ScriptedUpstream* upstream = fixture.Add(
      "u", "a", [](ScriptedUpstream&, const HttpCall& call) { AnswerWith("done", call); });
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

TEST_CASE("a request that may not be served is refused here") {
  GatewayFixture fixture;
  ScriptedUpstream* upstream = fixture.Add(
      "u", "a", [](ScriptedUpstream&, const HttpCall& call) { AnswerWith("done", call); });
  SUBCASE("without a route") { CHECK(StatusOf(fixture.Call("GET", "/none/")) == 404); }
  SUBCASE("with a key that nobody holds") {
    TestSocket caller(fixture.Address());
    REQUIRE(
        caller.Send("GET /get/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nKey: other\r\n"
                    "Connection: close\r\n\r\n"));
    CHECK(StatusOf(caller.ReadWhile([](const std::string&) { return true; })) == 401);
  }
  SUBCASE("with a key that was taken away") {
    RouteTable table = MakeTable(2);
    table.customers[0].keys = {"new"};
    fixture.loop.Run([&] { fixture.gateway->SetRouteTable(table); });
    CHECK(StatusOf(fixture.Call("GET", "/get/")) == 401);
  }
  SUBCASE("not by a table that is older than the one in force") {
    RouteTable table = MakeTable(0);
    table.customers.clear();
    fixture.loop.Run([&] { fixture.gateway->SetRouteTable(table); });
    CHECK(StatusOf(fixture.Call("GET", "/get/")) == 200);
    return;
  }
  // Guards against a request that is taken late in a graceful shutdown and cut off at its end.
  SUBCASE("when the process is about to stop") {
    TestSocket caller(fixture.Address());
    REQUIRE(caller.Send("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n"));
    caller.ReadWhile([](const std::string& read) { return !Contains(read, "\r\n\r\n"); });
    fixture.loop.Run([&] {
      fixture.gateway->BeginDrain();
      fixture.gateway->StopTaking();
    });
    REQUIRE(caller.Send("GET /get/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r\r\nKey: key\r\n\r\n"));
    const std::string answer = caller.ReadWhile([](const std::string&) { return true; });
    CHECK(StatusOf(answer) == 503);
    CHECK(Contains(answer, "Retry-After: "));
    CHECK(Contains(answer, "Connection: close"));
  }
  CHECK(upstream->requests == 0);
}

// Guards against a booking that runs twice, and against a promise that it did not run.
TEST_CASE("a call that may not be repeated is sent once") {
  GatewayFixture fixture;
  int refusals = 0;
  GatewayFixture::Script script;
  SUBCASE("when the connection ends without an answer") {
    script = [](ScriptedUpstream&, const HttpCall& call) { call.Abort(); };
    fixture.Add("u", "a", script);
    fixture.Add("v", "b", script);
    CHECK(StatusOf(fixture.Call("POST", "/book/")) == 502);
  }
  SUBCASE("when the upstream fails, whose answer is passed on") {
    script = [](ScriptedUpstream&, const HttpCall& call) {
      call.Respond(Authentic(500), "broken");
    };
    ScriptedUpstream* u = fixture.Add("u", "a", script);
    ScriptedUpstream* v = fixture.Add("v", "b", script);
    const std::string answer = fixture.Call("POST", "/book/");
    CHECK(StatusOf(answer) == 500);
    CHECK(Contains(answer, "broken"));
    CHECK(u->requests + v->requests == 1);
  }
  SUBCASE("unless the upstream says that it did not run it") {
    script = [&refusals](ScriptedUpstream&, const HttpCall& call) {
      if (refusals++ == 0) return Refuse(call);
      AnswerWith("booked", call);
    };
    fixture.Add("u", "a", script);
    fixture.Add("v", "b", script);
    CHECK(Contains(fixture.Call("POST", "/book/"), "booked"));
  }
  SUBCASE("when nobody ran it the caller is told so, and when to come back") {
    script = [](ScriptedUpstream&, const HttpCall& call) { Refuse(call); };
    fixture.Add("u", "a", script);
    const std::string answer = fixture.Call("POST", "/book/");
    CHECK(StatusOf(answer) == 503);
    CHECK(Contains(answer, "Retry-After: "));
  }
}

TEST_CASE("a call that may be repeated goes to another upstream") {
  GatewayFixture fixture;
  int failures = 0;
  GatewayFixture::Script first;
  SUBCASE("when the connection ends") {
    first = [](ScriptedUpstream&, const HttpCall& call) { call.Abort(); };
  }
  SUBCASE("when the upstream fails") {
    first = [](ScriptedUpstream&, const HttpCall& call) { call.Respond(Authentic(500), ""); };
  }
  SUBCASE("when the answer is not the upstream's own") {
    first = [](ScriptedUpstream&, const HttpCall& call) {
      HttpHead head = MakeResponse(200);
      head.Add("Request-Id", "r1");
      call.Respond(std::move(head), "forged");
    };
  }
  SUBCASE("when there is no answer in time") {
    first = [](ScriptedUpstream& self, const HttpCall& call) { self.parked.push_back(call); };
  }
  const auto script = [&failures, first](ScriptedUpstream& self, const HttpCall& call) {
    if (failures++ == 0) return first(self, call);
    AnswerWith("found", call);
  };
  fixture.Add("u", "a", script);
  fixture.Add("v", "b", script);
  CHECK(Contains(fixture.Call("GET", "/get/"), "found"));
}

// Guards against a failing answer that is replaced by one of ours when no attempt is left.
TEST_CASE("when every upstream fails the caller gets the last failure") {
  GatewayFixture fixture;
  const auto script = [](ScriptedUpstream&, const HttpCall& call) {
    call.Respond(Authentic(500), "the upstream's words");
  };
  ScriptedUpstream* u = fixture.Add("u", "a", script);
  ScriptedUpstream* v = fixture.Add("v", "b", script);
  const std::string answer = fixture.Call("GET", "/get/");
  CHECK(StatusOf(answer) == 500);
  CHECK(Contains(answer, "the upstream's words"));
  CHECK(u->requests + v->requests == 2);
}

// Streams each event of `from` to `to`, then ends the answer or breaks off.
void Stream(const HttpCall& call, int from, int to, bool whole) {
  call.Begin(Authentic(200, "text/event-stream"));
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

// Returns the body of a chunked answer, without its last chunk.
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

// Guards against a token that is missing or comes twice when a stage dies in mid-answer.
TEST_CASE("a generation runs over a chain and goes on at another one") {
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

// Guards against a request that runs at more upstreams than its route allows, when the chains that
// it is given lose stages one after the other while their first stages work on.
TEST_CASE("a generation runs at no more first stages than its route allows") {
  GatewayFixture fixture;
  std::string lost;
  const auto stalls = [&lost](ScriptedUpstream& self, const HttpCall& call) {
    if (call.Head().target == "/report") return call.Respond(MakeResponse(200), lost);
    call.Begin(Authentic(200, "text/event-stream"));
    const std::string after(call.Head().Value("Last-Event"));
    call.Write(Event(after.empty() ? 1 : std::stoi(after) + 1));
    self.parked.push_back(call);
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

// Guards against the same when the first stages are only suspected, because they give no report.
TEST_CASE("a first stage that is only suspected counts as one that has run the request") {
  GatewayFixture fixture;
  const auto silent = [](ScriptedUpstream& self, const HttpCall& call) {
    if (call.Head().target != "/report") {
      call.Begin(Authentic(200, "text/event-stream"));
      const std::string after(call.Head().Value("Last-Event"));
      call.Write(Event(after.empty() ? 1 : std::stoi(after) + 1));
    }
    self.parked.push_back(call);
  };
  std::vector<ScriptedUpstream*> engines;
  for (const char* zone : {"a", "b", "c"}) {
    engines.push_back(fixture.Add(zone, zone, silent, 0, 80));
  }
  SUBCASE("while it announces itself") {}
  SUBCASE("when it has missed announcements, as one that is frozen does") {
    std::this_thread::sleep_for(kSilenceTimeout + milliseconds(100));
  }
  CHECK(Body(fixture.Call("POST", "/talk/")) == Events(1, 2));
  CHECK(engines[0]->requests + engines[1]->requests + engines[2]->requests == 2);
}

TEST_CASE("a stream that cannot go on ends as incomplete") {
  GatewayFixture fixture;
  fixture.Add(
      "a1", "a", [](ScriptedUpstream&, const HttpCall& call) { Stream(call, 1, 3, false); }, 0, 80);
  const std::string answer = fixture.Call("POST", "/talk/");
  CHECK(Body(answer) == Events(1, 3));
  CHECK_FALSE(EndsAsComplete(answer));
}

TEST_CASE("an answer of a stream route that is no event stream is passed on whole") {
  GatewayFixture fixture;
  fixture.Add("u", "a", [](ScriptedUpstream&, const HttpCall& call) { AnswerWith("plain", call); });
  const std::string answer = fixture.Call("POST", "/talk-plain/");
  CHECK(StatusOf(answer) == 200);
  CHECK(Contains(answer, "\r\n\r\nplain"));
}

// Plays the loss of a stage under load: each first stage reports which address its requests wait
// for. Guards against callers that wait for the timeout of the engine, and against the use of an
// attempt that its own suspicion has ended, which ended the process.
TEST_CASE("requests that wait for a lost stage move to another chain at once") {
  GatewayFixture fixture;
  std::string lost;
  bool refuses = false;
  bool is_told = false;
  SUBCASE("when the report of the first stage names it") {}
  SUBCASE("when the first stage refuses after it has waited") { refuses = true; }
  SUBCASE("when a control process tells that it does not answer") { is_told = true; }
  const auto first_of_a = [&](ScriptedUpstream& self, const HttpCall& call) {
    if (call.Head().target != "/report") return self.parked.push_back(call);
    if (refuses) {
      // No report; the engine refuses what it held once its own patience is over.
      return;
    }
    call.Respond(MakeResponse(200), is_told ? "[]" : "[\"" + lost + "\"]");
  };
  const auto never = [](ScriptedUpstream&, const HttpCall& call) { call.Abort(); };
  const auto serve = [](ScriptedUpstream&, const HttpCall& call) { Stream(call, 1, 4, true); };
  ScriptedUpstream* a1 = fixture.Add("a1", "a", first_of_a, 0, 40);
  ScriptedUpstream* a2 = fixture.Add("a2", "a", never, 40, 80);
  lost = fixture.loop.Run([&] { return a2->listener->Address(); });
  std::vector<std::thread> callers;
  std::atomic<int> whole{0};
  constexpr int kCallers = 8;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.emplace_back([&] {
      const std::string answer = fixture.Call("POST", "/talk/");
      if (Body(answer) == Events(1, 4) && EndsAsComplete(answer)) {
        ++whole;
      }
    });
  }
  CHECK(fixture.loop.WaitFor([&] { return a1->requests == kCallers; }));
  fixture.Add("b1", "b", serve, 0, 40);
  fixture.Add("b2", "b", never, 40, 80);
  if (refuses) {
    std::this_thread::sleep_for(milliseconds(1600));
    fixture.loop.Run([&] {
      for (const HttpCall& call : a1->parked) Refuse(call, lost);
    });
  }
  if (is_told) {
    // Longer than a stage may be silent between two events.
    std::this_thread::sleep_for(milliseconds(200));
    fixture.loop.Run([&] { fixture.gateway->UpdateEngineHealth({{"a2", 1, false, 0.0, 1.0}}); });
  }
  for (std::thread& caller : callers) caller.join();
  CHECK(whole == kCallers);
}

// Guards against upstreams that work on for a caller that has left.
TEST_CASE("a caller that leaves ends the work of its upstream") {
  GatewayFixture fixture;
  std::atomic<bool> ended{false};
  ScriptedUpstream* upstream =
      fixture.Add("u", "a", [&ended](ScriptedUpstream& self, const HttpCall& call) {
        call.OnCallerGone([&ended] { ended = true; });
        self.parked.push_back(call);
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
              [](ScriptedUpstream& self, const HttpCall& call) { self.parked.push_back(call); });
  const TimePoint start = Clock::now();
  CHECK(StatusOf(fixture.Call("POST", "/book/", "Time-Left: 300\r\n")) == 504);
  const auto took = Clock::now() - start;
  CHECK(took >= milliseconds(300));
  CHECK(took < milliseconds(800));
}

// Guards against a host that runs out of memory when many upstreams send long bodies at once.
TEST_CASE("answers that are not whole yet share the room for them") {
  GatewayFixture fixture;
  fixture.loop.Run([&] {
    constexpr std::size_t kAnswer = std::size_t{16} * 1024 * 1024;
    CHECK(fixture.gateway->TakeAnswerBytes(kAnswer));
    CHECK(fixture.gateway->TakeAnswerBytes(kAnswer));
    CHECK_FALSE(fixture.gateway->TakeAnswerBytes(kAnswer));
    fixture.gateway->ReleaseAnswerBytes(kAnswer);
    CHECK(fixture.gateway->TakeAnswerBytes(kAnswer));
    fixture.gateway->ReleaseAnswerBytes(2 * kAnswer);
  });
}

TEST_CASE("a host is ready with a route table, upstreams and a lease on keys") {
  GatewayFixture fixture;
  const auto ready = [&fixture] {
    return fixture.loop.Run([&] { return fixture.gateway->IsReady(); });
  };
  CHECK_FALSE(ready());
  fixture.Add("u", "a", [](ScriptedUpstream&, const HttpCall& call) { AnswerWith("", call); });
  CHECK(ready());
  fixture.loop.Run([&] { fixture.gateway->BeginDrain(); });
  CHECK_FALSE(ready());
}

// Plays the start of a host while callers come back after a loss of power. Guards against callers
// that are refused with their last try because the host knows no upstream for a second.
TEST_CASE("requests wait for a host that has just started") {
  GatewayFixture fixture;
  std::string answer;
  std::thread caller([&] { answer = fixture.Call("GET", "/get/"); });
  SUBCASE("until an upstream announces itself") {
    std::this_thread::sleep_for(milliseconds(200));
    fixture.Add("u", "a",
                [](ScriptedUpstream&, const HttpCall& call) { AnswerWith("found", call); });
    caller.join();
    CHECK(Contains(answer, "found"));
  }
  SUBCASE("unless the caller leaves meanwhile") {
    {
      TestSocket impatient(fixture.Address());
      REQUIRE(
          impatient.Send("GET /get/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\nKey: key\r\n\r\n"));
      std::this_thread::sleep_for(milliseconds(100));
    }
    std::this_thread::sleep_for(milliseconds(100));
    ScriptedUpstream* upstream = fixture.Add(
        "u", "a", [](ScriptedUpstream&, const HttpCall& call) { AnswerWith("", call); });
    caller.join();
    CHECK(upstream->requests == 1);
  }
  SUBCASE("but not for long") {
    const TimePoint start = Clock::now();
    caller.join();
    CHECK(StatusOf(answer) == 503);
    CHECK(Clock::now() - start < milliseconds(2500));
    const TimePoint later = Clock::now();
    CHECK(StatusOf(fixture.Call("GET", "/get/")) == 503);
    CHECK(Clock::now() - later < milliseconds(500));
  }
}

}  // namespace
}  // namespace corneltray
