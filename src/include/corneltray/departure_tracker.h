#ifndef CORNELTRAY_DEPARTURE_TRACKER_H_
#define CORNELTRAY_DEPARTURE_TRACKER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "corneltray/time.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// How long a departure that all receivers have acknowledged is remembered. Upstreams repeat it for
// some seconds at most.
constexpr std::chrono::seconds kDepartureMemory{30};

// Departures of upstreams that one control process sends to one kind of receivers. An upstream
// repeats its departure, at several control processes, until one acknowledges it. Each repeat waits
// for the sending that is in progress, so that busy control processes do not send it to all hosts
// once for each repeat. Not thread safe.
class DepartureTracker {
 public:
  using Done = std::function<void()>;

  // Returns whether the departure has to be sent now; End() then calls `done`. If not, `done` is
  // called when the sending in progress ends, or at once if all receivers have the departure.
  bool Begin(TimePoint now, const UpstreamUpdate& departure, const Done& done);
  // The sending has ended: all receivers have acknowledged it, or their deadline has passed. If
  // some have not, the next repeat is sent again.
  void End(TimePoint now, const UpstreamUpdate& departure, bool all_acknowledged);

 private:
  using Key = std::tuple<std::string, std::uint64_t, bool>;  // upstream, incarnation, has left
  struct Entry {
    std::vector<Done> waiting;           // for the sending in progress
    std::optional<TimePoint> forget_at;  // once all have acknowledged it
  };

  static Key KeyOf(const UpstreamUpdate& departure);
  void Forget(TimePoint now);

  std::map<Key, Entry> m_departures;
};

}  // namespace corneltray

#endif  // CORNELTRAY_DEPARTURE_TRACKER_H_
