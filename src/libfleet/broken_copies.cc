#include "corneltray/broken_copies.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "corneltray/layout_estimate.h"

namespace corneltray {
namespace {

// Finds chains of whole ranges that may leave layers out.
class GapSearch {
 public:
  GapSearch(const std::vector<PlacedEngine>& engines, const EngineProfile& profile)
      : m_engines(engines), m_profile(profile) {}

  // Returns the chain with the smallest gaps among these engines; nullopt if it would lack more
  // than half of the layers.
  std::optional<BrokenCopy> Find(const std::vector<std::size_t>& candidates) const {
    const std::uint32_t layers = m_profile.layers;
    std::vector<Step> best(layers + 1);
    best[0].gap_cost = 0.0;
    for (std::uint32_t at = 0; at < layers; ++at) {
      for (std::uint32_t end = at + 1; end <= layers; ++end) {
        Improve(&best[end],
                {best[at].gap_cost + kCostPerGap + (end - at), best[at].seconds, at, kGap});
      }
      for (const std::size_t index : candidates) {
        const LayerRange range = m_engines[index].range;
        if (range.first != at || range.Size() == 0 || range.end > layers) continue;
        const double seconds = range.Size() * LayerSeconds(m_engines[index].kind, m_profile);
        Improve(&best[range.end], {best[at].gap_cost, best[at].seconds + seconds, at, index});
      }
    }
    const BrokenCopy copy = Trace(best);
    if (copy.missing * 2 > layers) return std::nullopt;
    return copy;
  }

 private:
  static constexpr std::size_t kGap = std::numeric_limits<std::size_t>::max();

  // Cost of a gap in addition to its layers. One engine can close a gap, so that a copy with one
  // gap is preferred to one with several shorter gaps.
  static constexpr double kCostPerGap = 8.0;

  // Best way to reach a layer: from which layer, and over which engine or kGap.
  struct Step {
    double gap_cost = std::numeric_limits<double>::infinity();
    double seconds = 0.0;  // of a usual request
    std::uint32_t from = 0;
    std::size_t engine = kGap;
  };

  static void Improve(Step* known, const Step& step) {
    const bool is_better = std::make_pair(step.gap_cost, step.seconds) <
                           std::make_pair(known->gap_cost, known->seconds);
    if (is_better) *known = step;
  }

  BrokenCopy Trace(const std::vector<Step>& best) const {
    BrokenCopy copy;
    copy.kv_tokens = std::numeric_limits<double>::infinity();
    for (std::uint32_t at = m_profile.layers; at > 0; at = best[at].from) {
      const Step& step = best[at];
      if (step.engine == kGap) {
        copy.gaps.push_back({step.from, at});
        copy.missing += at - step.from;
        continue;
      }
      const PlacedEngine& engine = m_engines[step.engine];
      const double kv_tokens = KvTokensWithLayers(engine.kind, m_profile, engine.range.Size());
      copy.kv_tokens = std::min(copy.kv_tokens, kv_tokens);
      copy.stages.push_back(step.engine);
    }
    std::reverse(copy.stages.begin(), copy.stages.end());
    std::reverse(copy.gaps.begin(), copy.gaps.end());
    return copy;
  }

  const std::vector<PlacedEngine>& m_engines;
  const EngineProfile& m_profile;
};

void Remove(const std::vector<std::size_t>& used, std::vector<std::size_t>* from) {
  const auto is_used = [&](std::size_t i) {
    return std::find(used.begin(), used.end(), i) != used.end();
  };
  from->erase(std::remove_if(from->begin(), from->end(), is_used), from->end());
}

}  // namespace

ZoneState FindCopies(const std::vector<PlacedEngine>& engines, const EngineProfile& profile) {
  ZoneState zone;
  for (std::size_t i = 0; i < engines.size(); ++i) {
    if (engines[i].is_usable) zone.idle.push_back(i);
  }
  zone.complete = FindCompleteCopies(engines, profile);
  for (const std::vector<std::size_t>& copy : zone.complete) Remove(copy, &zone.idle);
  const GapSearch search(engines, profile);
  while (const std::optional<BrokenCopy> copy = search.Find(zone.idle)) {
    if (copy->stages.empty()) break;
    Remove(copy->stages, &zone.idle);
    zone.broken.push_back(*copy);
  }
  return zone;
}

}  // namespace corneltray
