#ifndef CORNELTRAY_ZONE_LAYOUT_H_
#define CORNELTRAY_ZONE_LAYOUT_H_

#include <vector>

#include "corneltray/layout_estimate.h"
#include "corneltray/placed_engine.h"

namespace corneltray {

// Divides the engines of a zone into copies of equal size and speed, which mix fast and slow
// engines. If its memory allows two or more complete copies of the model with a sufficient KV cache
// each, there are as many copies as possible. Otherwise the fastest engines hold one copy, with a
// KV cache as large as the memory of the zone allows, up to a fraction of the capacity in the
// profile. The remaining engines hold part of a further copy.
LayerRanges PlanBalancedCopies(const std::vector<PlacedEngine>& engines,
                               const EngineProfile& profile);

// Divides the engines into copies of similar engines: sorted by kind, in each order of the kinds,
// and cut into consecutive copies of any size. Returns the division that carries the most usual
// requests per second; empty if no copy serves a request within the target. Engines that no copy
// needs stay empty, as spares.
LayerRanges PlanUniformCopies(const std::vector<PlacedEngine>& engines,
                              const EngineProfile& profile, const LatencyTarget& target);

// Plans a zone without existing placement: balanced copies, unless uniform ones carry considerably
// more. Returns the range of each engine.
LayerRanges PlanZone(const std::vector<PlacedEngine>& engines, const EngineProfile& profile,
                     const LatencyTarget& target = {});

// Plans one complete copy over all usable engines of a zone that permanently lost engines. The
// engines keep their order, so that each keeps most of its layers and serves them during the
// change.
LayerRanges ReplanZone(const std::vector<PlacedEngine>& engines, const EngineProfile& profile);

}  // namespace corneltray

#endif  // CORNELTRAY_ZONE_LAYOUT_H_
