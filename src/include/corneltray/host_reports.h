#ifndef CORNELTRAY_HOST_REPORTS_H_
#define CORNELTRAY_HOST_REPORTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "corneltray/forward_report.h"
#include "corneltray/rate_limit_report.h"
#include "corneltray/result.h"
#include "corneltray/retry.h"
#include "corneltray/retry_quota_allocator.h"
#include "corneltray/server_pace.h"
#include "corneltray/time.h"

namespace corneltray {

// Shortest interval between two batches of reports. The next one also waits for the answer to the
// last one, so that a busy leader gets fewer.
constexpr std::chrono::milliseconds kReportInterval{100};
// Pause after a batch that the leader has not answered, doubled with each up to the maximum.
constexpr std::chrono::milliseconds kReportRetryDelay{400};
constexpr std::chrono::milliseconds kMaxReportRetryDelay{1600};
// Paced servers in one batch, over all hosts. Bounds the batch to some 100 KB, whatever the time
// since the last one; a batch always holds the reports of at least one host.
constexpr std::size_t kMaxPacedServersPerBatch = 1500;
constexpr std::size_t kMaxHostsPerBatch = 64;
// The sums over all hosts are made once in this time, for all that read them.
constexpr std::chrono::milliseconds kSumInterval{300};

// What entry hosts report about themselves, at one control process: retries, the pace of servers,
// limits of requests, and whether they help others. The leader of the log gets the reports of all
// hosts from the other control processes, in batches at their own pace, and answers each with the
// sums over all hosts. A batch may be lost, since hosts report again. Not thread safe.
class HostReports {
 public:
  // Tells whether this control process leads the log, and that the leader may have changed: another
  // one may have granted quotas since.
  void OnLeaderChanged(TimePoint now, bool is_leader);

  // Stores the reports in the fetch of an entry host.
  void StoreFetch(TimePoint now, const nlohmann::json& fetch);
  // Adds the sums over all hosts to the reply to a fetch.
  void AddSums(TimePoint now, nlohmann::json* reply);
  // The latest quotas of an entry host, encoded; null if it has none.
  nlohmann::json RetryGrantOf(const std::string& host) const;
  // Returns entry hosts that serve requests of others: at the leader as they reported, elsewhere
  // what the leader told last.
  std::vector<ForwardHost> ListForwardHosts(TimePoint now, const std::string& asking,
                                            std::size_t max_hosts) const;
  // Stores what the leader told of such hosts.
  void StoreForwardHosts(TimePoint now, const nlohmann::json& hosts);

  // Returns the next batch for the leader if one is due. The caller reports the answer to it with
  // StoreAnswer or OnBatchFailed.
  std::optional<nlohmann::json> TakeBatch(TimePoint now);
  // The leader answered a batch.
  void StoreAnswer(TimePoint now, const nlohmann::json& answer);
  void OnBatchFailed(TimePoint now);
  // Stores a batch of another control process, at the leader, and returns the answer to it. The
  // answer holds the sums only if the batch does not say that its sender has them.
  nlohmann::json AnswerBatch(TimePoint now, const nlohmann::json& batch);

  // Counters for the log.
  std::uint64_t ReportsStored() const { return m_reports_stored; }
  std::uint64_t SumsMade() const { return m_sums_made; }
  Duration SumTime() const { return m_sum_time; }

 private:
  // The counts that an entry host reported last.
  struct CountReport {
    TimePoint expires_at{};
    std::map<std::string, RetryCounts> by_service;
    ServerPaceCounts by_server;
  };
  struct Sums {
    std::map<std::string, RetryCounts> retries;
    FleetPace pace;
    nlohmann::json encoded_retries;
    nlohmann::json encoded_pace;
    std::uint64_t number = 0;  // changes when they are made anew
    TimePoint expires_at{};
  };

  void StoreCounts(TimePoint now, const std::string& host, const nlohmann::json& retries,
                   const nlohmann::json& pace);
  void StoreRetryReport(TimePoint now, const std::string& host, const nlohmann::json& body);
  void StoreRateLimits(TimePoint now, const nlohmann::json& body);
  void StoreForwardReport(TimePoint now, const std::string& host, const nlohmann::json& body);
  Sums MakeSums(TimePoint now);
  // Returns the sums: at the leader of the reports that it holds, elsewhere what the leader told.
  const Sums& CurrentSums(TimePoint now);
  RateLimitReports FleetRateLimits(TimePoint now) const;
  std::uint32_t KnownEntryHosts() const;
  // Moves unsent reports of hosts to a batch, up to its limits.
  void MoveUnsent(nlohmann::json* batch);

  bool m_is_leader = false;
  std::map<std::string, CountReport> m_counts;  // by entry host; of all hosts at the leader
  Sums m_sums;
  std::uint32_t m_expected_hosts = 0;                    // that the former leader told
  std::optional<RetryQuotaAllocator> m_retry_quotas;     // only at the leader
  std::map<std::string, nlohmann::json> m_retry_grants;  // the latest of each entry host
  RateLimitReports m_rate_limits;                        // from entry hosts and other members
  RateLimitReports m_leader_rate_limits;                 // of all hosts, from the leader
  ForwardHostTable m_forward_hosts;                      // from entry hosts and other members
  ForwardHostTable m_leader_forward_hosts;               // that serve, from the leader

  // What the leader has not been sent yet, by entry host where there is a choice.
  struct UnsentReport {
    nlohmann::json retries;
    nlohmann::json pace;
    nlohmann::json quota;
    nlohmann::json forward;
  };
  std::map<std::string, UnsentReport> m_unsent;
  std::string m_last_sent_host;  // the next batch begins behind it, so that all hosts get a turn
  RateLimitReports m_unsent_rate_limits;
  bool m_batch_in_progress = false;
  TimePoint m_next_batch_at{};
  std::uint32_t m_unanswered_batches = 0;  // in a row

  std::uint64_t m_reports_stored = 0;
  std::uint64_t m_sums_made = 0;
  Duration m_sum_time{0};
};

}  // namespace corneltray

#endif  // CORNELTRAY_HOST_REPORTS_H_
