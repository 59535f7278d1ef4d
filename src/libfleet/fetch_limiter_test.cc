#include "corneltray/fetch_limiter.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

// Plays a change of the route table that eight control processes tell to 123 hosts. Guards against
// a host that answers by an old table because the control processes send the same table hundreds of
// times and no reply comes in time.
TEST_CASE("a new route table is fetched from at most two control processes at a time") {
  constexpr int kControlProcesses = 8;
  constexpr int kHosts = 123;
  int asked = 0;
  for (int host = 0; host < kHosts; ++host) {
    FetchLimiter gate;
    for (int control = 0; control < kControlProcesses; ++control) {
      if (!gate.OnVersionCommitted(7, 6)) continue;
      gate.Begin();
      ++asked;
    }
    CHECK_FALSE(gate.IsIdle());
  }
  CHECK(asked == kHosts * static_cast<int>(FetchLimiter::kMaxConcurrentFetches));
}

TEST_CASE("a version committed during a fetch is fetched afterwards") {
  FetchLimiter gate;
  REQUIRE(gate.OnVersionCommitted(7, 6));
  gate.Begin();
  REQUIRE(gate.OnVersionCommitted(7, 6));
  gate.Begin();
  CHECK_FALSE(gate.OnVersionCommitted(8, 6));
  gate.End();
  CHECK_FALSE(gate.NeedsFetch(7));
  gate.End();
  CHECK(gate.NeedsFetch(7));
  SUBCASE("not when a reply held it already") { CHECK_FALSE(gate.NeedsFetch(8)); }
  SUBCASE("a version that is held is not asked for again") {
    CHECK_FALSE(gate.OnVersionCommitted(8, 8));
  }
}

}  // namespace
}  // namespace corneltray
