#ifndef CORNELTRAY_CONTROL_NODE_H_
#define CORNELTRAY_CONTROL_NODE_H_

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "corneltray/configuration_feed.h"
#include "corneltray/consensus.h"
#include "corneltray/control_client.h"
#include "corneltray/control_state.h"
#include "corneltray/host_reports.h"
#include "corneltray/leader_watch.h"
#include "corneltray/log_storage.h"
#include "corneltray/member_log_versions.h"
#include "corneltray/peer.h"
#include "corneltray/read_batcher.h"
#include "corneltray/storage_thread.h"
#include "read_counters.h"

namespace corneltray {

struct ControlNodeOptions {
  std::string host;
  std::string availability_zone;
  FoundingQuorum founding_quorum = FoundingQuorum::kAll;
  PeerNode* node = nullptr;           // must outlive the ControlNode and be stopped before it
  ConfigurationFeed* feed = nullptr;  // receives every committed document
  // The callbacks below run on the I/O thread.
  std::function<void(std::uint64_t revision)> on_revision;
  // A route table of this version has been applied.
  std::function<void(std::uint64_t version)> on_route_table;
  std::function<void()> on_leader_known;                    // called once
  std::function<void(const std::string& reason)> on_fatal;  // the process must exit
};

// Runs a replica of the log over PeerNode: executes the actions of Replica, applies committed
// commands to ControlState and answers requests about it. The state is confined to the I/O thread.
// A StorageThread writes the log, and messages that depend on a write are sent after its sync.
class ControlNode {
 public:
  using Responder = PeerNode::Responder;

  ControlNode(ControlNodeOptions options, std::unique_ptr<LogStorage> storage);

  // Registers the message handlers. Call before PeerNode::Start.
  void Register();
  // Call after PeerNode::Start.
  void StartReplica();

  // Handle a request in the same way as one from a peer. Call on the I/O thread.
  void Propose(const nlohmann::json& body, const Responder& respond);
  void ReadBooking(const nlohmann::json& body, const Responder& respond);
  void FetchConfiguration(const nlohmann::json& body, const Responder& respond);

  // Answers with the route table if it is newer than `have`. With `confirmed` the read is
  // linearizable: it is confirmed by the leader and answered from the state of this replica. A
  // table newer than one that the host holds is committed and needs no confirmation, so with
  // `accepts_unconfirmed` it is sent at once, and the reply says that it is unconfirmed. Without
  // `confirmed`, the answer is what this replica has applied.
  void FetchRouteTable(const nlohmann::json& body, const Responder& respond);

  // The next four functions run on the I/O thread.
  ReplicaStatus GetReplicaStatus() const { return m_replica.GetStatus(); }
  const RouteTableStore& GetRouteTable() const { return m_state.GetRouteTable(); }
  const PartVerdictStore& GetPartVerdicts() const { return m_state.GetPartVerdicts(); }
  // Proposes a membership change. Fails if this replica is not the leader.
  corneltray::Status ChangeMembers(const MemberChange& change);
  // Removes a host without a control process from the initial members.
  void ExcludeFoundingHost(const std::string& host);

  // Call these two from any thread but the I/O thread. Status returns null when the I/O thread does
  // not respond.
  nlohmann::json Status();
  // Transfers leadership to another replica if this one is the leader, and waits for that until the
  // deadline.
  void TransferLeadership(TimePoint deadline);

  // The functions below may be called from any thread.
  bool HasLeader() const { return m_has_leader; }
  // Whether the disk refuses writes at the moment.
  bool StorageFailed() const { return m_storage_failed; }
  // Returns whether every entry that was committed before the start has been applied. Until then
  // the configuration may be older than one that this host has served before.
  bool CaughtUp() const { return m_recovery_published; }

 private:
  struct PendingProposal {
    std::uint64_t term = 0;
    Responder respond;
  };
  // A read that waits for the confirmation of its read barrier.
  struct PendingRead {
    std::function<nlohmann::json(std::uint64_t index)> answer;
    Responder respond;
    std::uint64_t held_version = 0;  // of the route table, at an entry host
  };

  // A reply to a fetch of the route table that several hosts get.
  struct CachedFetchReply {
    std::uint64_t have = 0;
    std::uint64_t version = 0;
    TimePoint expires_at{};
    nlohmann::json body;
  };

