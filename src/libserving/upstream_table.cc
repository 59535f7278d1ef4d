#include "corneltray/upstream_table.h"

#include <tuple>

namespace corneltray {
namespace {

bool IsSameHolding(const Holding& a, const Holding& b) {
  return a.key == b.key && a.first_layer == b.first_layer && a.last_layer == b.last_layer &&
         a.state == b.state;
}

// Whether the two announcements are the same for routing and placement.
bool IsEquivalent(const Announcement& a, const Announcement& b) {
  if (a.holdings.size() != b.holdings.size()) return false;
  for (std::size_t i = 0; i < a.holdings.size(); ++i) {
    if (!IsSameHolding(a.holdings[i], b.holdings[i])) return false;
  }
  return a.state == b.state && a.address == b.address && a.service == b.service &&
         a.accelerator == b.accelerator && a.availability_zone == b.availability_zone &&
         a.slots == b.slots;
}

}  // namespace

const UpstreamTableEntry* UpstreamTable::Find(const std::string& name) const {
  const auto found = m_records.find(name);
  return found == m_records.end() ? nullptr : &found->second;
}

const UpstreamTableEntry* UpstreamTable::FindAddress(const std::string& address) const {
  const auto found = m_by_address.find(address);
  return found == m_by_address.end() ? nullptr : Find(found->second);
}

UpdateResult UpstreamTable::Apply(TimePoint now, const UpstreamUpdate& update) {
  const Announcement& fresh = update.announcement;
  const auto known = m_records.find(fresh.name);
  const bool is_known = known != m_records.end();
  if (is_known) {
    const UpstreamTableEntry& record = known->second;
    const Announcement& old = record.announcement;
    const auto fresh_version = std::tie(fresh.incarnation, fresh.sequence);
    const auto old_version = std::tie(old.incarnation, old.sequence);
    const bool same_incarnation = fresh.incarnation == old.incarnation;
    const bool is_departure = update.has_left && !record.has_left && same_incarnation;
    if (fresh_version <= old_version && !is_departure) return UpdateResult::kStale;
    if (same_incarnation && record.has_left) return UpdateResult::kStale;
  }
  const UpstreamTableEntry* holder = FindAddress(fresh.address);
  if (holder != nullptr && holder->announcement.name != fresh.name) {
    if (holder->announcement.incarnation > fresh.incarnation) return UpdateResult::kReplaced;
    const auto replaced = m_records.find(holder->announcement.name);
    replaced->second.has_left = true;
  }
  UpdateResult result = UpdateResult::kNew;
  if (is_known && known->second.announcement.incarnation == fresh.incarnation) {
    const bool same = IsEquivalent(known->second.announcement, fresh) &&
                      known->second.has_left == update.has_left;
    result = same ? UpdateResult::kRefreshed : UpdateResult::kChanged;
  }
  if (is_known && known->second.announcement.address != fresh.address) {
    const auto at = m_by_address.find(known->second.announcement.address);
    if (at != m_by_address.end() && at->second == fresh.name) m_by_address.erase(at);
  }
  m_records[fresh.name] = {fresh, update.has_left, now, false};
  m_by_address[fresh.address] = fresh.name;
  if (result != UpdateResult::kRefreshed) ++m_generation;
  return result;
}

std::optional<UpstreamUpdate> UpstreamTable::MarkLeft(TimePoint now, const std::string& name,
                                                      std::uint64_t incarnation) {
  const auto known = m_records.find(name);
  if (known == m_records.end()) return std::nullopt;
  UpstreamTableEntry& record = known->second;
  if (incarnation != 0 && incarnation != record.announcement.incarnation) return std::nullopt;
  if (!record.has_left) ++m_generation;
  record.has_left = true;
  record.heard_at = now;
  return UpstreamUpdate{record.announcement, true};
}

bool UpstreamTable::Refresh(TimePoint now, const std::string& name, std::uint64_t incarnation,
                            std::uint64_t sequence) {
  const auto known = m_records.find(name);
  if (known == m_records.end()) return false;
  UpstreamTableEntry& record = known->second;
  if (record.announcement.incarnation != incarnation) return false;
  if (sequence <= record.announcement.sequence) return false;
  record.announcement.sequence = sequence;
  record.heard_at = now;
  record.is_suspected = false;
  return true;
}

void UpstreamTable::Suspect(TimePoint now, const std::string& name, std::uint64_t incarnation,
                            std::uint64_t sequence) {
  const auto known = m_records.find(name);
  if (known == m_records.end()) return;
  UpstreamTableEntry& record = known->second;
  // A newer or very recent announcement shows that the upstream is alive and overrides the
  // suspicion.
  constexpr std::chrono::milliseconds kMinAge{150};
  if (record.announcement.incarnation != incarnation) return;
  if (record.announcement.sequence > sequence || now - record.heard_at < kMinAge) return;
  record.is_suspected = true;
}

void UpstreamTable::Expire(TimePoint now) {
  for (auto record = m_records.begin(); record != m_records.end();) {
    if (now - record->second.heard_at < kRecordRetention) {
      ++record;
      continue;
    }
    const auto at = m_by_address.find(record->second.announcement.address);
    if (at != m_by_address.end() && at->second == record->first) m_by_address.erase(at);
    record = m_records.erase(record);
    ++m_generation;
  }
}

}  // namespace corneltray
