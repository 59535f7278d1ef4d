#include "corneltray/zone_repair.h"

#include <algorithm>
#include <limits>
#include <set>
#include <utility>

#include "corneltray/broken_copies.h"
#include "corneltray/zone_layout.h"

namespace corneltray {
namespace {

// Minimum rate of planned copies, as a fraction of that of the complete ones. The engines need
// seconds to drain and load, in which they refuse requests, so a small gain is not worth it.
constexpr double kMinRecutGain = 0.2;
// Minimum KV cache, as a fraction of the capacity, of an engine that takes over layers of another.
constexpr double kMinKvShare = 0.25;

// Whether any of the ranges has layers of the gap.
bool IsAnyIn(LayerRange gap, const std::vector<LayerRange>& ranges) {
  return std::any_of(ranges.begin(), ranges.end(), [&](const LayerRange& range) {
    return range.first < gap.end && gap.first < range.end;
  });
}

// Computes one repair of a zone.
class ZoneRepair {
 public:
  ZoneRepair(std::vector<PlacedEngine> engines, const EngineProfile& profile)
      : m_engines(std::move(engines)),
        m_profile(profile),
        m_held(Coverage(m_engines, profile.layers)) {
    std::sort(m_engines.begin(), m_engines.end(), IsFaster);
    m_kv_tokens = MaxKvTokens(m_engines, m_profile);
  }

  LayerRanges Run(const std::vector<LayerRange>& vacancies,
                  const std::vector<LayerRange>& awaited) {
    if (m_engines.empty()) return {};
    const ZoneState zone = FindCopies(m_engines, m_profile);
    m_spares = SpareEngines(zone.idle, awaited);
    for (const BrokenCopy& copy : zone.broken) CloseGaps(copy, vacancies, awaited);
    for (LayerRange gap = FirstGap(m_held); gap.Size() > 0; gap = FirstGap(m_held)) {
      if (!FillGap(gap)) break;
    }
    for (PlacedEngine& engine : m_engines) {
      const bool is_free = engine.is_usable && engine.range.Size() == 0;
      if (is_free && engine.is_settled) Duplicate(zone.complete, &engine);
    }
    return m_changes;
  }

 private:
  // Part of a gap that an engine takes over.
  struct GapPart {
    PlacedEngine* engine = nullptr;
    LayerRange range;
  };

  // Assigns the layers that a copy lacks to spare engines. Nothing is assigned if a gap stays open
  // for which no engine is expected to return, since the copy would stay incomplete.
  void CloseGaps(const BrokenCopy& copy, const std::vector<LayerRange>& vacancies,
                 const std::vector<LayerRange>& awaited) {
    std::vector<std::size_t> spares = m_spares;
    std::vector<GapPart> parts;
    for (const LayerRange gap : copy.gaps) {
      const bool is_loss = IsAnyIn(gap, vacancies);
      if (DivideGap(gap, copy.kv_tokens, is_loss, &spares, &parts)) continue;
      if (!IsAnyIn(gap, awaited)) return;
    }
    m_spares = std::move(spares);
    for (const GapPart& part : parts) Assign(part.engine, part.range);
  }

  // Divides a gap among spare engines: one if possible, else several. Returns false, without a
  // change, if they cannot close it.
  bool DivideGap(LayerRange gap, double kv_tokens, bool is_loss, std::vector<std::size_t>* spares,
                 std::vector<GapPart>* parts) {
    std::vector<std::size_t> left = *spares;
    std::vector<GapPart> added;
    const double least = m_profile.kv_capacity_tokens * kMinKvShare;
    while (gap.Size() > 0) {
      // As large a KV cache as that of the other stages, if an engine has the memory for it.
      auto best = SmallestThatFits(left, gap.Size(), kv_tokens, is_loss);
      if (best == left.end()) best = SmallestThatFits(left, gap.Size(), least, is_loss);
      if (best == left.end()) best = Largest(left, gap.Size(), kv_tokens, is_loss);
      if (best == left.end()) return false;
      PlacedEngine* engine = &m_engines[*best];
      const bool fits_whole = LayersThatFit(engine->kind, m_profile, least) >= gap.Size();
      const std::uint32_t size =
          fits_whole ? gap.Size() : LayersThatFit(engine->kind, m_profile, kv_tokens);
      added.push_back({engine, {gap.first, gap.first + size}});
      gap.first += size;
      left.erase(best);
    }
    *spares = std::move(left);
    parts->insert(parts->end(), added.begin(), added.end());
    return true;
  }

