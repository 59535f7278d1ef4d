#include "corneltray/leader_watch.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr Duration kInterval = kNoLeaderReportInterval;
constexpr Duration kMoment = milliseconds(1);

// Guards against a control process that stays without a leader and does not say so, and against a
// line for each election.
TEST_CASE("a control process without a leader reports it at intervals") {
  LeaderWatch watch;
  CHECK_FALSE(watch.NextReport());
  CHECK_FALSE(watch.TakeReport(kStart));
  CHECK_FALSE(watch.Update(kStart, false));
  CHECK(watch.NextReport() == kStart + kInterval);

  SUBCASE("not while an election may be running") {
    CHECK_FALSE(watch.TakeReport(kStart + kInterval - kMoment));
    CHECK(watch.Update(kStart + seconds(1), true) == Duration(seconds(1)));
    CHECK_FALSE(watch.NextReport());
    CHECK_FALSE(watch.TakeReport(kStart + kInterval));
  }
  SUBCASE("with the time since it knew one") {
    CHECK(watch.TakeReport(kStart + kInterval) == kInterval);
    CHECK_FALSE(watch.TakeReport(kStart + kInterval + kMoment));
    CHECK(watch.NextReport() == kStart + 2 * kInterval);
    CHECK(watch.TakeReport(kStart + 2 * kInterval) == 2 * kInterval);
  }
  SUBCASE("also when its role changes meanwhile") {
    for (int change = 1; change <= 20; ++change) {
      CHECK_FALSE(watch.Update(kStart + change * seconds(1), false));
    }
    CHECK(watch.TakeReport(kStart + seconds(20)) == Duration(seconds(20)));
  }
  SUBCASE("once after it was suspended") {
    CHECK(watch.TakeReport(kStart + 10 * kInterval) == 10 * kInterval);
    CHECK_FALSE(watch.TakeReport(kStart + 10 * kInterval + kMoment));
    CHECK(watch.NextReport() == kStart + 11 * kInterval);
  }
  SUBCASE("until it knows one, and from the start when it is lost again") {
    CHECK(watch.Update(kStart + 2 * kInterval, true) == 2 * kInterval);
    CHECK_FALSE(watch.Update(kStart + 3 * kInterval, true));
    CHECK_FALSE(watch.Update(kStart + 4 * kInterval, false));
    CHECK_FALSE(watch.TakeReport(kStart + 5 * kInterval - kMoment));
    CHECK(watch.TakeReport(kStart + 5 * kInterval) == kInterval);
  }
}

}  // namespace
}  // namespace corneltray
