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
#include "corneltray/layer_placement.h"
#include "corneltray/member_set_controller.h"
#include "corneltray/metrics.h"
#include "corneltray/peer.h"
#include "corneltray/upstream_pool.h"
#include "corneltray/upstream_table.h"
#include "engine_watch.h"

namespace corneltray {

struct FleetServiceOptions {
  std::string address;  // IP:PORT for upstreams and operators
  std::shared_ptr<const Dialect> dialect;
  PeerNode* node = nullptr;        // outlives the service
  ControlNode* control = nullptr;  // outlives the service
  std::string host;                // name of this replica
  std::string availability_zone;
  std::size_t target_voters = 3;
  std::string peer_port;           // at which every control process listens for peers
  std::vector<std::string> seeds;  // peer addresses of the first start
};

// The calls of upstreams and operators at a control process: takes announcements and passes them on
// to every entry process and control process, takes and gives route tables through the replicated
// log, and at the leader places layers and keeps the members. Lives on one io_context; handlers of
// PeerNode and calls to ControlNode change threads.
class FleetService {
 public:
  FleetService(asio::io_context* io, FleetServiceOptions options);

  // Registers handlers of peer messages. Call before PeerNode::Start.
  void Register();
  // Fails when the address cannot be bound.
  Status Start();
  void Stop();

  // The exposition of the calls that were answered here. Thread safe.
  std::string MetricsText() const { return m_metrics.Text({}); }

 private:
  // What the leader's thread tells this one.
  struct ReplicaView {
    std::optional<std::uint64_t> leading_term;
    std::uint64_t route_version = 0;
    std::string compressed_routes;  // empty: as before
  };

  void OnCall(const ControlCall& call, const ControlResponder& respond);
  void OnAnnounce(const AnnounceCall& announce, const ControlResponder& respond);
  void OnLeave(const LeaveCall& leave, const ControlResponder& respond);
  void OnPut(const PutRouteTableCall& put, const ControlResponder& respond);
  void OnGet(const ControlResponder& respond);

  // Tells every entry process and answers the upstream once they know, or at a deadline.
  void AcknowledgeDeparture(const UpstreamUpdate& update, const ControlResponder& respond);
  void Broadcast(const UpstreamUpdates& updates);
  void FlushChanges();
  void FlushRefreshes(TimePoint now);
  void PlanTick();
  void Tick();
  void KeepMembers();                           // on the I/O thread of PeerNode
  void AskToJoin(const ReplicaStatus& status);  // on the I/O thread of PeerNode
  void LinkMembers(const MemberSet& members);
  void ExcludeOtherPrograms();  // on the I/O thread of PeerNode
  void ReadReplica();
  void OnReplicaView(const ReplicaView& view);
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
  LayerController m_layers;
  EngineWatch m_engines;
  asio::steady_timer m_tick_timer;
  asio::steady_timer m_flush_timer;
  bool m_flush_planned = false;
  bool m_stopped = false;
  UpstreamUpdates m_changes;    // not yet passed on
  UpstreamUpdates m_refreshes;  // not yet passed on
  TimePoint m_refresh_at{};
  std::optional<std::uint64_t> m_leading_term;
  std::uint64_t m_route_version = 0;
  RouteTable m_routes;

  // On the I/O thread of PeerNode.
  MemberSetController m_keeper;
  std::uint64_t m_viewed_route_version = 0;
  std::set<std::string> m_linked_members;  // addresses that the node keeps links to
};

}  // namespace corneltray

#endif  // CORNELTRAY_FLEET_SERVICE_H_
