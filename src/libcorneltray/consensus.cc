#include "corneltray/consensus.h"

#include <xxhash.h>

#include <algorithm>
#include <type_traits>
#include <utility>

#include "consensus_impl.h"

namespace corneltray {
namespace {

bool IsPersistAction(const Action& action) {
  return std::holds_alternative<PersistHardState>(action) ||
         std::holds_alternative<PersistEntries>(action) ||
         std::holds_alternative<PersistSnapshot>(action);
}

bool WaitsForPersist(const Action& action) {
  const auto* send = std::get_if<SendMessage>(&action);
  return send != nullptr && send->after_persist;
}

std::uint64_t SnapshotIndex(const PersistentState& state) {
  return state.snapshot ? state.snapshot->last.index : 0;
}

MemberSet SnapshotMembers(const PersistentState& state) {
  return state.snapshot ? state.snapshot->members : MemberSet{};
}

// Hosts are often configured with the same seed by mistake; mixing in the identity makes their
// election timeouts differ.
std::uint64_t MixSeed(std::uint64_t seed, const ReplicaId& self) {
  const std::string name = self.host + '/' + self.disk_identity;
  return XXH64(name.data(), name.size(), seed);
}

}  // namespace

Replica::Impl::Impl(ReplicaOptions options, PersistentState recovered, TimePoint now)
    : m_options(options),
      m_self(recovered.self),
      m_founding_hosts(recovered.founding_hosts),
      m_random(MixSeed(options.seed, recovered.self)),
      m_hard_state(recovered.hard_state),
      m_log(recovered.log_base, std::move(recovered.entries), SnapshotIndex(recovered),
            SnapshotMembers(recovered)),
      m_snapshot(recovered.snapshot),
      m_commit_index(SnapshotIndex(recovered)),
      m_now(now) {
  if (m_snapshot) {
    m_log.SetMinTimestamp(m_snapshot->timestamp);
    Emit(RestoreSnapshot{*m_snapshot});
  }
  if (!m_snapshot) m_log.SetInitialMembers(InitialMembers());
  ResetElectionDeadline(now);
  m_role = IsVoter() ? ReplicaRole::kFollower : ReplicaRole::kLearner;
  AnnounceRole(RoleReason::kStart);
}

bool Replica::Impl::CanVote() const {
  return HasFoundingDisk() || m_log.Members().members.count(m_self) > 0;
}

void Replica::Impl::Emit(Action action) { m_actions.push_back(std::move(action)); }

void Replica::Impl::Send(const ReplicaId& to, MessageBody body, bool after_persist) {
  SendWithTerm(to, m_hard_state.term, std::move(body), after_persist);
}

void Replica::Impl::SendWithTerm(const ReplicaId& to, std::uint64_t term, MessageBody body,
                                 bool after_persist) {
  Emit(SendMessage{{m_self, to, term, std::move(body), HasFoundingDisk()}, after_persist});
}

void Replica::Impl::EmitHardState() { Emit(PersistHardState{m_hard_state}); }

void Replica::Impl::AnnounceRole(RoleReason reason) {
  RoleChanged changed{m_role, reason, m_hard_state.term, m_leader};
  if (m_last_announced && m_last_announced->role == changed.role &&
      m_last_announced->leader == changed.leader && m_last_announced->term == changed.term) {
    return;
  }
  m_last_announced = changed;
  Emit(changed);
}

void Replica::Impl::ResetElectionDeadline(TimePoint now) {
  std::uniform_int_distribution<Duration::rep> timeout(m_options.election_timeout_min.count(),
                                                       m_options.election_timeout_max.count());
  m_election_at = now + Duration(timeout(m_random));
}

Error Replica::Impl::NotLeaderError() const {
  return {ConsensusErrc::kNotLeader, m_leader ? m_leader->host : ""};
}

void Replica::Impl::Tick(TimePoint now) {
  m_now = now;
  if (m_storage_failed) return;
  if (IsLeader()) {
    CheckQuorum(now);
    if (!IsLeader()) return;
    if (m_transfer && now >= m_transfer->ends_at) m_transfer.reset();
    MaintainMembers(now);
    if (now >= m_heartbeat_at) m_heartbeat_due = true;
    return;
  }
  if (now < m_election_at) return;
  if (MayCampaign()) {
    Campaign(now, true, false);
  } else {
    ResetElectionDeadline(now);
  }
}

TimePoint Replica::Impl::NextDeadline() const {
  if (m_storage_failed) return m_now + m_options.election_timeout_max;
  if (IsLeader()) return m_heartbeat_at;
  return m_election_at;
}

void Replica::Impl::Step(TimePoint now, const std::string& from_host,
                         const ReplicaMessage& message) {
  m_now = now;
  if (message.from.host != from_host || message.to.host != m_self.host || message.from == m_self) {
    return;
  }
  if (!IsSelf(message.to)) {
    // A new disk must not vote or acknowledge in place of a lost one. The leader is notified, so
    // that it replaces the member.
    if (std::holds_alternative<AppendRequest>(message.body) ||
        std::holds_alternative<SnapshotPart>(message.body)) {
      SendWithTerm(message.from, message.term, IdentityNotice{message.to}, true);
    }
    if (const auto* request = std::get_if<VoteRequest>(&message.body)) {
      RefuseVote(message, request->pre_vote, VoteRefusal::kOtherDisk);
    }
    return;
  }
  if (const auto* notice = std::get_if<IdentityNotice>(&message.body)) {
    OnIdentityNotice(message, *notice);
    MaintainMembers(now);
    return;
  }
  if (HandleTerm(now, message)) Dispatch(now, message);
  if (IsLeader()) MaintainMembers(now);
}

// Adopts a newer term and rejects an older one. Returns whether the message is to be handled.
bool Replica::Impl::HandleTerm(TimePoint now, const ReplicaMessage& message) {
  const auto* request = std::get_if<VoteRequest>(&message.body);
  const auto* reply = std::get_if<VoteReply>(&message.body);
  const bool from_leader = std::holds_alternative<AppendRequest>(message.body) ||
                           std::holds_alternative<SnapshotPart>(message.body);
  if (message.term > m_hard_state.term) {
    if (request != nullptr && request->pre_vote) return true;
    if (reply != nullptr && reply->pre_vote && reply->granted) return true;
    // Ignoring this request keeps a candidate that lost contact with the leader from deposing it.
    if (request != nullptr && !request->transfer && HasCurrentLeader(now)) {
      RefuseVote(message, request->pre_vote, VoteRefusal::kLeaderKnown);
      return false;
    }
    BecomeFollower(now, message.term,
                   from_leader ? std::optional<ReplicaId>(message.from) : std::nullopt,
                   RoleReason::kNewerTerm);
    return true;
  }
  if (message.term < m_hard_state.term) {
    // The reply carries the newer term, so that a leader or candidate of an old term steps down.
    if (from_leader) Send(message.from, AppendReply{});
    if (request != nullptr) {
      RefuseVote(message, request->pre_vote, VoteRefusal::kOldTerm);
      Send(message.from, VoteReply{request->pre_vote, false});
    }
    return false;
  }
  return true;
}

void Replica::Impl::Dispatch(TimePoint now, const ReplicaMessage& message) {
  std::visit(
      [&](const auto& body) {
        using Body = std::decay_t<decltype(body)>;
        if constexpr (std::is_same_v<Body, VoteRequest>) OnVoteRequest(now, message, body);
        if constexpr (std::is_same_v<Body, VoteReply>) OnVoteReply(now, message, body);
        if constexpr (std::is_same_v<Body, AppendRequest>) OnAppendRequest(now, message, body);
        if constexpr (std::is_same_v<Body, AppendReply>) OnAppendReply(now, message, body);
        if constexpr (std::is_same_v<Body, SnapshotPart>) OnSnapshotPart(now, message, body);
        if constexpr (std::is_same_v<Body, SnapshotReply>) OnSnapshotReply(now, message, body);
        if constexpr (std::is_same_v<Body, TimeoutNow>) OnTimeoutNow(now, message);
      },
      message.body);
}

void Replica::Impl::Persisted(TimePoint now, std::uint64_t sequence) {
  m_now = now;
  std::optional<PendingBatch> last;
  while (!m_pending.empty() && m_pending.front().sequence <= sequence) {
    last = m_pending.front();
    m_pending.pop_front();
  }
  if (!last || last->term != m_hard_state.term) return;
  if (m_role == ReplicaRole::kCandidate && !m_pre_vote && m_hard_state.voted_for == m_self) {
    CountVote(now, MemberIdOf(m_self, HasFoundingDisk()));
  } else if (IsLeader()) {
    m_persisted_index = std::max(m_persisted_index, last->last_index);
    AdvanceCommit(now);
    if (IsLeader()) MaintainMembers(now);
  }
}

void Replica::Impl::StorageFailed(TimePoint now, const Error& error) {
  m_now = now;
  if (m_storage_failed) return;
  m_storage_failed = true;
  m_storage_error = error.ToString();
  if (IsLeader()) {
    if (const auto successor = BestSuccessor(now)) Send(*successor, TimeoutNow{}, false);
    FailBarriers();
  }
  m_transfer.reset();
  m_heartbeat_due = false;
  m_votes.clear();
  m_pre_vote = false;
  m_role = IsVoter() ? ReplicaRole::kFollower : ReplicaRole::kLearner;
  m_leader.reset();
  AnnounceRole(RoleReason::kStorageFailed);
}

void Replica::Impl::StorageRecovered(TimePoint now) {
  m_now = now;
  if (!std::exchange(m_storage_failed, false)) return;
  m_storage_error.clear();
  ResetElectionDeadline(now);
}

// A lost message is harmless, because its receiver asks again. Keeping it would not be: by the time
// that the disk accepts writes again, there may be as many as the failure was long.
void Replica::Impl::DropMessagesAwaitingPersist() {
  m_actions.erase(std::remove_if(m_actions.begin(), m_actions.end(), WaitsForPersist),
                  m_actions.end());
}

ActionBatch Replica::Impl::TakeActions() {
  if (IsLeader()) SendToAll(m_now);
  if (m_storage_failed) DropMessagesAwaitingPersist();
  ActionBatch batch;
  batch.sequence = ++m_sequence;
  batch.actions = std::move(m_actions);
  m_actions.clear();
  batch.needs_sync = std::any_of(batch.actions.begin(), batch.actions.end(), IsPersistAction);
  if (batch.needs_sync) m_pending.push_back({m_sequence, m_hard_state.term, m_log.Last().index});
  return batch;
}

ReplicaStatus Replica::Impl::GetStatus() const {
  ReplicaStatus status;
  status.self = m_self;
  status.role = m_role;
  status.term = m_hard_state.term;
  status.leader = m_leader;
  status.last = m_log.Last();
  status.commit_index = m_commit_index;
  status.snapshot_index = m_snapshot ? m_snapshot->last.index : 0;
  status.members = m_log.Members();
  status.accepts_proposals = IsLeader() && !m_transfer;
  status.storage_failed = m_storage_failed;
  status.unanswered_founding_hosts = UnansweredFoundingHosts();
  if (IsLeader()) {
    for (const auto& [id, progress] : m_progress) status.match_index[id] = progress.match;
  }
  return status;
}

std::optional<LogEntry> Replica::Impl::EntryAt(std::uint64_t index) const {
  if (index <= m_log.Base().index || index > m_log.Last().index) return std::nullopt;
  return m_log.At(index);
}

Replica::Replica(ReplicaOptions options, PersistentState recovered, TimePoint now)
    : m_impl(std::make_unique<Impl>(options, std::move(recovered), now)) {}
Replica::~Replica() = default;
void Replica::Tick(TimePoint now) { m_impl->Tick(now); }
TimePoint Replica::NextDeadline() const { return m_impl->NextDeadline(); }
void Replica::Step(TimePoint now, const std::string& from_host, const ReplicaMessage& message) {
  m_impl->Step(now, from_host, message);
}
Result<LogPosition> Replica::Propose(TimePoint now, UnixMs timestamp, std::string payload) {
  return m_impl->Propose(now, timestamp, std::move(payload));
}
Result<LogPosition> Replica::ProposeMembers(TimePoint now, const MemberChange& change) {
  return m_impl->ProposeMembers(now, change);
}
void Replica::ExcludeFoundingHost(const std::string& host) { m_impl->ExcludeFoundingHost(host); }
Status Replica::ReadBarrier(TimePoint now, std::uint64_t id) {
  return m_impl->ReadBarrier(now, id);
}
Status Replica::TransferLeadership(TimePoint now) { return m_impl->TransferLeadership(now); }
void Replica::Persisted(TimePoint now, std::uint64_t sequence) { m_impl->Persisted(now, sequence); }
void Replica::StorageFailed(TimePoint now, const Error& error) {
  m_impl->StorageFailed(now, error);
}
void Replica::StorageRecovered(TimePoint now) { m_impl->StorageRecovered(now); }
void Replica::Compact(std::uint64_t index, std::string data) {
  m_impl->Compact(index, std::move(data));
}
ActionBatch Replica::TakeActions() { return m_impl->TakeActions(); }
ReplicaStatus Replica::GetStatus() const { return m_impl->GetStatus(); }
std::optional<LogEntry> Replica::EntryAt(std::uint64_t index) const {
  return m_impl->EntryAt(index);
}

}  // namespace corneltray
