#include "corneltray/engine_monitor.h"

#include <algorithm>

namespace corneltray {

std::vector<EngineProbe> EngineMonitor::TakeDueProbes(TimePoint now, const std::string& zone,
                                                      const UpstreamTable& upstreams) {
  std::vector<EngineProbe> due;
  std::map<std::string, MonitoredEngine> engines;
  for (const auto& [name, record] : upstreams.Records()) {
    const Announcement& info = record.announcement;
    if (!record.IsReady() || info.availability_zone != zone || info.holdings.empty()) continue;
    MonitoredEngine& engine = engines[name];
    const auto known = m_engines.find(name);
    if (known != m_engines.end() && known->second.health.incarnation == info.incarnation) {
      engine = known->second;
    }
    engine.health.name = name;
    engine.health.incarnation = info.incarnation;
    engine.slots = info.slots;
    if (engine.is_probing || now < engine.next_probe_at) continue;
    engine.is_probing = true;
    engine.probed_at = now;
    engine.next_probe_at = now + ProbeInterval(engine);
    due.push_back({name, info.incarnation, info.address});
  }
  m_engines = std::move(engines);
  return due;
}

double EngineMonitor::LoadOf(const EngineReport& report, std::uint32_t slots) {
  const double memory = report.kv_total > 0.0 ? report.kv_used / report.kv_total : 0.0;
  if (slots == 0) return memory;
  return std::max(memory, static_cast<double>(report.running + report.waiting) / slots);
}

std::chrono::milliseconds EngineMonitor::ProbeInterval(const MonitoredEngine& engine) {
  if (!engine.is_known || !engine.health.answers) return kEngineProbeInterval;
  if (engine.health.load >= kBusyLoad) return kBusyProbeInterval;
  return engine.health.load < kIdleLoad ? kIdleProbeInterval : kEngineProbeInterval;
}

void EngineMonitor::Suspect(TimePoint now, const std::string& name) {
  const auto engine = m_engines.find(name);
  if (engine == m_engines.end()) return;
  const TimePoint soon = std::max(now, engine->second.probed_at + kSuspectProbeInterval);
  engine->second.next_probe_at = std::min(engine->second.next_probe_at, soon);
}

EngineMonitor::MonitoredEngine* EngineMonitor::Find(const EngineProbe& probe) {
  const auto engine = m_engines.find(probe.name);
  if (engine == m_engines.end()) return nullptr;
  const bool same_incarnation = engine->second.health.incarnation == probe.incarnation;
  return same_incarnation ? &engine->second : nullptr;
}

void EngineMonitor::OnProbeAnswered(const EngineProbe& probe, const EngineReport& report) {
  MonitoredEngine* engine = Find(probe);
  if (engine == nullptr) return;
  engine->is_probing = false;
  engine->failed_probes = 0;
  const bool is_back = engine->is_known && !engine->health.answers;
  engine->is_known = true;
  engine->health.answers = true;
  engine->health.load = LoadOf(report, engine->slots);
  engine->health.memory = LoadOf(report, 0);
  engine->health.slowness = report.slowness;
  engine->is_unpublished = true;
  engine->is_urgent = engine->is_urgent || is_back;
}

void EngineMonitor::OnProbeFailed(TimePoint now, const EngineProbe& probe) {
  MonitoredEngine* engine = Find(probe);
  if (engine == nullptr) return;
  engine->is_probing = false;
  if (++engine->failed_probes < kFailedProbesBeforeLost) {
    engine->next_probe_at = std::min(engine->next_probe_at, now + kSuspectProbeInterval);
    return;
  }
  engine->is_unpublished = true;
  engine->is_urgent = engine->is_urgent || !engine->is_known || engine->health.answers;
  engine->is_known = true;
  engine->health.answers = false;
}

bool EngineMonitor::IsPartitioned() const {
  const auto unresponsive =
      std::count_if(m_engines.begin(), m_engines.end(),
                    [](const auto& engine) { return engine.second.failed_probes > 0; });
  return static_cast<std::size_t>(unresponsive) * 2 > m_engines.size();
}

std::vector<EngineHealth> EngineMonitor::TakeHealthUpdates(TimePoint now) {
  std::vector<EngineHealth> updates;
  const bool publish_all = now >= m_next_publish_at;
  if (publish_all) m_next_publish_at = now + kPublishInterval;
  const bool is_partitioned = IsPartitioned();
  for (auto& [name, engine] : m_engines) {
    if (!engine.is_urgent && !(publish_all && engine.is_unpublished)) continue;
    // Stays unpublished until most engines respond again.
    if (is_partitioned && !engine.health.answers) continue;
    engine.is_unpublished = false;
    engine.is_urgent = false;
    updates.push_back(engine.health);
  }
  return updates;
}

}  // namespace corneltray
