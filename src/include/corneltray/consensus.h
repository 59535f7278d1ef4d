#ifndef CORNELTRAY_CONSENSUS_H_
#define CORNELTRAY_CONSENSUS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <system_error>
#include <variant>
#include <vector>

#include "corneltray/enum_names.h"
#include "corneltray/result.h"
#include "corneltray/time.h"

namespace corneltray {

enum class ConsensusErrc {
  kNotLeader = 1,       // the detail names the leader's host, or is empty if none is known
  kTransferring,        // leadership transfer in progress; retry at the new leader
  kChangeInProgress,    // an earlier member change is not committed yet
  kInvalidChange,       // the member change does not apply to the current members
  kPayloadTooLarge,     // over kMaxEntryBytes
  kTooManyUncommitted,  // over ReplicaOptions::max_uncommitted_bytes
  kStorageFailed,       // a write to the data folder failed; the detail is the storage error
  kMalformedMessage,
};

std::error_code make_error_code(ConsensusErrc errc);

// Largest payload of one log entry and largest part of a snapshot. A peer frame is limited to
// 1 MiB, so a message with one such payload fits with room for its envelope.
constexpr std::size_t kMaxEntryBytes = std::size_t{512} * 1024;
constexpr std::size_t kSnapshotPartBytes = std::size_t{512} * 1024;

// Identifies one replica. The disk identity is random and stored when the data folder is created.
// A host that lost its disk returns with another ReplicaId and cannot vote without the lost state.
// An empty disk identity stands for the disk of a founding host until the member set states it.
struct ReplicaId {
  std::string host;
  std::string disk_identity;

  bool operator==(const ReplicaId& other) const;
  bool operator!=(const ReplicaId& other) const { return !(*this == other); }
  bool operator<(const ReplicaId& other) const;
};

enum class MemberRole {
  kVoter,
  kLearner,  // receives the log, but neither votes nor counts towards a commit
  kJoining,  // learner that replaces a lost voter; the leader promotes it when it has caught up
};

template <>
struct EnumNames<MemberRole> {
  static constexpr EnumName<MemberRole> kTable[] = {
      {MemberRole::kVoter, "voter"},
      {MemberRole::kLearner, "learner"},
      {MemberRole::kJoining, "joining"},
  };
};

// Members of the group. A replica uses the last set in its log, whether committed or not.
struct MemberSet {
  std::map<ReplicaId, MemberRole> members;

  bool IsVoter(const ReplicaId& id) const;
  std::size_t VoterCount() const;
  // Number of voters that form a majority.
  std::size_t Quorum() const { return VoterCount() / 2 + 1; }
  // Returns the member that runs on a host, if any.
  std::optional<ReplicaId> FindByHost(const std::string& host) const;
  bool operator==(const MemberSet& other) const { return members == other.members; }
};

enum class MemberChangeKind { kAddLearner, kPromote, kRemove };

template <>
struct EnumNames<MemberChangeKind> {
  static constexpr EnumName<MemberChangeKind> kTable[] = {
      {MemberChangeKind::kAddLearner, "add_learner"},
      {MemberChangeKind::kPromote, "promote"},
      {MemberChangeKind::kRemove, "remove"},
  };
};

struct MemberChange {
  MemberChangeKind kind = MemberChangeKind::kAddLearner;
  ReplicaId replica;
};

enum class EntryKind {
  kNoop,     // first entry of a leader's term
  kCommand,  // payload given to Propose
  kMembers,  // payload is an encoded MemberSet
};

template <>
struct EnumNames<EntryKind> {
  static constexpr EnumName<EntryKind> kTable[] = {
      {EntryKind::kNoop, "noop"},
      {EntryKind::kCommand, "command"},
      {EntryKind::kMembers, "members"},
  };
};

// One entry of the replicated log. Indexes start at 1; index 0 stands for an empty log.
struct LogEntry {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  EntryKind kind = EntryKind::kNoop;
  UnixMs timestamp = 0;  // passed by the leader's caller; never decreases along the log
  std::string payload;

  bool operator==(const LogEntry& other) const;
};

// Position of an entry in the log. A proposal is committed if and only if the entry applied at its
// `index` has the same term.
struct LogPosition {
  std::uint64_t index = 0;
  std::uint64_t term = 0;

  bool operator==(const LogPosition& o) const { return index == o.index && term == o.term; }
  bool operator<(const LogPosition& o) const {
    return index < o.index || (index == o.index && term < o.term);
  }
};

struct HardState {
  std::uint64_t term = 0;
  std::optional<ReplicaId> voted_for;

