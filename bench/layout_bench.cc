#include <algorithm>
#include <chrono>
#include <ctime>
#include <string>
#include <utility>
#include <vector>

#include "corneltray/layout_estimate.h"
#include "corneltray/zone_layout.h"
#include "linear_program.h"
#include "report.h"

namespace corneltray::bench {
namespace {

using KindCount = std::pair<AcceleratorKind, int>;

// One availability zone with engines of several kinds.
struct LayoutZone {
  std::string name;
  std::vector<KindCount> kinds;
};

struct Installation {
  EngineProfile profile;
  std::vector<LayoutZone> zones;
};

EngineProfile Profile(double kv_token_bytes, double step_ms, double step_ms_per_request,
                      double read_tokens_per_s, double tokens_per_event, double answer_tokens) {
  EngineProfile profile;
  profile.layers = 80;
  profile.layer_mb = 1750.0;
  profile.slots = 192;
  profile.kv_token_bytes = kv_token_bytes;
  profile.kv_capacity_tokens = 100'000.0;
  profile.step_ms = step_ms;
  profile.step_ms_per_request = step_ms_per_request;
  profile.read_tokens_per_s = read_tokens_per_s;
  profile.tokens_per_event = tokens_per_event;
  profile.usual_prompt_tokens = 775.0;
  profile.usual_answer_tokens = answer_tokens;
  return profile;
}

std::vector<Installation> Installations() {
  const AcceleratorKind large{"large", 72'000.0, 2.4, 3.2};
  const AcceleratorKind small{"small", 14'400.0, 5.3, 7.9};
  const AcceleratorKind slow{"slow", 21'600.0, 16.0, 8.2};
  const AcceleratorKind largest{"largest", 72'000.0, 1.4, 1.0};
  const AcceleratorKind middle{"middle", 36'000.0, 3.1, 3.2};
  const AcceleratorKind slowest{"slowest", 14'400.0, 15.0, 15.0};
  return {{Profile(492'000.0, 1.02, 0.00382, 196'000.0, 4.0, 212.0),
           {{"A1", {{large, 2}, {small, 24}, {slow, 9}}},
            {"A2", {{large, 4}, {small, 10}, {slow, 11}}},
            {"A3", {{large, 3}, {small, 14}, {slow, 16}}}}},
          {Profile(393'000.0, 0.85, 0.00255, 294'000.0, 3.0, 178.0),
           {{"B1", {{middle, 4}, {slow, 11}, {slowest, 18}}},
            {"B2", {{largest, 1}, {middle, 2}, {slow, 13}, {slowest, 17}}},
            {"B3", {{largest, 1}, {middle, 2}, {slow, 20}, {slowest, 9}}}}}};
}

const LatencyTarget kTarget{std::chrono::milliseconds(500), std::chrono::milliseconds(250)};

// Fractional layers of an accelerator beside a KV cache of this size.
double FractionalLayers(const AcceleratorKind& kind, const EngineProfile& profile,
                        double kv_tokens) {
  const double layer_kv_mb = kv_tokens * profile.kv_token_bytes / profile.layers / 1e6;
  return kind.memory_mb / (profile.layer_mb + layer_kv_mb);
}

// Upper bound on the requests per second of a zone, up to the grid of the variables: the rates of
// fractional copies, each with a number of layers on each kind and a size of the KV cache. Engines
// can be divided at will and hold fractional layers.
class LayoutBound {
 public:
  LayoutBound(const LayoutZone& zone, const EngineProfile& profile)
      : m_zone(zone), m_profile(profile), m_rows(zone.kinds.size()) {}

  double Solve() {
    AddColumns(0, m_profile.layers, {});
    LinearProgram lp(static_cast<int>(m_rates.size()));
    for (std::size_t c = 0; c < m_rates.size(); ++c) lp.objective[c] = -m_rates[c];
    for (std::size_t kind = 0; kind < m_rows.size(); ++kind) {
      lp.AddRow(-COIN_DBL_MAX, m_zone.kinds[kind].second);
      for (std::size_t c = 0; c < m_rates.size(); ++c) {
        lp.AddEntry(static_cast<int>(c), m_rows[kind][c]);
      }
    }
    return -lp.Minimum();
  }

 private:
  void AddColumns(std::size_t kind, std::uint32_t left, std::vector<std::uint32_t> layers) {
    constexpr std::uint32_t kLayerStep = 4;
    if (kind + 1 == m_zone.kinds.size()) {
      layers.push_back(left);
      AddSizes(layers);
      return;
    }
    for (std::uint32_t held = 0; held <= left; held += kLayerStep) {
      std::vector<std::uint32_t> next = layers;
      next.push_back(held);
      AddColumns(kind + 1, left - held, next);
    }
  }

  void AddSizes(const std::vector<std::uint32_t>& layers) {
    constexpr int kSizes = 12;
    const double most = m_profile.slots * UsualTokens(m_profile);
    for (int i = 1; i <= kSizes; ++i) {
      const double kv_tokens = most * i / kSizes;
      m_rates.push_back(Rate(layers, kv_tokens));
      for (std::size_t kind = 0; kind < layers.size(); ++kind) {
        const double per_engine = FractionalLayers(m_zone.kinds[kind].first, m_profile, kv_tokens);
        m_rows[kind].push_back(layers[kind] / per_engine);
      }
    }
  }

  // The estimate of a copy, with accelerators whose memory leaves exactly this KV cache.
  double Rate(const std::vector<std::uint32_t>& layers, double kv_tokens) const {
    std::vector<StageGroup> stages;
    for (std::size_t kind = 0; kind < layers.size(); ++kind) {
      const AcceleratorKind& accelerator = m_zone.kinds[kind].first;
      const double fits = FractionalLayers(accelerator, m_profile, kv_tokens);
      const auto size = std::max(1U, static_cast<std::uint32_t>(fits));
      AddStages(accelerator, size, layers[kind] / size, kv_tokens, &stages);
      AddStages(accelerator, layers[kind] % size, 1, kv_tokens, &stages);
    }
    return EstimateCopy(stages, m_profile, kTarget).requests_per_s;
  }

  void AddStages(AcceleratorKind accelerator, std::uint32_t layers, std::uint32_t count,
                 double kv_tokens, std::vector<StageGroup>* stages) const {
    if (layers == 0 || count == 0) return;
    const double layer_kv_mb = kv_tokens * m_profile.kv_token_bytes / m_profile.layers / 1e6;
    accelerator.memory_mb = layers * (m_profile.layer_mb + layer_kv_mb);
    stages->push_back({accelerator, layers, count});
  }

  const LayoutZone& m_zone;
  const EngineProfile& m_profile;
  std::vector<double> m_rates;              // by column
  std::vector<std::vector<double>> m_rows;  // by kind and column: engines that the copy takes
};

std::vector<PlacedEngine> EmptyEngines(const LayoutZone& zone) {
  std::vector<PlacedEngine> engines;
  for (const auto& [kind, count] : zone.kinds) {
    for (int i = 0; i < count; ++i) {
      PlacedEngine engine;
      engine.name = kind.name + std::to_string(i);
      engine.kind = kind;
      engines.push_back(engine);
    }
  }
  return engines;
}

LayoutEstimate Estimate(const LayerRanges& ranges, std::vector<PlacedEngine> engines,
                        const EngineProfile& profile) {
  ApplyRanges(ranges, &engines);
  return EstimateLayout(engines, profile, kTarget);
}

}  // namespace

void BenchLayouts(Report* report) {
  report->Section("layouts of mixed zones (usual requests per second, by estimate)");
  double slowest_plan_ms = 0.0;
  for (const Installation& installation : Installations()) {
    const EngineProfile& profile = installation.profile;
    for (const LayoutZone& zone : installation.zones) {
      const std::vector<PlacedEngine> engines = EmptyEngines(zone);
      const LayoutEstimate balanced =
          Estimate(PlanBalancedCopies(engines, profile), engines, profile);
      const std::clock_t start = std::clock();
      const LayerRanges plan = PlanZone(engines, profile, kTarget);
      const double took_ms = 1000.0 * static_cast<double>(std::clock() - start) / CLOCKS_PER_SEC;
      slowest_plan_ms = std::max(slowest_plan_ms, took_ms);
      const double planned = Estimate(plan, engines, profile).RequestsPerSecond();
      const double bound = LayoutBound(zone, profile).Solve();
      report->Add(
          {"zone " + zone.name + ": planned", "-", planned, "/s",
           "balanced " + Number(balanced.RequestsPerSecond()) + ", LP bound " + Number(bound),
           Goal::kAtLeast, balanced.RequestsPerSecond()});
    }
  }
  report->Add({"zone of 33: processor time of a plan, worst", "-", slowest_plan_ms, "ms", "",
               Goal::kAtMost, 50.0});
}

}  // namespace corneltray::bench
