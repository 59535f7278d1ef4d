#include "corneltray/server_pace.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

namespace corneltray {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr milliseconds kUsual{50};

class PaceFixture {
 public:
  explicit PaceFixture(PaceMode mode = PaceMode::kAuto, std::uint64_t seed = 1) : pace(mode, seed) {
    Announce("old", 1);
  }

  void Announce(const std::string& name, std::uint64_t incarnation) {
    UpstreamUpdate update;
    update.announcement.service = "s";
    update.announcement.name = update.announcement.address = name;
    update.announcement.incarnation = incarnation;
    update.announcement.sequence = 1;
    table.Apply(now, update);
    pace.SetServers(now, table);
  }
  // Begins as many requests as there is room for, and returns their number.
  int Fill(int most = 1000) {
    int begun = 0;
    for (; begun < most && pace.HasRoom("new"); ++begun) pace.Begin("new");
    if (begun < most) pace.Limited("new");
    return begun;
  }
  void AnswerAll(int number, milliseconds latency = kUsual) {
    now += latency;
    for (int i = 0; i < number; ++i) {
      pace.Answered(now, "new", latency, kUsual);
      pace.End("new");
    }
  }
  PaceStep LastStep() {
    const auto events = pace.TakeEvents();
    REQUIRE_FALSE(events.empty());
    return events.back().step;
  }

  TimePoint now = kStart;
  UpstreamTable table;
  ServerPace pace;
};

// Guards against a pace that slows down the first start of a region.
TEST_CASE("servers are paced only once their service is known for a while") {
  PaceFixture fixture;
  fixture.now += seconds(1);
  fixture.Announce("new", 1);
  CHECK_FALSE(fixture.pace.IsPaced("new"));
  CHECK(fixture.pace.Share("new") == 1.0);

  SUBCASE("but a restart is paced at any time") {
    fixture.Announce("new", 2);
    CHECK(fixture.pace.IsPaced("new"));
    CHECK_FALSE(fixture.pace.IsPaced("old"));
  }
  SUBCASE("and a server that appears later") {
    fixture.now += seconds(60);
    fixture.Announce("later", 1);
    CHECK(fixture.pace.IsPaced("later"));
  }
  SUBCASE("and none if the pace is off") {
    PaceFixture off(PaceMode::kOff);
    off.Announce("new", 1);
    off.Announce("new", 2);
    CHECK(off.pace.IsIdle());
  }
  SUBCASE("and one that was silent or ejected, when that ends") {
    fixture.pace.SetAvailable(fixture.now, "new", PaceReason::kHeardAgain, false);
    CHECK_FALSE(fixture.pace.IsPaced("new"));
    fixture.pace.SetAvailable(fixture.now, "new", PaceReason::kHeardAgain, true);
    CHECK(fixture.pace.IsPaced("new"));
  }
}

// Guards against a server that is flooded after a restart, and against one that stays idle.
TEST_CASE("the window of a server doubles with each round of good answers") {
  PaceFixture fixture;
  fixture.Announce("new", 1);
  fixture.Announce("new", 2);
  const int first = fixture.Fill();
  CHECK(first == 2);
  fixture.AnswerAll(first);
  const int second = fixture.Fill();
  CHECK(second == 4);
  fixture.AnswerAll(second);

  SUBCASE("until it has all that it would get anyway") {
    const int third = fixture.Fill(5);
    CHECK(third == 5);
    fixture.AnswerAll(third);
    fixture.AnswerAll(fixture.Fill(3));
    CHECK(fixture.pace.IsIdle());
    CHECK(fixture.LastStep() == PaceStep::kEnd);
  }
  SUBCASE("halves when it refuses") {
    CHECK(fixture.Fill() == 8);
    fixture.pace.Refused(fixture.now, "new");
    CHECK(fixture.pace.WindowSum() == doctest::Approx(4.0));
    CHECK(fixture.LastStep() == PaceStep::kFall);
    fixture.pace.Refused(fixture.now, "new");  // of the same round
    CHECK(fixture.pace.WindowSum() == doctest::Approx(4.0));
    CHECK(fixture.pace.RefusedInRamps() == 2);
  }
  SUBCASE("starts again when it fails") {
    CHECK(fixture.Fill() == 8);
    fixture.pace.Failed(fixture.now, "new");
    CHECK(fixture.pace.WindowSum() < 1.0);
  }
  SUBCASE("shrinks when its answers become slow") {
    fixture.AnswerAll(fixture.Fill(), 4 * kUsual);
    CHECK(fixture.pace.WindowSum() == doctest::Approx(5.0));
    fixture.AnswerAll(fixture.Fill(), 4 * kUsual);
    CHECK(fixture.pace.WindowSum() == doctest::Approx(3.5));
  }
  SUBCASE("begins anew with the next incarnation") {
    fixture.Announce("new", 3);
    CHECK(fixture.pace.WindowSum() == doctest::Approx(2.0));
  }
}

// Guards against a hundred hosts that each send a first request at once.
TEST_CASE("hosts share the window of a server") {
  constexpr std::size_t kHosts = 100;
  std::vector<std::unique_ptr<PaceFixture>> hosts;
  FleetPace fleet;
  fleet.hosts = kHosts;
  int begun = 0;
  for (std::size_t i = 0; i < kHosts; ++i) {
    hosts.push_back(std::make_unique<PaceFixture>(PaceMode::kAuto, i + 1));
    hosts[i]->pace.SetFleet(kStart, fleet);
    hosts[i]->Announce("new", 1);
    hosts[i]->Announce("new", 2);
    begun += hosts[i]->Fill();
  }
  CHECK(begun >= 1);
  CHECK(begun <= 8);

  SUBCASE("and what each has seen") {
    for (const auto& host : hosts) host->AnswerAll(host->pace.HasRoom("new") ? 0 : 1);
    for (const auto& host : hosts) AddPaceCounts(host->pace.OwnCounts(), &fleet.servers);
    CHECK(fleet.servers.at("new").hosts == kHosts);
    for (const auto& host : hosts) host->pace.SetFleet(host->now, fleet);
    CHECK(hosts.front()->pace.WindowSum() > 4.0);
    SUBCASE("once, however often it is told") {
      const double window = hosts.front()->pace.WindowSum();
      hosts.front()->pace.SetFleet(hosts.front()->now, fleet);
      CHECK(hosts.front()->pace.WindowSum() == window);
    }
    SUBCASE("with a host that has just started") {
      PaceFixture late;
      late.Announce("new", 2);
      CHECK_FALSE(late.pace.IsPaced("new"));
      late.pace.SetFleet(late.now, fleet);
      CHECK(late.pace.IsPaced("new"));
      CHECK(late.pace.WindowSum() >= 2.0);
    }
    SUBCASE("but not of another incarnation") {
      PaceFixture late;
      late.Announce("new", 3);
      late.pace.SetFleet(late.now, fleet);
      CHECK(late.pace.IsIdle());
    }
  }
  SUBCASE("but a host without reports ends by its own answers") {
    PaceFixture& host = *hosts.front();
    host.now += seconds(10);
    for (int i = 0; i < 10; ++i) host.AnswerAll(1);
    CHECK(host.pace.IsIdle());
  }
}

}  // namespace
}  // namespace corneltray
