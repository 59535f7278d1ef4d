#include "corneltray/retry.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1000)};

// Guards against retries that multiply the load while upstreams fail.
TEST_CASE("retries stay within a share of the recent requests") {
  RetryBudget budget(0.2, 3.0);
  int retries = 0;
  for (int i = 0; i < 10'000; ++i) {
    const TimePoint now = kStart + milliseconds(10 * i);  // 100 requests/s, all of which fail
    budget.RecordRequest(now);
    if (budget.TryRetry(now)) ++retries;
  }
  CHECK(retries <= 2000 + 30);
  CHECK(retries >= 1900);

  SUBCASE("with a minimum on a quiet host") {
    const TimePoint quiet = kStart + seconds(1000);
    for (int i = 0; i < 3; ++i) CHECK(budget.TryRetry(quiet));
    CHECK_FALSE(budget.TryRetry(quiet));
    CHECK(budget.TryRetry(quiet + seconds(1)));
  }
}

// Guards against hedging most lookups, which doubles the load.
TEST_CASE("a hedge is sent after the p95 of recent latencies") {
  HedgePolicy policy;
  CHECK_FALSE(policy.HedgeAfter().has_value());
  for (int i = 1; i <= 100; ++i) policy.RecordLatency(milliseconds(i));
  CHECK(policy.HedgeAfter() == Duration(milliseconds(96)));
  for (int i = 0; i < 200; ++i) policy.RecordLatency(milliseconds(500));
  CHECK(policy.HedgeAfter() == Duration(milliseconds(500)));
}

// Guards against a host that takes more or less than its part of what all hosts may send.
TEST_CASE("a host knows its part of the requests of all hosts") {
  const RetryCounts fleet{300, 0, 100};
  SUBCASE("it is the part that arrived at it") {
    CHECK(ShareOfRequests(fleet, {39, 0, 0}) == doctest::Approx(0.1));
    CHECK(ShareOfRequests(fleet, {3, 0, 0}) == doctest::Approx(0.01));
  }
  SUBCASE("a host that has just started has a part before its first request") {
    CHECK(ShareOfRequests(fleet, {0, 0, 0}) > 0.0);
    CHECK(ShareOfRequests(fleet, {0, 0, 0}) < 0.01);
  }
  SUBCASE("a host that knows of no other takes everything") {
    CHECK(ShareOfRequests({}, {0, 0, 0}) == doctest::Approx(1.0));
    CHECK(ShareOfRequests({}, {50, 0, 0}) == doctest::Approx(1.0));
  }
}

}  // namespace
}  // namespace corneltray
