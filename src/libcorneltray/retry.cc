#include "corneltray/retry.h"

#include <algorithm>

namespace corneltray {

RetryBudget::RetryBudget(double ratio, double min_per_s) : m_ratio(ratio), m_min_per_s(min_per_s) {}

void RetryBudget::Configure(double ratio, double min_per_s) {
  m_ratio = ratio;
  m_min_per_s = min_per_s;
}

void RetryBudget::SetWindowAllowance(double retries, double refused) {
  m_window_allowance = retries;
  m_refused_allowance = refused;
}

RetryCounts RetryBudget::Counts(TimePoint now) const {
  const std::int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
  RetryCounts counts;
  for (const Second& slot : m_seconds) {
    if (slot.second < 0 || slot.second <= second - kWindowSeconds) continue;
    counts.requests += slot.requests;
    counts.retries += slot.retries;
  }
  return counts;
}

double ShareOfRetries(double allowed, const RetryCounts& used_by_all, double used_here) {
  // Several hosts may take their part before they hear of each other.
  constexpr double kEqualShares = 1.5;
  constexpr double kMostOfRest = 0.12;
  const double rest = std::max(0.0, allowed - std::max<double>(used_by_all.retries, used_here));
  const double hosts = std::max<double>(used_by_all.hosts, 1.0);
  return used_here + std::min(kMostOfRest, kEqualShares / hosts) * rest;
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

bool RetryBudget::TryRetry(TimePoint now, RetryPurpose purpose) {
  Second* current = SecondOf(now);
  const RetryCounts counts = Counts(now);
  const double allowance =
      purpose == RetryPurpose::kRefused ? m_refused_allowance : m_window_allowance;
  const double allowed = m_ratio * counts.requests + allowance;
  const bool within_window = counts.retries + 1.0 <= allowed;
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
