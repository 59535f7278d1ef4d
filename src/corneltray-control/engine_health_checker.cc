#include "engine_health_checker.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "corneltray/control_protocol.h"
#include "corneltray/engine_call.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

// Engines normally respond to a probe within a few milliseconds.
constexpr std::chrono::milliseconds kReportTimeout{300};

}  // namespace

void EngineHealthChecker::Check() {
  RequestReports();
  BroadcastHealth();
}

void EngineHealthChecker::Suspect(const UpstreamRefresh& engine, const std::string& by_host) {
  LogEvent(LogLevel::kInfo, "upstream_suspected",
           {{"upstream", engine.name}, {"sequence", engine.sequence}, {"by", by_host}});
  m_monitor.Suspect(Clock::now(), engine.name);
}

// The control process with the lowest host name in the zone is the active checker.
bool EngineHealthChecker::IsActiveChecker() const {
  const std::vector<PeerStatus> peers = m_options.node->Peers();
  return std::none_of(peers.begin(), peers.end(), [this](const PeerStatus& peer) {
    return peer.connected && peer.identity.program == kControlProgram &&
           peer.identity.availability_zone == m_options.availability_zone &&
           peer.identity.host < m_options.host;
  });
}

void EngineHealthChecker::RequestReports() {
  if (m_is_stopped) return;
  if (!IsActiveChecker()) return m_monitor.Clear();
  const std::vector<EngineProbe> due =
      m_monitor.TakeDueProbes(Clock::now(), m_options.availability_zone, *m_options.upstreams);
  for (const EngineProbe& probe : due) {
    RequestEngineReport(
        m_options.pool, m_options.dialect, probe.address, Clock::now() + kReportTimeout,
        [this, probe](const std::optional<EngineReport>& report) { OnReport(probe, report); });
  }
}

void EngineHealthChecker::OnReport(const EngineProbe& probe,
                                   const std::optional<EngineReport>& report) {
  if (report) {
    m_monitor.OnProbeAnswered(probe, *report);
  } else {
    LogEvent(LogLevel::kWarning, "engine_unanswered",
             {{"upstream", probe.name}, {"address", probe.address}});
    m_monitor.OnProbeFailed(Clock::now(), probe);
  }
  Check();
}

void EngineHealthChecker::BroadcastHealth() {
  const std::vector<EngineHealth> changes = m_monitor.TakeHealthUpdates(Clock::now());
  if (changes.empty()) return;
  m_options.distributor->DistributeHealth(changes);
}

}  // namespace corneltray