  // Returns those idle engines that stay idle when the awaited engines have returned. The rest of a
  // broken copy may be idle now, but its copy is complete again after their restart.
  std::vector<std::size_t> SpareEngines(const std::vector<std::size_t>& idle,
                                        const std::vector<LayerRange>& awaited) const {
    std::vector<PlacedEngine> restored = m_engines;
    for (const LayerRange range : awaited) {
      PlacedEngine& returned = restored.emplace_back();
      returned.kind = m_engines.front().kind;
      returned.range = range;
    }
    const std::vector<std::size_t> still_idle = FindCopies(restored, m_profile).idle;
    std::vector<std::size_t> spares;
    for (const std::size_t index : idle) {
      const bool stays = std::find(still_idle.begin(), still_idle.end(), index) != still_idle.end();
      if (stays) spares.push_back(index);
    }
    return spares;
  }

  // Whether a spare engine may take this many layers that a copy lacks. A newcomer may be the
  // replacement of an engine that departs soon, so it takes only the layers of lost engines, or at
  // least half of what it could hold: a new leader does not know which engines were lost. Layers
  // without another holder are not given up.
  bool IsAvailable(const PlacedEngine& engine, std::uint32_t layers, double kv_tokens,
                   bool is_loss) const {
    if (engine.range.Size() > 0) return IsRedundant(engine);
    return engine.is_settled || is_loss ||
           2 * layers >= LayersThatFit(engine.kind, m_profile, kv_tokens);
  }

  using IdlePosition = std::vector<std::size_t>::iterator;

  IdlePosition SmallestThatFits(std::vector<std::size_t>& idle, std::uint32_t layers,
                                double kv_tokens, bool is_loss) const {
    auto best = idle.end();
    for (auto it = idle.begin(); it != idle.end(); ++it) {
      const PlacedEngine& engine = m_engines[*it];
      if (!IsAvailable(engine, layers, kv_tokens, is_loss)) continue;
      if (LayersThatFit(engine.kind, m_profile, kv_tokens) < layers) continue;
      const bool is_better = best == idle.end() ||
                             engine.kind.memory_mb < m_engines[*best].kind.memory_mb ||
                             (engine.kind.memory_mb == m_engines[*best].kind.memory_mb &&
                              engine.range.Size() < m_engines[*best].range.Size());
      if (is_better) best = it;
    }
    return best;
  }

  IdlePosition Largest(std::vector<std::size_t>& idle, std::uint32_t layers, double kv_tokens,
                       bool is_loss) const {
    auto best = idle.end();
    std::uint32_t most = 0;
    for (auto it = idle.begin(); it != idle.end(); ++it) {
      const PlacedEngine& engine = m_engines[*it];
      const std::uint32_t fits = LayersThatFit(engine.kind, m_profile, kv_tokens);
      const std::uint32_t taken = std::min(layers, fits);
      if (!IsAvailable(engine, taken, kv_tokens, is_loss) || fits <= most) continue;
      best = it;
      most = fits;
    }
    return best;
  }

  // Returns false if no engine can take layers of the gap.
  bool FillGap(LayerRange gap) {
    PlacedEngine* engine = FindEmpty(gap);
    if (engine == nullptr) engine = FindRedundant();
    if (engine == nullptr) return ExtendAdjacentEngine(gap);
    const std::uint32_t fits = std::max(1U, LayersThatFit(engine->kind, m_profile, m_kv_tokens));
    Assign(engine, {gap.first, std::min(gap.end, gap.first + fits)});
    return true;
  }

  // Returns the empty engine that can hold the most layers of the gap.
  PlacedEngine* FindEmpty(LayerRange gap) {
    PlacedEngine* best = nullptr;
    for (PlacedEngine& engine : m_engines) {
      if (!engine.is_usable || engine.range.Size() > 0) continue;
      const auto covered = [&](const PlacedEngine& e) {
        return std::min(gap.Size(), LayersThatFit(e.kind, m_profile, m_kv_tokens));
      };
      if (best == nullptr || covered(engine) > covered(*best)) best = &engine;
    }
    return best;
  }

