#include "corneltray/layout_estimate.h"

#include <algorithm>
#include <limits>

#include "corneltray/chain_search.h"

namespace corneltray {
namespace {

constexpr double kMillisecondsPerSecond = 1000.0;
// An event waits on average for half of a pass before it takes part in the next one.
constexpr double kPassesPerEvent = 1.5;
// Transfer to the next stage within an availability zone.
constexpr double kHopSeconds = 0.0003;
// Share of the latency target for the usual request, because prompts and load vary around the
// usual.
constexpr double kTargetShare = 0.5;
constexpr int kBisectionSteps = 16;

double Seconds(std::chrono::milliseconds time) {
  return time.count() == 0 ? std::numeric_limits<double>::infinity()
                           : static_cast<double>(time.count()) / kMillisecondsPerSecond;
}

std::chrono::milliseconds ShorterStated(std::chrono::milliseconds a, std::chrono::milliseconds b) {
  if (a.count() == 0 || b.count() == 0) return std::max(a, b);
  return std::min(a, b);
}

// Times of a usual request in one copy at a given rate of requests.
class CopyModel {
 public:
  CopyModel(const std::vector<StageGroup>& stages, const EngineProfile& profile)
      : m_stages(stages), m_profile(profile) {
    double kv_tokens = std::numeric_limits<double>::infinity();
    for (const StageGroup& group : stages) {
      m_stage_count += group.count;
      kv_tokens = std::min(kv_tokens, KvTokensWithLayers(group.kind, profile, group.layers));
    }
    m_kv_tokens = std::max(0.0, kv_tokens);
    m_concurrent = m_kv_tokens / UsualTokens(profile);
    if (profile.slots > 0) m_concurrent = std::min<double>(m_concurrent, profile.slots);
  }

  // Returns the rate at which the stage with the slowest prompt processing does nothing else.
  double ReadLimit() const {
    double slowest_s = 0.0;
    for (const StageGroup& group : m_stages) slowest_s = std::max(slowest_s, ReadSeconds(group));
    // Without any time for prompts, the KV cache alone limits the rate.
    constexpr double kMinReadSeconds = 1e-5;
    return 1.0 / std::max(kMinReadSeconds, slowest_s);
  }

  CopyEstimate At(double requests_per_s) const {
    CopyEstimate estimate;
    estimate.kv_tokens = m_kv_tokens;
    estimate.stages = m_stage_count;
    estimate.requests_per_s = requests_per_s;
    for (const StageGroup& group : m_stages) {
      const double read_s = ReadSeconds(group);
      const double reading_share = std::min(requests_per_s * read_s, 0.999);
      const double pass_s = StepSeconds(group) / (1.0 - reading_share);
      estimate.event_s += group.count * (kPassesPerEvent * pass_s + kHopSeconds);
      estimate.first_event_s += group.count * read_s;
    }
    estimate.first_event_s += estimate.event_s;
    const double tokens_per_event = std::max(1.0, m_profile.tokens_per_event);
    const double events = std::max(1.0, m_profile.usual_answer_tokens / tokens_per_event);
    estimate.request_s = estimate.first_event_s + (events - 1.0) * estimate.event_s;
    return estimate;
  }

  // Whether the copy serves usual requests at this rate within its KV cache and the target.
  bool Carries(const CopyEstimate& estimate, const LatencyTarget& target) const {
    return estimate.requests_per_s * estimate.request_s <= m_concurrent &&
           estimate.first_event_s <= kTargetShare * Seconds(target.first_event) &&
           estimate.event_s <= kTargetShare * Seconds(target.event_gap);
  }

 private:
  double Share(const StageGroup& group) const {
    return static_cast<double>(group.layers) / std::max(1U, m_profile.layers);
  }
  double ReadSeconds(const StageGroup& group) const {
    return m_profile.usual_prompt_tokens / std::max(1.0, m_profile.read_tokens_per_s) *
           group.kind.read_factor * Share(group);
  }
  // Time of a pass over the requests that write, which are spread over the stages.
  double StepSeconds(const StageGroup& group) const {
    const double requests = m_concurrent / std::max(1U, m_stage_count);
    const double step_ms = m_profile.step_ms + m_profile.step_ms_per_request * requests;
    return std::max(1.0, m_profile.tokens_per_event) * step_ms / kMillisecondsPerSecond *
           group.kind.step_factor * Share(group);
  }

