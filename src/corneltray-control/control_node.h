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

#include "corneltray/configuration_feed.h"
#include "corneltray/consensus.h"
#include "corneltray/control_client.h"
#include "corneltray/control_state.h"
#include "corneltray/log_storage.h"
#include "corneltray/peer.h"
#include "corneltray/retry.h"
#include "storage_thread.h"

namespace corneltray {

struct ControlNodeOptions {
  std::string host;
  PeerNode* node = nullptr;           // outlives the ControlNode; stopped before it is destroyed
  ConfigurationFeed* feed = nullptr;  // gets every committed document
  // Called on the I/O thread.
  std::function<void(std::uint64_t revision)> on_revision;
  // A route table of this version is applied.
  std::function<void(std::uint64_t version)> on_route_table;
  std::function<void()> on_leader_known;                 // once
  std::function<void(const std::string& why)> on_fatal;  // the process cannot go on
};

// Runs one replica of the log over PeerNode: executes the actions of Replica, applies committed
// commands to ControlState and answers requests about it. State lives on the I/O thread; the log
// is written by a StorageThread, and messages that need it on disk wait for the sync.
class ControlNode {
 public:
  using Responder = PeerNode::Responder;

  ControlNode(ControlNodeOptions options, std::unique_ptr<LogStorage> storage);

  // Registers the handlers. Call before PeerNode::Start.
  void Register();
  // Starts the replica. Call after PeerNode::Start.
  void StartReplica();

  // Answer a request as if a peer had sent it. Run on the I/O thread.
  void Propose(const nlohmann::json& body, const Responder& respond);
  void ReadBooking(const nlohmann::json& body, const Responder& respond);
  void FetchConfiguration(const nlohmann::json& body, const Responder& respond);

  // Answers with the route table if it is newer than `have`. With `confirmed` the answer is through
  // the leader and certain to be the newest; without, it is what this replica has applied.
  void FetchRouteTable(const nlohmann::json& body, const Responder& respond);

  // On the I/O thread.
  ReplicaStatus GetReplicaStatus() const { return m_replica.GetStatus(); }
  const RouteTableStore& GetRouteTable() const { return m_state.GetRouteTable(); }
  // Proposes one change of the members, if this replica leads.
  corneltray::Status ChangeMembers(const MemberChange& change);
  // A host of the first start runs no control process.
  void ExcludeFoundingHost(const std::string& host);

  // From any thread but the I/O thread. Status gives null when the I/O thread does not answer.
  nlohmann::json Status();
  // Hands leadership to another replica, if this one leads, and waits for it until the deadline.
  void TransferLeadership(TimePoint deadline);

  // From any thread.
  bool HasLeader() const { return m_has_leader; }
  bool StorageFailed() const { return m_storage_failed; }
  // False from the start until every entry that was committed before it is applied. Until then the
  // configuration here may be older than one that this host has shown before.
  bool CaughtUp() const { return m_recovery_published; }

 private:
  struct WaitingProposal {
    std::uint64_t term = 0;
    Responder respond;
  };
  // What an entry host sent in its window.
  struct RetryReport {
    std::map<std::string, RetryCounts> by_service;
    TimePoint expires_at{};
  };
  // A read that waits for its barrier.
  struct WaitingRead {
    std::function<nlohmann::json()> answer;
    Responder respond;
  };

  // Answers once everything committed before the call is applied, or with an error at the deadline.
  void StartRead(std::function<nlohmann::json()> answer, const Responder& respond,
                 TimePoint deadline);
  // The reply to a fetch from the state that this replica has applied.
  nlohmann::json ConfigurationSince(const nlohmann::json& body) const;

  // Executes the actions of the replica until there are none, and plans the next tick.
  void Drain();
  void Execute(ActionBatch batch);
  void SendWhenPersisted(SendMessage send);
  void OnPersisted(std::uint64_t sequence, const corneltray::Status& status);
  void Apply(const std::vector<LogEntry>& entries);
  void Restore(const Snapshot& snapshot);
  void OnRoleChanged(const RoleChanged& change);
  void FinishRead(std::uint64_t id, bool confirmed);
  void CheckCaughtUp();
  void PublishConfiguration();
  void PublishRouteTable();
  nlohmann::json RouteTableSince(std::uint64_t have) const;
  std::map<std::string, RetryCounts> FleetRetryCounts() const;
  void CompactIfDue();
  void PlanTick();
  // Passes a request on to the leader. Returns false when this process leads.
  bool Forward(MessageType type, const nlohmann::json& body, const Responder& respond);
  nlohmann::json StatusNow() const;

  ControlNodeOptions m_options;
  PeerNode* m_node;
  Replica m_replica;
  ControlState m_state;
  std::multimap<std::uint64_t, WaitingProposal> m_proposals;  // by log index
  std::map<std::uint64_t, WaitingRead> m_reads;               // by barrier id
  std::uint64_t m_last_read = 0;
  // Messages that wait until the batch with this sequence is on disk.
  std::deque<std::pair<std::uint64_t, ReplicaMessage>> m_unsent;
  std::uint64_t m_submitted = 0;
  std::uint64_t m_persisted = 0;
  std::optional<TimePoint> m_next_tick;
  std::uint64_t m_applied = 0;
  std::uint64_t m_applied_term = 0;
  std::uint64_t m_recovered_index = 0;  // last entry on the disk at the start
  std::uint64_t m_compacted = 0;
  std::uint64_t m_published = 0;
  std::uint64_t m_published_route_table = 0;
  std::map<std::string, RetryReport> m_retry_reports;  // by entry host, at the leader
  std::uint64_t m_applied_bytes = 0;                   // of commands since the last snapshot
  bool m_leader_reported = false;
  std::atomic<bool> m_has_leader{false};
  std::atomic<bool> m_storage_failed{false};
  bool m_caught_up = false;
  // Set after the recovered configuration is in the feed, for readers on other threads.
  std::atomic<bool> m_recovery_published{false};
  StorageThread m_storage;  // last: its thread uses the members above until it is joined
};

// The operator's access to the log in the control process itself.
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
