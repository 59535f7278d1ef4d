#include "corneltray/host_reports.h"

#include <doctest/doctest.h>

#include <set>

#include "corneltray/fleet_messages.h"
#include "corneltray/pace_messages.h"
#include "corneltray/retry_messages.h"

namespace corneltray {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1)};

std::string HostName(int number) { return "entry-" + std::to_string(1000 + number); }

json FetchOf(const std::string& host, std::uint32_t requests, int paced_servers = 1) {
  ServerPaceCounts pace;
  for (int server = 0; server < paced_servers; ++server) {
    pace["server-" + std::to_string(server)].answered = 1;
  }
  return {{"retries_of", host},
          {"retries", EncodeRetryCounts({{"ledger", {requests, 1, 1}}})},
          {"pace", EncodePaceCounts(pace)}};
}

std::uint32_t RequestsIn(const json& reply) {
  return DecodeRetryCounts(reply.at("retries")).value()["ledger"].requests;
}

// A follower and the leader, which exchange batches without a network.
struct Members {
  HostReports follower;
  HostReports leader;
  std::size_t largest_batch = 0;  // entry hosts

  Members() { leader.OnLeaderChanged(kStart, true); }

  // Returns the hosts in the batch; none if no batch is due.
  std::set<std::string> Exchange(TimePoint now) {
    std::set<std::string> hosts;
    const auto batch = follower.TakeBatch(now);
    if (!batch) return hosts;
    for (const auto& [host, report] : batch->at("retry_reports").items()) hosts.insert(host);
    follower.StoreAnswer(now, leader.AnswerBatch(now, *batch));
    return hosts;
  }
};

}  // namespace

TEST_CASE("reports of entry hosts reach the leader, and the sums come back") {
  Members members;
  members.leader.StoreFetch(kStart, FetchOf("entry-1", 20));
  members.follower.StoreFetch(kStart, FetchOf("entry-2", 3));
  CHECK(members.Exchange(kStart) == std::set<std::string>{"entry-2"});
  json reply;
  members.follower.AddSums(kStart, &reply);
  CHECK(RequestsIn(reply) == 23);
  CHECK(DecodeFleetPace(reply.at("pace")).value().hosts == 2);

  SUBCASE("the latest report of a host counts") {
    const TimePoint later = kStart + kSumInterval;
    members.follower.StoreFetch(later, FetchOf("entry-2", 4));
    members.Exchange(later);
    members.follower.AddSums(later, &reply);
    CHECK(RequestsIn(reply) == 24);
  }
  SUBCASE("a host that reports no more is left out") {
    const TimePoint later = kStart + seconds(5);
    members.follower.StoreFetch(later, FetchOf("entry-2", 4));
    members.Exchange(later);
    members.follower.AddSums(later, &reply);
    CHECK(RequestsIn(reply) == 4);
  }
  SUBCASE("a new leader is sent sums of its own") {
    HostReports next;
    next.OnLeaderChanged(kStart, true);
    members.follower.OnLeaderChanged(kStart, false);
    members.follower.StoreFetch(kStart, FetchOf("entry-2", 4));
    const auto batch = members.follower.TakeBatch(kStart);
    REQUIRE(batch.has_value());
    members.follower.StoreAnswer(kStart, next.AnswerBatch(kStart, *batch));
    members.follower.AddSums(kStart, &reply);
    CHECK(RequestsIn(reply) == 4);
  }
}

// Guards against sums over all hosts that are made and sent anew for each reader.
TEST_CASE("sums are made once for all readers, and sent once to each control process") {
  Members members;
  for (int host = 0; host < 300; ++host) {
    members.leader.StoreFetch(kStart, FetchOf(HostName(host), 1));
  }
  json reply;
  for (int reader = 0; reader < 100; ++reader) members.leader.AddSums(kStart, &reply);
  CHECK(members.leader.SumsMade() == 1);
  members.follower.StoreFetch(kStart, FetchOf("entry-1", 1));
  members.Exchange(kStart);
  members.follower.StoreFetch(kStart, FetchOf("entry-1", 1));
  const TimePoint later = kStart + kReportInterval;
  const auto batch = members.follower.TakeBatch(later);
  REQUIRE(batch.has_value());
  CHECK_FALSE(members.leader.AnswerBatch(later, *batch).contains("retries"));
}

