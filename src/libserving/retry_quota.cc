#include "corneltray/retry_quota.h"

#include <algorithm>

namespace corneltray {
namespace {

// Entry hosts that a host assumes to share the limit until it is told their number.
constexpr double kAssumedHosts = 50.0;
// Smallest factor by which one report changes the number of hosts.
constexpr double kHostDecay = 0.9;

}  // namespace

void SharingHosts::Update(std::uint32_t told) {
  m_count = std::max(told, static_cast<std::uint32_t>(kHostDecay * m_count));
}

SlidingCount::SlidingCount(Duration window) : m_window(window) {}

void SlidingCount::Add(TimePoint now) {
  if (m_slots.empty() || now >= m_slots.back().ends_at) m_slots.push_back({now + kSlot, 0});
  ++m_slots.back().events;
  ++m_count;
}

std::uint32_t SlidingCount::Count(TimePoint now) const {
  while (!m_slots.empty() && now >= m_slots.front().ends_at + m_window) {
    m_count -= m_slots.front().events;
    m_slots.pop_front();
  }
  return m_count;
}

SharedRetryBudget::SharedRetryBudget(const RetryLimit& limit, Duration window)
    : m_limit(limit), m_requests(window), m_retries(window + kRetryArrivalSpread) {}

void SharedRetryBudget::RecordRequest(TimePoint now) { m_requests.Add(now); }

bool SharedRetryBudget::TryRetry(TimePoint now, TimePoint boot_now, RetryPurpose purpose) {
  double allowed = Floor(now);
  if (boot_now < m_quota_expires_at) {
    const bool is_refused = purpose == RetryPurpose::kRefused;
    allowed = std::max(allowed, is_refused ? m_quota.refused : m_quota.retries);
  }
  if (m_retries.Count(now) + 1.0 > allowed) return false;
  m_retries.Add(now);
  return true;
}

void SharedRetryBudget::SetQuota(TimePoint boot_now, const RetryQuota& quota) {
  m_quota = quota;
  m_quota_expires_at = boot_now + kRetryQuotaLifetime;
}

RetryUse SharedRetryBudget::Use(TimePoint now, TimePoint boot_now) const {
  const double quota = boot_now < m_quota_expires_at ? m_quota.retries : 0.0;
  return {m_requests.Count(now), m_retries.Count(now), quota};
}

double SharedRetryBudget::Floor(TimePoint now) const {
  const double hosts = m_hosts == 0 ? kAssumedHosts : m_hosts;
  return kRetryFloorShare * (m_limit.ratio * m_requests.Count(now) + m_limit.allowance / hosts);
}

}  // namespace corneltray
