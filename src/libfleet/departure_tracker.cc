#include "corneltray/departure_tracker.h"

#include <iterator>
#include <utility>

namespace corneltray {

DepartureTracker::Key DepartureTracker::KeyOf(const UpstreamUpdate& departure) {
  const Announcement& upstream = departure.announcement;
  return {upstream.name, upstream.incarnation, departure.has_left};
}

void DepartureTracker::Forget(TimePoint now) {
  for (auto entry = m_departures.begin(); entry != m_departures.end();) {
    const auto& forget_at = entry->second.forget_at;
    entry = forget_at && now >= *forget_at ? m_departures.erase(entry) : std::next(entry);
  }
}

bool DepartureTracker::Begin(TimePoint now, const UpstreamUpdate& departure, const Done& done) {
  Forget(now);
  const auto [entry, is_new] = m_departures.try_emplace(KeyOf(departure));
  if (entry->second.forget_at) {
    done();
    return false;
  }
  entry->second.waiting.push_back(done);
  return is_new;
}

void DepartureTracker::End(TimePoint now, const UpstreamUpdate& departure, bool all_acknowledged) {
  const auto entry = m_departures.find(KeyOf(departure));
  if (entry == m_departures.end()) return;
  const std::vector<Done> waiting = std::exchange(entry->second.waiting, {});
  if (all_acknowledged) {
    entry->second.forget_at = now + kDepartureMemory;
  } else {
    m_departures.erase(entry);
  }
  for (const Done& done : waiting) done();
}

}  // namespace corneltray
