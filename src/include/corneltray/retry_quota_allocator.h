#ifndef CORNELTRAY_RETRY_QUOTA_ALLOCATOR_H_
#define CORNELTRAY_RETRY_QUOTA_ALLOCATOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "corneltray/retry_quota.h"
#include "corneltray/time.h"

namespace corneltray {

// Divides the retries that all entry hosts may send among them. Runs on the leader of the control
// hosts, which alone grants quotas, so that their sum stays within the limit whenever hosts use
// them. A host is charged with the largest quota that it may hold: one is lowered in the sum only
// after the host has confirmed it, and that of a host that is not heard any more stays in the sum
// until its retries have left the window. Not thread safe.
class RetryQuotaAllocator {
 public:
  // A new leader does not know what its predecessor granted. It first collects reports and raises
  // no quota, and leaves room for those of `expected_hosts` that it has not heard of.
  RetryQuotaAllocator(TimePoint now, std::uint32_t expected_hosts);

  // Returns the quotas of a host, or nothing for a report that is older than the last one.
  std::optional<RetryGrant> Allocate(TimePoint now, const std::string& host,
                                     const RetryReport& report);

  // Time for which a new leader collects reports. Each host sends one within it.
  static constexpr std::chrono::seconds kCollectTime{4};

 private:
  // A quota that the host may hold although it has not confirmed it.
  struct PendingQuota {
    std::uint64_t sequence = 0;
    double retries = 0.0;
  };
  // What one process counts for in the sums of a service.
  struct Charge {
    double requests = 0.0;
    double used = 0.0;
    double reserved = 0.0;
    std::deque<PendingQuota> pending;
  };
  struct Process {
    std::string host;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    TimePoint expires_at{};
    std::map<std::string, Charge> services;
  };
  struct Total {
    double requests = 0.0;
    double used = 0.0;
    double reserved = 0.0;
  };

  // Counts the oldest quota as part of the next one.
  static void MergeOldest(std::deque<PendingQuota>* pending);
  void Expire(TimePoint now);
  // Charges a process that was replaced by a new one of its host until its retries have left the
  // window.
  void Replace(TimePoint now, Process process);
  void Add(const Process& process);
  void Remove(const Process& process);
  // Part of the limit that the hosts that have reported may use.
  double KnownShare(TimePoint now) const;
  RetryQuota Grant(TimePoint now, const RetryReport& report, const RetryUse& use,
                   const Total& others) const;

  TimePoint m_collects_until{};
  TimePoint m_waits_for_hosts_until{};
  std::uint32_t m_expected_hosts;
  TimePoint m_next_expiry{};
  std::map<std::string, Process> m_processes;  // by host
  std::vector<Process> m_replaced;
  std::map<std::string, Total> m_totals;  // by service
};

}  // namespace corneltray

#endif  // CORNELTRAY_RETRY_QUOTA_ALLOCATOR_H_
