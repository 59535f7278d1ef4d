#include "corneltray/range_layout.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace corneltray {
namespace {

constexpr int kBisections = 16;
constexpr int kDivisionRounds = 100;
constexpr double kGain = 1.001;  // a move counts if the throughput grows by this factor
constexpr double kRounding = 1e-9;

// Adds an engine's work to the lowest layers of its range, as the routing will do.
void AddWork(const LayoutEngine& engine, const LayoutRange& range, std::vector<double>* level) {
  constexpr int kSlices = 16;
  std::vector<double> added(range.end - range.first, 0.0);
  const double slice = engine.layers_per_s / kSlices;
  for (int i = 0; i < kSlices; ++i) {
    std::size_t lowest = added.size();
    for (std::size_t l = 0; l < added.size(); ++l) {
      if (added[l] + slice > engine.link_tokens_per_s + kRounding) continue;
      if (lowest == added.size() ||
          (*level)[range.first + l] + added[l] < (*level)[range.first + lowest] + added[lowest]) {
        lowest = l;
      }
    }
    if (lowest == added.size()) {
      for (double& work : added) work = std::max(work, engine.link_tokens_per_s);
      break;
    }
    added[lowest] += slice;
  }
  for (std::size_t l = 0; l < added.size(); ++l) (*level)[range.first + l] += added[l];
}

}  // namespace

RangeLayout::RangeLayout(std::vector<LayoutEngine> engines, std::uint32_t layers)
    : m_engines(std::move(engines)), m_layers(layers), m_left(m_engines.size()) {
  m_order.resize(m_engines.size());
  std::iota(m_order.begin(), m_order.end(), 0U);
}

std::uint32_t RangeLayout::Width(std::size_t engine) const {
  return std::min(m_engines[engine].max_layers, m_layers);
}

double RangeLayout::Bound() const {
  double low = 0.0;
  double high = 0.0;
  for (const LayoutEngine& engine : m_engines) high += engine.layers_per_s;
  high /= std::max(1U, m_layers);
  for (int i = 0; i < 50; ++i) {
    const double middle = (low + high) / 2;
    double work = 0.0;
    for (std::size_t e = 0; e < m_engines.size(); ++e) {
      const double a_layer = std::min(middle, m_engines[e].link_tokens_per_s);
      work += std::min(m_engines[e].layers_per_s, a_layer * Width(e));
    }
    (work >= middle * m_layers ? low : high) = middle;
  }
  return low;
}

// Gives the layers their work from first to last, each from the engines whose ranges end soonest.
// With links that bind this may miss a division that exists, so the result is a lower bound.
bool RangeLayout::IsFeasible(const Layout& layout, double tokens_per_s, std::uint32_t* weakest) {
  for (std::size_t e = 0; e < m_engines.size(); ++e) m_left[e] = m_engines[e].layers_per_s;
  m_operations += static_cast<std::uint64_t>(m_layers) * m_engines.size();
  for (std::uint32_t layer = 0; layer < m_layers; ++layer) {
    double need = tokens_per_s;
    for (const std::uint32_t e : m_order) {
      if (layout[e].end <= layer || layout[e].first > layer) continue;
      const double work = std::min({need, m_left[e], m_engines[e].link_tokens_per_s});
      m_left[e] -= work;
      need -= work;
      if (need <= 0.0) break;
    }
    if (need > tokens_per_s * kRounding) {
      *weakest = layer;
      return false;
    }
  }
  return true;
}

RangeLayout::Score RangeLayout::Evaluate(const Layout& layout) {
  Score score;
  std::sort(m_order.begin(), m_order.end(), [&](std::uint32_t a, std::uint32_t b) {
    return std::pair(layout[a].end, a) < std::pair(layout[b].end, b);
  });
  std::vector<int> holders(m_layers + 1, 0);
  for (const LayoutRange& range : layout) {
    ++holders[range.first];
    --holders[range.end];
  }
  int sum = 0;
  for (std::uint32_t layer = 0; layer < m_layers; ++layer) {
    sum += holders[layer];
    if (sum == 0 && score.not_held++ == 0) score.weakest = layer;
  }
  if (score.not_held > 0) return score;
  double low = 0.0;
  double high = Bound();
  std::uint32_t weakest = 0;
  for (int i = 0; i < kBisections; ++i) {
    const double middle = i == 0 ? high : (low + high) / 2;
    if (IsFeasible(layout, middle, &weakest)) {
      low = middle;
      if (i == 0) break;
    } else {
      high = middle;
      score.weakest = weakest;
    }
  }
  score.tokens_per_s = low;
  return score;
}

