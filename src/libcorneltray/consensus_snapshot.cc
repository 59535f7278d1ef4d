#include <xxhash.h>

#include <algorithm>
#include <memory>
#include <utility>

#include "consensus_impl.h"

namespace corneltray {
namespace {

// Number of heartbeat intervals after which an unacknowledged part is sent again.
constexpr int kResendAfterHeartbeats = 3;

std::uint64_t Checksum(const std::string& data) { return XXH64(data.data(), data.size(), 0); }

}  // namespace

void Replica::Impl::Compact(std::uint64_t index, std::string data) {
  if (m_storage_failed || index > m_commit_index || !m_log.TermAt(index)) return;
  if (m_snapshot && index <= m_snapshot->last.index) return;
  if (index <= m_log.Base().index) return;
  Snapshot snapshot;
  snapshot.last = {index, *m_log.TermAt(index)};
  snapshot.timestamp = m_log.At(index).timestamp;
  snapshot.members = m_log.MembersAt(index);
  snapshot.data = std::make_shared<const std::string>(std::move(data));
  m_snapshot = snapshot;
  const std::uint64_t keep_after =
      index > m_options.trailing_entries
          ? std::max(index - m_options.trailing_entries, m_log.Base().index)
          : m_log.Base().index;
  m_log.DropUpTo({keep_after, *m_log.TermAt(keep_after)});
  Emit(PersistSnapshot{std::move(snapshot), m_log.Base(), false});
}

void Replica::Impl::StartSnapshot(TimePoint now, const ReplicaId& to, MemberProgress& progress) {
  if (!m_snapshot) return;
  progress.mode = MemberProgress::Mode::kSnapshot;
  progress.sending = *m_snapshot;
  progress.sending_checksum = Checksum(*m_snapshot->data);
  progress.sent_offset = 0;
  SendPart(now, to, progress);
}

void Replica::Impl::SendPart(TimePoint now, const ReplicaId& to, MemberProgress& progress) {
  const Snapshot& snapshot = *progress.sending;
  SnapshotPart part;
  part.last = snapshot.last;
  part.timestamp = snapshot.timestamp;
  part.members = snapshot.members;
  part.offset = progress.sent_offset;
  part.total_bytes = snapshot.data->size();
  part.checksum = progress.sending_checksum;
  part.data = snapshot.data->substr(progress.sent_offset, kSnapshotPartBytes);
  part.round = m_round;
  progress.resend_part_at = now + kResendAfterHeartbeats * m_options.heartbeat_interval;
  Send(to, std::move(part), false);
}

void Replica::Impl::OnSnapshotPart(TimePoint now, const ReplicaMessage& message,
                                   const SnapshotPart& part) {
  if (IsLeader()) return;
  if (m_role == ReplicaRole::kCandidate || m_leader != message.from) {
    BecomeFollower(now, message.term, message.from, RoleReason::kNewerTerm);
  }
  m_leader_contact_at = now;
  m_has_leader_contact = true;
  ResetElectionDeadline(now);

  SnapshotReply reply;
  reply.last = part.last;
  reply.round = part.round;
  if (part.last.index <= m_commit_index || m_log.Contains(part.last)) {
    CommitTo(part.last.index);
    m_incoming.reset();
    reply.installed = true;
    Send(message.from, reply);
    return;
  }
  const bool same = m_incoming && m_incoming->header.last == part.last &&
                    m_incoming->header.checksum == part.checksum &&
                    m_incoming->header.total_bytes == part.total_bytes;
  if (!same) {
    m_incoming = IncomingSnapshot{part, ""};
    m_incoming->header.data.clear();
  }
  if (part.offset == m_incoming->data.size()) m_incoming->data += part.data;
  reply.received_bytes = m_incoming->data.size();
  if (m_incoming->data.size() >= part.total_bytes) {
    IncomingSnapshot complete = std::move(*m_incoming);
    m_incoming.reset();
    if (Checksum(complete.data) == complete.header.checksum) {
      InstallSnapshot(complete.header, std::move(complete.data));
      reply.installed = true;
    } else {
      reply.received_bytes = 0;
    }
  }
  Send(message.from, reply);
}

// Replaces the log and the state with a snapshot that is ahead of both.
void Replica::Impl::InstallSnapshot(const SnapshotPart& header, std::string data) {
  Snapshot snapshot;
  snapshot.last = header.last;
  snapshot.timestamp = header.timestamp;
  snapshot.members = header.members;
  snapshot.data = std::make_shared<const std::string>(std::move(data));
  m_snapshot = snapshot;
  m_log.Reset(snapshot);
  m_commit_index = snapshot.last.index;
  Emit(PersistSnapshot{snapshot, snapshot.last, true});
  Emit(RestoreSnapshot{std::move(snapshot)});
  RefreshRole();
}

void Replica::Impl::OnSnapshotReply(TimePoint now, const ReplicaMessage& message,
                                    const SnapshotReply& reply) {
  const auto found = m_progress.find(SenderOf(message));
  if (!IsLeader() || found == m_progress.end()) return;
  MemberProgress& progress = found->second;
  progress.last_heard_at = now;
  progress.acked_round = std::max(progress.acked_round, reply.round);
  if (reply.installed && reply.last.index <= m_log.Last().index) {
    progress.match = std::max(progress.match, reply.last.index);
    progress.next = std::max(progress.next, progress.match + 1);
  }
  if (progress.sending && progress.sending->last == reply.last) {
    if (reply.installed) {
      progress.sending.reset();
      progress.mode = MemberProgress::Mode::kProbe;
      progress.next = progress.match + 1;
      progress.in_flight = 0;
    } else if (reply.received_bytes != progress.sent_offset) {
      progress.sent_offset =
          reply.received_bytes < progress.sending->data->size() ? reply.received_bytes : 0;
      SendPart(now, found->first, progress);
    }
  }
  AdvanceCommit(now);
  if (IsLeader()) ConfirmBarriers();
}

}  // namespace corneltray
