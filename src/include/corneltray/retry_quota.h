#ifndef CORNELTRAY_RETRY_QUOTA_H_
#define CORNELTRAY_RETRY_QUOTA_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "corneltray/retry.h"
#include "corneltray/time.h"

namespace corneltray {

// What all entry hosts together may send within the window of the retry budget.
struct RetryLimit {
  double ratio = 0.0;      // retries for each request
  double allowance = 0.0;  // retries beside the ratio
};

// Retries that one host may send of one service in any window.
struct RetryQuota {
  double retries = 0.0;
  double refused = 0.0;  // bounds those for RetryPurpose::kRefused
};

using RetryQuotas = std::map<std::string, RetryQuota>;  // by service

// What a host has counted of one service in the window, and the quota that it holds.
struct RetryUse {
  std::uint32_t requests = 0;
  std::uint32_t retries = 0;
  double quota = 0.0;
};

// What one host reports of its retries.
struct RetryReport {
  std::uint64_t incarnation = 0;  // of the process
  std::uint64_t sequence = 0;     // of this report
  std::uint64_t applied = 0;      // of the report whose grant it applied last; 0: none
  RetryLimit limit;
  std::map<std::string, RetryUse> services;
};

// The quotas that the leader of the control hosts returns for a report.
struct RetryGrant {
  std::uint64_t sequence = 0;  // of the report
  RetryQuotas quotas;
};

// Part of the limit that the leader hands out as quotas.
constexpr double kRetryQuotaShare = 0.75;
// Part of the limit that hosts may use without a quota, so that one that has just started, or that
// hears of no leader, can still retry a little. The rest covers requests that hosts count otherwise
// than their callers.
constexpr double kRetryFloorShare = 0.15;
// A host without a new grant keeps its quota for this time.
constexpr std::chrono::seconds kRetryQuotaLifetime{15};
// Retries are counted for longer than the window by this time, because those of one moment reach
// upstreams at different times.
constexpr std::chrono::milliseconds kRetryArrivalSpread{500};

// Number of entry hosts that share a limit, as a host is told it. A control process that has just
// become leader knows few of them, so the number falls slowly. Not thread safe.
class SharingHosts {
 public:
  void Update(std::uint32_t told);
  // 0: not known.
  std::uint32_t Count() const { return m_count; }

 private:
  std::uint32_t m_count = 0;
};

// Counts events of the last `window`, or up to `kSlot` more. Not thread safe.
class SlidingCount {
 public:
  static constexpr std::chrono::milliseconds kSlot{250};

  explicit SlidingCount(Duration window);

  void Add(TimePoint now);
  std::uint32_t Count(TimePoint now) const;

 private:
  struct Slot {
    TimePoint ends_at{};
    std::uint32_t events = 0;
  };

  Duration m_window;
  mutable std::deque<Slot> m_slots;
  mutable std::uint32_t m_count = 0;
};

// Bounds the retries of one service on one host to the quota of the host. Not thread safe.
class SharedRetryBudget {
 public:
  SharedRetryBudget(const RetryLimit& limit, Duration window);

  // Counts a first attempt.
  void RecordRequest(TimePoint now);

  // Returns whether a retry may be sent now, and counts it if so. `boot_now` also counts the time
  // for which the machine was suspended.
  bool TryRetry(TimePoint now, TimePoint boot_now, RetryPurpose purpose);

  // Sets the number of entry hosts that share the limit; 0: not known.
  void SetHosts(std::uint32_t hosts) { m_hosts = hosts; }
  void SetQuota(TimePoint boot_now, const RetryQuota& quota);

  RetryUse Use(TimePoint now, TimePoint boot_now) const;

 private:
  double Floor(TimePoint now) const;

  RetryLimit m_limit;
  SlidingCount m_requests;
  SlidingCount m_retries;
  std::uint32_t m_hosts = 0;
  RetryQuota m_quota;
  TimePoint m_quota_expires_at{};
};

}  // namespace corneltray

#endif  // CORNELTRAY_RETRY_QUOTA_H_
