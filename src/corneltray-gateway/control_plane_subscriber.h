#ifndef CORNELTRAY_CONTROL_PLANE_SUBSCRIBER_H_
#define CORNELTRAY_CONTROL_PLANE_SUBSCRIBER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "corneltray/control_discovery.h"
#include "corneltray/fetch_scheduler.h"
#include "corneltray/gateway.h"
#include "corneltray/peer.h"
#include "corneltray/upstream_subscription.h"

namespace corneltray {

// Keeps a gateway in sync with the control processes: it fetches the route table, confirmed by the
// replicated log, and applies updates about upstreams. Discovers control processes through the
// hosts that it is linked to. Runs on the gateway's io_context; PeerNode calls its handlers on
// another thread, so they post their work to that io_context.
class ControlPlaneSubscriber {
 public:
  // `self` names this host; `seeds` are peer addresses of hosts to join through. All pointers must
  // outlive the subscriber.
  ControlPlaneSubscriber(asio::io_context* io, PeerNode* node, Gateway* gateway, HostLocation self,
                         std::vector<std::string> seeds);

  // Registers the message handlers. Must be called before PeerNode::Start.
  void Register();
  void Start();
  void Stop();
  // Replaces the seeds after the settings were reloaded.
  void SetSeeds(const std::vector<std::string>& seeds);
  // Returns whether a linked control process fails to confirm reads while another confirms them.
  bool IsCutOff(const std::string& host) const { return m_subscription.IsCutOff(host); }

 private:
  void ScheduleTick();
  void Tick();
  // Starts the fetches that are due.
  void FetchIfDue();
  // Asks control processes that are cut off for a read, to detect when they are back.
  void ProbeIfDue(TimePoint now);
  void Probe(const std::string& host);
  void FetchRouteTable(const std::string& host);
  void OnRouteTable(const std::string& host, bool confirmed, TimePoint asked_at,
                    const Result<nlohmann::json>& reply);
  void OnFetchFailed(const std::string& host, const std::string& reason);
  // A control process reports that a route table of this version is committed.
  void OnRouteTableChanged(const std::string& host, std::uint64_t version);
  void ApplyRouteTable(const std::string& host, TimePoint asked_at, const nlohmann::json& reply);
  void ApplyMembers(const nlohmann::json& reply);
  void ApplyRateLimits(TimePoint asked_at, const nlohmann::json& reply);
  // Sends evidence about prompt parts to all control processes, and a trial request to one. Returns
  // false if none is linked.
  bool SendQuarantineAction(const QuarantineAction& action);
  void RequestTrial(const TrialRequest& request);

  asio::io_context* m_io;
  HostLocation m_self;
  PeerNode* m_node;
  Gateway* m_gateway;
  UpstreamSubscription m_subscription;
  ControlDiscovery m_discovery;
  asio::steady_timer m_timer;
  bool m_stopped = false;
  std::string m_peer_port;
  FetchScheduler m_fetches;
  TimePoint m_started_at{};
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONTROL_PLANE_SUBSCRIBER_H_
