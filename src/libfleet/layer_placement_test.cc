#include "corneltray/layer_placement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <set>

#include "../libserving/engine_fleet_test.h"
#include "corneltray/chain_search.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

struct ZoneSize {
  int fast = 0;  // engines
  int slow = 0;
};

std::vector<PlacedEngine> MakeZone(int fast, int slow) {
  const EngineProfile profile = TestProfile();
  std::vector<PlacedEngine> engines;
  engines.reserve(static_cast<std::size_t>(fast) + static_cast<std::size_t>(slow));
  for (int i = 0; i < fast; ++i) {
    engines.push_back({"f" + std::to_string(i), profile.accelerators.at("fast"), {}, true});
  }
  for (int i = 0; i < slow; ++i) {
    engines.push_back({"s" + std::to_string(i), profile.accelerators.at("slow"), {}, true});
  }
  return engines;
}

void ApplyRanges(const std::map<std::string, LayerRange>& ranges,
                 std::vector<PlacedEngine>* engines) {
  for (PlacedEngine& engine : *engines) {
    const auto range = ranges.find(engine.name);
    if (range != ranges.end()) engine.range = range->second;
  }
}

// Guards against an order that exceeds the memory of an engine, which terminates the engine.
void CheckFits(const std::vector<PlacedEngine>& engines) {
  const EngineProfile profile = TestProfile();
  for (const PlacedEngine& engine : engines) {
    CAPTURE(engine.name);
    CHECK(engine.range.end <= profile.layers);
    CHECK(engine.range.Size() <= LayersThatFit(engine.kind, profile, 0.0));
  }
}

TEST_CASE("a zone holds a complete copy of the model and keeps memory for the KV cache") {
  const EngineProfile profile = TestProfile();
  for (const ZoneSize& size : {ZoneSize{2, 4}, {1, 6}, {0, 6}, {5, 0}, {4, 12}}) {
    CAPTURE(size.fast);
    CAPTURE(size.slow);
    std::vector<PlacedEngine> engines = MakeZone(size.fast, size.slow);
    ApplyRanges(PlanZone(engines, profile), &engines);
    CHECK(HasAllLayers(engines, profile));
    CheckFits(engines);
  }
  SUBCASE("fast engines hold as many layers as a KV cache of full capacity allows") {
    std::vector<PlacedEngine> engines = MakeZone(2, 8);
    ApplyRanges(PlanZone(engines, profile), &engines);
    const std::uint32_t fits =
        LayersThatFit(profile.accelerators.at("fast"), profile, profile.kv_capacity_tokens);
    CHECK(engines[0].range.Size() == fits);
  }
  SUBCASE("a zone that is too small holds an incomplete copy") {
    std::vector<PlacedEngine> engines = MakeZone(1, 1);
    ApplyRanges(PlanZone(engines, profile), &engines);
    CHECK_FALSE(HasAllLayers(engines, profile));
    CheckFits(engines);
  }
}

// Returns the number of chains over complete ranges that share no engine.
std::size_t CountCopies(const std::vector<PlacedEngine>& engines) {
  std::vector<ChainSlot> slots;
  for (const PlacedEngine& engine : engines) {
    ChainSlot slot;
    slot.first = engine.range.first;
    slot.end = engine.range.end;
    slot.layer_cost_s = engine.kind.step_factor;
    slot.usable = engine.range.Size() > 0;
    slots.push_back(slot);
  }
  ChainSearch search;
  search.SetRanges(slots, TestProfile().layers);
  std::size_t copies = 0;
  for (;; ++copies) {
    const std::vector<ChainPart> chain = search.FindWholeRangeChain(slots);
    if (chain.empty()) return copies;
    for (const ChainPart& part : chain) slots[part.slot].usable = false;
  }
}

// Guards against a large zone with the throughput of a small one: its engines held one copy and
// parts of others, and requests were refused for lack of memory while half of it was idle.
TEST_CASE("a zone with enough memory holds several complete copies") {
  const EngineProfile profile = TestProfile();
  struct Case {
    ZoneSize size;
    std::size_t copies;
  };
  // A copy with a KV cache of full capacity takes 100,000 MB; fast engines have 40,000, slow ones
  // 20,000.
  for (const Case& c : {Case{{2, 4}, 1}, {{2, 8}, 2}, {{1, 8}, 2}, {{0, 10}, 2}, {{4, 12}, 4}}) {
    CAPTURE(c.size.fast);
    CAPTURE(c.size.slow);
    std::vector<PlacedEngine> engines = MakeZone(c.size.fast, c.size.slow);
    ApplyRanges(PlanZone(engines, profile), &engines);
    CHECK(CountCopies(engines) == c.copies);
    CheckFits(engines);
  }
}

TEST_CASE("a zone is repaired without moving layers that are in use") {
  const EngineProfile profile = TestProfile();
  std::vector<PlacedEngine> engines = MakeZone(2, 6);
  ApplyRanges(PlanZone(engines, profile), &engines);
  REQUIRE(HasAllLayers(engines, profile));
  const LayerRange lost = engines[1].range;

  SUBCASE("a zone that holds all layers is unchanged") {
    CHECK(RepairZone(engines, profile).empty());
  }
  SUBCASE("a replacement takes the layers of the lost engine") {
    engines[1].is_usable = false;
    PlacedEngine fresh = engines[1];
    fresh.name = "fresh";
    fresh.is_usable = true;
    fresh.range = {};
    engines.push_back(fresh);
    const auto changes = RepairZone(engines, profile);
    REQUIRE(changes.count("fresh") == 1);
    CHECK(changes.at("fresh") == lost);
    ApplyRanges(changes, &engines);
    CHECK(HasAllLayers(engines, profile));
  }
  SUBCASE("an added engine takes the layers with the fewest holders") {
    PlacedEngine fresh = engines[0];
    fresh.name = "fresh";
    fresh.range = {};
    engines.push_back(fresh);
    const auto changes = RepairZone(engines, profile);
    CHECK(changes.size() == 1);
    CHECK(changes.at("fresh").Size() > 0);
  }
}

// Guards against repairs that omit layers or exceed the memory of an engine, for many loss
// sequences.
TEST_CASE("after any sequence of losses the remaining engines hold every layer that fits") {
  const EngineProfile profile = TestProfile();
  for (std::uint32_t seed = 0; seed < 300; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    std::vector<PlacedEngine> engines = MakeZone(3, 9);
    ApplyRanges(PlanZone(engines, profile), &engines);
    for (int round = 0; round < 6; ++round) {
      PlacedEngine& engine = engines[random() % engines.size()];
      engine.is_usable = random() % 3 == 0;
      engine.range = {};
      ApplyRanges(RepairZone(engines, profile), &engines);
      CheckFits(engines);
    }
    std::vector<PlacedEngine> replanned = engines;
    for (PlacedEngine& engine : replanned) engine.range = {};
    ApplyRanges(ReplanZone(engines, profile), &replanned);
    std::vector<PlacedEngine> usable;
    for (const PlacedEngine& engine : engines) {
      if (engine.is_usable) usable.push_back(engine);
    }
    std::uint32_t total = 0;
    for (const PlacedEngine& engine : usable) total += LayersThatFit(engine.kind, profile, 0.0);
    CheckFits(replanned);
    CHECK(HasAllLayers(replanned, profile) == (total >= profile.layers));
  }
}

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

}  // namespace
}  // namespace corneltray
