#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "corneltray/copy_planner.h"
#include "corneltray/zone_layout.h"

namespace corneltray {
namespace {

// Share of the time for which a stage is assumed to work. It decides between copies that carry
// nearly the same: the one with fewer stages fails less often.
constexpr double kStageAvailability = 0.99;
// With more kinds than this only the order from fast to slow is considered.
constexpr std::size_t kMaxKindsInAnyOrder = 4;

bool IsFasterKind(const AcceleratorKind& a, const AcceleratorKind& b,
                  const EngineProfile& profile) {
  const double a_seconds = LayerSeconds(a, profile);
  const double b_seconds = LayerSeconds(b, profile);
  if (a_seconds != b_seconds) return a_seconds < b_seconds;
  return std::make_pair(a.memory_mb, a.name) > std::make_pair(b.memory_mb, b.name);
}

// The usable engines of a zone by kind, from fast to slow.
struct EnginesByKind {
  EnginesByKind(const std::vector<PlacedEngine>& engines, const EngineProfile& profile) {
    for (const PlacedEngine& engine : engines) {
      if (!engine.is_usable) continue;
      const auto is_same = [&](const AcceleratorKind& k) { return k.name == engine.kind.name; };
      if (std::none_of(kinds.begin(), kinds.end(), is_same)) kinds.push_back(engine.kind);
    }
    std::sort(kinds.begin(), kinds.end(), [&](const AcceleratorKind& a, const AcceleratorKind& b) {
      return IsFasterKind(a, b, profile);
    });
    names.resize(kinds.size());
    for (const PlacedEngine& engine : engines) {
      for (std::size_t kind = 0; engine.is_usable && kind < kinds.size(); ++kind) {
        if (kinds[kind].name == engine.kind.name) names[kind].push_back(engine.name);
      }
    }
    for (std::vector<std::string>& of_kind : names) std::sort(of_kind.begin(), of_kind.end());
  }

  std::vector<AcceleratorKind> kinds;
  std::vector<std::vector<std::string>> names;  // by kind
};

// A division of the engines into copies, each given by its engines of each kind.
struct Division {
  double rate = 0.0;  // requests per second, discounted for failures
  std::vector<KindCounts> copies;
};

double DiscountedRate(const CopyEstimate& estimate) {
  return estimate.requests_per_s * std::pow(kStageAvailability, estimate.stages);
}

// Finds the best way to cut a sequence of engines, given by their kinds, into consecutive copies.
// Dynamic programming over the prefixes of the sequence.
Division CutIntoCopies(const std::vector<std::size_t>& sequence, std::size_t kinds,
                       CopyPlanner* planner) {
  struct Prefix {
    double rate = 0.0;
    std::size_t copy_begin = 0;  // of the last copy; equal to the end if the last engine is unused
  };
  std::vector<Prefix> best(sequence.size() + 1);
  const auto count = [&](std::size_t begin, std::size_t end) {
    KindCounts counts(kinds, 0);
    for (std::size_t i = begin; i < end; ++i) ++counts[sequence[i]];
    return counts;
  };
  for (std::size_t end = 1; end <= sequence.size(); ++end) {
    best[end] = {best[end - 1].rate, end};
    KindCounts counts(kinds, 0);
    const std::size_t longest = std::min<std::size_t>(end, kMaxChainStages);
    for (std::size_t length = 1; length <= longest; ++length) {
      const std::size_t begin = end - length;
      ++counts[sequence[begin]];
      const double rate = best[begin].rate + DiscountedRate(planner->Plan(counts).estimate);
      if (rate > best[end].rate) best[end] = {rate, begin};
    }
  }
  Division division;
  division.rate = best.back().rate;
  for (std::size_t end = sequence.size(); end > 0;) {
    const std::size_t begin = best[end].copy_begin;
    if (begin == end) {
      --end;
      continue;
    }
    division.copies.push_back(count(begin, end));
    end = begin;
  }
  return division;
}

Division BestDivision(const EnginesByKind& engines, CopyPlanner* planner) {
  std::vector<std::size_t> order(engines.kinds.size());
  for (std::size_t kind = 0; kind < order.size(); ++kind) order[kind] = kind;
  Division best;
  do {
    // A reversed order has the same cuts.
    if (order.front() > order.back()) continue;
    std::vector<std::size_t> sequence;
    for (const std::size_t kind : order) {
      sequence.insert(sequence.end(), engines.names[kind].size(), kind);
    }
    Division division = CutIntoCopies(sequence, order.size(), planner);
    if (division.rate > best.rate) best = std::move(division);
  } while (order.size() <= kMaxKindsInAnyOrder &&
           std::next_permutation(order.begin(), order.end()));
  return best;
}

}  // namespace

LayerRanges PlanUniformCopies(const std::vector<PlacedEngine>& engines,
                              const EngineProfile& profile, const LatencyTarget& target) {
  const EnginesByKind by_kind(engines, profile);
  LayerRanges ranges;
  if (by_kind.kinds.empty()) return ranges;
  CopyPlanner planner(by_kind.kinds, profile, target);
  std::vector<std::size_t> next(by_kind.kinds.size(), 0);  // first unused engine by kind
  for (const KindCounts& copy : BestDivision(by_kind, &planner).copies) {
    std::uint32_t first = 0;
    for (const CopyPlan::Stages& stages : planner.Plan(copy).stages) {
      for (std::uint32_t i = 0; i < stages.count; ++i) {
        ranges[by_kind.names[stages.kind][next[stages.kind]++]] = {first, first + stages.layers};
        first += stages.layers;
      }
    }
  }
  return ranges;
}

}  // namespace corneltray
