// Plays loads against a small fake of the engines, without a network, and checks what callers get:
// with an AdmissionQueue at each host, and beside it with the rule that sends every request at
// once.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "fake_fleet_test.h"

namespace corneltray {
namespace {

// Stated targets: answers on time at any load, of what the same engines do at the highest load that
// they hold on time; part of the arrivals that engines may refuse; time after which a load that has
// fallen is served as before.
constexpr double kMinOnTime = 0.8;
constexpr double kMaxRefused = 0.05;
constexpr double kRecoverySeconds = 3.0;
// Part of the share of all requests that each rank and customer gets at least. The floor asked for
// is a quarter.
constexpr double kMinShareOfMean = 0.4;

// The load of each play: usual from 0 s, the named one from kBegin to kEnd, usual until kLast.
constexpr double kBegin = 10.0;
constexpr double kEnd = 22.0;
constexpr double kLast = 40.0;
constexpr double kAllAnswered = 62.0;
// The first seconds of a load show how it meets the queues; after them its effect is measured.
constexpr double kSettled = kBegin + 2.0;

std::vector<double> Mixed(double rate) { return {0.54 * rate, 0.28 * rate, 0.18 * rate}; }

// Answers on time per second at the highest load that the engines hold on time.
double HighestOnTimeRate() {
  static const double highest = [] {
    double best = 0.0;
    for (double rate = 240.0; rate <= 320.0; rate += 20.0) {
      FakeFleet fleet(FakeRule::kSendAtOnce);
      fleet.Play(20.0, [rate](double) { return Mixed(rate); });
      best = std::max(best, fleet.OnTimePerSecond(5.0, 18.0));
    }
    return best;
  }();
  return highest;
}

double UsualRate() { return 0.6 * HighestOnTimeRate(); }

bool IsAny(const FakeCall&) { return true; }

struct Refusals {
  explicit Refusals(const FakeFleet& fleet)
      : arrivals(fleet.EngineArrivals()), refused(fleet.EngineRefusals()) {}
  double PartSince(const Refusals& before) const {
    return static_cast<double>(refused - before.refused) /
           static_cast<double>(std::max<std::size_t>(1, arrivals - before.arrivals));
  }
  std::size_t arrivals;
  std::size_t refused;
};

// A play of one load by one rule.
struct Played {
  FakeFleet fleet;
  double refused = 0.0;  // part of the arrivals at engines, once the load has settled
};

Played Play(FakeRule rule, const std::vector<double>& load, std::size_t copies = FakeFleet::kCopies,
            double end_s = kEnd) {
  Played played{FakeFleet(rule)};
  const std::vector<double> usual = Mixed(UsualRate());
  const auto rate = [&](double now) {
    if (now >= kLast) return std::vector<double>(usual.size(), 0.0);
    return now >= kBegin && now < end_s ? load : usual;
  };
  played.fleet.Play(kBegin, rate);
  played.fleet.SetCopies(copies);
  played.fleet.Play(kSettled, rate);
  const Refusals settled(played.fleet);
  played.fleet.Play(kEnd, rate);
  played.fleet.SetCopies(FakeFleet::kCopies);
  played.fleet.Play(kAllAnswered, rate);
  played.refused = Refusals(played.fleet).PartSince(settled);
  return played;
}

// Checks that the load is served as before once it has fallen.
void CheckRecovered(const FakeFleet& fleet) {
  const double from = kEnd + kRecoverySeconds;
  for (std::uint32_t rank = 0; rank < 3; ++rank) {
    CAPTURE(rank);
    CHECK(fleet.OnTimeShare(from, from + 5.0, rank) >= 0.95);
  }
}

// Checks that more urgent ranks get no smaller share than less urgent ones, and that none starves.
void CheckRanks(const FakeFleet& fleet) {
  // Ranks that live on their floors alone differ by chance.
  constexpr double kTolerance = 0.05;
  const double mean = fleet.ServedShare(kBegin, kEnd, IsAny);
  double on_time_before = 1.0;
  double served_before = 1.0;
  for (std::uint32_t rank = 0; rank < 3; ++rank) {
    CAPTURE(rank);
    const double on_time = fleet.OnTimeShare(kBegin, kEnd, rank);
    const double served =
        fleet.ServedShare(kBegin, kEnd, [rank](const FakeCall& call) { return call.rank == rank; });
    CHECK(on_time <= on_time_before + kTolerance);
    CHECK(served <= served_before + kTolerance);
    CHECK(served >= kMinShareOfMean * mean);
    on_time_before = on_time;
    served_before = served;
  }
}

// Load: less urgent work grows until the engines get half more than they hold.
// Guards against less urgent requests that take the room of urgent ones, as they do when all are
// sent at once.
TEST_CASE("a burst of less urgent work leaves urgent requests on time") {
  const double usual = UsualRate();
  std::vector<double> burst = Mixed(usual);
  burst[2] += 1.5 * HighestOnTimeRate() - usual;
  const Played queued = Play(FakeRule::kAdmission, burst);
  const Played baseline = Play(FakeRule::kSendAtOnce, burst);
  CHECK(queued.fleet.OnTimeShare(kSettled, kEnd, 0) >= 0.95);
  CHECK(baseline.fleet.OnTimeShare(kSettled, kEnd, 0) < 0.7);
  CHECK(queued.fleet.OnTimePerSecond(kSettled, kEnd) >= kMinOnTime * HighestOnTimeRate());
  CHECK(queued.refused < kMaxRefused);
  CHECK(baseline.refused > kMaxRefused);
  CheckRanks(queued.fleet);
  CheckRecovered(queued.fleet);
}

// Load: all kinds of requests grow to half more than the engines hold.
// Guards against a fleet that serves fewer callers on time the more of them come.
TEST_CASE("a crest of all requests does not collapse the answers on time") {
  const std::vector<double> crest = Mixed(1.5 * HighestOnTimeRate());
  const Played queued = Play(FakeRule::kAdmission, crest);
  const Played baseline = Play(FakeRule::kSendAtOnce, crest);
  CHECK(queued.fleet.OnTimePerSecond(kSettled, kEnd) >= kMinOnTime * HighestOnTimeRate());
  CHECK(queued.fleet.OnTimePerSecond(kSettled, kEnd) >
        baseline.fleet.OnTimePerSecond(kSettled, kEnd));
  CHECK(queued.refused < kMaxRefused);
  CHECK(baseline.refused > kMaxRefused);
  CheckRanks(queued.fleet);
  CheckRecovered(queued.fleet);
}

// Load: four times the usual for two seconds, then the usual and the returns of refused callers.
// Guards against a wave that comes back as a whole and is refused again.
TEST_CASE("the returns after a wave of refusals do not delay new requests") {
  const std::vector<double> wave = Mixed(4.0 * HighestOnTimeRate());
  const Played queued = Play(FakeRule::kAdmission, wave, FakeFleet::kCopies, kSettled);
  const Played baseline = Play(FakeRule::kSendAtOnce, wave, FakeFleet::kCopies, kSettled);
  const double after = kSettled + kRecoverySeconds;
  for (std::uint32_t rank = 0; rank < 3; ++rank) {
    CAPTURE(rank);
    CHECK(queued.fleet.OnTimeShare(after, kEnd, rank) >= 0.9);
  }
  CHECK(queued.fleet.ServedShare(kBegin, kSettled, IsAny) >=
        baseline.fleet.ServedShare(kBegin, kSettled, IsAny));
  CHECK(queued.refused < kMaxRefused);
  CheckRecovered(queued.fleet);
}

// Load: the usual one, while two thirds of the engines are lost and come back later.
// Guards against hosts that send at the pace of a fleet that is gone, or do not return to it.
TEST_CASE("the engines that are left serve what they can, and all of it when the others return") {
  constexpr std::size_t kLeft = FakeFleet::kCopies / 3;
  const std::vector<double> usual = Mixed(UsualRate());
  const Played queued = Play(FakeRule::kAdmission, usual, kLeft);
  const Played baseline = Play(FakeRule::kSendAtOnce, usual, kLeft);
  const double left = HighestOnTimeRate() * kLeft / FakeFleet::kCopies;
  CHECK(queued.fleet.OnTimePerSecond(kSettled, kEnd) >= kMinOnTime * left);
  CHECK(queued.fleet.OnTimePerSecond(kSettled, kEnd) >
        baseline.fleet.OnTimePerSecond(kSettled, kEnd));
  CHECK(queued.refused < kMaxRefused);
  CheckRanks(queued.fleet);
  CheckRecovered(queued.fleet);
}

// Load: half more than the engines hold, of which one customer of ten makes the half and comes back
// at once whenever it is refused.
// Guards against a customer that gains by many connections and immediate retries.
TEST_CASE("a customer with many connections and immediate retries does not displace the others") {
  const auto play = [](FakeRule rule) {
    FakeFleet fleet(rule);
    fleet.impatient_customer = "greedy";
    fleet.customer_of = [](std::mt19937_64* random) {
      constexpr std::uint64_t kOthers = 9;
      const std::uint64_t drawn = (*random)() % (kOthers + 10);
      return drawn < kOthers ? "c" + std::to_string(drawn) : "greedy";
    };
    fleet.Play(kAllAnswered, [](double now) {
      if (now >= kLast) return std::vector<double>(3, 0.0);
      return Mixed(now >= kBegin && now < kEnd ? 1.5 * HighestOnTimeRate() : UsualRate());
    });
    return fleet;
  };
  const FakeFleet queued = play(FakeRule::kAdmission);
  const FakeFleet baseline = play(FakeRule::kSendAtOnce);
  const auto on_time = [](const FakeFleet& fleet, std::uint32_t rank, bool is_greedy) {
    return fleet.OnTimeShareOf(kSettled, kEnd, [=](const FakeCall& call) {
      return call.rank == rank && (call.customer == "greedy") == is_greedy;
    });
  };
  CHECK(on_time(baseline, 0, false) < on_time(baseline, 0, true));
  for (std::uint32_t rank = 0; rank < 3; ++rank) {
    CAPTURE(rank);
    CHECK(on_time(queued, rank, false) > on_time(queued, rank, true));
  }
  CHECK(on_time(queued, 0, false) >= 0.9);
  const double mean = queued.ServedShare(kBegin, kEnd, IsAny);
  for (const std::string customer : {"greedy", "c0", "c8"}) {
    CAPTURE(customer);
    CHECK(queued.ServedShare(kBegin, kEnd, [&](const FakeCall& call) {
      return call.customer == customer;
    }) >= kMinShareOfMean * mean);
  }
}

}  // namespace
}  // namespace corneltray
