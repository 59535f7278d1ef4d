#include "corneltray/memory_budget.h"

#include <doctest/doctest.h>

#include <algorithm>

#include "corneltray/route_table.h"

namespace corneltray {
namespace {

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
const std::vector<Door> kAllDoors = {Door::kCallers, Door::kReadiness, Door::kMetrics,
                                     Door::kOperators};

// Guards against doors that together may take more than the process has, and against a door
// without room for the largest request that it allows.
TEST_CASE("the parts of the doors fit into the process") {
  for (const std::size_t memory_mb : {std::size_t{64}, std::size_t{112}, std::size_t{4096}}) {
    CAPTURE(memory_mb);
    const MemoryBudget budget({memory_mb * kMegabyte, 2870}, kAllDoors);
    std::size_t bytes = 0;
    std::size_t connections = budget.MaxUpstreamConnections();
    for (const Door door : kAllDoors) {
      bytes += budget.Part(door)->MaxBytes();
      connections += budget.Part(door)->MaxConnections();
    }
    CHECK(bytes <= memory_mb * kMegabyte / 2);
    CHECK(connections < 2870 - 200);
    CHECK(budget.Part(Door::kOperators)->Fits(2 * kMaxRouteTableBytes + kMegabyte));
  }
  SUBCASE("an entry host serves the largest body that callers may send") {
    const MemoryBudget budget({112 * kMegabyte, 2870}, kAllDoors);
    CHECK(budget.Part(Door::kCallers)->Fits(8 * kMegabyte));
  }
  SUBCASE("a process with few descriptors still has some at each door") {
    const MemoryBudget budget({112 * kMegabyte, 64}, kAllDoors);
    for (const Door door : kAllDoors) CHECK(budget.Part(door)->MaxConnections() > 0);
  }
  SUBCASE("without settings the limits are those of the machine") {
    const ProcessLimits limits = ReadProcessLimits(0, 0);
    CHECK(limits.memory_bytes > 0);
    CHECK(limits.descriptors > 0);
    CHECK(ReadProcessLimits(112, 2870).memory_bytes == 112 * kMegabyte);
    CHECK(ReadProcessLimits(112, 2870).descriptors == 2870);
  }
}

TEST_CASE("a door counts what its connections hold") {
  const auto door = std::make_shared<DoorBudget>(1000, 10);
  {
    MemoryCharge charge(door);
    charge.Update(500);
    CHECK(door->UsedBytes() == 500);
    CHECK(door->Pressure() == MemoryPressure::kNone);

    SUBCASE("and asks to stop reading before it asks to close") {
      charge.Update(700);
      CHECK(door->Pressure() == MemoryPressure::kHigh);
      CHECK(door->Fits(100));
      CHECK_FALSE(door->Fits(101));
      charge.Update(900);
      CHECK(door->Pressure() == MemoryPressure::kCritical);
      CHECK(door->Excess() == 400);
    }
    SUBCASE("also when a holder moves to another door") {
      const auto other = std::make_shared<DoorBudget>(1000, 10);
      charge.SetDoor(other);
      CHECK(door->UsedBytes() == 0);
      CHECK(other->UsedBytes() == 500);
    }
  }
  CHECK(door->UsedBytes() == 0);
}

// Load: a crowd whose bodies stop just short of their end, beside callers that send on.
TEST_CASE("the connections that hold most for the least progress are closed first") {
  const HeldConnection stalled{4000, 0, false};
  const HeldConnection sending{4000, 3000, false};
  const HeldConnection small{100, 50, false};
  const HeldConnection sent_on{9000, 0, true};

  SUBCASE("as many as needed") {
    CHECK(ChooseToClose({sending, stalled, small, sent_on, stalled}, 5000) ==
          std::vector<std::size_t>{1, 4});
  }
  SUBCASE("a request that may have been sent on is never among them") {
    const auto chosen = ChooseToClose({sent_on, stalled, small}, 100'000);
    CHECK(std::find(chosen.begin(), chosen.end(), std::size_t{0}) == chosen.end());
    CHECK(chosen.size() == 2);
  }
  SUBCASE("none without need") { CHECK(ChooseToClose({stalled, small}, 0).empty()); }
}

}  // namespace
}  // namespace corneltray
