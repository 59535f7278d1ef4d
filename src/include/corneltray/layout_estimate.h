#ifndef CORNELTRAY_LAYOUT_ESTIMATE_H_
#define CORNELTRAY_LAYOUT_ESTIMATE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "corneltray/placed_engine.h"
#include "corneltray/route_table.h"

namespace corneltray {

// Response times that the callers of a service expect: the shortest over its routes. Zero means
// that no route states one.
struct LatencyTarget {
  std::chrono::milliseconds first_event{0};
  std::chrono::milliseconds event_gap{0};
};

LatencyTarget LatencyTargetOf(const std::string& service, const RouteTable& routes);

// Equal stages of one copy of the model.
struct StageGroup {
  AcceleratorKind kind;
  std::uint32_t layers = 0;  // of each stage
  std::uint32_t count = 0;
};

// What one copy carries when its KV cache is full of usual requests, or when more requests would
// exceed the latency target.
struct CopyEstimate {
  double kv_tokens = 0.0;       // in the stage with the smallest KV cache
  double first_event_s = 0.0;   // from the arrival of a request
  double event_s = 0.0;         // between events
  double request_s = 0.0;       // for which a request occupies the KV cache
  double requests_per_s = 0.0;  // 0 if the copy cannot serve a request on time
  std::uint32_t stages = 0;
};

// Estimates a copy from the profile and the accelerators alone. Each event passes every stage, in
// which it waits for the current pass to end and then takes part in the next one. Reading prompts
// takes a share of the time of each stage and prolongs its passes. Since a request occupies the KV
// cache of all stages until its last event, its duration limits the rate.
CopyEstimate EstimateCopy(const std::vector<StageGroup>& stages, const EngineProfile& profile,
                          const LatencyTarget& target);

struct LayoutEstimate {
  std::vector<CopyEstimate> copies;

  double RequestsPerSecond() const;
  double KvTokens() const;
};

// Estimates the complete copies that the ranges of the usable engines form, each engine in one copy
// and with its whole range. Engines outside complete copies carry nothing.
LayoutEstimate EstimateLayout(const std::vector<PlacedEngine>& engines,
                              const EngineProfile& profile, const LatencyTarget& target);

// Returns the engines of each complete copy, as indexes into `engines`, first stage first. Copies
// of low cost are formed first.
std::vector<std::vector<std::size_t>> FindCompleteCopies(const std::vector<PlacedEngine>& engines,
                                                         const EngineProfile& profile);

// Mean size in tokens of a usual request in the KV cache, from its first token to its last.
double UsualTokens(const EngineProfile& profile);

// Time in seconds that a usual request spends in one layer on this accelerator, without queueing.
double LayerSeconds(const AcceleratorKind& kind, const EngineProfile& profile);

}  // namespace corneltray

#endif  // CORNELTRAY_LAYOUT_ESTIMATE_H_
