#include "corneltray/crash_attribution.h"

#include <doctest/doctest.h>

#include <ostream>
#include <string>
#include <vector>

#include "engine_fleet_test.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr TrialReason kDue = TrialReason::kDelayElapsed;

CrashReport Crash(const std::string& upstream, std::vector<std::string> parts,
                  CrashPhase phase = CrashPhase::kBeforeFirstEvent) {
  return {upstream, 1, 10, phase, std::move(parts)};
}

// Guards against requests with one prompt part that crash one upstream after the other.
TEST_CASE("a part that was present in two crashes is quarantined") {
  CrashAttribution attribution;
  attribution.OnCrash(kStart, Crash("a", {"shared", "deadly", "x"}));
  CHECK(attribution.StateOf(kStart, "deadly") == PartState::kSuspected);

  SUBCASE("but not while an answer with it may still begin") {
    attribution.OnCrash(kStart + milliseconds(10), Crash("a", {"shared", "deadly", "y"}));
    CHECK(attribution.StateOf(kStart + milliseconds(10), "deadly") == PartState::kSuspected);
  }
  SUBCASE("and the parts with which an answer began in between are not") {
    attribution.OnAnswerBegun(kStart + milliseconds(100), {"shared", "z"});
    attribution.OnCrash(kStart + milliseconds(900), Crash("b", {"shared", "deadly", "y"}));
    const TimePoint now = kStart + seconds(1);
    CHECK(attribution.StateOf(now, "deadly") == PartState::kQuarantined);
    CHECK(attribution.StateOf(now, "shared") == PartState::kSuspected);
    CHECK(attribution.StateOf(now, "y") == PartState::kSuspected);
    attribution.OnAnswerBegun(now, {"shared"});
    CHECK(attribution.StateOf(now, "shared") == PartState::kSound);
  }
  SUBCASE("and requests with a part that was always beside it are not refused") {
    attribution.OnCrash(kStart + milliseconds(900), Crash("b", {"shared", "deadly"}));
    const TimePoint now = kStart + seconds(1);
    CHECK(attribution.FindQuarantined(now, {"shared", "deadly"}).size() == 2);
    CHECK(attribution.FindQuarantined(now, {"shared", "y"}).empty());
    attribution.OnAnswerBegun(now, {"shared", "y"});
    CHECK(attribution.FindQuarantined(now, {"shared"}).empty());
    CHECK(attribution.FindQuarantined(now, {"other", "deadly"}).size() == 1);
  }
  SUBCASE("also beside parts that change") {
    attribution.OnCrash(kStart + milliseconds(900), Crash("b", {"other", "deadly"}));
    CHECK(attribution.FindQuarantined(kStart + seconds(1), {"third", "deadly"}).size() == 1);
    CHECK(attribution.FindQuarantined(kStart + seconds(1), {"shared", "other"}).empty());
  }
  SUBCASE("and the evidence of an old crash expires") {
    const TimePoint now = kStart + kEvidenceLifetime + seconds(1);
    attribution.OnCrash(now, Crash("b", {"deadly"}));
    CHECK(attribution.StateOf(now, "deadly") == PartState::kSuspected);
  }
}

// Guards against the requests in the queue of a crashed upstream being taken for the cause: a fleet
// that repeats them sees them in crash after crash.
TEST_CASE("a request whose answer had not begun counts only if no other explains the crash") {
  CrashAttribution attribution;
  TimePoint now = kStart;
  const auto crash = [&](int number) {
    std::string upstream = "u" + std::to_string(number);
    now += seconds(1);
    attribution.OnCrash(now, Crash(upstream, {"queued"}, CrashPhase::kBeforeHead));
    return upstream;
  };
  SUBCASE("it does not beside the request that began") {
    for (int i = 0; i < 10; ++i) {
      const std::string upstream = crash(i);
      attribution.OnCrash(now, Crash(upstream, {"deadly"}));
    }
    CHECK(attribution.StateOf(now, "deadly") == PartState::kQuarantined);
    CHECK(attribution.StateOf(now, "queued") == PartState::kSuspected);
  }
  SUBCASE("nor does it hide which parts were always present") {
    attribution.OnCrash(now, Crash("a", {"shared", "deadly"}));
    attribution.OnCrash(now + seconds(1), Crash("b", {"shared", "deadly"}));
    now += seconds(2);
    attribution.OnCrash(now, Crash("c", {"shared"}, CrashPhase::kBeforeHead));
    CHECK(attribution.FindQuarantined(now, {"shared"}).empty());
  }
  SUBCASE("it does after more crashes where no request had begun") {
    for (std::uint32_t i = 1; i < kEarlyCrashesBeforeQuarantine; ++i) crash(static_cast<int>(i));
    CHECK(attribution.StateOf(now, "queued") == PartState::kSuspected);
    crash(100);
    CHECK(attribution.StateOf(now, "queued") == PartState::kQuarantined);
  }
}

