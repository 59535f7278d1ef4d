#ifndef CORNELTRAY_CONSENSUS_IMPL_H_
#define CORNELTRAY_CONSENSUS_IMPL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "consensus_log.h"
#include "corneltray/consensus.h"

namespace corneltray {

// Replication progress of one other member, tracked by the leader.
struct MemberProgress {
  enum class Mode {
    kProbe,      // the last matching position is unknown; one request at a time
    kReplicate,  // requests are pipelined, without waiting for replies
    kSnapshot,   // the entries it needs were compacted; parts are sent one at a time
  };

  Mode mode = Mode::kProbe;
  std::uint64_t match = 0;
  std::uint64_t next = 1;
  std::uint32_t in_flight = 0;  // requests with entries since the last heartbeat
  TimePoint last_heard_at;
  std::uint64_t acked_round = 0;

  std::optional<Snapshot> sending;
  std::uint64_t sending_checksum = 0;
  std::uint64_t sent_offset = 0;
  TimePoint resend_part_at;
};

// The id under which a member set lists the founding disk of a host until it states its identity.
inline ReplicaId FoundingDiskOf(const std::string& host) { return {host, ""}; }

// Implementation of Replica. Its methods are spread over consensus.cc (time, messages, actions),
// consensus_election.cc, consensus_founding.cc, consensus_replication.cc, consensus_snapshot.cc and
// consensus_members.cc.
class Replica::Impl {
 public:
  Impl(ReplicaOptions options, PersistentState recovered, TimePoint now);

  void Tick(TimePoint now);
  TimePoint NextDeadline() const;
  void Step(TimePoint now, const std::string& from_host, const ReplicaMessage& message);
  Result<LogPosition> Propose(TimePoint now, UnixMs timestamp, std::string payload);
  Result<LogPosition> ProposeMembers(TimePoint now, const MemberChange& change);
  void ExcludeFoundingHost(const std::string& host);
  Status ReadBarrier(TimePoint now, std::uint64_t id);
  Status TransferLeadership(TimePoint now);
  void Persisted(TimePoint now, std::uint64_t sequence);
  void StorageFailed(TimePoint now, const Error& error);
  void StorageRecovered(TimePoint now);
  void Compact(std::uint64_t index, std::string data);
  ActionBatch TakeActions();
  ReplicaStatus GetStatus() const;
  std::optional<LogEntry> EntryAt(std::uint64_t index) const;

 private:
  struct PendingBatch {
    std::uint64_t sequence = 0;
    std::uint64_t term = 0;
    std::uint64_t last_index = 0;
  };
  struct Barrier {
    std::uint64_t id = 0;
    std::uint64_t round = 0;
    std::uint64_t index = 0;
  };
  struct Transfer {
    ReplicaId target;
    TimePoint ends_at;
    bool timeout_now_sent = false;
  };
  struct IncomingSnapshot {
    SnapshotPart header;  // without data
    std::string data;
  };

  // consensus.cc
  bool IsLeader() const { return m_role == ReplicaRole::kLeader; }
  // Whether this replica may grant votes: its disk was formatted for a founding host, or its own
  // log lists it as a member.
  bool CanVote() const;
  void Emit(Action action);
  void Send(const ReplicaId& to, MessageBody body, bool after_persist = true);
  void SendWithTerm(const ReplicaId& to, std::uint64_t term, MessageBody body, bool after_persist);
  void EmitHardState();
  void DropMessagesAwaitingPersist();
  void AnnounceRole(RoleReason reason);
  void Dispatch(TimePoint now, const ReplicaMessage& message);
  bool HandleTerm(TimePoint now, const ReplicaMessage& message);
  void ResetElectionDeadline(TimePoint now);
  Error NotLeaderError() const;

  // consensus_election.cc
  bool HasCurrentLeader(TimePoint now) const;
  void BecomeFollower(TimePoint now, std::uint64_t term, std::optional<ReplicaId> leader,
                      RoleReason reason);
  bool MayCampaign() const;
  void Campaign(TimePoint now, bool pre_vote, bool transfer);
  void CountVote(TimePoint now, const ReplicaId& voter);
  void BecomeLeader(TimePoint now);
  // Returns why this replica grants no vote, or nullopt if it grants one.
  std::optional<VoteRefusal> RefusalOf(TimePoint now, const ReplicaMessage& message,
                                       const VoteRequest& request) const;
  void RefuseVote(const ReplicaMessage& message, bool pre_vote, VoteRefusal reason);
  void OnVoteRequest(TimePoint now, const ReplicaMessage& message, const VoteRequest& request);
  void OnVoteReply(TimePoint now, const ReplicaMessage& message, const VoteReply& reply);
  void OnTimeoutNow(TimePoint now, const ReplicaMessage& message);
  void CheckQuorum(TimePoint now);
  void ContinueTransfer(TimePoint now);
  std::optional<ReplicaId> BestSuccessor(TimePoint now) const;

