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
// Part of its room that a copy is taken to have at least when one is drawn.
constexpr double kLeastFree = 0.1;
// Adds this to the cost of a stage that said that it is full; it is used if nothing else is left.
constexpr double kFullPenaltySeconds = 5.0;
constexpr std::chrono::milliseconds kLoadLifetime{2000};
constexpr std::chrono::milliseconds kSlowFor{5000};

// How many times longer a stage takes at this load.
double Slowdown(double load) {
  const double filled = std::clamp((load - kFillingUp) / (1.0 - kFillingUp), 0.0, 1.0);
  return 1.0 + (kFullStageFactor - 1.0) * filled * filled;
}

}  // namespace

EngineRouter::EngineRouter(std::string own_zone, EngineProfile profile, std::uint64_t seed)
    : m_own_zone(std::move(own_zone)), m_profile(std::move(profile)), m_random(seed) {}

void EngineRouter::SetEngines(const std::string& service, const UpstreamTable& upstreams) {
  const double layers = std::max(1U, m_profile.layers);
  const double answer = std::max(1.0, m_profile.usual_answer_tokens);
  const double step_s = m_profile.step_ms / kMillisecondsPerSecond;
  const double read_s = m_profile.usual_prompt_tokens / std::max(1.0, m_profile.read_tokens_per_s);
  m_engines.clear();
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
    m_engines.push_back(std::move(engine));
  }
  m_all = MakePool(m_own_zone, PoolScope::kAllZones);
  m_zones.clear();
  m_zones.push_back(MakePool(m_own_zone, PoolScope::kOneZone));
  for (const std::string& zone : zones) {
    if (zone != m_own_zone) m_zones.push_back(MakePool(zone, PoolScope::kOneZone));
  }
}

EngineRouter::Pool EngineRouter::MakePool(const std::string& zone, PoolScope scope) const {
  Pool pool;
  pool.zone = zone;
  for (std::size_t i = 0; i < m_engines.size(); ++i) {
    const Engine& engine = m_engines[i];
    if (scope == PoolScope::kOneZone && engine.zone != zone) continue;
    ChainSlot slot;
    slot.first = engine.first;
    slot.end = engine.end;
    pool.engines.push_back(i);
    pool.slots.push_back(slot);
  }
  pool.search.SetRanges(pool.slots, m_profile.layers);
  return pool;
}

// Time that a usual request spends on the way into a stage, in a chain with this home zone.
double EngineRouter::HopCost(const Engine& engine, const std::string& home) const {
  const double answer = std::max(1.0, m_profile.usual_answer_tokens);
  if (engine.zone == home) return answer * kHopSeconds;
  const double bits = m_profile.usual_prompt_tokens * m_profile.activation_bytes * kBitsPerByte;
  const double transfer_s =
      m_profile.pipe_mbps > 0.0 ? bits / (m_profile.pipe_mbps * kBytesPerMegabyte) : 0.0;
  // Into the zone and out of it again.
  return kOtherZoneSeconds + answer * kZoneHopSeconds + 2.0 * kPipeSharing * transfer_s;
}

ChainChoice EngineRouter::Choose(TimePoint now, const UpstreamTable& upstreams,
                                 const std::set<std::string>& excluded) {
  if (m_zones.empty()) return {};
  UpdateZoneLoads(now);
  std::vector<bool> usable(m_engines.size());
  std::vector<bool> alive(m_engines.size());
  for (std::size_t i = 0; i < m_engines.size(); ++i) {
    usable[i] = excluded.count(m_engines[i].address) == 0 && IsUsable(now, m_engines[i], upstreams);
    alive[i] = usable[i] && !IsSilent(now, m_engines[i], upstreams);
  }
  ChainChoice choice = ChooseAmong(now, alive);
  // The way to the control processes may be lost instead of the engines.
  if (choice.stages.empty() && alive != usable) choice = ChooseAmong(now, usable);
  return choice;
}

