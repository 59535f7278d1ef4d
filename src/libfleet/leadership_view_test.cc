#include "corneltray/leadership_view.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

const TimePoint kBoot{std::chrono::hours(5)};

TEST_CASE("leadership is acted on only while it was told a moment ago") {
  LeadershipView view;
  CHECK_FALSE(view.LeadingTerm(kBoot));
  view.Update(kBoot, 3, "c1");
  CHECK(view.LeadingTerm(kBoot) == 3);
  CHECK(view.LeadingTerm(kBoot + kLeadershipViewLifetime / 2) == 3);

  // Guards against a process that was suspended for seconds, during which another one was elected,
  // and that sends orders or grants trials before it hears of that.
  SUBCASE("a pause ends it") {
    CHECK_FALSE(view.LeadingTerm(kBoot + std::chrono::seconds(5)));
    view.Update(kBoot + std::chrono::seconds(5), std::nullopt, "c2");
    CHECK_FALSE(view.LeadingTerm(kBoot + std::chrono::seconds(5)));
    CHECK(view.LeaderHost() == "c2");
  }
  SUBCASE("until it is told again") {
    view.Update(kBoot + std::chrono::seconds(5), 3, "c1");
    CHECK(view.LeadingTerm(kBoot + std::chrono::seconds(5)) == 3);
  }
}

}  // namespace
}  // namespace corneltray
