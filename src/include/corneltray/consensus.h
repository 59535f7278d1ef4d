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
  kTransferring,        // leadership is being handed over; retry at the next leader
  kChangeInProgress,    // an earlier member change is not committed yet
  kInvalidChange,       // the member change does not apply to the current members
  kPayloadTooLarge,     // over kMaxEntryBytes
  kTooManyUncommitted,  // over ReplicaOptions::max_uncommitted_bytes
  kStorageFailed,       // the disk refused a write; the detail is the storage error
  kMalformedMessage,
};

std::error_code make_error_code(ConsensusErrc errc);

// Largest payload of one log entry and largest part of a snapshot. A peer frame is limited to
// 1 MiB, so a message with one such payload fits with room for its envelope.
constexpr std::size_t kMaxEntryBytes = std::size_t{512} * 1024;
constexpr std::size_t kSnapshotPartBytes = std::size_t{512} * 1024;

// Names one replica. The disk identity is random and written when the data folder is created, so a
// host that lost its disk comes back under another ReplicaId and cannot vote on state it has lost.
struct ReplicaId {
  std::string host;
  std::string disk_identity;

  bool operator==(const ReplicaId& other) const;
  bool operator!=(const ReplicaId& other) const { return !(*this == other); }
  bool operator<(const ReplicaId& other) const;
};

enum class MemberRole {
  kVoter,
  kLearner,  // receives the log, neither votes nor counts for commits
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

// The current members. A change is in force at a replica from the moment it is in its log.
struct MemberSet {
  std::map<ReplicaId, MemberRole> members;

  bool IsVoter(const ReplicaId& id) const;
  std::size_t VoterCount() const;
  // Number of voters that form a majority.
  std::size_t Quorum() const { return VoterCount() / 2 + 1; }
  // Returns the member of this host, or nothing.
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
  kNoop,     // first record of a leader's term
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

// One record of the replicated log. Index 0 is the empty log.
struct LogEntry {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  EntryKind kind = EntryKind::kNoop;
  UnixMs timestamp = 0;  // given by the leader's caller; never decreases along the log
  std::string payload;

  bool operator==(const LogEntry& other) const;
};

// Where a proposal was put. The proposal is committed if and only if the entry applied at `index`
// has this term.
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

// State of the machine after all entries up to `last`.
struct Snapshot {
  LogPosition last;
  UnixMs timestamp = 0;  // of the last entry
  MemberSet members;
  std::shared_ptr<const std::string> data;
};

// What a replica has on its disk.
struct PersistentState {
  ReplicaId self;
  // Hosts of the first start, as given to LogStorage::Format. Empty in a folder that was created by
  // a start without a format: such a replica is a learner until the leader makes it a voter.
  std::vector<std::string> founding_hosts;
  HardState hard_state;
  std::optional<Snapshot> snapshot;
  // Entry before the first of `entries`; may be older than the snapshot.
  LogPosition log_base;
  std::vector<LogEntry> entries;
};

// --- Messages between replicas -------------------------------------------------------------------

// The founder (lowest name of the founding hosts) asks every founding host for its disk identity.
// A reply is a durable vote for this founder in term 1, so two founders can never both succeed.
struct FoundingRequest {};
struct FoundingReply {
  bool granted = false;
};

struct VoteRequest {
  bool pre_vote = false;
  bool transfer = false;  // asked by the old leader, so voters do not wait for it to time out
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
  std::uint64_t match_index = 0;  // accepted: last index known to equal the leader's log
  std::uint64_t rejected_previous = 0;
  LogPosition hint;  // rejected: latest position at which the logs may agree
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

// Tells a voter to start an election at once, because the leader gives up.
struct TimeoutNow {};

// Answer to a leader that addressed another disk identity of this host.
struct IdentityNotice {
  ReplicaId addressed;
};

using MessageBody =
    std::variant<FoundingRequest, FoundingReply, VoteRequest, VoteReply, AppendRequest, AppendReply,
                 SnapshotPart, SnapshotReply, TimeoutNow, IdentityNotice>;

// One message of the replicated log. Sent to the host `to.host`.
struct ReplicaMessage {
  ReplicaId from;
  ReplicaId to;  // an empty identity addresses whatever disk the host has (FoundingRequest only)
  std::uint64_t term = 0;
  MessageBody body;
};

// The wire form: a JSON value for a peer message body, whose binary values travel as CBOR byte
// strings, or CBOR bytes. Decoding fails with kMalformedMessage.
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
// Appends entries; any entry already on disk at or after the first index is dropped before.
struct PersistEntries {
  std::vector<LogEntry> entries;
};
// Saves a snapshot, then keeps only the log entries after `keep_after`. With `reset_log` the log
// holds nothing that fits the snapshot and starts empty after it.
struct PersistSnapshot {
  Snapshot snapshot;
  LogPosition keep_after;
  bool reset_log = false;
};
struct SendMessage {
  ReplicaMessage message;
  // True: may leave this host only after every persist action before it, in this and in earlier
  // batches, is on disk.
  bool after_persist = true;
};
// Committed entries in log order, each exactly once between two starts or snapshot restores.
struct ApplyEntries {
  std::vector<LogEntry> entries;
};
// The state machine is replaced by this snapshot.
struct RestoreSnapshot {
  Snapshot snapshot;
};
// The barrier is passed: every entry committed before the call has been handed out in ApplyEntries.
// A state machine that has applied `index` gives a linearizable read.
struct ReadBarrierConfirmed {
  std::uint64_t id = 0;
  std::uint64_t index = 0;
};
// Leadership was lost before the barrier was confirmed; ask again at the new leader.
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
  kQuorumLost,  // check-quorum: no majority heard for one election timeout
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

using Action =
    std::variant<PersistHardState, PersistEntries, PersistSnapshot, SendMessage, ApplyEntries,
                 RestoreSnapshot, ReadBarrierConfirmed, ReadBarrierFailed, RoleChanged>;

// Actions in the order in which they are to be executed.
struct ActionBatch {
  std::uint64_t sequence = 0;
  // The batch has persist actions: Replica::Persisted(sequence) is called once they are synced.
  bool needs_sync = false;
  std::vector<Action> actions;
};

// --- Replica -------------------------------------------------------------------------------------

struct ReplicaOptions {
  Duration election_timeout_min = std::chrono::milliseconds(600);
  Duration election_timeout_max = std::chrono::milliseconds(1200);
  // Two heartbeats fit in the shortest election timeout, so one lost heartbeat starts no election.
  // Idle heartbeats are most of what a control host sends.
  Duration heartbeat_interval = std::chrono::milliseconds(250);
  std::uint64_t seed = 0;  // of the election timeouts; differs between hosts
  // Proposals over this size in total wait for a commit. Bounds memory while a majority is away.
  std::size_t max_uncommitted_bytes = std::size_t{16} * 1024 * 1024;
  // Entries sent in one message, by size; at least one entry is sent.
  std::size_t max_append_bytes = kMaxEntryBytes;
  // Entries kept before a snapshot, so that a follower that is a little behind needs no snapshot.
  std::uint64_t trailing_entries = 1024;
  // A joining learner is promoted when it lacks at most this many entries.
  std::uint64_t max_promotion_lag = 64;
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
  // Leader only: last index acknowledged by each other member.
  std::map<ReplicaId, std::uint64_t> match_index;
};

// One replica of the replicated log, without I/O. The caller feeds it time, messages and disk
// results, and executes the actions of TakeActions after each call. Not thread-safe.
class Replica {
 public:
  Replica(ReplicaOptions options, PersistentState recovered, TimePoint now);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  // Runs what is due. To be called at NextDeadline, and harmless at any other time.
  void Tick(TimePoint now);
  TimePoint NextDeadline() const;

