#ifndef CORNELTRAY_PLACED_ENGINE_H_
#define CORNELTRAY_PLACED_ENGINE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "corneltray/route_table.h"

namespace corneltray {

// Half-open range of layers from `first` up to but not including `end`.
struct LayerRange {
  std::uint32_t first = 0;
  std::uint32_t end = 0;

  std::uint32_t Size() const { return end - first; }
  bool operator==(const LayerRange& o) const { return first == o.first && end == o.end; }
  bool operator!=(const LayerRange& o) const { return !(*this == o); }
};

// One engine of an availability zone, with the state that placement depends on.
struct PlacedEngine {
  std::string name;
  AcceleratorKind kind;
  LayerRange range;       // held, or ordered and not yet announced
  bool is_usable = true;  // ready, with a recent announcement
  // First announced at least kSpareDuration ago. A newer engine without layers is reserved for the
  // layers of an engine that leaves, as in a release, where the replacement starts first.
  bool is_settled = true;
  bool is_leaving = false;  // announced its departure
};

// Ranges by engine. An engine without an entry keeps what it holds.
using LayerRanges = std::map<std::string, LayerRange>;

// Returns how many layers fit into an engine beside a KV cache for `kv_tokens` tokens.
std::uint32_t LayersThatFit(const AcceleratorKind& kind, const EngineProfile& profile,
                            double kv_tokens);

// Returns the KV cache capacity in tokens of an engine that holds this many layers, which may be
// negative.
double KvTokensWithLayers(const AcceleratorKind& kind, const EngineProfile& profile,
                          std::uint32_t layers);

// Orders engines from fast to slow, with the name as the tie-breaker.
bool IsFaster(const PlacedEngine& a, const PlacedEngine& b);

// Returns the usable engines, fastest first.
std::vector<PlacedEngine> UsableFastestFirst(const std::vector<PlacedEngine>& engines);

// Returns how many layers all engines hold together beside a KV cache for `kv_tokens` tokens each.
std::uint32_t TotalThatFits(const std::vector<PlacedEngine>& engines, const EngineProfile& profile,
                            double kv_tokens);

// Returns the largest KV cache in tokens that a zone can hold beside one complete copy of the
// model, at most the capacity in the profile. A larger KV cache needs more stages, and each stage
// adds to the time per token and to the probability of a failure.
double MaxKvTokens(const std::vector<PlacedEngine>& engines, const EngineProfile& profile);

// Returns how many usable engines hold each layer.
std::vector<std::uint32_t> Coverage(const std::vector<PlacedEngine>& engines, std::uint32_t layers);

// Returns the first contiguous range of layers without a holder, or an empty range if there is
// none.
LayerRange FirstGap(const std::vector<std::uint32_t>& held);

// Returns whether every layer is held by a usable engine.
bool HasAllLayers(const std::vector<PlacedEngine>& engines, const EngineProfile& profile);

// Sets the ranges of the engines that have an entry.
void ApplyRanges(const LayerRanges& ranges, std::vector<PlacedEngine>* engines);

}  // namespace corneltray

#endif  // CORNELTRAY_PLACED_ENGINE_H_
