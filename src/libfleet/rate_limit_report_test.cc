#include "corneltray/rate_limit_report.h"

#include <doctest/doctest.h>

#include <chrono>
#include <nlohmann/json.hpp>

namespace corneltray {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

// Guards against hosts that believe an older limit, or the limit of a former process.
TEST_CASE("of two reports about the limit of an upstream the later one counts") {
  const RateLimitReport first{1, 4.0, kNow};
  RateLimitReports known{{"u", first}};

  SUBCASE("in one incarnation") {
    MergeRateLimitReports({{"u", {1, std::nullopt, kNow + milliseconds(1)}}}, &known);
    CHECK_FALSE(known.at("u").requests_per_s.has_value());
    MergeRateLimitReports({{"u", first}}, &known);
    CHECK_FALSE(known.at("u").requests_per_s.has_value());
  }
  SUBCASE("but not that of an older incarnation") {
    MergeRateLimitReports({{"u", {2, 8.0, kNow - milliseconds(1)}}}, &known);
    CHECK(known.at("u").requests_per_s == 8.0);
    MergeRateLimitReports({{"u", {1, 2.0, kNow + milliseconds(1)}}}, &known);
    CHECK(known.at("u").requests_per_s == 8.0);
  }
  SUBCASE("and those of other upstreams stay until they are too old") {
    MergeRateLimitReports({{"v", {1, 2.0, kNow - milliseconds(2)}}}, &known);
    CHECK(known.size() == 2);
    RemoveRateLimitReportsBefore(kNow, &known);
    CHECK(known.size() == 1);
    CHECK(known.count("u") == 1);
  }
}

// Guards against ages that are taken for times of another clock.
TEST_CASE("reports about limits survive encoding") {
  const RateLimitReports reports{{"u", {7, 2.5, kNow - milliseconds(300)}},
                                 {"v", {8, std::nullopt, kNow}}};
  const TimePoint elsewhere{std::chrono::hours(5)};
  const auto decoded = DecodeRateLimitReports(elsewhere, EncodeRateLimitReports(kNow, reports));
  REQUIRE(decoded);
  const RateLimitReport& limited = decoded.value().at("u");
  CHECK(limited.incarnation == 7);
  CHECK(limited.requests_per_s == 2.5);
  CHECK(limited.as_of == elsewhere - milliseconds(300));
  const RateLimitReport& ended = decoded.value().at("v");
  CHECK_FALSE(ended.requests_per_s.has_value());
  CHECK(ended.as_of == elsewhere);
}

// Guards against a host that stops at a message of another version.
TEST_CASE("malformed reports about limits are refused") {
  CHECK_FALSE(DecodeRateLimitReports(kNow, {{"u", {1, 2}}}));
  CHECK_FALSE(DecodeRateLimitReports(kNow, {{"u", {1, -1.0, 2.0}}}));
  CHECK_FALSE(DecodeRateLimitReports(kNow, {{"u", {1, 1.0, "many"}}}));
  CHECK_FALSE(DecodeRateLimitReports(kNow, {{"u", 3}}));
}

// Guards against limits of upstreams that are forgotten while hosts of a newer build report them.
TEST_CASE("what a newer build adds to reports about limits is ignored") {
  const auto decoded = DecodeRateLimitReports(kNow, {{"u", {7, 300.0, 2.5, "more"}}});
  REQUIRE(decoded);
  CHECK(decoded.value().at("u").requests_per_s == 2.5);
}

}  // namespace
}  // namespace corneltray
