#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <mutex>
#include <random>
#include <string>

#include "consensus_simulator_test.h"
#include "schedules_test.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kDefaultSchedules = 6000;
constexpr int kStepsPerSchedule = 40;

// One random step: a client call or a fault.
void RandomStep(ConsensusSimulator& sim, std::mt19937_64& random, int* down) {
  const std::size_t host = random() % sim.HostCount();
  switch (random() % 26) {
    case 0:
    case 1:
      // At most two hosts are down at once, so that the second can fail during the repair of the
      // first.
      if (sim.IsUp(host) && *down < 2) {
        sim.Crash(host);
        ++*down;
      }
      break;
    case 2:
    case 3:
    case 4:
      if (!sim.IsUp(host)) {
        sim.Restart(host);
        --*down;
      }
      break;
    case 5:
      if (sim.IsUp(host) && sim.LoseDisk(host, random() % 3 == 0)) sim.Restart(host);
      break;
    case 6:
      sim.Freeze(host, milliseconds(random() % 2000));
      break;
    case 7:
      if (sim.IsUp(host) && *down < 2) {
        sim.FillDisk(host);
        sim.RunFor(milliseconds(random() % 300));
        sim.Crash(host);
        sim.Restart(host);
      }
      break;
    case 18:
      sim.FillDisk(host);
      break;
    case 19:
      for (std::size_t i = 0; i < sim.HostCount(); ++i) sim.FreeDisk(i);
      break;
    case 8:
      sim.Partition({host, random() % sim.HostCount()});
      break;
    case 9:
    case 10:
      sim.Heal();
      break;
    case 11:
      sim.Transfer();
      break;
    case 12:
    case 13:
      sim.ChangeMembers();
      break;
    case 14:
    case 15:
      sim.Compact(host);
      break;
    case 16:
    case 17:
      sim.ReadBarrier();
      break;
    default:
      for (std::uint64_t i = random() % 4 + 1; i > 0; --i) sim.Propose();
      break;
  }
  sim.RunFor(milliseconds(random() % 400));
}

struct CountField {
  const char* name;
  std::uint64_t SimulatorCounts::*field;
};
constexpr CountField kCountFields[] = {
    {"committed", &SimulatorCounts::committed},
    {"elections", &SimulatorCounts::elections},
    {"reads confirmed", &SimulatorCounts::reads_confirmed},
    {"snapshots installed", &SimulatorCounts::snapshots_installed},
    {"entries overwritten", &SimulatorCounts::entries_overwritten},
    {"disks lost", &SimulatorCounts::disks_lost},
    {"founding disks lost", &SimulatorCounts::founding_disks_lost},
    {"members changed", &SimulatorCounts::members_changed},
    {"transfers", &SimulatorCounts::transfers},
    {"storage failures", &SimulatorCounts::storage_failures},
    {"storage recoveries", &SimulatorCounts::storage_recoveries},
};

// Runs the schedule of one seed. Returns a description of the failure, or an empty string.
std::string RunSchedule(std::uint64_t seed, SimulatorCounts* counts) {
  std::mt19937_64 random(seed * 7919 + 1);
  SimulatorOptions options;
  options.seed = seed;
  options.hosts = 3 + random() % 3;
  options.founders = options.hosts == 4 ? 3 : options.hosts;
  options.founding_quorum = seed % 2 == 0 ? FoundingQuorum::kAll : FoundingQuorum::kMajority;
  try {
    ConsensusSimulator sim(options);
    sim.loss = static_cast<double>(random() % 4) * 0.05;
    sim.duplication = static_cast<double>(random() % 3) * 0.05;
    sim.max_delay = milliseconds(1 + random() % 120);
    sim.max_sync_time = milliseconds(1 + random() % 40);
    int down = 0;
    for (int step = 0; step < kStepsPerSchedule; ++step) RandomStep(sim, random, &down);

    sim.Heal();
    sim.loss = sim.duplication = 0;
    sim.max_delay = milliseconds(5);
    sim.max_sync_time = milliseconds(3);
    for (std::size_t host = 0; host < sim.HostCount(); ++host) {
      sim.FreeDisk(host);
      sim.Restart(host);
    }
    if (!sim.RunUntil([&] { return sim.Leader().has_value(); }, std::chrono::seconds(20))) {
      return "no leader after the faults ended\n" + sim.Describe();
    }
    const std::uint64_t before = sim.CommittedCount();
    const auto converged = [&] {
      if (!sim.IsConverged()) return false;
      if (sim.CommittedCount() > before) return true;
      sim.Propose();
      return false;
    };
    if (!sim.RunUntil(converged, std::chrono::seconds(20))) {
      return "replicas did not converge after the faults ended\n" + sim.Describe();
    }
    *counts = sim.Counts();
  } catch (const InvariantViolation& broken) {
    return broken.what();
  }
  return "";
}

// Guards against a second leader in a term, a committed entry that changes, disappears or is not on
// a majority of disks, diverging logs, a vote from a lost disk, a stale read, and a group that does
// not recover once a majority is healthy again, at its first start or later. CORNELTRAY_SCHEDULES
// sets the number of schedules, CORNELTRAY_SEED the first seed.
TEST_CASE("random fault schedules violate no invariant of the replicated log") {
  const ScheduleRange range = ScheduleRangeFromEnvironment(kDefaultSchedules);
  std::mutex mutex;
  SimulatorCounts total;
  const auto failures = RunSchedules(range, [&](std::uint64_t seed) {
    SimulatorCounts counts;
    std::string failure = RunSchedule(seed, &counts);
    const std::lock_guard<std::mutex> lock(mutex);
    for (const CountField& row : kCountFields) total.*row.field += counts.*row.field;
    return failure;
  });
  for (std::size_t i = 0; i < std::min<std::size_t>(failures.size(), 3); ++i) MESSAGE(failures[i]);
  CHECK(failures.size() == 0);
  for (const CountField& row : kCountFields) {
    CAPTURE(row.name);
    // A short run that reproduces a failure does not reach every situation.
    if (range.count >= kDefaultSchedules) CHECK(total.*row.field > range.count / 100);
    if (std::getenv("CORNELTRAY_COUNTS") != nullptr) {
      MESSAGE(std::string(row.name) << ": " << total.*row.field);
    }
  }
}

}  // namespace
}  // namespace corneltray