  // Whether all layers of an engine are held by others too.
  bool IsRedundant(const PlacedEngine& engine) const {
    return std::all_of(m_held.begin() + engine.range.first, m_held.begin() + engine.range.end,
                       [](std::uint32_t count) { return count > 1; });
  }

  // Returns an engine whose layers are all held by others too. Picks the one with the fewest
  // layers, since it has to load new layers.
  PlacedEngine* FindRedundant() {
    PlacedEngine* best = nullptr;
    for (PlacedEngine& engine : m_engines) {
      if (!engine.is_usable || engine.range.Size() == 0 || m_changes.count(engine.name) > 0) {
        continue;
      }
      if (IsRedundant(engine) && (best == nullptr || engine.range.Size() < best->range.Size())) {
        best = &engine;
      }
    }
    return best;
  }

  // Assigns one layer of the gap to the engine with an adjacent range that keeps the largest KV
  // cache.
  bool ExtendAdjacentEngine(LayerRange gap) {
    PlacedEngine* best = nullptr;
    double best_kv_tokens = m_profile.kv_capacity_tokens * kMinKvShare;
    for (PlacedEngine& engine : m_engines) {
      if (!engine.is_usable || engine.range.Size() == 0) continue;
      if (engine.range.end != gap.first && engine.range.first != gap.end) continue;
      const double kv_tokens = KvTokensWithLayers(engine.kind, m_profile, engine.range.Size() + 1);
      if (kv_tokens < best_kv_tokens) continue;
      best = &engine;
      best_kv_tokens = kv_tokens;
    }
    if (best == nullptr) return false;
    const bool before = best->range.end == gap.first;
    Assign(best, before ? LayerRange{best->range.first, best->range.end + 1}
                        : LayerRange{best->range.first - 1, best->range.end});
    return true;
  }

  // Assigns the range of a stage to a spare engine, so that the loss of that stage breaks no copy.
  // Picks the range that most complete copies share for each engine that holds it as a spare; the
  // largest among equals, since it takes longest to load. The router may choose either holder, so
  // the spare engine must not leave the copy less room than its stages do.
  void Duplicate(const std::vector<std::vector<std::size_t>>& copies, PlacedEngine* spare) {
    const double least = m_profile.kv_capacity_tokens * kMinKvShare;
    const std::uint32_t fits = LayersThatFit(spare->kind, m_profile, least);
    const PlacedEngine* best = nullptr;
    double best_need = 0.0;
    for (const std::vector<std::size_t>& copy : copies) {
      const double copy_kv_tokens = SmallestKvTokens(copy);
      for (const std::size_t stage : copy) {
        const LayerRange range = m_engines[stage].range;
        if (range.Size() > fits) continue;
        if (KvTokensWithLayers(spare->kind, m_profile, range.Size()) < copy_kv_tokens) continue;
        const double need = Need(copies, range);
        const bool is_better = need > best_need || (best != nullptr && need == best_need &&
                                                    range.Size() > best->range.Size());
        if (!is_better) continue;
        best = &m_engines[stage];
        best_need = need;
      }
    }
    if (best != nullptr) Assign(spare, best->range);
  }

  // Returns the KV cache in tokens of the stage of a copy that has the smallest one.
  double SmallestKvTokens(const std::vector<std::size_t>& copy) const {
    double smallest = std::numeric_limits<double>::infinity();
    for (const std::size_t stage : copy) {
      const PlacedEngine& engine = m_engines[stage];
      smallest =
          std::min(smallest, KvTokensWithLayers(engine.kind, m_profile, engine.range.Size()));
    }
    return smallest;
  }

  // Number of complete copies that use a range over the number of spare engines that hold it.
  double Need(const std::vector<std::vector<std::size_t>>& copies, LayerRange range) const {
    std::size_t in_use = 0;
    for (const std::vector<std::size_t>& copy : copies) {
      for (const std::size_t stage : copy) in_use += m_engines[stage].range == range ? 1 : 0;
    }
    std::size_t holders = 0;
    for (const PlacedEngine& engine : m_engines) {
      if (engine.is_usable && engine.range == range) ++holders;
    }
    const std::size_t spares = holders - std::min(holders, in_use);
    return static_cast<double>(in_use) / static_cast<double>(1 + spares);
  }

