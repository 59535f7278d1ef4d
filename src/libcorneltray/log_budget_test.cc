#include "corneltray/log_budget.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

constexpr double kLinesPerSecond = 50.0;

// Plays a flood of refusals beside a few failures. Guards against a log that grows with the load,
// and against the loss of the one line that explains a failure.
TEST_CASE("a flood of one event is bounded and hides no other event") {
  LogBudget budget(kLinesPerSecond);
  TimePoint now{std::chrono::hours(1)};
  int refusals = 0;
  int failures = 0;
  std::uint64_t reported = 0;
  constexpr int kSeconds = 10;
  constexpr int kRefusalsPerSecond = 2000;
  for (int i = 0; i < kSeconds * kRefusalsPerSecond; ++i) {
    now += std::chrono::microseconds(1'000'000 / kRefusalsPerSecond);
    if (const auto left_out = budget.Take(now, "request_refused")) {
      ++refusals;
      reported += *left_out;
    }
    if (i % kRefusalsPerSecond == 0 && budget.Take(now, "attempt_failed")) ++failures;
  }
  CHECK(failures == kSeconds);
  CHECK(refusals <= (kSeconds + 1) * kLinesPerSecond + 1);
  CHECK(refusals >= kSeconds * kLinesPerSecond);
  // Every line that was left out is counted, but for those after the last line.
  CHECK(reported + refusals > kSeconds * kRefusalsPerSecond - 100);
}

TEST_CASE("a quiet event loses no line") {
  LogBudget budget(kLinesPerSecond);
  TimePoint now{std::chrono::hours(1)};
  for (int i = 0; i < 200; ++i) {
    now += milliseconds(25);
    CHECK(budget.Take(now, "request_finished") == 0);
  }
}

}  // namespace
}  // namespace corneltray
