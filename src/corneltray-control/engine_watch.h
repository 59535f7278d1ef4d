#ifndef CORNELTRAY_ENGINE_WATCH_H_
#define CORNELTRAY_ENGINE_WATCH_H_

#include <asio/io_context.hpp>
#include <memory>
#include <optional>
#include <string>

#include "corneltray/dialect.h"
#include "corneltray/engine_monitor.h"
#include "corneltray/fleet_messages.h"
#include "corneltray/peer.h"
#include "corneltray/upstream_pool.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// Asks the engines of the own availability zone how they are and tells all entry hosts, while this
// control process is the one of its zone to do so. Lives on one io_context.
class EngineWatch {
 public:
  struct Options {
    std::string host;  // name of this control process
    std::string availability_zone;
    std::shared_ptr<const Dialect> dialect;
    UpstreamPool* pool = nullptr;              // outlives the object
    PeerNode* node = nullptr;                  // outlives the object
    const UpstreamTable* upstreams = nullptr;  // outlives the object
  };

  explicit EngineWatch(Options options) : m_options(std::move(options)) {}

  // Asks what is due and tells what is new. Called several times a second.
  void Check();
  // An entry host got no answer from this engine.
  void Suspect(const UpstreamRefresh& engine, const std::string& by_host);
  // No engine is asked from now on.
  void Stop() { m_is_stopped = true; }

 private:
  bool IsMonitor() const;
  void AskEngines();
  void OnReport(const EngineProbe& question, const std::optional<EngineReport>& report);
  void TellHealth();

  Options m_options;
  EngineMonitor m_monitor;
  bool m_is_stopped = false;
};

}  // namespace corneltray

#endif  // CORNELTRAY_ENGINE_WATCH_H_
