#include <algorithm>
#include <chrono>
#include <random>

#include "fleet.h"
#include "pipeline_simulation.h"
#include "report.h"

namespace corneltray::bench {
namespace {

constexpr double kLoad = 0.9;  // offered, of the planned capacity

struct Policy {
  const char* name;
  RoutingPolicy policy;
};

void BenchPolicies(Report* report, std::uint64_t seed) {
  const Policy policies[] = {{"two choices", TwoChoices{}},
                             {"round robin", RoundRobin{}},
                             {"least outstanding", LeastOutstanding{}}};
  const auto engines = MakeFleet(seed, 40);
  const PlacementModel model = OneModel();
  const PlacementPlan plan = PlanPlacement(engines, {model}, {});
  const double passes = kPromptPasses + kTokens - 1;
  const double capacity = plan.throughput[0].tokens_per_s / passes;  // requests/s
  const std::string seeds = std::to_string(seed);
  for (const int lag_ms : {0, 500, 1000, 2000, 5000}) {
    std::vector<SimulationResult> results;
    for (const Policy& policy : policies) {
      SimulationOptions options;
      options.seed = seed;
      options.policy = policy.policy;
      options.report_lag = std::chrono::milliseconds(lag_ms);
      options.requests_per_s = kLoad * capacity;
      results.push_back(Simulate(engines, plan.ranges, model, options));
    }
    const std::string lag = "lag " + Number(lag_ms / 1000.0) + " s: ";
    const auto baselines = [&](auto member) {
      return "round robin " + Number(results[1].*member) + ", least outstanding " +
             Number(results[2].*member);
    };
    const SimulationResult& own = results[0];
    report->Add({lag + "throughput", seeds, own.completed_per_s, "req/s",
                 "offered " + Number(kLoad * capacity) + ", " +
                     baselines(&SimulationResult::completed_per_s),
                 Goal::kAtLeast,
                 0.99 * std::max(results[1].completed_per_s, results[2].completed_per_s)});
    report->Add({lag + "first token p95", seeds, own.first_token_p95_s, "s",
                 baselines(&SimulationResult::first_token_p95_s), Goal::kAtMost,
                 std::min(0.5 * results[1].first_token_p95_s, results[2].first_token_p95_s)});
    report->Add({lag + "first token p99", seeds, own.first_token_p99_s, "s",
                 baselines(&SimulationResult::first_token_p99_s), Goal::kAtMost,
                 std::min(results[1].first_token_p99_s, results[2].first_token_p99_s)});
    report->Add({lag + "between tokens p95", seeds, own.between_tokens_p95_s, "s",
                 baselines(&SimulationResult::between_tokens_p95_s), Goal::kAtMost,
                 std::min(results[1].between_tokens_p95_s, results[2].between_tokens_p95_s)});
    report->Add({lag + "between tokens p99", seeds, own.between_tokens_p99_s, "s",
                 baselines(&SimulationResult::between_tokens_p99_s), Goal::kAtMost,
                 std::min(results[1].between_tokens_p99_s, results[2].between_tokens_p99_s)});
  }
}

double DecisionMicroseconds(const std::vector<UpstreamView>& views, const PlacementModel& model,
                            bool explain) {
  std::mt19937_64 random(1);
  LoadTable load;
  PrefixIndex prefixes;
  OutlierDetector outliers(0.3);
  Router router({"z", PrefixAffinity{}, explain}, &load, &prefixes, &outliers, &random);
  router.SetUpstreams(views);
  const TimePoint now{std::chrono::hours(1000)};
  for (const UpstreamView& view : views) {
    load.Report(now, view.announcement.name, {static_cast<std::uint32_t>(random() % 8), 0, 0.0});
  }
  std::size_t stages = 0;
  double best = 1e9;
  for (int round = 0; round < 5; ++round) {
    constexpr int kDecisions = 2000;
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kDecisions; ++i) {
      const auto route = router.ChooseChain(now, model.key, model.layers, 0, {}, 0);
      stages += route ? route.value().chain.stages.size() : 0;
    }
    const std::chrono::duration<double, std::micro> took = std::chrono::steady_clock::now() - start;
    best = std::min(best, took.count() / kDecisions);
  }
  return stages > 0 ? best : -1.0;
}

void BenchDecisionTime(Report* report) {
  const PlacementModel model = OneModel();
  const auto forty = MakeFleet(1, 40);
  const auto views = ToViews(forty, PlanPlacement(forty, {model}, {}).ranges);
  report->Add({"decision time, forty replicas", "1", DecisionMicroseconds(views, model, false),
               "us", "", Goal::kAtMost, 5.0});
  report->Add({"decision time with explanation, forty replicas", "1",
               DecisionMicroseconds(views, model, true), "us", "", Goal::kAtMost, 5.0});
  for (const std::size_t count : {320U, 1028U, 7200U}) {
    const auto engines = MakeFleet(1, count);
    const auto ranges = PlanPlacement(engines, {model}, {}).ranges;
    report->Add({"decision time, " + std::to_string(count) + " replicas of one model in a zone",
                 "1", DecisionMicroseconds(ToViews(engines, ranges), model, false), "us", "",
                 Goal::kNone, 0.0});
  }
  // 7,200 replicas as they will be: 27 models in 7 zones, 38 replicas of a model in each.
  std::vector<UpstreamView> all;
  std::vector<PlacementModel> models;
  for (int m = 0; m < 27; ++m) {
    PlacementModel other = model;
    other.key.model = "model-" + std::to_string(m);
    models.push_back(other);
  }
  for (int zone = 0; zone < 7; ++zone) {
    const auto engines = MakeFleet(static_cast<std::uint64_t>(zone) + 1, 1028);
    for (UpstreamView view : ToViews(engines, PlanPlacement(engines, models, {}).ranges)) {
      view.announcement.name = "z" + std::to_string(zone) + "-" + view.announcement.name;
      if (zone != 0) view.announcement.availability_zone = "z" + std::to_string(zone);
      all.push_back(std::move(view));
    }
  }
  report->Add({"decision time, 7,196 replicas of 27 models in 7 zones", "1-7",
               DecisionMicroseconds(all, models[0], false), "us", "", Goal::kNone, 0.0});
}

}  // namespace

void RunRoutingBench(Report* report) {
  report->Section("routing (forty replicas, 6 entry hosts, 0.9 of the planned capacity offered)");
  for (const std::uint64_t seed : {1, 2, 3}) BenchPolicies(report, seed);
  BenchDecisionTime(report);
}

}  // namespace corneltray::bench
