#include "corneltray/admission_pace.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

struct PaceFixture {
  PaceFixture() {
    room.is_known = true;
    room.capacity_tokens = 100'000.0;
    room.usual_stay_s = 2.0;
    room.host_share = 0.1;
  }
  // Plays two seconds in which this host sends `tokens_per_s` and the engines report `load`.
  void Play(double load, double tokens_per_s, bool is_binding = false) {
    constexpr int kSteps = 40;
    constexpr double kStepSeconds = 0.05;
    room.load = load;
    for (int i = 0; i < kSteps; ++i) {
      now += milliseconds(50);
      pace.RecordSent(tokens_per_s * kStepSeconds);
      pace.SetRoom(now, room, is_binding);
    }
  }
  // What this host may start while the engines stay at the target load.
  double AtTarget() const {
    return room.host_share * room.capacity_tokens * kTargetLoad / room.usual_stay_s;
  }

  ServiceRoom room;
  AdmissionPace pace;
  TimePoint now = TimePoint() + std::chrono::hours(1);
};

TEST_CASE("the pace follows the load that the engines report") {
  PaceFixture fixture;
  // Guards against a fleet that is kept below or above its target.
  SUBCASE("and is what the engines release at the target") {
    fixture.Play(kTargetLoad, fixture.AtTarget());
    CHECK(fixture.pace.TokensPerSecond() == doctest::Approx(fixture.AtTarget()).epsilon(0.15));
  }
  SUBCASE("and is lower above it, and higher below it") {
    fixture.Play(1.0, fixture.AtTarget());
    CHECK(fixture.pace.TokensPerSecond() < 0.7 * fixture.AtTarget());
    fixture.Play(0.5, fixture.AtTarget() / 2.0);
    CHECK(fixture.pace.TokensPerSecond() > 1.3 * fixture.AtTarget());
  }
  // Guards against hosts that learn of a rush only from the next report.
  SUBCASE("and sinks before the report when this host sends much more than before") {
    fixture.Play(0.6, fixture.AtTarget() * 0.75);
    const double before = fixture.pace.ExpectedLoad();
    fixture.Play(0.6, fixture.AtTarget() * 2.0);
    CHECK(fixture.pace.ExpectedLoad() > before + 0.1);
  }
  // Guards against a usual stay that is wrong, for example at engines that have become slow.
  SUBCASE("and corrects the usual stay only as far as requests wait for it") {
    fixture.Play(0.6, fixture.AtTarget() * 0.75, false);
    const double idle = fixture.pace.SteadyTokensPerSecond();
    CHECK(idle == doctest::Approx(fixture.AtTarget()));
    fixture.Play(0.6, fixture.AtTarget() * 0.75, true);
    CHECK(fixture.pace.SteadyTokensPerSecond() > idle);
    fixture.Play(0.95, fixture.AtTarget(), true);
    fixture.Play(0.95, fixture.AtTarget(), true);
    CHECK(fixture.pace.SteadyTokensPerSecond() < fixture.AtTarget());
  }
}

}  // namespace
}  // namespace corneltray
