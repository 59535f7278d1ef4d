#include "corneltray/placement.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace corneltray {
namespace {

const std::vector<PlacementModel> kModels = {{{"assistant", "1", ""}, 24, 1000, 2.0},
                                             {{"drafting", "1", ""}, 16, 500, 1.0}};

std::vector<PlacementEngine> RandomEngines(std::mt19937_64* random, std::size_t count) {
  const double speeds[] = {500, 1000, 2000, 4000, 8000};
  const double links[] = {100, 1000, 10000};
  std::vector<PlacementEngine> engines;
  for (std::size_t i = 0; i < count; ++i) {
    engines.push_back({"e" + std::to_string(i), (4 + (*random)() % 9) * 1000,
                       speeds[(*random)() % 5], links[(*random)() % 3]});
  }
  return engines;
}

void CheckPlan(const std::vector<PlacementEngine>& engines, const PlacementPlan& plan) {
  for (const PlacementEngine& engine : engines) {
    const auto it = plan.ranges.find(engine.name);
    if (it == plan.ranges.end()) continue;
    const PlannedRange& range = it->second;
    const auto model = std::find_if(kModels.begin(), kModels.end(),
                                    [&](const auto& m) { return m.key == range.key; });
    REQUIRE(model != kModels.end());
    REQUIRE(range.first_layer <= range.last_layer);
    CHECK(range.last_layer < model->layers);
    const std::uint64_t layers = range.last_layer - range.first_layer + 1;
    CHECK(layers * model->bytes_per_layer <= engine.memory_bytes);
  }
}

// Guards against a plan that an engine's memory cannot hold, a layer that nobody holds, and a
// repair after a loss that reloads the zone.
TEST_CASE("a plan fits every engine and covers every layer") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    auto engines = RandomEngines(&random, 30 + random() % 20);
    const PlacementPlan plan = PlanPlacement(engines, kModels, {});
    CheckPlan(engines, plan);
    for (const ModelThroughput& model : plan.throughput) CHECK(model.tokens_per_s > 0.0);

    SUBCASE("the same input gives the same plan") {
      CHECK(PlanPlacement(engines, kModels, {}).ranges == plan.ranges);
    }
    SUBCASE("with the plan in force nothing moves") {
      const PlacementPlan again = PlanPlacement(engines, kModels, plan.ranges);
      CHECK(again.bytes_to_load <= plan.bytes_to_load / 5);
    }
    SUBCASE("after two losses it is repaired with fewer bytes than a new plan") {
      for (int loss = 0; loss < 2; ++loss) {
        engines.erase(engines.begin() + static_cast<std::ptrdiff_t>(random() % engines.size()));
      }
      PlacementRanges held = plan.ranges;
      const PlacementPlan repaired = PlanPlacement(engines, kModels, held);
      CheckPlan(engines, repaired);
      for (const ModelThroughput& model : repaired.throughput) CHECK(model.tokens_per_s > 0.0);
      const PlacementPlan anew = PlanPlacement(engines, kModels, {});
      CHECK(repaired.bytes_to_load <= BytesToLoad(held, anew.ranges, kModels));
    }
  }
}

// Guards against a figure that no division of the work reaches.
TEST_CASE("the throughput of ranges is what their engines can do") {
  const PlacementModel model{{"m", "1", ""}, 4, 1, 1.0};
  const auto range = [&](std::uint32_t first, std::uint32_t last) {
    return PlannedRange{model.key, first, last};
  };
  const std::vector<PlacementEngine> engines = {{"a", 4, 100, 1e6}, {"b", 4, 300, 1e6}};
  CHECK(RangeThroughput(engines, {{"a", range(0, 3)}, {"b", range(0, 3)}}, model) ==
        doctest::Approx(100).epsilon(0.01));
  CHECK(RangeThroughput(engines, {{"a", range(0, 0)}, {"b", range(1, 3)}}, model) ==
        doctest::Approx(100).epsilon(0.01));
  CHECK(RangeThroughput(engines, {{"a", range(0, 1)}, {"b", range(2, 3)}}, model) ==
        doctest::Approx(50).epsilon(0.01));
  CHECK(RangeThroughput(engines, {{"a", range(0, 1)}}, model) == 0.0);
  SUBCASE("a slow link bounds the tokens through an engine") {
    const std::vector<PlacementEngine> slow = {{"a", 4, 1000, 13}};
    CHECK(RangeThroughput(slow, {{"a", range(0, 3)}}, model) == doctest::Approx(100).epsilon(0.01));
  }
}

// Guards against a crash or an endless search on odd input.
TEST_CASE("engines that can hold nothing get no range") {
  CHECK(PlanPlacement({}, kModels, {}).ranges.empty());
  CHECK(PlanPlacement({{"tiny", 10, 100, 100}}, kModels, {}).ranges.empty());
  CHECK(PlanPlacement({{"e", 5000, 100, 100}}, {}, {}).ranges.empty());
  const PlacementPlan one = PlanPlacement({{"e", 5000, 100, 100}}, kModels, {});
  CHECK(one.ranges.size() == 1);
  CHECK(one.throughput.at(0).tokens_per_s == 0.0);
}

}  // namespace
}  // namespace corneltray
