#include "corneltray/zone_layout.h"

#include <algorithm>

namespace corneltray {
namespace {

// Balanced copies are replaced only for a gain that exceeds the error of the estimate.
constexpr double kMinGain = 1.1;

// With a single copy, the loss of any of its engines takes the zone out of service. The balanced
// plan then uses few, fast engines for it and leaves the others to cover their layers.
constexpr std::size_t kMinUniformCopies = 2;

LayoutEstimate Estimate(const LayerRanges& ranges, std::vector<PlacedEngine> engines,
                        const EngineProfile& profile, const LatencyTarget& target) {
  ApplyRanges(ranges, &engines);
  return EstimateLayout(engines, profile, target);
}

}  // namespace

LayerRanges PlanZone(const std::vector<PlacedEngine>& engines, const EngineProfile& profile,
                     const LatencyTarget& target) {
  LayerRanges balanced = PlanBalancedCopies(engines, profile);
  LayerRanges uniform = PlanUniformCopies(engines, profile, target);
  const LayoutEstimate of_balanced = Estimate(balanced, engines, profile, target);
  const LayoutEstimate of_uniform = Estimate(uniform, engines, profile, target);
  const bool carries_more =
      of_uniform.RequestsPerSecond() > kMinGain * of_balanced.RequestsPerSecond();
  return carries_more && of_uniform.copies.size() >= kMinUniformCopies ? uniform : balanced;
}

LayerRanges ReplanZone(const std::vector<PlacedEngine>& engines, const EngineProfile& profile) {
  std::vector<PlacedEngine> usable = UsableFastestFirst(engines);
  const double kv_tokens = MaxKvTokens(usable, profile);
  // Number of layers per engine. The slowest engines get fewer if the zone has memory to spare.
  std::uint32_t left = profile.layers;
  std::map<std::string, std::uint32_t> sizes;
  for (const PlacedEngine& engine : usable) {
    const std::uint32_t size = std::min(left, LayersThatFit(engine.kind, profile, kv_tokens));
    sizes[engine.name] = size;
    left -= size;
  }
  // Engines without layers go to the end, where they shift the ranges of the others least.
  std::stable_sort(usable.begin(), usable.end(), [](const PlacedEngine& a, const PlacedEngine& b) {
    const bool a_holds = a.range.Size() > 0;
    const bool b_holds = b.range.Size() > 0;
    if (a_holds != b_holds) return a_holds;
    return a_holds && a.range.first < b.range.first;
  });
  LayerRanges ranges;
  std::uint32_t next = 0;
  for (const PlacedEngine& engine : usable) {
    const LayerRange range{next, next + sizes[engine.name]};
    if (range.Size() > 0) ranges[engine.name] = range;
    next = range.end;
  }
  return ranges;
}

}  // namespace corneltray
