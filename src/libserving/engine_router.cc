#include "corneltray/engine_router.h"

#include <algorithm>
#include <utility>

namespace corneltray {
namespace {

constexpr double kMillisecondsPerSecond = 1000.0;
constexpr double kBytesPerMegabyte = 1e6;
constexpr double kBitsPerByte = 8.0;
// Delay per token for the transfer to the next stage, within a zone and between zones.
constexpr double kSameZoneHopSeconds = 0.0003;
constexpr double kCrossZoneHopSeconds = 0.0006;
// Transfers between zones share a link; each is expected to take this many times as long as alone.
constexpr double kLinkSharingFactor = 6.0;
// Extra cost of a chain or stage in another zone, so that a zone with faster engines does not
// attract the load of all other zones.
constexpr double kOtherZonePenaltySeconds = 0.6;
// Estimated times of a stage at full load, relative to those up to kHighLoad.
constexpr double kMaxSlowdown = 6.0;
// Minimum share of free capacity assumed for a copy in the random selection.
constexpr double kMinFreeShare = 0.1;
// Added to the cost of a stage that reported being full or has no room at its pace, so that it is
// used only as a last resort.
constexpr double kFullPenaltySeconds = 5.0;
// A prompt is read in one pass through the stages or more, and the next one writes the first event.
constexpr double kPassesToFirstEvent = 2.0;
// A copy whose expected time to the first event is at most this part of the time that is left gets
// requests by its room and speed alone.
constexpr double kSafePart = 0.5;
// Weight of a copy that is expected to be late. It is not 0, since the estimate may be wrong.
constexpr double kLateWeight = 0.05;
// While more than this part of the engines of the own zone is silent, their announcements are
// assumed to be lost on the way, as when the control processes are cut off from each other.
constexpr double kUnheardShare = 1.0 / 3.0;
// Least time that a request is expected to stay, which bounds the pace that is derived from it.
constexpr double kMinStaySeconds = 0.05;
// The load of a service is known if the copies with a report hold this part of the capacity.
constexpr double kMinReportedShare = 0.5;

// Weight of a copy whose expected time to the first event is this part of the time that is left.
double InTimeWeight(double part) {
  const double lateness = std::clamp((part - kSafePart) / (1.0 - kSafePart), 0.0, 1.0);
  return 1.0 - (1.0 - kLateWeight) * lateness;
}

// Factor by which the time of a stage grows at this load.
double Slowdown(double load) {
  const double excess = std::clamp((load - kHighLoad) / (1.0 - kHighLoad), 0.0, 1.0);
  return 1.0 + (kMaxSlowdown - 1.0) * excess * excess;
}

}  // namespace

EngineRouter::EngineRouter(std::string own_zone, EngineProfile profile, std::uint64_t seed,
                           ServerPace* pace)
    : m_own_zone(std::move(own_zone)),
      m_profile(std::move(profile)),
      m_random(seed),
      m_pace(pace) {}

void EngineRouter::SetEngines(const std::string& service, const UpstreamTable& upstreams) {
  const double layers = std::max(1U, m_profile.layers);
  const double answer = std::max(1.0, m_profile.usual_answer_tokens);
  const double step_s = m_profile.step_ms / kMillisecondsPerSecond;
  const double read_s = m_profile.usual_prompt_tokens / std::max(1.0, m_profile.read_tokens_per_s);
  const double first_event_steps = kPassesToFirstEvent * m_profile.tokens_per_event;
  m_engines.clear();
  std::set<std::string> zones;
  for (const auto& [name, record] : upstreams.Records()) {
    const Announcement& announced = record.announcement;
    if (announced.service != service || !record.IsReady() || announced.holdings.empty()) continue;
    const auto known = m_profile.accelerators.find(announced.accelerator);
    if (known == m_profile.accelerators.end()) continue;
    const AcceleratorKind& kind = known->second;
    Engine engine;
    engine.name = name;
    engine.address = announced.address;
    engine.zone = announced.availability_zone;
    engine.first = announced.holdings.front().first_layer;
    engine.end = announced.holdings.front().last_layer + 1;
    const double read_layer_s = read_s * kind.read_factor / layers;
    const double step_layer_s = step_s * kind.step_factor / layers;
    engine.layer_first_event_s = read_layer_s + first_event_steps * step_layer_s;
    engine.layer_cost_s = read_layer_s + answer * step_layer_s;
    const double held = engine.end - engine.first;
    const double free_mb = std::max(0.0, kind.memory_mb - held * m_profile.layer_mb);
    const double token_mb = m_profile.kv_token_bytes / layers * held / kBytesPerMegabyte;
    engine.capacity_tokens = std::max(1.0, token_mb > 0.0 ? free_mb / token_mb : 1.0);
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

// Tokens that a usual request holds on average while it runs.
double EngineRouter::UsualTokens() const {
  return std::max(1.0, m_profile.usual_prompt_tokens + m_profile.usual_answer_tokens / 2.0);
}

// Time that a typical request spends on transfers into a stage, in a chain that begins and ends in
// `home_zone`.
double EngineRouter::HopCost(const Engine& engine, const std::string& home_zone) const {
  const double answer = std::max(1.0, m_profile.usual_answer_tokens);
  if (engine.zone == home_zone) return answer * kSameZoneHopSeconds;
  const double bits = m_profile.usual_prompt_tokens * m_profile.activation_bytes * kBitsPerByte;
  const double transfer_s =
      m_profile.pipe_mbps > 0.0 ? bits / (m_profile.pipe_mbps * kBytesPerMegabyte) : 0.0;
  // The activations are transferred into the zone and back.
  return kOtherZonePenaltySeconds + answer * kCrossZoneHopSeconds +
         2.0 * kLinkSharingFactor * transfer_s;
}

ChainChoice EngineRouter::Choose(TimePoint now, const UpstreamTable& upstreams,
                                 const std::set<std::string>& excluded,
                                 std::optional<TimePoint> first_event_by) {
  if (m_zones.empty()) return {};
  UpdateZoneLoads(now);
  const std::vector<bool> usable = UsableEngines(now, upstreams, excluded);
  const std::vector<bool> live = LiveEngines(now, upstreams, usable);
  ChainChoice choice = ChooseAmong(now, live, first_event_by);
  // If this leaves no chain, the control processes may be unreachable rather than the engines lost.
  if (choice.stages.empty() && live != usable) choice = ChooseAmong(now, usable, first_event_by);
  if (!choice.is_full) return choice;
  // What broken copies of several zones hold takes no memory from a copy in use.
  ChainChoice spare = FindAmongSpares(now, upstreams, live);
  return spare.stages.empty() ? choice : spare;
}

ChainChoice EngineRouter::Preview(TimePoint now, const UpstreamTable& upstreams,
                                  const std::set<std::string>& excluded,
                                  std::optional<TimePoint> first_event_by) const {
  EngineRouter copy = *this;
  std::optional<ServerPace> pace;
  if (m_pace != nullptr) {
    pace = *m_pace;
    copy.m_pace = &*pace;
  }
  return copy.Choose(now, upstreams, excluded, first_event_by);
}

ServiceRoom EngineRouter::PreviewRoom(TimePoint now, const UpstreamTable& upstreams,
                                      double host_share) const {
  EngineRouter copy = *this;
  std::optional<ServerPace> pace;
  if (m_pace != nullptr) {
    pace = *m_pace;
    copy.m_pace = &*pace;
  }
  return copy.Room(now, upstreams, host_share);
}

std::vector<CandidateView> EngineRouter::Describe(TimePoint now, const UpstreamTable& upstreams,
                                                  const std::set<std::string>& blocked) const {
  EngineRouter copy = *this;  // UsableEngines() ends suspicions
  std::optional<ServerPace> pace;
  if (m_pace != nullptr) {
    pace = *m_pace;
    copy.m_pace = &*pace;
  }
  copy.UpdateZoneLoads(now);
  std::vector<CandidateView> views;
  const std::vector<bool> usable = copy.UsableEngines(now, upstreams, blocked);
  const std::vector<bool> live = copy.LiveEngines(now, upstreams, usable);
  for (std::size_t i = 0; i < copy.m_engines.size(); ++i) {
    const Engine& engine = copy.m_engines[i];
    CandidateView view;
    view.upstream = engine.name;
    view.address = engine.address;
    view.availability_zone = engine.zone;
    view.first_layer = engine.first;
    view.end_layer = engine.end;
    view.load = copy.LoadOf(now, engine);
    view.score = view.load;
    view.room = std::max(0.0, 1.0 - view.load) * engine.capacity_tokens;
    const auto state = m_states.find(engine.address);
    if (state != m_states.end() && now < state->second.health_until) {
      view.report_age = now - (state->second.health_until - kHealthLifetime);
    }
    const UpstreamTableEntry* record = upstreams.Find(engine.name);
    if (m_pace != nullptr) view.share = m_pace->Share(engine.name);
    if (record == nullptr || !record->IsReady()) {
      view.reason = CandidateReason::kLeaving;
    } else if (blocked.count(engine.address) > 0) {
      view.reason = CandidateReason::kBlocked;
    } else if (!usable[i]) {
      view.reason = CandidateReason::kSuspected;
    } else if (!live[i]) {
      view.reason = CandidateReason::kLost;
    } else if (state != m_states.end() && now < state->second.full_until) {
      view.reason = CandidateReason::kFull;
    } else if (m_pace != nullptr && !m_pace->HasRoom(engine.name)) {
      view.reason = CandidateReason::kPace;
    }
    views.push_back(std::move(view));
  }
  return views;
}

std::vector<bool> EngineRouter::UsableEngines(TimePoint now, const UpstreamTable& upstreams,
                                              const std::set<std::string>& excluded) {
  std::vector<bool> usable(m_engines.size());
  for (std::size_t i = 0; i < m_engines.size(); ++i) {
    usable[i] = excluded.count(m_engines[i].address) == 0 && IsUsable(now, m_engines[i], upstreams);
  }
  return usable;
}

std::vector<bool> EngineRouter::LiveEngines(TimePoint now, const UpstreamTable& upstreams,
                                            const std::vector<bool>& usable) const {
  const bool ignores_silence = IsOwnZoneUnheard(now, upstreams);
  std::vector<bool> live(m_engines.size());
  for (std::size_t i = 0; i < m_engines.size(); ++i) {
    const Engine& engine = m_engines[i];
    const bool is_silent =
        !IsHeard(now, engine, upstreams) && !(ignores_silence && engine.zone == m_own_zone);
    live[i] = usable[i] && !is_silent && !IsReportedLost(now, engine, upstreams);
  }
  return live;
}

bool EngineRouter::IsOwnZoneUnheard(TimePoint now, const UpstreamTable& upstreams) const {
  std::size_t engines = 0;
  std::size_t silent = 0;
  for (const Engine& engine : m_engines) {
    if (engine.zone != m_own_zone) continue;
    ++engines;
    if (!IsHeard(now, engine, upstreams)) ++silent;
  }
  return static_cast<double>(silent) > kUnheardShare * static_cast<double>(engines);
}

ServiceRoom EngineRouter::Room(TimePoint now, const UpstreamTable& upstreams, double host_share) {
  ServiceRoom room;
  room.host_share = host_share;
  room.usual_tokens = UsualTokens();
  if (m_zones.empty()) return room;
  UpdateZoneLoads(now);
  const std::vector<bool> live = LiveEngines(now, upstreams, UsableEngines(now, upstreams, {}));
  double used_tokens = 0.0;
  double reported_tokens = 0.0;     // capacity of the copies whose load is known
  double tokens_per_s = 0.0;        // that the copies release when they are full
  double first_event_weight = 0.0;  // times to the first event, weighted by capacity
  for (Pool& zone : m_zones) {
    for (const ModelCopy& copy : FindCopies(now, live, &zone)) {
      const double stay_s = std::max(kMinStaySeconds, copy.choice.cost_s);
      room.capacity_tokens += copy.room_tokens;
      tokens_per_s += copy.room_tokens / stay_s;
      first_event_weight += copy.room_tokens * copy.first_event_s;
      if (!copy.is_observed) continue;
      reported_tokens += copy.room_tokens;
      used_tokens += std::min(copy.room_tokens, copy.capacity_tokens * copy.memory_load);
    }
  }
  if (room.capacity_tokens <= 0.0) return room;
  room.usual_stay_s = room.capacity_tokens / tokens_per_s;
  room.is_known = reported_tokens >= kMinReportedShare * room.capacity_tokens;
  if (!room.is_known) return room;
  room.load = used_tokens / reported_tokens;
  room.first_event_s = first_event_weight / room.capacity_tokens * Slowdown(room.load);
  return room;
}

ChainChoice EngineRouter::ChooseAmong(TimePoint now, const std::vector<bool>& usable,
                                      std::optional<TimePoint> first_event_by) {
  ChainChoice best =
      SelectRandomCopy(now, FindCopies(now, usable, &m_zones.front()), first_event_by);
  if (!best.stages.empty() && best.load < kHighLoad) return best;
  const auto take_cheaper = [&best](ChainChoice choice) {
    if (choice.stages.empty()) return;
    if (best.stages.empty() || choice.cost_s < best.cost_s) best = std::move(choice);
  };
  std::vector<ModelCopy> others;
  for (std::size_t i = 1; i < m_zones.size(); ++i) {
    for (ModelCopy& copy : FindCopies(now, usable, &m_zones[i])) others.push_back(std::move(copy));
  }
  take_cheaper(SelectRandomCopy(now, others, first_event_by));
  // A chain across zones holds memory of several copies and sends every prompt through the links
  // between zones, so it is used only if no zone has a whole copy.
  if (best.stages.empty()) best = FindCheapest(now, usable).choice;
  return best;
}

ChainChoice EngineRouter::FindAmongSpares(TimePoint now, const UpstreamTable& upstreams,
                                          const std::vector<bool>& live) {
  const std::vector<bool> all = LiveEngines(now, upstreams, UsableEngines(now, upstreams, {}));
  std::vector<bool> spare = live;
  for (Pool& zone : m_zones) {
    for (const ModelCopy& copy : FindCopies(now, all, &zone)) {
      for (const std::uint32_t slot : copy.slots) spare[zone.engines[slot]] = false;
    }
  }
  if (std::none_of(spare.begin(), spare.end(), [](bool is_spare) { return is_spare; })) return {};
  const ModelCopy copy = FindCheapest(now, spare);
  return copy.is_full ? ChainChoice{} : copy.choice;
}

// Sets the cost of a typical request at each engine of the pool, regardless of load.
void EngineRouter::SetCosts(TimePoint now, const std::vector<bool>& usable, Pool* pool) {
  for (std::size_t i = 0; i < pool->engines.size(); ++i) {
    const Engine& engine = m_engines[pool->engines[i]];
    const EngineState& state = m_states[engine.address];
    ChainSlot& slot = pool->slots[i];
    slot.usable = usable[pool->engines[i]];
    const EngineHealth* health = HealthOf(now, engine.address);
    slot.layer_cost_s = engine.layer_cost_s * (health == nullptr ? 1.0 : health->slowness);
    slot.hop_cost_s = HopCost(engine, pool->zone);
    if (now < state.full_until) slot.hop_cost_s += kFullPenaltySeconds;
  }
}

EngineRouter::ModelCopy EngineRouter::Find(TimePoint now, Pool* pool, SearchKind kind) {
  ModelCopy copy;
  ChainChoice& choice = copy.choice;
  constexpr int kNoRequiredFirst = -1;
  bool own = true;
  bool one_zone = true;
  const std::vector<ChainPart>& parts = kind == SearchKind::kWholeRanges
                                            ? pool->search.FindWholeRangeChain(pool->slots)
                                            : pool->search.Find(pool->slots, kNoRequiredFirst);
  for (const ChainPart& part : parts) {
    const Engine& engine = m_engines[pool->engines[part.slot]];
    choice.stages.push_back({engine.name, engine.address, part.first, part.end});
    choice.load = std::max(choice.load, LoadOf(now, engine));
    const EngineHealth* health = HealthOf(now, engine.address);
    copy.first_event_s += engine.layer_first_event_s * (part.end - part.first) *
                          (health == nullptr ? 1.0 : health->slowness);
    copy.memory_load = std::max(
        copy.memory_load, health == nullptr ? choice.load : health->memory.value_or(health->load));
    copy.slots.push_back(part.slot);
    copy.capacity_tokens = std::min(copy.capacity_tokens, engine.capacity_tokens);
    own = own && engine.zone == m_own_zone;
    one_zone = one_zone && engine.zone == pool->zone;
  }
  if (choice.stages.empty()) return copy;
  copy.room_tokens = copy.capacity_tokens;
  if (m_profile.slots > 0) {
    copy.room_tokens = std::min(copy.room_tokens, m_profile.slots * UsualTokens());
  }
  choice.scope = own        ? ChainScope::kOwnZone
                 : one_zone ? ChainScope::kOtherZone
                            : ChainScope::kAcrossZones;
  choice.cost_s = pool->search.Cost();
  return copy;
}

// Returns the lowest-cost chain over the engines of all zones, with costs that grow with load.
EngineRouter::ModelCopy EngineRouter::FindCheapest(TimePoint now, const std::vector<bool>& usable) {
  SetCosts(now, usable, &m_all);
  for (std::size_t i = 0; i < m_all.engines.size(); ++i) {
    const Engine& engine = m_engines[m_all.engines[i]];
    m_all.slots[i].layer_cost_s *= Slowdown(LoadOf(now, engine));
    const bool has_room = m_pace == nullptr || m_pace->HasRoom(engine.name);
    if (!has_room) m_all.slots[i].hop_cost_s += kFullPenaltySeconds;
  }
  ModelCopy copy = Find(now, &m_all, SearchKind::kAnyRanges);
  if (!copy.choice.stages.empty()) SetLoad(now, &copy);
  return copy;
}

// Repeatedly removes the lowest-cost chain from the pool: first chains of whole ranges, which are
// the copies as they were placed, then any chains that the remaining engines can form.
std::vector<EngineRouter::ModelCopy> EngineRouter::FindCopies(TimePoint now,
                                                              const std::vector<bool>& usable,
                                                              Pool* pool) {
  SetCosts(now, usable, pool);
  std::vector<ModelCopy> copies;
  SearchKind kind = SearchKind::kWholeRanges;
  for (;;) {
    ModelCopy copy = Find(now, pool, kind);
    if (copy.choice.stages.empty()) {
      if (kind == SearchKind::kAnyRanges) return copies;
      kind = SearchKind::kAnyRanges;
      continue;
    }
    for (const std::uint32_t slot : copy.slots) pool->slots[slot].usable = false;
    copy.is_whole = kind == SearchKind::kWholeRanges;
    SetLoad(now, &copy);
    copies.push_back(std::move(copy));
  }
}

// Selects one of the copies at random; returns an empty choice if there is none. The cost of the
// result includes the load and the penalty of another zone. A full copy is selected only if all are
// full.
ChainChoice EngineRouter::SelectRandomCopy(TimePoint now, const std::vector<ModelCopy>& copies,
                                           std::optional<TimePoint> first_event_by) {
  if (copies.empty()) return {};
  const auto has_room = [](const ModelCopy& copy) { return !copy.is_full; };
  const bool all_full = std::none_of(copies.begin(), copies.end(), has_room);
  // What is left of broken copies forms chains too, but its engines may be about to give up layers.
  const bool use_whole_only = std::any_of(copies.begin(), copies.end(), [&](const ModelCopy& copy) {
    return copy.is_whole && has_room(copy);
  });
  const bool is_in_time = first_event_by && *first_event_by > now;
  std::vector<double> weights;
  for (const ModelCopy& copy : copies) {
    // Proportional to the rate at which the copy takes requests: what is free over the time that a
    // request stays, so that copies of different speed fill up alike. A steeper function of the
    // load makes hosts with old reports move from copy to copy together.
    double weight = copy.room_tokens * std::max(kMinFreeShare, 1.0 - copy.choice.load) /
                    std::max(kMinStaySeconds, copy.choice.cost_s);
    if (is_in_time) {
      const double left_s = std::chrono::duration<double>(*first_event_by - now).count();
      weight *= InTimeWeight(copy.first_event_s * (1.0 + copy.choice.load) / left_s);
    }
    const bool is_avoided = (copy.is_full && !all_full) || (use_whole_only && !copy.is_whole);
    weights.push_back(is_avoided ? 0.0 : weight);
  }
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  std::size_t selected = draw(m_random);
  std::vector<std::string> limited;
  if (m_pace != nullptr && !m_pace->IsIdle()) {
    selected = ApplyPace(copies, std::move(weights), selected, &limited);
  }
  ChainChoice choice = copies[selected].choice;
  choice.is_full = copies[selected].is_full;
  choice.limited = std::move(limited);
  choice.cost_s *= Slowdown(choice.load);
  if (choice.scope == ChainScope::kOtherZone) choice.cost_s += kOtherZonePenaltySeconds;
  return choice;
}

std::size_t EngineRouter::ApplyPace(const std::vector<ModelCopy>& copies,
                                    std::vector<double> weights, std::size_t selected,
                                    std::vector<std::string>* limited) {
  for (std::size_t i = 0; i < copies.size(); ++i) {
    // A copy gets what its slowest stage may get.
    double share = 1.0;
    for (const ChainStage& stage : copies[i].choice.stages) {
      const bool has_room = m_pace->HasRoom(stage.upstream);
      share = std::min(share, has_room ? m_pace->Share(stage.upstream) : 0.0);
      if (!has_room && i == selected) limited->push_back(stage.upstream);
    }
    weights[i] *= share;
  }
  const auto has_weight = [](double weight) { return weight > 0.0; };
  if (std::none_of(weights.begin(), weights.end(), has_weight)) {
    // All other copies are full or without room as well.
    limited->clear();
    return selected;
  }
  std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
  return draw(m_random);
}

}  // namespace corneltray
