#ifndef CORNELTRAY_CONTROL_HTTP_H_
#define CORNELTRAY_CONTROL_HTTP_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "control_node.h"
#include "corneltray/configuration_feed.h"
#include "corneltray/http_server.h"
#include "corneltray/membership_service.h"
#include "corneltray/peer.h"
#include "corneltray/settings.h"

namespace corneltray {

// Dependencies of the HTTP interface of a control process. The pointers must outlive the server.
struct ControlHttpOptions {
  const HostSettings* settings = nullptr;
  PeerNode* node = nullptr;
  ControlNode* control = nullptr;
  ConfigurationFeed* feed = nullptr;
  MembershipService* membership = nullptr;
  ControlClient* client = nullptr;
  const std::atomic<bool>* draining = nullptr;
  std::function<void()> drain;
  std::function<std::string()> fleet_metrics;  // empty if the process runs no FleetService
};

// Creates the HTTP server for operators, health checks and metrics. The caller starts it.
std::unique_ptr<HttpServer> MakeControlHttpServer(const ControlHttpOptions& options);

}  // namespace corneltray

#endif  // CORNELTRAY_CONTROL_HTTP_H_
