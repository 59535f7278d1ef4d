#include "corneltray/outlier.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1000)};

std::vector<Ejection> Fail(OutlierDetector* detector, TimePoint now, const std::string& name) {
  std::vector<Ejection> last;
  for (std::uint32_t i = 0; i < kEjectAfterFailures; ++i) last = detector->Failure(now, "g", name);
  return last;
}

TEST_CASE("an upstream that fails is ejected for a time") {
  OutlierDetector detector(0.3);
  detector.SetGroupSize("g", 10);
  for (std::uint32_t i = 0; i + 1 < kEjectAfterFailures; ++i) {
    CHECK(detector.Failure(kStart, "g", "a").empty());
  }
  // Guards against ejection after failures with successes in between.
  SUBCASE("a success starts the count again") {
    detector.Success(kStart, "g", "a", milliseconds(1));
    CHECK(detector.Failure(kStart, "g", "a").empty());
  }
  SUBCASE("the fifth failure in a row ejects") {
    CHECK(detector.Failure(kStart, "g", "a").size() == 1);
    CHECK(detector.IsEjected(kStart + milliseconds(4999), "a"));
    CHECK_FALSE(detector.IsEjected(kStart + seconds(5), "a"));

    // Guards against an upstream that is tried again at the same pace however often it fails.
    SUBCASE("and again for longer") {
      const TimePoint again = kStart + seconds(6);
      const auto ejection = Fail(&detector, again, "a");
      REQUIRE(ejection.size() == 1);
      CHECK(ejection[0].ends_at == again + seconds(10));
      SUBCASE("until it has behaved for a while") {
        const TimePoint later = again + seconds(60);
        CHECK(Fail(&detector, later, "a").at(0).ends_at == later + seconds(5));
      }
    }
  }
}

// Guards against ejecting a whole group when the fault lies elsewhere.
TEST_CASE("no more than the share of a group is ejected") {
  OutlierDetector detector(0.3);
  detector.SetGroupSize("g", 10);
  std::size_t ejected = 0;
  for (char name = 'a'; name < 'k'; ++name) {
    ejected += Fail(&detector, kStart, std::string(1, name)).size();
  }
  CHECK(ejected == 3);
  CHECK(detector.Ejected(kStart).size() == 3);
  SUBCASE("and a small group loses none") {
    detector.SetGroupSize("s", 3);
    for (int i = 0; i < 20; ++i) CHECK(detector.Failure(kStart, "s", "x").empty());
  }
}

// Guards against a slow upstream that answers, so that no failure is ever counted.
TEST_CASE("an upstream slower than three times the median is ejected") {
  OutlierDetector detector(0.3);
  detector.SetGroupSize("g", 10);
  std::vector<Ejection> ejected;
  for (int i = 0; i < 20; ++i) {
    for (char name = 'a'; name < 'f'; ++name) {
      const auto latency = milliseconds(name == 'c' ? 40 : 10);
      for (const Ejection& e : detector.Success(kStart, "g", std::string(1, name), latency)) {
        ejected.push_back(e);
      }
    }
  }
  REQUIRE(ejected.size() == 1);
  CHECK(ejected[0].upstream == "c");
  CHECK(ejected[0].cause == EjectionCause::kLatency);
}

}  // namespace
}  // namespace corneltray