  bool operator==(const HardState& o) const { return term == o.term && voted_for == o.voted_for; }
};

// State of the state machine after it has applied all entries up to `last`.
struct Snapshot {
  LogPosition last;
  UnixMs timestamp = 0;  // of the last entry
  MemberSet members;
  std::shared_ptr<const std::string> data;
};

// State of a replica that is stored on disk.
struct PersistentState {
  ReplicaId self;
  // The initial voters of the log, as passed to LogStorage::Format. Empty if the folder was created
  // by a start without Format: the replica is then a learner until the leader promotes it.
  std::vector<std::string> founding_hosts;
  HardState hard_state;
  std::optional<Snapshot> snapshot;
  // Position before the first of `entries`; may precede the snapshot.
  LogPosition log_base;
  std::vector<LogEntry> entries;
};

// --- Messages between replicas -------------------------------------------------------------------

struct VoteRequest {
  bool pre_vote = false;
  bool transfer = false;  // requested by the old leader; voters need not wait for its timeout
  LogPosition last;
};
struct VoteReply {
  bool pre_vote = false;
  bool granted = false;
};

struct AppendRequest {
  LogPosition previous;
  std::vector<LogEntry> entries;
  std::uint64_t commit_index = 0;
  std::uint64_t round = 0;  // read barrier round, echoed in the reply
};
struct AppendReply {
  bool accepted = false;
  std::uint64_t match_index = 0;  // accepted: last index known to match the leader's log
  std::uint64_t rejected_previous = 0;
  LogPosition hint;  // rejected: latest position at which the logs may match
  std::uint64_t round = 0;
};

struct SnapshotPart {
  LogPosition last;
  UnixMs timestamp = 0;
  MemberSet members;
  std::uint64_t offset = 0;
  std::uint64_t total_bytes = 0;
  std::uint64_t checksum = 0;  // xxh64 of the whole data
  std::string data;
  std::uint64_t round = 0;
};
struct SnapshotReply {
  LogPosition last;
  std::uint64_t received_bytes = 0;
  bool installed = false;
  std::uint64_t round = 0;
};

// Tells a voter to start an election immediately, because the leader steps down.
struct TimeoutNow {};

// Reply to a leader whose message is addressed to another disk identity of this host.
struct IdentityNotice {
  ReplicaId addressed;
};

using MessageBody = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotPart,
                                 SnapshotReply, TimeoutNow, IdentityNotice>;

// Message between two replicas, sent to the host `to.host`.
struct ReplicaMessage {
  ReplicaId from;
  ReplicaId to;
  std::uint64_t term = 0;
  MessageBody body;
  bool from_founding_disk = false;  // the sender's folder was formatted for the first start
};

// Wire formats: a JSON value for the body of a peer message, with binary values that become CBOR
// byte strings, or encoded CBOR. Decoding fails with kMalformedMessage.
nlohmann::json ReplicaMessageToJson(const ReplicaMessage& message);
Result<ReplicaMessage> ReplicaMessageFromJson(const nlohmann::json& value);
std::string EncodeReplicaMessage(const ReplicaMessage& message);
Result<ReplicaMessage> DecodeReplicaMessage(const std::string& bytes);

std::string EncodeMemberSet(const MemberSet& members);
Result<MemberSet> DecodeMemberSet(const std::string& bytes);

// --- Actions -------------------------------------------------------------------------------------

struct PersistHardState {
  HardState hard_state;
};
// Appends entries after removing all stored entries at or after the first index.
struct PersistEntries {
  std::vector<LogEntry> entries;
};
// Saves a snapshot, then keeps only the log entries after `keep_after`. With `reset_log` the log
// does not match the snapshot: all its entries are removed and it starts empty after the snapshot.
struct PersistSnapshot {
  Snapshot snapshot;
  LogPosition keep_after;
  bool reset_log = false;
};
struct SendMessage {
  ReplicaMessage message;
  // If true, the message may be sent only after every persist action before it, in this and in
  // earlier batches, is on disk.
  bool after_persist = true;
};
// Committed entries in log order, each exactly once between two starts or snapshot restores.
struct ApplyEntries {
  std::vector<LogEntry> entries;
};
// Replaces the content of the state machine with a snapshot.
struct RestoreSnapshot {
  Snapshot snapshot;
};
// Every entry committed before the call of ReadBarrier has been emitted in ApplyEntries. Reads from
// a state machine that has applied `index` are linearizable.
struct ReadBarrierConfirmed {
  std::uint64_t id = 0;
  std::uint64_t index = 0;
};
// Leadership was lost before the barrier was confirmed; retry at the new leader.
struct ReadBarrierFailed {
  std::uint64_t id = 0;
};

enum class ReplicaRole { kLearner, kFollower, kCandidate, kLeader };

template <>
struct EnumNames<ReplicaRole> {
  static constexpr EnumName<ReplicaRole> kTable[] = {
      {ReplicaRole::kLearner, "learner"},
      {ReplicaRole::kFollower, "follower"},
      {ReplicaRole::kCandidate, "candidate"},
      {ReplicaRole::kLeader, "leader"},
  };
};

enum class RoleReason {
  kStart,
  kElectionTimeout,
  kElected,
  kNewerTerm,
  kQuorumLost,  // check-quorum: no reply from a majority for one election timeout
  kTransferred,
  kRemoved,
  kStorageFailed,
  kMembersChanged,
};

template <>
struct EnumNames<RoleReason> {
  static constexpr EnumName<RoleReason> kTable[] = {
      {RoleReason::kStart, "start"},
      {RoleReason::kElectionTimeout, "election_timeout"},
      {RoleReason::kElected, "elected"},
      {RoleReason::kNewerTerm, "newer_term"},
      {RoleReason::kQuorumLost, "quorum_lost"},
      {RoleReason::kTransferred, "transferred"},
      {RoleReason::kRemoved, "removed"},
      {RoleReason::kStorageFailed, "storage_failed"},
      {RoleReason::kMembersChanged, "members_changed"},
  };
};

struct RoleChanged {
  ReplicaRole role = ReplicaRole::kFollower;
  RoleReason reason = RoleReason::kStart;
  std::uint64_t term = 0;
  std::optional<ReplicaId> leader;
};

enum class VoteRefusal {
  kNotAMember,    // this disk was not formatted for the first start, and its log does not list it
  kOtherDisk,     // the request is addressed to another disk of this host
  kOldTerm,       // this replica is in a newer term
  kVotedAlready,  // for another candidate of the term
  kLeaderKnown,   // this replica hears from a leader
  kLogBehind,     // the log of the candidate lacks entries that this replica holds
};

template <>
struct EnumNames<VoteRefusal> {
  static constexpr EnumName<VoteRefusal> kTable[] = {
      {VoteRefusal::kNotAMember, "not_a_member"},  {VoteRefusal::kOtherDisk, "other_disk"},
      {VoteRefusal::kOldTerm, "old_term"},         {VoteRefusal::kVotedAlready, "voted_already"},
      {VoteRefusal::kLeaderKnown, "leader_known"}, {VoteRefusal::kLogBehind, "log_behind"},
  };
};

// This replica granted no vote. Emitted for the log of the process only.
struct VoteRefused {
  ReplicaId candidate;
  std::uint64_t term = 0;  // that the candidate stands for
  bool pre_vote = false;
  VoteRefusal reason = VoteRefusal::kNotAMember;
};

using Action = std::variant<PersistHardState, PersistEntries, PersistSnapshot, SendMessage,
                            ApplyEntries, RestoreSnapshot, ReadBarrierConfirmed, ReadBarrierFailed,
                            RoleChanged, VoteRefused>;

// Actions, to be executed in order.
struct ActionBatch {
  std::uint64_t sequence = 0;
  // The batch has persist actions; call Replica::Persisted(sequence) once they are synced.
  bool needs_sync = false;
  std::vector<Action> actions;
};

// --- Replica -------------------------------------------------------------------------------------

// Founding hosts whose vote the first leader needs, which creates the log.
enum class FoundingQuorum {
  // Tolerates that a host is formatted a second time after the loss of its disk.
  kAll,
  // Tolerates the loss of a minority. Requires that each host is formatted at most once.
  kMajority,
};

struct ReplicaOptions {
  Duration election_timeout_min = std::chrono::milliseconds(600);
  Duration election_timeout_max = std::chrono::milliseconds(1200);
  // Two heartbeats fit in the shortest election timeout, so one lost heartbeat starts no election.
  // Idle heartbeats account for most of the traffic that a control host sends.
  Duration heartbeat_interval = std::chrono::milliseconds(250);
  std::uint64_t seed = 0;  // randomizes the election timeouts; differs between hosts
  // Proposals beyond this total fail. Bounds memory while a majority is unreachable.
  std::size_t max_uncommitted_bytes = std::size_t{16} * 1024 * 1024;
  // Maximum total size of the entries in one message; at least one entry is sent.
  std::size_t max_append_bytes = kMaxEntryBytes;
  // Entries kept before a snapshot, so that a follower slightly behind needs no snapshot.
  std::uint64_t trailing_entries = 1024;
  // A joining learner is promoted when it lacks at most this many entries.
  std::uint64_t max_promotion_lag = 64;
  FoundingQuorum founding_quorum = FoundingQuorum::kAll;
};

struct ReplicaStatus {
  ReplicaId self;
  ReplicaRole role = ReplicaRole::kFollower;
  std::uint64_t term = 0;
  std::optional<ReplicaId> leader;
  LogPosition last;
  std::uint64_t commit_index = 0;
  std::uint64_t snapshot_index = 0;
  MemberSet members;
  bool accepts_proposals = false;
  bool storage_failed = false;
  // While the log is empty: the founding hosts that have granted no vote to this replica since its
  // start, also because it has not campaigned.
  std::vector<std::string> unanswered_founding_hosts;
  // Leader only: last index acknowledged by each other member.
  std::map<ReplicaId, std::uint64_t> match_index;
};

// One replica of the replicated log, without I/O. The caller passes in time, messages and disk
// results, and executes the actions from TakeActions after each call. Not thread-safe.
class Replica {
 public:
  Replica(ReplicaOptions options, PersistentState recovered, TimePoint now);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  // Runs the timers that are due. Call it at NextDeadline; it is harmless at any other time.
  void Tick(TimePoint now);
  TimePoint NextDeadline() const;

