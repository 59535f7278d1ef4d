#include "corneltray/control_host_selector.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

// Guards against a call that waits for an unresponsive control process until it times out.
TEST_CASE("a call is forwarded to the next control process when the first does not answer") {
  const TimePoint start{std::chrono::hours(1)};
  ForwardedCall call(start, {"a", "b", "c", "d"}, 100);
  REQUIRE(call.NextHost(start) == "a");
  CHECK_FALSE(call.NextHost(start).has_value());
  CHECK(call.NextWakeup() == start + kHedgeDelay);

  SUBCASE("a response ends the call") {
    CHECK(call.RecordAnswer(start + milliseconds(5), kOk));
    SUBCASE("even if it arrives after the call went to a second control process") {
      CHECK(call.NextHost(start + kHedgeDelay) == "b");
      CHECK(call.RecordAnswer(start + kHedgeDelay, kOk));
    }
  }
  SUBCASE("a client error ends the call too") { CHECK(call.RecordAnswer(start, kConflict)); }
  SUBCASE("without responses, further control processes get the call up to a limit") {
    CHECK(call.NextHost(start + kHedgeDelay) == "b");
    CHECK(call.NextHost(start + 2 * kHedgeDelay) == "c");
    CHECK_FALSE(call.NextHost(start + 3 * kHedgeDelay).has_value());
    CHECK(call.NextWakeup() == start + kForwardTimeout);
    CHECK_FALSE(call.HasFailed(start + kForwardTimeout - milliseconds(1)));
    CHECK(call.HasFailed(start + kForwardTimeout));
  }
  SUBCASE("after a server error the next control process gets the call at once") {
    const TimePoint failed_at = start + milliseconds(3);
    CHECK_FALSE(call.RecordAnswer(failed_at, kUnavailable));
    CHECK(call.NextHost(failed_at) == "b");
    CHECK_FALSE(call.HasFailed(failed_at));
    SUBCASE("and the call fails once all have returned an error") {
      CHECK_FALSE(call.RecordAnswer(failed_at, kUnavailable));
      CHECK(call.NextHost(failed_at) == "c");
      CHECK_FALSE(call.RecordAnswer(failed_at, kUnavailable));
      CHECK(call.HasFailed(failed_at));
    }
  }
}

// Guards against three control processes parsing every change of a large route table.
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

// Guards against every call being sent to the unresponsive control process first.
TEST_CASE("control processes that recently failed a call are tried last") {
  const TimePoint start{std::chrono::hours(1)};
  const std::vector<ControlCandidate> all = {{"a", false}, {"b", true}, {"c", false}};
  ControlHostSelector selector;
  CHECK(selector.Order(start, all) == std::vector<std::string>{"b", "a", "c"});

  selector.RecordFailure(start, "b");
  CHECK(selector.Order(start, all) == std::vector<std::string>{"a", "c", "b"});
  SUBCASE("until they respond") {
    selector.RecordAnswer("b");
    CHECK(selector.Order(start, all).front() == "b");
  }
  SUBCASE("until the cooldown ends") {
    CHECK(selector.Order(start + kFailureCooldown, all).front() == "b");
  }
  SUBCASE("without effect on the order when all of them failed") {
    selector.RecordFailure(start, "a");
    selector.RecordFailure(start, "c");
    CHECK(selector.Order(start, all) == std::vector<std::string>{"b", "a", "c"});
  }
}

// Guards against reads at another control process than the source: the source would seem cut off.
TEST_CASE("the source is asked first unless it failed lately") {
  const TimePoint start{std::chrono::hours(1)};
  const std::vector<ControlCandidate> all = {{"a", true}, {"b", false, true}, {"c", true}};
  ControlHostSelector selector;
  CHECK(selector.Order(start, all) == std::vector<std::string>{"b", "a", "c"});
  selector.RecordFailure(start, "b");
  CHECK(selector.Order(start, all) == std::vector<std::string>{"a", "c", "b"});
}

}  // namespace
}  // namespace corneltray
