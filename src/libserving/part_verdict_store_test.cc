#include "corneltray/part_verdict_store.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "corneltray/control_state.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr UnixMs kUnixStart = 1'700'000'000'000;
const std::vector<std::string> kPrompt = {"shared", "deadly"};

UnixMs UnixAt(TimePoint time) {
  return kUnixStart + std::chrono::duration_cast<milliseconds>(time - kStart).count();
}

// Crashes that quarantine the parts of the prompt.
void CrashTwice(CrashAttribution* attribution, TimePoint now) {
  for (const char* upstream : {"u1", "u2"}) {
    attribution->OnCrash(now, {upstream, 1, 1, CrashPhase::kBeforeFirstEvent, kPrompt});
    now += seconds(1);
  }
}

// Records what a control process knows. Returns the number of verdicts that were proposed.
std::size_t Record(const CrashAttribution& attribution, ControlState* state, TimePoint now) {
  const auto unrecorded =
      FindUnrecorded(attribution.Verdicts(now), state->GetPartVerdicts().Verdicts(), UnixAt(now));
  if (!unrecorded.empty()) {
    const auto command = DecodeCommand(EncodeCommand(RecordPartVerdicts{unrecorded}));
    REQUIRE(command.Ok());
    state->Apply(command.value(), UnixAt(now));
  }
  return unrecorded.size();
}

CrashAttribution Recover(const ControlState& state, TimePoint now) {
  CrashAttribution attribution;
  attribution.Merge(now, RecoverVerdicts(state.GetPartVerdicts().Verdicts(), UnixAt(now)));
  return attribution;
}

bool IsRefused(const CrashAttribution& attribution, TimePoint now,
               const std::vector<std::string>& parts = kPrompt) {
  return !attribution.FindQuarantined(now, parts).empty();
}

// Guards against a kill of all processes that forgets which prompt parts crash upstreams, after
// which requests with them crash nearly as many again.
TEST_CASE("verdicts on prompt parts outlive a restart of every process") {
  CrashAttribution attribution;
  CrashTwice(&attribution, kStart);
  const TimePoint now = kStart + seconds(2);
  REQUIRE(IsRefused(attribution, now));
  ControlState state;
  REQUIRE(Record(attribution, &state, now) == 2);

  SUBCASE("and are recorded once") {
    CHECK(Record(attribution, &state, now) == 0);
    CHECK(Record(Recover(state, now), &state, now + milliseconds(100)) == 0);
  }
  SUBCASE("the recovered process refuses the same requests, and no others") {
    ControlState restored;
    REQUIRE(restored.Restore(state.Snapshot()).Ok());
    const CrashAttribution recovered = Recover(restored, now);
    CHECK(IsRefused(recovered, now));
    CHECK_FALSE(IsRefused(recovered, now, {"shared", "other"}));
  }
  SUBCASE("the recovered process waits as long with a trial") {
    CrashAttribution recovered = Recover(state, now + seconds(1));
    CHECK_FALSE(recovered.GrantTrial(now + seconds(8), "deadly", TrialReason::kDelayElapsed));
    CHECK(recovered.GrantTrial(now + seconds(10), "deadly", TrialReason::kDelayElapsed));
  }
  SUBCASE("a further crash is recorded, because it makes the refusal longer") {
    attribution.OnCrash(now, {"u3", 1, 1, CrashPhase::kBeforeFirstEvent, kPrompt});
    CHECK(Record(attribution, &state, now) == 2);
    CrashAttribution recovered = Recover(state, now);
    CHECK_FALSE(recovered.GrantTrial(now + seconds(30), "deadly", TrialReason::kDelayElapsed));
  }
  SUBCASE("a part that has left quarantine is served after a restart as well") {
    attribution.OnAnswerBegun(now, kPrompt);
    CHECK(Record(attribution, &state, now) == 2);
    CHECK_FALSE(IsRefused(Recover(state, now), now));
    CHECK(Record(attribution, &state, now) == 0);

    SUBCASE("and an older verdict of a process that lags does not bring it back") {
      CrashAttribution lagging;
      CrashTwice(&lagging, kStart);
      CHECK(Record(lagging, &state, now) == 0);
      CHECK_FALSE(IsRefused(Recover(state, now), now));
    }
    SUBCASE("and a new verdict is recorded once the old one is forgotten") {
      const TimePoint later = now + kSoundRetention + seconds(1);
      CrashAttribution fresh;
      CrashTwice(&fresh, later);
      CHECK(Record(fresh, &state, later + seconds(2)) == 2);
      CHECK(IsRefused(Recover(state, later + seconds(2)), later + seconds(2)));
    }
  }
  SUBCASE("a verdict that has expired is not recovered") {
    const TimePoint later = now + kTrialDelay + kMaxTrialDelay + seconds(1);
    CHECK_FALSE(IsRefused(Recover(state, later), later));
  }
}

