#include "corneltray/flow_sampler.h"

#include <algorithm>
#include <utility>

namespace corneltray {
namespace {

double Uniform(std::mt19937_64* random) {
  return static_cast<double>((*random)() >> 11) * 0x1.0p-53;
}

std::uint32_t Pick(const std::vector<double>& cumulative, std::mt19937_64* random) {
  const double at = Uniform(random) * cumulative.back();
  const auto it = std::upper_bound(cumulative.begin(), cumulative.end(), at);
  const auto index = static_cast<std::size_t>(it - cumulative.begin());
  return static_cast<std::uint32_t>(std::min(index, cumulative.size() - 1));
}

}  // namespace

FlowSampler::FlowSampler(std::vector<std::vector<Share>> division) {
  for (std::size_t l = 0; l < division.size(); ++l) {
    Layer layer;
    layer.shares = std::move(division[l]);
    std::sort(layer.shares.begin(), layer.shares.end(),
              [](const Share& a, const Share& b) { return a.slot < b.slot; });
    const auto find = [](const std::vector<Share>& shares, std::uint32_t slot) {
      const auto it = std::find_if(shares.begin(), shares.end(),
                                   [&](const Share& share) { return share.slot == slot; });
      return static_cast<std::uint32_t>(it - shares.begin());
    };
    static const std::vector<Share> nothing;
    const std::vector<Share>& before = l > 0 ? m_layers[l - 1].shares : nothing;
    for (const Share& share : before) {
      const std::uint32_t at = find(layer.shares, share.slot);
      const double rate = at < layer.shares.size() ? layer.shares[at].rate : 0.0;
      layer.same.push_back(at);
      layer.stay.push_back(share.rate > 0.0 ? std::min(1.0, rate / share.rate) : 0.0);
    }
    double sum = 0.0;
    for (const Share& share : layer.shares) {
      const std::uint32_t at = find(before, share.slot);
      const double rate = at < before.size() ? before[at].rate : 0.0;
      sum += std::max(0.0, share.rate - rate);
      layer.gained.push_back(sum);
      if (share.slot >= m_used.size()) m_used.resize(share.slot + 1, 0.0);
      m_used[share.slot] += std::max(0.0, share.rate - rate);
    }
    if (layer.shares.empty()) {
      m_layers.clear();
      return;
    }
    m_layers.push_back(std::move(layer));
  }
  const double total = m_layers.empty() ? 1.0 : m_layers[0].gained.back();
  for (double& used : m_used) used /= total;
}

const std::vector<ChainPart>& FlowSampler::Draw(int first_slot, std::mt19937_64* random) {
  m_chain.clear();
  if (m_layers.empty()) return m_chain;
  std::uint32_t at = Pick(m_layers[0].gained, random);
  if (first_slot >= 0) {
    const auto& shares = m_layers[0].shares;
    const auto it = std::find_if(shares.begin(), shares.end(), [&](const Share& share) {
      return share.slot == static_cast<std::uint32_t>(first_slot);
    });
    if (it == shares.end()) return m_chain;
    at = static_cast<std::uint32_t>(it - shares.begin());
  }
  m_chain.push_back({m_layers[0].shares[at].slot, 0, 1});
  for (std::uint32_t l = 1; l < m_layers.size(); ++l) {
    const Layer& layer = m_layers[l];
    const double stay = layer.stay[at];
    if (stay >= 1.0 || (stay > 0.0 && Uniform(random) < stay)) {
      at = layer.same[at];
    } else if (layer.gained.back() > 0.0) {
      at = Pick(layer.gained, random);
    } else {
      at = static_cast<std::uint32_t>((*random)() % layer.shares.size());
    }
    const std::uint32_t slot = layer.shares[at].slot;
    if (slot == m_chain.back().slot) {
      m_chain.back().end = l + 1;
      continue;
    }
    // A slot that the chain has left before takes the layers in between too: its range covers them.
    const auto again = std::find_if(m_chain.begin(), m_chain.end(),
                                    [&](const ChainPart& part) { return part.slot == slot; });
    if (again != m_chain.end()) {
      again->end = l + 1;
      m_chain.erase(again + 1, m_chain.end());
      continue;
    }
    m_chain.push_back({slot, l, l + 1});
  }
  return m_chain;
}

}  // namespace corneltray
