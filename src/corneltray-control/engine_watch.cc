#include "engine_watch.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "corneltray/control_protocol.h"
#include "corneltray/engine_call.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

// An engine answers a question for its report within some milliseconds.
constexpr std::chrono::milliseconds kReportTimeout{300};

}  // namespace

void EngineWatch::Check() {
  AskEngines();
  TellHealth();
}

void EngineWatch::Suspect(const UpstreamRefresh& engine, const std::string& by_host) {
  LogEvent(LogLevel::kInfo, "upstream_suspected",
           {{"upstream", engine.name}, {"sequence", engine.sequence}, {"by", by_host}});
  m_monitor.Suspect(Clock::now(), engine.name);
}

// The control process of the zone with the lowest name asks.
bool EngineWatch::IsMonitor() const {
  const std::vector<PeerStatus> peers = m_options.node->Peers();
  return std::none_of(peers.begin(), peers.end(), [this](const PeerStatus& peer) {
    return peer.connected && peer.identity.program == kControlProgram &&
           peer.identity.availability_zone == m_options.availability_zone &&
           peer.identity.host < m_options.host;
  });
}

void EngineWatch::AskEngines() {
  if (m_is_stopped) return;
  if (!IsMonitor()) return m_monitor.Clear();
  const std::vector<EngineProbe> due =
      m_monitor.TakeDueProbes(Clock::now(), m_options.availability_zone, *m_options.upstreams);
  for (const EngineProbe& question : due) {
    AskForReport(m_options.pool, m_options.dialect, question.address, Clock::now() + kReportTimeout,
                 [this, question](const std::optional<EngineReport>& report) {
                   OnReport(question, report);
                 });
  }
}

void EngineWatch::OnReport(const EngineProbe& question, const std::optional<EngineReport>& report) {
  if (report) {
    m_monitor.OnProbeAnswered(question, *report);
  } else {
    LogEvent(LogLevel::kWarning, "engine_unanswered",
             {{"upstream", question.name}, {"address", question.address}});
    m_monitor.OnProbeFailed(Clock::now(), question);
  }
  Check();
}

void EngineWatch::TellHealth() {
  const std::vector<EngineHealth> news = m_monitor.TakeHealthUpdates(Clock::now());
  if (news.empty()) return;
  const nlohmann::json body = EncodeEngineHealth(news);
  for (const PeerStatus& peer : m_options.node->Peers()) {
    if (!peer.connected || peer.identity.program == kControlProgram) continue;
    m_options.node->Send(peer.identity.host, MessageType::kEngineHealth, body);
  }
}

}  // namespace corneltray
