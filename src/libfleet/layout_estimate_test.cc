#include "corneltray/layout_estimate.h"

#include <doctest/doctest.h>

#include "test_zone.h"

namespace corneltray {
namespace {

StageGroup Stages(const std::string& kind, std::uint32_t layers, std::uint32_t count) {
  return {TestProfile().accelerators.at(kind), layers, count};
}

// Guards against a layout that looks large by its memory and carries little, because its stages
// keep each request for long.
TEST_CASE("a copy carries what its KV cache and its speed allow") {
  const EngineProfile profile = TestProfile();
  const CopyEstimate fast = EstimateCopy({Stages("fast", 20, 4)}, profile, {});
  const CopyEstimate slow = EstimateCopy({Stages("slow", 16, 5)}, profile, {});
  const CopyEstimate mixed =
      EstimateCopy({Stages("fast", 20, 2), Stages("slow", 8, 5)}, profile, {});

  SUBCASE("the stage with the smallest KV cache decides") {
    const AcceleratorKind kind = profile.accelerators.at("slow");
    CHECK(slow.kv_tokens == doctest::Approx(KvTokensWithLayers(kind, profile, 16)));
    CHECK(slow.stages == 5);
  }
  SUBCASE("a fast copy carries more than a mixed one, and that more than a slow one") {
    CHECK(fast.requests_per_s > mixed.requests_per_s);
    CHECK(mixed.requests_per_s > slow.requests_per_s);
  }
  SUBCASE("the requests that it holds are its rate times the time that each stays") {
    const double held = slow.requests_per_s * slow.request_s;
    CHECK(held == doctest::Approx(slow.kv_tokens / UsualTokens(profile)).epsilon(0.01));
  }
  SUBCASE("the slots of the first stage limit a copy with much memory") {
    EngineProfile few_slots = profile;
    few_slots.slots = 10;
    const CopyEstimate limited = EstimateCopy({Stages("fast", 20, 4)}, few_slots, {});
    CHECK(limited.requests_per_s * limited.request_s == doctest::Approx(10.0).epsilon(0.01));
  }
  SUBCASE("a rate at which callers get events too late does not count") {
    const auto half_gap = std::chrono::milliseconds(static_cast<int>(1000.0 * slow.event_s));
    const CopyEstimate bounded = EstimateCopy({Stages("slow", 16, 5)}, profile, {{}, half_gap});
    CHECK(bounded.requests_per_s == 0.0);
    const CopyEstimate generous =
        EstimateCopy({Stages("slow", 16, 5)}, profile, {{}, 4 * half_gap});
    CHECK(generous.requests_per_s == doctest::Approx(slow.requests_per_s).epsilon(0.01));
  }
}

TEST_CASE("engines outside complete copies carry nothing") {
  const EngineProfile profile = TestProfile();
  std::vector<PlacedEngine> engines = MakeZone(0, 9);
  for (std::uint32_t i = 0; i < 9; ++i) engines[i].range = {i % 5 * 16, i % 5 * 16 + 16};
  CHECK(EstimateLayout(engines, profile, {}).copies.size() == 1);
  engines[8].range = {64, 80};
  CHECK(EstimateLayout(engines, profile, {}).copies.size() == 1);
  engines[4].is_usable = false;
  CHECK(EstimateLayout(engines, profile, {}).copies.size() == 1);
  engines[8].is_usable = false;
  CHECK(EstimateLayout(engines, profile, {}).copies.empty());
}

// Guards against planning for one kind of route alone.
TEST_CASE("the shortest objective of the routes of a service is its latency target") {
  RouteTable routes;
  RouteEntry route;
  route.targets = {{"s", 1}};
  route.objective = std::chrono::milliseconds(1000);
  routes.routes.push_back(route);
  route.objective = std::chrono::milliseconds(500);
  route.gap_objective = std::chrono::milliseconds(250);
  routes.routes.push_back(route);
  route.targets = {{"other", 1}};
  route.objective = std::chrono::milliseconds(10);
  routes.routes.push_back(route);
  const LatencyTarget target = LatencyTargetOf("s", routes);
  CHECK(target.first_event == std::chrono::milliseconds(500));
  CHECK(target.event_gap == std::chrono::milliseconds(250));
}

}  // namespace
}  // namespace corneltray
