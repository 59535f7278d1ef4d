#include "corneltray/discovery_schedule.h"

#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{100};
const TimePoint kStart{std::chrono::hours(1)};
const std::vector<std::string> kControlHosts = {"c1", "c2", "c3", "c4", "c5"};

// Guards against control processes that are too busy with queries to elect a leader.
TEST_CASE("the queries of 300 hosts without a leader leave the control processes idle") {
  // A query takes less than half a millisecond, and a tenth of 0.15 of a core is 15 ms a second.
  constexpr int kMaxQueriesPerSecond = 30;
  constexpr int kHosts = 300;
  constexpr int kSeconds = 20;
  std::vector<DiscoverySchedule> hosts;
  hosts.reserve(kHosts);
  for (int host = 0; host < kHosts; ++host) hosts.emplace_back("entry-" + std::to_string(host));
  std::map<std::string, int> queries;
  for (TimePoint now = kStart; now < kStart + std::chrono::seconds(kSeconds); now += kTick) {
    for (DiscoverySchedule& host : hosts) {
      if (const auto asked = host.Next(now, kControlHosts)) ++queries[*asked];
    }
  }
  CHECK(queries.size() == kControlHosts.size());
  for (const auto& queries_of_host : queries) {
    CHECK(queries_of_host.second <= kMaxQueriesPerSecond * kSeconds);
  }
}

TEST_CASE("a process without a leader asks one host after the other") {
  DiscoverySchedule schedule("entry-1");
  const auto ask = [&schedule](milliseconds at) {
    return schedule.Next(kStart + at, kControlHosts);
  };
  CHECK(ask(milliseconds(0)).has_value());
  CHECK_FALSE(ask(kFirstQueryInterval - kTick).has_value());
  CHECK(ask(kFirstQueryInterval).has_value());

  SUBCASE("less and less often") {
    CHECK_FALSE(ask(2 * kFirstQueryInterval).has_value());
    CHECK(ask(3 * kFirstQueryInterval).has_value());
  }
  SUBCASE("as often as at first once it has had a leader in the meantime") {
    const milliseconds later = kFirstQueryInterval * 3 + kQueryResetTime;
    CHECK(ask(later).has_value());
    CHECK(ask(later + kFirstQueryInterval).has_value());
  }
  SUBCASE("until it has asked all of them") {
    std::set<std::string> asked;
    for (milliseconds at = kFirstQueryInterval; at < std::chrono::seconds(20); at += kTick) {
      if (const auto host = ask(at)) asked.insert(*host);
    }
    CHECK(asked.size() == kControlHosts.size());
  }
  SUBCASE("and none while it has no link") {
    CHECK_FALSE(schedule.Next(kStart + std::chrono::seconds(9), {}).has_value());
  }
}

}  // namespace
}  // namespace corneltray
