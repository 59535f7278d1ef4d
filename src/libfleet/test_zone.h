#ifndef CORNELTRAY_TEST_ZONE_H_
#define CORNELTRAY_TEST_ZONE_H_

#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "../libserving/engine_fleet_test.h"
#include "corneltray/placed_engine.h"

namespace corneltray {

struct ZoneSize {
  int fast = 0;  // engines
  int slow = 0;
};

inline std::vector<PlacedEngine> MakeZone(int fast, int slow) {
  const EngineProfile profile = TestProfile();
  std::vector<PlacedEngine> engines;
  engines.reserve(static_cast<std::size_t>(fast) + static_cast<std::size_t>(slow));
  for (int i = 0; i < fast; ++i) {
    engines.push_back({"f" + std::to_string(i), profile.accelerators.at("fast"), {}, true});
  }
  for (int i = 0; i < slow; ++i) {
    engines.push_back({"s" + std::to_string(i), profile.accelerators.at("slow"), {}, true});
  }
  return engines;
}

// Guards against an order that exceeds the memory of an engine, which terminates the engine.
inline void CheckFits(const std::vector<PlacedEngine>& engines) {
  const EngineProfile profile = TestProfile();
  for (const PlacedEngine& engine : engines) {
    CAPTURE(engine.name);
    CHECK(engine.range.end <= profile.layers);
    CHECK(engine.range.Size() <= LayersThatFit(engine.kind, profile, 0.0));
  }
}

}  // namespace corneltray

#endif  // CORNELTRAY_TEST_ZONE_H_
