#ifndef CORNELTRAY_ZONE_REPAIR_H_
#define CORNELTRAY_ZONE_REPAIR_H_

#include <vector>

#include "corneltray/layout_estimate.h"
#include "corneltray/placed_engine.h"

namespace corneltray {

// Returns new ranges for engines of a zone that is in use, without moving layers that no other
// engine holds. Spare engines take the layers that a broken copy lacks, the copy with the smallest
// gaps first; an engine that has just joined takes only the layers of lost engines (`vacancies`),
// or about as many as it can hold.
// The rest of a copy is not spare while engines are expected to restart that make it complete
// (`awaited`, the layers that they held).
// Layers that no usable engine holds go to an empty engine, else to one whose layers are held
// elsewhere too, else to the engines with adjacent ranges while they keep a minimum KV cache. The
// remaining empty engines duplicate a stage of a complete copy. Engines that are not in the result
// keep their range.
LayerRanges RepairZone(const std::vector<PlacedEngine>& engines, const EngineProfile& profile,
                       const std::vector<LayerRange>& vacancies = {},
                       const std::vector<LayerRange>& awaited = {});

// Plans copies over the engines that are part of no complete copy: the rest of broken copies, and
// spare engines. Complete copies keep their engines. Broken copies whose missing layers an engine
// that restarts will probably take over (`awaited`) are left as they are. Returns an empty result
// if these engines hold no complete copy. Each engine keeps most of its layers.
LayerRanges RecutBrokenCopies(const std::vector<PlacedEngine>& engines,
                              const EngineProfile& profile, const LatencyTarget& target,
                              const std::vector<LayerRange>& awaited = {});

}  // namespace corneltray

#endif  // CORNELTRAY_ZONE_REPAIR_H_