ChainChoice EngineRouter::ChooseAmong(TimePoint now, const std::vector<bool>& usable) {
  ChainChoice best = DrawCopy(now, usable, &m_zones.front());
  if (!best.stages.empty() && best.load < kFillingUp) return best;
  const auto take_cheaper = [&best](ChainChoice choice) {
    if (choice.stages.empty()) return;
    if (best.stages.empty() || choice.cost_s < best.cost_s) best = std::move(choice);
  };
  ChainChoice cheapest = FindCheapest(now, usable);
  // Within the own zone the draw stands: the cheapest chain is the same one for all hosts.
  if (best.stages.empty() || cheapest.scope != ChainScope::kOwnZone) {
    take_cheaper(std::move(cheapest));
  }
  for (std::size_t i = 1; i < m_zones.size(); ++i) {
    take_cheaper(DrawCopy(now, usable, &m_zones[i]));
  }
  return best;
}

// Sets the costs of a usual request at each engine of the pool, without regard to load.
void EngineRouter::SetCosts(TimePoint now, const std::vector<bool>& usable, Pool* pool) {
  for (std::size_t i = 0; i < pool->engines.size(); ++i) {
    const Engine& engine = m_engines[pool->engines[i]];
    const State& state = m_states[engine.address];
    ChainSlot& slot = pool->slots[i];
    slot.usable = usable[pool->engines[i]];
    slot.layer_cost_s = engine.layer_cost_s * (now < state.slow_until ? state.slowness : 1.0);
    slot.hop_cost_s = HopCost(engine, pool->zone);
    if (now < state.full_until) slot.hop_cost_s += kFullPenaltySeconds;
  }
}

EngineRouter::Copy EngineRouter::Find(Pool* pool) {
  Copy copy;
  ChainChoice& choice = copy.choice;
  constexpr int kAnyFirst = -1;
  bool own = true;
  bool one_zone = true;
  for (const ChainPart& part : pool->search.Find(pool->slots, kAnyFirst)) {
    const Engine& engine = m_engines[pool->engines[part.slot]];
    choice.stages.push_back({engine.name, engine.address, part.first, part.end});
    choice.token_s += engine.layer_token_s * (part.end - part.first) + kHopSeconds;
    choice.load = std::max(choice.load, LoadOf(engine));
    copy.slots.push_back(part.slot);
    copy.room_tokens = std::min(copy.room_tokens, engine.room_tokens);
    own = own && engine.zone == m_own_zone;
    one_zone = one_zone && engine.zone == pool->zone;
  }
  if (choice.stages.empty()) return copy;
  choice.scope = own        ? ChainScope::kOwnZone
                 : one_zone ? ChainScope::kOtherZone
                            : ChainScope::kAcrossZones;
  choice.cost_s = pool->search.Cost();
  return copy;
}

// The cheapest chain over the engines of all zones, where a fuller stage counts as a slower one.
ChainChoice EngineRouter::FindCheapest(TimePoint now, const std::vector<bool>& usable) {
  SetCosts(now, usable, &m_all);
  for (std::size_t i = 0; i < m_all.engines.size(); ++i) {
    m_all.slots[i].layer_cost_s *= Slowdown(LoadOf(m_engines[m_all.engines[i]]));
  }
  return Find(&m_all).choice;
}

// Takes the cheapest chain out of the pool, then the cheapest of what is left, and so on.
std::vector<EngineRouter::Copy> EngineRouter::FindCopies(TimePoint now,
                                                         const std::vector<bool>& usable,
                                                         Pool* pool) {
  SetCosts(now, usable, pool);
  std::vector<Copy> copies;
  for (;;) {
    Copy copy = Find(pool);
    if (copy.choice.stages.empty()) return copies;
    for (const std::uint32_t slot : copy.slots) pool->slots[slot].usable = false;
    copy.choice.load = LoadOf(now, copy);
    copies.push_back(std::move(copy));
  }
}