// Guards against batches that grow with the time since the last one, until the leader is busy with
// nothing else.
TEST_CASE("a batch of reports is bounded, and all hosts get their turn") {
  Members members;
  constexpr int kHosts = 100;
  std::set<std::string> sent;
  TimePoint now = kStart;
  SUBCASE("by the number of hosts") {
    for (int host = 0; host < kHosts; ++host) {
      members.follower.StoreFetch(now, FetchOf(HostName(host), 1));
    }
    CHECK(members.Exchange(now).size() == kMaxHostsPerBatch);
    for (int host = 0; host < kHosts; ++host) {
      members.follower.StoreFetch(now, FetchOf(HostName(host), 1));
    }
    now += kReportInterval;
    const std::set<std::string> second = members.Exchange(now);
    CHECK(second.count(HostName(kHosts - 1)) == 1);
  }
  SUBCASE("by the number of paced servers") {
    for (int host = 0; host < kHosts; ++host) {
      members.follower.StoreFetch(now, FetchOf(HostName(host), 1, 200));
    }
    CHECK(members.Exchange(now).size() == 7);
  }
}

// Guards against a control process that asks a busy leader more often than one that answers.
TEST_CASE("after a batch without an answer, the next one comes later") {
  Members members;
  members.follower.StoreFetch(kStart, FetchOf("entry-1", 1));
  REQUIRE(members.follower.TakeBatch(kStart).has_value());
  members.follower.StoreFetch(kStart, FetchOf("entry-1", 2));
  CHECK_FALSE(members.follower.TakeBatch(kStart + kReportInterval).has_value());
  TimePoint now = kStart + milliseconds(900);
  members.follower.OnBatchFailed(now);
  CHECK_FALSE(members.follower.TakeBatch(now + kReportRetryDelay / 2).has_value());
  now += kReportRetryDelay;
  REQUIRE(members.follower.TakeBatch(now).has_value());
  members.follower.OnBatchFailed(now);
  members.follower.StoreFetch(now, FetchOf("entry-1", 3));
  CHECK_FALSE(members.follower.TakeBatch(now + kReportRetryDelay).has_value());
  now += 2 * kReportRetryDelay;
  REQUIRE(members.Exchange(now).size() == 1);
}

// Guards against reports that are held up for good by a batch that got lost with its leader.
TEST_CASE("a new leader is sent reports although the former one has not answered") {
  Members members;
  members.follower.StoreFetch(kStart, FetchOf("entry-1", 1));
  REQUIRE(members.follower.TakeBatch(kStart).has_value());
  members.follower.StoreFetch(kStart, FetchOf("entry-1", 2));
  CHECK_FALSE(members.follower.TakeBatch(kStart + seconds(5)).has_value());
  members.follower.OnLeaderChanged(kStart, false);
  CHECK(members.follower.TakeBatch(kStart).has_value());
}

// Guards against hosts of a control process that runs an older build than the leader.
TEST_CASE("reports of an older build, which knows no numbers of sums, are answered with the sums") {
  Members members;
  const json body = {{"retry_reports", {{"entry-1", FetchOf("entry-1", 5).at("retries")}}},
                     {"pace_reports", json::object()},
                     {"quota_reports", json::object()}};
  CHECK(RequestsIn(members.leader.AnswerBatch(kStart, body)) == 5);
  CHECK(RequestsIn(members.leader.AnswerBatch(kStart, body)) == 5);
}

}  // namespace corneltray