  // An engine may be assigned several times; only the last range is ordered.
  void Assign(PlacedEngine* engine, LayerRange range) {
    for (std::uint32_t l = engine->range.first; l < engine->range.end; ++l) --m_held[l];
    engine->range = range;
    for (std::uint32_t l = range.first; l < range.end; ++l) ++m_held[l];
    if (range.Size() > 0) m_changes[engine->name] = range;
  }

  std::vector<PlacedEngine> m_engines;
  const EngineProfile& m_profile;
  std::vector<std::uint32_t> m_held;
  std::vector<std::size_t> m_spares;  // indexes of spare engines
  double m_kv_tokens = 0.0;
  LayerRanges m_changes;
};

bool IsAwaited(const BrokenCopy& copy, const std::vector<LayerRange>& awaited) {
  return std::any_of(copy.gaps.begin(), copy.gaps.end(),
                     [&](const LayerRange& gap) { return IsAnyIn(gap, awaited); });
}

std::uint32_t Overlap(LayerRange a, LayerRange b) {
  const std::uint32_t first = std::max(a.first, b.first);
  const std::uint32_t end = std::min(a.end, b.end);
  return end > first ? end - first : 0;
}

// Exchanges planned ranges among engines of the same kind so that they load as few layers as
// possible: pairs of an engine and a range with the largest overlap first.
LayerRanges KeepLoadedLayers(const LayerRanges& plan, const std::vector<PlacedEngine>& engines) {
  struct Pair {
    std::uint32_t overlap = 0;
    const PlacedEngine* engine = nullptr;
    const PlacedEngine* planned = nullptr;  // the engine to which the plan gives the range
  };
  std::vector<Pair> pairs;
  for (const PlacedEngine& planned : engines) {
    const auto range = plan.find(planned.name);
    if (range == plan.end()) continue;
    for (const PlacedEngine& engine : engines) {
      if (engine.kind.name != planned.kind.name) continue;
      pairs.push_back({Overlap(engine.range, range->second), &engine, &planned});
    }
  }
  std::stable_sort(pairs.begin(), pairs.end(),
                   [](const Pair& a, const Pair& b) { return a.overlap > b.overlap; });
  LayerRanges ranges;
  std::set<const PlacedEngine*> assigned;
  for (const Pair& pair : pairs) {
    if (ranges.count(pair.engine->name) > 0 || !assigned.insert(pair.planned).second) continue;
    ranges[pair.engine->name] = plan.at(pair.planned->name);
  }
  return ranges;
}

}  // namespace

LayerRanges RepairZone(const std::vector<PlacedEngine>& engines, const EngineProfile& profile,
                       const std::vector<LayerRange>& vacancies,
                       const std::vector<LayerRange>& awaited) {
  return ZoneRepair(engines, profile).Run(vacancies, awaited);
}

LayerRanges RecutBrokenCopies(const std::vector<PlacedEngine>& engines,
                              const EngineProfile& profile, const LatencyTarget& target,
                              const std::vector<LayerRange>& awaited) {
  const ZoneState zone = FindCopies(engines, profile);
  std::vector<PlacedEngine> loose;
  for (const BrokenCopy& copy : zone.broken) {
    if (IsAwaited(copy, awaited)) continue;
    for (const std::size_t stage : copy.stages) loose.push_back(engines[stage]);
  }
  for (const std::size_t index : zone.idle) {
    const PlacedEngine& engine = engines[index];
    if (engine.is_settled || engine.range.Size() > 0) loose.push_back(engine);
  }
  const LayerRanges plan = PlanUniformCopies(loose, profile, target);
  std::vector<PlacedEngine> planned = loose;
  ApplyRanges(plan, &planned);
  const double gained = EstimateLayout(planned, profile, target).RequestsPerSecond();
  const double working = EstimateLayout(engines, profile, target).RequestsPerSecond();
  if (gained <= kMinRecutGain * working) return {};
  return KeepLoadedLayers(plan, loose);
}

}  // namespace corneltray
