#include <algorithm>
#include <utility>

#include "consensus_impl.h"

namespace corneltray {

// Returns true if this replica is the leader, or was contacted by one within the shortest election
// timeout.
bool Replica::Impl::HasCurrentLeader(TimePoint now) const {
  if (IsLeader()) return true;
  return m_leader && m_has_leader_contact &&
         now < m_leader_contact_at + m_options.election_timeout_min;
}

void Replica::Impl::BecomeFollower(TimePoint now, std::uint64_t term,
                                   std::optional<ReplicaId> leader, RoleReason reason) {
  if (IsLeader()) FailBarriers();
  m_transfer.reset();
  m_heartbeat_due = false;
  m_replaced_identities.clear();
  m_votes.clear();
  m_pre_vote = false;
  if (term > m_hard_state.term) {
    m_hard_state = {term, std::nullopt};
    EmitHardState();
  }
  m_role = IsVoter() ? ReplicaRole::kFollower : ReplicaRole::kLearner;
  m_leader = std::move(leader);
  ResetElectionDeadline(now);
  AnnounceRole(reason);
}

// A voter whose removal is in its log but not known to be committed still campaigns: it may have
// the longest log, and then no other voter can win the election.
bool Replica::Impl::MayCampaign() const {
  // Index 0 holds the initial members, which any formatted host has, also one formatted again.
  const std::uint64_t since = m_log.Empty() ? 0 : std::max<std::uint64_t>(m_commit_index, 1);
  if (m_log.IsVoterAtOrAfter(since, m_self)) return true;
  return HasFoundingDisk() && m_log.IsVoterAtOrAfter(since, FoundingDiskOf(m_self.host));
}

// Requests votes from the other voters. A pre-vote changes no persistent state: it only checks
// whether an election could be won, so a replica that returns from a partition does not raise the
// term.
void Replica::Impl::Campaign(TimePoint now, bool pre_vote, bool transfer) {
  m_role = ReplicaRole::kCandidate;
  m_pre_vote = pre_vote;
  m_leader.reset();
  m_votes.clear();
  ResetElectionDeadline(now);
  std::uint64_t requested_term = m_hard_state.term + 1;
  if (!pre_vote) {
    m_hard_state = {m_hard_state.term + 1, m_self};
    requested_term = m_hard_state.term;
    EmitHardState();
  }
  AnnounceRole(transfer ? RoleReason::kTransferred : RoleReason::kElectionTimeout);
  for (const auto& [id, role] : m_log.Members().members) {
    if (role != MemberRole::kVoter || IsSelf(id)) continue;
    SendWithTerm(id, requested_term, VoteRequest{pre_vote, transfer, m_log.Last()}, true);
  }
  // The candidate's own vote in a real election counts once it is on disk; see Persisted.
  if (pre_vote) CountVote(now, MemberIdOf(m_self, HasFoundingDisk()));
}

void Replica::Impl::CountVote(TimePoint now, const ReplicaId& voter) {
  const MemberSet& members = m_log.Members();
  if (!members.IsVoter(voter)) return;
  m_votes.insert(voter);
  if (m_votes.size() < VotesToWin()) return;
  if (m_pre_vote) {
    Campaign(now, false, false);
  } else {
    BecomeLeader(now);
  }
}

void Replica::Impl::BecomeLeader(TimePoint now) {
  m_role = ReplicaRole::kLeader;
  m_leader = m_self;
  m_votes.clear();
  m_replaced_identities.clear();
  m_barriers.clear();
  m_transfer.reset();
  m_incoming.reset();
  m_round = 0;
  m_confirmed_round = 0;
  m_persisted_index = 0;
  m_uncommitted_bytes = 0;
  m_progress.clear();
  if (m_log.Empty()) CreateLog();
  RefreshProgress(now);
  AnnounceRole(RoleReason::kElected);
  // Entries of earlier terms are committed only together with an entry of this term.
  m_term_start_index = AppendEntry(EntryKind::kNoop, 0, "").index;
  m_heartbeat_due = true;
}

std::optional<VoteRefusal> Replica::Impl::RefusalOf(TimePoint now, const ReplicaMessage& message,
                                                    const VoteRequest& request) const {
  const LogPosition last = m_log.Last();
  const bool log_is_current = request.last.term > last.term ||
                              (request.last.term == last.term && request.last.index >= last.index);
  if (!CanVote()) return VoteRefusal::kNotAMember;
  if (request.pre_vote) {
    if (message.term <= m_hard_state.term) return VoteRefusal::kOldTerm;
    if (HasCurrentLeader(now)) return VoteRefusal::kLeaderKnown;
  } else {
    const bool free = !m_hard_state.voted_for || *m_hard_state.voted_for == message.from;
    if (!free) return VoteRefusal::kVotedAlready;
    if (m_leader) return VoteRefusal::kLeaderKnown;
  }
  if (!log_is_current) return VoteRefusal::kLogBehind;
  return std::nullopt;
}

void Replica::Impl::RefuseVote(const ReplicaMessage& message, bool pre_vote, VoteRefusal reason) {
  Emit(VoteRefused{message.from, message.term, pre_vote, reason});
}

void Replica::Impl::OnVoteRequest(TimePoint now, const ReplicaMessage& message,
                                  const VoteRequest& request) {
  const auto refusal = RefusalOf(now, message, request);
  if (refusal) RefuseVote(message, request.pre_vote, *refusal);
  const bool granted = !refusal;
  if (request.pre_vote) {
    SendWithTerm(message.from, granted ? message.term : m_hard_state.term, VoteReply{true, granted},
                 true);
    return;
  }
  if (granted) {
    if (!m_hard_state.voted_for) {
      m_hard_state.voted_for = message.from;
      EmitHardState();
    }
    ResetElectionDeadline(now);
  }
  Send(message.from, VoteReply{false, granted});
}

void Replica::Impl::OnVoteReply(TimePoint now, const ReplicaMessage& message,
                                const VoteReply& reply) {
  if (m_role != ReplicaRole::kCandidate || !reply.granted || reply.pre_vote != m_pre_vote) return;
  const std::uint64_t requested_term = m_pre_vote ? m_hard_state.term + 1 : m_hard_state.term;
  if (message.term != requested_term) return;
  CountVote(now, SenderOf(message));
}

void Replica::Impl::OnTimeoutNow(TimePoint now, const ReplicaMessage& message) {
  if (IsLeader() || m_leader != message.from || !IsVoter()) return;
  if (m_storage_failed) return;
  Campaign(now, false, true);
}

// A leader without replies from a majority for one election timeout steps down, so that its callers
// learn that it cannot commit anything.
void Replica::Impl::CheckQuorum(TimePoint now) {
  const MemberSet& members = m_log.Members();
  if (ReachableVoters(now, members) < members.Quorum()) {
    BecomeFollower(now, m_hard_state.term, std::nullopt, RoleReason::kQuorumLost);
  }
}

// Returns the voter with the longest log among those that replied within the shortest election
// timeout.
std::optional<ReplicaId> Replica::Impl::BestSuccessor(TimePoint now) const {
  std::optional<ReplicaId> best;
  std::uint64_t best_match = 0;
  for (const auto& [id, progress] : m_progress) {
    if (!m_log.Members().IsVoter(id)) continue;
    if (now >= progress.last_heard_at + m_options.election_timeout_min) continue;
    if (!best || progress.match > best_match) {
      best = id;
      best_match = progress.match;
    }
  }
  return best;
}

Status Replica::Impl::TransferLeadership(TimePoint now) {
  m_now = now;
  if (!IsLeader()) return NotLeaderError();
  if (m_transfer) return {};
  const auto target = BestSuccessor(now);
  if (!target) return Error{ConsensusErrc::kInvalidChange, "no other voter is reachable"};
  m_transfer = Transfer{*target, now + m_options.election_timeout_max, false};
  ContinueTransfer(now);
  return {};
}

void Replica::Impl::ContinueTransfer(TimePoint) {
  if (!m_transfer || m_transfer->timeout_now_sent) return;
  const auto progress = m_progress.find(m_transfer->target);
  if (progress == m_progress.end()) {
    m_transfer.reset();
    return;
  }
  if (progress->second.match != m_log.Last().index) return;
  m_transfer->timeout_now_sent = true;
  Send(m_transfer->target, TimeoutNow{});
}

}  // namespace corneltray
