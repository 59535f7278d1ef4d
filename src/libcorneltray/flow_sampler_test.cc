#include "corneltray/flow_sampler.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

#include "corneltray/range_layout.h"

namespace corneltray {
namespace {

// Guards against chains that load engines otherwise than the division says, which leaves capacity
// unused, and against a chain with a gap.
TEST_CASE("drawn chains follow the division of the work") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    constexpr std::uint32_t kLayers = 12;
    std::vector<LayoutEngine> engines;
    for (std::size_t i = 0, n = 6 + random() % 15; i < n; ++i) {
      engines.push_back({100.0 * static_cast<double>(1 + random() % 16), 1000.0,
                         static_cast<std::uint32_t>(3 + random() % 6)});
    }
    RangeLayout layout_search(engines, kLayers);
    const Layout layout = layout_search.Plan(100'000);
    const double throughput = layout_search.Throughput(layout);
    REQUIRE(throughput > 0.0);
    std::vector<std::vector<FlowSampler::Share>> division;
    std::vector<double> planned(engines.size(), 0.0);
    for (const auto& works : layout_search.Division(layout)) {
      auto& shares = division.emplace_back();
      double sum = 0.0;
      for (const RangeLayout::Work& work : works) {
        CHECK(layout[work.engine].first < division.size());
        CHECK(layout[work.engine].end >= division.size());
        shares.push_back({work.engine, work.tokens_per_s});
        planned[work.engine] += work.tokens_per_s;
        sum += work.tokens_per_s;
      }
      CHECK(sum == doctest::Approx(throughput));
    }
    for (std::size_t e = 0; e < engines.size(); ++e) {
      CHECK(planned[e] <= 1.1 * engines[e].layers_per_s);
    }
    FlowSampler sampler(division);
    constexpr int kDraws = 20'000;
    std::vector<double> drawn(engines.size(), 0.0);
    for (int i = 0; i < kDraws; ++i) {
      const auto& chain = sampler.Draw(-1, &random);
      std::uint32_t next = 0;
      std::set<std::uint32_t> slots;
      for (const ChainPart& part : chain) {
        REQUIRE(part.first == next);
        REQUIRE(slots.insert(part.slot).second);
        next = part.end;
        drawn[part.slot] += part.end - part.first;
      }
      REQUIRE(next == kLayers);
    }
    for (std::size_t e = 0; e < engines.size(); ++e) {
      const double expected = planned[e] / throughput;
      CHECK(drawn[e] / kDraws == doctest::Approx(expected).epsilon(0.15));
    }
  }
}

TEST_CASE("an empty division draws nothing") {
  std::mt19937_64 random(1);
  FlowSampler sampler;
  CHECK(sampler.Draw(-1, &random).empty());
  FlowSampler one({{{3, 1.0}}, {{3, 1.0}}});
  CHECK(one.Draw(-1, &random).size() == 1);
  CHECK(one.Draw(2, &random).empty());
  CHECK(one.Draw(3, &random).size() == 1);
  CHECK(one.UsedBy(3) == doctest::Approx(1.0));
}

}  // namespace
}  // namespace corneltray