// Draws one of the chains of a zone. Its cost then includes the load and the way into the zone.
ChainChoice EngineRouter::DrawCopy(TimePoint now, const std::vector<bool>& usable, Pool* pool) {
  std::vector<Copy> copies = FindCopies(now, usable, pool);
  if (copies.empty()) return {};
  std::vector<double> weights;
  for (const Copy& copy : copies) {
    const double free_tokens = copy.room_tokens * std::max(kLeastFree, 1.0 - copy.choice.load);
    weights.push_back(free_tokens / (copy.choice.cost_s * copy.choice.cost_s));
  }
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  ChainChoice choice = std::move(copies[draw(m_random)].choice);
  choice.cost_s *= Slowdown(choice.load);
  if (choice.scope == ChainScope::kOtherZone) choice.cost_s += kOtherZoneSeconds;
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

bool EngineRouter::IsSilent(TimePoint now, const Engine& engine, const UpstreamTable& upstreams) {
  const UpstreamRecord* record = upstreams.Find(engine.name);
  return record == nullptr || !record->IsAlive(now);
}

// Tokens that all requests at a first stage keep in the memory of each stage of its chain; empty
// without a report of late.
std::optional<double> EngineRouter::TokensAt(TimePoint now, const std::string& first_stage) const {
  const auto load = m_first_loads.find(first_stage);
  if (load == m_first_loads.end() || now >= load->second.expires_at) return std::nullopt;
  const double usual = m_profile.usual_prompt_tokens + m_profile.usual_answer_tokens / 2.0;
  return usual * (load->second.running + load->second.begun_since);
}

// Fills m_zone_loads: tokens over room, over the first stages of a zone that reported.
void EngineRouter::UpdateZoneLoads(TimePoint now) {
  struct Sums {
    double tokens = 0.0;
    double room_tokens = 0.0;
  };
  std::map<std::string, Sums> by_zone;
  for (const Engine& engine : m_engines) {
    if (engine.first != 0) continue;
    const std::optional<double> tokens = TokensAt(now, engine.address);
    if (!tokens) continue;
    Sums& sums = by_zone[engine.zone];
    sums.tokens += *tokens;
    sums.room_tokens += engine.room_tokens;
  }
  m_zone_loads.clear();
  for (const auto& [zone, sums] : by_zone) m_zone_loads[zone] = sums.tokens / sums.room_tokens;
}

// Tokens in the memory of a stage over its room. What other hosts have there is taken to be the
// mean of its zone; without a report only the requests of this host are known.
double EngineRouter::LoadOf(const Engine& engine) const {
  const auto state = m_states.find(engine.address);
  const double own = state == m_states.end() ? 0.0 : state->second.tokens / engine.room_tokens;
  const auto zone = m_zone_loads.find(engine.zone);
  return zone == m_zone_loads.end() ? own : std::max(own, zone->second);
}

// Tokens over room in the stage of a copy that has the least room; 1 if a stage said that it is
// full.
double EngineRouter::LoadOf(TimePoint now, const Copy& copy) const {
  const ChainStage& first = copy.choice.stages.front();
  const bool is_full = std::any_of(
      copy.choice.stages.begin(), copy.choice.stages.end(), [&](const ChainStage& stage) {
        const auto state = m_states.find(stage.address);
        return state != m_states.end() && now < state->second.full_until;
      });
  if (is_full) return 1.0;
  const std::optional<double> tokens = TokensAt(now, first.address);
  return tokens ? *tokens / copy.room_tokens : copy.choice.load;
}

void EngineRouter::Begin(const std::vector<ChainStage>& chain, double tokens) {
  for (const ChainStage& stage : chain) m_states[stage.address].tokens += tokens;
  if (!chain.empty()) ++m_first_loads[chain.front().address].begun_since;
}

void EngineRouter::End(const std::vector<ChainStage>& chain, double tokens) {
  for (const ChainStage& stage : chain) {
    double& held = m_states[stage.address].tokens;
    held = std::max(0.0, held - tokens);
  }
}

void EngineRouter::Report(TimePoint now, const std::string& address, const LoadReport& report) {
  m_first_loads[address] = {report.running + report.waiting, 0, now + kLoadLifetime};
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
