#ifndef CORNELTRAY_ENTRY_ENTRY_PROCESS_H_
#define CORNELTRAY_ENTRY_ENTRY_PROCESS_H_

#include <atomic>
#include <memory>
#include <mutex>

#include "corneltray/background_queue.h"
#include "corneltray/configuration_feed.h"
#include "corneltray/control_client.h"
#include "corneltray/http_api.h"
#include "corneltray/http_server.h"
#include "corneltray/membership_service.h"
#include "corneltray/metrics.h"
#include "corneltray/peer.h"
#include "corneltray/routing_state.h"
#include "corneltray/settings.h"
#include "corneltray/upstream_client.h"

namespace corneltray {

// The entry process: owns the HTTP server, the links to other processes and the state that requests
// share.
class EntryProcess {
 public:
  explicit EntryProcess(HostSettings settings);
  ~EntryProcess();
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  // Binds both addresses and starts all threads. Fails with the error of the address.
  Status Start();

  // Runs until `stop_requested` returns true or an operator asks for a drain, then shuts down
  // gracefully. Logs "ready" once a configuration is in force.
  void Run(const std::function<bool()>& stop_requested);

 private:
  HttpResponse Handle(const HttpRequest& request);
  HttpResponse HandleAnnouncement(const HttpRequest& request);
  HttpResponse HandleStatus(const HttpRequest& request) const;
  HttpResponse HandleMetrics() const;
  HttpResponse HandleReady() const;
  nlohmann::json StatusDocument() const;
  nlohmann::json ChainsDocument() const;
  void HandleMembership(const std::vector<MembershipEvent>& events);
  void HandleConfiguration(const std::shared_ptr<const Configuration>& configuration);
  void UpdateUpstreams();
  void Tick();
  void ShutDown();
  bool IsReady() const;
  // True from the first time that the configuration in force was at or above the floor. From then
  // on the process serves with what it has: a revision that is being fetched must not stop callers.
  bool IsServing() const;

  const HostSettings m_settings;
  const UnixMs m_incarnation;
  PeerNode m_node;
  ConfigurationFeed m_feed;
  MembershipService m_membership;
  PeerControlClient m_control;
  mutable RoutingState m_routing;
  Metrics m_metrics;
  CallWatchdog m_watchdog;
  EngineClient m_engines;
  ServiceClient m_services;
  std::unique_ptr<BackgroundQueue> m_background;
  EntryContext m_context;
  std::unique_ptr<HttpServer> m_http;
  mutable std::atomic<bool> m_serving{false};
  std::atomic<bool> m_leaving{false};   // a stop was requested
  std::atomic<bool> m_draining{false};  // the grace period is over
  std::atomic<bool> m_drain_requested{false};
  // Held over reading the upstreams and handing them to the router, so that an older list never
  // replaces a newer one.
  std::mutex m_upstreams_mutex;
  std::uint64_t m_upstream_version = 0;  // of the list that the router has
  TimePoint m_limits_at{};               // next update of hosts and demand
  bool m_reported_ready = false;
};

}  // namespace corneltray

#endif  // CORNELTRAY_ENTRY_ENTRY_PROCESS_H_
