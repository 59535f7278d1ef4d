#include "corneltray/control_host_selector.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

// Guards against a call that waits for a control process that stands still.
TEST_CASE("a call is forwarded to the next control process when the first does not answer") {
  const TimePoint start{std::chrono::hours(1)};
  ForwardedCall call(start, {"a", "b", "c", "d"}, 100);
  REQUIRE(call.NextHost(start) == "a");
  CHECK_FALSE(call.NextHost(start).has_value());
  CHECK(call.NextWakeup() == start + kHedgeDelay);

  SUBCASE("an answer ends it") {
    CHECK(call.RecordAnswer(start + milliseconds(5), kOk));
    SUBCASE("also of the first after the second was asked") {
      CHECK(call.NextHost(start + kHedgeDelay) == "b");
      CHECK(call.RecordAnswer(start + kHedgeDelay, kOk));
    }
  }
  SUBCASE("a refusal is an answer") { CHECK(call.RecordAnswer(start, kConflict)); }
  SUBCASE("silence brings in one after the other, up to a bound") {
    CHECK(call.NextHost(start + kHedgeDelay) == "b");
    CHECK(call.NextHost(start + 2 * kHedgeDelay) == "c");
    CHECK_FALSE(call.NextHost(start + 3 * kHedgeDelay).has_value());
    CHECK(call.NextWakeup() == start + kForwardTimeout);
    CHECK_FALSE(call.HasFailed(start + kForwardTimeout - milliseconds(1)));
    CHECK(call.HasFailed(start + kForwardTimeout));
  }
  SUBCASE("a server error brings in the next at once") {
    const TimePoint refused_at = start + milliseconds(3);
    CHECK_FALSE(call.RecordAnswer(refused_at, kUnavailable));
    CHECK(call.NextHost(refused_at) == "b");
    CHECK_FALSE(call.HasFailed(refused_at));
    SUBCASE("and the call fails once all have refused") {
      CHECK_FALSE(call.RecordAnswer(refused_at, kUnavailable));
      CHECK(call.NextHost(refused_at) == "c");
      CHECK_FALSE(call.RecordAnswer(refused_at, kUnavailable));
      CHECK(call.HasFailed(refused_at));
    }
  }
}

// Guards against every change of a large route table being read by three control processes.
TEST_CASE("the hedge delay and the timeout grow with the size of the call") {
  const TimePoint start{std::chrono::hours(1)};
  constexpr std::size_t kBytes = std::size_t{500} * 1024;
  ForwardedCall call(start, {"a", "b"}, kBytes);
  REQUIRE(call.NextHost(start) == "a");
  CHECK_FALSE(call.NextHost(start + milliseconds(600)).has_value());
  CHECK(call.NextHost(start + milliseconds(700)) == "b");
  CHECK(call.Deadline() == start + milliseconds(1400));
}

TEST_CASE("a call without any linked control process fails at once") {
  const TimePoint start{std::chrono::hours(1)};
  ForwardedCall call(start, {}, 0);
  CHECK_FALSE(call.NextHost(start).has_value());
  CHECK(call.HasFailed(start));
}

// Guards against calls that all begin with the control process that stands still.
TEST_CASE("control processes that recently failed a call are tried last") {
  const TimePoint start{std::chrono::hours(1)};
  const std::vector<ControlCandidate> all = {{"a", false}, {"b", true}, {"c", false}};
  ControlHostSelector choice;
  CHECK(choice.Order(start, all) == std::vector<std::string>{"b", "a", "c"});

  choice.RecordFailure(start, "b");
  CHECK(choice.Order(start, all) == std::vector<std::string>{"a", "c", "b"});
  SUBCASE("until it answers") {
    choice.RecordAnswer("b");
    CHECK(choice.Order(start, all).front() == "b");
  }
  SUBCASE("until the time is over") {
    CHECK(choice.Order(start + kFailureCooldown, all).front() == "b");
  }
  SUBCASE("all of them failed") {
    choice.RecordFailure(start, "a");
    choice.RecordFailure(start, "c");
    CHECK(choice.Order(start, all) == std::vector<std::string>{"b", "a", "c"});
  }
}

}  // namespace
}  // namespace corneltray