// Guards against a restart that forgets the crashes which did not suffice for a quarantine, as
// those of several upstreams at the same moment: as many may follow before the part is found out.
TEST_CASE("suspicions outlive a restart of every process") {
  CrashAttribution attribution;
  for (const char* upstream : {"u1", "u2", "u3"}) {
    attribution.OnCrash(kStart, {upstream, 1, 1, CrashPhase::kBeforeFirstEvent, kPrompt});
  }
  const TimePoint now = kStart + seconds(1);
  REQUIRE(attribution.StateOf(now, "deadly") == PartState::kSuspected);
  ControlState state;
  REQUIRE(Record(attribution, &state, now) == 2);
  CHECK(Record(attribution, &state, now) == 0);
  CrashAttribution recovered = Recover(state, now);
  CHECK_FALSE(IsRefused(recovered, now));

  SUBCASE("the next crash then suffices") {
    recovered.OnCrash(now, {"u4", 1, 1, CrashPhase::kBeforeFirstEvent, kPrompt});
    CHECK(IsRefused(recovered, now));
  }
  SUBCASE("unless an answer with the part began before the restart") {
    attribution.OnAnswerBegun(now, kPrompt);
    CHECK(Record(attribution, &state, now) == 2);
    recovered = Recover(state, now);
    recovered.OnCrash(now, {"u4", 1, 1, CrashPhase::kBeforeFirstEvent, kPrompt});
    CHECK_FALSE(IsRefused(recovered, now));
  }
  SUBCASE("but not for ever") {
    const TimePoint later = now + kEvidenceLifetime;
    recovered = Recover(state, later);
    recovered.OnCrash(later, {"u4", 1, 1, CrashPhase::kBeforeFirstEvent, kPrompt});
    CHECK_FALSE(IsRefused(recovered, later));
  }
  SUBCASE("and a request that was in the queue leaves none") {
    CrashAttribution other;
    other.OnCrash(now, {"u5", 1, 1, CrashPhase::kBeforeFirstEvent, {"begun"}});
    other.OnCrash(now, {"u5", 1, 1, CrashPhase::kBeforeHead, {"queued"}});
    CHECK(Record(other, &state, now) == 1);
  }
}

// Guards against a refusal for hours because the clocks of two hosts differ.
TEST_CASE("a recovered trial is never due later than the longest delay") {
  const StoredPartVerdict stored{"deadly", PartState::kQuarantined, 1, 9,
                                 9,        kUnixStart + 86'400'000, {}};
  const auto verdicts = RecoverVerdicts({stored}, kUnixStart);
  REQUIRE(verdicts.size() == 1);
  CHECK(verdicts[0].trial_in == kMaxTrialDelay);
}

// Guards against a snapshot that grows with each part that callers choose.
TEST_CASE("the number of stored verdicts is bounded") {
  PartVerdictStore store;
  RecordPartVerdicts command;
  for (std::size_t i = 0; i < kMaxStoredVerdicts + 10; ++i) {
    const auto trial_at = kUnixStart + static_cast<UnixMs>(i);
    command.verdicts.push_back(
        {"part" + std::to_string(i), PartState::kQuarantined, 1, 2, 2, trial_at, {}});
  }
  store.Apply(command, kUnixStart);
  CHECK(store.Verdicts().size() == kMaxStoredVerdicts);
  // The verdicts that expire last are kept.
  for (const StoredPartVerdict& verdict : store.Verdicts()) CHECK(verdict.part != "part0");
}

}  // namespace
}  // namespace corneltray
