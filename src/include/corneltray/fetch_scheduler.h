#ifndef CORNELTRAY_FETCH_SCHEDULER_H_
#define CORNELTRAY_FETCH_SCHEDULER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corneltray/control_host_selector.h"
#include "corneltray/time.h"

namespace corneltray {

// Interval of confirmed fetches, short enough that the lease on customer keys survives some lost
// replies.
constexpr std::chrono::milliseconds kConfirmInterval{600};
// A fetch without a reply after this time is also sent to the next control process.
constexpr std::chrono::milliseconds kFetchHedgeDelay{400};
// Share of fetches that may be sent to a second control process, and how many of these a host may
// save up. When all control processes are slow, second fetches double their load.
constexpr double kFetchHedgeShare = 0.1;
constexpr double kMaxFetchHedges = 3.0;
// Pause after a failed fetch.
constexpr std::chrono::milliseconds kFetchRetryDelay{150};
// Pause before a control process is asked again that has failed a fetch lately, doubled with each
// failure in a row up to the maximum and varied by kFetchRetryJitter. With the timeout of a fetch,
// a host that fails asks less often than one that is answered, so that control processes that have
// fallen behind catch up. A host that knows of a newer version pauses for the minimum only.
constexpr std::chrono::milliseconds kMinFetchBackoff{300};
constexpr std::chrono::milliseconds kMaxFetchBackoff{600};
constexpr double kFetchRetryJitter = 0.25;
// A new version is fetched from another control process if the preferred one has not announced it
// by then.
constexpr std::chrono::milliseconds kAnnouncementWait{100};
// Every control process announces a new version to every host. If a hundred hosts fetched it from
// all of them at once, no reply would arrive before its deadline.
constexpr std::size_t kMaxConcurrentFetches = 2;

// Decides when one entry host fetches the route table and from which control process. Each host
// prefers its source, which shows whether that is cut off, and until it has one a control process
// of its availability zone, chosen by a hash, so that the hosts are spread over all of them. Not
// thread safe.
class FetchScheduler {
 public:
  // `host` is the name of the entry host.
  explicit FetchScheduler(const std::string& host) : m_host(host), m_ranking(host) {}

  // A control process reports that a route table of this version is committed.
  void OnVersionCommitted(TimePoint now, const std::string& control_host, std::uint64_t version);

  // Returns the control process to fetch from now, if a fetch is due, and records the fetch as in
  // progress. `candidates` are the linked control processes; `held` is the version of this host.
  std::optional<std::string> NextFetch(TimePoint now, std::vector<ControlCandidate> candidates,
                                       std::uint64_t held);
  // The next fetch does not wait for the interval, because the host has something to tell or to
  // ask.
  void Expedite() { m_is_expedited = true; }
  // Returns the control process that answers best at present. `candidates` must not be empty.
  std::string Preferred(TimePoint now, std::vector<ControlCandidate> candidates) const;
  // A fetch was answered; `is_confirmed` tells whether the answer renews the lease on keys.
  void OnAnswered(const std::string& control_host, bool is_confirmed);
  void OnFailed(TimePoint now, const std::string& control_host);

 private:
  std::optional<std::string> NextHedge(TimePoint now, const std::vector<std::string>& order);
  std::optional<std::string> AnnouncerOf(TimePoint now,
                                         const std::vector<std::string>& order) const;
  std::string Begin(TimePoint now, const std::string& control_host);
  // Returns the pause before a control process that failed is asked again.
  Duration Backoff() const;

  struct Fetch {
    TimePoint started_at;
    std::uint64_t announced = 0;  // version that the control process had announced by then
  };

  std::string m_host;
  ControlHostSelector m_ranking;
  std::map<std::string, Fetch> m_in_progress;  // by control process
  TimePoint m_last_begin{};
  TimePoint m_next_confirm{};
  bool m_is_expedited = false;
  TimePoint m_not_before{};           // no new fetch before this time, after a failure
  TimePoint m_retry_not_before{};     // nor from a control process that has failed lately
  TimePoint m_failed_at{};            // the last fetch that failed
  std::uint32_t m_failures = 0;       // in a row
  double m_hedges = kMaxFetchHedges;  // that may still be sent
  std::uint64_t m_newest = 0;         // version that was announced
  TimePoint m_newest_announced_at{};
  std::set<std::string> m_announcers;  // of the newest version
};

}  // namespace corneltray

#endif  // CORNELTRAY_FETCH_SCHEDULER_H_
