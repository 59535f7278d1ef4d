// Invariants of the replicated log that ConsensusSimulator checks after each event.
#include "consensus_simulator_test.h"

namespace corneltray {
namespace {

bool HoldsEntry(const PersistentState& disk, LogPosition position) {
  if (disk.snapshot && position.index <= disk.snapshot->last.index) return true;
  if (position.index <= disk.log_base.index) return false;
  const std::uint64_t at = position.index - disk.log_base.index - 1;
  return at < disk.entries.size() && disk.entries[at].term == position.term;
}

}  // namespace

// Election safety: at most one leader in a term.
void ConsensusSimulator::CheckLeader(std::size_t host) {
  const ReplicaStatus status = At(host).GetStatus();
  if (status.role != ReplicaRole::kLeader) return;
  const auto [found, inserted] = m_leaders.emplace(status.term, status.self);
  if (!inserted && found->second != status.self) {
    Fail("term " + std::to_string(status.term) + " has the leaders " + found->second.host +
         " and " + status.self.host);
  }
}

// Log matching: an entry with a given index and term is the same at every replica, and so is the
// term of the entry before it.
void ConsensusSimulator::CheckEntries(std::size_t host, const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    const auto before = At(host).EntryAt(entry.index - 1);
    if (entry.index > 1 && !before) continue;  // the base; checked when it was an entry
    const std::pair<std::uint64_t, std::string> seen{before ? before->term : 0, entry.payload};
    const auto [found, inserted] = m_entries.emplace(LogPosition{entry.index, entry.term}, seen);
    if (!inserted && found->second != seen) {
      Fail("entry " + std::to_string(entry.index) + " of term " + std::to_string(entry.term) +
           " differs at " + m_hosts[host].name);
    }
    if (entry.kind != EntryKind::kMembers) continue;
    const ReplicaStatus status = At(host).GetStatus();
    if (status.role == ReplicaRole::kLeader && entry.term == status.term) {
      CheckMemberChange(host, entry);
    }
    const MemberSet set = DecodeMemberSet(entry.payload).value();
    for (const auto& [id, role] : set.members) {
      if (role == MemberRole::kVoter) m_ever_voters.insert(id);
    }
    m_hosts[host].members = set;
  }
}

// A leader changes members only after the previous change and an entry of its own term are
// committed, and by one voter at a time. Otherwise two majorities may not overlap.
void ConsensusSimulator::CheckMemberChange(std::size_t host, const LogEntry& entry) {
  const Host& h = m_hosts[host];
  const MemberSet set = Named(DecodeMemberSet(entry.payload).value());
  // The entry that creates the log states the founding disks and changes nothing.
  if (entry.index == 1) {
    if (!(set == m_founders)) Fail(h.name + " created the log with other members");
    return;
  }
  if (h.applied == 0 || m_committed[h.applied - 1].term != entry.term) {
    Fail(h.name + " changed members before a commit of its term");
  }
  for (std::uint64_t index = h.applied + 1; index < entry.index; ++index) {
    const auto before = At(host).EntryAt(index);
    if (before && before->kind == EntryKind::kMembers) Fail(h.name + " overlapped member changes");
  }
  const MemberSet before = Named(h.members);
  int changed = 0;
  for (const auto& [id, role] : set.members) {
    changed += set.IsVoter(id) != before.IsVoter(id) ? 1 : 0;
  }
  for (const auto& [id, role] : before.members) {
    changed += before.IsVoter(id) && set.members.count(id) == 0 ? 1 : 0;
  }
  if (changed > 1) Fail(h.name + " changed two voters at once");
}

// A committed entry never changes or disappears, and is on the disks of a majority.
void ConsensusSimulator::CheckApplied(std::size_t host, const std::vector<LogEntry>& entries) {
  Host& h = m_hosts[host];
  const ReplicaStatus status = At(host).GetStatus();
  for (const LogEntry& entry : entries) {
    if (entry.index != h.applied + 1) Fail(h.name + " applied entries out of order");
    h.applied = entry.index;
    if (entry.index == m_committed.size() + 1) {
      const bool leads =
          m_leaders.count(status.term) > 0 && m_leaders.at(status.term) == status.self;
      // Without an entry of the current term, an older entry may still be overwritten by a leader
      // that lacks it.
      if (!leads || entries.back().term != status.term) {
        Fail(h.name + " committed entry " + std::to_string(entry.index) +
             " without being the leader or without an entry of its own term");
      }
      CheckDurable(host, entry);
      m_committed.push_back({entry.term, entry.payload});
      ++m_counts.committed;
      if (entry.kind == EntryKind::kMembers) ++m_counts.members_changed;
    }
    const Committed& committed = m_committed.at(entry.index - 1);
    if (committed.term != entry.term || committed.payload != entry.payload) {
      Fail("committed entry " + std::to_string(entry.index) + " changed at " + h.name);
    }
  }
}

void ConsensusSimulator::CheckDurable(std::size_t host, const LogEntry& entry) {
  const MemberSet members = Named(m_hosts[host].members);
  std::size_t holders = 0;
  for (const Host& h : m_hosts) {
    if (members.IsVoter(h.disk.self) && HoldsEntry(h.disk, {entry.index, entry.term})) ++holders;
  }
  // A lost disk may have acknowledged the entry before its loss, so it counts as a holder.
  for (const ReplicaId& id : m_lost_disks) holders += members.IsVoter(id) ? 1 : 0;
  if (holders < members.Quorum()) {
    Fail("entry " + std::to_string(entry.index) + " committed with " + std::to_string(holders) +
         " copies");
  }
}

// A vote comes from an intact disk that is or was a voter, is durable on that disk, and is granted
// only once in a term.
void ConsensusSimulator::CheckVote(std::size_t host, const ReplicaMessage& message) {
  const auto* reply = std::get_if<VoteReply>(&message.body);
  const auto* request = std::get_if<VoteRequest>(&message.body);
  ReplicaId candidate;
  if (reply != nullptr && reply->granted && !reply->pre_vote) {
    candidate = message.to;
  } else if (request != nullptr && !request->pre_vote) {
    candidate = message.from;
  } else {
    return;
  }
  const ReplicaId& voter = message.from;
  const std::string text = voter.host + " in term " + std::to_string(message.term);
  if (m_lost_disks.count(voter) > 0) Fail("vote from a lost disk: " + text);
  if (m_ever_voters.count(voter) == 0) Fail("vote from a learner: " + text);
  const HardState& disk = m_hosts[host].disk.hard_state;
  if (disk.term < message.term || (disk.term == message.term && disk.voted_for != candidate)) {
    Fail("vote sent before it is on disk: " + text);
  }
  const auto [found, inserted] = m_votes.emplace(std::make_pair(voter, message.term), candidate);
  if (!inserted && found->second != candidate) Fail("two votes in one term: " + text);
}

}  // namespace corneltray
