#ifndef CORNELTRAY_FLEET_FEED_H_
#define CORNELTRAY_FLEET_FEED_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>
#include <vector>

#include "corneltray/control_discovery.h"
#include "corneltray/control_links.h"
#include "corneltray/fetch_limiter.h"
#include "corneltray/gateway.h"
#include "corneltray/peer.h"

namespace corneltray {

// Keeps a gateway up to date from the control processes: the route table with its confirmation by
// the replicated log, and what upstreams say. Finds control processes through the hosts it has a
// link to. Lives on the gateway's io_context; handlers of PeerNode change threads.
class FleetFeed {
 public:
  // `name` is that of this host; `seeds` are peer addresses of hosts to join through. All pointers
  // outlive the feed.
  FleetFeed(asio::io_context* io, PeerNode* node, Gateway* gateway, std::string name,
            std::vector<std::string> seeds);

  // Registers handlers. Call before PeerNode::Start.
  void Register();
  void Start();
  void Stop();
  // The settings name other seeds.
  void SetSeeds(const std::vector<std::string>& seeds);

 private:
  void PlanTick();
  void Tick();
  void FetchRouteTable(const std::string& host, bool confirmed);
  void OnRouteTable(const std::string& host, bool confirmed, TimePoint asked_at,
                    const Result<nlohmann::json>& reply);
  void TakeRouteTable(const nlohmann::json& reply);
  void TakeMembers(const nlohmann::json& members);
  void KeepLinkTo(const std::string& address);
  std::string NextHost();

  asio::io_context* m_io;
  std::string m_name;
  PeerNode* m_node;
  Gateway* m_gateway;
  ControlLinks m_links;
  ControlDiscovery m_discovery;
  asio::steady_timer m_timer;
  bool m_stopped = false;
  std::set<std::string> m_seeds;
  std::set<std::string> m_targets;  // addresses that the node keeps links to
  std::string m_preferred;          // control host that confirmed last
  std::string m_peer_port;
  FetchLimiter m_fetches;
  TimePoint m_next_fetch{};
  TimePoint m_started_at{};
};

}  // namespace corneltray

#endif  // CORNELTRAY_FLEET_FEED_H_
