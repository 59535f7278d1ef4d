#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "corneltray/fleet_messages.h"

namespace corneltray {
namespace {

const TimePoint kStart = Clock::now();

EngineHealth MakeHealth(const std::string& name, bool answers, double load) {
  EngineHealth health;
  health.name = name;
  health.answers = answers;
  health.load = load;
  return health;
}

// Guards against a message to each host for each zone and probe, which cost control processes more
// than anything else on a calm day with five zones.
TEST_CASE("the health of engines of all zones goes out together") {
  EngineHealthBatch batch;
  batch.Add({MakeHealth("a", true, 0.1)});
  CHECK(batch.TakeDue(kStart).size() == 1);
  batch.Add({MakeHealth("b", true, 0.2)});
  batch.Add({MakeHealth("a", true, 0.3)});
  batch.Add({MakeHealth("a", true, 0.4)});
  CHECK(batch.TakeDue(kStart + kHealthRelayInterval / 2).empty());

  SUBCASE("once per interval, with the newest result of each engine") {
    const auto due = batch.TakeDue(kStart + kHealthRelayInterval);
    REQUIRE(due.size() == 2);
    CHECK(due[0].load == 0.4);
    CHECK(batch.TakeDue(kStart + 2 * kHealthRelayInterval).empty());
  }
  SUBCASE("at once if an engine was lost, and again if it is back") {
    batch.Add({MakeHealth("a", false, 0.4)});
    CHECK(batch.TakeDue(kStart + kHealthRelayInterval / 2).size() == 2);
    batch.Add({MakeHealth("a", true, 0.0)});
    CHECK(batch.TakeDue(kStart + kHealthRelayInterval / 2).size() == 1);
  }
  SUBCASE("an engine that stays lost is not urgent again") {
    batch.Add({MakeHealth("a", false, 0.4)});
    batch.TakeDue(kStart + kHealthRelayInterval / 2);
    batch.Add({MakeHealth("a", false, 0.4)});
    CHECK(batch.TakeDue(kStart + kHealthRelayInterval / 2).empty());
  }
}

}  // namespace
}  // namespace corneltray
