#include <algorithm>
#include <chrono>
#include <limits>

#include "fleet.h"
#include "linear_program.h"
#include "report.h"

namespace corneltray::bench {
namespace {

constexpr double kStoreBytesPerS = 250e6;  // rate of the weight store of one zone

double LayersOf(const PlacementEngine& engine, const PlacementModel& model) {
  return static_cast<double>(
      std::min<std::uint64_t>(engine.memory_bytes / model.bytes_per_layer, model.layers));
}

// Upper bound on T, where each model runs share x T tokens a second, over every placement and every
// division of the work. Variables: the layer executions a second of each engine for each model, and
// T. An engine cannot exceed its speed, its link for each layer that it holds, nor run a layer more
// often than T asks for.
double Bound(const std::vector<PlacementEngine>& engines,
             const std::vector<PlacementModel>& models) {
  const int t = static_cast<int>(engines.size() * models.size());
  LinearProgram lp(t + 1);
  lp.objective[t] = -1.0;
  for (std::size_t e = 0; e < engines.size(); ++e) {
    for (std::size_t m = 0; m < models.size(); ++m) {
      const int column = static_cast<int>(e * models.size() + m);
      const double layers = LayersOf(engines[e], models[m]);
      lp.upper[column] = layers * engines[e].link_mbps / kActivationMegabits;
      lp.AddRow(-COIN_DBL_MAX, 0.0);
      lp.AddEntry(column, 1.0);
      lp.AddEntry(t, -layers * models[m].share);
    }
    lp.AddRow(-COIN_DBL_MAX, engines[e].layers_per_s);
    for (std::size_t m = 0; m < models.size(); ++m) {
      lp.AddEntry(static_cast<int>(e * models.size() + m), 1.0);
    }
  }
  for (std::size_t m = 0; m < models.size(); ++m) {
    lp.AddRow(0.0, COIN_DBL_MAX);
    for (std::size_t e = 0; e < engines.size(); ++e) {
      lp.AddEntry(static_cast<int>(e * models.size() + m), 1.0);
    }
    lp.AddEntry(t, -models[m].share * models[m].layers);
  }
  return -lp.Minimum();
}

double Seconds(std::chrono::steady_clock::duration d) {
  return std::chrono::duration<double>(d).count();
}

// The T that a plan reaches: its weakest model decides.
double Reached(const PlacementPlan& plan, const std::vector<PlacementModel>& models) {
  double least = std::numeric_limits<double>::infinity();
  for (std::size_t m = 0; m < models.size(); ++m) {
    least = std::min(least, plan.throughput[m].tokens_per_s / models[m].share);
  }
  return least;
}

void BenchForty(Report* report) {
  constexpr std::uint64_t kSeeds = 40;
  const std::vector<PlacementModel> models{OneModel()};
  std::vector<double> shares;
  std::vector<double> times_ms;
  std::vector<double> repair_bytes;
  std::vector<double> new_bytes;
  std::vector<double> repair_share;
  std::vector<double> repair_ms;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto engines = MakeFleet(seed, 40);
    const auto start = std::chrono::steady_clock::now();
    const PlacementPlan plan = PlanPlacement(engines, models, {});
    times_ms.push_back(1000 * Seconds(std::chrono::steady_clock::now() - start));
    shares.push_back(Reached(plan, models) / Bound(engines, models));
    // Loses one engine, plans, and loses another before the first repair is complete.
    std::mt19937_64 random(seed);
    PlacementRanges held = plan.ranges;
    for (int loss = 0; loss < 2; ++loss) {
      engines.erase(engines.begin() + static_cast<std::ptrdiff_t>(random() % engines.size()));
      const auto repair_start = std::chrono::steady_clock::now();
      const PlacementPlan repaired = PlanPlacement(engines, models, held);
      repair_ms.push_back(1000 * Seconds(std::chrono::steady_clock::now() - repair_start));
      const PlacementPlan anew = PlanPlacement(engines, models, {});
      repair_bytes.push_back(static_cast<double>(repaired.bytes_to_load));
      new_bytes.push_back(static_cast<double>(BytesToLoad(held, anew.ranges, models)));
      repair_share.push_back(Reached(repaired, models) / Bound(engines, models));
      held = repaired.ranges;
    }
  }
  const double worst = *std::min_element(shares.begin(), shares.end());
  report->Add({"forty replicas: planned over bound, median", "1-40", Quantile(&shares, 0.5), "",
               "LP bound 1", Goal::kAtLeast, 0.95});
  report->Add({"forty replicas: planned over bound, worst", "1-40", worst, "", "LP bound 1",
               Goal::kAtLeast, 0.85});
  report->Add({"forty replicas: planning time, worst", "1-40", Quantile(&times_ms, 1.0), "ms", "",
               Goal::kAtMost, 50.0});
  const double worst_repair = *std::min_element(repair_share.begin(), repair_share.end());
  report->Add({"after a loss: repaired over bound, median", "1-40", Quantile(&repair_share, 0.5),
               "", "LP bound 1", Goal::kNone, 0.0});
  report->Add({"after a loss: repaired over bound, worst", "1-40", worst_repair, "", "LP bound 1",
               Goal::kNone, 0.0});
  report->Add({"after a loss: planning time, worst", "1-40", Quantile(&repair_ms, 1.0), "ms", "",
               Goal::kAtMost, 50.0});
  const auto mean = [](const std::vector<double>& values) {
    double sum = 0.0;
    for (const double value : values) sum += value;
    return sum / static_cast<double>(values.size());
  };
  const double repair_mean = mean(repair_bytes);
  const double new_mean = mean(new_bytes);
  report->Add({"after a loss: bytes moved, mean", "1-40", repair_mean / 1e9, "GB",
               "new plan " + Number(new_mean / 1e9), Goal::kAtMost, 0.5 * new_mean / 1e9});
  report->Add({"after a loss: loading time at the store's rate, mean", "1-40",
               repair_mean / kStoreBytesPerS, "s", "new plan " + Number(new_mean / kStoreBytesPerS),
               Goal::kNone, 0.0});
  report->Add({"after a loss: loading time at the store's rate, worst", "1-40",
               Quantile(&repair_bytes, 1.0) / kStoreBytesPerS, "s",
               "new plan " + Number(Quantile(&new_bytes, 1.0) / kStoreBytesPerS), Goal::kNone,
               0.0});
}

// One availability zone of the size of two years on: 7,200 replicas over 7 zones, 27 models.
void BenchZone(Report* report) {
  constexpr std::uint64_t kSeeds = 3;
  std::vector<double> shares;
  std::vector<double> totals;
  double worst_s = 0.0;
  double worst_repair_s = 0.0;
  double repair_bytes = 0.0;
  double new_bytes = 0.0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    auto engines = MakeFleet(100 + seed, 7200 / 7);
    std::mt19937_64 random(seed);
    std::vector<PlacementModel> models;
    models.reserve(27);
    for (int m = 0; m < 27; ++m) {
      models.push_back({{"model-" + std::to_string(m), "1", ""},
                        static_cast<std::uint32_t>(16 + random() % 33),
                        kLayerBytes,
                        1.0 + static_cast<double>(random() % 3)});
    }
    auto start = std::chrono::steady_clock::now();
    const PlacementPlan plan = PlanPlacement(engines, models, {});
    worst_s = std::max(worst_s, Seconds(std::chrono::steady_clock::now() - start));
    const double bound = Bound(engines, models);
    shares.push_back(Reached(plan, models) / bound);
    double total = 0.0;
    double total_bound = 0.0;
    for (std::size_t m = 0; m < models.size(); ++m) {
      total += plan.throughput[m].tokens_per_s * models[m].layers;
      total_bound += models[m].share * bound * models[m].layers;
    }
    totals.push_back(total / total_bound);
    // A rack of 20 engines is lost.
    engines.erase(engines.begin(), engines.begin() + 20);
    start = std::chrono::steady_clock::now();
    const PlacementPlan repaired = PlanPlacement(engines, models, plan.ranges);
    worst_repair_s = std::max(worst_repair_s, Seconds(std::chrono::steady_clock::now() - start));
    repair_bytes += static_cast<double>(repaired.bytes_to_load) / kSeeds;
    const PlacementPlan anew = PlanPlacement(engines, models, {});
    new_bytes += static_cast<double>(BytesToLoad(plan.ranges, anew.ranges, models)) / kSeeds;
  }
  report->Add({"zone of 1,028, 27 models: weakest model over bound, worst", "101-103",
               *std::min_element(shares.begin(), shares.end()), "", "LP bound 1", Goal::kNone,
               0.0});
  report->Add({"zone of 1,028, 27 models: all layer work over bound, worst", "101-103",
               *std::min_element(totals.begin(), totals.end()), "", "LP bound 1", Goal::kNone,
               0.0});
  report->Add(
      {"zone of 1,028: planning time, worst", "101-103", worst_s, "s", "", Goal::kAtMost, 1.0});
  report->Add({"zone of 1,028: repair after losing 20, time, worst", "101-103", worst_repair_s, "s",
               "", Goal::kAtMost, 1.0});
  report->Add({"zone of 1,028: repair after losing 20, bytes", "101-103", repair_bytes / 1e9, "GB",
               "new plan " + Number(new_bytes / 1e9), Goal::kAtMost, 0.5 * new_bytes / 1e9});
}

}  // namespace

void RunPlacementBench(Report* report) {
  report->Section("placement (100 MB a layer, weight store 250 MB/s)");
  BenchForty(report);
  BenchZone(report);
  BenchLayouts(report);
}

}  // namespace corneltray::bench