  // Handles one message. `from_host` is the authenticated sender; a message with another sender or
  // another receiver in its envelope is dropped.
  void Step(TimePoint now, const std::string& from_host, const ReplicaMessage& message);

  // Appends a command at the leader. `timestamp` is the leader's wall clock; the entry gets the
  // greater of it and the last timestamp in the log. On an error nothing was appended.
  Result<LogPosition> Propose(TimePoint now, UnixMs timestamp, std::string payload);

  // Appends one member change at the leader. Fails with kChangeInProgress until the previous change
  // and the first entry of the leader's term are committed.
  Result<LogPosition> ProposeMembers(TimePoint now, const MemberChange& change);
  // Removes a founding host that runs no replica, so that the others create the log without it. No
  // effect once the log has an entry.
  void ExcludeFoundingHost(const std::string& host);

  // Requests a linearizable read point. Completes with ReadBarrierConfirmed or ReadBarrierFailed
  // for this id; after an error neither follows.
  Status ReadBarrier(TimePoint now, std::uint64_t id);

  // Transfers leadership to the reachable voter with the longest log. Proposals fail meanwhile; if
  // it does not take over within one election timeout, this replica stays the leader. Fails with
  // kNotLeader, or with kInvalidChange when no other voter is reachable.
  Status TransferLeadership(TimePoint now);

