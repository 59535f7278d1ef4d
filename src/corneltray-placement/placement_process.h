#ifndef CORNELTRAY_PLACEMENT_PLACEMENT_PROCESS_H_
#define CORNELTRAY_PLACEMENT_PLACEMENT_PROCESS_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>

#include "corneltray/configuration_feed.h"
#include "corneltray/http_server.h"
#include "corneltray/membership_service.h"
#include "corneltray/peer.h"
#include "corneltray/placement_controller.h"
#include "corneltray/settings.h"
#include "lease_service.h"
#include "order_sender.h"

namespace corneltray {

// The placement process of one host: hears engines, takes part in the lease of its availability
// zone, and orders engines while it holds the lease. Owns every thread and socket of the process.
class PlacementProcess {
 public:
  explicit PlacementProcess(HostSettings settings);
  ~PlacementProcess();
  PlacementProcess(const PlacementProcess&) = delete;
  PlacementProcess& operator=(const PlacementProcess&) = delete;

  // Binds both addresses and starts. Fails with the error of an address or of the data folder.
  Status Start();
  // Runs until `stop_requested` returns true, then releases the lease and stops.
  void Run(const std::function<bool()>& stop_requested);

 private:
  HttpResponse Handle(const HttpRequest& request);
  HttpResponse HandleAnnouncement(const HttpRequest& request);
  nlohmann::json StatusDocument() const;
  void Place();
  void Perform(const PlacementAction& action);
  void ShutDown();

  const HostSettings m_settings;
  const std::uint64_t m_incarnation;
  PeerNode m_node;
  ConfigurationFeed m_feed;
  MembershipService m_membership;
  LeaseService m_lease;
  std::unique_ptr<OrderSender> m_orders;
  std::unique_ptr<HttpServer> m_http;
  std::atomic<bool> m_leaving{false};
  std::atomic<bool> m_drain_requested{false};
  std::uint64_t m_revision = 0;  // that the controller has
  std::uint64_t m_reported_fence = 0;
  mutable std::mutex m_mutex;  // guards the controller, which status requests read
  PlacementController m_controller;
};

}  // namespace corneltray

#endif  // CORNELTRAY_PLACEMENT_PLACEMENT_PROCESS_H_
