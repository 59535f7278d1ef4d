#include <algorithm>
#include <utility>

#include "consensus_impl.h"

namespace corneltray {
namespace {

// Maximum number of unacknowledged requests with entries for one member. With entries of the
// largest size this bounds the memory held by a slow link to 8 MiB.
constexpr std::uint32_t kMaxInFlight = 16;

// Whether the entries are consecutive after `previous` and their member sets can be decoded.
bool IsWellFormed(const AppendRequest& request) {
  std::uint64_t index = request.previous.index;
  std::uint64_t term = request.previous.term;
  for (const LogEntry& entry : request.entries) {
    if (entry.index != ++index || entry.term < term) return false;
    if (entry.kind == EntryKind::kMembers && !DecodeMemberSet(entry.payload).Ok()) return false;
    term = entry.term;
  }
  return true;
}

}  // namespace

LogPosition Replica::Impl::AppendEntry(EntryKind kind, UnixMs timestamp, std::string payload) {
  LogEntry entry;
  entry.index = m_log.Last().index + 1;
  entry.term = m_hard_state.term;
  entry.kind = kind;
  entry.timestamp = std::max(timestamp, m_log.LastTimestamp());
  entry.payload = std::move(payload);
  const LogPosition position{entry.index, entry.term};
  m_uncommitted_bytes += entry.payload.size() + kEntryOverheadBytes;
  m_log.Append({entry});
  Emit(PersistEntries{{std::move(entry)}});
  return position;
}

Result<LogPosition> Replica::Impl::Propose(TimePoint now, UnixMs timestamp, std::string payload) {
  m_now = now;
  if (m_storage_failed) return Error{ConsensusErrc::kStorageFailed, m_storage_error};
  if (!IsLeader()) return NotLeaderError();
  if (m_transfer) return Error{ConsensusErrc::kTransferring, m_transfer->target.host};
  if (payload.size() > kMaxEntryBytes) {
    return Error{ConsensusErrc::kPayloadTooLarge, std::to_string(payload.size()) + " bytes"};
  }
  if (m_uncommitted_bytes + payload.size() > m_options.max_uncommitted_bytes) {
    return Error{ConsensusErrc::kTooManyUncommitted,
                 std::to_string(m_uncommitted_bytes) + " bytes wait"};
  }
  return AppendEntry(EntryKind::kCommand, timestamp, std::move(payload));
}

Status Replica::Impl::ReadBarrier(TimePoint now, std::uint64_t id) {
  m_now = now;
  if (m_storage_failed) return Error{ConsensusErrc::kStorageFailed, m_storage_error};
  if (!IsLeader()) return NotLeaderError();
  // Everything committed in earlier terms precedes the first entry of this term.
  m_barriers.push_back({id, m_round + 1, std::max(m_commit_index, m_term_start_index)});
  if (!IsRoundOpen()) m_heartbeat_due = true;
  return {};
}

// Whether a barrier waits for a round that has not started. Barriers are in the order of rounds.
bool Replica::Impl::HasBarrierForNextRound() const {
  return !m_barriers.empty() && m_barriers.back().round > m_round;
}

// Sends each member the entries it lacks, and a heartbeat if one is due. Called once for each
// TakeActions, so that proposals made together are sent in one message.
void Replica::Impl::SendToAll(TimePoint now) {
  const bool heartbeat = m_heartbeat_due;
  if (heartbeat) {
    m_heartbeat_due = false;
    m_heartbeat_at = now + m_options.heartbeat_interval;
    if (HasBarrierForNextRound()) ++m_round;
  }
  for (auto& [id, progress] : m_progress) {
    if (heartbeat) progress.in_flight = 0;
    const std::uint64_t next = progress.next;
    const std::uint32_t in_flight = progress.in_flight;
    SendEntries(now, id, progress);
    if (heartbeat && progress.next == next && progress.in_flight == in_flight) {
      SendHeartbeat(now, id, progress);
    }
  }
  if (heartbeat) ConfirmBarriers();  // a sole voter gets no replies
}

void Replica::Impl::SendHeartbeat(TimePoint now, const ReplicaId& to, MemberProgress& progress) {
  AppendRequest request;
  request.round = m_round;
  if (progress.mode == MemberProgress::Mode::kSnapshot) {
    // Position 0 matches every log, so this request only serves as a heartbeat.
    Send(to, std::move(request), false);
    if (now >= progress.resend_part_at) SendPart(now, to, progress);
    return;
  }
  const std::uint64_t previous = progress.next - 1;
  const auto term = m_log.TermAt(previous);
  if (!term) return;
  request.previous = {previous, *term};
  request.commit_index = m_commit_index;
  Send(to, std::move(request), false);
}

// Entries may be sent before they are on the leader's own disk: the leader counts itself towards a
// commit only after Persisted.
void Replica::Impl::SendEntries(TimePoint now, const ReplicaId& to, MemberProgress& progress) {
  if (progress.mode == MemberProgress::Mode::kSnapshot) return;
  const std::uint32_t limit = progress.mode == MemberProgress::Mode::kProbe ? 1U : kMaxInFlight;
  while (progress.next <= m_log.Last().index && progress.in_flight < limit) {
    const auto term = m_log.TermAt(progress.next - 1);
    if (!term) {
      StartSnapshot(now, to, progress);
      return;
    }
    AppendRequest request;
    request.previous = {progress.next - 1, *term};
    request.entries = m_log.Slice(progress.next, m_options.max_append_bytes);
    request.commit_index = m_commit_index;
    request.round = m_round;
    ++progress.in_flight;
    if (progress.mode == MemberProgress::Mode::kReplicate) {
      progress.next = request.entries.back().index + 1;
    }
    Send(to, std::move(request), false);
  }
}

void Replica::Impl::OnAppendRequest(TimePoint now, const ReplicaMessage& message,
                                    const AppendRequest& request) {
  if (IsLeader() || !IsWellFormed(request)) return;
  if (m_role == ReplicaRole::kCandidate || m_leader != message.from) {
    BecomeFollower(now, message.term, message.from, RoleReason::kNewerTerm);
  }
  m_leader_contact_at = now;
  m_has_leader_contact = true;
  ResetElectionDeadline(now);

  AppendReply reply;
  reply.round = request.round;
  if (request.previous.index < m_commit_index) {
    // Committed entries match the leader's log, so the entries in this request need no comparison.
    reply.accepted = true;
    reply.match_index = m_commit_index;
    Send(message.from, reply);
    return;
  }
  if (!m_log.Contains(request.previous)) {
    reply.rejected_previous = request.previous.index;
    reply.hint = m_log.LatestNotAfter(request.previous.index, request.previous.term);
    Send(message.from, reply);
    return;
  }
  auto first_new = request.entries.begin();
  while (first_new != request.entries.end() && m_log.TermAt(first_new->index) == first_new->term) {
    ++first_new;
  }
  if (first_new != request.entries.end()) {
    // A conflict with a committed entry means a violation of the protocol; never overwrite one.
    if (first_new->index <= m_commit_index) return;
    m_log.TruncateFrom(first_new->index);
    std::vector<LogEntry> added(first_new, request.entries.end());
    m_log.Append(added);
    Emit(PersistEntries{std::move(added)});
    RefreshRole();
  }
  reply.accepted = true;
  reply.match_index = request.previous.index + request.entries.size();
  CommitTo(std::min(request.commit_index, reply.match_index));
  Send(message.from, reply);
}

void Replica::Impl::OnAppendReply(TimePoint now, const ReplicaMessage& message,
                                  const AppendReply& reply) {
  const auto found = m_progress.find(SenderOf(message));
  if (!IsLeader() || found == m_progress.end()) return;
  MemberProgress& progress = found->second;
  progress.last_heard_at = now;
  progress.acked_round = std::max(progress.acked_round, reply.round);
  // A follower ahead of its leader means that a disk lost acknowledged entries. An immediate reply
  // would repeat the same exchange in a tight loop.
  if (reply.accepted && reply.match_index > m_log.Last().index) return;
  if (progress.in_flight > 0) --progress.in_flight;
  if (!reply.accepted) {
    OnRejected(progress, reply);
  } else {
    progress.match = std::max(progress.match, reply.match_index);
    progress.next = std::max(progress.next, progress.match + 1);
    const bool log_reaches = progress.match >= m_log.Base().index;
    if (progress.mode != MemberProgress::Mode::kSnapshot || log_reaches) {
      progress.mode = MemberProgress::Mode::kReplicate;
      progress.sending.reset();
    }
    AdvanceCommit(now);
    if (IsLeader()) ContinueTransfer(now);
  }
  if (IsLeader()) ConfirmBarriers();
}

// Moves `next` back to the latest position at which the two logs may match. Ignores late replies to
// requests sent before the previous move. `next` may fall below `match`: resending entries is
// harmless.
void Replica::Impl::OnRejected(MemberProgress& progress, const AppendReply& reply) {
  if (progress.mode == MemberProgress::Mode::kSnapshot) return;
  const bool is_current =
      progress.mode == MemberProgress::Mode::kProbe
          ? reply.rejected_previous == progress.next - 1
          : reply.rejected_previous >= progress.match && reply.rejected_previous < progress.next;
  if (!is_current || reply.rejected_previous == 0) return;
  const std::uint64_t index = std::min(reply.hint.index, reply.rejected_previous - 1);
  progress.next = m_log.LatestNotAfter(index, reply.hint.term).index + 1;
  // Terms below the base are unknown: the follower's position is probed, or it gets a snapshot.
  if (index < m_log.Base().index) progress.next = index + 1;
  progress.mode = MemberProgress::Mode::kProbe;
  progress.in_flight = 0;
}

// Commits up to the greatest index that a majority of the voters has on disk, if its entry is of
// this term.
void Replica::Impl::AdvanceCommit(TimePoint now) {
  const MemberSet& members = m_log.Members();
  std::vector<std::uint64_t> on_disk;
  for (const auto& [id, role] : members.members) {
    if (role != MemberRole::kVoter) continue;
    const auto progress = m_progress.find(id);
    on_disk.push_back(progress == m_progress.end() ? m_persisted_index : progress->second.match);
  }
  if (on_disk.empty()) return;
  std::sort(on_disk.begin(), on_disk.end(), std::greater<>());
  const std::uint64_t index = on_disk[members.Quorum() - 1];
  if (index <= m_commit_index || m_log.TermAt(index) != m_hard_state.term) return;
  CommitTo(index);
  m_heartbeat_due = true;  // tells the followers of the commit
  ConfirmBarriers();
  StepDownIfRemoved(now);
}

void Replica::Impl::CommitTo(std::uint64_t index) {
  if (index <= m_commit_index) return;
  std::vector<LogEntry> entries = m_log.Range(m_commit_index + 1, index);
  m_commit_index = index;
  if (IsLeader()) {
    for (const LogEntry& entry : entries) {
      if (entry.term != m_hard_state.term) continue;
      const std::uint64_t bytes = entry.payload.size() + kEntryOverheadBytes;
      m_uncommitted_bytes -= std::min(m_uncommitted_bytes, bytes);
    }
  }
  Emit(ApplyEntries{std::move(entries)});
}

// Confirms the barriers for which a majority has replied to a heartbeat sent after the request: no
// other leader had been elected by then. Barriers requested during a round share the next one, so
// that the number of heartbeats does not grow with the number of reads.
void Replica::Impl::ConfirmBarriers() {
  if (m_barriers.empty()) return;
  const MemberSet& members = m_log.Members();
  std::vector<std::uint64_t> rounds;
  for (const auto& [id, role] : members.members) {
    if (role != MemberRole::kVoter) continue;
    const auto progress = m_progress.find(id);
    rounds.push_back(progress == m_progress.end() ? m_round : progress->second.acked_round);
  }
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  m_confirmed_round = rounds.empty() ? 0 : rounds[members.Quorum() - 1];
  auto kept = m_barriers.begin();
  for (const Barrier& barrier : m_barriers) {
    if (barrier.round <= m_confirmed_round && barrier.index <= m_commit_index) {
      Emit(ReadBarrierConfirmed{barrier.id, barrier.index});
    } else {
      *kept++ = barrier;
    }
  }
  m_barriers.erase(kept, m_barriers.end());
  if (HasBarrierForNextRound() && !IsRoundOpen()) m_heartbeat_due = true;
}

void Replica::Impl::FailBarriers() {
  for (const Barrier& barrier : m_barriers) Emit(ReadBarrierFailed{barrier.id});
  m_barriers.clear();
}

}  // namespace corneltray
