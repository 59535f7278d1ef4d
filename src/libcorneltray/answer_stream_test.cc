#include "corneltray/answer_stream.h"

#include <doctest/doctest.h>

#include <random>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr std::uint32_t kMaxTokens = 4;

AnswerSpec Spec() {
  return {"r1",
          {"assistant", "1", ""},
          24,
          kMaxTokens,
          milliseconds(5000),
          milliseconds(500),
          kStart + milliseconds(30'000)};
}

Chain GoodChain() {
  return {{"assistant", "1", ""},
          {{"e1", "127.0.0.1:1", 1, 0, 11}, {"e2", "127.0.0.1:2", 1, 12, 23}}};
}

TokenEvent Token(std::uint32_t attempt, std::uint32_t index) {
  return {"r1", attempt, index, 100 + index, "t" + std::to_string(index) + " ", "1", std::nullopt};
}

template <class T>
bool Is(const AnswerAction& action) {
  return std::holds_alternative<T>(action);
}

TEST_CASE("an answer of one attempt") {
  AnswerStream stream(Spec());
  REQUIRE(stream.BeginAttempt(GoodChain(), kStart).Ok());
  for (std::uint32_t i = 0; i < 3; ++i) {
    CHECK(Is<DeliverToken>(stream.HandleEvent(Token(1, i), kStart)));
  }

  SUBCASE("ends with its stop reason") {
    CHECK(Is<FinishAnswer>(stream.HandleEvent(DoneEvent{"r1", 1, "stop", 3}, kStart)));
    CHECK(stream.IsFinished());
    CHECK(stream.Text() == "t0 t1 t2 ");
    // Guards against tokens that arrive late changing a finished answer.
    CHECK(Is<DiscardEvent>(stream.HandleEvent(Token(1, 3), kStart)));
    CHECK(stream.Discarded(DiscardReason::kAfterEnd) == 1);
    CHECK(stream.Tokens().size() == 3);
  }

  // Guards against an answer with fewer tokens than were generated shown as complete.
  SUBCASE("is not complete when the reported end does not match its tokens") {
    const DoneEvent ends[] = {{"r1", 1, "stop", 4},   {"r1", 1, "stop", 2}, {"r1", 1, "length", 3},
                              {"r1", 1, "length", 4}, {"r1", 1, "", 3},     {"r1", 1, "error", 3}};
    for (const DoneEvent& end : ends) {
      CAPTURE(end.finish_reason);
      CAPTURE(end.count);
      AnswerStream copy = stream;
      const AnswerAction action = copy.HandleEvent(end, kStart);
      REQUIRE(Is<ResumeAnswer>(action));
      CHECK(std::get<ResumeAnswer>(action).reason == ResumeReason::kIncomplete);
      CHECK_FALSE(copy.IsFinished());
    }
  }

  // Guards against tokens of another request, an earlier attempt or a repeated frame.
  SUBCASE("ignores what is not its next token") {
    TokenEvent other = Token(1, 3);
    other.request_id = "r2";
    CHECK(Is<DiscardEvent>(stream.HandleEvent(other, kStart)));
    CHECK(Is<DiscardEvent>(stream.HandleEvent(Token(2, 3), kStart)));
    CHECK(Is<DiscardEvent>(stream.HandleEvent(Token(1, 1), kStart)));
    CHECK(Is<DiscardEvent>(stream.HandleEvent(DoneEvent{"r2", 1, "stop", 3}, kStart)));
    CHECK(stream.Discarded(DiscardReason::kOtherRequest) == 2);
    CHECK(stream.Discarded(DiscardReason::kOtherAttempt) == 1);
    CHECK(stream.Discarded(DiscardReason::kDuplicate) == 1);
    CHECK(stream.Text() == "t0 t1 t2 ");
  }

  // Guards against tokens computed with other weights.
  SUBCASE("leaves an attempt whose token names another version") {
    TokenEvent token = Token(1, 3);
    token.version = "2";
    const AnswerAction action = stream.HandleEvent(token, kStart);
    REQUIRE(Is<ResumeAnswer>(action));
    CHECK(std::get<ResumeAnswer>(action).reason == ResumeReason::kWrongVersion);
    CHECK(stream.NextIndex() == 3);
  }

  SUBCASE("is complete when all tokens are there and only the end is lost") {
    CHECK(Is<DeliverToken>(stream.HandleEvent(Token(1, 3), kStart)));
    CHECK(Is<FinishAnswer>(stream.HandleAttemptFailure(ResumeReason::kStreamClosed, kStart)));
  }

  SUBCASE("stops at max_tokens even if the engine goes on") {
    CHECK(Is<DeliverToken>(stream.HandleEvent(Token(1, 3), kStart)));
    CHECK(Is<DiscardEvent>(stream.HandleEvent(Token(1, 4), kStart)));
    CHECK(stream.Tokens().size() == kMaxTokens);
  }
}

TEST_CASE("an attempt that fails is resumed with the next index") {
  AnswerStream stream(Spec());
  REQUIRE(stream.BeginAttempt(GoodChain(), kStart).Ok());
  CHECK(stream.NextDeadline() == kStart + milliseconds(5000));
  CHECK(!stream.Tick(kStart + milliseconds(4999)));

  SUBCASE("after the first-token deadline") {
    const auto action = stream.Tick(kStart + milliseconds(5000));
    REQUIRE(action);
    CHECK(std::get<ResumeAnswer>(*action).reason == ResumeReason::kNoFirstToken);
  }
  SUBCASE("after the progress deadline, which each token moves") {
    const TimePoint later = kStart + milliseconds(1000);
    CHECK(Is<DeliverToken>(stream.HandleEvent(Token(1, 0), later)));
    // Guards against a stream that is kept alive by events which are not progress.
    CHECK(Is<DiscardEvent>(stream.HandleEvent(Token(1, 0), later + milliseconds(400))));
    CHECK(!stream.Tick(later + milliseconds(499)));
    AnswerStream slow_caller = stream;
    const auto action = stream.Tick(later + milliseconds(500));
    REQUIRE(action);
    CHECK(std::get<ResumeAnswer>(*action).reason == ResumeReason::kNoProgress);

    // Guards against a caller on a slow link making its engine look stalled.
    SUBCASE("unless the time went into writing to the caller") {
      slow_caller.RestartProgress(later + milliseconds(700));
      CHECK(!slow_caller.Tick(later + milliseconds(1199)));
      CHECK(slow_caller.Tick(later + milliseconds(1200)));
    }
    SUBCASE("and the next attempt goes on where the first stopped") {
      REQUIRE(stream.BeginAttempt(GoodChain(), later).Ok());
      CHECK(stream.Attempt() == 2);
      CHECK(stream.NextIndex() == 1);
      CHECK(Is<DiscardEvent>(stream.HandleEvent(Token(1, 1), later)));
      CHECK(Is<DiscardEvent>(stream.HandleEvent(Token(2, 0), later)));
      for (std::uint32_t i = 1; i < kMaxTokens; ++i) stream.HandleEvent(Token(2, i), later);
      CHECK(Is<FinishAnswer>(stream.HandleEvent(DoneEvent{"r1", 2, "length", 4}, later)));
      CHECK(stream.Text() == "t0 t1 t2 t3 ");
    }
  }
  SUBCASE("after an error event, naming the stage") {
    const AnswerAction action =
        stream.HandleEvent(EngineErrorEvent{"r1", 1, "stage_failed", "", "e2"}, kStart);
    REQUIRE(Is<ResumeAnswer>(action));
    CHECK(std::get<ResumeAnswer>(action).failed_stage == "e2");
  }
  SUBCASE("after a skipped token") {
    const AnswerAction action = stream.HandleEvent(Token(1, 1), kStart);
    REQUIRE(Is<ResumeAnswer>(action));
    CHECK(std::get<ResumeAnswer>(action).reason == ResumeReason::kMissingToken);
  }
  // Guards against a failure of engines that is reported as a slow answer, and the reverse.
  SUBCASE("but not after the deadline of the request") {
    const TimePoint deadline = kStart + milliseconds(30'000);
    AnswerStream slow = stream;
    const AnswerAction action = stream.HandleAttemptFailure(ResumeReason::kStreamClosed, deadline);
    REQUIRE(Is<FailAnswer>(action));
    CHECK(std::get<FailAnswer>(action).failure == AnswerFailure::kUpstreamFailed);
    CHECK(!stream.BeginAttempt(GoodChain(), kStart).Ok());

    const auto ticked = slow.Tick(deadline);
    REQUIRE(ticked);
    CHECK(std::get<FailAnswer>(*ticked).failure == AnswerFailure::kDeadlineExceeded);
    CHECK(!slow.BeginAttempt(GoodChain(), kStart).Ok());
  }
  SUBCASE("and fails as a whole when no chain is left") {
    CHECK(Is<ResumeAnswer>(stream.HandleAttemptFailure(ResumeReason::kConnectFailed, kStart)));
    const AnswerAction action = stream.GiveUp();
    REQUIRE(Is<FailAnswer>(action));
    CHECK(std::get<FailAnswer>(action).failure == AnswerFailure::kUpstreamFailed);
    CHECK_FALSE(stream.IsFinished());
  }
}

// Guards against an attempt that skips or repeats a layer, or mixes weights.
TEST_CASE("an attempt starts only on a chain that runs every layer once") {
  const auto with = [](auto change) {
    Chain chain = GoodChain();
    change(chain);
    return chain;
  };
  const Chain bad[] = {
      with([](Chain& c) { c.stages.clear(); }),
      with([](Chain& c) { c.stages.pop_back(); }),
      with([](Chain& c) { c.stages[1].first_layer = 11; }),
      with([](Chain& c) { c.stages[1].first_layer = 13; }),
      with([](Chain& c) { c.stages[1].last_layer = 24; }),
      with([](Chain& c) { std::swap(c.stages[0], c.stages[1]); }),
      with([](Chain& c) { c.key.version = "2"; }),
      with([](Chain& c) { c.key.adapter = "loans"; }),
  };
  for (const Chain& chain : bad) {
    AnswerStream stream(Spec());
    CHECK(!stream.BeginAttempt(chain, kStart).Ok());
    CHECK(stream.Attempt() == 0);
  }
}

TEST_CASE("engine events are decoded from their JSON form") {
  const auto token = DecodeEngineEvent(
      R"({"request_id":"r1","attempt":2,"index":5,"token":17,"text":"a","version":"1","load":{"running":3,"waiting":0,"kv_used":0.5}})");
  REQUIRE(token.Ok());
  CHECK(std::get<TokenEvent>(token.value()).index == 5);
  CHECK(std::get<TokenEvent>(token.value()).load->running == 3);
  // Guards against a crash on bytes from an engine.
  const char* malformed[] = {
      "",
      "[",
      "3",
      "{}",
      R"({"request_id":1,"attempt":1})",
      R"({"request_id":"r1","attempt":-1.5})",
      R"({"request_id":"r1","attempt":1,"index":0})",
      R"({"request_id":"r1","attempt":1,"done":true})",
      R"({"request_id":"r1","attempt":1,"error":3})",
      R"({"request_id":"r1","attempt":1,"index":0,"token":1,"text":"a","version":"1","load":{"running":"x"}})"};
  for (const char* text : malformed) {
    CAPTURE(text);
    CHECK(!DecodeEngineEvent(text).Ok());
  }
}

// Guards against a wrong answer over random mixes of late, repeated, misdirected and missing
// events: whatever arrives, a finished answer has exactly its tokens in order.
TEST_CASE("random event orders never give a wrong answer") {
  for (unsigned seed = 1; seed <= 300; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    AnswerStream stream(Spec());
    TimePoint now = kStart;
    std::string delivered;
    bool running = stream.BeginAttempt(GoodChain(), now).Ok();
    for (int step = 0; step < 60 && !stream.IsFinished(); ++step) {
      if (!running) running = stream.BeginAttempt(GoodChain(), now).Ok();
      AnswerAction action = DiscardEvent{};
      const std::uint32_t attempt = random() % 3 == 0 ? random() % 4 : stream.Attempt();
      switch (random() % 8) {
        case 0:
          action = stream.HandleAttemptFailure(ResumeReason::kStreamClosed, now);
          break;
        case 1: {
          TokenEvent crossed = Token(attempt, stream.NextIndex());
          crossed.request_id = "r2";
          action = stream.HandleEvent(crossed, now);
          break;
        }
        case 2:
          action = stream.HandleEvent(
              DoneEvent{"r1", attempt, "length", static_cast<std::uint32_t>(random() % 6)}, now);
          break;
        case 3:
          now += milliseconds(random() % 600);
          if (auto ticked = stream.Tick(now)) action = *ticked;
          break;
        default:
          action = stream.HandleEvent(Token(attempt, random() % 5), now);
      }
      if (const auto* token = std::get_if<DeliverToken>(&action)) delivered += token->text;
      if (Is<ResumeAnswer>(action)) running = false;
      if (Is<FailAnswer>(action)) break;
    }
    CHECK(delivered == stream.Text());
    CHECK(std::string("t0 t1 t2 t3 ").compare(0, delivered.size(), delivered) == 0);
    if (stream.IsFinished()) CHECK(delivered == "t0 t1 t2 t3 ");
  }
}

}  // namespace
}  // namespace corneltray
