#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "corneltray/outlier.h"
#include "corneltray/retry.h"
#include "fleet.h"
#include "pipeline_simulation.h"
#include "report.h"

namespace corneltray::bench {
namespace {

// Under overload the goodput stays at 95% of its peak, and small customers keep their share within
// 5%.
constexpr double kGoodputOfPeak = 0.95;
constexpr double kSmallShare = 0.95;
constexpr std::uint64_t kSeed = 1;
constexpr std::size_t kHosts = 6;
constexpr double kDeadlineS = 5.0;
// Requests in progress are bounded to what the planned capacity completes in this time.
constexpr double kTargetS = 1.5;

void BenchOverload(Report* report) {
  const auto engines = MakeFleet(kSeed, 40);
  const PlacementModel model = OneModel();
  const PlacementPlan plan = PlanPlacement(engines, {model}, {});
  const double capacity = plan.throughput[0].tokens_per_s / (kPromptPasses + kTokens - 1);
  // Two large customers that offer ten times as much as each of the eight small ones.
  const std::vector<double> weights{10, 10, 1, 1, 1, 1, 1, 1, 1, 1};
  double peak = 0.0;
  for (const double load : {0.5, 0.9, 1.0, 1.5, 2.0, 3.0}) {
    SimulationOptions options;
    options.seed = kSeed;
    options.requests_per_s = load * capacity;
    options.customer_weights = weights;
    options.deadline_s = kDeadlineS;
    options.length = std::chrono::seconds(20);
    SimulationOptions open = options;
    options.customer_rate = capacity / 2;
    options.concurrency_limit = static_cast<std::uint32_t>(capacity * kTargetS / kHosts);
    const SimulationResult limited = Simulate(engines, plan.ranges, model, options);
    const SimulationResult without = Simulate(engines, plan.ranges, model, open);
    // Part of what the small customers offered, up to a tenth of the capacity each, that was good.
    const auto small_share = [&](const SimulationResult& result) {
      double good = 0.0;
      double entitled = 0.0;
      const double fair = capacity / static_cast<double>(weights.size()) * 20.0;
      for (std::size_t c = 2; c < weights.size(); ++c) {
        good += static_cast<double>(result.customers[c].good);
        entitled += std::min(fair, static_cast<double>(result.customers[c].offered));
      }
      return good / std::max(1.0, entitled);
    };
    const std::string title = Number(load) + " x capacity: ";
    const std::string seeds = std::to_string(kSeed);
    peak = std::max(peak, limited.good_per_s);
    report->Add({title + "goodput over capacity", seeds, limited.good_per_s / capacity, "",
                 "no admission " + Number(without.good_per_s / capacity), Goal::kNone, 0.0});
    if (load > 1.0) {
      report->Add({title + "goodput over its peak", seeds, limited.good_per_s / peak, "", "",
                   Goal::kAtLeast, kGoodputOfPeak});
    }
    report->Add({title + "small customers' good part of their share", seeds, small_share(limited),
                 "", "no admission " + Number(small_share(without)),
                 load > 1.0 ? Goal::kAtLeast : Goal::kNone, kSmallShare});
    report->Add({title + "first token p95 of admitted", seeds, limited.first_token_p95_s, "s",
                 "no admission " + Number(without.first_token_p95_s), Goal::kNone, 0.0});
  }
}

struct RetryResult {
  double amplification = 0.0;
  double succeeded = 0.0;
};

// A third of the replicas refuse every request while they still announce themselves as ready.
RetryResult SimulateRetries(bool bounded) {
  constexpr int kMaxAttempts = 4;
  constexpr double kRequestsPerS = 300.0;
  constexpr int kSeconds = 30;
  const auto engines = MakeFleet(kSeed, 40);
  const PlacementModel model = OneModel();
  const auto views = ToViews(engines, PlanPlacement(engines, {model}, {}).ranges);
  std::mt19937_64 random(kSeed);
  std::vector<std::string> names;
  names.reserve(engines.size());
  for (const PlacementEngine& engine : engines) names.push_back(engine.name);
  std::shuffle(names.begin(), names.end(), random);
  const std::set<std::string> failing(
      names.begin(), names.begin() + static_cast<std::ptrdiff_t>(names.size() / 3));
  struct Host {
    std::mt19937_64 random;
    LoadTable load;
    OutlierDetector outliers{0.3};
    RetryBudget budget{0.2, 3.0};
    std::unique_ptr<Router> router;
  };
  std::vector<Host> hosts(kHosts);
  for (std::size_t h = 0; h < kHosts; ++h) {
    hosts[h].random.seed(h);
    hosts[h].outliers.SetGroupSize(model.key.model, engines.size());
    hosts[h].router =
        std::make_unique<Router>(RouterOptions{"z", TwoChoices{}, false}, &hosts[h].load, nullptr,
                                 bounded ? &hosts[h].outliers : nullptr, &hosts[h].random);
    hosts[h].router->SetUpstreams(views);
  }
  std::size_t requests = 0;
  std::size_t attempts = 0;
  std::size_t succeeded = 0;
  const int count = static_cast<int>(kRequestsPerS * kSeconds);
  for (int i = 0; i < count; ++i) {
    const TimePoint now =
        TimePoint(std::chrono::hours(1000)) +
        std::chrono::microseconds(static_cast<std::int64_t>(i * 1e6 / kRequestsPerS));
    Host& host = hosts[random() % kHosts];
    ++requests;
    host.budget.RecordRequest(now);
    std::set<std::string> excluded;
    for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
      if (attempt > 0 && bounded && !host.budget.TryRetry(now)) break;
      const auto route = host.router->ChooseChain(now, model.key, model.layers, 0, excluded, 0);
      if (!route) break;
      ++attempts;
      std::string failed;
      for (const Stage& stage : route.value().chain.stages) {
        if (failing.count(stage.name) != 0) {
          failed = stage.name;
          host.outliers.Failure(now, model.key.model, stage.name);
          break;
        }
        host.outliers.Success(now, model.key.model, stage.name, std::chrono::milliseconds(1));
      }
      if (failed.empty()) {
        ++succeeded;
        break;
      }
      excluded.insert(failed);
    }
  }
  return {static_cast<double>(attempts) / static_cast<double>(requests),
          static_cast<double>(succeeded) / static_cast<double>(requests)};
}

void BenchRetries(Report* report) {
  const RetryResult bounded = SimulateRetries(true);
  const RetryResult open = SimulateRetries(false);
  const std::string seeds = std::to_string(kSeed);
  report->Add({"a third of the replicas refuse: attempts for each request", seeds,
               bounded.amplification, "", "no budget, no ejection " + Number(open.amplification),
               Goal::kAtMost, 1.2});
  report->Add({"a third of the replicas refuse: requests that succeed", seeds, bounded.succeeded,
               "", "no budget, no ejection " + Number(open.succeeded), Goal::kNone, 0.0});
}

}  // namespace

void RunOverloadBench(Report* report) {
  report->Section("overload (forty replicas, 10 customers of which 2 offer ten times the others)");
  BenchOverload(report);
  BenchRetries(report);
}

}  // namespace corneltray::bench
