#ifndef CORNELTRAY_RETRY_H_
#define CORNELTRAY_RETRY_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

#include "corneltray/time.h"

namespace corneltray {

// Bounds retries and hedges to a share of the recent requests, so that a failing group of upstreams
// is not flooded with repeats. Not thread safe.
class RetryBudget {
 public:
  // `ratio` of the requests of the last 10 s may be retries, and `min_per_s` always.
  RetryBudget(double ratio, double min_per_s);

  void Configure(double ratio, double min_per_s);

  // Counts a first attempt.
  void RecordRequest(TimePoint now);

  // Returns whether a retry or hedge may be sent now, and counts it if so.
  bool TryRetry(TimePoint now);

 private:
  static constexpr std::int64_t kWindowSeconds = 10;
  struct Second {
    std::int64_t second = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  Second* SecondOf(TimePoint now);

  double m_ratio;
  double m_min_per_s;
  std::array<Second, kWindowSeconds> m_seconds;
};

// Says when an idempotent lookup is sent a second time: after the p95 of recent latencies. The
// caller also asks the RetryBudget. Not thread safe.
class HedgePolicy {
 public:
  void RecordLatency(Duration latency);

  // Time after which a hedge may be sent, or nothing while fewer than kMinSamples are known.
  std::optional<Duration> HedgeAfter() const;

  static constexpr std::size_t kMinSamples = 20;

 private:
  static constexpr std::size_t kSamples = 200;
  std::array<Duration, kSamples> m_samples{};
  std::size_t m_count = 0;
};

}  // namespace corneltray

#endif  // CORNELTRAY_RETRY_H_
