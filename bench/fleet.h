#ifndef CORNELTRAY_BENCH_FLEET_H_
#define CORNELTRAY_BENCH_FLEET_H_

#include <cstdint>
#include <random>
#include <string>
#include <vector>

#include "corneltray/membership.h"
#include "corneltray/placement.h"

namespace corneltray::bench {

constexpr std::uint64_t kLayerBytes = 100'000'000;
constexpr std::uint32_t kLayers = 24;

inline PlacementModel OneModel() { return {{"assistant", "1", ""}, kLayers, kLayerBytes, 1.0}; }

// Engines of five kinds of accelerator on links that differ 100-fold; none holds the whole model.
inline std::vector<PlacementEngine> MakeFleet(std::uint64_t seed, std::size_t count) {
  struct Kind {
    double layers_per_s;
    std::uint64_t layers;
  };
  constexpr Kind kKinds[] = {{500, 4}, {1000, 6}, {2000, 8}, {4000, 10}, {8000, 12}};
  constexpr double kLinksMbps[] = {100, 1000, 10000};
  std::mt19937_64 random(seed);
  std::vector<PlacementEngine> engines;
  engines.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    const Kind& kind = kKinds[random() % 5];
    engines.push_back({"e" + std::to_string(i), kind.layers * kLayerBytes, kind.layers_per_s,
                       kLinksMbps[random() % 3]});
  }
  return engines;
}

// The fleet as the membership table would show it, with its planned ranges ready.
inline std::vector<UpstreamView> ToViews(const std::vector<PlacementEngine>& engines,
                                         const PlacementRanges& ranges) {
  std::vector<UpstreamView> views;
  views.reserve(engines.size());
  for (const PlacementEngine& engine : engines) {
    UpstreamView view;
    view.announcement.name = engine.name;
    view.announcement.availability_zone = "z";
    view.announcement.layers_per_s = engine.layers_per_s;
    view.announcement.link_mbps = engine.link_mbps;
    view.announcement.address = "10.0.0.1:9000";
    const auto it = ranges.find(engine.name);
    if (it != ranges.end()) {
      view.announcement.holdings = {
          {it->second.key, it->second.first_layer, it->second.last_layer, HoldingState::kReady}};
    }
    views.push_back(view);
  }
  return views;
}

}  // namespace corneltray::bench

#endif  // CORNELTRAY_BENCH_FLEET_H_
