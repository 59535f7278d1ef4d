#include "corneltray/prompt_quarantine.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <cstdint>
#include <ostream>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace corneltray {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

std::vector<PartVerdict> Quarantined(const std::string& part, milliseconds trial_in) {
  return {{part, PartState::kQuarantined, 1, {2, 2}, trial_in, {}}};
}

// Guards against a deadly request that is sent by a host that has not seen a crash itself.
TEST_CASE("a host refuses requests with a part that the control processes quarantine") {
  PromptQuarantine quarantine;
  CHECK(quarantine.Admit(kStart, {"shared", "deadly"}).admission == PromptAdmission::kAllowed);
  quarantine.Merge(kStart, Quarantined("deadly", seconds(5)));
  const PromptDecision decision = quarantine.Admit(kStart + seconds(1), {"shared", "deadly"});
  CHECK(decision.admission == PromptAdmission::kRefused);
  CHECK(decision.part == "deadly");
  CHECK(decision.retry_after == seconds(4));
  CHECK(quarantine.IsQuarantined(kStart, {"deadly"}));
  CHECK(quarantine.Admit(kStart, {"shared"}).admission == PromptAdmission::kAllowed);
  CHECK(quarantine.TakeActions().empty());
}

// Guards against every host sending a trial of its own.
TEST_CASE("a request with a quarantined part waits for the grant of a trial") {
  PromptQuarantine quarantine;
  quarantine.Merge(kStart, Quarantined("part", milliseconds(0)));
  CHECK(quarantine.Admit(kStart, {"part"}).admission == PromptAdmission::kAwaitingTrial);
  CHECK(quarantine.Admit(kStart, {"part"}).admission == PromptAdmission::kAwaitingTrial);
  const std::vector<QuarantineAction> actions = quarantine.TakeActions();
  REQUIRE(actions.size() == 1);
  CHECK(std::get<TrialRequest>(actions[0]).verdict.part == "part");

  SUBCASE("which allows one request") {
    quarantine.OnTrialAnswered(kStart, "part", true);
    CHECK(quarantine.Admit(kStart, {"part"}).admission == PromptAdmission::kAllowed);
    CHECK(quarantine.Admit(kStart, {"part"}).admission == PromptAdmission::kAwaitingTrial);
  }
  SUBCASE("which is void when no request uses it") {
    quarantine.OnTrialAnswered(kStart, "part", true);
    const TimePoint late = kStart + kTrialUseTimeout;
    CHECK(quarantine.Admit(late, {"part"}).admission != PromptAdmission::kAllowed);
  }
  SUBCASE("and is refused when another host has it") {
    quarantine.OnTrialAnswered(kStart, "part", false);
    const PromptDecision decision = quarantine.Admit(kStart, {"part"});
    CHECK(decision.admission == PromptAdmission::kRefused);
    CHECK(decision.retry_after == kTrialRequestInterval);
    CHECK(quarantine.Admit(kStart + kTrialRequestInterval, {"part"}).admission ==
          PromptAdmission::kAwaitingTrial);
  }
}

// Guards against a part that most requests share and that is refused until its delay has elapsed.
TEST_CASE("a trial is asked for at once if this host has seen answers with the part begin") {
  PromptQuarantine quarantine;
  quarantine.OnAnswerBegun(kStart, {"part"});
  const TimePoint now = kStart + seconds(20);
  quarantine.Merge(now, Quarantined("part", seconds(10)));
  CHECK(quarantine.Admit(now, {"part"}).admission == PromptAdmission::kAwaitingTrial);
  const std::vector<QuarantineAction> actions = quarantine.TakeActions();
  REQUIRE(actions.size() == 1);
  CHECK(std::get<TrialRequest>(actions[0]).reason == TrialReason::kBegunBefore);
  quarantine.OnTrialAnswered(now, "part", false);
  const PromptDecision decision = quarantine.Admit(now + kTrialRequestInterval, {"part"});
  CHECK(decision.admission == PromptAdmission::kRefused);
  CHECK(decision.retry_after == seconds(9));
}

