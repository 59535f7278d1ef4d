#include "corneltray/zone_repair.h"

#include <algorithm>
#include <utility>

namespace corneltray {
namespace {

// Minimum KV cache, as a fraction of the capacity, of an engine that takes over layers of another.
constexpr double kMinKvShare = 0.25;

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

  LayerRanges Run(const std::vector<LayerRange>& vacancies) {
    for (const LayerRange& vacancy : vacancies) FillVacancy(vacancy);
    for (LayerRange gap = FirstGap(m_held); gap.Size() > 0; gap = FirstGap(m_held)) {
      if (!FillGap(gap)) break;
    }
    for (PlacedEngine& engine : m_engines) {
      const bool is_free = engine.is_usable && engine.range.Size() == 0;
      if (is_free && engine.is_settled) Assign(&engine, LeastHeld(engine));
    }
    return m_changes;
  }

 private:
  // Assigns exactly the layers of a lost engine to an empty one, which completes its copy again.
  void FillVacancy(LayerRange vacancy) {
    const double min_kv_tokens = m_profile.kv_capacity_tokens * kMinKvShare;
    PlacedEngine* best = nullptr;
    for (PlacedEngine& engine : m_engines) {
      if (!engine.is_usable || engine.range.Size() > 0) continue;
      const std::uint32_t fits = LayersThatFit(engine.kind, m_profile, min_kv_tokens);
      if (fits < vacancy.Size()) continue;
      if (best == nullptr || engine.kind.memory_mb < best->kind.memory_mb) best = &engine;
    }
    if (best != nullptr) Assign(best, vacancy);
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

  // Returns an engine whose layers are all held by others too. Picks the one with the fewest
  // layers, since it has to load new layers.
  PlacedEngine* FindRedundant() {
    PlacedEngine* best = nullptr;
    for (PlacedEngine& engine : m_engines) {
      if (!engine.is_usable || engine.range.Size() == 0 || m_changes.count(engine.name) > 0) {
        continue;
      }
      const bool redundant =
          std::all_of(m_held.begin() + engine.range.first, m_held.begin() + engine.range.end,
                      [](std::uint32_t count) { return count > 1; });
      if (redundant && (best == nullptr || engine.range.Size() < best->range.Size())) {
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

  // Returns the range of the size of this engine with the fewest holders; the first one among
  // equals.
  LayerRange LeastHeld(const PlacedEngine& engine) const {
    const std::uint32_t size =
        std::min(m_profile.layers, LayersThatFit(engine.kind, m_profile, m_kv_tokens));
    LayerRange best{0, size};
    std::uint64_t best_sum = UINT64_MAX;
    for (std::uint32_t first = 0; first + size <= m_profile.layers; ++first) {
      std::uint64_t sum = 0;
      for (std::uint32_t layer = first; layer < first + size; ++layer) sum += m_held[layer];
      if (sum < best_sum) {
        best_sum = sum;
        best = {first, first + size};
      }
    }
    return best;
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
  double m_kv_tokens = 0.0;
  LayerRanges m_changes;
};

}  // namespace

LayerRanges RepairZone(const std::vector<PlacedEngine>& engines, const EngineProfile& profile,
                       const std::vector<LayerRange>& vacancies) {
  return ZoneRepair(engines, profile).Run(vacancies);
}

void VacancyTracker::Update(const std::vector<PlacedEngine>& engines) {
  std::map<std::string, LayerRange> held;
  for (const PlacedEngine& engine : engines) {
    if (engine.is_usable && engine.range.Size() > 0) held[engine.name] = engine.range;
  }
  for (const auto& [name, range] : m_held) {
    if (held.count(name) == 0) m_open[name] = range;
  }
  for (const auto& [name, range] : held) m_open.erase(name);
  m_held = std::move(held);
}

void VacancyTracker::Fill(LayerRange range) {
  const auto open = std::find_if(m_open.begin(), m_open.end(),
                                 [&](const auto& vacancy) { return vacancy.second == range; });
  if (open != m_open.end()) m_open.erase(open);
}

std::vector<LayerRange> VacancyTracker::Open() const {
  std::vector<LayerRange> ranges;
  for (const auto& [name, range] : m_open) ranges.push_back(range);
  return ranges;
}

}  // namespace corneltray
