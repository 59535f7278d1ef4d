#include "corneltray/forward_report.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <set>

namespace corneltray {
namespace {

std::set<std::string> Names(const std::vector<ForwardHost>& hosts) {
  std::set<std::string> names;
  for (const ForwardHost& host : hosts) names.insert(host.name);
  return names;
}

// Guards against requests that are forwarded to a host that cannot serve them.
TEST_CASE("an isolated host is told of the hosts that serve") {
  ForwardHostTable table;
  TimePoint now{};
  table.Store(now, "e1", {"10.0.0.1:80", ForwardState::kServing});
  table.Store(now, "e2", {"10.0.0.2:80", ForwardState::kServing});
  table.Store(now, "e3", {"10.0.0.3:80", ForwardState::kIsolated});
  table.Store(now, "e4", {"10.0.0.4:80", ForwardState::kStopping});
  table.Store(now, "e5", {"", ForwardState::kServing});
  CHECK(Names(table.List(now, "e3", kMaxForwardHosts)) == std::set<std::string>{"e1", "e2"});

  SUBCASE("until they say otherwise") {
    table.Store(now, "e1", {"10.0.0.1:80", ForwardState::kIsolated});
    CHECK(Names(table.List(now, "e3", kMaxForwardHosts)) == std::set<std::string>{"e2"});
  }
  SUBCASE("until they say nothing any more") {
    now += kForwardReportLifetime;
    table.Store(now, "e2", {"10.0.0.2:80", ForwardState::kServing});
    CHECK(Names(table.List(now, "e3", kMaxForwardHosts)) == std::set<std::string>{"e2"});
  }
  // Guards against hundreds of hosts that all forward to the same few.
  SUBCASE("each of others where there are many") {
    for (int i = 0; i < 200; ++i) {
      table.Store(now, "many" + std::to_string(i), {"10.0.1.1:80", ForwardState::kServing});
    }
    std::set<std::string> told;
    for (int i = 0; i < 50; ++i) {
      const auto hosts = table.List(now, "asking" + std::to_string(i), kMaxForwardHosts);
      CHECK(hosts.size() == kMaxForwardHosts);
      told.merge(Names(hosts));
    }
    CHECK(told.size() > 150);
  }
}

TEST_CASE("reports of hosts and lists of hosts are read as they were written") {
  const ForwardReport report{"10.0.0.1:80", ForwardState::kIsolated};
  const auto read = DecodeForwardReport(EncodeForwardReport(report));
  REQUIRE(read);
  CHECK(read.value() == report);
  const auto hosts = DecodeForwardHosts(EncodeForwardHosts({{"e1", "10.0.0.1:80"}}));
  REQUIRE(hosts);
  REQUIRE(hosts.value().size() == 1);
  CHECK(hosts.value()[0].name == "e1");
  CHECK(hosts.value()[0].address == "10.0.0.1:80");

  SUBCASE("and what a newer build adds is ignored") {
    nlohmann::json more = EncodeForwardReport(report);
    more["field_of_a_newer_version"] = 1;
    REQUIRE(DecodeForwardReport(more));
    CHECK(DecodeForwardReport(more).value() == report);
    const auto listed = nlohmann::json::array({{"e1", "10.0.0.1:80", "more"}});
    REQUIRE(DecodeForwardHosts(listed));
    CHECK(DecodeForwardHosts(listed).value()[0].address == "10.0.0.1:80");
  }
  SUBCASE("and malformed ones are refused") {
    CHECK_FALSE(DecodeForwardReport({{"address", "a"}, {"state", "other"}}));
    CHECK_FALSE(DecodeForwardReport({{"address", 7}, {"state", "serving"}}));
    CHECK_FALSE(DecodeForwardReport(nlohmann::json::array()));
    CHECK_FALSE(DecodeForwardHosts(nlohmann::json::array({"e1"})));
    CHECK_FALSE(DecodeForwardHosts(nlohmann::json::array({{"e1", 1}})));
  }
}

}  // namespace
}  // namespace corneltray
