#include "corneltray/loss_tracker.h"

#include <algorithm>
#include <set>

namespace corneltray {

void LossTracker::Update(TimePoint now, const std::vector<PlacedEngine>& engines) {
  std::map<std::string, LayerRange> held;
  std::set<std::string> silent;
  for (const PlacedEngine& engine : engines) {
    if (!engine.is_usable && !engine.is_leaving) silent.insert(engine.name);
    if (engine.is_usable && engine.range.Size() > 0) held[engine.name] = engine.range;
  }
  for (const auto& [name, range] : m_held) {
    if (held.count(name) > 0) continue;
    m_open[name] = {range, now + (silent.count(name) > 0 ? kRestartWait : kDepartureWait)};
  }
  for (const auto& [name, range] : held) m_open.erase(name);
  m_held = std::move(held);
}

void LossTracker::Fill(LayerRange range) {
  const auto open = std::find_if(m_open.begin(), m_open.end(),
                                 [&](const auto& loss) { return loss.second.range == range; });
  if (open != m_open.end()) m_open.erase(open);
}

std::vector<LayerRange> LossTracker::Open() const {
  std::vector<LayerRange> ranges;
  for (const auto& [name, loss] : m_open) ranges.push_back(loss.range);
  return ranges;
}

std::vector<LayerRange> LossTracker::Awaited(TimePoint now) const {
  std::vector<LayerRange> ranges;
  for (const auto& [name, loss] : m_open) {
    if (now < loss.awaited_until) ranges.push_back(loss.range);
  }
  return ranges;
}

}  // namespace corneltray
