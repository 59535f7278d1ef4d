#ifndef CORNELTRAY_PLACEMENT_H_
#define CORNELTRAY_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "corneltray/upstream.h"

namespace corneltray {

// One activation of one token between two stages, in megabits. An engine's link carries link_mbps
// divided by this many tokens a second.
constexpr double kActivationMegabits = 0.13;

struct PlacementEngine {
  std::string name;
  std::uint64_t memory_bytes = 0;
  double layers_per_s = 0.0;
  double link_mbps = 0.0;
};

struct PlacementModel {
  ModelKey key;  // the base weights; adapters follow their range
  std::uint32_t layers = 0;
  std::uint64_t bytes_per_layer = 0;
  double share = 1.0;
};

// A range of layers of one model, ends included.
struct PlannedRange {
  ModelKey key;
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;

  bool operator==(const PlannedRange& other) const {
    return key == other.key && first_layer == other.first_layer && last_layer == other.last_layer;
  }
};

using PlacementRanges = std::map<std::string, PlannedRange>;  // by engine

struct ModelThroughput {
  ModelKey key;
  double tokens_per_s = 0.0;  // that the ranges allow
};

struct PlacementPlan {
  PlacementRanges ranges;  // an engine that can hold no layer of any model has none
  std::vector<ModelThroughput> throughput;
  std::uint64_t bytes_to_load = 0;  // against the previous ranges
};

// Returns how many tokens a second the ranges of one model allow, when each engine may run any part
// of its range: 0 if a layer is not held. The value is reached by an explicit division of the work,
// so it is a lower bound.
double RangeThroughput(const std::vector<PlacementEngine>& engines, const PlacementRanges& ranges,
                       const PlacementModel& model);

// Returns the bytes of layers that an engine holds in `after` and did not hold in `before`.
std::uint64_t BytesToLoad(const PlacementRanges& before, const PlacementRanges& after,
                          const std::vector<PlacementModel>& models);

// Assigns one layer range of one model to each engine of an availability zone. With `previous`
// ranges it keeps them and changes only what raises a throughput that fell below what the engines
// allow, moving few bytes. Deterministic; the work grows with engines times layers.
PlacementPlan PlanPlacement(const std::vector<PlacementEngine>& engines,
                            const std::vector<PlacementModel>& models,
                            const PlacementRanges& previous);

}  // namespace corneltray

#endif  // CORNELTRAY_PLACEMENT_H_
