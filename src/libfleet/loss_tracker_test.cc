#include "corneltray/loss_tracker.h"

#include <doctest/doctest.h>

#include "test_zone.h"

namespace corneltray {
namespace {

// Guards against a newcomer that waits as a spare although a copy lacks the layers of a lost
// engine, and against a replan while the lost engine is about to restart.
TEST_CASE("the layers of a lost engine are open until another engine holds them") {
  TimePoint now{std::chrono::hours(1)};
  std::vector<PlacedEngine> engines = MakeZone(0, 3);
  for (std::uint32_t i = 0; i < 3; ++i) engines[i].range = {16 * i, 16 * i + 16};
  LossTracker losses;
  losses.Update(now, engines);
  CHECK(losses.Open().empty());

  SUBCASE("a silent engine is awaited, and its layers stay open after that") {
    engines[1].is_usable = false;
    losses.Update(now, engines);
    CHECK(losses.Awaited(now) == std::vector<LayerRange>{{16, 32}});
    now += kRestartWait;
    losses.Update(now, engines);
    CHECK(losses.Awaited(now).empty());
    CHECK(losses.Open() == std::vector<LayerRange>{{16, 32}});
    losses.Fill({16, 32});
    CHECK(losses.Open().empty());
  }
  SUBCASE("an engine that departs is awaited for a shorter time") {
    engines[1].is_usable = false;
    engines[1].is_leaving = true;
    losses.Update(now, engines);
    CHECK(losses.Awaited(now).size() == 1);
    CHECK(losses.Awaited(now + kDepartureWait).empty());
  }
  SUBCASE("an engine that is no longer known has departed") {
    engines.pop_back();
    losses.Update(now, engines);
    CHECK(losses.Awaited(now + kDepartureWait).empty());
    CHECK(losses.Open() == std::vector<LayerRange>{{32, 48}});
  }
  SUBCASE("an engine that is heard again with its layers is no loss") {
    engines[1].is_usable = false;
    losses.Update(now, engines);
    engines[1].is_usable = true;
    losses.Update(now, engines);
    CHECK(losses.Open().empty());
  }
}

}  // namespace
}  // namespace corneltray
