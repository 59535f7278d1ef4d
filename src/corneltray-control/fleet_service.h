#ifndef CORNELTRAY_FLEET_SERVICE_H_
#define CORNELTRAY_FLEET_SERVICE_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "control_node.h"
#include "corneltray/control_discovery.h"
#include "corneltray/control_endpoint.h"
#include "corneltray/control_links.h"
#include "corneltray/dialect.h"
#include "corneltray/fleet_messages.h"
#include "corneltray/layer_controller.h"
#include "corneltray/leadership_view.h"
#include "corneltray/member_set_controller.h"
#include "corneltray/metrics.h"
#include "corneltray/peer.h"
#include "corneltray/upstream_distributor.h"
#include "corneltray/upstream_pool.h"
#include "corneltray/upstream_table.h"
#include "engine_health_checker.h"
#include "quarantine_service.h"

namespace corneltray {

struct FleetServiceOptions {
  std::string address;  // IP:PORT that upstreams and operators call
  std::shared_ptr<const Dialect> dialect;
  PeerNode* node = nullptr;        // must outlive the service
  ControlNode* control = nullptr;  // must outlive the service
  std::string host;                // host name of this replica
  std::string availability_zone;
  std::uint64_t incarnation = 0;  // of this process
  std::size_t target_voters = 3;
  std::string peer_port;           // peer port of every control process
  std::vector<std::string> seeds;  // peer addresses of the initial members
  std::shared_ptr<DoorBudget> budget = MakeDefaultDoorBudget();  // of the interface
};

// Serves the calls of upstreams and operators at a control process. Distributes announcements to
// every entry process and control process, stores and returns route tables through the replicated
// log and, on the leader, places layers and maintains the membership. Runs on one io_context;
// handlers of PeerNode and calls to ControlNode run on the I/O thread of PeerNode.
class FleetService {
 public:
  FleetService(asio::io_context* io, FleetServiceOptions options);

  // Registers the handlers of peer messages. Call before PeerNode::Start.
  void Register();
  // Fails when the address cannot be bound.
  Status Start();
  void Stop();

  // Returns the metrics of the calls answered here in the exposition format. Thread-safe.
  std::string MetricsText() const { return m_metrics.Text({}); }

 private:
  // State of the replica, passed from the I/O thread of PeerNode to this io_context.
  struct ReplicaView {
    TimePoint read_at{};  // of BootTimeNow
    std::optional<std::uint64_t> leading_term;
    std::string leader_host;  // empty if no leader is known
    std::uint64_t route_version = 0;
    std::string compressed_routes;                           // empty if unchanged
    std::optional<std::vector<StoredPartVerdict>> verdicts;  // if changed
  };

  void OnCall(const ControlCall& call, const ControlResponder& respond);
  void OnAnnounce(const AnnounceCall& announce, const ControlResponder& respond);
  void OnLeave(const LeaveCall& leave, const ControlResponder& respond);
  void OnPut(const PutRouteTableCall& put, const ControlResponder& respond);
  void OnGet(const ControlResponder& respond);

  // A host got no response from these engines.
  void OnSuspected(const PeerIdentity& from, const UpstreamUpdates& suspected);
  void ScheduleTick();
  void Tick();
  void UpdateMembership();                             // on the I/O thread of PeerNode
  void SendJoinRequests(const ReplicaStatus& status);  // on the I/O thread of PeerNode
  void ConnectMembers(const MemberSet& members);
  void ExcludeOtherPrograms();  // on the I/O thread of PeerNode
  void ReadReplica();
  // Proposes verdicts on prompt parts to the replicated log.
  void ProposeVerdicts(const RecordPartVerdicts& verdicts);
  void OnReplicaView(const ReplicaView& view);
  // Decodes the route table before its first use for placement; only the leader needs it.
  void DecodeRoutes();
  void PlaceLayers(TimePoint now);
  void SendOrder(const PlacementDecision& decision);

  asio::io_context* m_io;
  FleetServiceOptions m_options;
  Metrics m_metrics;
  ControlEndpoint m_endpoint;
  UpstreamPool m_pool;
  ControlLinks m_links;  // to the other control processes
  ControlDiscovery m_discovery;
  UpstreamTable m_table;
  UpstreamDistributor m_distributor;
  LeadershipView m_leadership;
  LayerController m_layers;
  EngineHealthChecker m_health_checker;
  QuarantineService m_quarantine;
  asio::steady_timer m_tick_timer;
  bool m_stopped = false;
  std::optional<std::uint64_t> m_logged_term;  // that this process leads, as logged last
  std::uint64_t m_route_version = 0;
  std::string m_compressed_routes;  // not yet decoded
  RouteTable m_routes;

  // The members below are used on the I/O thread of PeerNode.
  MemberSetController m_member_controller;
  std::uint64_t m_last_seen_route_version = 0;
  std::uint64_t m_last_seen_verdicts_version = 0;
  std::set<std::string> m_connected_members;  // addresses that the node keeps connections to
};

}  // namespace corneltray

#endif  // CORNELTRAY_FLEET_SERVICE_H_