// Guards against an outage after a loss of power: every prompt part in use was present in crashes.
TEST_CASE("upstreams that crash at the same moment count as one crash") {
  CrashAttribution attribution;
  for (int i = 0; i < 8; ++i) {
    attribution.OnCrash(kStart + milliseconds(10 * i), Crash("u" + std::to_string(i), {"shared"}));
  }
  CHECK(attribution.StateOf(kStart + seconds(1), "shared") == PartState::kSuspected);
}

// Guards against a verdict that comes only after further crashes: two requests with a deadly part
// that reach two upstreams within a tenth of a second crash both.
TEST_CASE("upstreams that crash shortly after each other count as several crashes") {
  CrashAttribution attribution;
  attribution.OnCrash(kStart, Crash("a", {"part"}));
  attribution.OnCrash(kStart + 2 * kCommonCauseGap, Crash("b", {"part"}));
  CHECK(attribution.StateOf(kStart + seconds(1), "part") == PartState::kQuarantined);
}

// Guards against a part that is refused for ever although it was only present in two crashes.
TEST_CASE("a quarantined part is tried again by one request") {
  CrashAttribution attribution;
  attribution.OnCrash(kStart, Crash("a", {"part"}));
  attribution.OnCrash(kStart + seconds(1), Crash("b", {"part"}));
  const TimePoint due = kStart + seconds(1) + kTrialDelay;
  CHECK_FALSE(attribution.GrantTrial(due - milliseconds(1), "part", kDue));
  REQUIRE(attribution.GrantTrial(due, "part", kDue));
  CHECK_FALSE(attribution.GrantTrial(due + milliseconds(1), "part", kDue));

  SUBCASE("and is sound when an answer to it begins") {
    attribution.OnAnswerBegun(due + milliseconds(200), {"part"});
    CHECK(attribution.StateOf(due + milliseconds(200), "part") == PartState::kSound);
    // It is then present in more crashes before it is taken for the cause again.
    attribution.OnCrash(due + seconds(1), Crash("c", {"part"}));
    attribution.OnCrash(due + seconds(2), Crash("d", {"part"}));
    CHECK(attribution.StateOf(due + seconds(2), "part") == PartState::kSuspected);
    attribution.OnCrash(due + seconds(3), Crash("e", {"part"}));
    CHECK(attribution.StateOf(due + seconds(3), "part") == PartState::kQuarantined);
    attribution.OnAnswerBegun(due + seconds(3), {"part"});
    CHECK(attribution.GrantTrial(due + milliseconds(200), "part", kDue));
  }
  SUBCASE("and waits longer after each further crash") {
    const TimePoint failed = due + milliseconds(200);
    attribution.OnCrash(failed, Crash("c", {"part"}));
    const milliseconds wait = kTrialDelay * kTrialDelayGrowth;
    CHECK_FALSE(attribution.GrantTrial(failed + wait - milliseconds(1), "part", kDue));
    CHECK(attribution.GrantTrial(failed + wait, "part", kDue));
  }
  SUBCASE("and again when the outcome of the trial stays unknown") {
    CHECK(attribution.GrantTrial(due + kTrialTimeout, "part", kDue));
  }
}

// Guards against an outage of all requests that share a part which was present by chance.
TEST_CASE("a part with which answers began before the crashes is tried once without delay") {
  CrashAttribution attribution;
  attribution.OnCrash(kStart, Crash("a", {"part"}));
  attribution.OnCrash(kStart + seconds(1), Crash("b", {"part"}));
  const TimePoint now = kStart + seconds(2);
  CHECK_FALSE(attribution.GrantTrial(now, "part", kDue));
  CHECK(attribution.GrantTrial(now, "part", TrialReason::kBegunBefore));
  CHECK_FALSE(attribution.GrantTrial(now, "part", TrialReason::kBegunBefore));
  CHECK(attribution.GrantTrial(kStart + seconds(1) + kTrialDelay, "part", kDue));
}

// Guards against connections that were reset, or dropped as idle, being taken for crashes.
TEST_CASE("an upstream that goes on announcing itself has not crashed") {
  CrashAttribution attribution;
  attribution.OnCrash(kStart, Crash("a", {"part"}));
  attribution.OnCrash(kStart + seconds(1), Crash("b", {"part"}));
  const TimePoint now = kStart + seconds(4);
  UpstreamTable table;
  UpstreamUpdate update = TestEngine("a", "z", "fast", 0, 4);
  update.announcement.incarnation = 1;
  update.announcement.sequence = 10 + kAnnouncementsDisprovingCrash - 1;
  table.Apply(now, update);
  attribution.DropDisproved(now, table);
  CHECK(attribution.StateOf(now, "part") == PartState::kQuarantined);

  SUBCASE("when enough announcements have arrived") {
    table.Refresh(now, "a", 1, 10 + kAnnouncementsDisprovingCrash);
    attribution.DropDisproved(now, table);
    CHECK(attribution.StateOf(now, "part") == PartState::kSound);
  }
  SUBCASE("but one that has started again has") {
    update.announcement.incarnation = 2;
    update.announcement.sequence = 100;
    table.Apply(now, update);
    attribution.DropDisproved(now, table);
    CHECK(attribution.StateOf(now, "part") == PartState::kQuarantined);
  }
}

