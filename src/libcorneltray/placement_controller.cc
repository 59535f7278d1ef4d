#include "corneltray/placement_controller.h"

#include <algorithm>
#include <set>
#include <utility>

namespace corneltray {
namespace {

// Returns the base weights among an engine's holdings as one range: the first holding of a model.
std::optional<PlannedRange> RangeOf(const std::vector<Holding>& holdings) {
  if (holdings.empty()) return std::nullopt;
  PlannedRange range{holdings[0].key, holdings[0].first_layer, holdings[0].last_layer};
  range.key.adapter.clear();
  return range;
}

std::string OrderId(const std::string& engine, std::uint64_t fence,
                    const std::vector<Holding>& holdings) {
  std::string id = engine + "/" + std::to_string(fence);
  for (const Holding& h : holdings) {
    id += "/" + h.key.model + ":" + h.key.version + ":" + h.key.adapter + ":" +
          std::to_string(h.first_layer) + "-" + std::to_string(h.last_layer);
  }
  return id;
}

}  // namespace

PlacementController::PlacementController(std::string availability_zone)
    : m_zone(std::move(availability_zone)) {}

void PlacementController::SetConfiguration(TimePoint now, const Configuration& configuration) {
  m_models.clear();
  m_adapters.clear();
  for (const auto& [name, model] : configuration.models) {
    // The announcement does not say how large an adapter is, so each is counted as a full layer: an
    // engine then never refuses an order for lack of memory.
    const std::uint64_t copies = 1 + model.adapters.size();
    m_models.push_back({{model.name, model.version, ""},
                        model.layers,
                        model.bytes_per_layer * copies,
                        model.share});
    m_adapters[name] = model.adapters;
  }
  if (!m_has_plan) return;
  m_cause = PlanCause::kConfigurationChanged;
  m_is_dirty = true;
  m_plan_at = now;
  m_plan_latest = now;
}

std::map<std::string, PlacementController::Engine> PlacementController::ReadEngines(
    const std::vector<UpstreamView>& upstreams) const {
  std::map<std::string, Engine> engines;
  for (const UpstreamView& view : upstreams) {
    const Announcement& a = view.announcement;
    if (a.kind != UpstreamKind::kEngine || a.availability_zone != m_zone ||
        view.status == UpstreamStatus::kLeaving) {
      continue;
    }
    engines[a.name] = {
        a.address, a.incarnation, view.status == UpstreamStatus::kSuspect,
        a.fence,   a.holdings,    {a.name, a.memory_bytes, a.layers_per_s, a.link_mbps}};
  }
  return engines;
}

std::vector<PlacementAction> PlacementController::Tick(TimePoint now,
                                                       std::optional<std::uint64_t> fence,
                                                       const std::vector<UpstreamView>& upstreams) {
  std::vector<PlacementAction> actions;
  m_engines = ReadEngines(upstreams);
  std::map<std::string, std::uint64_t> seen;
  for (const auto& [name, engine] : m_engines) seen[name] = engine.incarnation;
  if (!fence) {
    m_fence.reset();
    m_has_plan = false;
    m_agrees = false;
    m_plan.clear();
    m_sent.clear();
    return actions;
  }
  if (fence != m_fence) {
    m_fence = fence;
    m_has_plan = false;
    m_sent.clear();
    m_cause = PlanCause::kLeaseAcquired;
    m_is_dirty = true;
    m_plan_at = now + kPlacementSettle;
    m_plan_latest = now + kPlacementSettle + kPlanDebounceMax;
    m_seen = seen;
  }
  if (seen != m_seen) {
    if (!m_is_dirty) {
      m_cause = PlanCause::kEnginesChanged;
      m_plan_latest = now + kPlanDebounceMax;
    }
    // A loss is repaired at once; engines that join are awaited.
    const bool lost = std::any_of(m_seen.begin(), m_seen.end(),
                                  [&](const auto& item) { return seen.count(item.first) == 0; });
    m_plan_at = lost && m_has_plan ? now : std::min(m_plan_latest, now + kPlanDebounce);
    m_is_dirty = true;
    m_seen = std::move(seen);
  }
  if (m_is_dirty && now >= m_plan_at && !m_models.empty()) {
    m_is_dirty = false;
    MakePlan(*fence, &actions);
  }
  if (m_has_plan) SendOrders(now, *fence, &actions);
  return actions;
}

// The plan in force counts for engines that have it, the announced holdings for the others: a
// successor starts from those alone.
PlacementRanges PlacementController::AnnouncedRanges() const {
  PlacementRanges ranges;
  for (const auto& [name, engine] : m_engines) {
    const auto planned = m_plan.find(name);
    const auto before = m_planned_for.find(name);
    const bool same_life = before != m_planned_for.end() && before->second == engine.incarnation;
    if (m_has_plan && planned != m_plan.end() && same_life) {
      ranges[name] = planned->second;
    } else if (const auto range = RangeOf(engine.holdings)) {
      ranges[name] = *range;
    }
  }
  return ranges;
}

void PlacementController::MakePlan(std::uint64_t fence, std::vector<PlacementAction>* actions) {
  std::vector<PlacementEngine> engines;
  engines.reserve(m_engines.size());
  for (const auto& [name, engine] : m_engines) engines.push_back(engine.capacity);
  const PlacementPlan plan = PlanPlacement(engines, m_models, AnnouncedRanges());
  m_plan = plan.ranges;
  m_planned_for.clear();
  PlanMade made{m_cause, fence, m_engines.size(), 0, plan.bytes_to_load, plan.throughput};
  for (const auto& [name, engine] : m_engines) {
    m_planned_for[name] = engine.incarnation;
    const auto it = m_plan.find(name);
    if (it != m_plan.end() && !IsAsDesired(engine, Desired(it->second))) ++made.changed;
  }
  m_has_plan = true;
  actions->emplace_back(std::move(made));
}

std::vector<Holding> PlacementController::Desired(const PlannedRange& range) const {
  std::vector<Holding> holdings{
      {range.key, range.first_layer, range.last_layer, HoldingState::kReady}};
  const auto adapters = m_adapters.find(range.key.model);
  if (adapters == m_adapters.end()) return holdings;
  for (const std::string& adapter : adapters->second) {
    Holding holding = holdings.front();
    holding.key.adapter = adapter;
    holdings.push_back(std::move(holding));
  }
  return holdings;
}

bool PlacementController::IsAsDesired(const Engine& engine,
                                      const std::vector<Holding>& desired) const {
  const auto same = [](const Holding& a, const Holding& b) {
    return a.key == b.key && a.first_layer == b.first_layer && a.last_layer == b.last_layer;
  };
  return std::is_permutation(engine.holdings.begin(), engine.holdings.end(), desired.begin(),
                             desired.end(), same);
}

// An engine serves nothing while it loads. Returns whether its model is served as a whole now, and
// would not be without it.
bool PlacementController::IsNeeded(const std::string& name) const {
  for (const PlacementModel& model : m_models) {
    std::vector<int> holders(model.layers, 0);
    std::vector<char> own(model.layers, 0);
    for (const auto& [other, engine] : m_engines) {
      // What an ordered engine announces is out of date until it announces the order.
      const auto sent = m_sent.find(other);
      if (other != name && sent != m_sent.end() && !sent->second.order_id.empty()) continue;
      for (const Holding& h : engine.holdings) {
        if (!(h.key == model.key) || h.state != HoldingState::kReady) continue;
        for (std::uint32_t l = h.first_layer; l <= h.last_layer && l < model.layers; ++l) {
          ++holders[l];
          if (other == name) own[l] = 1;
        }
      }
    }
    if (std::count(holders.begin(), holders.end(), 0) != 0) continue;
    for (std::uint32_t l = 0; l < model.layers; ++l) {
      if (own[l] != 0 && holders[l] == 1) return true;
    }
  }
  return false;
}

void PlacementController::SendOrders(TimePoint now, std::uint64_t fence,
                                     std::vector<PlacementAction>* actions) {
  m_agrees = true;
  for (const auto& [name, engine] : m_engines) {
    const auto it = m_plan.find(name);
    if (it == m_plan.end()) continue;
    const std::vector<Holding> desired = Desired(it->second);
    if (IsAsDesired(engine, desired)) {
      m_sent.erase(name);
      continue;
    }
    m_agrees = false;
    // A greater number means that another process holds the lease by now.
    if (engine.suspect || engine.fence > fence) continue;
    Sent& sent = m_sent[name];
    const std::string order_id = OrderId(name, fence, desired);
    if (sent.order_id == order_id && now < sent.repeat_at) continue;
    if (sent.order_id != order_id && IsNeeded(name)) {
      if (!sent.reported_held_back) actions->emplace_back(OrderHeldBack{name});
      sent.reported_held_back = true;
      continue;
    }
    sent = {order_id, now + kOrderRepeat, false};
    actions->emplace_back(SendOrder{name, engine.address, fence, order_id, desired});
  }
}

}  // namespace corneltray
