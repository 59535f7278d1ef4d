#include "corneltray/copy_planner.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace corneltray {
namespace {

// Minimum KV cache of a copy, as a fraction of the capacity in the profile. With a smaller one a
// few long prompts fill the cache, and requests that have begun are preempted.
constexpr double kMinCopyKvShare = 0.5;

std::uint32_t CeilDivide(std::uint32_t a, std::uint32_t b) { return (a + b - 1) / b; }

}  // namespace

CopyPlanner::CopyPlanner(std::vector<AcceleratorKind> kinds, const EngineProfile& profile,
                         const LatencyTarget& target)
    : m_kinds(std::move(kinds)), m_profile(profile), m_target(target) {
  const double least = profile.kv_capacity_tokens * kMinCopyKvShare;
  // A larger KV cache holds more requests than the first stage accepts.
  const double most = profile.slots > 0 ? profile.slots * UsualTokens(profile)
                                        : std::numeric_limits<double>::infinity();
  for (const AcceleratorKind& kind : m_kinds) {
    for (std::uint32_t layers = 1; layers <= profile.layers; ++layers) {
      const double tokens = KvTokensWithLayers(kind, profile, layers);
      if (tokens < least) break;
      m_kv_sizes.push_back(std::min(tokens, most));
    }
  }
  std::sort(m_kv_sizes.begin(), m_kv_sizes.end());
  m_kv_sizes.erase(std::unique(m_kv_sizes.begin(), m_kv_sizes.end()), m_kv_sizes.end());
}

std::vector<CopyPlan::Stages> CopyPlanner::Divide(const KindCounts& counts,
                                                  double kv_tokens) const {
  // KvTokensWithLayers() and LayersThatFit() round differently at the exact size.
  constexpr double kRoundingTokens = 0.5;
  std::vector<CopyPlan::Stages> stages;
  std::uint32_t left = m_profile.layers;
  std::uint32_t stage_count = 0;
  for (std::size_t kind = 0; kind < m_kinds.size() && left > 0; ++kind) {
    const std::uint32_t fits = LayersThatFit(m_kinds[kind], m_profile, kv_tokens - kRoundingTokens);
    if (counts[kind] == 0 || fits == 0) continue;
    const std::uint32_t used = std::min(counts[kind], CeilDivide(left, fits));
    const std::uint32_t held = std::min(left, used * fits);
    // The stages of one kind differ by at most one layer.
    const std::uint32_t larger = held % used;
    if (larger > 0) stages.push_back({kind, held / used + 1, larger});
    stages.push_back({kind, held / used, used - larger});
    left -= held;
    stage_count += used;
  }
  const bool is_complete = left == 0 && stage_count <= kMaxChainStages;
  return is_complete ? stages : std::vector<CopyPlan::Stages>{};
}

const CopyPlan& CopyPlanner::Plan(const KindCounts& counts) {
  const auto known = m_plans.find(counts);
  if (known != m_plans.end()) return known->second;
  CopyPlan best;
  for (const double kv_tokens : m_kv_sizes) {
    std::vector<CopyPlan::Stages> stages = Divide(counts, kv_tokens);
    if (stages.empty()) break;  // nor does it fit beside a larger KV cache
    std::vector<StageGroup> groups;
    groups.reserve(stages.size());
    for (const CopyPlan::Stages& s : stages) groups.push_back({m_kinds[s.kind], s.layers, s.count});
    const CopyEstimate estimate = EstimateCopy(groups, m_profile, m_target);
    if (estimate.requests_per_s <= best.estimate.requests_per_s) continue;
    best = {std::move(stages), estimate};
  }
  return m_plans.emplace(counts, std::move(best)).first->second;
}

}  // namespace corneltray