  // Takes one message. `from_host` is the authenticated sender; a message that names another sender
  // or another receiver is dropped.
  void Step(TimePoint now, const std::string& from_host, const ReplicaMessage& message);

  // Appends a command at the leader. `timestamp` is the leader's wall clock; the entry gets the
  // greater of it and the last timestamp in the log. On an error nothing was appended.
  Result<LogPosition> Propose(TimePoint now, UnixMs timestamp, std::string payload);

  // Appends one member change at the leader. Fails with kChangeInProgress until the previous change
  // and the first record of the leader's term are committed.
  Result<LogPosition> ProposeMembers(TimePoint now, const MemberChange& change);
  // A host of the first start is known to run no replica; the others found the log without it. Each
  // of them has to learn it before it grants its vote. No effect once the log has a record.
  void ExcludeFoundingHost(const std::string& host);

  // Asks for a linearizable read point. Ends with ReadBarrierConfirmed or ReadBarrierFailed for
  // this id; on an error neither follows.
  Status ReadBarrier(TimePoint now, std::uint64_t id);

  // Hands leadership to the voter with the longest log. Proposals are refused meanwhile; if it does
  // not take over within one election timeout this replica leads on. Fails with kNotLeader, or with
  // kInvalidChange when there is no other voter.
  Status TransferLeadership(TimePoint now);

  // The persist actions of this and all earlier batches are on disk.
  void Persisted(TimePoint now, std::uint64_t sequence);

  // The disk refused a write. The replica gives up leadership, and from then on neither votes nor
  // acknowledges. It recovers only through a restart from the disk.
  void StorageFailed(TimePoint now, const Error& error);

  // The state machine has applied everything up to `index` and gives its snapshot. Older entries
  // beyond `trailing_entries` are dropped. Ignored unless `index` is applied and newer than the
  // last snapshot.
  void Compact(std::uint64_t index, std::string data);

  // Returns the actions since the last call and removes them. Right after construction they hold
  // the recovered snapshot as RestoreSnapshot, if there is one.
  ActionBatch TakeActions();

  ReplicaStatus GetStatus() const;

  // The entries this replica holds, for tests and tools. Nothing outside of (base, last].
  std::optional<LogEntry> EntryAt(std::uint64_t index) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::ConsensusErrc> : std::true_type {};

#endif  // CORNELTRAY_CONSENSUS_H_
