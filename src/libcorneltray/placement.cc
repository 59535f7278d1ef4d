#include "corneltray/placement.h"

#include <algorithm>
#include <tuple>

#include "corneltray/range_layout.h"

namespace corneltray {
namespace {

// Work of the search for each engine: keeps forty engines under 50 ms and a thousand under 1 s.
constexpr std::uint64_t kOperationsPerEngine = 300'000;

std::uint32_t LayersThatFit(const PlacementEngine& engine, const PlacementModel& model) {
  if (model.bytes_per_layer == 0) return model.layers;
  const std::uint64_t fit = engine.memory_bytes / model.bytes_per_layer;
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(fit, model.layers));
}

LayoutEngine ToLayout(const PlacementEngine& engine, const PlacementModel& model) {
  return {engine.layers_per_s, engine.link_mbps / kActivationMegabits,
          LayersThatFit(engine, model)};
}

// Returns the model of each engine. An engine with a previous range stays with its model unless
// another model would have too little; each other engine goes to the model that has the least work
// for its share.
std::vector<int> AssignModels(const std::vector<PlacementEngine>& engines,
                              const std::vector<PlacementModel>& models,
                              const PlacementRanges& previous) {
  std::vector<int> model_of(engines.size(), -1);
  std::vector<double> work(models.size(), 0.0);
  std::vector<std::uint64_t> layers_held(models.size(), 0);
  const auto assign = [&](std::size_t e, std::size_t m) {
    const LayoutEngine engine = ToLayout(engines[e], models[m]);
    model_of[e] = static_cast<int>(m);
    work[m] += std::min(engine.layers_per_s, engine.link_tokens_per_s * engine.max_layers);
    layers_held[m] += engine.max_layers;
  };
  for (std::size_t e = 0; e < engines.size(); ++e) {
    const auto it = previous.find(engines[e].name);
    if (it == previous.end()) continue;
    for (std::size_t m = 0; m < models.size(); ++m) {
      const bool same = models[m].key == it->second.key;
      if (same && LayersThatFit(engines[e], models[m]) > 0) assign(e, m);
    }
  }
  std::vector<std::size_t> order;
  for (std::size_t e = 0; e < engines.size(); ++e) {
    if (model_of[e] < 0) order.push_back(e);
  }
  std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return engines[a].layers_per_s > engines[b].layers_per_s;
  });
  for (const std::size_t e : order) {
    std::size_t chosen = models.size();
    std::pair<bool, double> least;
    for (std::size_t m = 0; m < models.size(); ++m) {
      if (LayersThatFit(engines[e], models[m]) == 0) continue;
      // A model that cannot be held at all yet comes first.
      const std::pair<bool, double> have{layers_held[m] >= models[m].layers,
                                         work[m] / (models[m].share * models[m].layers)};
      if (chosen != models.size() && have >= least) continue;
      chosen = m;
      least = have;
    }
    if (chosen != models.size()) assign(e, chosen);
  }
  return model_of;
}

}  // namespace

double RangeThroughput(const std::vector<PlacementEngine>& engines, const PlacementRanges& ranges,
                       const PlacementModel& model) {
  std::vector<LayoutEngine> members;
  Layout layout;
  for (const PlacementEngine& engine : engines) {
    const auto it = ranges.find(engine.name);
    if (it == ranges.end() || !(it->second.key == model.key)) continue;
    members.push_back(ToLayout(engine, model));
    layout.push_back({it->second.first_layer, it->second.last_layer + 1});
  }
  if (members.empty()) return 0.0;
  return RangeLayout(members, model.layers).Throughput(layout);
}

std::uint64_t BytesToLoad(const PlacementRanges& before, const PlacementRanges& after,
                          const std::vector<PlacementModel>& models) {
  std::uint64_t bytes = 0;
  for (const auto& [engine, range] : after) {
    std::uint64_t layers = range.last_layer - range.first_layer + 1;
    const auto it = before.find(engine);
    if (it != before.end() && it->second.key == range.key) {
      const std::uint32_t first = std::max(it->second.first_layer, range.first_layer);
      const std::uint32_t last = std::min(it->second.last_layer, range.last_layer);
      if (first <= last) layers -= last - first + 1;
    }
    for (const PlacementModel& model : models) {
      if (model.key == range.key) bytes += layers * model.bytes_per_layer;
    }
  }
  return bytes;
}

PlacementPlan PlanPlacement(const std::vector<PlacementEngine>& engines,
                            const std::vector<PlacementModel>& models,
                            const PlacementRanges& previous) {
  PlacementPlan plan;
  const std::vector<int> model_of = AssignModels(engines, models, previous);
  for (std::size_t m = 0; m < models.size(); ++m) {
    const PlacementModel& model = models[m];
    std::vector<std::size_t> members;
    std::vector<LayoutEngine> layout_engines;
    Layout kept;
    bool any_kept = false;
    for (std::size_t e = 0; e < engines.size(); ++e) {
      if (model_of[e] != static_cast<int>(m)) continue;
      members.push_back(e);
      layout_engines.push_back(ToLayout(engines[e], model));
      LayoutRange range;
      const auto it = previous.find(engines[e].name);
      if (it != previous.end() && it->second.key == model.key &&
          it->second.last_layer < model.layers && it->second.first_layer <= it->second.last_layer &&
          it->second.last_layer - it->second.first_layer < layout_engines.back().max_layers) {
        range = {it->second.first_layer, it->second.last_layer + 1};
        any_kept = true;
      }
      kept.push_back(range);
    }
    RangeLayout search(layout_engines, model.layers);
    const std::uint64_t operations = kOperationsPerEngine * members.size();
    const Layout layout = any_kept ? search.Repair(kept, operations) : search.Plan(operations);
    for (std::size_t i = 0; i < members.size(); ++i) {
      if (layout[i].first == layout[i].end) continue;
      plan.ranges[engines[members[i]].name] = {model.key, layout[i].first, layout[i].end - 1};
    }
    plan.throughput.push_back({model.key, members.empty() ? 0.0 : search.Throughput(layout)});
  }
  plan.bytes_to_load = BytesToLoad(previous, plan.ranges, models);
  return plan;
}

}  // namespace corneltray
