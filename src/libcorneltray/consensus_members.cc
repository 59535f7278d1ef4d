#include <algorithm>
#include <utility>

#include "consensus_impl.h"

namespace corneltray {

bool Replica::Impl::ChangeInProgress() const {
  return m_log.MembersIndex() > m_commit_index || m_commit_index < m_term_start_index;
}

LogPosition Replica::Impl::AppendMembers(TimePoint now, const MemberSet& members) {
  const LogPosition position = AppendEntry(EntryKind::kMembers, 0, EncodeMemberSet(members));
  RefreshProgress(now);
  return position;
}

// Counts the voters of a set that are reachable: this replica, and those that replied within the
// shortest election timeout.
std::size_t Replica::Impl::ReachableVoters(TimePoint now, const MemberSet& members) const {
  std::size_t count = members.IsVoter(MemberIdOf(m_self, HasFoundingDisk())) ? 1 : 0;
  for (const auto& [id, progress] : m_progress) {
    const bool reachable = now < progress.last_heard_at + m_options.election_timeout_min;
    if (members.IsVoter(id) && reachable) ++count;
  }
  return count;
}

// Whether a learner may become a voter: it lacks few entries, and its log lists it as a member. A
// replica that is not in its own log grants no votes, and its vote may be needed immediately.
bool Replica::Impl::HasCaughtUp(const MemberProgress& progress) const {
  return progress.match >= m_log.MembersIndex() &&
         progress.match + m_options.max_promotion_lag >= m_log.Last().index;
}

// Updates the progress records to the current members, one for each other member.
void Replica::Impl::RefreshProgress(TimePoint now) {
  const auto& members = m_log.Members().members;
  for (auto it = m_progress.begin(); it != m_progress.end();) {
    it = members.count(it->first) > 0 ? std::next(it) : m_progress.erase(it);
  }
  for (const auto& [id, role] : members) {
    if (IsSelf(id) || m_progress.count(id) > 0) continue;
    MemberProgress progress;
    progress.next = m_log.Last().index + 1;
    // A new leader gives every member one election timeout to reply.
    progress.last_heard_at = now;
    m_progress[id] = std::move(progress);
  }
}

void Replica::Impl::RefreshRole() {
  if (IsLeader() || m_role == ReplicaRole::kCandidate) return;
  m_role = IsVoter() ? ReplicaRole::kFollower : ReplicaRole::kLearner;
  AnnounceRole(RoleReason::kMembersChanged);
}

Result<LogPosition> Replica::Impl::ProposeMembers(TimePoint now, const MemberChange& change) {
  m_now = now;
  if (m_storage_failed) return Error{ConsensusErrc::kStorageFailed, m_storage_error};
  if (!IsLeader()) return NotLeaderError();
  if (m_transfer) return Error{ConsensusErrc::kTransferring, m_transfer->target.host};
  if (ChangeInProgress()) return Error{ConsensusErrc::kChangeInProgress, ""};
  const auto invalid = [](const std::string& detail) {
    return Error{ConsensusErrc::kInvalidChange, detail};
  };
  MemberSet members = m_log.Members();
  const auto found = members.members.find(change.replica);
  switch (change.kind) {
    case MemberChangeKind::kAddLearner:
      if (members.FindByHost(change.replica.host)) return invalid("the host is a member already");
      members.members[change.replica] = MemberRole::kLearner;
      break;
    case MemberChangeKind::kPromote: {
      if (found == members.members.end()) return invalid("not a member");
      if (found->second == MemberRole::kVoter) return invalid("a voter already");
      const MemberProgress& progress = m_progress[change.replica];
      if (!HasCaughtUp(progress)) {
        return invalid("the learner has not caught up");
      }
      found->second = MemberRole::kVoter;
      break;
    }
    case MemberChangeKind::kRemove:
      if (found == members.members.end()) return invalid("not a member");
      members.members.erase(found);
      if (members.VoterCount() == 0) return invalid("the last voter cannot be removed");
      break;
  }
  if (ReachableVoters(now, members) < members.Quorum()) {
    return invalid("too few voters of the new set are reachable to commit it");
  }
  return AppendMembers(now, members);
}

// The host replied that it no longer has the disk identity that the leader addressed.
void Replica::Impl::OnIdentityNotice(const ReplicaMessage& message, const IdentityNotice& notice) {
  if (!IsLeader() || message.term != m_hard_state.term) return;
  if (notice.addressed.host != message.from.host || notice.addressed == message.from) return;
  if (m_log.Members().members.count(notice.addressed) == 0) return;
  m_replaced_identities[notice.addressed] = message.from;
}

// Proposes the next automatic member change: the identity of a founding disk is recorded once that
// disk has answered; a lost disk identity is replaced with the current
// identity of its host, as a joining learner; a joining learner that has caught up is promoted to
// voter. Each step changes at most one voter and waits for the commit of the previous one.
void Replica::Impl::MaintainMembers(TimePoint now) {
  if (!IsLeader() || m_transfer || ChangeInProgress()) return;
  if (RecordFoundingDisks(now)) return;
  MemberSet members = m_log.Members();
  for (auto it = m_replaced_identities.begin(); it != m_replaced_identities.end();) {
    const auto [lost, current] = *it;
    it = m_replaced_identities.erase(it);
    const auto found = members.members.find(lost);
    if (found == members.members.end() || members.members.count(current) > 0) continue;
    const bool was_voter = found->second == MemberRole::kVoter;
    const MemberRole role = was_voter ? MemberRole::kJoining : found->second;
    if (was_voter && members.VoterCount() == 1) continue;
    members.members.erase(found);
    members.members[current] = role;
    AppendMembers(now, members);
    return;
  }
  for (auto& [id, role] : members.members) {
    const auto progress = m_progress.find(id);
    if (role != MemberRole::kJoining || progress == m_progress.end()) continue;
    const bool alive = now < progress->second.last_heard_at + m_options.election_timeout_min;
    if (!alive || !HasCaughtUp(progress->second)) continue;
    role = MemberRole::kVoter;
    AppendMembers(now, members);
    return;
  }
}

// A leader that is no longer a voter stays leader until its removal is committed, then asks a
// successor to campaign and steps down.
void Replica::Impl::StepDownIfRemoved(TimePoint now) {
  if (!IsLeader() || IsVoter()) return;
  if (m_log.MembersIndex() > m_commit_index) return;
  if (const auto successor = BestSuccessor(now)) Send(*successor, TimeoutNow{});
  BecomeFollower(now, m_hard_state.term, std::nullopt, RoleReason::kRemoved);
}

}  // namespace corneltray
