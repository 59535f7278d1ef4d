#include "corneltray/event_stream.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: token " + std::to_string(id) + "\n\n";
}

TEST_CASE("a stream forwards only complete events") {
  EventStream stream;
  const std::string all = Event(1) + Event(2) + Event(3);

  SUBCASE("however the bytes are cut") {
    for (std::size_t part = 1; part <= all.size(); ++part) {
      EventStream fresh;
      std::string passed;
      for (std::size_t at = 0; at < all.size(); at += part) {
        passed += fresh.Consume(all.substr(at, part));
      }
      CHECK(passed == all);
      CHECK(fresh.EventCount() == 3);
      CHECK_FALSE(fresh.HasPartialEvent());
    }
  }
  SUBCASE("the part of an event that was cut off is kept back") {
    CHECK(stream.Consume(Event(1) + "id: 2\ndata: tok") == Event(1));
    CHECK(stream.HasPartialEvent());
    CHECK(stream.LastId() == "1");
  }
  SUBCASE("events may end their lines with a carriage return") {
    CHECK(stream.Consume("id: 1\r\ndata: x\r\n\r\n") == "id: 1\r\ndata: x\r\n\r\n");
    CHECK(stream.LastId() == "1");
  }
}

// Guards against a token that is missing, comes twice, or is made of parts of two runs.
TEST_CASE("a stream resumes at another upstream") {
  EventStream stream;
  CHECK(stream.Consume(Event(1) + Event(2) + "id: 3\nda") == Event(1) + Event(2));
  stream.Restart();

  SUBCASE("after the last whole event") {
    CHECK(stream.Consume(Event(3) + Event(4)) == Event(3) + Event(4));
    CHECK_FALSE(stream.HasGap());
  }
  SUBCASE("from an earlier one, whose events are not repeated") {
    CHECK(stream.Consume(Event(1) + Event(2) + Event(3)) == Event(3));
  }
  SUBCASE("from a later one, which leaves a gap") {
    stream.Consume(Event(5));
    CHECK(stream.HasGap());
  }
}

TEST_CASE("a caller that resumes a stream gets only the events it lacks") {
  EventStream stream("12");
  CHECK(stream.LastId() == "12");
  CHECK(stream.Consume(Event(12) + Event(13)) == Event(13));
}

}  // namespace
}  // namespace corneltray
