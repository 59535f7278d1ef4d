#ifndef CORNELTRAY_CHAIN_SEARCH_H_
#define CORNELTRAY_CHAIN_SEARCH_H_

#include <cstdint>
#include <vector>

namespace corneltray {

// One engine as the search sees it: it may run any part of the layers from `first` up to `end`.
struct ChainSlot {
  std::uint32_t first = 0;
  std::uint32_t end = 0;      // one past the last layer
  double layer_cost_s = 0.0;  // for each layer that it runs, waiting included
  double hop_cost_s = 0.0;    // for entering this stage
  bool usable = true;
};

struct ChainPart {
  std::uint32_t slot = 0;
  std::uint32_t first = 0;
  std::uint32_t end = 0;
};

// Finds the cheapest chain over the layers from 0 to `layers` by dynamic programming over layer
// boundaries. Costs are linear in the layers that a slot runs, so the best change of slot lies
// where some range begins or ends, and only these boundaries are visited. Keeps its buffers between
// calls. Not thread safe.
class ChainSearch {
 public:
  // Sets the ranges. Call again when they change; costs and `usable` may change without it.
  void SetRanges(const std::vector<ChainSlot>& slots, std::uint32_t layers);

  // Returns the cheapest chain, in which each slot appears once at most; empty if there is none.
  // `only_first`, if not negative, is the slot that must run layer 0.
  const std::vector<ChainPart>& Find(const std::vector<ChainSlot>& slots, int only_first);

  // The same, over chains in which each slot runs its whole range. Where the ranges make up whole
  // copies of the model, to take such chains out one after the other finds every copy.
  const std::vector<ChainPart>& FindWholeRangeChain(const std::vector<ChainSlot>& slots);

  // Cost of the chain that was returned last.
  double Cost() const { return m_cost; }

 private:
  void Begin();
  // Reads the cheapest chain back from its end.
  void Trace();

  std::uint32_t m_layers = 0;
  std::vector<std::uint32_t> m_boundaries;             // layers at which some range begins or ends
  std::vector<std::vector<std::uint32_t>> m_covering;  // slots over the segment after a boundary
  std::vector<std::uint32_t> m_first_boundary;         // of each slot
  std::vector<std::uint32_t> m_end_boundary;           // of each slot
  std::vector<double> m_best;                          // cost up to a boundary
  std::vector<std::int32_t> m_via;                     // slot that reached a boundary
  std::vector<std::uint32_t> m_via_start;              // boundary at which that slot was entered
  std::vector<double> m_run;                           // cost of staying on a slot
  std::vector<std::uint32_t> m_run_start;
  std::vector<ChainPart> m_chain;
  double m_cost = 0.0;
};

}  // namespace corneltray

#endif  // CORNELTRAY_CHAIN_SEARCH_H_
