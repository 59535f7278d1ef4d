#include "corneltray/engine_monitor.h"

#include <algorithm>

namespace corneltray {

std::vector<EngineProbe> EngineMonitor::TakeDueProbes(TimePoint now, const std::string& zone,
                                                      const UpstreamTable& upstreams) {
  std::vector<EngineProbe> due;
  std::map<std::string, Watched> watched;
  for (const auto& [name, record] : upstreams.Records()) {
    const Announcement& said = record.announcement;
    if (!record.IsReady() || said.availability_zone != zone || said.holdings.empty()) continue;
    Watched& engine = watched[name];
    const auto known = m_watched.find(name);
    if (known != m_watched.end() && known->second.health.incarnation == said.incarnation) {
      engine = known->second;
    }
    engine.health.name = name;
    engine.health.incarnation = said.incarnation;
    if (engine.is_asking || now < engine.ask_at) continue;
    engine.is_asking = true;
    engine.asked_at = now;
    engine.ask_at = now + AskInterval(engine);
    due.push_back({name, said.incarnation, said.address});
  }
  m_watched = std::move(watched);
  return due;
}

std::chrono::milliseconds EngineMonitor::AskInterval(const Watched& engine) {
  if (!engine.is_known || !engine.health.answers) return kEngineProbeInterval;
  if (engine.health.load >= kBusyLoad) return kBusyProbeInterval;
  return engine.health.load < kIdleLoad ? kIdleProbeInterval : kEngineProbeInterval;
}

void EngineMonitor::Suspect(TimePoint now, const std::string& name) {
  const auto engine = m_watched.find(name);
  if (engine == m_watched.end()) return;
  const TimePoint soon = std::max(now, engine->second.asked_at + kSuspectProbeInterval);
  engine->second.ask_at = std::min(engine->second.ask_at, soon);
}

EngineMonitor::Watched* EngineMonitor::Find(const EngineProbe& question) {
  const auto engine = m_watched.find(question.name);
  if (engine == m_watched.end()) return nullptr;
  const bool same_life = engine->second.health.incarnation == question.incarnation;
  return same_life ? &engine->second : nullptr;
}

void EngineMonitor::OnProbeAnswered(const EngineProbe& question, const EngineReport& report) {
  Watched* engine = Find(question);
  if (engine == nullptr) return;
  engine->is_asking = false;
  engine->unanswered = 0;
  const bool is_back = engine->is_known && !engine->health.answers;
  engine->is_known = true;
  engine->health.answers = true;
  engine->health.load = report.kv_total > 0.0 ? report.kv_used / report.kv_total : 0.0;
  engine->health.slowness = report.slowness;
  engine->is_untold = true;
  engine->is_urgent = engine->is_urgent || is_back;
}

void EngineMonitor::OnProbeFailed(TimePoint now, const EngineProbe& question) {
  Watched* engine = Find(question);
  if (engine == nullptr) return;
  engine->is_asking = false;
  if (++engine->unanswered < kFailedProbesBeforeLost) {
    engine->ask_at = std::min(engine->ask_at, now + kSuspectProbeInterval);
    return;
  }
  engine->is_untold = true;
  engine->is_urgent = engine->is_urgent || !engine->is_known || engine->health.answers;
  engine->is_known = true;
  engine->health.answers = false;
}

bool EngineMonitor::IsCutOff() const {
  const auto silent = std::count_if(m_watched.begin(), m_watched.end(), [](const auto& engine) {
    return engine.second.unanswered > 0;
  });
  return static_cast<std::size_t>(silent) * 2 > m_watched.size();
}

std::vector<EngineHealth> EngineMonitor::TakeHealthUpdates(TimePoint now) {
  std::vector<EngineHealth> news;
  const bool tell_all = now >= m_tell_at;
  if (tell_all) m_tell_at = now + kPublishInterval;
  const bool is_cut_off = IsCutOff();
  for (auto& [name, engine] : m_watched) {
    if (!engine.is_urgent && !(tell_all && engine.is_untold)) continue;
    // It stays untold until the way to the engines is back.
    if (is_cut_off && !engine.health.answers) continue;
    engine.is_untold = false;
    engine.is_urgent = false;
    news.push_back(engine.health);
  }
  return news;
}

}  // namespace corneltray