// Guards against reports about parts that most requests share, which every crash would cause.
TEST_CASE("a host reports the parts of a crash with which no answer has just begun") {
  PromptQuarantine quarantine;
  quarantine.OnAnswerBegun(kStart, {"shared", "other"});
  CHECK(quarantine.TakeActions().empty());
  quarantine.OnCrash(kStart + milliseconds(500),
                     {"a", 1, 1, CrashPhase::kBeforeFirstEvent, {"shared", "deadly"}});
  const std::vector<QuarantineAction> actions = quarantine.TakeActions();
  REQUIRE(actions.size() == 1);
  CHECK(std::get<CrashReport>(actions[0]).parts == std::vector<std::string>{"deadly"});

  SUBCASE("and nothing when that leaves no part") {
    quarantine.OnCrash(kStart + milliseconds(600),
                       {"b", 1, 1, CrashPhase::kBeforeFirstEvent, {"shared"}});
    CHECK(quarantine.TakeActions().empty());
  }
  SUBCASE("but all parts when the last answer was some time ago") {
    quarantine.OnCrash(kStart + kRecentlyBegun,
                       {"b", 1, 1, CrashPhase::kBeforeFirstEvent, {"shared"}});
    CHECK(quarantine.TakeActions().size() == 1);
  }
}

// Guards against a part that was only present in crashes and stays refused on all hosts.
TEST_CASE("a host reports that an answer with a suspected part has begun") {
  PromptQuarantine quarantine;
  quarantine.Merge(kStart, {{"part", PartState::kSuspected, 0, {1, 1}, milliseconds(0), {}}});
  CHECK(quarantine.Admit(kStart, {"part"}).admission == PromptAdmission::kAllowed);
  quarantine.OnAnswerBegun(kStart, {"part", "other"});
  const std::vector<QuarantineAction> actions = quarantine.TakeActions();
  REQUIRE(actions.size() == 1);
  CHECK(std::get<AnswerBegun>(actions[0]).parts == std::vector<std::string>{"part"});
  quarantine.OnAnswerBegun(kStart, {"part"});
  CHECK(quarantine.TakeActions().empty());
}

// Guards against a host without a control process that goes on crashing the upstreams of its zone.
TEST_CASE("a host that sees two crashes itself quarantines the part without being told") {
  PromptQuarantine quarantine;
  quarantine.OnCrash(kStart, {"a", 1, 1, CrashPhase::kBeforeFirstEvent, {"deadly"}});
  quarantine.OnCrash(kStart + seconds(1), {"b", 1, 1, CrashPhase::kBeforeFirstEvent, {"deadly"}});
  const TimePoint now = kStart + seconds(2);
  CHECK(quarantine.Admit(now, {"deadly"}).admission == PromptAdmission::kRefused);
  CHECK(quarantine.QuarantinedCount(now) == 1);
  const TimePoint due = kStart + seconds(1) + kTrialDelay;
  const TrialRequest request{Quarantined("deadly", milliseconds(0)).front(), {}};
  CHECK(quarantine.GrantTrial(due, request));
  CHECK_FALSE(quarantine.GrantTrial(due, request));
}

// Several hosts and one control process that exchange their messages without delay. One request in
// twenty holds the deadly part, and upstreams also crash from other causes.
class CrashLoad {
 public:
  CrashLoad(std::uint64_t seed, std::size_t hosts) : m_random(seed), m_hosts(hosts) {}

  // Sends one request to any host; the answer begins, or its upstream crashes.
  void Send(TimePoint now) {
    m_now = now;
    PromptQuarantine& host = m_hosts[Below(m_hosts.size())];
    std::vector<std::string> parts = SoundParts();
    const bool is_deadly = Chance(0.05);
    if (is_deadly) parts = {"first0", "deadly"};
    if (!IsAdmitted(&host, parts)) {
      sound_refused += is_deadly ? 0 : 1;
      return;
    }
    sound_sent += is_deadly ? 0 : 1;
    deadly_sent += is_deadly ? 1 : 0;
    if (is_deadly || Chance(0.01)) return Crash(parts);
    host.OnAnswerBegun(m_now, parts);
    Exchange(&host);
  }

