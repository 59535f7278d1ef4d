#include "corneltray/retry.h"

#include <doctest/doctest.h>

#include <vector>

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

// Plays the loss of a stage at noon: all streams of a zone break in one second, on four of fifteen
// hosts. Guards against streams that are cut off although the budget of all hosts is hardly used,
// and against hosts that together exceed it.
TEST_CASE("hosts share an allowance of retries") {
  constexpr double kAllowance = 400.0;
  constexpr int kHosts = 15;
  constexpr int kInterval = 6;  // tenths of a second between reports
  std::vector<RetryBudget> budgets(kHosts, RetryBudget(0.0, 0.0));
  TimePoint now{std::chrono::hours(1)};
  const auto used_by_all = [&] {
    std::uint32_t used = 0;
    for (const RetryBudget& budget : budgets) used += budget.Counts(now).retries;
    return used;
  };
  const auto report = [&] {
    const std::uint32_t used = used_by_all();
    for (RetryBudget& budget : budgets) {
      budget.SetWindowAllowance(
          ShareOfRetries(kAllowance, {0, used, kHosts}, budget.Counts(now).retries));
    }
  };
  report();
  SUBCASE("a burst of one zone is retried whole") {
    int retried = 0;
    for (int host = 0; host < 4; ++host) {
      for (int stream = 0; stream < 15; ++stream) retried += budgets[host].TryRetry(now) ? 1 : 0;
    }
    CHECK(retried == 60);
  }
  SUBCASE("a burst of all zones at once stays within the allowance") {
    for (RetryBudget& budget : budgets) {
      for (int stream = 0; stream < 25; ++stream) budget.TryRetry(now);
    }
    CHECK(used_by_all() <= kAllowance);
  }
  SUBCASE("a failure that lasts stays within the allowance") {
    for (int tenth = 0; tenth < 300; ++tenth) {
      now += std::chrono::milliseconds(100);
      // Eight requests fail on all hosts together in each tenth of a second.
      for (int i = 0; i < 8; ++i) budgets[(tenth * 8 + i) % kHosts].TryRetry(now);
      if (tenth % kInterval == 0) report();
      CHECK(used_by_all() <= kAllowance * 1.1);
    }
    CHECK(used_by_all() > kAllowance * 0.5);
  }
}

// Guards against many hosts that each take the same part of what is left of the allowance.
TEST_CASE("the retries of a hundred hosts stay within the allowance while failures last") {
  constexpr std::uint32_t kHosts = 120;
  constexpr double kAllowance = 1000.0;
  constexpr int kReportInterval = 10;  // tenths of a second
  constexpr int kFailuresInTenth = 40;
  TimePoint now{std::chrono::hours(1)};
  std::vector<RetryBudget> budgets(kHosts, RetryBudget(0.0, 0.0));
  const auto used_by_all = [&] {
    std::uint32_t used = 0;
    for (const RetryBudget& budget : budgets) used += budget.Counts(now).retries;
    return used;
  };
  for (std::uint32_t tenth = 0; tenth < 300; ++tenth) {
    now += std::chrono::milliseconds(100);
    if (tenth % kReportInterval == 0) {
      const std::uint32_t used = used_by_all();
      for (RetryBudget& budget : budgets) {
        budget.SetWindowAllowance(
            ShareOfRetries(kAllowance, {0, used, kHosts}, budget.Counts(now).retries));
      }
    }
    for (std::uint32_t i = 0; i < kFailuresInTenth; ++i) {
      budgets[(tenth * kFailuresInTenth + i) % kHosts].TryRetry(now);
    }
    CHECK(used_by_all() <= kAllowance * 1.1);
  }
  CHECK(used_by_all() > kAllowance * 0.5);
}

// Plays a full fleet in which upstreams refuse all the time, and the crash of one that holds many
// answers in progress. Guards against answers that are cut off because refused requests, whose
// callers can come back, have used up the retries.
TEST_CASE("answers in progress find retries left on a fleet that refuses many requests") {
  constexpr std::uint32_t kHosts = 120;
  constexpr double kAllowance = 700.0;
  constexpr int kReportInterval = 10;  // tenths of a second
  constexpr int kRefusedInTenth = 20;
  constexpr std::uint32_t kAnswersInProgress = 240;
  TimePoint now{std::chrono::hours(1)};
  std::vector<RetryBudget> budgets(kHosts, RetryBudget(0.0, 0.0));
  for (std::uint32_t tenth = 0; tenth < 100; ++tenth) {
    now += std::chrono::milliseconds(100);
    if (tenth % kReportInterval == 0) {
      RetryCounts fleet{0, 0, kHosts};
      for (const RetryBudget& budget : budgets) fleet.retries += budget.Counts(now).retries;
      for (RetryBudget& budget : budgets) {
        const double used_here = budget.Counts(now).retries;
        budget.SetWindowAllowance(ShareOfRetries(kAllowance, fleet, used_here),
                                  ShareOfRetries(kRefusedShare * kAllowance, fleet, used_here));
      }
    }
    for (std::uint32_t i = 0; i < kRefusedInTenth; ++i) {
      budgets[(tenth * kRefusedInTenth + i) % kHosts].TryRetry(now, RetryPurpose::kRefused);
    }
  }
  std::uint32_t finished = 0;
  for (std::uint32_t i = 0; i < kAnswersInProgress; ++i) {
    finished += budgets[i % kHosts].TryRetry(now, RetryPurpose::kFinish) ? 1 : 0;
  }
  CHECK(finished == kAnswersInProgress);
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
