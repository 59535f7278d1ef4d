#include "corneltray/lease.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>

#include "schedules_test.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kDefaultSchedules = 1000;
const TimePoint kStart{std::chrono::hours(1)};

LeaseRequest Request(const std::string& candidate, std::uint64_t fence) {
  return {candidate, fence, 1};
}

// Guards against two holders, and against a fence that is used twice or goes back.
TEST_CASE("a voter grants to one candidate at a time") {
  LeaseVoter voter(kStart, LeaseVoterState{});
  const auto first = voter.OnRequest(kStart, Request("a", 10));
  REQUIRE(first.reply.granted);
  REQUIRE(first.persist.has_value());
  CHECK(first.persist->fence == 10);

  SUBCASE("until the lease and 1% have passed") {
    const auto early = voter.OnRequest(kStart + milliseconds(3029), Request("b", 11));
    CHECK_FALSE(early.reply.granted);
    CHECK(early.reply.retry_ms == 1);
    CHECK(voter.OnRequest(kStart + milliseconds(3030), Request("b", 11)).reply.granted);
  }
  SUBCASE("and renews for it") {
    CHECK(voter.OnRequest(kStart + milliseconds(2000), Request("a", 10)).reply.granted);
    CHECK_FALSE(voter.OnRequest(kStart + milliseconds(4000), Request("b", 11)).reply.granted);
  }
  SUBCASE("and not again under a fence that was used") {
    for (const std::uint64_t fence : {9U, 10U}) {
      const auto again = voter.OnRequest(kStart + milliseconds(5000), Request("b", fence));
      CHECK_FALSE(again.reply.granted);
      CHECK(again.reply.highest_fence == 10);
    }
  }
  SUBCASE("and frees it only for a release of the grant in force") {
    CHECK_FALSE(voter.OnRelease({"b", 10}).has_value());
    CHECK_FALSE(voter.OnRelease({"a", 9}).has_value());
    CHECK_FALSE(voter.OnRequest(kStart, Request("b", 11)).reply.granted);
    REQUIRE(voter.OnRelease({"a", 10}).has_value());
    CHECK(voter.OnRequest(kStart, Request("b", 11)).reply.granted);
  }
  SUBCASE("and keeps to it over a restart with a disk") {
    const auto state = DecodeLeaseVoterState(EncodeLeaseVoterState(*first.persist));
    REQUIRE(state.has_value());
    LeaseVoter restarted(kStart + milliseconds(2900), state);
    CHECK_FALSE(restarted.OnRequest(kStart + milliseconds(4000), Request("b", 11)).reply.granted);
    CHECK(restarted.OnRequest(kStart + milliseconds(4000), Request("a", 10)).reply.granted);
  }
  SUBCASE("and grants nothing for one lease duration after a start without a disk") {
    LeaseVoter restarted(kStart, std::nullopt);
    CHECK_FALSE(restarted.OnRequest(kStart + milliseconds(3029), Request("b", 11)).reply.granted);
    CHECK(restarted.OnRequest(kStart + milliseconds(3030), Request("b", 11)).reply.granted);
  }
}

// Guards against a damaged file that frees a lease, and against a garbled message.
TEST_CASE("lease state and messages pass unchanged or not at all") {
  const std::string text = EncodeLeaseVoterState({"host-3/17", 99});
  CHECK(DecodeLeaseVoterState(text)->holder == "host-3/17");
  CHECK(DecodeLeaseVoterState(text)->fence == 99);
  for (std::size_t size = 0; size + 1 < text.size(); ++size) {
    CHECK_FALSE(DecodeLeaseVoterState(text.substr(0, size)).has_value());
  }
  CHECK(LeaseRequestFromJson(LeaseRequestToJson({"a", 5, 6}))->fence == 5);
  CHECK(LeaseReplyFromJson(LeaseReplyToJson({1, 2, true, 3, 4}))->highest_fence == 3);
  CHECK(LeaseReleaseFromJson(LeaseReleaseToJson({"a", 5}))->candidate == "a");
  CHECK_FALSE(LeaseRequestFromJson({{"candidate", "a"}, {"fence", "x"}, {"round", 1}}).has_value());
  CHECK_FALSE(LeaseReplyFromJson(nlohmann::json::array()).has_value());
}

