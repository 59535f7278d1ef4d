#ifndef CORNELTRAY_BENCH_PIPELINE_SIMULATION_H_
#define CORNELTRAY_BENCH_PIPELINE_SIMULATION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "corneltray/limiter.h"
#include "corneltray/placement.h"
#include "corneltray/router.h"

namespace corneltray::bench {

// Passes of one token's worth of work that the prompt of a request costs, and the tokens after it.
constexpr int kPromptPasses = 4;
constexpr int kTokens = 16;

struct SimulationOptions {
  std::uint64_t seed = 1;
  RoutingPolicy policy = TwoChoices{};
  Duration report_lag{};
  double requests_per_s = 0.0;
  Duration warm_up = std::chrono::seconds(10);
  Duration length = std::chrono::seconds(30);  // after the warm-up
  std::size_t entry_hosts = 6;
  // Parts of the offered requests by customer; one customer without a limit if empty.
  std::vector<double> customer_weights;
  double customer_rate = 0.0;           // of each customer, over all hosts
  std::uint32_t concurrency_limit = 0;  // of each host; 0: none
  double deadline_s = 0.0;              // 0: none
};

struct CustomerResult {
  std::size_t offered = 0;
  std::size_t good = 0;  // completed before the deadline
};

struct SimulationResult {
  double completed_per_s = 0.0;
  double good_per_s = 0.0;
  double first_token_p95_s = 0.0;
  double first_token_p99_s = 0.0;
  double between_tokens_p95_s = 0.0;
  double between_tokens_p99_s = 0.0;
  std::size_t refused = 0;
  std::vector<CustomerResult> customers;
};

// Drives the real Router and Limiter in virtual time over a small model of the engines: each engine
// is a FIFO server, one pass of a stage takes its layers over the engine's speed, and a hop takes
// the transfer over its link. Engines report the sequences assigned to them four times a second;
// every entry host hears each report after a lag.
SimulationResult Simulate(const std::vector<PlacementEngine>& engines,
                          const PlacementRanges& ranges, const PlacementModel& model,
                          const SimulationOptions& options);

}  // namespace corneltray::bench

#endif  // CORNELTRAY_BENCH_PIPELINE_SIMULATION_H_
