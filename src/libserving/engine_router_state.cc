// What an EngineRouter has observed of the engines: health reports, load, failures and requests.
#include <algorithm>
#include <utility>

#include "corneltray/engine_router.h"

namespace corneltray {
namespace {

constexpr std::chrono::milliseconds kReportLifetime{2000};
constexpr double kFirstEventSmoothingFactor = 0.1;

}  // namespace

const EngineRouter::Engine* EngineRouter::FindAddress(const std::string& address) const {
  const auto engine = std::find_if(m_engines.begin(), m_engines.end(),
                                   [&](const Engine& e) { return e.address == address; });
  return engine == m_engines.end() ? nullptr : &*engine;
}

bool EngineRouter::IsUsable(TimePoint now, const Engine& engine, const UpstreamTable& upstreams) {
  const UpstreamTableEntry* record = upstreams.Find(engine.name);
  if (record == nullptr || !record->IsReady()) return false;
  EngineState& state = m_states[engine.address];
  const Announcement& announced_by = record->announcement;
  const bool is_same_process =
      engine.name == state.suspect.name && announced_by.incarnation == state.suspect.incarnation;
  if (!state.is_suspect || !is_same_process) return true;
  const bool announced = announced_by.sequence > state.suspect.sequence;
  if (now < state.suspect_until || !announced) return false;
  state.is_suspect = false;
  if (m_pace != nullptr) m_pace->SetAvailable(now, engine.name, PaceReason::kHealthy, true);
  return true;
}

bool EngineRouter::IsHeard(TimePoint now, const Engine& engine,
                           const UpstreamTable& upstreams) const {
  const UpstreamTableEntry* record = upstreams.Find(engine.name);
  return record != nullptr && record->IsAlive(now);
}

bool EngineRouter::IsReportedLost(TimePoint now, const Engine& engine,
                                  const UpstreamTable& upstreams) const {
  const UpstreamTableEntry* record = upstreams.Find(engine.name);
  const EngineHealth* health = HealthOf(now, engine.address);
  return record != nullptr && health != nullptr && !health->answers &&
         health->incarnation == record->announcement.incarnation;
}

const EngineHealth* EngineRouter::HealthOf(TimePoint now, const std::string& address) const {
  const auto state = m_states.find(address);
  if (state == m_states.end() || now >= state->second.health_until) return nullptr;
  return &state->second.health;
}

// Share of the memory of an engine in use: the last reported value plus what this host has sent
// since.
std::optional<double> EngineRouter::ObservedLoad(TimePoint now, const Engine& engine) const {
  const EngineHealth* health = HealthOf(now, engine.address);
  if (health == nullptr || !health->answers) return std::nullopt;
  return health->load + m_states.at(engine.address).tokens_since_report / engine.capacity_tokens;
}

bool EngineRouter::UpdateHealth(TimePoint now, const EngineHealth& health) {
  const auto engine = std::find_if(m_engines.begin(), m_engines.end(),
                                   [&](const Engine& e) { return e.name == health.name; });
  if (engine == m_engines.end()) return false;
  const EngineHealth* known = HealthOf(now, engine->address);
  const bool was_lost = known != nullptr && !known->answers && known->name == health.name;
  EngineState& state = m_states[engine->address];
  state.health = health;
  state.health.slowness = std::max(1.0, health.slowness);
  state.health_until = now + kHealthLifetime;
  state.tokens_since_report = 0.0;
  if (m_pace != nullptr) {
    m_pace->SetAvailable(now, health.name, PaceReason::kHealthy, health.answers);
  }
  return !health.answers && !was_lost;
}

bool EngineRouter::IsNearlyFull(TimePoint now, const std::string& address) const {
  const EngineHealth* health = HealthOf(now, address);
  return health != nullptr && health->load >= kHighLoad;
}

// Tokens that all requests at a first stage hold in the KV cache of each stage of their chain;
// nullopt without a recent report.
std::optional<double> EngineRouter::TokensAt(TimePoint now, const std::string& first_stage) const {
  const auto load = m_first_loads.find(first_stage);
  if (load == m_first_loads.end() || now >= load->second.expires_at) return std::nullopt;
  return UsualTokens() * (load->second.running + load->second.started_since_report);
}

// Sets m_zone_loads: tokens over capacity, summed over the first stages of a zone with a recent
// report.
void EngineRouter::UpdateZoneLoads(TimePoint now) {
  struct Sums {
    double tokens = 0.0;
    double capacity_tokens = 0.0;
  };
  std::map<std::string, Sums> by_zone;
  for (const Engine& engine : m_engines) {
    if (engine.first != 0) continue;
    const std::optional<double> tokens = TokensAt(now, engine.address);
    if (!tokens) continue;
    Sums& sums = by_zone[engine.zone];
    sums.tokens += *tokens;
    sums.capacity_tokens += engine.capacity_tokens;
  }
  m_zone_loads.clear();
  for (const auto& [zone, sums] : by_zone) m_zone_loads[zone] = sums.tokens / sums.capacity_tokens;
}

// Tokens in the KV cache of a stage over its capacity. Without a health report from a control
// process the mean load of the zone is used as an estimate; without any report only the requests of
// this host are known.
double EngineRouter::LoadOf(TimePoint now, const Engine& engine) const {
  if (const auto observed = ObservedLoad(now, engine)) return *observed;
  const auto state = m_states.find(engine.address);
  const double own = state == m_states.end() ? 0.0 : state->second.tokens / engine.capacity_tokens;
  const auto zone = m_zone_loads.find(engine.zone);
  return zone == m_zone_loads.end() ? own : std::max(own, zone->second);
}

// Sets the load of a copy: tokens over capacity in its fullest stage. Without health reports for
// all stages, only the requests at its first stage are known.
void EngineRouter::SetLoad(TimePoint now, ModelCopy* copy) const {
  ChainChoice& choice = copy->choice;
  const bool has_refused =
      std::any_of(choice.stages.begin(), choice.stages.end(), [&](const ChainStage& stage) {
        const auto state = m_states.find(stage.address);
        return state != m_states.end() && now < state->second.full_until;
      });
  const bool is_observed =
      std::all_of(choice.stages.begin(), choice.stages.end(),
                  [&](const ChainStage& stage) { return HealthOf(now, stage.address) != nullptr; });
  copy->is_observed = is_observed;
  copy->is_full = has_refused || (is_observed && choice.load >= kFullLoad);
  if (has_refused) {
    choice.load = 1.0;
  } else if (!is_observed) {
    const std::optional<double> tokens = TokensAt(now, choice.stages.front().address);
    if (tokens) choice.load = *tokens / copy->capacity_tokens;
  }
}

void EngineRouter::Begin(const std::vector<ChainStage>& chain, double tokens) {
  for (const ChainStage& stage : chain) {
    EngineState& state = m_states[stage.address];
    state.tokens += tokens;
    state.tokens_since_report += tokens;
    if (m_pace != nullptr) m_pace->Begin(stage.upstream);
  }
  if (!chain.empty()) ++m_first_loads[chain.front().address].started_since_report;
}

void EngineRouter::End(const std::vector<ChainStage>& chain, double tokens) {
  for (const ChainStage& stage : chain) {
    double& held = m_states[stage.address].tokens;
    held = std::max(0.0, held - tokens);
    if (m_pace != nullptr) m_pace->End(stage.upstream);
  }
}

void EngineRouter::Report(TimePoint now, const std::string& address, const LoadReport& report) {
  m_first_loads[address] = {report.running + report.waiting, 0, now + kReportLifetime};
}

void EngineRouter::Suspect(TimePoint now, const std::string& address,
                           const SuspectedProcess& process) {
  EngineState& state = m_states[address];
  state.is_suspect = true;
  state.suspect_until = now + kSuspectDuration;
  state.suspect = process;
  const Engine* engine = FindAddress(address);
  if (m_pace == nullptr || engine == nullptr) return;
  m_pace->Failed(now, engine->name);
  m_pace->SetAvailable(now, engine->name, PaceReason::kHealthy, false);
}

void EngineRouter::MarkFull(TimePoint now, const std::string& address) {
  m_states[address].full_until = now + kFullDuration;
  const Engine* engine = FindAddress(address);
  if (m_pace != nullptr && engine != nullptr) m_pace->Refused(now, engine->name);
}

void EngineRouter::RecordFirstEvent(TimePoint now, const std::vector<ChainStage>& chain,
                                    Duration latency) {
  if (m_pace == nullptr) return;
  const std::chrono::duration<double> expected(m_first_event_s);
  bool is_paced = false;
  for (const ChainStage& stage : chain) {
    if (!m_pace->IsPaced(stage.upstream)) continue;
    is_paced = true;
    m_pace->Answered(now, stage.upstream, latency, std::chrono::duration_cast<Duration>(expected));
  }
  if (is_paced) return;
  const double seconds = std::chrono::duration<double>(latency).count();
  const bool is_first = m_first_event_s == 0.0;
  m_first_event_s += (is_first ? 1.0 : kFirstEventSmoothingFactor) * (seconds - m_first_event_s);
}

}  // namespace corneltray