// Guards against a holder that goes on giving orders.
TEST_CASE("a candidate holds the lease for 2.5 s from before it asked") {
  LeaseCandidate candidate({"a", {"v1", "v2", "v3"}, 1}, kStart);
  candidate.ObserveFence(std::uint64_t{1'900'000'000} << 16);
  candidate.Tick(kStart, 1'800'000'000'000);
  const auto sent = candidate.TakeActions();
  REQUIRE(sent.size() == 3);
  const LeaseRequest request = std::get<SendLeaseRequest>(sent[0]).request;
  CHECK(request.fence == (std::uint64_t{1'900'000'000} << 16) + 1);
  const LeaseReply granted{request.round, request.fence, true, request.fence, 0};
  const TimePoint late = kStart + milliseconds(300);

  SUBCASE("and only with a majority of its voters") {
    candidate.OnReply(late, "v1", granted);
    candidate.OnReply(late, "v1", granted);
    candidate.OnReply(late, "stranger", granted);
    CHECK_FALSE(candidate.Fence(late).has_value());
    candidate.OnReply(late, "v2", granted);
    CHECK(candidate.Fence(late) == request.fence);
    CHECK(candidate.Fence(kStart + milliseconds(2499)) == request.fence);
    CHECK_FALSE(candidate.Fence(kStart + milliseconds(2500)).has_value());

    SUBCASE("and gives it up on request") {
      candidate.TakeActions();
      candidate.Release(late);
      CHECK_FALSE(candidate.Fence(late).has_value());
      CHECK(std::holds_alternative<SendLeaseRelease>(candidate.TakeActions().back()));
      candidate.Tick(kStart + std::chrono::hours(1), 0);
      CHECK(candidate.TakeActions().empty());
    }
  }
  SUBCASE("and not by the reply to an earlier round or to another fence") {
    LeaseReply other = granted;
    other.round += 1;
    candidate.OnReply(late, "v1", other);
    other = granted;
    other.fence += 1;
    candidate.OnReply(late, "v2", other);
    candidate.OnReply(late, "v3", granted);
    CHECK_FALSE(candidate.Fence(late).has_value());
  }
}

// Three processes, each a voter and a candidate, with clocks of different speed and setting.
class LeaseSimulation {
 public:
  explicit LeaseSimulation(std::uint64_t seed) : m_random(seed) {
    // Without disks the fence relies on the wall clocks alone, which then agree within a second.
    const bool disks = Chance(0.5);
    for (int i = 0; i < 3; ++i) {
      Host host;
      host.name = std::string(1, static_cast<char>('a' + i));
      host.has_disk = disks;
      host.rate = 0.995 + 0.005 * static_cast<double>(m_random() % 3);
      host.unix_offset_ms = Spread(disks ? 3'600'000 : 1000);
      m_hosts.push_back(std::move(host));
    }
    for (Host& host : m_hosts) Start(host);
  }

  // Runs the schedule with faults, then without. Returns what went wrong, or nothing.
  std::string Run() {
    const std::int64_t faults_end = 40'000;
    const double loss = static_cast<double>(m_random() % 4) * 0.1;
    for (m_now_ms = 0; m_now_ms < faults_end + 15'000 && m_failure.empty(); m_now_ms += kStepMs) {
      const bool faults = m_now_ms < faults_end;
      m_loss = faults ? loss : 0;
      if (faults && Chance(0.02)) Fault();
      Deliver();
      for (Host& host : m_hosts) {
        if (m_now_ms < host.frozen_until_ms) continue;
        host.candidate->Tick(Local(host), UnixNowOf(host));
        Execute(host);
      }
      CheckHolders();
    }
    if (m_failure.empty() && m_holder == nullptr) m_failure = "no holder after the faults ended";
    return m_failure;
  }

 private:
  static constexpr std::int64_t kStepMs = 20;

  struct Host {
    std::string name;
    bool has_disk = false;
    double rate = 1;
    std::int64_t unix_offset_ms = 0;
    std::int64_t frozen_until_ms = 0;
    std::uint64_t starts = 0;
    std::optional<LeaseVoterState> disk;
    std::unique_ptr<LeaseVoter> voter;
    std::unique_ptr<LeaseCandidate> candidate;
  };
  struct Message {
    std::int64_t at_ms;
    std::uint64_t order;
    std::size_t to;
    std::function<void(Host&)> run;
    bool operator<(const Message& other) const {
      return std::tie(other.at_ms, other.order) < std::tie(at_ms, order);
    }
  };

  TimePoint Local(const Host& host) const {
    const double nanoseconds = static_cast<double>(m_now_ms) * 1e6 * host.rate;
    return kStart + std::chrono::nanoseconds(static_cast<std::int64_t>(nanoseconds));
  }
  UnixMs UnixNowOf(const Host& host) const {
    return 1'800'000'000'000 + m_now_ms + host.unix_offset_ms;
  }

  void Start(Host& host) {
    ++host.starts;
    if (host.has_disk && !host.disk) host.disk = LeaseVoterState{};
    host.voter = std::make_unique<LeaseVoter>(
        Local(host), host.has_disk ? host.disk : std::optional<LeaseVoterState>());
    host.candidate = std::make_unique<LeaseCandidate>(
        LeaseCandidateOptions{host.name + std::to_string(host.starts), {"a", "b", "c"}, m_random()},
        Local(host));
  }

  void Fault() {
    Host& host = m_hosts[m_random() % 3];
    switch (m_random() % 8) {
      case 0:
        Start(host);
        break;
      case 1:
        for (Host& each : m_hosts) Start(each);
        break;
      case 2:
        host.candidate->Release(Local(host));
        Execute(host);
        if (m_holder == &host) m_released = true;
        host.candidate->Resume(Local(host));
        break;
      default:
        host.frozen_until_ms = m_now_ms + static_cast<std::int64_t>(m_random() % 5000);
        break;
    }
  }

  void Execute(Host& host) {
    for (const LeaseAction& action : host.candidate->TakeActions()) {
      if (const auto* send = std::get_if<SendLeaseRequest>(&action)) {
        const std::size_t from = static_cast<std::size_t>(host.name[0] - 'a');
        Post(send->voter,
             [this, from, request = send->request](Host& voter) { Answer(voter, from, request); });
      } else if (const auto* release = std::get_if<SendLeaseRelease>(&action)) {
        Post(release->voter, [body = release->release](Host& voter) {
          if (const auto state = voter.voter->OnRelease(body)) voter.disk = *state;
        });
      } else if (const auto* acquired = std::get_if<LeaseAcquired>(&action)) {
        // Orders of an earlier holder would be taken for newer ones.
        if (acquired->fence <= m_last_fence) Fail("fence did not grow", host);
        m_last_fence = acquired->fence;
      }
    }
  }

  void Answer(Host& voter, std::size_t from, const LeaseRequest& request) {
    const auto outcome = voter.voter->OnRequest(Local(voter), request);
    if (outcome.persist) voter.disk = *outcome.persist;
    const std::string name = voter.name;
    const std::uint64_t start = m_hosts[from].starts;
    Post(m_hosts[from].name, [this, name, start, reply = outcome.reply](Host& host) {
      if (host.starts != start) return;
      host.candidate->OnReply(Local(host), name, reply);
      Execute(host);
    });
  }

  void Post(const std::string& to, std::function<void(Host&)> run) {
    if (Chance(m_loss)) return;
    std::int64_t delay = static_cast<std::int64_t>(m_random() % 30);
    if (m_loss > 0 && Chance(0.05)) delay = static_cast<std::int64_t>(m_random() % 4000);
    m_messages.push(
        {m_now_ms + delay, ++m_order, static_cast<std::size_t>(to[0] - 'a'), std::move(run)});
  }

  void Deliver() {
    std::vector<Message> later;
    while (!m_messages.empty() && m_messages.top().at_ms <= m_now_ms) {
      Message message = m_messages.top();
      m_messages.pop();
      Host& host = m_hosts[message.to];
      if (m_now_ms < host.frozen_until_ms) {
        later.push_back(std::move(message));
      } else {
        message.run(host);
      }
    }
    for (Message& message : later) m_messages.push(std::move(message));
  }

  // Never two holders; and between two of them lies the margin in which an order that the first one
  // sent at its last moment still arrives.
  void CheckHolders() {
    for (Host& host : m_hosts) {
      if (!host.candidate->Fence(Local(host))) continue;
      const std::int64_t gap = m_now_ms - m_last_held_ms;
      const bool changed = m_holder != &host || m_holder_starts != host.starts;
      if (m_holder != nullptr && changed) {
        if (gap <= 0) Fail("two holders: " + m_holder->name, host);
        if (!m_released && gap < 500) {
          Fail("a gap of only " + std::to_string(gap) + " ms after " + m_holder->name, host);
        }
      }
      m_released = false;
      m_holder = &host;
      m_holder_starts = host.starts;
      m_last_held_ms = m_now_ms;
    }
    if (m_now_ms - m_last_held_ms > 8000) m_holder = nullptr;
  }

  void Fail(const std::string& what, const Host& host) {
    if (m_failure.empty()) {
      m_failure = what + " at " + host.name + std::to_string(host.starts) + " after " +
                  std::to_string(m_now_ms) + " ms";
    }
  }
  bool Chance(double probability) {
    return static_cast<double>(m_random() % 1'000'000) < probability * 1e6;
  }
  std::int64_t Spread(std::int64_t bound) {
    return static_cast<std::int64_t>(m_random() % (2 * bound + 1)) - bound;
  }

  std::mt19937_64 m_random;
  std::vector<Host> m_hosts;
  std::priority_queue<Message> m_messages;
  std::uint64_t m_order = 0;
  std::int64_t m_now_ms = 0;
  double m_loss = 0;
  const Host* m_holder = nullptr;  // the last one
  std::uint64_t m_holder_starts = 0;
  std::int64_t m_last_held_ms = 0;
  bool m_released = false;
  std::uint64_t m_last_fence = 0;
  std::string m_failure;
};

// Guards against two controllers that order engines in turn, over restarts of every host, frozen
// processes, late messages and clocks that differ by 1%.
TEST_CASE("random schedules never give the lease to two holders") {
  const auto failures =
      RunSchedules(ScheduleRangeFromEnvironment(kDefaultSchedules),
                   [](std::uint64_t seed) { return LeaseSimulation(seed).Run(); });
  for (std::size_t i = 0; i < std::min<std::size_t>(failures.size(), 3); ++i) MESSAGE(failures[i]);
  CHECK(failures.size() == 0);
}

}  // namespace
}  // namespace corneltray
