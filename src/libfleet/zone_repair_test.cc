#include "corneltray/zone_repair.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <random>
#include <string>
#include <vector>

#include "corneltray/zone_layout.h"
#include "test_zone.h"

namespace corneltray {
namespace {

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

const LatencyTarget kTarget{std::chrono::milliseconds(500), std::chrono::milliseconds(250)};

std::vector<PlacedEngine> PlannedZone(const MixedZone& zone) {
  std::vector<PlacedEngine> engines = zone.Engines();
  ApplyRanges(PlanUniformCopies(engines, MixedProfile(), kTarget), &engines);
  return engines;
}

PlacedEngine Newcomer(const std::string& name, const AcceleratorKind& kind) {
  PlacedEngine engine;
  engine.name = name;
  engine.kind = kind;
  engine.is_settled = false;
  return engine;
}

// Loses the engine at this index and returns the layers that it held.
LayerRange Lose(std::size_t index, std::vector<PlacedEngine>* engines) {
  PlacedEngine& engine = (*engines)[index];
  engine.is_usable = false;
  return engine.range;
}

double RateOf(const std::vector<PlacedEngine>& engines) {
  return EstimateLayout(engines, MixedProfile(), kTarget).RequestsPerSecond();
}

std::size_t CopiesOf(const std::vector<PlacedEngine>& engines) {
  return FindCompleteCopies(engines, MixedProfile()).size();
}

std::uint32_t LayersToLoad(const LayerRanges& changes, const std::vector<PlacedEngine>& engines) {
  std::uint32_t layers = 0;
  for (const PlacedEngine& engine : engines) {
    const auto change = changes.find(engine.name);
    if (change == changes.end()) continue;
    for (std::uint32_t l = change->second.first; l < change->second.end; ++l) {
      if (l < engine.range.first || l >= engine.range.end) ++layers;
    }
  }
  return layers;
}

// Simulates a newcomer after several losses. The earlier rule filled the lost ranges in the order
// of engine names, which left both copies incomplete.
TEST_CASE("a newcomer completes the copy with the smallest gap") {
  const EngineProfile profile = MixedProfile();
  std::vector<PlacedEngine> engines = PlannedZone({{{kSmallFast, 32}}});
  const auto copies = FindCompleteCopies(engines, profile);
  REQUIRE(copies.size() == 2);
  std::vector<LayerRange> losses;
  losses.push_back(Lose(copies[0][3], &engines));
  losses.push_back(Lose(copies[0][7], &engines));
  losses.push_back(Lose(copies[0][9], &engines));
  losses.push_back(Lose(copies[1][5], &engines));
  REQUIRE(CopiesOf(engines) == 1);  // the rest of both copies holds one complete copy
  losses.push_back(Lose(copies[1][6], &engines));
  losses.push_back(Lose(copies[0][5], &engines));
  REQUIRE(CopiesOf(engines) == 0);
  engines.push_back(Newcomer("fresh", kSmallFast));
  const LayerRanges changes = RepairZone(engines, profile, losses);
  CHECK(changes.size() == 1);
  ApplyRanges(changes, &engines);
  CHECK(CopiesOf(engines) == 1);
}

// Guards against orders that cannot help, each of which costs a load and slows the others.
TEST_CASE("a newcomer that cannot complete a copy gets no layers") {
  const EngineProfile profile = MixedProfile();
  std::vector<PlacedEngine> engines =
      PlannedZone({{{kLargeFast, 4}, {kSmallFast, 10}, {kSlow, 11}}});
  const auto copies = FindCompleteCopies(engines, profile);
  REQUIRE(copies.size() == 3);
  const LayerRange lost = Lose(copies[0][1], &engines);
  REQUIRE(lost.Size() > 20);
  engines.push_back(Newcomer("fresh", kSmallFast));
  CHECK(RepairZone(engines, profile, {lost}).empty());
  // Once several have come, they share the layers.
  for (int i = 0; i < 5; ++i) engines.push_back(Newcomer("more" + std::to_string(i), kSmallFast));
  const LayerRanges changes = RepairZone(engines, profile, {lost});
  ApplyRanges(changes, &engines);
  CHECK(CopiesOf(engines) == 3);
}

// Simulates three engines of one copy that crash together and restart one after the other.
TEST_CASE("engines that restart take over their layers without waiting for the others") {
  const EngineProfile profile = MixedProfile();
  std::vector<PlacedEngine> engines = PlannedZone({{{kSmallFast, 16}, {kSlow, 10}}});
  const auto copies = FindCompleteCopies(engines, profile);
  std::vector<LayerRange> losses;
  for (const std::size_t stage : {1, 4, 9}) losses.push_back(Lose(copies[0][stage], &engines));
  engines.push_back(Newcomer("first", kSmallFast));
  SUBCASE("if the others are expected to return") {
    CHECK(RepairZone(engines, profile, losses, losses).size() == 1);
  }
  SUBCASE("but not if the copy would stay incomplete") {
    CHECK(RepairZone(engines, profile, losses).empty());
    engines.push_back(Newcomer("second", kSmallFast));
    CHECK(RepairZone(engines, profile, losses).empty());
    engines.push_back(Newcomer("third", kSmallFast));
    CHECK(RepairZone(engines, profile, losses).size() == 3);
  }
}

// Simulates a release, where each replacement starts before the engine that it replaces departs.
TEST_CASE("a newcomer waits for the layers of an engine that departs") {
  const EngineProfile profile = MixedProfile();
  std::vector<PlacedEngine> engines = PlannedZone({{{kSmallFast, 16}, {kSlow, 10}}});
  engines.push_back(Newcomer("fresh", kSmallFast));
  CHECK(RepairZone(engines, profile).empty());
  const LayerRange lost = Lose(4, &engines);
  const LayerRanges changes = RepairZone(engines, profile, {lost});
  CHECK(changes == LayerRanges{{"fresh", lost}});
}

// Guards against a copy that stays incomplete for seconds under a new leader, which has not seen
// the loss, and against a large newcomer that is used up for a few layers.
TEST_CASE("a newcomer closes a gap of about its size also if the loss is unknown") {
  const EngineProfile profile = MixedProfile();
  std::vector<PlacedEngine> engines = PlannedZone({{{kSmallFast, 16}, {kSlow, 10}}});
  const LayerRange lost = Lose(4, &engines);
  engines.push_back(Newcomer("large", kLargeFast));
  CHECK(RepairZone(engines, profile).empty());
  engines.push_back(Newcomer("fresh", kSmallFast));
  CHECK(RepairZone(engines, profile) == LayerRanges{{"fresh", lost}});
}

// Guards against spare engines that hold layers of no use: a spare shares the range of a stage, so
// that the loss of this stage breaks no copy.
TEST_CASE("a spare engine duplicates a stage") {
  const EngineProfile profile = MixedProfile();
  std::vector<PlacedEngine> engines = PlannedZone({{{kSmallFast, 16}}});
  engines.push_back(Newcomer("fresh", kSmallFast));
  engines.back().is_settled = true;
  const LayerRanges changes = RepairZone(engines, profile);
  REQUIRE(changes.size() == 1);
  ApplyRanges(changes, &engines);
  std::size_t stage = 0;
  while (engines[stage].range != engines.back().range) ++stage;
  REQUIRE(stage + 1 < engines.size());
  Lose(stage, &engines);
  CHECK(CopiesOf(engines) == 1);
  SUBCASE("and moves to another stage that is lost") {
    engines[stage].is_usable = true;
    const std::size_t other = stage == 0 ? 1 : 0;
    const LayerRange lost = Lose(other, &engines);
    // Either of the two engines with the same range may move.
    const LayerRanges moved = RepairZone(engines, profile, {lost});
    REQUIRE(moved.size() == 1);
    CHECK(moved.begin()->second == lost);
    ApplyRanges(moved, &engines);
    CHECK(CopiesOf(engines) == 1);
  }
}

// Guards against refusals by the second holder of a stage: the router may choose either holder, and
// a smaller accelerator has room for a part of the prompts that the copy takes.
TEST_CASE("a spare engine with less room than the copy duplicates no stage") {
  const EngineProfile profile = MixedProfile();
  std::vector<PlacedEngine> engines = PlannedZone({{{kSlow, 12}}});
  engines.push_back(Newcomer("fresh", kSmallFast));
  engines.back().is_settled = true;
  for (const auto& [name, range] : RepairZone(engines, profile)) {
    const PlacedEngine& spare = engines.back();
    REQUIRE(name == spare.name);
    double copy_kv_tokens = std::numeric_limits<double>::infinity();
    for (const PlacedEngine& engine : engines) {
      if (engine.range.Size() == 0) continue;
      copy_kv_tokens =
          std::min(copy_kv_tokens, KvTokensWithLayers(engine.kind, profile, engine.range.Size()));
    }
    CHECK(KvTokensWithLayers(spare.kind, profile, range.Size()) >= copy_kv_tokens);
  }
}

// Simulates engines that are taken away for good under load. The earlier rule left each copy that
// had lost an engine incomplete, until layers had no holder at all.
TEST_CASE("broken copies are planned again over their remaining engines") {
  const EngineProfile profile = MixedProfile();
  const MixedZone zone{{{kLargeFast, 2}, {kSmallFast, 24}, {kSlow, 9}}};
  const std::vector<PlacedEngine> planned = PlannedZone(zone);
  const auto copies = FindCompleteCopies(planned, profile);
  REQUIRE(copies.size() == 3);

  SUBCASE("one copy, without a change to the others") {
    std::vector<PlacedEngine> engines = planned;
    Lose(copies[1][2], &engines);
    const double broken = RateOf(engines);
    REQUIRE(CopiesOf(engines) == 2);
    const LayerRanges changes = RecutBrokenCopies(engines, profile, kTarget);
    for (const std::vector<std::size_t>& copy : FindCompleteCopies(engines, profile)) {
      for (const std::size_t stage : copy) CHECK(changes.count(engines[stage].name) == 0);
    }
    CHECK(LayersToLoad(changes, engines) < profile.layers / 2);
    ApplyRanges(changes, &engines);
    CHECK(CopiesOf(engines) == 3);
    CHECK(RateOf(engines) > 1.2 * broken);
  }
  SUBCASE("all copies, after losses in each") {
    for (std::uint32_t seed = 0; seed < 20; ++seed) {
      CAPTURE(seed);
      std::mt19937 random(seed);
      std::vector<PlacedEngine> engines = planned;
      for (int i = 0; i < 5; ++i) Lose(random() % engines.size(), &engines);
      const std::size_t left = CopiesOf(engines);
      const double broken = RateOf(engines);
      ApplyRanges(RecutBrokenCopies(engines, profile, kTarget), &engines);
      CHECK(CopiesOf(engines) >= left);
      CHECK(RateOf(engines) >= broken);
      CHECK(RateOf(engines) > 0.5 * RateOf(planned));
      for (const PlacedEngine& engine : engines) {
        CHECK(engine.range.Size() <= LayersThatFit(engine.kind, profile, 0.0));
      }
    }
  }
  SUBCASE("but not a copy whose engine may restart") {
    std::vector<PlacedEngine> engines = planned;
    const LayerRange lost = Lose(copies[1][2], &engines);
    CHECK(RecutBrokenCopies(engines, profile, kTarget, {lost}).empty());
  }
  SUBCASE("but not a slow copy beside much faster ones") {
    std::vector<PlacedEngine> engines = planned;
    const std::vector<std::size_t>& slowest = copies.back();
    Lose(slowest.back(), &engines);
    REQUIRE(CopiesOf(engines) == 2);
    CHECK(RecutBrokenCopies(engines, profile, kTarget).empty());
  }
  SUBCASE("and spare engines form a copy of their own if they can") {
    std::vector<PlacedEngine> engines = planned;
    for (int i = 0; i < 3; ++i) {
      engines.push_back(Newcomer("fresh" + std::to_string(i), kLargeFast));
      engines.back().is_settled = true;
    }
    ApplyRanges(RecutBrokenCopies(engines, profile, kTarget), &engines);
    CHECK(CopiesOf(engines) == 4);
  }
}

}  // namespace
}  // namespace corneltray
