#ifndef CORNELTRAY_UPSTREAM_BACKOFF_H_
#define CORNELTRAY_UPSTREAM_BACKOFF_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "corneltray/rate_limit_report.h"
#include "corneltray/time.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// Upstreams that asked this host, in their responses, to send them no requests, or fewer: none for
// some time, no more in their current incarnation, or so many a second from all hosts together.
// Unlike the UpstreamTable, this is not exchanged between processes, but for the ends and changes
// of such limits: a host asks an upstream with a low limit too rarely to hear of them soon. Not
// thread safe.
class UpstreamBackoff {
 public:
  // `seed` must differ between hosts.
  explicit UpstreamBackoff(std::uint64_t seed = 1) : m_random(seed) {}

  // Sets the number of entry hosts, which share the rate of an upstream equally; 0: not known. The
  // time until the next request to an upstream with a limit changes with the interval.
  void SetHosts(TimePoint now, std::uint32_t hosts);
  // The upstream is shutting down: it gets no more requests in this incarnation. Returns false if
  // that was known.
  bool MarkLeaving(const std::string& upstream, std::uint64_t incarnation);

  // The upstream wants no requests before `end`. An end that it named earlier holds as well.
  void Pause(const std::string& upstream, std::uint64_t incarnation, TimePoint end);

  // An upstream answered a request that was sent at `sent_at`. `requests_per_s` is what it takes
  // from all hosts together, or nothing if it names no limit. Returns whether that is new.
  bool SetRateLimit(TimePoint now, const std::string& upstream, std::uint64_t incarnation,
                    TimePoint sent_at, std::optional<double> requests_per_s);

  // What upstreams named last in answers to this host, also that a limit has ended a short time
  // ago.
  RateLimitReports OwnRateLimits(TimePoint now) const;
  // Applies what upstreams named last in answers to other hosts, as far as they have a limit here.
  // Returns the upstreams whose limit has ended or has changed.
  std::vector<std::string> SetFleetRateLimits(TimePoint now, const RateLimitReports& reports);

  // Counts a request to an upstream. One with a limit gets the next one after an interval.
  void RecordRequest(TimePoint now, const std::string& upstream);

  // Adds the addresses of the upstreams that must not get a request now.
  void AddBlocked(TimePoint now, const UpstreamTable& upstreams,
                  std::set<std::string>* addresses) const;

  // If all upstreams of a service that are ready must not get a request now, returns when the first
  // of them takes requests again. Returns nullopt if there is none or if one may get a request.
  std::optional<TimePoint> EndOfPause(TimePoint now, const UpstreamTable& upstreams,
                                      const std::string& service) const;

  // If upstreams of a service must not get a request now for their limit alone, returns when the
  // first of them takes one again.
  std::optional<TimePoint> EndOfInterval(TimePoint now, const UpstreamTable& upstreams,
                                         const std::string& service) const;

  // Removes the entries of upstreams that have left the table or have started again.
  void RemoveObsolete(const UpstreamTable& upstreams);

 private:
  struct RateLimit {
    double requests_per_s = 0.0;  // from all hosts
    TimePoint named_at{};
    TimePoint as_of{};            // when the latest request whose answer named it was sent
    TimePoint next_request_at{};  // of this host
  };
  struct RateLimitEnd {
    TimePoint as_of{};  // when the latest request whose answer named none was sent
    TimePoint report_until{};
  };
  struct Entry {
    std::uint64_t incarnation = 0;
    TimePoint end{};  // TimePoint::max(): it is leaving
    std::optional<RateLimit> limit;
    std::optional<RateLimitEnd> limit_end;
  };

  // The entry of the current incarnation of an upstream, or null.
  const Entry* Find(const Announcement& upstream) const;
  // An upstream named no limit in the answer to a request. Returns whether that ends one.
  bool EndRateLimit(TimePoint now, const std::string& upstream, std::uint64_t incarnation,
                    TimePoint sent_at);
  // Returns the entry of an incarnation, and forgets what others asked for.
  Entry& EntryOf(const std::string& upstream, std::uint64_t incarnation);
  // Returns until when an upstream must not get a request; a time in the past if it may.
  TimePoint EndFor(const Announcement& upstream) const;
  // Time between two requests of this host.
  Duration IntervalOf(double requests_per_s) const;
  // A random part of it, so that hosts that hear of a limit at the same time do not go on at once.
  Duration FirstInterval(double requests_per_s);

  std::mt19937_64 m_random;
  std::uint32_t m_hosts = 0;
  std::map<std::string, Entry> m_entries;  // by upstream name
};

}  // namespace corneltray

#endif  // CORNELTRAY_UPSTREAM_BACKOFF_H_
