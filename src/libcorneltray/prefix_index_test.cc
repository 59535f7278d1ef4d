#include "corneltray/prefix_index.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1000)};

// Guards against routing by a cache that is long gone, which piles work on one engine for nothing.
TEST_CASE("a prefix is found until there is reason to doubt it") {
  PrefixIndex index(100);
  index.HandleEvent(kStart, "a", 1, 11, true);
  index.HandleEvent(kStart, "a", 2, 12, true);
  CHECK(index.Find(kStart, 11) == "a");

  SUBCASE("it expires") { CHECK(index.Find(kStart + kPrefixExpiry, 11).empty()); }
  SUBCASE("the engine evicts it") {
    index.HandleEvent(kStart, "a", 3, 11, false);
    CHECK(index.Find(kStart, 11).empty());
    CHECK(index.Find(kStart, 12) == "a");
  }
  SUBCASE("a lost event drops all entries of the engine") {
    index.HandleEvent(kStart, "a", 4, 13, true);
    CHECK(index.Find(kStart, 11).empty());
    CHECK(index.Find(kStart, 13) == "a");
  }
  SUBCASE("a repeated event changes nothing") {
    index.HandleEvent(kStart, "a", 1, 11, false);
    CHECK(index.Find(kStart, 11) == "a");
  }
  SUBCASE("the engine is forgotten") {
    index.Forget("a");
    CHECK(index.Find(kStart, 11).empty());
  }
  SUBCASE("the number of entries is bounded") {
    for (std::uint64_t i = 0; i < 1000; ++i) index.Insert(kStart, 100 + i, "b");
    CHECK(index.size() <= 100);
    CHECK(index.Find(kStart, 1099) == "b");
  }
}

}  // namespace
}  // namespace corneltray
