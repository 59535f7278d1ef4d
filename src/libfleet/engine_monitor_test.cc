#include "corneltray/engine_monitor.h"

#include <doctest/doctest.h>

#include "../libserving/engine_fleet_test.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow{std::chrono::hours(1)};

EngineReport ReportWithLoad(double load) {
  EngineReport report;
  report.kv_used = load * 100.0;
  report.kv_total = 100.0;
  return report;
}

// Four engines in zone a and one in zone b.
class MonitorFixture {
 public:
  MonitorFixture() {
    for (const char* name : {"a1", "a2", "a3", "a4"}) {
      table.Apply(kNow, TestEngine(name, "a", "slow", 0, 10));
    }
    table.Apply(kNow, TestEngine("b1", "b", "slow", 0, 10));
  }

  std::vector<EngineProbe> TakeDueProbes() { return monitor.TakeDueProbes(now, "a", table); }
  // Asks whatever is due; `silent` does not answer.
  void AskAll(const std::string& silent = "") {
    for (const EngineProbe& question : TakeDueProbes()) {
      if (question.name == silent || silent == "all") {
        monitor.OnProbeFailed(now, question);
      } else {
        monitor.OnProbeAnswered(question, ReportWithLoad(0.5));
      }
    }
  }
  std::vector<std::string> TakeLost() {
    std::vector<std::string> lost;
    for (const EngineHealth& health : monitor.TakeHealthUpdates(now)) {
      if (!health.answers) lost.push_back(health.name);
    }
    return lost;
  }

  TimePoint now = kNow;
  UpstreamTable table;
  EngineMonitor monitor;
};

TEST_CASE("the engines of the local zone are probed once a second") {
  MonitorFixture fixture;
  CHECK(fixture.TakeDueProbes().size() == 4);
  SUBCASE("no second question while the first one is open") {
    fixture.now += kEngineProbeInterval * 2;
    CHECK(fixture.TakeDueProbes().empty());
  }
  SUBCASE("and what they answer is told to the hosts") {
    fixture.monitor.OnProbeAnswered({"a1", 1, "a1"}, ReportWithLoad(0.25));
    const auto news = fixture.monitor.TakeHealthUpdates(fixture.now);
    REQUIRE(news.size() == 1);
    CHECK(news.front().name == "a1");
    CHECK(news.front().answers);
    CHECK(news.front().load == doctest::Approx(0.25));
    CHECK(fixture.monitor.TakeHealthUpdates(fixture.now).empty());
  }
  SUBCASE("an answer of an earlier incarnation does not count") {
    UpstreamUpdate restarted = TestEngine("a1", "a", "slow", 0, 10);
    restarted.announcement.incarnation = 2;
    fixture.table.Apply(fixture.now, restarted);
    fixture.TakeDueProbes();
    fixture.monitor.OnProbeAnswered({"a1", 1, "a1"}, ReportWithLoad(1.0));
    CHECK(fixture.monitor.TakeHealthUpdates(fixture.now).empty());
  }
}

// Guards against a copy that all hosts fill within a second, because they know it to have room.
TEST_CASE("an engine with high load is probed and reported more often than an idle one") {
  MonitorFixture fixture;
  for (const EngineProbe& question : fixture.TakeDueProbes()) {
    fixture.monitor.OnProbeAnswered(question, ReportWithLoad(question.name == "a3" ? 0.9 : 0.1));
  }
  fixture.monitor.TakeHealthUpdates(fixture.now);
  fixture.now += kEngineProbeInterval;
  for (const EngineProbe& question : fixture.TakeDueProbes()) {
    fixture.monitor.OnProbeAnswered(question, ReportWithLoad(question.name == "a3" ? 0.9 : 0.1));
  }
  fixture.monitor.TakeHealthUpdates(fixture.now);
  fixture.now += kBusyProbeInterval;
  const auto due = fixture.TakeDueProbes();
  REQUIRE(due.size() == 1);
  CHECK(due.front().name == "a3");
  fixture.monitor.OnProbeAnswered(due.front(), ReportWithLoad(0.95));
  const auto news = fixture.monitor.TakeHealthUpdates(fixture.now);
  REQUIRE(news.size() == 1);
  CHECK(news.front().load == doctest::Approx(0.95));
}

// Guards against hosts that send requests to an engine that is gone until each has seen it fail.
TEST_CASE("a suspected engine is probed at once and reported to all hosts as lost") {
  MonitorFixture fixture;
  fixture.AskAll();
  fixture.TakeLost();
  fixture.now += kSuspectProbeInterval;
  fixture.monitor.Suspect(fixture.now, "a2");
  fixture.AskAll("a2");
  SUBCASE("not after one question without an answer, as when a packet was lost") {
    CHECK(fixture.TakeLost().empty());
    fixture.now += kSuspectProbeInterval;
    fixture.AskAll();
    CHECK(fixture.TakeLost().empty());
  }
  SUBCASE("after the second one") {
    fixture.now += kSuspectProbeInterval;
    fixture.AskAll("a2");
    CHECK(fixture.TakeLost() == std::vector<std::string>{"a2"});
    CHECK(fixture.TakeLost().empty());
    SUBCASE("and told again while it does not answer, for hosts that have just started") {
      fixture.now += kEngineProbeInterval;
      fixture.AskAll("a2");
      CHECK(fixture.TakeLost() == std::vector<std::string>{"a2"});
    }
    SUBCASE("and told at once when it answers again") {
      fixture.monitor.Suspect(fixture.now, "a2");
      fixture.now += kSuspectProbeInterval;
      fixture.AskAll();
      const auto news = fixture.monitor.TakeHealthUpdates(fixture.now);
      REQUIRE(news.size() == 1);
      CHECK(news.front().answers);
    }
  }
}

// Guards against a zone that no host uses because its control process lost the way to the engines.
TEST_CASE("a control process that reaches few engines reports none of them as lost") {
  MonitorFixture fixture;
  fixture.AskAll("all");
  fixture.now += kSuspectProbeInterval;
  fixture.AskAll("all");
  fixture.now += kEngineProbeInterval;
  CHECK(fixture.TakeLost().empty());
}

// Guards against a flood of questions when many hosts suspect one engine.
TEST_CASE(
    "suspicions from many hosts do not probe an engine more often than the suspect interval") {
  MonitorFixture fixture;
  fixture.AskAll();
  std::size_t questions = 0;
  const TimePoint end = fixture.now + milliseconds(1000);
  for (; fixture.now < end; fixture.now += milliseconds(10)) {
    fixture.monitor.Suspect(fixture.now, "a2");
    for (const EngineProbe& question : fixture.TakeDueProbes()) {
      questions += question.name == "a2" ? 1 : 0;
      fixture.monitor.OnProbeAnswered(question, ReportWithLoad(0.5));
    }
  }
  CHECK(questions <= 5);
}

}  // namespace
}  // namespace corneltray
