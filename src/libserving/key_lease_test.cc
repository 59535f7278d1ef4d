#include "corneltray/key_lease.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

// Guards against a revoked key that works on at a host which is cut off from the log.
TEST_CASE("keys are honoured only while the log confirms the route table") {
  const TimePoint start{std::chrono::hours(1)};
  KeyLease lease(milliseconds(5000), milliseconds(300));

  SUBCASE("not before the first confirmation") {
    CHECK_FALSE(lease.IsValid(start));
    CHECK(lease.IsHalfElapsed(start));
  }
  SUBCASE("from the moment of the question, not of the answer") {
    lease.Extend(start);
    CHECK(lease.IsValid(start + milliseconds(4600)));
    CHECK_FALSE(lease.IsValid(start + milliseconds(4700)));
  }
  SUBCASE("an older question does not shorten it") {
    lease.Extend(start + milliseconds(1000));
    lease.Extend(start);
    CHECK(lease.IsValid(start + milliseconds(5600)));
  }
  SUBCASE("after half of it callers better go elsewhere") {
    lease.Extend(start);
    CHECK_FALSE(lease.IsHalfElapsed(start + milliseconds(2000)));
    CHECK(lease.IsHalfElapsed(start + milliseconds(2500)));
  }
}

}  // namespace
}  // namespace corneltray
