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
  // Completes all due probes; the engine `unresponsive`, or every engine for "all", does not
  // respond.
  void ProbeAll(const std::string& unresponsive = "") {
    for (const EngineProbe& probe : TakeDueProbes()) {
      if (probe.name == unresponsive || unresponsive == "all") {
        monitor.OnProbeFailed(now, probe);
      } else {
        monitor.OnProbeAnswered(probe, ReportWithLoad(0.5));
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
  SUBCASE("without a second probe while the first one is in progress") {
    fixture.now += kEngineProbeInterval * 2;
    CHECK(fixture.TakeDueProbes().empty());
  }
  SUBCASE("and their reports are sent to the hosts") {
    fixture.monitor.OnProbeAnswered({"a1", 1, "a1"}, ReportWithLoad(0.25));
    const auto updates = fixture.monitor.TakeHealthUpdates(fixture.now);
    REQUIRE(updates.size() == 1);
    CHECK(updates.front().name == "a1");
    CHECK(updates.front().answers);
    CHECK(updates.front().load == doctest::Approx(0.25));
    CHECK(fixture.monitor.TakeHealthUpdates(fixture.now).empty());
  }
  SUBCASE("and a report of an earlier incarnation is ignored") {
    UpstreamUpdate restarted = TestEngine("a1", "a", "slow", 0, 10);
    restarted.announcement.incarnation = 2;
    fixture.table.Apply(fixture.now, restarted);
    fixture.TakeDueProbes();
    fixture.monitor.OnProbeAnswered({"a1", 1, "a1"}, ReportWithLoad(1.0));
    CHECK(fixture.monitor.TakeHealthUpdates(fixture.now).empty());
  }
}

// Guards against a copy that all hosts overfill within a second because of an outdated low load.
TEST_CASE("an engine with high load is probed and reported more often than an idle one") {
  MonitorFixture fixture;
  for (const EngineProbe& probe : fixture.TakeDueProbes()) {
    fixture.monitor.OnProbeAnswered(probe, ReportWithLoad(probe.name == "a3" ? 0.9 : 0.1));
  }
  fixture.monitor.TakeHealthUpdates(fixture.now);
  fixture.now += kEngineProbeInterval;
  for (const EngineProbe& probe : fixture.TakeDueProbes()) {
    fixture.monitor.OnProbeAnswered(probe, ReportWithLoad(probe.name == "a3" ? 0.9 : 0.1));
  }
  fixture.monitor.TakeHealthUpdates(fixture.now);
  fixture.now += kBusyProbeInterval;
  const auto due = fixture.TakeDueProbes();
  REQUIRE(due.size() == 1);
  CHECK(due.front().name == "a3");
  fixture.monitor.OnProbeAnswered(due.front(), ReportWithLoad(0.95));
  const auto updates = fixture.monitor.TakeHealthUpdates(fixture.now);
  REQUIRE(updates.size() == 1);
  CHECK(updates.front().load == doctest::Approx(0.95));
}

// Guards against a queue at the first engine of a copy whose memory is not full: its slots were all
// in use and dozens of requests waited, while its load was reported as 0.8.
TEST_CASE("the load of an engine is that of its memory or of its slots") {
  MonitorFixture fixture;
  UpstreamUpdate with_slots = TestEngine("a1", "a", "slow", 0, 10);
  with_slots.announcement.slots = 100;
  with_slots.announcement.sequence = 2;
  fixture.table.Apply(kNow, with_slots);
  fixture.TakeDueProbes();
  EngineReport report = ReportWithLoad(0.4);
  const auto load_of = [&] {
    fixture.monitor.OnProbeAnswered({"a1", 1, "a1"}, report);
    return fixture.monitor.TakeHealthUpdates(fixture.now).front().load;
  };
  SUBCASE("the fuller one counts") {
    report.running = 30;
    CHECK(load_of() == doctest::Approx(0.4));
    fixture.now += kPublishInterval;
    report.running = 90;
    CHECK(load_of() == doctest::Approx(0.9));
  }
  SUBCASE("requests that wait for a slot count as well") {
    report.running = 100;
    report.waiting = 50;
    CHECK(load_of() == doctest::Approx(1.5));
  }
}

// Guards against hosts that keep sending requests to a lost engine until each has seen it fail.
TEST_CASE("a suspected engine is probed at once and reported to all hosts as lost") {
  MonitorFixture fixture;
  fixture.ProbeAll();
  fixture.TakeLost();
  fixture.now += kSuspectProbeInterval;
  fixture.monitor.Suspect(fixture.now, "a2");
  fixture.ProbeAll("a2");
  SUBCASE("not after a single failed probe, such as a lost packet") {
    CHECK(fixture.TakeLost().empty());
    fixture.now += kSuspectProbeInterval;
    fixture.ProbeAll();
    CHECK(fixture.TakeLost().empty());
  }
  SUBCASE("after the second failed probe") {
    fixture.now += kSuspectProbeInterval;
    fixture.ProbeAll("a2");
    CHECK(fixture.TakeLost() == std::vector<std::string>{"a2"});
    CHECK(fixture.TakeLost().empty());
    SUBCASE("and reported again while it does not respond, for hosts that have just started") {
      fixture.now += kEngineProbeInterval;
      fixture.ProbeAll("a2");
      CHECK(fixture.TakeLost() == std::vector<std::string>{"a2"});
    }
    SUBCASE("and reported at once when it responds again") {
      fixture.monitor.Suspect(fixture.now, "a2");
      fixture.now += kSuspectProbeInterval;
      fixture.ProbeAll();
      const auto updates = fixture.monitor.TakeHealthUpdates(fixture.now);
      REQUIRE(updates.size() == 1);
      CHECK(updates.front().answers);
    }
  }
}

// Guards against a zone that no host uses because its control process cannot reach the engines.
TEST_CASE("a control process that reaches few engines reports none of them as lost") {
  MonitorFixture fixture;
  fixture.ProbeAll("all");
  fixture.now += kSuspectProbeInterval;
  fixture.ProbeAll("all");
  fixture.now += kEngineProbeInterval;
  CHECK(fixture.TakeLost().empty());
}

// Guards against excessive probes when many hosts suspect one engine.
TEST_CASE(
    "suspicions from many hosts do not probe an engine more often than the suspect interval") {
  MonitorFixture fixture;
  fixture.ProbeAll();
  std::size_t probes = 0;
  const TimePoint end = fixture.now + milliseconds(1000);
  for (; fixture.now < end; fixture.now += milliseconds(10)) {
    fixture.monitor.Suspect(fixture.now, "a2");
    for (const EngineProbe& probe : fixture.TakeDueProbes()) {
      probes += probe.name == "a2" ? 1 : 0;
      fixture.monitor.OnProbeAnswered(probe, ReportWithLoad(0.5));
    }
  }
  CHECK(probes <= 5);
}

}  // namespace
}  // namespace corneltray
