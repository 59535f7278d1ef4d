#ifndef CORNELTRAY_CONSENSUS_LOG_H_
#define CORNELTRAY_CONSENSUS_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "corneltray/consensus.h"

namespace corneltray {

// Upper bound of the size of one encoded entry without its payload.
constexpr std::size_t kEntryOverheadBytes = 96;

// The entries a replica holds in memory after a base position, and the member set in effect at each
// index. Owned by Replica::Impl.
class ReplicaLog {
 public:
  // `members_base` is the member set at `members_index`, the snapshot; empty at index 0, unless
  // SetInitialMembers is called.
  ReplicaLog(LogPosition base, std::vector<LogEntry> entries, std::uint64_t members_index,
             MemberSet members_base);

  LogPosition Base() const { return m_base; }
  LogPosition Last() const;
  UnixMs LastTimestamp() const { return m_last_timestamp; }
  bool Empty() const { return Last().index == 0; }

  // Term of the entry at an index, including the base. Returns nullopt outside [base, last].
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;
  bool Contains(LogPosition position) const { return TermAt(position.index) == position.term; }
  const LogEntry& At(std::uint64_t index) const;

  // Latest position at or before `index` whose term is at most `term`, not before the base.
  LogPosition LatestNotAfter(std::uint64_t index, std::uint64_t term) const;

  // Appends entries that follow the last one. The member sets in them take effect.
  void Append(std::vector<LogEntry> entries);
  // Removes the entries at and after an index, with their member sets.
  void TruncateFrom(std::uint64_t index);
  // Removes the entries up to a position, which becomes the base.
  void DropUpTo(LogPosition position);
  // Discards all entries and starts after a snapshot.
  void Reset(const Snapshot& snapshot);
  void SetMinTimestamp(UnixMs timestamp);
  // Sets the members in effect while the log is empty.
  void SetInitialMembers(MemberSet members);

  const MemberSet& Members() const { return m_members.rbegin()->second; }
  // Index of the entry that set the current members.
  std::uint64_t MembersIndex() const { return m_members.rbegin()->first; }
  const MemberSet& MembersAt(std::uint64_t index) const;
  // Whether the replica is a voter in the set in effect at `index` or in any later one.
  bool IsVoterAtOrAfter(std::uint64_t index, const ReplicaId& id) const;

  // Entries from `first` on, up to `max_bytes` in total, but at least one if there is any.
  std::vector<LogEntry> Slice(std::uint64_t first, std::size_t max_bytes) const;
  std::vector<LogEntry> Range(std::uint64_t first, std::uint64_t last) const;

 private:
  void RecordMembers(const LogEntry& entry);

  LogPosition m_base;
  std::deque<LogEntry> m_entries;
  std::map<std::uint64_t, MemberSet> m_members;
  UnixMs m_last_timestamp = 0;
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONSENSUS_LOG_H_
