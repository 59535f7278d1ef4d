#include "corneltray/retry_messages.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

namespace corneltray {
namespace {

using nlohmann::json;

const RetryReport kReport{1'700'000'000'000, 12, 11, {0.2, 424.0}, {{"s", {100, 7, 20.5}}}};

// Guards against a leader that grants quotas from other numbers than those that were counted.
TEST_CASE("a report of retries and its grant survive encoding") {
  const auto report = DecodeRetryReport(EncodeRetryReport(kReport));
  REQUIRE(report);
  CHECK(report.value().incarnation == kReport.incarnation);
  CHECK(report.value().sequence == 12);
  CHECK(report.value().applied == 11);
  CHECK(report.value().limit.ratio == 0.2);
  CHECK(report.value().limit.allowance == 424.0);
  CHECK(report.value().services.at("s").requests == 100);
  CHECK(report.value().services.at("s").retries == 7);
  CHECK(report.value().services.at("s").quota == 20.5);
  const auto grant = DecodeRetryGrant(EncodeRetryGrant({12, {{"s", {21.5, 8.25}}}}));
  REQUIRE(grant);
  CHECK(grant.value().sequence == 12);
  CHECK(grant.value().quotas.at("s").retries == 21.5);
  CHECK(grant.value().quotas.at("s").refused == 8.25);
}

// Guards against a process that stops at a message of another version.
TEST_CASE("malformed reports of retries and grants are refused") {
  CHECK_FALSE(DecodeRetryReport(json::object()));
  CHECK_FALSE(DecodeRetryGrant(json::object()));
  json report = EncodeRetryReport(kReport);
  report["limit"][1] = -1.0;
  CHECK_FALSE(DecodeRetryReport(report));
  json grant = EncodeRetryGrant({1, {{"s", {1.0, 1.0}}}});
  grant["services"]["s"] = {1.0};
  CHECK_FALSE(DecodeRetryGrant(grant));
}

// Guards against a leader that grants nothing to entry hosts of a newer build.
TEST_CASE("fields that a newer build adds to reports of retries and grants are ignored") {
  json report = EncodeRetryReport(kReport);
  report["field_of_a_newer_version"] = 1;
  report["limit"].push_back("more");
  report["services"]["s"].push_back("more");
  REQUIRE(DecodeRetryReport(report));
  CHECK(DecodeRetryReport(report).value().services.at("s").retries == 7);
  json grant = EncodeRetryGrant({12, {{"s", {21.5, 8.25}}}});
  grant["field_of_a_newer_version"] = 1;
  grant["services"]["s"].push_back("more");
  REQUIRE(DecodeRetryGrant(grant));
  CHECK(DecodeRetryGrant(grant).value().quotas.at("s").refused == 8.25);
}

}  // namespace
}  // namespace corneltray
