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
// A copy that is known to be fuller than this is used only if no other has room.
constexpr double kFull = 0.95;
// Part of its room that a copy is taken to have at least when one is drawn.
constexpr double kLeastFree = 0.1;
// Adds this to the cost of a stage that said that it is full; it is used if nothing else is left.
constexpr double kFullPenaltySeconds = 5.0;
constexpr std::chrono::milliseconds kLoadLifetime{2000};

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
    engine.layer_cost_s = (answer * step_s * kind.step_factor + read_s * kind.read_factor) / layers;
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
    alive[i] = usable[i] && !IsLost(now, m_engines[i], upstreams);
  }
  ChainChoice choice = ChooseAmong(now, alive);
  // The way to the control processes may be lost instead of the engines.
  if (choice.stages.empty() && alive != usable) choice = ChooseAmong(now, usable);
  return choice;
}

ChainChoice EngineRouter::ChooseAmong(TimePoint now, const std::vector<bool>& usable) {
  ChainChoice best = Draw(FindCopies(now, usable, &m_zones.front()));
  if (!best.stages.empty() && best.load < kFillingUp) return best;
  const auto take_cheaper = [&best](ChainChoice choice) {
    if (choice.stages.empty()) return;
    if (best.stages.empty() || choice.cost_s < best.cost_s) best = std::move(choice);
  };
  std::vector<Copy> others;
  for (std::size_t i = 1; i < m_zones.size(); ++i) {
    for (Copy& copy : FindCopies(now, usable, &m_zones[i])) others.push_back(std::move(copy));
  }
  take_cheaper(Draw(others));
  if (!best.stages.empty() && best.load < kFull) return best;
  ChainChoice cheapest = FindCheapest(now, usable);
  // Within the own zone the draw stands: the cheapest chain is the same one for all hosts.
  if (best.stages.empty() || cheapest.scope != ChainScope::kOwnZone) {
    take_cheaper(std::move(cheapest));
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
    const EngineHealth* health = HealthOf(now, engine.address);
    slot.layer_cost_s = engine.layer_cost_s * (health == nullptr ? 1.0 : health->slowness);
    slot.hop_cost_s = HopCost(engine, pool->zone);
    if (now < state.full_until) slot.hop_cost_s += kFullPenaltySeconds;
  }
}

EngineRouter::Copy EngineRouter::Find(TimePoint now, Pool* pool, SearchKind kind) {
  Copy copy;
  ChainChoice& choice = copy.choice;
  constexpr int kAnyFirst = -1;
  bool own = true;
  bool one_zone = true;
  const std::vector<ChainPart>& parts = kind == SearchKind::kWholeRanges
                                            ? pool->search.FindWholeRangeChain(pool->slots)
                                            : pool->search.Find(pool->slots, kAnyFirst);
  for (const ChainPart& part : parts) {
    const Engine& engine = m_engines[pool->engines[part.slot]];
    choice.stages.push_back({engine.name, engine.address, part.first, part.end});
    choice.load = std::max(choice.load, LoadOf(now, engine));
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
    m_all.slots[i].layer_cost_s *= Slowdown(LoadOf(now, m_engines[m_all.engines[i]]));
  }
  return Find(now, &m_all, SearchKind::kAnyRanges).choice;
}

// Takes the cheapest chain out of the pool, then the cheapest of what is left, and so on: first the
// copies as they were placed, then what the other engines make up together.
std::vector<EngineRouter::Copy> EngineRouter::FindCopies(TimePoint now,
                                                         const std::vector<bool>& usable,
                                                         Pool* pool) {
  SetCosts(now, usable, pool);
  std::vector<Copy> copies;
  SearchKind kind = SearchKind::kWholeRanges;
  for (;;) {
    Copy copy = Find(now, pool, kind);
    if (copy.choice.stages.empty()) {
      if (kind == SearchKind::kAnyRanges) return copies;
      kind = SearchKind::kAnyRanges;
      continue;
    }
    for (const std::uint32_t slot : copy.slots) pool->slots[slot].usable = false;
    SetLoad(now, &copy);
    copies.push_back(std::move(copy));
  }
}

