#include "corneltray/customer_shares.h"

#include <doctest/doctest.h>

#include <string>

namespace corneltray {
namespace {

constexpr double kTolerance = 100.0;

TEST_CASE("customers share what is sent by max-min") {
  CustomerShares shares;
  const TimePoint now{};
  shares.RecordOffered(now, "small", 100.0);
  shares.RecordOffered(now, "medium", 1000.0);
  shares.RecordOffered(now, "large", 3000.0);

  SUBCASE("so that a small demand is met and the others get the same") {
    shares.RecordSent(now, "small", 100.0);
    shares.RecordSent(now, "medium", 1000.0);
    shares.RecordSent(now, "large", 1000.0);
    CHECK_FALSE(shares.IsOverShare("small", kTolerance));
    CHECK_FALSE(shares.IsOverShare("medium", kTolerance));
    CHECK_FALSE(shares.IsOverShare("large", kTolerance));
    CHECK(shares.UsedShare("small") < shares.UsedShare("medium") + 0.2);
  }
  // Guards against a customer that gets more of a full fleet because it asks for more.
  SUBCASE("so that one that got more than the others is over its share") {
    shares.RecordSent(now, "medium", 300.0);
    shares.RecordSent(now, "large", 1700.0);
    CHECK(shares.IsOverShare("large", kTolerance));
    CHECK_FALSE(shares.IsOverShare("medium", kTolerance));
    CHECK(shares.UsedShare("large") > shares.UsedShare("medium"));
  }
  // Guards against shares that hold a customer back although there is enough for all.
  SUBCASE("but nobody is over its share if all was sent") {
    shares.RecordSent(now, "small", 100.0);
    shares.RecordSent(now, "medium", 1000.0);
    shares.RecordSent(now, "large", 3000.0);
    CHECK_FALSE(shares.IsOverShare("large", kTolerance));
  }
  // Guards against a customer that pays for its use of long ago.
  SUBCASE("and what was sent is forgotten") {
    shares.RecordSent(now, "large", 1700.0);
    CHECK(shares.IsOverShare("large", kTolerance));
    const TimePoint later = now + std::chrono::seconds(60);
    shares.RecordOffered(later, "large", 1000.0);
    CHECK_FALSE(shares.IsOverShare("large", kTolerance));
  }
}

// Guards against a customer with most of the traffic that max-min alone would starve.
TEST_CASE("a customer keeps a part of what it would get in proportion to its requests") {
  CustomerShares shares;
  const TimePoint now{};
  shares.RecordOffered(now, "large", 9000.0);
  for (int i = 0; i < 9; ++i) shares.RecordOffered(now, "c" + std::to_string(i), 1000.0);
  for (int i = 0; i < 9; ++i) shares.RecordSent(now, "c" + std::to_string(i), 900.0);
  shares.RecordSent(now, "large", 900.0);
  // All got half of what they asked for, and 0.4 of that half is the floor.
  CHECK(shares.UsedShare("large") < 1.0);
}

}  // namespace
}  // namespace corneltray
