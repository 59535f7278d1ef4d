#ifndef CORNELTRAY_CHAIN_SEARCH_H_
#define CORNELTRAY_CHAIN_SEARCH_H_

#include <cstdint>
#include <vector>

namespace corneltray {

// One engine as input to the search: it can run any contiguous part of the layers [first, end).
struct ChainSlot {
  std::uint32_t first = 0;
  std::uint32_t end = 0;      // one past the last layer
  double layer_cost_s = 0.0;  // per layer that it runs, including queueing
  double hop_cost_s = 0.0;    // for a transition into this stage
  bool usable = true;
};

// A stage of the chain found: a slot and the layers [first, end) that it runs.
struct ChainPart {
  std::uint32_t slot = 0;
  std::uint32_t first = 0;
  std::uint32_t end = 0;
};

// Finds the lowest-cost chain over the layers [0, layers) by dynamic programming over layer
// boundaries. Costs are linear in the number of layers that a slot runs, so an optimal transition
// lies where some range begins or ends, and only these boundaries are considered. Reuses its
// buffers between calls. Not thread safe.
class ChainSearch {
 public:
  // Sets the layer ranges. Must be called again when they change, but not when only costs or
  // `usable` change.
  void SetRanges(const std::vector<ChainSlot>& slots, std::uint32_t layers);

  // Returns the lowest-cost chain, in which each slot appears at most once; empty if there is none.
  // `required_first`, if not negative, is the slot that must run layer 0.
  const std::vector<ChainPart>& Find(const std::vector<ChainSlot>& slots, int required_first);

  // As Find(), restricted to chains in which each slot runs its whole range. If the ranges form
  // complete copies of the model, repeated searches that mark the slots of each result as not
  // usable find every copy.
  const std::vector<ChainPart>& FindWholeRangeChain(const std::vector<ChainSlot>& slots);

  // Cost of the chain returned by the last search; infinite if there was none.
  double Cost() const { return m_cost; }

 private:
  void Reset();
  // Reconstructs the lowest-cost chain from the last boundary backwards.
  void Backtrack();

  std::uint32_t m_layers = 0;
  std::vector<std::uint32_t> m_boundaries;             // layers at which a range begins or ends
  std::vector<std::vector<std::uint32_t>> m_covering;  // slots over each segment
  std::vector<std::uint32_t> m_first_boundary;         // by slot
  std::vector<std::uint32_t> m_end_boundary;           // by slot
  std::vector<double> m_best;                          // lowest cost to reach each boundary
  std::vector<std::int32_t> m_best_slot;               // last slot on the way to each boundary
  std::vector<std::uint32_t> m_best_entry;             // boundary at which that slot begins
  std::vector<double> m_slot_cost;                     // lowest cost with this slot as the last
  std::vector<std::uint32_t> m_slot_entry;             // boundary at which that slot begins
  std::vector<ChainPart> m_chain;
  double m_cost = 0.0;
};

}  // namespace corneltray

#endif  // CORNELTRAY_CHAIN_SEARCH_H_
