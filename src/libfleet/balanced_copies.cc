#include <algorithm>

#include "corneltray/zone_layout.h"

namespace corneltray {
namespace {

// Minimum KV cache of each copy, as a fraction of the capacity, when a zone is divided into several
// copies. More copies serve more requests, and the loss of an engine affects fewer of them.
constexpr double kMinCopyKvShare = 0.7;

using EngineGroup = std::vector<const PlacedEngine*>;

// Divides engines into `copies` groups that each hold the complete model beside a KV cache for
// `kv_tokens` tokens. The largest remaining engine goes to the group with the fewest layers, which
// balances the groups. Returns an empty vector if the engines do not suffice. Surplus engines
// belong to no group.
std::vector<EngineGroup> DivideIntoCopies(const std::vector<PlacedEngine>& engines,
                                          const EngineProfile& profile, std::size_t copies,
                                          double kv_tokens) {
  const auto fits = [&](const PlacedEngine* engine) {
    return LayersThatFit(engine->kind, profile, kv_tokens);
  };
  EngineGroup largest_first;
  for (const PlacedEngine& engine : engines) largest_first.push_back(&engine);
  std::stable_sort(largest_first.begin(), largest_first.end(),
                   [&](const PlacedEngine* a, const PlacedEngine* b) { return fits(a) > fits(b); });
  std::vector<EngineGroup> groups(copies);
  std::vector<std::uint32_t> layers(copies, 0);
  for (const PlacedEngine* engine : largest_first) {
    const auto fewest = std::min_element(layers.begin(), layers.end());
    if (*fewest >= profile.layers || fits(engine) == 0) break;
    *fewest += fits(engine);
    groups[static_cast<std::size_t>(fewest - layers.begin())].push_back(engine);
  }
  const bool all_complete = std::all_of(layers.begin(), layers.end(),
                                        [&](std::uint32_t held) { return held >= profile.layers; });
  return all_complete ? groups : std::vector<EngineGroup>{};
}

// Returns the engines of each copy, for the largest number of copies with a sufficient KV cache,
// and sets `kv_tokens` to the largest KV cache that this number allows. Returns an empty vector if
// fewer than two copies fit.
std::vector<EngineGroup> PlanCopies(const std::vector<PlacedEngine>& engines,
                                    const EngineProfile& profile, double* kv_tokens) {
  const double least = profile.kv_capacity_tokens * kMinCopyKvShare;
  const std::size_t most = TotalThatFits(engines, profile, least) / std::max(1U, profile.layers);
  for (std::size_t copies = most; copies >= 2; --copies) {
    if (DivideIntoCopies(engines, profile, copies, least).empty()) continue;
    double fits = least;
    double too_many = std::max(least + 1.0, profile.kv_capacity_tokens);
    while (too_many - fits > 1.0) {
      const double tokens = (fits + too_many) / 2.0;
      const bool is_possible = !DivideIntoCopies(engines, profile, copies, tokens).empty();
      (is_possible ? fits : too_many) = tokens;
    }
    *kv_tokens = fits;
    return DivideIntoCopies(engines, profile, copies, fits);
  }
  return {};
}

}  // namespace

LayerRanges PlanBalancedCopies(const std::vector<PlacedEngine>& engines,
                               const EngineProfile& profile) {
  const std::vector<PlacedEngine> usable = UsableFastestFirst(engines);
  double kv_tokens = MaxKvTokens(usable, profile);
  LayerRanges ranges;
  for (EngineGroup& group : PlanCopies(usable, profile, &kv_tokens)) {
    std::sort(group.begin(), group.end(),
              [](const PlacedEngine* a, const PlacedEngine* b) { return IsFaster(*a, *b); });
    std::uint32_t first = 0;
    for (const PlacedEngine* engine : group) {
      const std::uint32_t fits = LayersThatFit(engine->kind, profile, kv_tokens);
      const std::uint32_t end = std::min(profile.layers, first + fits);
      ranges[engine->name] = {first, end};
      first = end;
    }
  }
  std::uint32_t next = 0;
  for (const PlacedEngine& engine : usable) {
    if (ranges.count(engine.name) > 0) continue;
    if (next == profile.layers) next = 0;  // start of another copy
    const std::uint32_t fits = LayersThatFit(engine.kind, profile, kv_tokens);
    const LayerRange range{next, std::min(profile.layers, next + fits)};
    if (range.Size() == 0) continue;
    ranges[engine.name] = range;
    next = range.end;
  }
  return ranges;
}

}  // namespace corneltray