// Draws one of these chains; an empty choice if there is none. Its cost then includes the load and
// the way into the zone. A full copy is drawn only if all are full.
ChainChoice EngineRouter::Draw(const std::vector<Copy>& copies) {
  if (copies.empty()) return {};
  const bool all_full =
      std::all_of(copies.begin(), copies.end(), [](const Copy& copy) { return copy.is_full; });
  std::vector<double> weights;
  for (const Copy& copy : copies) {
    const double free_tokens = copy.room_tokens * std::max(kLeastFree, 1.0 - copy.choice.load);
    const double weight = free_tokens / (copy.choice.cost_s * copy.choice.cost_s);
    weights.push_back(copy.is_full && !all_full ? 0.0 : weight);
  }
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  ChainChoice choice = copies[draw(m_random)].choice;
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

bool EngineRouter::IsLost(TimePoint now, const Engine& engine,
                          const UpstreamTable& upstreams) const {
  const UpstreamRecord* record = upstreams.Find(engine.name);
  if (record == nullptr || !record->IsAlive(now)) return true;
  const EngineHealth* health = HealthOf(now, engine.address);
  return health != nullptr && !health->answers &&
         health->incarnation == record->announcement.incarnation;
}

const EngineHealth* EngineRouter::HealthOf(TimePoint now, const std::string& address) const {
  const auto state = m_states.find(address);
  if (state == m_states.end() || now >= state->second.health_until) return nullptr;
  return &state->second.health;
}

// Share of the memory of an engine in use, as it told, and what this host has sent there since.
std::optional<double> EngineRouter::ObservedLoad(TimePoint now, const Engine& engine) const {
  const EngineHealth* health = HealthOf(now, engine.address);
  if (health == nullptr || !health->answers) return std::nullopt;
  return health->load + m_states.at(engine.address).tokens_since / engine.room_tokens;
}

bool EngineRouter::UpdateHealth(TimePoint now, const EngineHealth& health) {
  const auto engine = std::find_if(m_engines.begin(), m_engines.end(),
                                   [&](const Engine& e) { return e.name == health.name; });
  if (engine == m_engines.end()) return false;
  const EngineHealth* known = HealthOf(now, engine->address);
  const bool was_lost = known != nullptr && !known->answers && known->name == health.name;
  State& state = m_states[engine->address];
  state.health = health;
  state.health.slowness = std::max(1.0, health.slowness);
  state.health_until = now + kHealthLifetime;
  state.tokens_since = 0.0;
  return !health.answers && !was_lost;
}

bool EngineRouter::IsNearlyFull(TimePoint now, const std::string& address) const {
  const EngineHealth* health = HealthOf(now, address);
  return health != nullptr && health->load >= kFillingUp;
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

// Tokens in the memory of a stage over its room. Unless a control process told it, what other hosts
// have there is taken to be the mean of its zone; without any report only the requests of this host
// are known.
double EngineRouter::LoadOf(TimePoint now, const Engine& engine) const {
  if (const auto observed = ObservedLoad(now, engine)) return *observed;
  const auto state = m_states.find(engine.address);
  const double own = state == m_states.end() ? 0.0 : state->second.tokens / engine.room_tokens;
  const auto zone = m_zone_loads.find(engine.zone);
  return zone == m_zone_loads.end() ? own : std::max(own, zone->second);
}

// Sets how full a copy is: tokens over room in its fullest stage. Without word of a control process
// only the requests at its first stage are known.
void EngineRouter::SetLoad(TimePoint now, Copy* copy) const {
  ChainChoice& choice = copy->choice;
  const bool has_refused =
      std::any_of(choice.stages.begin(), choice.stages.end(), [&](const ChainStage& stage) {
        const auto state = m_states.find(stage.address);
        return state != m_states.end() && now < state->second.full_until;
      });
  const bool is_observed =
      std::all_of(choice.stages.begin(), choice.stages.end(),
                  [&](const ChainStage& stage) { return HealthOf(now, stage.address) != nullptr; });
  copy->is_full = has_refused || (is_observed && choice.load >= kFull);
  if (has_refused) {
    choice.load = 1.0;
  } else if (!is_observed) {
    const std::optional<double> tokens = TokensAt(now, choice.stages.front().address);
    if (tokens) choice.load = *tokens / copy->room_tokens;
  }
}

void EngineRouter::Begin(const std::vector<ChainStage>& chain, double tokens) {
  for (const ChainStage& stage : chain) {
    State& state = m_states[stage.address];
    state.tokens += tokens;
    state.tokens_since += tokens;
  }
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
  state.suspect_until = now + kSuspectDuration;
  state.suspect_sequence = sequence;
}

void EngineRouter::MarkFull(TimePoint now, const std::string& address) {
  m_states[address].full_until = now + kFullDuration;
}

}  // namespace corneltray
