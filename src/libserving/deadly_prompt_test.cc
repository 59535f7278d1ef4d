// Tests of the data path with upstreams that crash when they begin an answer to a certain prompt.
#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "gateway_fixture_test.h"

namespace corneltray {
namespace {

// Upstreams without layers that close the connection in the first event of the answer if the prompt
// holds the part "deadly", and then are gone.
class DeadlyFixture : public GatewayFixture {
 public:
  DeadlyFixture() {
    for (int number = 0; number < kUpstreams; ++number) {
      const std::string name = "u" + std::to_string(number);
      Add(name, "a", [this, name](ScriptedUpstream& self, const HttpCall& call) {
        HttpHead head = MakeResponse(200);
        head.Add("Request-Id", "r1");
        head.Add("Mark", "m");
        head.Add("Content-Type", "text/event-stream");
        call.Begin(std::move(head));
        if (call.Head().Value("Prompt-Parts").find("deadly") == std::string_view::npos) {
          call.Write(Event(1) + Event(2));
          return call.End();
        }
        ++crashes;
        call.Write("id: 1");
        call.Abort();
        Leave(name, self.listener->Address());
      });
    }
  }

  void Leave(const std::string& name, const std::string& address) {
    UpstreamUpdates updates;
    updates.updates.push_back(TestEngine(name, "a", "fast", 0, 0));
    updates.updates.front().announcement.service = "plain";
    updates.updates.front().announcement.address = address;
    updates.updates.front().has_left = true;
    gateway->UpdateUpstreams(updates);
  }

  // Sends one request whose prompt holds these parts. Returns the whole response.
  std::string Ask(const std::string& parts) {
    return Call("POST", "/talk-plain/", "Prompt-Parts: " + parts + "\r\n");
  }

  std::atomic<int> crashes{0};