  // Returns the deadline of a request, from the time that its body allows.
  static TimePoint DeadlineOf(const nlohmann::json& body);
  // Answers when everything committed before the call has been applied, or with an error at the
  // deadline.
  void StartRead(std::function<nlohmann::json(std::uint64_t index)> answer,
                 const Responder& respond, TimePoint deadline);
  // Adds a read to the next batch. Its answer is made with the index of the log that it reflects.
  // `host` is the entry host that reads, if one does.
  ReadBatcher::Id AddBatchedRead(PendingRead read, TimePoint deadline, const std::string& host);
  // Answers the waiting reads of hosts that hold an older route table.
  void SendNewerRouteTable();
  nlohmann::json UnconfirmedRouteTableSince(std::uint64_t have);
  // Starts, completes and expires batched reads, and schedules the next call.
  void RunReadBatches();
  void RefuseRead(ReadBatcher::Id id, const std::string& why);
  void LogReadCounters();
  void BeginReadBatch(ReadBatcher::Round round);
  void OnReadIndex(ReadBatcher::Round round, TimePoint began_at,
                   const Result<nlohmann::json>& reply);
  // Answers a read of a follower. Only the leader does; it includes the read in its own batch.
  void ReadIndex(const nlohmann::json& body, const Responder& respond);
  void SendReports(const std::string& leader);
  void OnReportsAnswered(const std::string& leader, const Result<nlohmann::json>& reply);
  // Adds the reports to a read of a leader that takes them with reads only.
  void AddReports(nlohmann::json* body);
  // Answers reports that another control process sends. Only the leader does.
  void AnswerReports(const nlohmann::json& body, const Responder& respond);
  // Returns the reply to a configuration fetch, from the state that this replica has applied.
  nlohmann::json ConfigurationSince(const nlohmann::json& body) const;

  // Executes all pending actions of the replica and schedules the next tick.
  void ProcessActions();
  void Execute(ActionBatch batch);
  void SendWhenPersisted(SendMessage send);
  void OnPersisted(std::uint64_t sequence, const corneltray::Status& status);
  void OnStorageFailed(TimePoint now, const Error& error);
  void CheckStorageBacklog();
  void Apply(const std::vector<LogEntry>& entries);
  // Ends the process: an entry that this version cannot read must not be skipped.
  void RefuseUnknownCommand(const LogEntry& entry, const Error& error);
  void Restore(const Snapshot& snapshot);
  void OnRoleChanged(const RoleChanged& change);
  void OnVoteRefused(const VoteRefused& refused);
  void ScheduleNoLeaderReport();
  void ReportNoLeader();
  void FinishRead(std::uint64_t id, std::optional<std::uint64_t> index);
  void CheckCaughtUp();
  void PublishConfiguration();
  void PublishRouteTable();
  nlohmann::json MemberZones() const;
  // The reply to a process that holds this version. Valid until the next call.
  const nlohmann::json& RouteTableSince(std::uint64_t have);
  nlohmann::json MakeRouteTableReply(std::uint64_t have);
  void CompactIfDue();
  void ScheduleTick();
  // Returns the highest log version that all members have told that they read.
  LogVersion ReadByAllMembers();
  // Forwards a request to the leader. Returns false when this process is the leader.
  bool ForwardToLeader(MessageType type, const nlohmann::json& body, const Responder& respond);
  nlohmann::json MakeStatus() const;

  ControlNodeOptions m_options;
  PeerNode* m_node;
  Replica m_replica;
  ControlState m_state;
  std::multimap<std::uint64_t, PendingProposal> m_proposals;  // by log index
  std::map<std::uint64_t, PendingRead> m_reads;               // by barrier id
  std::uint64_t m_last_read_id = 0;
  ReadBatcher m_read_batcher;
  std::map<ReadBatcher::Id, PendingRead> m_batched_reads;
  std::optional<TimePoint> m_next_read_wakeup;
  ReadCounters m_read_counters;
  CachedFetchReply m_route_table_reply;
  // Messages to send once the batch with this sequence number is on disk.
  std::deque<std::pair<std::uint64_t, ReplicaMessage>> m_unsent;
  std::uint64_t m_submitted_sequence = 0;
  std::uint64_t m_persisted_sequence = 0;
  std::optional<TimePoint> m_next_tick;
  std::uint64_t m_applied_index = 0;
  std::uint64_t m_applied_term = 0;
  std::uint64_t m_recovered_index = 0;  // last log entry on disk at the start
  std::uint64_t m_compacted_index = 0;
  std::uint64_t m_published_revision = 0;
  std::uint64_t m_published_route_version = 0;
  HostReports m_reports;
  bool m_leader_takes_reports = true;  // apart from reads; until it refuses them
  bool m_needs_forward_hosts = false;  // an isolated host has asked since the last read
  MemberLogVersions m_member_log_versions;
  bool m_stops_applying = false;                         // until the process ends
  std::uint64_t m_applied_bytes = 0;                     // of entries since the last snapshot
  std::map<VoteRefusal, std::uint64_t> m_vote_refusals;  // since the start
  bool m_leader_reported = false;
  LeaderWatch m_leader_watch;
  std::optional<TimePoint> m_scheduled_no_leader_report;
  std::atomic<bool> m_has_leader{false};
  std::atomic<bool> m_storage_failed{false};
  bool m_caught_up = false;
  // Set once the recovered configuration has been published to the feed. Read by other threads.
  std::atomic<bool> m_recovery_published{false};
  StorageThread m_storage;  // declared last: its thread uses the members above until joined
};

// Client of the replicated log inside the control process, for the operator interface.
class LocalControlClient : public RetryingControlClient {
 public:
  LocalControlClient(PeerNode* node, ControlNode* control) : m_node(node), m_control(control) {}

 protected:
  std::optional<Result<nlohmann::json>> TryOnce(MessageType type, const nlohmann::json& body,
                                                TimePoint deadline) override;

 private:
  PeerNode* m_node;
  ControlNode* m_control;
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONTROL_NODE_H_
