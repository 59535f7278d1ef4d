#ifndef CORNELTRAY_RANGE_LAYOUT_H_
#define CORNELTRAY_RANGE_LAYOUT_H_

#include <cstdint>
#include <random>
#include <vector>

namespace corneltray {

// One engine in the layout of one model.
struct LayoutEngine {
  double layers_per_s = 0.0;
  double link_tokens_per_s = 0.0;  // most tokens a second that its link carries
  std::uint32_t max_layers = 0;    // that its memory holds
};

// Layers [first, end) of one engine; empty if first == end.
struct LayoutRange {
  std::uint32_t first = 0;
  std::uint32_t end = 0;
  bool operator==(const LayoutRange& other) const {
    return first == other.first && end == other.end;
  }
};

using Layout = std::vector<LayoutRange>;  // parallel to the engines

// Finds ranges for the engines of one model. A wider range is never worse for throughput, since an
// engine may run any part of it, and covers more losses; so each engine holds as many layers as its
// memory allows, and the search is over where its range begins. Deterministic. Not thread safe.
class RangeLayout {
 public:
  RangeLayout(std::vector<LayoutEngine> engines, std::uint32_t layers);

  // Upper bound on tokens a second for any layout of these engines: the work that speed, memory and
  // links let each engine do, over the layers.
  double Bound() const;

  // Tokens a second that a layout allows; 0 if a layer is not held.
  double Throughput(const Layout& layout);

  // Tokens a second that each engine runs at each layer, by layer, in a division of the work that
  // reaches Throughput within a few percent; empty if a layer is not held.
  struct Work {
    std::uint32_t engine = 0;
    double tokens_per_s = 0.0;
  };
  std::vector<std::vector<Work>> Division(const Layout& layout);

  // Returns a layout from nothing. `operations` bounds the work of the search.
  Layout Plan(std::uint64_t operations);

  // Returns a layout that keeps most of `layout`: engines without a range get one, and others move
  // while a layer is not held or the throughput is under kGoodShare of the bound. Each move is the
  // one that gains most for each layer loaded.
  Layout Repair(Layout layout, std::uint64_t operations);

  // Repair is content with this share of the bound, so that a loss moves few bytes.
  static constexpr double kGoodShare = 0.9;

 private:
  struct Score {
    std::uint32_t not_held = 0;  // layers
    double tokens_per_s = 0.0;
    std::uint32_t weakest = 0;  // layer at which more tokens a second fail
  };

  Score Evaluate(const Layout& layout);
  bool IsFeasible(const Layout& layout, double tokens_per_s, std::uint32_t* weakest);
  std::uint32_t Width(std::size_t engine) const;
  void PlaceByLevel(Layout* layout) const;
  void Improve(Layout* layout, std::uint64_t operations);

  std::vector<LayoutEngine> m_engines;
  std::uint32_t m_layers;
  std::uint64_t m_operations = 0;      // spent so far
  std::vector<std::uint32_t> m_order;  // of engines, by the end of their range
  std::vector<double> m_left;
};

}  // namespace corneltray

#endif  // CORNELTRAY_RANGE_LAYOUT_H_
