#ifndef CORNELTRAY_COPY_PLANNER_H_
#define CORNELTRAY_COPY_PLANNER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "corneltray/layout_estimate.h"
#include "corneltray/placed_engine.h"

namespace corneltray {

// Longest chain that engines accept.
constexpr std::uint32_t kMaxChainStages = 32;

// Number of engines by index into the kinds of a CopyPlanner.
using KindCounts = std::vector<std::uint32_t>;

// The stages of one copy in the order of its layers, with an estimate of what it carries.
struct CopyPlan {
  struct Stages {
    std::size_t kind = 0;  // index into the kinds of the planner
    std::uint32_t layers = 0;
    std::uint32_t count = 0;
  };
  std::vector<Stages> stages;  // empty if the engines hold no complete copy
  CopyEstimate estimate;
};

// Divides the layers of one copy among given engines so that the copy carries as many usual
// requests per second as possible. Fast engines hold as many layers as their KV cache allows, and
// the slow ones share the rest; the size of the KV cache is searched, since a larger one holds more
// requests but moves layers to slower engines. Results are kept by the engine counts. Not thread
// safe.
class CopyPlanner {
 public:
  // `kinds` must be sorted from fast to slow.
  CopyPlanner(std::vector<AcceleratorKind> kinds, const EngineProfile& profile,
              const LatencyTarget& target);

  // Some of the engines may stay without layers. The result is valid as long as the planner.
  const CopyPlan& Plan(const KindCounts& counts);

 private:
  // Returns the stages for a KV cache of at least this size; empty if the layers do not fit.
  std::vector<CopyPlan::Stages> Divide(const KindCounts& counts, double kv_tokens) const;

  std::vector<AcceleratorKind> m_kinds;
  const EngineProfile& m_profile;
  LatencyTarget m_target;
  std::vector<double> m_kv_sizes;  // in tokens, at which some engine holds one layer less
  std::map<KindCounts, CopyPlan> m_plans;
};

}  // namespace corneltray

#endif  // CORNELTRAY_COPY_PLANNER_H_
