#include <doctest/doctest.h>

#include <chrono>

#include "consensus_simulator_test.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kSeeds = 20;
constexpr milliseconds kLongestDelay{1500};
constexpr milliseconds kDelayStep{100};
constexpr milliseconds kDownTime{700};
// The platform's bound for service after the last loss (recover_s).
constexpr seconds kRecoverWithin{12};

// A group of three whose second host has a new disk at its old address.
class GroupWithNewDisk {
 public:
  GroupWithNewDisk(std::uint64_t seed, FoundingQuorum quorum) : sim({seed, 3, 3, quorum}) {
    REQUIRE(sim.RunUntil([this] { return sim.IsConverged(); }, seconds(5)));
    for (int i = 0; i < 20; ++i) sim.Propose();
    REQUIRE(sim.RunUntil([this] { return sim.IsConverged(); }, seconds(5)));
    leader = *sim.Leader();
    replaced = (leader + 1) % 3;
    other = (leader + 2) % 3;
    REQUIRE(sim.LoseDisk(replaced, false));
    sim.Restart(replaced);
  }

  // Whether all hosts are voters with the whole log, and it takes another command. The simulator
  // checks that no committed entry is lost.
  bool Recovers() {
    const std::uint64_t before = sim.CommittedCount();
    const auto recovered = [this, before] {
      const bool commits = sim.CommittedCount() > before;
      if (!commits) sim.Propose();
      return commits && sim.IsConverged();
    };
    return sim.RunUntil(recovered, kRecoverWithin) &&
           sim.At(*sim.Leader()).GetStatus().members.VoterCount() == 3;
  }

  ConsensusSimulator sim;
  std::size_t leader = 0;
  std::size_t replaced = 0;
  std::size_t other = 0;
};

template <class Fault>
void CheckRecovery(Fault fault) {
  for (const FoundingQuorum quorum : {FoundingQuorum::kAll, FoundingQuorum::kMajority}) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      for (milliseconds delay{0}; delay <= kLongestDelay; delay += kDelayStep) {
        CAPTURE(seed);
        CAPTURE(delay.count());
        GroupWithNewDisk group(seed, quorum);
        group.sim.RunFor(delay);
        fault(group);
        CHECK(group.Recovers());
      }
    }
  }
}

// Guards against a host with a new disk at its old address that stays outside the group, or counts
// twice in it, because the leader that had noticed the new disk is gone.
TEST_CASE("a new disk joins the group while the leader changes") {
  SUBCASE("because the leader crashes") {
    CheckRecovery([](GroupWithNewDisk& group) {
      group.sim.Crash(group.leader);
      group.sim.RunFor(kDownTime);
      group.sim.Restart(group.leader);
    });
  }
  SUBCASE("because the leader stands still and wakes") {
    CheckRecovery([](GroupWithNewDisk& group) {
      group.sim.Freeze(group.leader, kDownTime);
      group.sim.RunFor(kDownTime);
    });
  }
  SUBCASE("because the leader hands over") {
    CheckRecovery([](GroupWithNewDisk& group) { group.sim.Transfer(); });
  }
  SUBCASE("because all processes are killed") {
    CheckRecovery([](GroupWithNewDisk& group) {
      for (std::size_t host = 0; host < group.sim.HostCount(); ++host) group.sim.Crash(host);
      group.sim.RunFor(kDownTime);
      for (std::size_t host = 0; host < group.sim.HostCount(); ++host) group.sim.Restart(host);
    });
  }
  SUBCASE("because the only other host with the log crashes too") {
    CheckRecovery([](GroupWithNewDisk& group) {
      group.sim.Crash(group.other);
      group.sim.Crash(group.leader);
      group.sim.RunFor(kDownTime);
      group.sim.Restart(group.other);
      group.sim.RunFor(kDownTime);
      group.sim.Restart(group.leader);
    });
  }
}

// Guards against a second new disk that is lost as soon as the first one has caught up, while
// something of the first replacement is not finished.
TEST_CASE("every disk of a group is replaced in turn") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    GroupWithNewDisk group(seed, FoundingQuorum::kMajority);
    for (const std::size_t next : {group.other, group.leader, group.replaced, group.other}) {
      REQUIRE(group.Recovers());
      REQUIRE(group.sim.LoseDisk(next, false));
      for (std::size_t host = 0; host < group.sim.HostCount(); ++host) group.sim.Crash(host);
      for (std::size_t host = 0; host < group.sim.HostCount(); ++host) group.sim.Restart(host);
    }
    CHECK(group.Recovers());
  }
}

}  // namespace
}  // namespace corneltray
