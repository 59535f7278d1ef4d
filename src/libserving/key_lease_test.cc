#include "corneltray/key_lease.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

// Guards against a revoked key that still works at a host which cannot reach the log.
TEST_CASE("keys are honoured only while the log confirms the route table") {
  const TimePoint start{std::chrono::hours(1)};
  KeyLease lease(milliseconds(5000), milliseconds(300));

  SUBCASE("not before the first confirmation") {
    CHECK_FALSE(lease.IsValid(start));
    CHECK(lease.IsHalfElapsed(start));
  }
  SUBCASE("from the time of the request, not of the response") {
    lease.Extend(start);
    CHECK(lease.IsValid(start + milliseconds(4600)));
    CHECK_FALSE(lease.IsValid(start + milliseconds(4700)));
  }
  SUBCASE("an older request does not shorten the lease") {
    lease.Extend(start + milliseconds(1000));
    lease.Extend(start);
    CHECK(lease.IsValid(start + milliseconds(5600)));
  }
  SUBCASE("new callers should use another host after half of the lease") {
    lease.Extend(start);
    CHECK_FALSE(lease.IsHalfElapsed(start + milliseconds(2000)));
    CHECK(lease.IsHalfElapsed(start + milliseconds(2500)));
  }
}

}  // namespace
}  // namespace corneltray