double RangeLayout::Throughput(const Layout& layout) { return Evaluate(layout).tokens_per_s; }

// Starts from work spread evenly over each range and scales layers and engines in turn until both
// fit. The result stays as even as it can be, so that chains change engines seldom.
std::vector<std::vector<RangeLayout::Work>> RangeLayout::Division(const Layout& layout) {
  const double target = Evaluate(layout).tokens_per_s;
  if (target <= 0.0) return {};
  std::vector<std::vector<Work>> division(m_layers);
  for (std::uint32_t e = 0; e < m_engines.size(); ++e) {
    const LayoutRange& range = layout[e];
    const double even = m_engines[e].layers_per_s / std::max(1U, range.end - range.first);
    for (std::uint32_t layer = range.first; layer < range.end; ++layer) {
      division[layer].push_back({e, std::min(even, m_engines[e].link_tokens_per_s)});
    }
  }
  std::vector<double> sums(m_engines.size());
  for (int round = 0; round < kDivisionRounds; ++round) {
    std::fill(sums.begin(), sums.end(), 0.0);
    for (auto& works : division) {
      double sum = 0.0;
      for (const Work& work : works) sum += work.tokens_per_s;
      for (Work& work : works) {
        work.tokens_per_s *= target / sum;
        sums[work.engine] += work.tokens_per_s;
      }
    }
    if (round + 1 == kDivisionRounds) break;
    for (auto& works : division) {
      for (Work& work : works) {
        const LayoutEngine& engine = m_engines[work.engine];
        const double scale = std::min(1.0, engine.layers_per_s / sums[work.engine]);
        work.tokens_per_s = std::min(work.tokens_per_s * scale, engine.link_tokens_per_s);
      }
    }
  }
  return division;
}

// Places each engine without a range, widest first, over the layers that have the least work.
void RangeLayout::PlaceByLevel(Layout* layout) const {
  std::vector<double> level(m_layers, 0.0);
  std::vector<std::size_t> to_place;
  for (std::size_t e = 0; e < m_engines.size(); ++e) {
    const LayoutRange& range = (*layout)[e];
    if (range.first < range.end) {
      AddWork(m_engines[e], range, &level);
    } else if (Width(e) > 0) {
      to_place.push_back(e);
    }
  }
  std::stable_sort(to_place.begin(), to_place.end(),
                   [&](std::size_t a, std::size_t b) { return Width(a) > Width(b); });
  for (const std::size_t e : to_place) {
    const std::uint32_t width = Width(e);
    std::pair<double, double> least{std::numeric_limits<double>::infinity(), 0.0};
    for (std::uint32_t first = 0; first + width <= m_layers; ++first) {
      const auto begin = level.begin() + first;
      const double sum = std::accumulate(begin, begin + width, 0.0);
      const double lowest = *std::min_element(begin, begin + width);
      if (std::pair(sum, lowest) >= least) continue;
      least = {sum, lowest};
      (*layout)[e] = {first, first + width};
    }
    AddWork(m_engines[e], (*layout)[e], &level);
  }
}

