#include "corneltray/retry.h"

#include <algorithm>

namespace corneltray {

RetryBudget::RetryBudget(double ratio, double min_per_s) : m_ratio(ratio), m_min_per_s(min_per_s) {}

void RetryBudget::Configure(double ratio, double min_per_s) {
  m_ratio = ratio;
  m_min_per_s = min_per_s;
}

double ShareOfRequests(const RetryCounts& fleet, const RetryCounts& own) {
  const double hosts = std::max<double>(fleet.hosts, 1.0);
  // The counts of this host may be newer than those of all hosts.
  const double requests = std::max<double>(fleet.requests, own.requests);
  return (own.requests + 1.0) / (requests + hosts);
}

RetryBudget::Second* RetryBudget::SecondOf(TimePoint now) {
  const std::int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
  Second& slot = m_seconds[static_cast<std::size_t>(second % kWindowSeconds)];
  if (slot.second != second) slot = {second, 0, 0};
  return &slot;
}

void RetryBudget::RecordRequest(TimePoint now) { ++SecondOf(now)->requests; }

bool RetryBudget::TryRetry(TimePoint now) {
  Second* current = SecondOf(now);
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
  for (const Second& slot : m_seconds) {
    if (slot.second < 0 || slot.second <= current->second - kWindowSeconds) continue;
    requests += slot.requests;
    retries += slot.retries;
  }
  const bool within_window = retries + 1.0 <= m_ratio * requests;
  const bool within_minimum = current->retries + 1.0 <= m_min_per_s;
  if (!within_window && !within_minimum) return false;
  ++current->retries;
  return true;
}

void HedgePolicy::RecordLatency(Duration latency) {
  m_samples[m_count % kSamples] = latency;
  ++m_count;
}

std::optional<Duration> HedgePolicy::HedgeAfter() const {
  const std::size_t known = std::min(m_count, kSamples);
  if (known < kMinSamples) return std::nullopt;
  auto samples = m_samples;
  const auto p95 = samples.begin() + static_cast<std::ptrdiff_t>(known * 95 / 100);
  std::nth_element(samples.begin(), p95, samples.begin() + static_cast<std::ptrdiff_t>(known));
  return *p95;
}

}  // namespace corneltray
