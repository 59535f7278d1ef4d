#include "corneltray/departure_tracker.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

const TimePoint kStart{std::chrono::hours(1)};

UpstreamUpdate DepartureOf(const std::string& upstream, std::uint64_t incarnation = 1) {
  UpstreamUpdate departure;
  departure.announcement.name = upstream;
  departure.announcement.incarnation = incarnation;
  departure.has_left = true;
  return departure;
}

}  // namespace

// Guards against a storm of updates when busy control processes acknowledge departures late and
// upstreams repeat them.
TEST_CASE("a departure that is repeated is sent once at a time") {
  DepartureTracker tracker;
  int acknowledged = 0;
  const auto done = [&acknowledged] { ++acknowledged; };
  const UpstreamUpdate departure = DepartureOf("server-1");
  REQUIRE(tracker.Begin(kStart, departure, done));
  CHECK_FALSE(tracker.Begin(kStart, departure, done));
  CHECK(acknowledged == 0);

  SUBCASE("and each repeat is acknowledged with the first") {
    tracker.End(kStart, departure, true);
    CHECK(acknowledged == 2);
  }
  SUBCASE("and a repeat after that is acknowledged at once") {
    tracker.End(kStart, departure, true);
    CHECK_FALSE(tracker.Begin(kStart, departure, done));
    CHECK(acknowledged == 3);
  }
  SUBCASE("and is sent again if a receiver has not acknowledged it") {
    tracker.End(kStart, departure, false);
    CHECK(acknowledged == 2);
    CHECK(tracker.Begin(kStart, departure, done));
    CHECK(acknowledged == 2);
  }
  SUBCASE("and is forgotten after some time") {
    tracker.End(kStart, departure, true);
    CHECK(tracker.Begin(kStart + kDepartureMemory, departure, done));
  }
  SUBCASE("apart from other departures") {
    CHECK(tracker.Begin(kStart, DepartureOf("server-2"), done));
    CHECK(tracker.Begin(kStart, DepartureOf("server-1", 2), done));
    UpstreamUpdate draining = departure;
    draining.has_left = false;
    CHECK(tracker.Begin(kStart, draining, done));
  }
}

}  // namespace corneltray
