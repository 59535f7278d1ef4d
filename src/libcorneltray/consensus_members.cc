#include <algorithm>
#include <utility>

#include "consensus_impl.h"

namespace corneltray {
namespace {

constexpr std::uint64_t kFoundingTerm = 1;
constexpr int kFoundingRequestIntervalHeartbeats = 3;

std::string FounderHost(const std::vector<std::string>& founding_hosts) {
  return *std::min_element(founding_hosts.begin(), founding_hosts.end());
}

}  // namespace

// --- Bootstrap -----------------------------------------------------------------------------------
// The founder votes for itself in term 1 and asks every founding host for the same vote, which that
// host writes to its disk. With all votes it knows all disk identities and appends the first entry,
// the member set. It then campaigns in term 2 as usual. A host that was formatted a second time
// cannot create another log: the others have already voted in term 1, or hold a log.

void Replica::Impl::StartFounding() {
  if (m_founding_hosts.empty() || FounderHost(m_founding_hosts) != m_self.host) return;
  if (!m_log.Empty() || m_hard_state.term > 0) return;
  m_hard_state = {kFoundingTerm, m_self};
  EmitHardState();
}

void Replica::Impl::ExcludeFoundingHost(const std::string& host) {
  if (host == m_self.host || !m_log.Empty()) return;
  const auto found = std::find(m_founding_hosts.begin(), m_founding_hosts.end(), host);
  if (found == m_founding_hosts.end()) return;
  m_founding_hosts.erase(found);
  StartFounding();
}

bool Replica::Impl::IsFounding() const {
  return !m_founding_hosts.empty() && FounderHost(m_founding_hosts) == m_self.host &&
         m_log.Empty() && m_hard_state.term == kFoundingTerm && m_hard_state.voted_for == m_self;
}

std::vector<std::string> Replica::Impl::MissingFoundingHosts() const {
  std::vector<std::string> missing;
  if (!IsFounding()) return missing;
  for (const std::string& host : m_founding_hosts) {
    if (host != m_self.host && m_founding_replies.count(host) == 0) missing.push_back(host);
  }
  return missing;
}

void Replica::Impl::ContinueFounding(TimePoint now) {
  const std::vector<std::string> missing = MissingFoundingHosts();
  if (missing.empty()) {
    MemberSet members;
    members.members[m_self] = MemberRole::kVoter;
    for (const auto& [host, id] : m_founding_replies) members.members[id] = MemberRole::kVoter;
    AppendEntry(EntryKind::kMembers, 0, EncodeMemberSet(members));
    m_founding_replies.clear();
    RefreshRole();
    m_election_at = now;
    return;
  }
  if (now < m_next_founding_request_at) return;
  m_next_founding_request_at =
      now + kFoundingRequestIntervalHeartbeats * m_options.heartbeat_interval;
  for (const std::string& host : missing) Send({host, ""}, FoundingRequest{});
}

void Replica::Impl::OnFoundingRequest(TimePoint now, const ReplicaMessage& message) {
  if (m_founding_hosts.empty()) {
    RefuseVote(message, false, VoteRefusal::kNotAMember);
    return;
  }
  if (!m_log.Empty() || message.term != kFoundingTerm) return;
  if (message.from.host != FounderHost(m_founding_hosts)) return;
  if (m_hard_state.term == 0) {
    m_hard_state = {kFoundingTerm, message.from};
    EmitHardState();
  }
  if (m_hard_state.term != kFoundingTerm || m_hard_state.voted_for != message.from) return;
  ResetElectionDeadline(now);
  Send(message.from, FoundingReply{true});
}

void Replica::Impl::OnFoundingReply(TimePoint now, const ReplicaMessage& message,
                                    const FoundingReply& reply) {
  if (!IsFounding() || message.term != kFoundingTerm || !reply.granted) return;
  if (std::find(m_founding_hosts.begin(), m_founding_hosts.end(), message.from.host) ==
      m_founding_hosts.end()) {
    return;
  }
  m_founding_replies[message.from.host] = message.from;
  ContinueFounding(now);
}

// --- Member changes ------------------------------------------------------------------------------

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
  std::size_t count = members.IsVoter(m_self) ? 1 : 0;
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
    if (id == m_self || m_progress.count(id) > 0) continue;
    MemberProgress progress;
    progress.next = m_log.Last().index + 1;
    // A new leader gives every member one election timeout to reply.
    progress.last_heard_at = now;
    m_progress[id] = std::move(progress);
  }
}

void Replica::Impl::RefreshRole() {
  if (IsLeader() || m_role == ReplicaRole::kCandidate) return;
  m_role = m_log.Members().IsVoter(m_self) ? ReplicaRole::kFollower : ReplicaRole::kLearner;
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

// Proposes the next automatic member change: a lost disk identity is replaced with the current
// identity of its host, as a joining learner; a joining learner that has caught up is promoted to
// voter. Each step changes at most one voter and waits for the commit of the previous one.
void Replica::Impl::MaintainMembers(TimePoint now) {
  if (!IsLeader() || m_transfer || ChangeInProgress()) return;
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
  if (!IsLeader() || m_log.Members().IsVoter(m_self)) return;
  if (m_log.MembersIndex() > m_commit_index) return;
  if (const auto successor = BestSuccessor(now)) Send(*successor, TimeoutNow{});
  BecomeFollower(now, m_hard_state.term, std::nullopt, RoleReason::kRemoved);
}

}  // namespace corneltray