  bool IsQuarantined(const std::string& part) const {
    return m_control.StateOf(m_now, part) == PartState::kQuarantined;
  }

  int deadly_sent = 0;
  int sound_sent = 0;
  int sound_refused = 0;

 private:
  std::size_t Below(std::size_t bound) {
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
  }
  bool Chance(double probability) { return std::bernoulli_distribution(probability)(m_random); }
  std::vector<std::string> SoundParts() {
    return {"first" + std::to_string(Below(3)), "second" + std::to_string(Below(40))};
  }

  bool IsAdmitted(PromptQuarantine* host, const std::vector<std::string>& parts) {
    PromptDecision decision = host->Admit(m_now, parts);
    while (decision.admission == PromptAdmission::kAwaitingTrial) {
      Exchange(host);
      decision = host->Admit(m_now, parts);
    }
    return decision.admission == PromptAdmission::kAllowed;
  }

  // The requests in the queue of the upstream break off as well, and the answer to one of them had
  // begun.
  void Crash(const std::vector<std::string>& parts) {
    const std::string upstream = "u" + std::to_string(++m_upstreams);
    for (int queued = 0; queued < 10; ++queued) {
      Report({upstream, 1, 1, CrashPhase::kBeforeHead, SoundParts()});
    }
    Report({upstream, 1, 1, CrashPhase::kBeforeFirstEvent, SoundParts()});
    Report({upstream, 1, 1, CrashPhase::kBeforeFirstEvent, parts});
  }

  void Report(const CrashReport& report) {
    PromptQuarantine& host = m_hosts[Below(m_hosts.size())];
    host.OnCrash(m_now, report);
    Exchange(&host);
  }

  void Exchange(PromptQuarantine* host) {
    for (const QuarantineAction& action : host->TakeActions()) {
      if (const auto* report = std::get_if<CrashReport>(&action)) {
        m_control.OnCrash(m_now, *report);
      } else if (const auto* begun = std::get_if<AnswerBegun>(&action)) {
        m_control.OnAnswerBegun(m_now, begun->parts);
      } else {
        const auto& request = std::get<TrialRequest>(action);
        const std::string& part = request.verdict.part;
        host->OnTrialAnswered(m_now, part, m_control.GrantTrial(m_now, part, request.reason));
      }
    }
    const std::vector<PartVerdict> changes = m_control.TakeChanges(m_now);
    for (PromptQuarantine& each : m_hosts) each.Merge(m_now, changes);
  }

  std::mt19937_64 m_random;
  std::vector<PromptQuarantine> m_hosts;
  CrashAttribution m_control;
  TimePoint m_now = kStart;
  int m_upstreams = 0;
};

// Guards against a deadly part that goes unnoticed among other crashes, and against sound requests
// that are refused because they share other parts with deadly ones.
TEST_CASE("crashes from other causes neither hide the deadly part nor condemn others") {
  constexpr int kRequestsPerSecond = 30;
  constexpr int kSeconds = 60;
  // Five crashes and three more requests are the bound for the whole region.
  constexpr int kMaxDeadly = 5 + 3;
  for (const std::size_t hosts : {std::size_t{1}, std::size_t{12}, std::size_t{120}}) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      CAPTURE(hosts);
      CAPTURE(seed);
      CrashLoad load(seed, hosts);
      for (int request = 0; request < kSeconds * kRequestsPerSecond; ++request) {
        load.Send(kStart + milliseconds(1000 * request / kRequestsPerSecond));
      }
      CHECK(load.deadly_sent <= kMaxDeadly);
      // Sound requests are served at least half as often as at other times.
      CHECK(load.sound_refused < load.sound_sent);
      CHECK(load.IsQuarantined("deadly"));
    }
  }
}

}  // namespace
}  // namespace corneltray
