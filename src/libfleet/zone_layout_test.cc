#include "corneltray/zone_layout.h"

#include <doctest/doctest.h>

#include <vector>

#include "corneltray/chain_search.h"
#include "test_zone.h"

namespace corneltray {
namespace {

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
  SUBCASE("also in balanced copies") {
    for (const ZoneSize& size : {ZoneSize{2, 4}, {1, 6}, {0, 6}, {5, 0}, {4, 12}}) {
      std::vector<PlacedEngine> engines = MakeZone(size.fast, size.slow);
      ApplyRanges(PlanBalancedCopies(engines, profile), &engines);
      CHECK(HasAllLayers(engines, profile));
      CheckFits(engines);
    }
  }
  SUBCASE("fast engines of balanced copies hold what a KV cache of full capacity allows") {
    std::vector<PlacedEngine> engines = MakeZone(2, 8);
    ApplyRanges(PlanBalancedCopies(engines, profile), &engines);
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
    ApplyRanges(PlanBalancedCopies(engines, profile), &engines);
    CHECK(CountCopies(engines) == c.copies);
    CheckFits(engines);
  }
}

// Guards against the collapse of a zone with fast and slow accelerators: balanced copies keep a
// request in the memory of the fast ones for as long as the slow ones take, so that the KV cache of
// all copies filled up at half of the rate that the same engines can serve.
TEST_CASE("fast and slow engines form copies of their own where that carries more") {
  const EngineProfile profile = MixedProfile();
  const LatencyTarget target{std::chrono::milliseconds(500), std::chrono::milliseconds(250)};
  for (const MixedZone& zone : {MixedZone{{{kLargeFast, 2}, {kSmallFast, 24}, {kSlow, 9}}},
                                MixedZone{{{kLargeFast, 4}, {kSmallFast, 10}, {kSlow, 11}}},
                                MixedZone{{{kLargeFast, 3}, {kSmallFast, 14}, {kSlow, 16}}}}) {
    const std::vector<PlacedEngine> empty = zone.Engines();
    std::vector<PlacedEngine> balanced = empty;
    ApplyRanges(PlanBalancedCopies(empty, profile), &balanced);
    std::vector<PlacedEngine> planned = empty;
    ApplyRanges(PlanZone(empty, profile, target), &planned);
    const LayoutEstimate before = EstimateLayout(balanced, profile, target);
    const LayoutEstimate after = EstimateLayout(planned, profile, target);
    CAPTURE(before.RequestsPerSecond());
    CHECK(after.RequestsPerSecond() > 1.5 * before.RequestsPerSecond());
    CHECK(after.copies.size() >= before.copies.size());
    for (const CopyEstimate& copy : after.copies) {
      CHECK(copy.stages <= 32);
      CHECK(copy.requests_per_s > 0.0);
      CHECK(copy.kv_tokens >= 0.5 * profile.kv_capacity_tokens);
      CHECK(copy.event_s <= 0.125);
      CHECK(copy.first_event_s <= 0.25);
    }
  }
}

// Guards against changed layouts, and with them other loads and failures, where nothing is gained.
TEST_CASE("a zone of equal engines keeps balanced copies") {
  EngineProfile profile = TestProfile();
  profile.slots = 40;  // limits each copy before its KV cache does
  const std::vector<PlacedEngine> engines = MakeZone(0, 10);
  CHECK(PlanZone(engines, profile) == PlanBalancedCopies(engines, profile));
}

// Guards against a zone whose only copy is made of all its engines: the loss of any of them took
// the zone out of service, although the estimate without losses is higher.
TEST_CASE("a zone that holds a single copy keeps the balanced plan") {
  const EngineProfile profile = MixedProfile();
  const LatencyTarget target{std::chrono::milliseconds(500), std::chrono::milliseconds(250)};
  const std::vector<PlacedEngine> engines =
      MixedZone{{{kLargeFast, 1}, {kSmallFast, 4}, {kSlow, 3}}}.Engines();
  std::vector<PlacedEngine> uniform = engines;
  ApplyRanges(PlanUniformCopies(engines, profile, target), &uniform);
  REQUIRE(EstimateLayout(uniform, profile, target).copies.size() == 1);
  CHECK(PlanZone(engines, profile, target) == PlanBalancedCopies(engines, profile));
}

// Guards against a copy that no caller would wait for.
TEST_CASE("copies slower than the objectives of the routes count for nothing") {
  const EngineProfile profile = MixedProfile();
  const std::vector<PlacedEngine> engines = MixedZone{{{kSlow, 12}}}.Engines();
  CHECK_FALSE(PlanUniformCopies(engines, profile, {}).empty());
  const LatencyTarget strict{std::chrono::milliseconds(500), std::chrono::milliseconds(100)};
  CHECK(PlanUniformCopies(engines, profile, strict).empty());
  // Without any copy that is fast enough the zone still holds the model.
  CHECK_FALSE(PlanZone(engines, profile, strict).empty());
}

}  // namespace
}  // namespace corneltray
