#include "corneltray/layer_placement.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

namespace corneltray {
namespace {

constexpr double kBytesPerMegabyte = 1e6;
// Target size of the KV cache of a complete copy, as a fraction of the capacity in the profile. A
// larger KV cache needs more stages, and each stage adds to the time per token and to the
// probability of a failure.
constexpr double kTargetKvShare = 1.0;
// Minimum KV cache of each copy, as a fraction of the capacity, when a zone is divided into several
// copies. More copies serve more requests, and the loss of an engine affects fewer of them.
constexpr double kMinCopyKvShare = 0.7;
// Minimum KV cache, as a fraction of the capacity, of an engine that takes over layers of another.
constexpr double kMinKvShare = 0.25;
// The first plan of a zone waits until no engine has arrived for this long.
constexpr std::chrono::milliseconds kSettleTime{1500};
// A leader that was stalled for longer than this has missed announcements.
constexpr std::chrono::milliseconds kMaxTickGap{1500};
// An order that the announcements do not confirm is repeated after this time plus the load time.
constexpr std::chrono::milliseconds kOrderConfirmTimeout{4000};
// Low bits of the fencing number, which hold the order count of one term.
constexpr unsigned kOrderBits = 24;

bool IsFaster(const PlacedEngine& a, const PlacedEngine& b) {
  if (a.kind.step_factor * a.kind.read_factor != b.kind.step_factor * b.kind.read_factor) {
    return a.kind.step_factor * a.kind.read_factor < b.kind.step_factor * b.kind.read_factor;
  }
  return a.name < b.name;
}

std::vector<PlacedEngine> UsableFastestFirst(const std::vector<PlacedEngine>& engines) {
  std::vector<PlacedEngine> usable;
  std::copy_if(engines.begin(), engines.end(), std::back_inserter(usable),
               [](const PlacedEngine& engine) { return engine.is_usable; });
  std::sort(usable.begin(), usable.end(), IsFaster);
  return usable;
}

std::uint32_t TotalThatFits(const std::vector<PlacedEngine>& engines, const EngineProfile& profile,
                            double kv_tokens) {
  std::uint32_t total = 0;
  for (const PlacedEngine& engine : engines) {
    total += LayersThatFit(engine.kind, profile, kv_tokens);
  }
  return total;
}

// Returns the KV cache capacity in tokens of an engine that holds this many layers.
double KvTokensWithLayers(const AcceleratorKind& kind, const EngineProfile& profile,
                          std::uint32_t layers) {
  const double free_mb = kind.memory_mb - layers * profile.layer_mb;
  const double token_mb = profile.kv_token_bytes / profile.layers * layers / kBytesPerMegabyte;
  return free_mb / token_mb;
}

// Returns the largest KV cache in tokens that a zone can hold beside one complete copy of the
// model.
double MaxKvTokens(const std::vector<PlacedEngine>& engines, const EngineProfile& profile) {
  double fits = 0.0;
  double too_many = std::max(1.0, profile.kv_capacity_tokens * kTargetKvShare);
  if (TotalThatFits(engines, profile, too_many) >= profile.layers) return too_many;
  while (too_many - fits > 1.0) {
    const double tokens = (fits + too_many) / 2.0;
    (TotalThatFits(engines, profile, tokens) >= profile.layers ? fits : too_many) = tokens;
  }
  return fits;
}

using EngineGroup = std::vector<const PlacedEngine*>;

// Divides engines into `copies` groups that each hold the complete model beside a KV cache for
// `kv_tokens` tokens. The largest remaining engine goes to the group with the fewest layers, which
// balances the groups. Returns an empty vector if the engines do not suffice. Surplus engines
// belong to no group.
std::vector<EngineGroup> DivideIntoCopies(const std::vector<PlacedEngine>& engines,
                                          const EngineProfile& profile, std::size_t copies,
                                          double kv_tokens) {
  const auto fits = [&](const PlacedEngine* engine) {
    return LayersThatFit(engine->kind, profile, kv_tokens);
  };
  EngineGroup largest_first;
  for (const PlacedEngine& engine : engines) largest_first.push_back(&engine);
  std::stable_sort(largest_first.begin(), largest_first.end(),
                   [&](const PlacedEngine* a, const PlacedEngine* b) { return fits(a) > fits(b); });
  std::vector<EngineGroup> groups(copies);
  std::vector<std::uint32_t> layers(copies, 0);
  for (const PlacedEngine* engine : largest_first) {
    const auto fewest = std::min_element(layers.begin(), layers.end());
    if (*fewest >= profile.layers || fits(engine) == 0) break;
    *fewest += fits(engine);
    groups[static_cast<std::size_t>(fewest - layers.begin())].push_back(engine);
  }
  const bool all_complete = std::all_of(layers.begin(), layers.end(),
                                        [&](std::uint32_t held) { return held >= profile.layers; });
  return all_complete ? groups : std::vector<EngineGroup>{};
}

// Returns the engines of each copy, for the largest number of copies with a sufficient KV cache,
// and sets `kv_tokens` to the largest KV cache that this number allows. Returns an empty vector if
// fewer than two copies fit.
std::vector<EngineGroup> PlanCopies(const std::vector<PlacedEngine>& engines,
                                    const EngineProfile& profile, double* kv_tokens) {
  const double least = profile.kv_capacity_tokens * kMinCopyKvShare;
  const std::size_t most = TotalThatFits(engines, profile, least) / std::max(1U, profile.layers);
  for (std::size_t copies = most; copies >= 2; --copies) {
    if (DivideIntoCopies(engines, profile, copies, least).empty()) continue;
    double fits = least;
    double too_many = std::max(least + 1.0, profile.kv_capacity_tokens * kTargetKvShare);
    while (too_many - fits > 1.0) {
      const double tokens = (fits + too_many) / 2.0;
      const bool is_possible = !DivideIntoCopies(engines, profile, copies, tokens).empty();
      (is_possible ? fits : too_many) = tokens;
    }
    *kv_tokens = fits;
    return DivideIntoCopies(engines, profile, copies, fits);
  }
  return {};
}

// Returns how many usable engines hold each layer.
std::vector<std::uint32_t> Coverage(const std::vector<PlacedEngine>& engines,
                                    std::uint32_t layers) {
  std::vector<std::uint32_t> held(layers, 0);
  for (const PlacedEngine& engine : engines) {
    if (!engine.is_usable) continue;
    for (std::uint32_t layer = engine.range.first; layer < std::min(engine.range.end, layers);
         ++layer) {
      ++held[layer];
    }
  }
  return held;
}

// Returns the first contiguous range of layers without a holder, or an empty range if there is
// none.
LayerRange FirstGap(const std::vector<std::uint32_t>& held) {
  LayerRange gap;
  while (gap.first < held.size() && held[gap.first] > 0) ++gap.first;
  gap.end = gap.first;
  while (gap.end < held.size() && held[gap.end] == 0) ++gap.end;
  return gap;
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

  std::map<std::string, LayerRange> Run(const std::vector<LayerRange>& vacancies) {
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
  std::map<std::string, LayerRange> m_changes;
};

}  // namespace

std::uint32_t LayersThatFit(const AcceleratorKind& kind, const EngineProfile& profile,
                            double kv_tokens) {
  if (profile.layers == 0 || profile.layer_mb <= 0.0) return 0;
  const double prompt_mb = kv_tokens * profile.kv_token_bytes / profile.layers / kBytesPerMegabyte;
  const double fits = std::floor(kind.memory_mb / (profile.layer_mb + prompt_mb));
  return std::min(profile.layers, static_cast<std::uint32_t>(std::max(0.0, fits)));
}

std::map<std::string, LayerRange> PlanZone(const std::vector<PlacedEngine>& engines,
                                           const EngineProfile& profile) {
  const std::vector<PlacedEngine> usable = UsableFastestFirst(engines);
  double kv_tokens = MaxKvTokens(usable, profile);
  std::map<std::string, LayerRange> ranges;
  for (EngineGroup& group : PlanCopies(usable, profile, &kv_tokens)) {
    std::sort(group.begin(), group.end(),
              [](const PlacedEngine* a, const PlacedEngine* b) { return IsFaster(*a, *b); });
    std::uint32_t first = 0;
    for (const PlacedEngine* engine : group) {
      const std::uint32_t fits = LayersThatFit(engine->kind, profile, kv_tokens);
      const std::uint32_t end = std::min(profile.layers, first + fits);
      ranges[engine->name] = {first, end};
      first = end;
    }
  }
  std::uint32_t next = 0;
  for (const PlacedEngine& engine : usable) {
    if (ranges.count(engine.name) > 0) continue;
    if (next == profile.layers) next = 0;  // start of another copy
    const std::uint32_t fits = LayersThatFit(engine.kind, profile, kv_tokens);
    const LayerRange range{next, std::min(profile.layers, next + fits)};
    if (range.Size() == 0) continue;
    ranges[engine.name] = range;
    next = range.end;
  }
  return ranges;
}

std::map<std::string, LayerRange> ReplanZone(const std::vector<PlacedEngine>& engines,
                                             const EngineProfile& profile) {
  std::vector<PlacedEngine> usable = UsableFastestFirst(engines);
  const double kv_tokens = MaxKvTokens(usable, profile);
  // Number of layers per engine. The slowest engines get fewer if the zone has memory to spare.
  std::uint32_t left = profile.layers;
  std::map<std::string, std::uint32_t> sizes;
  for (const PlacedEngine& engine : usable) {
    const std::uint32_t size = std::min(left, LayersThatFit(engine.kind, profile, kv_tokens));
    sizes[engine.name] = size;
    left -= size;
  }
  // Engines without layers go to the end, where they shift the ranges of the others least.
  std::stable_sort(usable.begin(), usable.end(), [](const PlacedEngine& a, const PlacedEngine& b) {
    const bool a_holds = a.range.Size() > 0;
    const bool b_holds = b.range.Size() > 0;
    if (a_holds != b_holds) return a_holds;
    return a_holds && a.range.first < b.range.first;
  });
  std::map<std::string, LayerRange> ranges;
  std::uint32_t next = 0;
  for (const PlacedEngine& engine : usable) {
    const LayerRange range{next, next + sizes[engine.name]};
    if (range.Size() > 0) ranges[engine.name] = range;
    next = range.end;
  }
  return ranges;
}

bool HasAllLayers(const std::vector<PlacedEngine>& engines, const EngineProfile& profile) {
  return FirstGap(Coverage(engines, profile.layers)).Size() == 0;
}

std::map<std::string, LayerRange> RepairZone(const std::vector<PlacedEngine>& engines,
                                             const EngineProfile& profile,
                                             const std::vector<LayerRange>& vacancies) {
  return ZoneRepair(engines, profile).Run(vacancies);
}

std::vector<PlacementDecision> LayerController::Tick(TimePoint now,
                                                     std::optional<std::uint64_t> term,
                                                     const RouteTable& routes,
                                                     const UpstreamTable& upstreams) {
  std::vector<PlacementDecision> decisions;
  if (term != m_term) {
    m_term = term;
    m_order_count = 0;
    m_ordered.clear();
    m_zones.clear();
    m_arrivals.clear();
    m_ready_at = now + kSettleTime;
  }
  if (now - m_last_tick > kMaxTickGap) m_ready_at = now + kSettleTime;
  m_last_tick = now;
  if (!m_term || now < m_ready_at) return decisions;
  for (const auto& [name, service] : routes.services) {
    if (!service.engine) continue;
    std::set<std::string> zones;
    for (const auto& [id, record] : upstreams.Records()) {
      if (record.announcement.service == name) zones.insert(record.announcement.availability_zone);
    }
    RepeatOrders(now, service, upstreams, &decisions);
    for (const std::string& zone : zones) PlaceZone(now, zone, service, upstreams, &decisions);
  }
  return decisions;
}

std::vector<PlacedEngine> LayerController::CollectEngines(TimePoint now, const std::string& zone,
                                                          const std::string& service,
                                                          const EngineProfile& profile,
                                                          const UpstreamTable& upstreams) {
  std::vector<PlacedEngine> engines;
  for (const auto& [name, record] : upstreams.Records()) {
    const Announcement& info = record.announcement;
    if (info.service != service || info.availability_zone != zone || record.has_left) continue;
    const auto kind = profile.accelerators.find(info.accelerator);
    if (kind == profile.accelerators.end()) continue;
    PlacedEngine engine;
    engine.name = name;
    engine.kind = kind->second;
    engine.is_usable = record.IsAlive(now);
    engine.is_settled = IsSettled(now, info);
    if (!info.holdings.empty()) {
      engine.range = {info.holdings.front().first_layer, info.holdings.front().last_layer + 1};
    }
    const auto ordered = m_ordered.find(name);
    if (ordered != m_ordered.end() && ordered->second.incarnation == info.incarnation) {
      engine.range = ordered->second.range;
    }
    engines.push_back(std::move(engine));
  }
  return engines;
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

bool LayerController::IsSettled(TimePoint now, const Announcement& engine) {
  Arrival& arrival = m_arrivals[engine.name];
  if (arrival.incarnation != engine.incarnation || arrival.settled_at == TimePoint()) {
    arrival = {engine.incarnation, now + kSpareDuration};
  }
  return now >= arrival.settled_at;
}

bool LayerController::HasSettled(TimePoint now, const std::string& zone, std::size_t engines) {
  Zone& state = m_zones[zone];
  if (state.engines != engines) {
    // Only an arrival delays the plan; a loss is repaired immediately.
    if (engines > state.engines) state.settled_at = now + kSettleTime;
    state.engines = engines;
  }
  return now >= state.settled_at;
}

void LayerController::PlaceZone(TimePoint now, const std::string& zone, const RouteService& service,
                                const UpstreamTable& upstreams,
                                std::vector<PlacementDecision>* decisions) {
  const std::vector<PlacedEngine> engines =
      CollectEngines(now, zone, service.name, *service.engine, upstreams);
  const auto usable = static_cast<std::size_t>(std::count_if(
      engines.begin(), engines.end(), [](const PlacedEngine& engine) { return engine.is_usable; }));
  // A zone without any usable engine is assumed to be partitioned rather than lost.
  if (usable == 0) return;
  const std::string key = zone + "/" + service.name;
  const PlacementReason reason = ChooseReason(now, engines, *service.engine, &m_zones[key]);
  if (reason == PlacementReason::kFirstPlan && !HasSettled(now, key, usable)) return;
  m_zones[key].vacancies.Update(engines);
  const auto ranges = reason == PlacementReason::kRepair
                          ? RepairZone(engines, *service.engine, m_zones[key].vacancies.Open())
                      : reason == PlacementReason::kReplan ? ReplanZone(engines, *service.engine)
                                                           : PlanZone(engines, *service.engine);
  for (const PlacedEngine& engine : engines) {
    const auto range = ranges.find(engine.name);
    if (range == ranges.end() || range->second == engine.range) continue;
    const UpstreamTableEntry* record = upstreams.Find(engine.name);
    m_zones[key].vacancies.Fill(range->second);
    Order(now, *record, range->second, reason, service, decisions);
  }
}

PlacementReason LayerController::ChooseReason(TimePoint now,
                                              const std::vector<PlacedEngine>& engines,
                                              const EngineProfile& profile, Zone* zone) const {
  const bool in_use = std::any_of(engines.begin(), engines.end(), [](const PlacedEngine& engine) {
    return engine.is_usable && engine.range.Size() > 0;
  });
  if (!in_use) return PlacementReason::kFirstPlan;
  if (HasAllLayers(engines, profile)) {
    zone->replan_at.reset();
    return PlacementReason::kRepair;
  }
  if (!zone->replan_at) zone->replan_at = now + kReplanDelay;
  if (now < *zone->replan_at) return PlacementReason::kRepair;
  zone->replan_at.reset();
  return PlacementReason::kReplan;
}

void LayerController::Order(TimePoint now, const UpstreamTableEntry& record, LayerRange range,
                            PlacementReason reason, const RouteService& service,
                            std::vector<PlacementDecision>* decisions) {
  const std::uint64_t fence = (*m_term << kOrderBits) + ++m_order_count;
  const Announcement& info = record.announcement;
  const auto load_time = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      service.engine->load_s * range.Size() / service.engine->layers));
  m_ordered[info.name] = {info.incarnation, range, fence, now + kOrderConfirmTimeout + load_time};
  decisions->push_back({service.name, info.name, info.address, range, fence, reason});
}

void LayerController::RepeatOrders(TimePoint now, const RouteService& service,
                                   const UpstreamTable& upstreams,
                                   std::vector<PlacementDecision>* decisions) {
  std::vector<std::pair<const UpstreamTableEntry*, LayerRange>> due;
  for (auto ordered = m_ordered.begin(); ordered != m_ordered.end();) {
    const UpstreamTableEntry* record = upstreams.Find(ordered->first);
    const bool gone = record == nullptr || !record->IsReady() ||
                      record->announcement.incarnation != ordered->second.incarnation;
    if (gone) {
      ordered = m_ordered.erase(ordered);
      continue;
    }
    const auto& holdings = record->announcement.holdings;
    const bool holds = !holdings.empty() &&
                       holdings.front().first_layer == ordered->second.range.first &&
                       holdings.front().last_layer + 1 == ordered->second.range.end;
    const bool heard = now - record->heard_at < kSilenceTimeout;
    if (!holds && heard && now >= ordered->second.repeat_at &&
        record->announcement.service == service.name) {
      due.emplace_back(record, ordered->second.range);
    }
    ++ordered;
  }
  for (const auto& [record, range] : due) {
    Order(now, *record, range, PlacementReason::kRepeat, service, decisions);
  }
}

void LayerController::OrderFailed(const std::string& upstream, std::uint64_t fence) {
  const auto ordered = m_ordered.find(upstream);
  if (ordered == m_ordered.end() || ordered->second.fence != fence) return;
  // Repeated at the next tick after this delay, in which the engine announces at least once.
  constexpr std::chrono::milliseconds kRetryDelay{1000};
  ordered->second.repeat_at = std::min(ordered->second.repeat_at, m_last_tick + kRetryDelay);
}

}  // namespace corneltray