// Moves single ranges, or exchanges the places of two, while that raises the throughput.
void RangeLayout::Improve(Layout* layout, std::uint64_t operations) {
  std::mt19937_64 random(m_engines.size() * 1000 + m_layers);
  const std::uint64_t end = m_operations + operations;
  Score score = Evaluate(*layout);
  const double bound = Bound();
  const auto fit = [&](std::size_t e, std::int64_t first) {
    const auto last_first = static_cast<std::int64_t>(m_layers - Width(e));
    const auto at = static_cast<std::uint32_t>(std::clamp<std::int64_t>(first, 0, last_first));
    (*layout)[e] = {at, at + Width(e)};
  };
  while (m_operations < end && score.tokens_per_s < 0.995 * bound) {
    const std::size_t a = random() % m_engines.size();
    const std::size_t b = random() % m_engines.size();
    const LayoutRange old_a = (*layout)[a];
    const LayoutRange old_b = (*layout)[b];
    if (Width(a) == 0 || Width(b) == 0) {
      m_operations += m_layers;
      continue;
    }
    const std::uint64_t kind = random() % 4;
    if (kind == 0) {
      fit(a, static_cast<std::int64_t>(old_a.first) + static_cast<std::int64_t>(random() % 7) - 3);
    } else if (kind == 1) {
      fit(a, static_cast<std::int64_t>(score.weakest) -
                 static_cast<std::int64_t>(random() % Width(a)));
    } else if (kind == 2) {
      fit(a, static_cast<std::int64_t>(random() % m_layers));
    } else {
      fit(a, old_b.first);
      fit(b, old_a.first);
    }
    if (score.not_held > 0) {
      const Score now = Evaluate(*layout);
      m_operations += m_layers;
      if (now.not_held <= score.not_held) {
        score = now;
      } else {
        (*layout)[a] = old_a;
        (*layout)[b] = old_b;
      }
      continue;
    }
    std::sort(m_order.begin(), m_order.end(), [&](std::uint32_t x, std::uint32_t y) {
      return std::pair((*layout)[x].end, x) < std::pair((*layout)[y].end, y);
    });
    std::uint32_t weakest = 0;
    // Moves that lose nothing are taken too, as they lead off a plateau.
    if (IsFeasible(*layout, score.tokens_per_s * kGain, &weakest)) {
      score = Evaluate(*layout);
    } else if (IsFeasible(*layout, score.tokens_per_s, &weakest)) {
      score.weakest = weakest;
    } else {
      (*layout)[a] = old_a;
      (*layout)[b] = old_b;
    }
  }
}

Layout RangeLayout::Plan(std::uint64_t operations) {
  Layout layout(m_engines.size());
  if (m_engines.empty() || m_layers == 0) return layout;
  PlaceByLevel(&layout);
  Improve(&layout, operations);
  return layout;
}

Layout RangeLayout::Repair(Layout layout, std::uint64_t operations) {
  if (m_engines.empty() || m_layers == 0) return layout;
  PlaceByLevel(&layout);
  const std::uint64_t end = m_operations + operations;
  const double target = kGoodShare * Bound();
  Score score = Evaluate(layout);
  while (m_operations < end && (score.not_held > 0 || score.tokens_per_s < target)) {
    double best_gain = 0.0;
    std::size_t best_engine = m_engines.size();
    LayoutRange best_range;
    for (std::size_t e = 0; e < m_engines.size(); ++e) {
      const LayoutRange old = layout[e];
      const std::uint32_t w = score.weakest;
      const bool holds = old.first <= w && w < old.end;
      if (holds || old.first == old.end) continue;
      const std::uint32_t width = old.end - old.first;
      const std::uint32_t moved = w < old.first ? old.first - w : w + 1 - old.end;
      layout[e] = w < old.first ? LayoutRange{w, w + width} : LayoutRange{w + 1 - width, w + 1};
      const Score now = Evaluate(layout);
      const double loaded = std::min(moved, width);
      // Layers that become held count before any throughput.
      const double gain = score.not_held > 0
                              ? (static_cast<double>(score.not_held) - now.not_held) / loaded
                              : (now.tokens_per_s - kGain * score.tokens_per_s) / loaded;
      if (gain > best_gain) {
        best_gain = gain;
        best_engine = e;
        best_range = layout[e];
      }
      layout[e] = old;
    }
    if (best_engine == m_engines.size()) break;
    layout[best_engine] = best_range;
    score = Evaluate(layout);
  }
  // The minimal moves found nothing that covers a layer: its engines must be found anew.
  if (score.not_held > 0) Improve(&layout, operations);
  return layout;
}

}  // namespace corneltray
