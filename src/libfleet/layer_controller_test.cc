#include "corneltray/layer_controller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

#include "../libserving/engine_fleet_test.h"
#include "corneltray/layout_estimate.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

// Runs a controller against engines that execute orders immediately, or lose them.
class ControllerFixture {
 public:
  ControllerFixture() {
    routes.services["s"].name = "s";
    routes.services["s"].engine = TestProfile();
  }

  void Announce(const UpstreamUpdate& update) { table.Apply(now, update); }

  // Advances the time; engines announce every second and execute orders unless `lose_orders` is
  // set. Returns the number of orders.
  std::size_t Run(milliseconds time, bool lose_orders = false) {
    std::size_t orders = 0;
    const TimePoint end = now + time;
    for (int step = 0; now < end; now += milliseconds(250), ++step) {
      if (step % 4 == 0) Heartbeat();
      for (const PlacementDecision& decision : controller.Tick(now, term, routes, table)) {
        ++orders;
        CHECK(decision.fence > last_fence);
        last_fence = decision.fence;
        if (lose_orders) continue;
        UpstreamUpdate update{table.Find(decision.upstream)->announcement, false};
        const auto& kind = update.announcement.accelerator;
        update = TestEngine(decision.upstream, "z", kind, decision.range.first, decision.range.end);
        update.announcement.sequence = table.Find(decision.upstream)->announcement.sequence + 1;
        update.announcement.incarnation = table.Find(decision.upstream)->announcement.incarnation;
        table.Apply(now, update);
      }
    }
    return orders;
  }

  void Heartbeat() {
    std::vector<UpstreamUpdate> updates;
    for (const auto& [name, record] : table.Records()) {
      if (unreachable.count(name) > 0) continue;
      updates.push_back({record.announcement, record.has_left});
      ++updates.back().announcement.sequence;
    }
    for (const UpstreamUpdate& update : updates) table.Apply(now, update);
  }

  bool ZoneHasAllLayers() const {
    std::vector<bool> held(80, false);
    for (const auto& [name, record] : table.Records()) {
      if (unreachable.count(name) > 0 || record.announcement.holdings.empty()) continue;
      const Holding& holding = record.announcement.holdings.front();
      for (std::uint32_t l = holding.first_layer; l <= holding.last_layer; ++l) held[l] = true;
    }
    return std::find(held.begin(), held.end(), false) == held.end();
  }

  std::size_t CompleteCopies() const {
    const EngineProfile& profile = *routes.services.at("s").engine;
    std::vector<PlacedEngine> engines;
    for (const auto& [name, record] : table.Records()) {
      if (unreachable.count(name) > 0 || record.announcement.holdings.empty()) continue;
      const Holding& holding = record.announcement.holdings.front();
      PlacedEngine engine;
      engine.name = name;
      engine.kind = profile.accelerators.at(record.announcement.accelerator);
      engine.range = {holding.first_layer, holding.last_layer + 1};
      engines.push_back(engine);
    }
    return FindCompleteCopies(engines, profile).size();
  }

  TimePoint now{std::chrono::hours(1)};
  std::optional<std::uint64_t> term = 2;
  RouteTable routes;
  UpstreamTable table;
  LayerController controller;
  std::set<std::string> unreachable;
  std::uint64_t last_fence = 0;
};

TEST_CASE("the leader places layers before traffic arrives and restores them after failures") {
  ControllerFixture fixture;
  for (int i = 0; i < 3; ++i) {
    fixture.Announce(TestEngine("f" + std::to_string(i), "z", "fast", 0, 0));
  }
  for (int i = 0; i < 6; ++i) {
    fixture.Announce(TestEngine("s" + std::to_string(i), "z", "slow", 0, 0));
  }

  SUBCASE("within seconds of the first announcements, without later changes") {
    CHECK(fixture.Run(milliseconds(4000)) > 0);
    CHECK(fixture.ZoneHasAllLayers());
    CHECK(fixture.Run(milliseconds(10000)) == 0);
  }
  SUBCASE("but not in a process that is not the leader") {
    fixture.term.reset();
    CHECK(fixture.Run(milliseconds(6000)) == 0);
  }
  SUBCASE("again when orders are lost") {
    CHECK(fixture.Run(milliseconds(4000), true) > 0);
    CHECK_FALSE(fixture.ZoneHasAllLayers());
    fixture.Run(milliseconds(14000));
    CHECK(fixture.ZoneHasAllLayers());
  }
  SUBCASE("again when an engine is permanently lost, also under a new leader") {
    fixture.Run(milliseconds(4000));
    fixture.unreachable.insert("f0");
    fixture.term = 3;
    fixture.Run(milliseconds(16000));
    CHECK(fixture.ZoneHasAllLayers());
  }
  SUBCASE("on an added engine after the spare duration") {
    fixture.Run(milliseconds(8000));
    fixture.Announce(TestEngine("fresh", "z", "fast", 0, 0));
    CHECK(fixture.Run(milliseconds(7000)) == 1);
  }
  SUBCASE("but not in a zone without any recent announcement") {
    fixture.Run(milliseconds(4000));
    for (const auto& [name, record] : fixture.table.Records()) fixture.unreachable.insert(name);
    CHECK(fixture.Run(milliseconds(20000)) == 0);
  }
}

