#include "consensus_log.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace corneltray {

ReplicaLog::ReplicaLog(LogPosition base, std::vector<LogEntry> entries, std::uint64_t members_index,
                       MemberSet members_base)
    : m_base(base) {
  m_members[members_index] = std::move(members_base);
  for (LogEntry& entry : entries) {
    // The member set of the snapshot already includes earlier changes.
    if (entry.index > members_index) RecordMembers(entry);
    m_last_timestamp = std::max(m_last_timestamp, entry.timestamp);
    m_entries.push_back(std::move(entry));
  }
}

LogPosition ReplicaLog::Last() const {
  if (m_entries.empty()) return m_base;
  return {m_entries.back().index, m_entries.back().term};
}

std::optional<std::uint64_t> ReplicaLog::TermAt(std::uint64_t index) const {
  if (index == m_base.index) return m_base.term;
  if (index < m_base.index || index > Last().index) return std::nullopt;
  return At(index).term;
}

const LogEntry& ReplicaLog::At(std::uint64_t index) const {
  assert(index > m_base.index && index <= Last().index);
  return m_entries[index - m_base.index - 1];
}

LogPosition ReplicaLog::LatestNotAfter(std::uint64_t index, std::uint64_t term) const {
  std::uint64_t at = std::min(index, Last().index);
  while (at > m_base.index && At(at).term > term) --at;
  if (at <= m_base.index) return m_base;
  return {at, At(at).term};
}

void ReplicaLog::Append(std::vector<LogEntry> entries) {
  for (LogEntry& entry : entries) {
    assert(entry.index == Last().index + 1);
    RecordMembers(entry);
    m_last_timestamp = std::max(m_last_timestamp, entry.timestamp);
    m_entries.push_back(std::move(entry));
  }
}

void ReplicaLog::TruncateFrom(std::uint64_t index) {
  while (!m_entries.empty() && m_entries.back().index >= index) m_entries.pop_back();
  m_members.erase(m_members.lower_bound(index), m_members.end());
  assert(!m_members.empty());
}

void ReplicaLog::DropUpTo(LogPosition position) {
  while (!m_entries.empty() && m_entries.front().index <= position.index) m_entries.pop_front();
  m_base = position;
}

void ReplicaLog::Reset(const Snapshot& snapshot) {
  m_entries.clear();
  m_base = snapshot.last;
  m_members.clear();
  m_members[snapshot.last.index] = snapshot.members;
  m_last_timestamp = snapshot.timestamp;
}

void ReplicaLog::SetMinTimestamp(UnixMs timestamp) {
  m_last_timestamp = std::max(m_last_timestamp, timestamp);
}

void ReplicaLog::SetInitialMembers(MemberSet members) { m_members[0] = std::move(members); }

const MemberSet& ReplicaLog::MembersAt(std::uint64_t index) const {
  auto after = m_members.upper_bound(index);
  assert(after != m_members.begin());
  return std::prev(after)->second;
}

bool ReplicaLog::IsVoterAtOrAfter(std::uint64_t index, const ReplicaId& id) const {
  auto set = std::prev(m_members.upper_bound(index));
  return std::any_of(set, m_members.end(), [&](const auto& row) { return row.second.IsVoter(id); });
}

std::vector<LogEntry> ReplicaLog::Slice(std::uint64_t first, std::size_t max_bytes) const {
  std::vector<LogEntry> slice;
  std::size_t bytes = 0;
  for (std::uint64_t index = first; index <= Last().index; ++index) {
    const LogEntry& entry = At(index);
    bytes += entry.payload.size() + kEntryOverheadBytes;
    if (!slice.empty() && bytes > max_bytes) break;
    slice.push_back(entry);
  }
  return slice;
}

std::vector<LogEntry> ReplicaLog::Range(std::uint64_t first, std::uint64_t last) const {
  std::vector<LogEntry> range;
  for (std::uint64_t index = first; index <= last; ++index) range.push_back(At(index));
  return range;
}

void ReplicaLog::RecordMembers(const LogEntry& entry) {
  if (entry.kind != EntryKind::kMembers) return;
  Result<MemberSet> members = DecodeMemberSet(entry.payload);
  // Entries are validated on receipt, and their records on disk have checksums.
  assert(members.Ok());
  if (members.Ok()) m_members[entry.index] = std::move(members).value();
}

}  // namespace corneltray
