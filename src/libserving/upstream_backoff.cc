#include "corneltray/upstream_backoff.h"

#include <iterator>

namespace corneltray {

bool UpstreamBackoff::MarkLeaving(const std::string& upstream, std::uint64_t incarnation) {
  const auto known = m_entries.find(upstream);
  if (known != m_entries.end() && known->second.incarnation == incarnation) return false;
  m_entries[upstream] = {incarnation};
  return true;
}

void UpstreamBackoff::AddBlocked(const UpstreamTable& upstreams,
                                 std::set<std::string>* addresses) const {
  for (const auto& [name, entry] : m_entries) {
    const UpstreamTableEntry* record = upstreams.Find(name);
    if (record == nullptr || record->announcement.incarnation != entry.incarnation) continue;
    addresses->insert(record->announcement.address);
  }
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