  // Reports that the persist actions of this and all earlier batches are on disk.
  void Persisted(TimePoint now, std::uint64_t sequence);

  // Reports a failed write. The replica steps down. Until StorageRecovered it follows the log, but
  // does not campaign and sends no message that depends on the disk: neither votes nor
  // acknowledgements. The caller keeps all persist actions, including those that follow, in order.
  void StorageFailed(TimePoint now, const Error& error);
  // Reports that the disk accepts writes again and that all persist actions up to the last call of
  // Persisted are on it.
  void StorageRecovered(TimePoint now);

  // Stores a snapshot of the state machine after it has applied everything up to `index`. Older
  // entries beyond `trailing_entries` are dropped. Ignored unless `index` is applied and newer than
  // the last snapshot.
  void Compact(std::uint64_t index, std::string data);

  // Returns and clears the actions since the last call. The first call after construction returns
  // the recovered snapshot as RestoreSnapshot, if there is one.
  ActionBatch TakeActions();

  ReplicaStatus GetStatus() const;

  // Returns an entry that this replica holds; nullopt outside (base, last]. For tests and tools.
  std::optional<LogEntry> EntryAt(std::uint64_t index) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::ConsensusErrc> : std::true_type {};

#endif  // CORNELTRAY_CONSENSUS_H_
