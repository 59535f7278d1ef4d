#include "answer_runner.h"

#include <doctest/doctest.h>

#include "http_api_test.h"

namespace corneltray {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::uint32_t kTokens = 12;

// What an engine does when it has sent `after` tokens of an attempt.
enum class Fault {
  kNone,
  kClose,
  kSilent,
  kError,
  kWrongVersion,
  kCrossed,
  kGap,
  kEarlyEnd,
  kGarbage
};

std::string TextOf(std::uint32_t index) { return "t" + std::to_string(index) + " "; }

std::string Event(const json& event) {
  const std::string data = "data: " + event.dump() + "\n\n";
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + data + "\r\n";
}

// Plays the first stage of a chain: streams the tokens that are missing, with one fault.
void PlayEngine(TestSocket* socket, Fault fault, std::uint32_t after) {
  const std::string request = socket->ReadRequest();
  if (request.find("POST /v1/pipeline/generate") != 0) {
    socket->Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    return;
  }
  const json body = json::parse(request.substr(request.find("\r\n\r\n") + 4));
  const json head = {{"request_id", body["request_id"]}, {"attempt", body["attempt"]}};
  socket->Send(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
  const auto accepted = static_cast<std::uint32_t>(body["accepted"].size());
  const auto token = [&](std::uint32_t index) {
    json event = head;
    event.update({{"index", index}, {"token", index}, {"text", TextOf(index)}, {"version", "1"}});
    return event;
  };
  const auto done = [&](std::uint32_t count) {
    json event = head;
    event.update({{"done", true}, {"finish_reason", "length"}, {"count", count}});
    return event;
  };
  for (std::uint32_t i = accepted; i < kTokens; ++i) {
    if (fault != Fault::kNone && i == accepted + after) {
      json event = token(i);
      switch (fault) {
        case Fault::kNone:
        case Fault::kClose:
          return;
        case Fault::kSilent:
          socket->ReadAll();
          return;
        case Fault::kError:
          socket->Send(Event({{"request_id", body["request_id"]},
                              {"attempt", body["attempt"]},
                              {"error", {{"code", "stage_failed"}, {"stage", "bad"}}}}));
          return;
        case Fault::kWrongVersion:
          event["version"] = "2";
          break;
        case Fault::kCrossed:
          event["request_id"] = "another";
          event["text"] = "wrong ";
          break;
        case Fault::kGap:
          event = token(i + 1);
          break;
        case Fault::kEarlyEnd:
          event = done(i);
          break;
        case Fault::kGarbage:
          event = json::array({1, 2});
          break;
      }
      socket->Send(Event(event));
      if (fault == Fault::kCrossed) {
        fault = Fault::kNone;  // the own token follows
      }
    }
    socket->Send(Event(token(i)));
  }
  socket->Send(Event(done(kTokens)) + "0\r\n\r\n");
}

HttpRequest CompletionRequest(bool stream) {
  const json body = {
      {"model", "assistant"}, {"prompt", "p"}, {"max_tokens", kTokens}, {"stream", stream}};
  return TestRequest("POST", "/v1/completions", body.dump());
}

// Collects the text of a streamed answer. `stop_after` events, the caller hangs up.
struct Caller {
  std::string text;
  std::string finish_reason;
  json error;
  bool done = false;
  int events = 0;

  bool Read(const HttpResponse& response, int stop_after = 1000) {
    return response.stream([&](const std::string& bytes) {
      EventStreamParser parser;
      parser.Feed(bytes.data(), bytes.size(), [&](const std::string& data) {
        ++events;
        if (data == "[DONE]") {
          done = true;
          return true;
        }
        const json event = json::parse(data);
        if (event.contains("error")) {
          error = event["error"];
          return true;
        }
        text += event["choices"][0]["text"].get<std::string>();
        if (event["choices"][0]["finish_reason"].is_string()) {
          finish_reason = event["choices"][0]["finish_reason"];
        }
        return true;
      });
      return events < stop_after;
    });
  }
};

std::string WholeText() {
  std::string text;
  for (std::uint32_t i = 0; i < kTokens; ++i) text += TextOf(i);
  return text;
}

// Guards against tokens that are wrong, lost or repeated after any fault of the first engine: the
// caller gets each token once.
TEST_CASE("an answer survives each fault of an engine") {
  const Fault faults[] = {Fault::kNone,  Fault::kClose,        Fault::kSilent,
                          Fault::kError, Fault::kWrongVersion, Fault::kCrossed,
                          Fault::kGap,   Fault::kEarlyEnd,     Fault::kGarbage};
  for (const Fault fault : faults) {
    for (const std::uint32_t after : {0U, 5U, kTokens - 1}) {
      CAPTURE(static_cast<int>(fault));
      CAPTURE(after);
      ScriptedPeer bad([&](TestSocket* socket) { PlayEngine(socket, fault, after); });
      ScriptedPeer good([&](TestSocket* socket) { PlayEngine(socket, Fault::kNone, 0); });
      TestEntry entry(kTestConfiguration);
      entry.AddEngine("bad", bad.Address(), 0, 23);
      // The first request goes to the faulty engine, because it is the only one then.
      const HttpResponse response = HandleApiRequest(entry.context, CompletionRequest(true));
      REQUIRE(response.stream);
      entry.AddEngine("good", good.Address(), 0, 23);
      Caller caller;
      CHECK(caller.Read(response));
      CHECK(caller.text == WholeText());
      CHECK(caller.finish_reason == "length");
      CHECK(caller.done);
    }
  }
}

TEST_CASE("an answer in one body is whole as well") {
  ScriptedPeer bad([&](TestSocket* socket) { PlayEngine(socket, Fault::kClose, 3); });
  TestEntry entry(kTestConfiguration);
  entry.AddEngine("bad", bad.Address(), 0, 23);
  const HttpResponse response = HandleApiRequest(entry.context, CompletionRequest(false));
  CHECK(response.status == 200);
  const json body = json::parse(response.body);
  CHECK(body["choices"][0]["text"] == WholeText());
  CHECK(body["choices"][0]["finish_reason"] == "length");
}

// Guards against an incomplete answer that looks complete.
TEST_CASE("an answer without engines ends with an error") {
  std::string nobody;
  {
    nobody = ScriptedPeer([](TestSocket*) {}).Address();
  }
  TestEntry entry(kTestConfiguration);
  entry.AddEngine("gone", nobody, 0, 23);
  HttpRequest request = CompletionRequest(true);
  request.headers.emplace_back("corneltray-deadline-ms", std::to_string(UnixNow() + 300));
  Caller caller;
  const TimePoint begin = Clock::now();
  caller.Read(HandleApiRequest(entry.context, request));
  CHECK(Clock::now() - begin < milliseconds(1500));
  CHECK_FALSE(caller.done);
  CHECK(caller.finish_reason.empty());
  CHECK(caller.error.value("code", "") == "upstream_failed");
  CHECK(caller.error.value("outcome", "") == "unknown");
}

// Guards against engines that go on for a caller who has left.
TEST_CASE("a caller who hangs up ends the work of the engine") {
  std::atomic<bool> closed{false};
  const auto silent_after_one = [&](TestSocket* socket) {
    PlayEngine(socket, Fault::kSilent, 1);
    closed = socket->PeerClosed();
  };
  SUBCASE("when a token cannot be written") {
    ScriptedPeer engine(silent_after_one);
    TestEntry entry(kTestConfiguration);
    entry.AddEngine("e1", engine.Address(), 0, 23);
    Caller caller;
    CHECK_FALSE(caller.Read(HandleApiRequest(entry.context, CompletionRequest(true)), 1));
  }
  SUBCASE("while the engine is silent") {
    ScriptedPeer engine(silent_after_one);
    TestEntry entry(kTestConfiguration);
    entry.AddEngine("e1", engine.Address(), 0, 23);
    HttpRequest request = CompletionRequest(false);
    const TimePoint leave = Clock::now() + milliseconds(100);
    request.has_hung_up = [leave] { return Clock::now() >= leave; };
    HandleApiRequest(entry.context, request);
    CHECK(Clock::now() < leave + milliseconds(1000));
  }
  CHECK(closed);
}

// Guards against a caller on a slow link costing resumes.
TEST_CASE("a caller who reads slowly does not end the attempt") {
  ScriptedPeer engine([&](TestSocket* socket) { PlayEngine(socket, Fault::kNone, 0); });
  TestEntry entry(kTestConfiguration);
  entry.AddEngine("e1", engine.Address(), 0, 23);
  Caller caller;
  const HttpResponse response = HandleApiRequest(entry.context, CompletionRequest(true));
  int writes = 0;
  response.stream([&](const std::string& bytes) {
    // Longer than the progress deadline of 200 ms.
    if (++writes == 2) std::this_thread::sleep_for(milliseconds(300));
    caller.text += bytes;
    return true;
  });
  CHECK(caller.text.find("[DONE]") != std::string::npos);
  CHECK(engine.Connections() == 1);
}

}  // namespace
}  // namespace corneltray
