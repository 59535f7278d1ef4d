#include "corneltray/placed_engine.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace corneltray {
namespace {

constexpr double kBytesPerMegabyte = 1e6;

}  // namespace

std::uint32_t LayersThatFit(const AcceleratorKind& kind, const EngineProfile& profile,
                            double kv_tokens) {
  if (profile.layers == 0 || profile.layer_mb <= 0.0) return 0;
  const double prompt_mb = kv_tokens * profile.kv_token_bytes / profile.layers / kBytesPerMegabyte;
  const double fits = std::floor(kind.memory_mb / (profile.layer_mb + prompt_mb));
  return std::min(profile.layers, static_cast<std::uint32_t>(std::max(0.0, fits)));
}

double KvTokensWithLayers(const AcceleratorKind& kind, const EngineProfile& profile,
                          std::uint32_t layers) {
  const double free_mb = kind.memory_mb - layers * profile.layer_mb;
  const double token_mb = profile.kv_token_bytes / profile.layers * layers / kBytesPerMegabyte;
  return free_mb / token_mb;
}

bool IsFaster(const PlacedEngine& a, const PlacedEngine& b) {
  const double a_factor = a.kind.step_factor * a.kind.read_factor;
  const double b_factor = b.kind.step_factor * b.kind.read_factor;
  if (a_factor != b_factor) return a_factor < b_factor;
  return a.name < b.name;
}

std::vector<PlacedEngine> UsableFastestFirst(const std::vector<PlacedEngine>& engines) {
  std::vector<PlacedEngine> usable;
  std::copy_if(engines.begin(), engines.end(), std::back_inserter(usable),
               [](const PlacedEngine& engine) { return engine.is_usable; });
  std::sort(usable.begin(), usable.end(), IsFaster);
  return usable;
}

std::uint32_t TotalThatFits(const std::vector<PlacedEngine>& engines, const EngineProfile& profile,
                            double kv_tokens) {
  std::uint32_t total = 0;
  for (const PlacedEngine& engine : engines) {
    total += LayersThatFit(engine.kind, profile, kv_tokens);
  }
  return total;
}

double MaxKvTokens(const std::vector<PlacedEngine>& engines, const EngineProfile& profile) {
  double fits = 0.0;
  double too_many = std::max(1.0, profile.kv_capacity_tokens);
  if (TotalThatFits(engines, profile, too_many) >= profile.layers) return too_many;
  while (too_many - fits > 1.0) {
    const double tokens = (fits + too_many) / 2.0;
    (TotalThatFits(engines, profile, tokens) >= profile.layers ? fits : too_many) = tokens;
  }
  return fits;
}

std::vector<std::uint32_t> Coverage(const std::vector<PlacedEngine>& engines,
                                    std::uint32_t layers) {
  std::vector<std::uint32_t> held(layers, 0);
  for (const PlacedEngine& engine : engines) {
    if (!engine.is_usable) continue;
    for (std::uint32_t layer = engine.range.first; layer < std::min(engine.range.end, layers);
         ++layer) {
      ++held[layer];
    }
  }
  return held;
}

LayerRange FirstGap(const std::vector<std::uint32_t>& held) {
  LayerRange gap;
  while (gap.first < held.size() && held[gap.first] > 0) ++gap.first;
  gap.end = gap.first;
  while (gap.end < held.size() && held[gap.end] == 0) ++gap.end;
  return gap;
}

bool HasAllLayers(const std::vector<PlacedEngine>& engines, const EngineProfile& profile) {
  return FirstGap(Coverage(engines, profile.layers)).Size() == 0;
}

void ApplyRanges(const LayerRanges& ranges, std::vector<PlacedEngine>* engines) {
  for (PlacedEngine& engine : *engines) {
    const auto range = ranges.find(engine.name);
    if (range != ranges.end()) engine.range = range->second;
  }
}

}  // namespace corneltray
