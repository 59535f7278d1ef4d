#ifndef CORNELTRAY_RETRY_H_
#define CORNELTRAY_RETRY_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

#include "corneltray/enum_names.h"
#include "corneltray/time.h"

namespace corneltray {

// What one host, or all hosts together, sent in the window of the retry budget.
struct RetryCounts {
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
  std::uint32_t hosts = 0;  // that were counted together; 0: not told
};

// What a retry is for.
enum class RetryPurpose {
  kFinish,   // a request that may have run, or an answer that the caller has in part
  kRefused,  // a request that no upstream has run; its caller can be told to come back
};

template <>
struct EnumNames<RetryPurpose> {
  static constexpr EnumName<RetryPurpose> kTable[] = {
      {RetryPurpose::kFinish, "finish"},
      {RetryPurpose::kRefused, "refused"},
  };
};

// Part of the retries that may be used for kRefused. The rest is kept for answers in progress: on a
// fleet that is full, second attempts of refused requests would otherwise use up what the answers
// of a crashed upstream need to go on.
constexpr double kRefusedShare = 0.4;

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

  static constexpr std::chrono::seconds kWindow{10};

 private:
  static constexpr std::int64_t kWindowSeconds = kWindow.count();
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

// Part of the requests of all hosts that arrive at one host, from the counts of the same window.
// Each host counts as if one more request had arrived at it, so that a host that has just started
// gets a share before its first request.
double ShareOfRequests(const RetryCounts& fleet, const RetryCounts& own);

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
