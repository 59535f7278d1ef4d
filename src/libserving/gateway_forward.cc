// What an entry host does while it reaches no upstream: it notices, tells the control processes,
// and learns of hosts that serve its requests.
#include <asio/post.hpp>
#include <utility>
#include <vector>

#include "corneltray/gateway.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

// The control processes name hosts within some hundred milliseconds, unless there are none.
constexpr std::chrono::milliseconds kForwardHostsWait{800};

}  // namespace

void Gateway::SuspectIsolation() {
  const bool was_active = m_reach.IsActive();
  m_reach.Suspect(Clock::now());
  if (!was_active && m_reach.IsActive()) PostTick();
}

// Not from here: a request may be in the middle of its handling.
void Gateway::PostTick() {
  const std::weak_ptr<const bool> alive = m_alive;
  asio::post(*m_io, [this, alive] {
    if (!alive.expired()) Tick();
  });
}

void Gateway::OnConnect(const std::string& address, bool is_connected) {
  if (m_upstreams.FindAddress(address) == nullptr) return;  // another entry host
  const bool was_active = m_reach.IsActive();
  m_reach.OnConnect(Clock::now(), address, is_connected);
  // Requests wait until the reach is known.
  if (was_active != m_reach.IsActive()) PostTick();
}

void Gateway::ReportHeld(bool is_cut) {
  const std::vector<CrashReport> crashes = std::exchange(m_held_crashes, {});
  const std::vector<UpstreamRefresh> suspects = std::exchange(m_held_suspects, {});
  if (is_cut) return;
  for (const UpstreamRefresh& engine : suspects) {
    if (m_suspect_handler) m_suspect_handler(engine);
  }
  if (crashes.empty()) return;
  for (const CrashReport& crash : crashes) m_quarantine.OnCrash(Clock::now(), crash);
  SendQuarantineActions();
}

void Gateway::CheckReach(TimePoint now) {
  for (const std::string& address : m_reach.TakeProbes(now, m_upstreams)) Probe(address);
  const bool is_isolated = IsIsolated();
  if (m_reach.State() != ReachState::kSuspected) ReportHeld(is_isolated);
  if (std::exchange(m_was_isolated, is_isolated) == is_isolated) return;
  LogEvent(LogLevel::kWarning, is_isolated ? "isolation_begins" : "isolation_ends",
           {{"upstreams", m_upstreams.Records().size()}, {"requests", InFlight()}});
  m_metrics.Count("isolations", is_isolated ? "begun" : "ended");
  m_forward_hosts_due_at = now + kForwardHostsWait;
  if (m_isolation_handler) m_isolation_handler();
}

void Gateway::Probe(const std::string& address) {
  m_metrics.Count("probes", "reach");
  m_pool.Probe(address, Clock::now() + kReachProbeTimeout);
}

std::optional<ForwardReport> Gateway::MakeForwardReport() {
  const TimePoint now = Clock::now();
  ForwardReport report{m_options.forward_address, ForwardState::kServing};
  if (!IsReady()) report.state = ForwardState::kStopping;
  if (IsIsolated()) report.state = ForwardState::kIsolated;
  if (m_forward_report == report && now < m_next_forward_report) return std::nullopt;
  m_forward_report = report;
  m_next_forward_report = now + kForwardReportInterval;
  return report;
}

void Gateway::SetForwardHosts(const std::vector<ForwardHost>& hosts) {
  const TimePoint now = Clock::now();
  const bool had_hosts = IsForwarding(now);
  m_forward_hosts.Update(now, hosts);
  if (had_hosts || !IsIsolated()) return;
  LogEvent(LogLevel::kInfo, "forward_hosts_told", {{"hosts", hosts.size()}});
}

bool Gateway::IsReachUnknown(TimePoint now) const {
  if (m_reach.State() == ReachState::kSuspected) return true;
  return IsIsolated() && !IsForwarding(now) && now < m_forward_hosts_due_at;
}

bool Gateway::IsForwarding(TimePoint now) const {
  return IsIsolated() && m_forward_hosts.HasHost(now, {});
}

}  // namespace corneltray