 private:
  static constexpr int kUpstreams = 30;
};

bool HasStatus(const std::string& response, const std::string& status) {
  return response.compare(0, 12, "HTTP/1.1 " + status) == 0;
}

// Guards against requests with one prompt part that crash upstreams one after the other.
TEST_CASE("requests with a part that was present in crashes are refused") {
  // Of the platform: what counts is how many requests follow the fifth crash.
  constexpr int kMaxCrashes = 5;
  DeadlyFixture fixture;
  REQUIRE(HasStatus(fixture.Ask("first other"), "200"));
  std::this_thread::sleep_for(kRecentlyBegun);
  std::string last;
  for (int request = 0; request < 20; ++request) {
    std::this_thread::sleep_for(kCommonCauseWindow);
    last = fixture.Ask("first deadly");
  }
  CHECK(fixture.crashes.load() <= kMaxCrashes);
  CHECK(HasStatus(last, "503"));
  CHECK(last.find("Retry-After: ") != std::string::npos);
  // Sound ones with the same beginning are served, which shows that the other part is the cause.
  CHECK(HasStatus(fixture.Ask("first another"), "200"));
  CHECK(HasStatus(fixture.Ask("second deadly"), "503"));
  CHECK(fixture.crashes.load() <= kMaxCrashes);
}

// Guards against upstreams that crash after the verdict on requests from before it, which took the
// last copy of a model.
TEST_CASE("a request whose part is quarantined after its start reaches no upstream any more") {
  GatewayFixture fixture;
  const auto keep = [](ScriptedUpstream& self, const HttpCall& call) {
    if (call.Head().target == "/report") return call.Respond(MakeResponse(200), "[]");
    self.pending.push_back(call);
  };
  const auto quarantine = [&] {
    fixture.loop.Run([&] {
      fixture.gateway->UpdatePromptVerdicts(
          {{"part", PartState::kQuarantined, 1, {2, 2}, std::chrono::seconds(10), {}}});
    });
  };
  ScriptedUpstream* engine = fixture.Add("a1", "a", keep, 0, 80);
  const auto is_open = [&] {
    return fixture.loop.Run([&] { return engine->pending.front().IsOpen(); });
  };
  std::string response;
  std::thread caller([&] { response = fixture.Call("POST", "/talk/", "Prompt-Parts: part\r\n"); });
  REQUIRE(fixture.loop.WaitFor([&] { return engine->requests == 1; }));

  SUBCASE("it is taken back from the upstream at which it waits") {
    quarantine();
    caller.join();
    CHECK(HasStatus(response, "502"));
    CHECK(fixture.loop.WaitFor([&] { return !engine->pending.front().IsOpen(); }));
  }
  SUBCASE("but not if an answer with the part has begun before") {
    fixture.loop.Run([&] { fixture.gateway->ReportAnswerBegun({"part"}); });
    quarantine();
    CHECK(is_open());
    fixture.loop.Run([&] { engine->pending.front().Abort(); });
    caller.join();
  }
  SUBCASE("it is not sent while it waits for another chain") {
    fixture.loop.Run([&] { engine->pending.front().Abort(); });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    quarantine();
    ScriptedUpstream* other = fixture.Add("b1", "b", keep, 0, 80);
    caller.join();
    CHECK(HasStatus(response, "502"));
    CHECK(other->requests == 0);
  }
}

// Guards against a part that is refused after connections were reset, though answers begin with it.
TEST_CASE("a part with which answers begin is not quarantined") {
  DeadlyFixture fixture;
  for (int request = 0; request < 5; ++request) {
    std::this_thread::sleep_for(kCommonCauseWindow);
    fixture.loop.Run([&] {
      fixture.gateway->ReportCrash("u" + std::to_string(request), CrashPhase::kBeforeFirstEvent,
                                   {"part"});
    });
    CHECK(HasStatus(fixture.Ask("part"), "200"));
  }
}

// Guards against a crash that is missed because another request of the host noticed it first.
TEST_CASE("a crash counts for every request that waits for the first event of its answer") {
  GatewayFixture fixture;
  std::vector<CrashReport> reports;
  fixture.loop.Run([&] {
    fixture.gateway->SetQuarantineHandler([&reports](const QuarantineAction& action) {
      if (const auto* report = std::get_if<CrashReport>(&action)) reports.push_back(*report);
      return true;
    });
  });
  std::atomic<int> waiting{0};
  const auto wait = [&waiting](ScriptedUpstream& self, const HttpCall& call) {
    if (call.Head().target == "/report") return call.Respond(MakeResponse(200), "[]");
    HttpHead head = MakeResponse(200);
    head.Add("Request-Id", "r1");
    head.Add("Mark", "m");
    head.Add("Content-Type", "text/event-stream");
    if (call.Head().Value("Prompt-Parts") == "begun") {
      call.Begin(std::move(head));
      call.Write("id: 1");
    }
    self.pending.push_back(call);
    ++waiting;
  };
  ScriptedUpstream* engine = fixture.Add("a1", "a", wait, 0, 80);
  const auto ask = [&fixture](const std::string& parts) {
    return std::thread(
        [&fixture, parts] { fixture.Call("POST", "/talk/", "Prompt-Parts: " + parts + "\r\n"); });
  };
  std::thread begun = ask("begun");
  std::thread queued = ask("queued");
  while (waiting < 2) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  // Longer than a request has to be silent before it fails over.
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  fixture.loop.Run([&] {
    for (const HttpCall& call : engine->pending) {
      if (call.Head().Value("Prompt-Parts") == "queued") call.Abort();
    }
  });
  begun.join();
  queued.join();
  fixture.loop.Run([&] {
    REQUIRE(reports.size() == 2);
    const CrashReport& of_begun = reports[reports[0].parts.front() == "begun" ? 0 : 1];
    CHECK(of_begun.parts == std::vector<std::string>{"begun"});
    CHECK(of_begun.phase == CrashPhase::kBeforeFirstEvent);
    CHECK(of_begun.upstream == "a1");
  });
}

const char kStreamHead[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nMark: m\r\nContent-Type: text/event-stream\r\n";

bool EndsAsComplete(const std::string& response) {
  const std::string last_chunk = "0\r\n\r\n";
  return response.size() > last_chunk.size() &&
         response.compare(response.size() - last_chunk.size(), last_chunk.size(), last_chunk) == 0;
}

// Guards against a crash that is taken for the end of a response without length and chunks: the
// caller would get it as complete, and the prompt part would be taken for sound.
TEST_CASE("a stream whose connection ends before its first event is incomplete") {
  GatewayFixture fixture;
  std::vector<CrashReport> reports;
  fixture.loop.Run([&] {
    fixture.gateway->SetQuarantineHandler([&reports](const QuarantineAction& action) {
      if (const auto* report = std::get_if<CrashReport>(&action)) reports.push_back(*report);
      return true;
    });
  });
  const std::string parts = "Prompt-Parts: part\r\n";

  SUBCASE("and is sent to another upstream") {
    const ScriptedPeer crashing([](TestSocket* socket) {
      socket->ReadRequest();
      socket->Send(std::string(kStreamHead) + "\r\n");
    });
    fixture.loop.Run([&] { fixture.Announce("u", "a", crashing.Address()); });
    fixture.Add("v", "b", [](ScriptedUpstream&, const HttpCall& call) {
      HttpHead head = MakeResponse(200);
      head.Add("Request-Id", "r1");
      head.Add("Mark", "m");
      head.Add("Content-Type", "text/event-stream");
      call.Begin(std::move(head));
      call.Write(Event(1) + Event(2));
      call.End();
    });
    const std::string response = fixture.Call("POST", "/talk-plain/", parts);
    CHECK(response.find(Event(2)) != std::string::npos);
    CHECK(EndsAsComplete(response));
    const std::vector<CrashReport> crashes = fixture.loop.Run([&] { return reports; });
    CHECK(crashes.size() == 1);
    for (const CrashReport& crash : crashes) {
      CHECK(crash.upstream == "u");
      CHECK(crash.phase == CrashPhase::kBeforeFirstEvent);
    }
  }
  SUBCASE("also when it resumes a stream that another upstream broke off") {
    const ScriptedPeer breaking([](TestSocket* socket) {
      socket->ReadRequest();
      socket->Send(std::string(kStreamHead) + "\r\n" + Event(1) + "id: 2");
    });
    const ScriptedPeer crashing([](TestSocket* socket) {
      socket->ReadRequest();
      socket->Send(std::string(kStreamHead) + "\r\n");
    });
    fixture.loop.Run([&] {
      fixture.Announce("u", "a", breaking.Address());
      fixture.Announce("v", "b", crashing.Address());
    });
    const std::string response = fixture.Call("POST", "/talk-plain/", parts);
    CHECK(response.find(Event(1)) != std::string::npos);
    CHECK_FALSE(EndsAsComplete(response));
  }
  SUBCASE("unless it has a length") {
    const ScriptedPeer empty([](TestSocket* socket) {
      socket->ReadRequest();
      socket->Send(std::string(kStreamHead) + "Content-Length: 0\r\n\r\n");
    });
    fixture.loop.Run([&] { fixture.Announce("u", "a", empty.Address()); });
    CHECK(HasStatus(fixture.Call("POST", "/talk-plain/", parts), "200"));
    fixture.loop.Run([&] { CHECK(reports.empty()); });
  }
  SUBCASE("but complete if it ends after an event") {
    const ScriptedPeer whole([](TestSocket* socket) {
      socket->ReadRequest();
      socket->Send(std::string(kStreamHead) + "\r\n" + Event(1) + Event(2));
    });
    fixture.loop.Run([&] { fixture.Announce("u", "a", whole.Address()); });
    CHECK(EndsAsComplete(fixture.Call("POST", "/talk-plain/", parts)));
    fixture.loop.Run([&] { CHECK(reports.empty()); });
  }
}

}  // namespace
}  // namespace corneltray
