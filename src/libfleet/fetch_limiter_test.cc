#include "corneltray/fetch_limiter.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

// Simulates a route table change that eight control processes announce to 123 hosts. Guards against
// hosts that keep an outdated table because the control processes send the same table hundreds of
// times and no reply arrives before its deadline.
TEST_CASE("a new route table is fetched from at most two control processes at a time") {
  constexpr int kControlProcesses = 8;
  constexpr int kHosts = 123;
  int fetches = 0;
  for (int host = 0; host < kHosts; ++host) {
    FetchLimiter limiter;
    for (int control = 0; control < kControlProcesses; ++control) {
      if (!limiter.OnVersionCommitted(7, 6)) continue;
      limiter.Begin();
      ++fetches;
    }
    CHECK_FALSE(limiter.IsIdle());
  }
  CHECK(fetches == kHosts * static_cast<int>(FetchLimiter::kMaxConcurrentFetches));
}

TEST_CASE("a version committed during a fetch is fetched afterwards") {
  FetchLimiter limiter;
  REQUIRE(limiter.OnVersionCommitted(7, 6));
  limiter.Begin();
  REQUIRE(limiter.OnVersionCommitted(7, 6));
  limiter.Begin();
  CHECK_FALSE(limiter.OnVersionCommitted(8, 6));
  limiter.End();
  CHECK_FALSE(limiter.NeedsFetch(7));
  limiter.End();
  CHECK(limiter.NeedsFetch(7));
  SUBCASE("unless a reply already contained it") { CHECK_FALSE(limiter.NeedsFetch(8)); }
  SUBCASE("and a held version is not fetched again") {
    CHECK_FALSE(limiter.OnVersionCommitted(8, 8));
  }
}

}  // namespace
}  // namespace corneltray
