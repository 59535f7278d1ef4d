#include "corneltray/event_stream.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n";
}

TEST_CASE("a stream passes on whole events only") {
  EventStream stream;
  const std::string all = Event(1) + Event(2) + Event(3);

  SUBCASE("however the bytes are cut") {
    for (std::size_t part = 1; part <= all.size(); ++part) {
      EventStream fresh;
      std::string passed;
      for (std::size_t at = 0; at < all.size(); at += part) {
        passed += fresh.Take(all.substr(at, part));
      }
      CHECK(passed == all);
      CHECK(fresh.Events() == 3);
      CHECK_FALSE(fresh.HasPartialEvent());
    }
  }
  SUBCASE("the part of an event that was cut off is kept back") {
    CHECK(stream.Take(Event(1) + "id: 2\ndata: tok") == Event(1));
    CHECK(stream.HasPartialEvent());
    CHECK(stream.LastId() == "1");
  }
  SUBCASE("events may end their lines with a carriage return") {
    CHECK(stream.Take("id: 1\r\ndata: x\r\n\r\n") == "id: 1\r\ndata: x\r\n\r\n");
    CHECK(stream.LastId() == "1");
  }
}

// Guards against a token that is missing, comes twice, or is made of parts of two runs.
TEST_CASE("a stream goes on at another upstream") {
  EventStream stream;
  CHECK(stream.Take(Event(1) + Event(2) + "id: 3\nda") == Event(1) + Event(2));
  stream.Restart();

  SUBCASE("after the last whole event") {
    CHECK(stream.Take(Event(3) + Event(4)) == Event(3) + Event(4));
    CHECK_FALSE(stream.HasGap());
  }
  SUBCASE("from an earlier one, whose events are not repeated") {
    CHECK(stream.Take(Event(1) + Event(2) + Event(3)) == Event(3));
  }
  SUBCASE("from a later one, which leaves a gap") {
    stream.Take(Event(5));
    CHECK(stream.HasGap());
  }
}

TEST_CASE("a caller that has some events already gets the rest") {
  EventStream stream("12");
  CHECK(stream.LastId() == "12");
  CHECK(stream.Take(Event(12) + Event(13)) == Event(13));
}

}  // namespace
}  // namespace corneltray
