#include "corneltray/chain_search.h"

#include <algorithm>
#include <limits>

namespace corneltray {
namespace {

constexpr double kUnreachable = std::numeric_limits<double>::infinity();

}  // namespace

void ChainSearch::SetRanges(const std::vector<ChainSlot>& slots, std::uint32_t layers) {
  m_layers = layers;
  m_boundaries = {0, layers};
  for (const ChainSlot& slot : slots) {
    m_boundaries.push_back(std::min(slot.first, layers));
    m_boundaries.push_back(std::min(slot.end, layers));
  }
  std::sort(m_boundaries.begin(), m_boundaries.end());
  m_boundaries.erase(std::unique(m_boundaries.begin(), m_boundaries.end()), m_boundaries.end());
  const std::size_t segments = m_boundaries.size() - 1;
  m_covering.assign(segments, {});
  m_first_boundary.assign(slots.size(), 0);
  m_end_boundary.assign(slots.size(), 0);
  for (std::uint32_t i = 0; i < slots.size(); ++i) {
    for (std::uint32_t b = 0; b < segments; ++b) {
      if (slots[i].first > m_boundaries[b] || slots[i].end < m_boundaries[b + 1]) continue;
      if (m_boundaries[b] == slots[i].first) m_first_boundary[i] = b;
      if (m_boundaries[b + 1] == std::min(slots[i].end, layers)) m_end_boundary[i] = b + 1;
      m_covering[b].push_back(i);
    }
  }
  m_best.resize(segments + 1);
  m_best_slot.resize(segments + 1);
  m_best_entry.resize(segments + 1);
  m_slot_cost.resize(slots.size());
  m_slot_entry.resize(slots.size());
}

void ChainSearch::Reset() {
  m_chain.clear();
  m_cost = kUnreachable;
  std::fill(m_best.begin(), m_best.end(), kUnreachable);
  m_best[0] = 0.0;
}

void ChainSearch::Backtrack() {
  const std::size_t last = m_covering.size();
  if (m_layers == 0 || m_best[last] == kUnreachable) return;
  m_cost = m_best[last];
  for (std::size_t b = last; b > 0; b = m_best_entry[b]) {
    m_chain.push_back({static_cast<std::uint32_t>(m_best_slot[b]), m_boundaries[m_best_entry[b]],
                       m_boundaries[b]});
  }
  std::reverse(m_chain.begin(), m_chain.end());
}

const std::vector<ChainPart>& ChainSearch::FindWholeRangeChain(
    const std::vector<ChainSlot>& slots) {
  Reset();
  for (std::uint32_t b = 0; b < m_covering.size(); ++b) {
    if (m_best[b] == kUnreachable) continue;
    for (const std::uint32_t i : m_covering[b]) {
      const ChainSlot& slot = slots[i];
      if (!slot.usable || slot.first != m_boundaries[b]) continue;
      const std::uint32_t end = m_end_boundary[i];
      const double layers = m_boundaries[end] - m_boundaries[b];
      const double cost = m_best[b] + slot.hop_cost_s + layers * slot.layer_cost_s;
      if (cost >= m_best[end]) continue;
      m_best[end] = cost;
      m_best_slot[end] = static_cast<std::int32_t>(i);
      m_best_entry[end] = b;
    }
  }
  Backtrack();
  return m_chain;
}

const std::vector<ChainPart>& ChainSearch::Find(const std::vector<ChainSlot>& slots,
                                                int required_first) {
  Reset();
  const std::size_t segments = m_covering.size();
  for (std::size_t b = 0; b < segments; ++b) {
    const double layers = m_boundaries[b + 1] - m_boundaries[b];
    for (const std::uint32_t i : m_covering[b]) {
      const ChainSlot& slot = slots[i];
      if (!slot.usable) continue;
      if (b == 0 && required_first >= 0 && i != static_cast<std::uint32_t>(required_first)) {
        m_slot_cost[i] = kUnreachable;
        continue;
      }
      if (b == m_first_boundary[i]) m_slot_cost[i] = kUnreachable;
      const double entry_cost = m_best[b] + slot.hop_cost_s;
      if (entry_cost < m_slot_cost[i]) {
        m_slot_cost[i] = entry_cost;
        m_slot_entry[i] = static_cast<std::uint32_t>(b);
      }
      m_slot_cost[i] += layers * slot.layer_cost_s;
      if (m_slot_cost[i] < m_best[b + 1]) {
        m_best[b + 1] = m_slot_cost[i];
        m_best_slot[b + 1] = static_cast<std::int32_t>(i);
        m_best_entry[b + 1] = m_slot_entry[i];
      }
    }
  }
  Backtrack();
  // If the result leaves a slot and returns to it, the slot runs the layers in between as well: its
  // range covers them, and an engine must appear only once in a chain.
  for (std::size_t a = 0; a < m_chain.size(); ++a) {
    for (std::size_t z = m_chain.size() - 1; z > a; --z) {
      if (m_chain[z].slot != m_chain[a].slot) continue;
      m_chain[a].end = m_chain[z].end;
      m_chain.erase(m_chain.begin() + static_cast<std::ptrdiff_t>(a) + 1,
                    m_chain.begin() + static_cast<std::ptrdiff_t>(z) + 1);
      break;
    }
  }
  return m_chain;
}

}  // namespace corneltray
