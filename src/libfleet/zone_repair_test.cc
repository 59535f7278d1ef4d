#include "corneltray/zone_repair.h"

#include <doctest/doctest.h>

#include <random>

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

}  // namespace
}  // namespace corneltray