  // consensus_replication.cc
  LogPosition AppendEntry(EntryKind kind, UnixMs timestamp, std::string payload);
  void SendToAll(TimePoint now);
  void SendHeartbeat(TimePoint now, const ReplicaId& to, MemberProgress& progress);
  void SendEntries(TimePoint now, const ReplicaId& to, MemberProgress& progress);
  void OnAppendRequest(TimePoint now, const ReplicaMessage& message, const AppendRequest& request);
  void OnAppendReply(TimePoint now, const ReplicaMessage& message, const AppendReply& reply);
  void OnRejected(MemberProgress& progress, const AppendReply& reply);
  void AdvanceCommit(TimePoint now);
  void CommitTo(std::uint64_t index);
  void ConfirmBarriers();
  // Whether a majority has not yet replied to the heartbeats of the current round.
  bool IsRoundOpen() const { return m_confirmed_round < m_round; }
  bool HasBarrierForNextRound() const;
  void FailBarriers();

  // consensus_snapshot.cc
  void StartSnapshot(TimePoint now, const ReplicaId& to, MemberProgress& progress);
  void SendPart(TimePoint now, const ReplicaId& to, MemberProgress& progress);
  void OnSnapshotPart(TimePoint now, const ReplicaMessage& message, const SnapshotPart& part);
  void OnSnapshotReply(TimePoint now, const ReplicaMessage& message, const SnapshotReply& reply);
  void InstallSnapshot(const SnapshotPart& header, std::string data);

  // consensus_founding.cc
  bool HasFoundingDisk() const { return !m_founding_hosts.empty(); }
  // The voters of the empty log.
  MemberSet InitialMembers() const;
  std::vector<std::string> UnansweredFoundingHosts() const;
  // Whether an id in a message or in a member set stands for this replica.
  bool IsSelf(const ReplicaId& id) const;
  // Returns the id under which the member set lists a replica: its own, or the empty identity if
  // its disk is the founding disk of the host and the set does not state its identity yet.
  ReplicaId MemberIdOf(const ReplicaId& replica, bool has_founding_disk) const;
  // Returns the member that sent a reply, and notes the identity of a founding disk.
  ReplicaId SenderOf(const ReplicaMessage& message);
  bool IsVoter() const;
  std::size_t VotesToWin() const;
  MemberSet WithKnownDisks(const MemberSet& members) const;
  void CreateLog();
  // Proposes a member set with the identities of founding disks that have become known. Returns
  // whether there are any.
  bool RecordFoundingDisks(TimePoint now);

  // consensus_members.cc
  void OnIdentityNotice(const ReplicaMessage& message, const IdentityNotice& notice);
  bool ChangeInProgress() const;
  LogPosition AppendMembers(TimePoint now, const MemberSet& members);
  bool HasCaughtUp(const MemberProgress& progress) const;
  std::size_t ReachableVoters(TimePoint now, const MemberSet& members) const;
  void RefreshProgress(TimePoint now);
  void RefreshRole();
  void MaintainMembers(TimePoint now);
  void StepDownIfRemoved(TimePoint now);

  ReplicaOptions m_options;
  ReplicaId m_self;
  std::vector<std::string> m_founding_hosts;
  std::mt19937_64 m_random;
  HardState m_hard_state;
  ReplicaLog m_log;
  std::optional<Snapshot> m_snapshot;
  std::uint64_t m_commit_index = 0;
  bool m_storage_failed = false;
  std::string m_storage_error;

  ReplicaRole m_role = ReplicaRole::kLearner;
  std::optional<ReplicaId> m_leader;
  TimePoint m_now;
  TimePoint m_election_at;
  TimePoint m_leader_contact_at;
  bool m_has_leader_contact = false;

  // State of a candidate.
  bool m_pre_vote = false;
  std::set<ReplicaId> m_votes;

  // Identities of founding disks that have answered to the empty identity, by host.
  std::map<std::string, ReplicaId> m_founding_disks;

  // State of the leader.
  std::map<ReplicaId, MemberProgress> m_progress;
  TimePoint m_heartbeat_at;
  bool m_heartbeat_due = false;
  std::uint64_t m_term_start_index = 0;
  std::uint64_t m_persisted_index = 0;  // last index of the own log that was synced in this term
  std::uint64_t m_uncommitted_bytes = 0;
  std::uint64_t m_round = 0;            // of heartbeats, for read barriers
  std::uint64_t m_confirmed_round = 0;  // latest one that a majority has replied to
  std::vector<Barrier> m_barriers;
  std::optional<Transfer> m_transfer;
  std::map<ReplicaId, ReplicaId>
      m_replaced_identities;  // lost identity to the current identity of its host

  std::optional<IncomingSnapshot> m_incoming;

  std::uint64_t m_sequence = 0;
  std::deque<PendingBatch> m_pending;
  std::vector<Action> m_actions;
  std::optional<RoleChanged> m_last_announced;
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONSENSUS_IMPL_H_
