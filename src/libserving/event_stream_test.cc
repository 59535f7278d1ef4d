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

  SUBCASE("for every size of the chunks that arrive") {
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
  SUBCASE("and holds back a partial event") {
    CHECK(stream.Consume(Event(1) + "id: 2\ndata: tok") == Event(1));
    CHECK(stream.HasPartialEvent());
    CHECK(stream.LastId() == "1");
  }
  SUBCASE("whose lines may end with a carriage return and a line feed") {
    CHECK(stream.Consume("id: 1\r\ndata: x\r\n\r\n") == "id: 1\r\ndata: x\r\n\r\n");
    CHECK(stream.LastId() == "1");
  }
}

// Guards against tokens that are lost, duplicated or merged from two upstreams.
TEST_CASE("a stream resumes at another upstream") {
  EventStream stream;
  CHECK(stream.Consume(Event(1) + Event(2) + "id: 3\nda") == Event(1) + Event(2));
  stream.Restart();

  SUBCASE("after the last complete event") {
    CHECK(stream.Consume(Event(3) + Event(4)) == Event(3) + Event(4));
    CHECK_FALSE(stream.HasGap());
  }
  SUBCASE("from an earlier event, without duplicates") {
    CHECK(stream.Consume(Event(1) + Event(2) + Event(3)) == Event(3));
  }
  SUBCASE("from a later event, which is reported as a gap") {
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
