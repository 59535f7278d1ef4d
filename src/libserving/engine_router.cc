#include "corneltray/engine_router.h"

#include <algorithm>
#include <utility>

namespace corneltray {
namespace {

constexpr double kMillisecondsPerSecond = 1000.0;
constexpr double kBytesPerMegabyte = 1e6;
constexpr double kBitsPerByte = 8.0;
// Delay of a token on its way to the next stage, in the same zone and to another one.
constexpr double kHopSeconds = 0.0003;
constexpr double kZoneHopSeconds = 0.0006;
// Transfers between zones share a pipe; one is expected to take this many times its own time.
constexpr double kPipeSharing = 6.0;
// What a chain or a stage in another zone must be faster by, so that a zone with faster engines
// does not draw the load of all others.
constexpr double kOtherZoneSeconds = 0.6;
// A stage counts as slower when it is fuller than this, up to kFullStageFactor times.
constexpr double kFillingUp = 0.7;
constexpr double kFullStageFactor = 6.0;
// Adds this to the cost of a stage that said that it is full; it is used if nothing else is left.
constexpr double kFullPenaltySeconds = 5.0;
constexpr std::chrono::milliseconds kLoadLifetime{2000};
constexpr std::chrono::milliseconds kSlowFor{5000};

}  // namespace

EngineRouter::EngineRouter(std::string own_zone, EngineProfile profile)
    : m_own_zone(std::move(own_zone)), m_profile(std::move(profile)) {}

void EngineRouter::SetEngines(const std::string& service, const UpstreamTable& upstreams) {
  const double layers = std::max(1U, m_profile.layers);
  const double answer = std::max(1.0, m_profile.usual_answer_tokens);
  const double step_s = m_profile.step_ms / kMillisecondsPerSecond;
  const double read_s = m_profile.usual_prompt_tokens / std::max(1.0, m_profile.read_tokens_per_s);
  m_engines.clear();
  m_pools.clear();
  std::set<std::string> zones;
  for (const auto& [name, record] : upstreams.Records()) {
    const Announcement& said = record.announcement;
    if (said.service != service || !record.IsReady() || said.holdings.empty()) continue;
    const auto known = m_profile.accelerators.find(said.accelerator);
    if (known == m_profile.accelerators.end()) continue;
    const AcceleratorKind& kind = known->second;
    Engine engine;
    engine.name = name;
    engine.address = said.address;
    engine.zone = said.availability_zone;
    engine.first = said.holdings.front().first_layer;
    engine.end = said.holdings.front().last_layer + 1;
    engine.layer_token_s = step_s * kind.step_factor / layers;
    engine.layer_cost_s = answer * engine.layer_token_s + read_s * kind.read_factor / layers;
    const double held = engine.end - engine.first;
    const double room_mb = std::max(0.0, kind.memory_mb - held * m_profile.layer_mb);
    const double token_mb = m_profile.kv_token_bytes / layers * held / kBytesPerMegabyte;
    engine.room_tokens = std::max(1.0, token_mb > 0.0 ? room_mb / token_mb : 1.0);
    zones.insert(engine.zone);
    m_states[engine.address].zone = engine.zone;
    m_engines.push_back(std::move(engine));
  }
  AddPool("");
  for (const std::string& zone : zones) {
    if (zone != m_own_zone) AddPool(zone);
  }
}

void EngineRouter::AddPool(const std::string& zone) {
  Pool pool;
  pool.zone = zone;
  for (std::size_t i = 0; i < m_engines.size(); ++i) {
    const Engine& engine = m_engines[i];
    if (!zone.empty() && engine.zone != zone) continue;
    ChainSlot slot;
    slot.first = engine.first;
    slot.end = engine.end;
    pool.engines.push_back(i);
    pool.slots.push_back(slot);
  }
  pool.search.SetRanges(pool.slots, m_profile.layers);
  m_pools.push_back(std::move(pool));
}

// Time that a usual request spends on the way into a stage. In the pool of one zone every stage is
// next to the others.
double EngineRouter::HopCost(const Engine& engine, const Pool& pool) const {
  const double answer = std::max(1.0, m_profile.usual_answer_tokens);
  const std::string& home = pool.zone.empty() ? m_own_zone : pool.zone;
  if (engine.zone == home) return answer * kHopSeconds;
  const double bits = m_profile.usual_prompt_tokens * m_profile.activation_bytes * kBitsPerByte;
  const double transfer_s =
      m_profile.pipe_mbps > 0.0 ? bits / (m_profile.pipe_mbps * kBytesPerMegabyte) : 0.0;
  // Into the zone and out of it again.
  return kOtherZoneSeconds + answer * kZoneHopSeconds + 2.0 * kPipeSharing * transfer_s;
}

ChainChoice EngineRouter::Choose(TimePoint now, const UpstreamTable& upstreams,
                                 const std::set<std::string>& excluded) {
  std::vector<bool> usable(m_engines.size());
  for (std::size_t i = 0; i < m_engines.size(); ++i) {
    usable[i] = excluded.count(m_engines[i].address) == 0 && IsUsable(now, m_engines[i], upstreams);
  }
  ChainChoice best;
  for (Pool& pool : m_pools) {
    ChainChoice choice = Search(now, usable, &pool);
    if (choice.stages.empty()) continue;
    if (best.stages.empty() || choice.cost_s < best.cost_s) best = std::move(choice);
  }
  return best;
}

ChainChoice EngineRouter::Search(TimePoint now, const std::vector<bool>& usable, Pool* pool) {
  for (std::size_t i = 0; i < pool->engines.size(); ++i) {
    const Engine& engine = m_engines[pool->engines[i]];
    const State& state = m_states[engine.address];
    ChainSlot& slot = pool->slots[i];
    slot.usable = usable[pool->engines[i]];
    const double load =
        std::clamp((LoadOf(now, engine) - kFillingUp) / (1.0 - kFillingUp), 0.0, 1.0);
    const double slowness = now < state.slow_until ? state.slowness : 1.0;
    slot.layer_cost_s =
        engine.layer_cost_s * slowness * (1.0 + (kFullStageFactor - 1.0) * load * load);
    slot.hop_cost_s = HopCost(engine, *pool);
    if (now < state.full_until) slot.hop_cost_s += kFullPenaltySeconds;
  }
  ChainChoice choice;
  constexpr int kAnyFirst = -1;
  bool own = true;
  bool foreign = true;
  for (const ChainPart& part : pool->search.Find(pool->slots, kAnyFirst)) {
    const Engine& engine = m_engines[pool->engines[part.slot]];
    choice.stages.push_back({engine.name, engine.address, part.first, part.end});
    choice.token_s += engine.layer_token_s * (part.end - part.first) + kHopSeconds;
    choice.load = std::max(choice.load, LoadOf(now, engine));
    own = own && engine.zone == m_own_zone;
    foreign = foreign && engine.zone == pool->zone;
  }
  if (choice.stages.empty()) return choice;
  choice.scope = own       ? ChainScope::kOwnZone
                 : foreign ? ChainScope::kOtherZone
                           : ChainScope::kAcrossZones;
  choice.cost_s = pool->search.Cost();
  if (!pool->zone.empty()) {
    choice.cost_s += kOtherZoneSeconds;
  }
  return choice;
}

bool EngineRouter::IsUsable(TimePoint now, const Engine& engine, const UpstreamTable& upstreams) {
  const UpstreamRecord* record = upstreams.Find(engine.name);
  if (record == nullptr || !record->IsReady()) return false;
  State& state = m_states[engine.address];
  if (!state.is_suspect) return true;
  const bool announced = record->announcement.sequence > state.suspect_sequence;
  if (now < state.suspect_until || !announced) return false;
  state.is_suspect = false;
  return true;
}

// Tokens in the memory of a stage over its room. What all hosts have in the chains of its zone is
// known from the first stages there; without a report only the requests of this host are.
double EngineRouter::LoadOf(TimePoint now, const Engine& engine) const {
  const auto state = m_states.find(engine.address);
  double tokens = state == m_states.end() ? 0.0 : state->second.tokens;
  const auto zone = m_zone_loads.find(engine.zone);
  if (zone != m_zone_loads.end() && now < zone->second.expires_at) {
    const double usual = m_profile.usual_prompt_tokens + m_profile.usual_answer_tokens / 2.0;
    tokens = std::max(tokens, usual * (zone->second.running + zone->second.begun_since));
  }
  return tokens / engine.room_tokens;
}

void EngineRouter::Begin(const std::vector<ChainStage>& chain, double tokens) {
  for (const ChainStage& stage : chain) m_states[stage.address].tokens += tokens;
  if (!chain.empty()) ++m_zone_loads[m_states[chain.front().address].zone].begun_since;
}

void EngineRouter::End(const std::vector<ChainStage>& chain, double tokens) {
  for (const ChainStage& stage : chain) {
    double& held = m_states[stage.address].tokens;
    held = std::max(0.0, held - tokens);
  }
}

void EngineRouter::Report(TimePoint now, const std::string& address, const LoadReport& report) {
  m_zone_loads[m_states[address].zone] = {report.running + report.waiting, 0, now + kLoadLifetime};
}

void EngineRouter::Suspect(TimePoint now, const std::string& address, std::uint64_t sequence) {
  State& state = m_states[address];
  state.is_suspect = true;
  state.suspect_until = now + kSuspectFor;
  state.suspect_sequence = sequence;
}

void EngineRouter::MarkFull(TimePoint now, const std::string& address) {
  m_states[address].full_until = now + kFullFor;
}

void EngineRouter::SetSlowness(TimePoint now, const std::string& address, double slowness) {
  State& state = m_states[address];
  state.slowness = std::max(1.0, slowness);
  state.slow_until = now + kSlowFor;
}

}  // namespace corneltray
