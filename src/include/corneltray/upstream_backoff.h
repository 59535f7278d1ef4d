#ifndef CORNELTRAY_UPSTREAM_BACKOFF_H_
#define CORNELTRAY_UPSTREAM_BACKOFF_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "corneltray/time.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// Upstreams that asked this host, in their responses, to send them no requests: for some time, or
// no more in their current incarnation. Unlike the UpstreamTable, this is not exchanged between
// processes. Not thread safe.
class UpstreamBackoff {
 public:
  // The upstream is shutting down: it gets no more requests in this incarnation. Returns false if
  // that was known.
  bool MarkLeaving(const std::string& upstream, std::uint64_t incarnation);

  // The upstream wants no requests before `end`. An end that it named earlier holds as well.
  void Pause(const std::string& upstream, std::uint64_t incarnation, TimePoint end);

  // Adds the addresses of the upstreams that must not get a request now.
  void AddBlocked(TimePoint now, const UpstreamTable& upstreams,
                  std::set<std::string>* addresses) const;

  // If all upstreams of a service that are ready must not get a request now, returns when the first
  // of them takes requests again. Returns nullopt if there is none or if one may get a request.
  std::optional<TimePoint> EndOfPause(TimePoint now, const UpstreamTable& upstreams,
                                      const std::string& service) const;

  // Removes the entries of upstreams that have left the table or have started again.
  void RemoveObsolete(const UpstreamTable& upstreams);

 private:
  struct Entry {
    std::uint64_t incarnation = 0;
    TimePoint end{};  // TimePoint::max(): it is leaving
  };

  // Returns until when an upstream must not get a request; a time in the past if it may.
  TimePoint EndFor(const Announcement& upstream) const;

  std::map<std::string, Entry> m_entries;  // by upstream name
};

}  // namespace corneltray

#endif  // CORNELTRAY_UPSTREAM_BACKOFF_H_
