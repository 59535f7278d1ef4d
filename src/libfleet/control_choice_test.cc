#include "corneltray/control_choice.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

// Guards against a call that waits for a control process that stands still.
TEST_CASE("a call is passed on to the next control process when the first is silent") {
  const TimePoint start{std::chrono::hours(1)};
  ForwardedCall call(start, {"a", "b", "c", "d"}, 100);
  REQUIRE(call.Next(start) == "a");
  CHECK_FALSE(call.Next(start).has_value());
  CHECK(call.NextDeadline() == start + kAskNextAfter);

  SUBCASE("an answer ends it") {
    CHECK(call.Answered(start + milliseconds(5), kOk));
    SUBCASE("also of the first after the second was asked") {
      CHECK(call.Next(start + kAskNextAfter) == "b");
      CHECK(call.Answered(start + kAskNextAfter, kOk));
    }
  }
  SUBCASE("a refusal is an answer") { CHECK(call.Answered(start, kConflict)); }
  SUBCASE("silence brings in one after the other, up to a bound") {
    CHECK(call.Next(start + kAskNextAfter) == "b");
    CHECK(call.Next(start + 2 * kAskNextAfter) == "c");
    CHECK_FALSE(call.Next(start + 3 * kAskNextAfter).has_value());
    CHECK(call.NextDeadline() == start + kForwardTimeout);
    CHECK_FALSE(call.HasFailed(start + kForwardTimeout - milliseconds(1)));
    CHECK(call.HasFailed(start + kForwardTimeout));
  }
  SUBCASE("a server error brings in the next at once") {
    const TimePoint refused_at = start + milliseconds(3);
    CHECK_FALSE(call.Answered(refused_at, kUnavailable));
    CHECK(call.Next(refused_at) == "b");
    CHECK_FALSE(call.HasFailed(refused_at));
    SUBCASE("and the call fails once all have refused") {
      CHECK_FALSE(call.Answered(refused_at, kUnavailable));
      CHECK(call.Next(refused_at) == "c");
      CHECK_FALSE(call.Answered(refused_at, kUnavailable));
      CHECK(call.HasFailed(refused_at));
    }
  }
}

// Guards against every change of a large route table being read by three control processes.
TEST_CASE("a large call waits longer before another control process is asked") {
  const TimePoint start{std::chrono::hours(1)};
  constexpr std::size_t kBytes = std::size_t{500} * 1024;
  ForwardedCall call(start, {"a", "b"}, kBytes);
  REQUIRE(call.Next(start) == "a");
  CHECK_FALSE(call.Next(start + milliseconds(600)).has_value());
  CHECK(call.Next(start + milliseconds(700)) == "b");
  CHECK(call.GiveUpAt() == start + milliseconds(1400));
}

TEST_CASE("a call without a control process to go to fails at once") {
  const TimePoint start{std::chrono::hours(1)};
  ForwardedCall call(start, {}, 0);
  CHECK_FALSE(call.Next(start).has_value());
  CHECK(call.HasFailed(start));
}

// Guards against calls that all begin with the control process that stands still.
TEST_CASE("control processes that failed a call are asked last for a while") {
  const TimePoint start{std::chrono::hours(1)};
  const std::vector<ControlCandidate> all = {{"a", false}, {"b", true}, {"c", false}};
  ControlChoice choice;
  CHECK(choice.Order(start, all) == std::vector<std::string>{"b", "a", "c"});

  choice.Failed(start, "b");
  CHECK(choice.Order(start, all) == std::vector<std::string>{"a", "c", "b"});
  SUBCASE("until it answers") {
    choice.Answered("b");
    CHECK(choice.Order(start, all).front() == "b");
  }
  SUBCASE("until the time is over") {
    CHECK(choice.Order(start + kAskLastFor, all).front() == "b");
  }
  SUBCASE("all of them failed") {
    choice.Failed(start, "a");
    choice.Failed(start, "c");
    CHECK(choice.Order(start, all) == std::vector<std::string>{"b", "a", "c"});
  }
}

}  // namespace
}  // namespace corneltray
