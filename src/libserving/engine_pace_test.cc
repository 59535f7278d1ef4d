// The pace of engines that have just started or recovered, as the selection of chains uses it.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "corneltray/engine_router.h"
#include "corneltray/server_pace.h"
#include "engine_fleet_test.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow{std::chrono::hours(1)};
constexpr milliseconds kUsual{200};
constexpr double kTokens = 1000.0;

// One zone with two copies of the model, p1 to p4 and q1 to q4.
class PacedFleet {
 public:
  PacedFleet() : pace(PaceMode::kAuto, 1), router("a", TestProfile(), 1, &pace) {
    for (const char* copy : {"p", "q"}) {
      for (std::uint32_t i = 0; i < 4; ++i) {
        const std::string name = copy + std::to_string(i + 1);
        table.Apply(kNow, TestEngine(name, "a", "fast", i * 20, i * 20 + 20));
      }
    }
    Refresh();
    // A usual first event is known from before the restart.
    router.RecordFirstEvent(kNow, router.Choose(kNow, table, {}).stages, kUsual);
  }

  void Refresh() {
    pace.SetServers(kNow, table);
    router.SetEngines("s", table);
  }
  void Restart(const std::string& name, std::uint32_t first) {
    UpstreamUpdate update = TestEngine(name, "a", "fast", first, first + 20);
    update.announcement.incarnation = 2;
    table.Apply(kNow, update);
    Refresh();
  }
  // Sends requests as an entry host does, and returns the chains that use the engine.
  std::vector<ChainChoice> Send(int number, const std::string& engine) {
    std::vector<ChainChoice> used;
    for (int i = 0; i < number; ++i) {
      ChainChoice choice = router.Choose(kNow, table, {});
      for (const std::string& name : choice.limited) {
        CHECK(name == engine);
        pace.Limited(name);
      }
      router.Begin(choice.stages, kTokens);
      for (const ChainStage& stage : choice.stages) {
        if (stage.upstream == engine) used.push_back(choice);
      }
    }
    return used;
  }
  void Answer(const std::vector<ChainChoice>& chains, milliseconds latency) {
    for (const ChainChoice& chain : chains) {
      router.RecordFirstEvent(kNow, chain.stages, latency);
      router.End(chain.stages, kTokens);
    }
  }

  UpstreamTable table;
  ServerPace pace;
  EngineRouter router;
};

// Guards against a selection that changes for fleets in which nothing has restarted.
TEST_CASE("while no engine is paced the same chains are chosen as without a pace") {
  PacedFleet fleet;
  EngineRouter plain("a", TestProfile(), 7);
  EngineRouter paced("a", TestProfile(), 7, &fleet.pace);
  plain.SetEngines("s", fleet.table);
  paced.SetEngines("s", fleet.table);
  for (int i = 0; i < 50; ++i) {
    const ChainChoice expected = plain.Choose(kNow, fleet.table, {});
    const ChainChoice choice = paced.Choose(kNow, fleet.table, {});
    REQUIRE_FALSE(choice.stages.empty());
    CHECK(choice.stages.front().upstream == expected.stages.front().upstream);
    CHECK(choice.limited.empty());
  }
}

// Guards against a copy that is flooded because the memory of one of its engines is empty.
TEST_CASE("a copy gets what its engine that has restarted may get") {
  PacedFleet fleet;
  fleet.Restart("p2", 20);
  REQUIRE(fleet.pace.IsPaced("p2"));
  const std::vector<ChainChoice> first = fleet.Send(40, "p2");
  CHECK(first.size() == 2);

  SUBCASE("more when first events arrive in time") {
    fleet.Answer(first, kUsual);
    CHECK(fleet.Send(40, "p2").size() == 4);
    SUBCASE("and all once no request was held back") {
      fleet.Answer(fleet.Send(1, "p2"), kUsual);
      CHECK(fleet.pace.WindowSum() >= 4.0);
    }
  }
  SUBCASE("less when it refuses") {
    fleet.router.MarkFull(kNow, "p2");
    CHECK(fleet.pace.WindowSum() == doctest::Approx(1.0));
  }
  SUBCASE("but as much when another engine refuses") {
    fleet.router.MarkFull(kNow, "p1");
    CHECK(fleet.pace.WindowSum() == doctest::Approx(2.0));
  }
  SUBCASE("more than that if there is no other copy") {
    CHECK_FALSE(fleet.router.Choose(kNow, fleet.table, {"q1"}).stages.empty());
  }
}

// Guards against an engine that gets its full share at once when a wrong report about it ends.
TEST_CASE("an engine that was wrongly reported as lost is paced when it is back") {
  PacedFleet fleet;
  fleet.router.UpdateHealth(kNow, {"p2", 1, false, 0.0, 1.0});
  CHECK_FALSE(fleet.pace.IsPaced("p2"));
  fleet.router.UpdateHealth(kNow + milliseconds(500), {"p2", 1, true, 0.0, 1.0});
  CHECK(fleet.pace.IsPaced("p2"));
}

// Guards against an explanation that draws the random number of the next request.
TEST_CASE("the chain that is previewed is the one that is chosen next") {
  PacedFleet fleet;
  fleet.Restart("p2", 20);
  for (int i = 0; i < 50; ++i) {
    const ChainChoice preview = fleet.router.Preview(kNow, fleet.table, {});
    const ChainChoice choice = fleet.router.Choose(kNow, fleet.table, {});
    CHECK(preview.stages.front().upstream == choice.stages.front().upstream);
    CHECK(preview.limited == choice.limited);
  }
  fleet.Send(40, "p2");
  for (const CandidateView& view : fleet.router.Describe(kNow, fleet.table, {"q1"})) {
    CandidateReason expected = CandidateReason::kNone;
    if (view.upstream == "p2") expected = CandidateReason::kPace;
    if (view.upstream == "q1") expected = CandidateReason::kBlocked;
    CHECK(view.reason == expected);
  }
}

}  // namespace
}  // namespace corneltray
