#ifndef CORNELTRAY_FLOW_SAMPLER_H_
#define CORNELTRAY_FLOW_SAMPLER_H_

#include <cstdint>
#include <random>
#include <vector>

#include "corneltray/chain_search.h"

namespace corneltray {

// Draws chains at random so that each engine runs each layer as often as a division of the work
// says. At each layer the chain stays on its engine as far as the division allows, which keeps the
// stages few. Not thread safe.
class FlowSampler {
 public:
  // `division[layer]` lists the engines that run the layer with their rates. Rates of a layer sum
  // to the same total in every layer. An empty division draws nothing.
  struct Share {
    std::uint32_t slot = 0;
    double rate = 0.0;
  };
  explicit FlowSampler(std::vector<std::vector<Share>> division = {});

  bool empty() const { return m_layers.empty(); }

  // Part of the chains that use a slot (0 to 1).
  double UsedBy(std::uint32_t slot) const { return slot < m_used.size() ? m_used[slot] : 0.0; }

  // Returns a chain. Each slot appears once at most. If `first_slot` is not negative, the chain
  // starts on that slot; returns nothing if the division never starts there.
  const std::vector<ChainPart>& Draw(int first_slot, std::mt19937_64* random);

 private:
  // How chains move from the layer before to this one.
  struct Layer {
    std::vector<Share> shares;        // by slot
    std::vector<double> stay;         // by position in the layer before: chance to stay
    std::vector<std::uint32_t> same;  // by position in the layer before: its position here
    std::vector<double> gained;       // cumulative rates of those that run more than before
  };

  std::vector<Layer> m_layers;
  std::vector<double> m_used;  // by slot
  std::vector<ChainPart> m_chain;
};

}  // namespace corneltray

#endif  // CORNELTRAY_FLOW_SAMPLER_H_
