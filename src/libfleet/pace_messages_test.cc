#include "corneltray/pace_messages.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

namespace corneltray {
namespace {

using nlohmann::json;

PaceCounts TestCounts() {
  PaceCounts counts;
  counts.incarnation = 1'700'000'000'000;
  counts.answered = 7;
  counts.latency_ratios = 8.5;
  counts.busy_s = 0.25;
  counts.refused = 1;
  counts.failed = 2;
  counts.limited = 3;
  counts.window = 2.5;
  counts.hosts = 1;
  return counts;
}

// Guards against hosts that learn other numbers than those that were counted.
TEST_CASE("the counts of paced servers survive encoding") {
  FleetPace fleet;
  fleet.hosts = 50;
  fleet.servers["s"] = TestCounts();
  const auto decoded = DecodeFleetPace(EncodeFleetPace(fleet));
  REQUIRE(decoded);
  CHECK(decoded.value().hosts == 50);
  const PaceCounts& counts = decoded.value().servers.at("s");
  CHECK(counts.incarnation == 1'700'000'000'000);
  CHECK(counts.answered == 7);
  CHECK(counts.latency_ratios == 8.5);
  CHECK(counts.busy_s == 0.25);
  CHECK(counts.refused == 1);
  CHECK(counts.failed == 2);
  CHECK(counts.limited == 3);
  CHECK(counts.window == 2.5);
  CHECK(counts.hosts == 1);
}

// Guards against a host that stops at a message of another version.
TEST_CASE("malformed counts of paced servers are refused") {
  CHECK_FALSE(DecodeFleetPace(json::array()));
  CHECK_FALSE(DecodeFleetPace({{"hosts", "many"}, {"servers", json::object()}}));
  CHECK_FALSE(DecodePaceCounts({{"s", {1, 2}}}));
  json body = EncodePaceCounts({{"s", TestCounts()}});
  body["s"][7] = -1.0;
  CHECK_FALSE(DecodePaceCounts(body));
}

}  // namespace
}  // namespace corneltray
