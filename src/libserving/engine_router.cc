#include "corneltray/engine_router.h"

#include <algorithm>
#include <utility>

namespace corneltray {
namespace {

constexpr double kMillisecondsPerSecond = 1000.0;
// Time for a token to reach the next stage, without its activation.
constexpr double kHopSeconds = 0.0003;
// Another zone is considered when the first stage of the own zone is this full.
constexpr double kNearlyFull = 0.8;
// A report of load counts this long.
constexpr std::chrono::milliseconds kLoadLifetime{2000};

}  // namespace

EngineRouter::EngineRouter(std::string own_zone, EngineProfile profile)
    : m_own_zone(std::move(own_zone)), m_profile(std::move(profile)) {}

void EngineRouter::SetEngines(const std::string& service, const UpstreamTable& upstreams) {
  const double tokens = std::max(1.0, m_profile.usual_answer_tokens);
  const double step_s = m_profile.step_ms / kMillisecondsPerSecond;
  const double read_s = m_profile.usual_prompt_tokens / std::max(1.0, m_profile.read_tokens_per_s);
  std::map<std::string, std::vector<Engine>> by_zone;
  std::vector<Engine> all;
  for (const auto& [name, record] : upstreams.Records()) {
    const Announcement& said = record.announcement;
    if (said.service != service || !record.IsReady() || said.holdings.empty()) continue;
    const auto kind = m_profile.accelerators.find(said.accelerator);
    Engine engine;
    engine.name = name;
    engine.address = said.address;
    engine.zone = said.availability_zone;
    engine.slots = std::max(1U, said.slots > 0 ? said.slots : m_profile.slots);
    engine.slot.first = said.holdings.front().first_layer;
    engine.slot.end = said.holdings.front().last_layer + 1;
    const bool known = kind != m_profile.accelerators.end();
    const double step_factor = known ? kind->second.step_factor : 1.0;
    const double read_factor = known ? kind->second.read_factor : 1.0;
    engine.slot.layer_cost_s =
        (tokens * step_s * step_factor + read_s * read_factor) / std::max(1U, m_profile.layers);
    engine.slot.hop_cost_s = tokens * kHopSeconds;
    by_zone[engine.zone].push_back(engine);
    all.push_back(std::move(engine));
  }
  m_zones.clear();
  m_zones.push_back(MakePool(m_own_zone, by_zone[m_own_zone]));
  for (const auto& [zone, engines] : by_zone) {
    if (zone != m_own_zone) m_zones.push_back(MakePool(zone, engines));
  }
  m_all = MakePool("", all);
}

EngineRouter::Pool EngineRouter::MakePool(const std::string& zone,
                                          const std::vector<Engine>& engines) const {
  Pool pool;
  pool.zone = zone;
  pool.engines = engines;
  for (const Engine& engine : engines) pool.slots.push_back(engine.slot);
  pool.search.SetRanges(pool.slots, m_profile.layers);
  return pool;
}

ChainChoice EngineRouter::Choose(TimePoint now, const UpstreamTable& upstreams,
                                 const std::set<std::string>& excluded) {
  ChainChoice best;
  for (Pool& pool : m_zones) {
    const bool own = pool.zone == m_own_zone;
    if (!best.stages.empty() && best.load < kNearlyFull) break;
    ChainChoice choice = ChooseFrom(now, upstreams, excluded, &pool);
    if (choice.stages.empty()) continue;
    choice.scope = own ? ChainScope::kOwnZone : ChainScope::kOtherZone;
    if (best.stages.empty() || choice.load < best.load) best = std::move(choice);
  }
  if (!best.stages.empty()) return best;
  best = ChooseFrom(now, upstreams, excluded, &m_all);
  if (!best.stages.empty()) best.scope = ChainScope::kAcrossZones;
  return best;
}

ChainChoice EngineRouter::ChooseFrom(TimePoint now, const UpstreamTable& upstreams,
                                     const std::set<std::string>& excluded, Pool* pool) {
  ChainChoice choice;
  for (std::size_t i = 0; i < pool->engines.size(); ++i) {
    const Engine& engine = pool->engines[i];
    pool->slots[i].usable =
        excluded.count(engine.address) == 0 && IsUsable(now, engine, upstreams);
  }
  constexpr int kAnyFirst = -1;
  for (const ChainPart& part : pool->search.Find(pool->slots, kAnyFirst)) {
    const Engine& engine = pool->engines[part.slot];
    choice.stages.push_back({engine.name, engine.address, part.first, part.end});
    if (choice.stages.size() == 1) choice.load = LoadOf(now, engine);
  }
  return choice;
}

bool EngineRouter::IsUsable(TimePoint now, const Engine& engine, const UpstreamTable& upstreams) {
  const UpstreamRecord* record = upstreams.Find(engine.name);
  if (record == nullptr || !record->IsReady()) return false;
  const auto suspicion = m_suspicions.find(engine.address);
  if (suspicion == m_suspicions.end()) return true;
  const bool announced = record->announcement.sequence > suspicion->second.sequence;
  if (now < suspicion->second.until || !announced) return false;
  m_suspicions.erase(suspicion);
  return true;
}

double EngineRouter::LoadOf(TimePoint now, const Engine& engine) const {
  const auto found = m_loads.find(engine.address);
  if (found == m_loads.end()) return 0.0;
  const Load& load = found->second;
  const double known = now < load.expires_at ? load.report.running + load.report.waiting +
                                                   load.begun_since
                                             : load.in_flight;
  return known / engine.slots;
}

void EngineRouter::Begin(const std::vector<ChainStage>& chain) {
  if (chain.empty()) return;
  Load& load = m_loads[chain.front().address];
  ++load.in_flight;
  ++load.begun_since;
}

void EngineRouter::End(const std::vector<ChainStage>& chain) {
  if (chain.empty()) return;
  Load& load = m_loads[chain.front().address];
  if (load.in_flight > 0) --load.in_flight;
}

void EngineRouter::Report(TimePoint now, const std::string& address, const LoadReport& report) {
  Load& load = m_loads[address];
  load.report = report;
  load.expires_at = now + kLoadLifetime;
  load.begun_since = 0;
}

void EngineRouter::Suspect(TimePoint now, const std::string& address, std::uint64_t sequence) {
  m_suspicions[address] = {now + kSuspectFor, sequence};
}

}  // namespace corneltray
