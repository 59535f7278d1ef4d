#ifndef CORNELTRAY_ENGINE_HEALTH_CHECKER_H_
#define CORNELTRAY_ENGINE_HEALTH_CHECKER_H_

#include <asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>

#include "corneltray/dialect.h"
#include "corneltray/engine_monitor.h"
#include "corneltray/fleet_messages.h"
#include "corneltray/peer.h"
#include "corneltray/upstream_distributor.h"
#include "corneltray/upstream_pool.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// Requests health reports from the engines of the local availability zone and sends them to all
// entry hosts, while this control process is the active checker of its zone. Runs on one
// io_context.
class EngineHealthChecker {
 public:
  struct Options {
    std::string host;  // name of this control process
    std::string availability_zone;
    std::shared_ptr<const Dialect> dialect;
    UpstreamPool* pool = nullptr;                // must outlive this object
    PeerNode* node = nullptr;                    // must outlive this object
    const UpstreamTable* upstreams = nullptr;    // must outlive this object
    UpstreamDistributor* distributor = nullptr;  // must outlive this object
  };

  explicit EngineHealthChecker(Options options) : m_options(std::move(options)) {}

  // Sends the probes that are due and broadcasts new results. Called several times per second.
  void Check();
  // Records that an entry host got no response from this engine.
  void Suspect(const UpstreamRefresh& engine, const std::string& by_host);
  // Stops sending probes.
  void Stop() { m_is_stopped = true; }

 private:
  bool IsActiveChecker() const;
  void RequestReports();
  void OnReport(const EngineProbe& probe, const std::optional<EngineReport>& report);
  void BroadcastHealth();

  Options m_options;
  EngineMonitor m_monitor;
  bool m_is_stopped = false;
};

}  // namespace corneltray

#endif  // CORNELTRAY_ENGINE_HEALTH_CHECKER_H_
