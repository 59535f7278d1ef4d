#ifndef CORNELTRAY_TEST_ZONE_H_
#define CORNELTRAY_TEST_ZONE_H_

#include <doctest/doctest.h>

#include <string>
#include <utility>
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

inline AcceleratorKind Kind(const std::string& name, double memory_mb, double step, double read) {
  return {name, memory_mb, step, read};
}

inline const AcceleratorKind kLargeFast = Kind("large", 72'000.0, 2.4, 3.2);
inline const AcceleratorKind kSmallFast = Kind("small", 14'400.0, 5.3, 7.9);
inline const AcceleratorKind kSlow = Kind("slow", 21'600.0, 16.0, 8.2);

// A zone with several kinds of accelerators.
struct MixedZone {
  std::vector<std::pair<AcceleratorKind, int>> kinds;  // with the number of engines

  std::vector<PlacedEngine> Engines() const {
    std::vector<PlacedEngine> engines;
    for (const auto& [kind, count] : kinds) {
      for (int i = 0; i < count; ++i) {
        engines.push_back({kind.name + std::to_string(i), kind, {}, true});
      }
    }
    return engines;
  }
};

// A model whose copies need several engines of each of these kinds.
inline EngineProfile MixedProfile() {
  EngineProfile profile = TestProfile();
  profile.layer_mb = 1750.0;
  profile.slots = 192;
  profile.kv_token_bytes = 492'000.0;
  profile.kv_capacity_tokens = 100'000.0;
  profile.step_ms = 1.02;
  profile.step_ms_per_request = 0.00382;
  profile.read_tokens_per_s = 196'000.0;
  profile.tokens_per_event = 4.0;
  profile.usual_prompt_tokens = 775.0;
  profile.usual_answer_tokens = 212.0;
  for (const AcceleratorKind& kind : {kLargeFast, kSmallFast, kSlow}) {
    profile.accelerators[kind.name] = kind;
  }
  return profile;
}

}  // namespace corneltray

#endif  // CORNELTRAY_TEST_ZONE_H_
