#include "corneltray/layer_controller.h"

#include <algorithm>
#include <set>
#include <utility>

#include "corneltray/layout_estimate.h"
#include "corneltray/zone_layout.h"
#include "corneltray/zone_repair.h"

namespace corneltray {
namespace {

// The first plan of a zone waits until no engine has arrived for this long.
constexpr std::chrono::milliseconds kSettleTime{1500};
// A leader that was stalled for longer than this has missed announcements.
constexpr std::chrono::milliseconds kMaxTickGap{1500};
// An order that the announcements do not confirm is repeated after this time plus the load time.
constexpr std::chrono::milliseconds kOrderConfirmTimeout{4000};
// If more engines of a zone than this number and this share are silent, the zone is assumed to be
// partitioned. Orders would move layers of engines that still hold them, and take effect after the
// partition.
constexpr std::size_t kMaxSilentEngines = 4;
constexpr double kMaxSilentShare = 0.25;
// Engines that are silent for longer are assumed to be lost.
constexpr std::chrono::milliseconds kPartitionWait{10'000};
// Low bits of the fencing number, which hold the order count of one term.
constexpr unsigned kOrderBits = 24;

}  // namespace

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
    for (const std::string& zone : zones) {
      PlaceZone(now, zone, service, routes, upstreams, &decisions);
    }
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
    engine.is_leaving = info.state != UpstreamState::kReady;
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
                                const RouteTable& routes, const UpstreamTable& upstreams,
                                std::vector<PlacementDecision>* decisions) {
  const std::vector<PlacedEngine> engines =
      CollectEngines(now, zone, service.name, *service.engine, upstreams);
  const auto usable = static_cast<std::size_t>(std::count_if(
      engines.begin(), engines.end(), [](const PlacedEngine& engine) { return engine.is_usable; }));
  // A zone without any usable engine is assumed to be partitioned rather than lost.
  if (usable == 0) return;
  const std::string key = zone + "/" + service.name;
  Zone& state = m_zones[key];
  if (IsPartitioned(now, engines, &state)) return;
  PlacementReason reason = ChooseReason(now, engines, *service.engine, &state);
  if (reason == PlacementReason::kFirstPlan && !HasSettled(now, key, usable)) return;
  state.losses.Update(now, engines);
  LayerRanges ranges;
  switch (reason) {
    case PlacementReason::kFirstPlan:
      ranges = PlanZone(engines, *service.engine, LatencyTargetOf(service.name, routes));
      state.recut_at = now + kRestartWait;
      break;
    case PlacementReason::kReplan:
      ranges = ReplanZone(engines, *service.engine);
      break;
    default:
      ranges = RepairZone(engines, *service.engine, state.losses.Open(), state.losses.Awaited(now));
      if (!ranges.empty()) break;
      ranges = Recut(now, engines, service, routes, &state);
      if (!ranges.empty()) reason = PlacementReason::kReplan;
  }
  if (reason != PlacementReason::kRepair) {
    RecordLayout(zone, service, routes, reason, engines, ranges);
  }
  for (const PlacedEngine& engine : engines) {
    const auto range = ranges.find(engine.name);
    if (range == ranges.end() || range->second == engine.range) continue;
    const UpstreamTableEntry* record = upstreams.Find(engine.name);
    state.losses.Fill(range->second);
    Order(now, *record, range->second, reason, service, decisions);
  }
}

void LayerController::RecordLayout(const std::string& zone, const RouteService& service,
                                   const RouteTable& routes, PlacementReason reason,
                                   std::vector<PlacedEngine> engines, const LayerRanges& ranges) {
  ApplyRanges(ranges, &engines);
  const LayoutEstimate estimate =
      EstimateLayout(engines, *service.engine, LatencyTargetOf(service.name, routes));
  m_planned_layouts.push_back({service.name, zone, reason, engines.size(), estimate.copies.size(),
                               estimate.RequestsPerSecond(), estimate.KvTokens()});
}

std::vector<PlannedLayout> LayerController::TakePlannedLayouts() {
  return std::exchange(m_planned_layouts, {});
}

bool LayerController::IsPartitioned(TimePoint now, const std::vector<PlacedEngine>& engines,
                                    Zone* zone) {
  const auto silent = static_cast<std::size_t>(std::count_if(
      engines.begin(), engines.end(),
      [](const PlacedEngine& engine) { return !engine.is_usable && !engine.is_leaving; }));
  if (silent <= kMaxSilentEngines || silent <= kMaxSilentShare * engines.size()) {
    zone->partitioned_until.reset();
    return false;
  }
  if (!zone->partitioned_until) zone->partitioned_until = now + kPartitionWait;
  return now < *zone->partitioned_until;
}

LayerRanges LayerController::Recut(TimePoint now, const std::vector<PlacedEngine>& engines,
                                   const RouteService& service, const RouteTable& routes,
                                   Zone* zone) const {
  // A new leader does not know which engines were lost just before.
  if (!zone->recut_at) zone->recut_at = now + kRestartWait;
  if (now < *zone->recut_at) return {};
  const std::vector<LayerRange> awaited = zone->losses.Awaited(now);
  // The result depends only on the engines and the awaited ranges. Planning is repeated when these
  // change.
  std::vector<std::string> situation;
  for (const PlacedEngine& engine : engines) {
    if (!engine.is_usable) continue;
    situation.push_back(engine.name + (engine.is_settled ? "" : "?"));
  }
  for (const LayerRange& range : awaited) {
    situation.push_back(std::to_string(range.first) + "-" + std::to_string(range.end));
  }
  if (situation == zone->planned_situation) return {};
  zone->planned_situation = std::move(situation);
  const LatencyTarget target = LatencyTargetOf(service.name, routes);
  return RecutBrokenCopies(engines, *service.engine, target, awaited);
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
