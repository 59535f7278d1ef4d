#include "corneltray/upstream_backoff.h"

#include <algorithm>
#include <iterator>

namespace corneltray {

bool UpstreamBackoff::MarkLeaving(const std::string& upstream, std::uint64_t incarnation) {
  const auto known = m_entries.find(upstream);
  const bool is_known = known != m_entries.end() && known->second.incarnation == incarnation &&
                        known->second.end == TimePoint::max();
  if (is_known) return false;
  m_entries[upstream] = {incarnation, TimePoint::max()};
  return true;
}

void UpstreamBackoff::Pause(const std::string& upstream, std::uint64_t incarnation, TimePoint end) {
  Entry& entry = m_entries[upstream];
  if (entry.incarnation != incarnation) entry = {incarnation, TimePoint{}};
  entry.end = std::max(entry.end, end);
}

TimePoint UpstreamBackoff::EndFor(const Announcement& upstream) const {
  const auto entry = m_entries.find(upstream.name);
  if (entry == m_entries.end() || entry->second.incarnation != upstream.incarnation) return {};
  return entry->second.end;
}

void UpstreamBackoff::AddBlocked(TimePoint now, const UpstreamTable& upstreams,
                                 std::set<std::string>* addresses) const {
  for (const auto& [name, entry] : m_entries) {
    const UpstreamTableEntry* record = upstreams.Find(name);
    if (record == nullptr || EndFor(record->announcement) <= now) continue;
    addresses->insert(record->announcement.address);
  }
}

std::optional<TimePoint> UpstreamBackoff::EndOfPause(TimePoint now, const UpstreamTable& upstreams,
                                                     const std::string& service) const {
  if (m_entries.empty()) return std::nullopt;
  TimePoint first = TimePoint::max();
  for (const auto& [name, record] : upstreams.Records()) {
    if (record.announcement.service != service || !record.IsReady()) continue;
    const TimePoint end = EndFor(record.announcement);
    if (end <= now) return std::nullopt;
    first = std::min(first, end);
  }
  if (first == TimePoint::max()) return std::nullopt;
  return first;
}

void UpstreamBackoff::RemoveObsolete(const UpstreamTable& upstreams) {
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    const UpstreamTableEntry* record = upstreams.Find(entry->first);
    const bool is_current =
        record != nullptr && record->announcement.incarnation == entry->second.incarnation;
    entry = is_current ? std::next(entry) : m_entries.erase(entry);
  }
}

}  // namespace corneltray
