#ifndef CORNELTRAY_BROKEN_COPIES_H_
#define CORNELTRAY_BROKEN_COPIES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "corneltray/placed_engine.h"

namespace corneltray {

// A copy of the model that lacks some layers, because engines were lost or have not joined yet.
struct BrokenCopy {
  std::vector<std::size_t> stages;  // indexes of the engines, first stage first
  std::vector<LayerRange> gaps;     // layers without an engine
  std::uint32_t missing = 0;        // number of these layers
  double kv_tokens = 0.0;           // in the stage with the smallest KV cache
};

// The engines of a zone by what their ranges are good for, as indexes.
struct ZoneState {
  std::vector<std::vector<std::size_t>> complete;  // by their stages, fastest first
  std::vector<BrokenCopy> broken;                  // the one with the smallest gaps first
  // Usable engines that are part of neither: empty, or with layers of which the copy would lack
  // more than half.
  std::vector<std::size_t> idle;
};

// Divides the usable engines of a zone into complete copies, broken copies and idle engines. The
// result depends on the current ranges alone, so that a new leader finds the same copies.
ZoneState FindCopies(const std::vector<PlacedEngine>& engines, const EngineProfile& profile);

}  // namespace corneltray

#endif  // CORNELTRAY_BROKEN_COPIES_H_