// Guards against a crash that costs a control process a message to every host for each of the
// requests that were in the queue.
TEST_CASE("only suspicions that count are told to the hosts") {
  CrashAttribution attribution;
  for (int request = 0; request < 30; ++request) {
    const std::string part = "queued" + std::to_string(request);
    attribution.OnCrash(kStart, Crash("a", {part}, CrashPhase::kBeforeHead));
  }
  attribution.OnCrash(kStart, Crash("a", {"begun"}));
  CHECK_FALSE(attribution.HasUrgentChange());
  const std::vector<PartVerdict> changes = attribution.TakeChanges(kStart);
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].part == "begun");
  attribution.OnAnswerBegun(kStart, {"queued1"});
  CHECK(attribution.TakeChanges(kStart).empty());

  SUBCASE("those about parts in quarantine at once") {
    attribution.OnCrash(kStart + seconds(1), Crash("b", {"begun"}));
    CHECK(attribution.HasUrgentChange());
    CHECK(attribution.TakeChanges(kStart + seconds(1)).size() == 1);
    CHECK_FALSE(attribution.HasUrgentChange());
    attribution.OnAnswerBegun(kStart + seconds(1), {"begun"});
    CHECK(attribution.HasUrgentChange());
  }
  SUBCASE("and that a suspected part is sound") {
    attribution.OnAnswerBegun(kStart, {"begun"});
    CHECK_FALSE(attribution.HasUrgentChange());
    CHECK(attribution.TakeChanges(kStart).size() == 1);
  }
}

// Guards against hosts that go on sending requests with a part that others know to be deadly, and
// against an old verdict that quarantines a part again.
TEST_CASE("verdicts of other processes are taken over unless newer ones are known") {
  CrashAttribution control;
  control.OnCrash(kStart, Crash("a", {"part"}));
  control.OnCrash(kStart + seconds(1), Crash("b", {"part"}));
  const TimePoint now = kStart + seconds(1);
  const std::vector<PartVerdict> quarantined = control.TakeChanges(now);
  REQUIRE(quarantined.size() == 1);
  CHECK(control.TakeChanges(now).empty());

  CrashAttribution host;
  host.Merge(now, quarantined);
  CHECK(host.StateOf(now, "part") == PartState::kQuarantined);
  CHECK(host.TakeChanges(now).empty());
  CHECK_FALSE(host.GrantTrial(now + kTrialDelay - milliseconds(1), "part", kDue));

  SUBCASE("a part that was found sound stays sound") {
    control.OnAnswerBegun(now, {"part"});
    host.Merge(now, control.TakeChanges(now));
    CHECK(host.StateOf(now, "part") == PartState::kSound);
    host.Merge(now, quarantined);
    CHECK(host.StateOf(now, "part") == PartState::kSound);
  }
  SUBCASE("a crash that follows makes the refusal longer, as if all had been seen here") {
    const TimePoint failed = now + kTrialDelay;
    host.OnCrash(failed, Crash("c", {"part"}));
    const milliseconds wait = kTrialDelay * kTrialDelayGrowth;
    CHECK_FALSE(host.GrantTrial(failed + wait - milliseconds(1), "part", kDue));
    CHECK(host.GrantTrial(failed + wait, "part", kDue));
  }
  SUBCASE("a crash that both have seen counts once") {
    CrashAttribution witness;
    witness.OnCrash(kStart, Crash("a", {"part"}));
    witness.OnCrash(kStart + seconds(1), Crash("b", {"part"}));
    witness.Merge(now, quarantined);
    CHECK(witness.VerdictOn(now, "part").crashes.all == 2);
  }
  SUBCASE("a crash that others have seen counts together with one seen here") {
    CrashAttribution first;
    first.OnCrash(kStart, Crash("a", {"part"}));
    CrashAttribution other;
    other.Merge(kStart, first.TakeChanges(kStart));
    CHECK(other.StateOf(kStart, "part") == PartState::kSuspected);
    other.OnCrash(now, Crash("b", {"part"}));
    CHECK(other.StateOf(now, "part") == PartState::kQuarantined);
  }
  SUBCASE("a suspicion of this process outlives a verdict from before it") {
    CrashAttribution other;
    other.OnCrash(now, Crash("c", {"part"}));
    other.Merge(now, {{"part", PartState::kSound, 0, {}, milliseconds(0), {}}});
    CHECK(other.StateOf(now, "part") == PartState::kSuspected);
  }
}

}  // namespace
}  // namespace corneltray