// Simulates a release in a zone without spare engines. Guards against a replacement that first
// loads other layers and can release them only after its requests in progress have ended.
TEST_CASE("a replacement that starts early takes over the layers of the engine that leaves") {
  ControllerFixture fixture;
  fixture.Announce(TestEngine("f0", "z", "fast", 0, 0));
  for (int i = 0; i < 3; ++i) {
    fixture.Announce(TestEngine("s" + std::to_string(i), "z", "slow", 0, 0));
  }
  fixture.Run(milliseconds(8000));
  REQUIRE(fixture.ZoneHasAllLayers());
  const Holding left = fixture.table.Find("f0")->announcement.holdings.front();
  fixture.Announce(TestEngine("fresh", "z", "fast", 0, 0));
  CHECK(fixture.Run(milliseconds(1500)) == 0);
  fixture.table.MarkLeft(fixture.now, "f0", 0);
  fixture.unreachable.insert("f0");
  CHECK(fixture.Run(milliseconds(1000)) == 1);
  CHECK(fixture.ZoneHasAllLayers());
  const Holding taken = fixture.table.Find("fresh")->announcement.holdings.front();
  CHECK(taken.first_layer == left.first_layer);
  CHECK(taken.last_layer == left.last_layer);
}

// Simulates the crash and empty restart of an engine in a zone with two copies. Guards against a
// copy that stays incomplete for seconds because the other copy still holds every layer.
TEST_CASE("a restarted engine immediately takes the layers missing from its copy") {
  ControllerFixture fixture;
  for (int i = 0; i < 10; ++i) {
    fixture.Announce(TestEngine("s" + std::to_string(i), "z", "slow", 0, 0));
  }
  fixture.Run(milliseconds(8000));
  const Holding lost = fixture.table.Find("s3")->announcement.holdings.front();
  fixture.unreachable.insert("s3");
  CHECK(fixture.Run(milliseconds(5000)) == 0);
  UpstreamUpdate restarted = TestEngine("again", "z", "slow", 0, 0);
  restarted.announcement.address = "s3";
  restarted.announcement.incarnation = 2;
  fixture.Announce(restarted);
  CHECK(fixture.Run(milliseconds(500)) == 1);
  const Holding taken = fixture.table.Find("again")->announcement.holdings.front();
  CHECK(taken.first_layer == lost.first_layer);
  CHECK(taken.last_layer == lost.last_layer);
}

// Simulates the permanent loss of one engine in a zone with two copies and no spare. Guards against
// a copy that stays incomplete for good because the other copy still holds every layer.
TEST_CASE("the remaining engines of a broken copy share the layers of a lost engine") {
  ControllerFixture fixture;
  // Six engines a copy, of which five could hold the model.
  for (int i = 0; i < 12; ++i) {
    fixture.Announce(TestEngine("s" + std::to_string(i), "z", "slow", 0, 0));
  }
  fixture.Run(milliseconds(12000));
  REQUIRE(fixture.CompleteCopies() == 2);

  SUBCASE("after the time in which it may restart, if it became silent") {
    fixture.unreachable.insert("s3");
    // The last announcement may be a second old.
    CHECK(fixture.Run(kSilenceTimeout + kRestartWait - milliseconds(1500)) == 0);
    CHECK(fixture.CompleteCopies() == 1);
    CHECK(fixture.Run(milliseconds(2000)) > 0);
    CHECK(fixture.CompleteCopies() == 2);
    CHECK(fixture.Run(milliseconds(20000)) == 0);
  }
  SUBCASE("soon, if it announced its departure") {
    fixture.table.MarkLeft(fixture.now, "s3", 0);
    fixture.unreachable.insert("s3");
    CHECK(fixture.Run(kDepartureWait + milliseconds(500)) > 0);
    CHECK(fixture.CompleteCopies() == 2);
  }
  SUBCASE("but not if its replacement has started before") {
    fixture.Announce(TestEngine("fresh", "z", "slow", 0, 0));
    fixture.Run(milliseconds(1000));
    fixture.table.MarkLeft(fixture.now, "s3", 0);
    fixture.unreachable.insert("s3");
    CHECK(fixture.Run(milliseconds(10000)) == 1);
    CHECK(fixture.CompleteCopies() == 2);
  }
  SUBCASE("also under a new leader, which does not know of the loss") {
    fixture.unreachable.insert("s3");
    fixture.Run(milliseconds(5000));
    fixture.term = 3;
    fixture.Run(milliseconds(8000));
    CHECK(fixture.CompleteCopies() == 2);
  }
}

// Simulates a zone that is cut off for some seconds, whose engines become silent and are heard
// again one after the other. Guards against orders that move the layers of engines that work, and
// that are repeated when the zone is reachable again.
TEST_CASE("a zone that is cut off keeps its layers") {
  ControllerFixture fixture;
  for (int i = 0; i < 24; ++i) {
    fixture.Announce(TestEngine("s" + std::to_string(i), "z", "slow", 0, 0));
  }
  fixture.Run(milliseconds(12000));
  const std::size_t copies = fixture.CompleteCopies();
  REQUIRE(copies == 4);
  std::size_t orders = 0;
  for (int i = 0; i < 24; ++i) {
    fixture.unreachable.insert("s" + std::to_string(i));
    if (i % 6 == 5) orders += fixture.Run(milliseconds(250));
  }
  orders += fixture.Run(milliseconds(6000));
  for (int i = 0; i < 24; ++i) {
    fixture.unreachable.erase("s" + std::to_string(i));
    if (i % 6 == 5) orders += fixture.Run(milliseconds(250));
  }
  orders += fixture.Run(milliseconds(12000));
  CHECK(orders == 0);
  CHECK(fixture.CompleteCopies() == copies);
}

}  // namespace
}  // namespace corneltray
