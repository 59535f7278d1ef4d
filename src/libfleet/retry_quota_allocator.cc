#include "corneltray/retry_quota_allocator.h"

#include <algorithm>
#include <utility>

namespace corneltray {
namespace {

// A report and its grant take this long at most.
constexpr std::chrono::milliseconds kGrantDelay{1000};
// The retries of a process have left the window of every host this long after its last report, if
// it ended then.
constexpr Duration kWindowEnd = RetryBudget::kWindow + kRetryArrivalSpread + kGrantDelay;
// The same for a process that goes on with its quota until that lapses.
constexpr Duration kSilentWindowEnd = kWindowEnd + kRetryQuotaLifetime;
constexpr std::chrono::milliseconds kExpiryInterval{250};
// What is left is divided by what the hosts use, because failures often concern the hosts of one
// zone. Each host counts as if it had used this part of an equal share of the limit besides.
constexpr double kAssumedUse = 0.5;
// A host may send one retry while any are left, also if its part is smaller.
constexpr double kLeastHeadroom = 1.0;
// Quotas that are kept one by one while a host confirms none.
constexpr std::size_t kMaxPending = 8;

}  // namespace

RetryQuotaAllocator::RetryQuotaAllocator(TimePoint now, std::uint32_t expected_hosts)
    : m_collects_until(now + kCollectTime),
      m_waits_for_hosts_until(now + kSilentWindowEnd),
      m_expected_hosts(expected_hosts) {}

std::optional<RetryGrant> RetryQuotaAllocator::Allocate(TimePoint now, const std::string& host,
                                                        const RetryReport& report) {
  Expire(now);
  Process process;
  if (const auto known = m_processes.find(host); known != m_processes.end()) {
    const bool is_same = known->second.incarnation == report.incarnation;
    if (is_same && report.sequence <= known->second.sequence) return std::nullopt;
    Remove(known->second);
    if (is_same) {
      process = std::move(known->second);
    } else {
      Replace(now, std::move(known->second));
    }
    m_processes.erase(known);
  }
  process.host = host;
  process.incarnation = report.incarnation;
  process.sequence = report.sequence;
  process.expires_at = now + kSilentWindowEnd;
  // Entered before the grants, so that the host counts among those that share the limit.
  Process& entry = m_processes[host] = std::move(process);
  RetryGrant grant{report.sequence, {}};
  for (const auto& [service, use] : report.services) {
    Charge& charge = entry.services[service];
    const RetryQuota quota = Grant(now, report, use, m_totals[service]);
    grant.quotas[service] = quota;
    while (!charge.pending.empty() && charge.pending.front().sequence <= report.applied) {
      charge.pending.pop_front();
    }
    charge.pending.push_back({report.sequence, quota.retries});
    if (charge.pending.size() > kMaxPending) MergeOldest(&charge.pending);
    charge.requests = use.requests;
    charge.used = use.retries;
    charge.reserved = std::max<double>(use.retries, use.quota);
    for (const PendingQuota& pending : charge.pending) {
      charge.reserved = std::max(charge.reserved, pending.retries);
    }
  }
  Add(entry);
  return grant;
}

void RetryQuotaAllocator::MergeOldest(std::deque<PendingQuota>* pending) {
  const double oldest = pending->front().retries;
  pending->pop_front();
  pending->front().retries = std::max(pending->front().retries, oldest);
}

RetryQuota RetryQuotaAllocator::Grant(TimePoint now, const RetryReport& report, const RetryUse& use,
                                      const Total& others) const {
  const double requests = others.requests + use.requests;
  const double limit =
      kRetryQuotaShare * KnownShare(now) * (report.limit.ratio * requests + report.limit.allowance);
  const double used_by_all = others.used + use.retries;
  const double rest = std::max(0.0, limit - used_by_all);
  const double hosts = static_cast<double>(m_processes.size());
  const double assumed = kAssumedUse * limit / hosts;
  const double weights = used_by_all + hosts * assumed;
  const double part = weights > 0.0 ? (use.retries + assumed) / weights : 0.0;
  const double headroom = std::max(part * rest, std::min(kLeastHeadroom, rest));
  const double free = std::max(0.0, limit - others.reserved);
  RetryQuota quota;
  quota.retries = std::min(use.retries + headroom, free);
  if (now < m_collects_until) quota.retries = std::min(quota.retries, use.quota);
  const double refused_rest = std::max(0.0, kRefusedShare * limit - used_by_all);
  const double granted = std::max(0.0, quota.retries - use.retries);
  quota.refused = use.retries + (rest > 0.0 ? granted * refused_rest / rest : 0.0);
  return quota;
}

double RetryQuotaAllocator::KnownShare(TimePoint now) const {
  if (now >= m_waits_for_hosts_until || m_expected_hosts <= m_processes.size()) return 1.0;
  return static_cast<double>(m_processes.size()) / m_expected_hosts;
}

void RetryQuotaAllocator::Replace(TimePoint now, Process process) {
  for (auto& [service, charge] : process.services) charge.used = charge.reserved;
  const TimePoint ended_by = process.expires_at - kSilentWindowEnd + kWindowEnd;
  process.expires_at = std::max(now, ended_by);
  Add(process);
  m_replaced.push_back(std::move(process));
}

void RetryQuotaAllocator::Expire(TimePoint now) {
  if (now < m_next_expiry) return;
  m_next_expiry = now + kExpiryInterval;
  for (auto entry = m_processes.begin(); entry != m_processes.end();) {
    if (now < entry->second.expires_at) {
      ++entry;
      continue;
    }
    Remove(entry->second);
    entry = m_processes.erase(entry);
  }
  const auto is_over = [&](const Process& process) {
    if (now < process.expires_at) return false;
    Remove(process);
    return true;
  };
  m_replaced.erase(std::remove_if(m_replaced.begin(), m_replaced.end(), is_over), m_replaced.end());
}

void RetryQuotaAllocator::Add(const Process& process) {
  for (const auto& [service, charge] : process.services) {
    Total& total = m_totals[service];
    total.requests += charge.requests;
    total.used += charge.used;
    total.reserved += charge.reserved;
  }
}

void RetryQuotaAllocator::Remove(const Process& process) {
  for (const auto& [service, charge] : process.services) {
    Total& total = m_totals[service];
    total.requests -= charge.requests;
    total.used -= charge.used;
    total.reserved -= charge.reserved;
  }
}

}  // namespace corneltray