  const std::vector<StageGroup>& m_stages;
  const EngineProfile& m_profile;
  std::uint32_t m_stage_count = 0;
  double m_kv_tokens = 0.0;
  double m_concurrent = 0.0;  // usual requests that the KV cache holds
};

}  // namespace

LatencyTarget LatencyTargetOf(const std::string& service, const RouteTable& routes) {
  LatencyTarget target;
  for (const RouteEntry& route : routes.routes) {
    const bool uses_service =
        std::any_of(route.targets.begin(), route.targets.end(),
                    [&](const RouteTarget& t) { return t.service == service; });
    if (!uses_service) continue;
    target.first_event = ShorterStated(target.first_event, route.objective);
    target.event_gap = ShorterStated(target.event_gap, route.gap_objective);
  }
  return target;
}

double UsualTokens(const EngineProfile& profile) {
  return std::max(1.0, profile.usual_prompt_tokens + profile.usual_answer_tokens / 2.0);
}

double LayerSeconds(const AcceleratorKind& kind, const EngineProfile& profile) {
  const double write_s =
      std::max(1.0, profile.usual_answer_tokens) * profile.step_ms / kMillisecondsPerSecond;
  const double read_s = profile.usual_prompt_tokens / std::max(1.0, profile.read_tokens_per_s);
  return (write_s * kind.step_factor + read_s * kind.read_factor) / std::max(1U, profile.layers);
}

CopyEstimate EstimateCopy(const std::vector<StageGroup>& stages, const EngineProfile& profile,
                          const LatencyTarget& target) {
  if (stages.empty()) return {};
  const CopyModel model(stages, profile);
  double carried = 0.0;
  double too_many = model.ReadLimit();
  for (int step = 0; step < kBisectionSteps; ++step) {
    const double rate = (carried + too_many) / 2.0;
    (model.Carries(model.At(rate), target) ? carried : too_many) = rate;
  }
  // A rate this low means that even a single request is late or has no room.
  constexpr double kMinRate = 1e-3;
  return model.At(carried < kMinRate ? 0.0 : carried);
}

std::vector<std::vector<std::size_t>> FindCompleteCopies(const std::vector<PlacedEngine>& engines,
                                                         const EngineProfile& profile) {
  std::vector<ChainSlot> slots;
  slots.reserve(engines.size());
  for (const PlacedEngine& engine : engines) {
    ChainSlot slot;
    slot.first = engine.range.first;
    slot.end = engine.range.end;
    slot.layer_cost_s = LayerSeconds(engine.kind, profile);
    slot.hop_cost_s = kHopSeconds;
    slot.usable = engine.is_usable && engine.range.Size() > 0;
    slots.push_back(slot);
  }
  ChainSearch search;
  search.SetRanges(slots, profile.layers);
  std::vector<std::vector<std::size_t>> copies;
  for (;;) {
    const std::vector<ChainPart>& chain = search.FindWholeRangeChain(slots);
    if (chain.empty()) return copies;
    std::vector<std::size_t>& copy = copies.emplace_back();
    for (const ChainPart& part : chain) {
      copy.push_back(part.slot);
      slots[part.slot].usable = false;
    }
  }
}

LayoutEstimate EstimateLayout(const std::vector<PlacedEngine>& engines,
                              const EngineProfile& profile, const LatencyTarget& target) {
  LayoutEstimate layout;
  for (const std::vector<std::size_t>& copy : FindCompleteCopies(engines, profile)) {
    std::vector<StageGroup> stages;
    stages.reserve(copy.size());
    for (const std::size_t index : copy) {
      stages.push_back({engines[index].kind, engines[index].range.Size(), 1});
    }
    layout.copies.push_back(EstimateCopy(stages, profile, target));
  }
  return layout;
}

double LayoutEstimate::RequestsPerSecond() const {
  double sum = 0.0;
  for (const CopyEstimate& copy : copies) sum += copy.requests_per_s;
  return sum;
}

double LayoutEstimate::KvTokens() const {
  double sum = 0.0;
  for (const CopyEstimate& copy : copies) sum += copy.kv_tokens;
  return sum;
}

}  // namespace corneltray
