#include "corneltray/retry_quota_allocator.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace corneltray {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kService[] = "model";
constexpr milliseconds kStep{20};
constexpr milliseconds kReportInterval{600};
constexpr milliseconds kDelay{40};  // of a report, and of its grant

// Entry hosts that report to a leader, in virtual time.
class RetryingFleet {
 public:
  RetryingFleet(std::uint32_t hosts, const RetryLimit& limit, std::uint32_t seed = 1)
      : m_limit(limit), m_random(seed), m_now(std::chrono::hours(1000)), m_began_at(m_now) {
    ChangeLeader(0);
    for (std::uint32_t i = 0; i < hosts; ++i) {
      m_hosts.push_back(std::make_unique<Host>(limit));
      m_hosts.back()->reports_at = m_now + milliseconds(m_random() % kReportInterval.count());
    }
  }

  // Lets the time pass; `act` is called in each step.
  void Run(
      Duration time, const std::function<void()>& act = [] {}) {
    for (const TimePoint end = m_now + time; m_now < end; m_now += kStep) {
      for (auto& host : m_hosts) Exchange(host.get());
      act();
    }
  }

  std::uint32_t Size() const { return static_cast<std::uint32_t>(m_hosts.size()); }
  TimePoint Now() const { return m_now; }
  Duration SinceBegin() const { return m_now - m_began_at; }

  void Request(std::uint32_t host) {
    m_hosts[host]->budget.RecordRequest(m_now);
    m_requests.push_back(m_now);
  }
  bool Retry(std::uint32_t host, RetryPurpose purpose = RetryPurpose::kFinish) {
    if (!m_hosts[host]->budget.TryRetry(m_now, m_now, purpose)) return false;
    m_retries.push_back(m_now);
    return true;
  }
  void RetryAtAll(int times) {
    for (std::uint32_t host = 0; host < Size(); ++host) {
      for (int i = 0; i < times; ++i) Retry(host);
    }
  }

  void Restart(std::uint32_t host) {
    const std::uint64_t incarnation = m_hosts[host]->incarnation + 1;
    m_hosts[host] = std::make_unique<Host>(m_limit);
    m_hosts[host]->incarnation = incarnation;
    m_hosts[host]->reports_at = m_now + milliseconds(m_random() % kReportInterval.count());
  }
  void ChangeLeader(std::uint32_t known_hosts) { m_leader.emplace(m_now, known_hosts); }
  // Reports of the host do not arrive, or only its grants do not.
  void SetCut(std::uint32_t host, bool is_cut) { m_hosts[host]->is_cut = is_cut; }
  void SetGrantsLost(std::uint32_t host, bool lost) { m_hosts[host]->loses_grants = lost; }

  // Returns the retries of the last window over the number that is allowed.
  double UsedPart() const { return Count(m_retries, m_now) / Allowed(m_now); }
  // Returns the largest part that any window has used.
  double WorstPart() const {
    double worst = 0.0;
    for (const TimePoint at : m_retries) {
      const TimePoint end = at + RetryBudget::kWindow;
      const double allowed =
          std::max({Allowed(end), Allowed(end - RetryBudget::kWindow / 2), Allowed(at)});
      worst = std::max(worst, Count(m_retries, end) / allowed);
    }
    return worst;
  }

 private:
  struct Host {
    explicit Host(const RetryLimit& limit) : budget(limit, RetryBudget::kWindow) {}
    SharedRetryBudget budget;
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 0;
    std::uint64_t applied = 0;
    TimePoint reports_at{};
    TimePoint arrives_at{};
    std::optional<RetryReport> report;
    TimePoint grant_arrives_at{};
    std::optional<RetryGrant> grant;
    bool is_cut = false;
    bool loses_grants = false;
  };

  void Exchange(Host* host) {
    if (m_now >= host->reports_at) {
      host->reports_at += kReportInterval;
      host->report = RetryReport{host->incarnation,
                                 ++host->sequence,
                                 host->applied,
                                 m_limit,
                                 {{kService, host->budget.Use(m_now, m_now)}}};
      host->arrives_at = m_now + kDelay;
    }
    if (host->report && m_now >= host->arrives_at) {
      const std::string name = "host-" + std::to_string(NumberOf(host));
      if (!host->is_cut) host->grant = m_leader->Allocate(m_now, name, *host->report);
      host->grant_arrives_at = m_now + kDelay;
      host->report.reset();
    }
    if (host->grant && m_now >= host->grant_arrives_at) {
      if (!host->is_cut && !host->loses_grants) {
        host->budget.SetHosts(Size());
        host->budget.SetQuota(m_now, host->grant->quotas.at(kService));
        host->applied = host->grant->sequence;
      }
      host->grant.reset();
    }
  }

  std::size_t NumberOf(const Host* host) const {
    const auto found = std::find_if(m_hosts.begin(), m_hosts.end(),
                                    [host](const auto& one) { return one.get() == host; });
    return static_cast<std::size_t>(found - m_hosts.begin());
  }

  static double Count(const std::vector<TimePoint>& times, TimePoint end) {
    const auto first = std::lower_bound(times.begin(), times.end(), end - RetryBudget::kWindow);
    return static_cast<double>(std::lower_bound(first, times.end(), end) - first);
  }
  double Allowed(TimePoint end) const {
    return m_limit.ratio * Count(m_requests, end) + m_limit.allowance;
  }

  RetryLimit m_limit;
  std::mt19937 m_random;
  TimePoint m_now;
  TimePoint m_began_at;
  std::optional<RetryQuotaAllocator> m_leader;
  std::vector<std::unique_ptr<Host>> m_hosts;
  std::vector<TimePoint> m_requests;
  std::vector<TimePoint> m_retries;
};

// Guards against hosts that together exceed the limit because each of them counts on the same rest,
// because restarts and changes of the leader make them forget, or because a window ends too soon.
TEST_CASE("hosts that retry without end stay within the limit of all") {
  std::uint32_t next = 0;
  const auto serve = [&next](RetryingFleet& fleet) { fleet.Request(next++ % fleet.Size()); };
  const auto retry = [&serve](RetryingFleet& fleet) {
    serve(fleet);
    fleet.RetryAtAll(3);
  };
  std::function<void(RetryingFleet&)> play;
  SUBCASE("while all run") {
    play = [&](RetryingFleet& fleet) {
      fleet.Run(seconds(40), [&] { retry(fleet); });
      CHECK(fleet.UsedPart() > 0.6);
    };
  }
  SUBCASE("in bursts just over nine seconds apart") {
    play = [&](RetryingFleet& fleet) {
      fleet.Run(seconds(40), [&] {
        serve(fleet);
        if (fleet.SinceBegin() % milliseconds(9200) < milliseconds(100)) fleet.RetryAtAll(30);
      });
      CHECK(fleet.WorstPart() > 0.6);
    };
  }
  SUBCASE("while a third of them start again every two seconds") {
    play = [&](RetryingFleet& fleet) {
      std::uint32_t first = 0;
      fleet.Run(seconds(40), [&] {
        retry(fleet);
        if (fleet.SinceBegin() % seconds(2) != Duration::zero()) return;
        for (std::uint32_t i = ++first % 3; i < fleet.Size(); i += 3) fleet.Restart(i);
      });
    };
  }
  SUBCASE("when all of them start again") {
    play = [&](RetryingFleet& fleet) {
      fleet.Run(seconds(5), [&] { retry(fleet); });
      for (std::uint32_t i = 0; i < fleet.Size(); ++i) fleet.Restart(i);
      fleet.Run(seconds(30), [&] { retry(fleet); });
      CHECK(fleet.UsedPart() > 0.6);
    };
  }
  SUBCASE("while the leader changes every five seconds") {
    play = [&](RetryingFleet& fleet) {
      fleet.Run(seconds(40), [&] {
        retry(fleet);
        const bool is_due = fleet.SinceBegin() % seconds(5) == Duration::zero();
        if (is_due) fleet.ChangeLeader(fleet.Size());
      });
    };
  }
  SUBCASE("while a third of them are cut off and a new leader does not hear them") {
    play = [&](RetryingFleet& fleet) {
      for (std::uint32_t i = 0; i < fleet.Size(); i += 3) fleet.SetCut(i, true);
      fleet.ChangeLeader(fleet.Size());
      fleet.Run(seconds(12), [&] { retry(fleet); });
      for (std::uint32_t i = 0; i < fleet.Size(); i += 3) fleet.SetCut(i, false);
      fleet.Run(seconds(40), [&] { retry(fleet); });
      CHECK(fleet.UsedPart() > 0.6);
    };
  }
  SUBCASE("while grants are lost on their way") {
    play = [&](RetryingFleet& fleet) {
      fleet.Run(seconds(40), [&] {
        retry(fleet);
        const bool lost = fleet.SinceBegin() % seconds(8) < seconds(4);
        for (std::uint32_t i = 0; i < fleet.Size(); i += 2) fleet.SetGrantsLost(i, lost);
      });
    };
  }
  for (const std::uint32_t hosts : {12U, 15U, 50U}) {
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
      CAPTURE(hosts);
      CAPTURE(seed);
      RetryingFleet fleet(hosts, {0.2, 424.0}, seed);
      fleet.Run(seconds(12), [&] { serve(fleet); });
      play(fleet);
      CHECK(fleet.WorstPart() <= 1.0);
    }
  }
}

// Plays the loss of a stage at noon: all streams of a zone break in one second, on four of fifteen
// hosts. Guards against streams that are cut off although the limit is hardly used.
TEST_CASE("hosts share an allowance of retries") {
  constexpr std::uint32_t kHosts = 15;
  RetryingFleet fleet(kHosts, {0.0, 400.0});
  fleet.Run(seconds(5));
  SUBCASE("a burst of one zone is retried whole") {
    int retried = 0;
    for (std::uint32_t host = 0; host < 4; ++host) {
      for (int stream = 0; stream < 15; ++stream) retried += fleet.Retry(host) ? 1 : 0;
    }
    CHECK(retried == 60);
  }
  SUBCASE("a zone that goes on to fail gets what the others do not use") {
    fleet.Run(seconds(8), [&] {
      for (std::uint32_t host = 0; host < 4; ++host) fleet.Retry(host);
    });
    CHECK(fleet.UsedPart() > 0.5);
  }
  SUBCASE("a burst of all zones at once stays within the allowance") {
    fleet.RetryAtAll(25);
    CHECK(fleet.WorstPart() <= 1.0);
  }
  SUBCASE("a failure that lasts stays within the allowance") {
    std::uint32_t next = 0;
    // Eight requests fail on all hosts together in each tenth of a second.
    fleet.Run(seconds(30), [&] {
      const bool is_tenth = fleet.SinceBegin() % milliseconds(100) == Duration::zero();
      for (int i = 0; is_tenth && i < 8; ++i) fleet.Retry(next++ % kHosts);
    });
    CHECK(fleet.WorstPart() <= 1.0);
    CHECK(fleet.UsedPart() > 0.5);
  }
}

// Guards against many hosts that each take the same part of what is left of the allowance.
TEST_CASE("the retries of a hundred hosts stay within the allowance while failures last") {
  constexpr std::uint32_t kHosts = 120;
  RetryingFleet fleet(kHosts, {0.0, 1000.0});
  fleet.Run(seconds(5));
  std::uint32_t next = 0;
  fleet.Run(seconds(30), [&] {
    const bool is_tenth = fleet.SinceBegin() % milliseconds(100) == Duration::zero();
    for (int i = 0; is_tenth && i < 40; ++i) fleet.Retry(next++ % kHosts);
  });
  CHECK(fleet.WorstPart() <= 1.0);
  CHECK(fleet.UsedPart() > 0.5);
}

// Plays a full fleet in which upstreams refuse all the time, and the crash of one that holds many
// answers in progress. Guards against answers that are cut off because refused requests, whose
// callers can come back, have used up the retries.
TEST_CASE("answers in progress find retries left on a fleet that refuses many requests") {
  constexpr std::uint32_t kHosts = 120;
  constexpr std::uint32_t kAnswersInProgress = 240;
  RetryingFleet fleet(kHosts, {0.0, 700.0});
  fleet.Run(seconds(5));
  std::uint32_t next = 0;
  fleet.Run(seconds(10), [&] {
    const bool is_tenth = fleet.SinceBegin() % milliseconds(100) == Duration::zero();
    for (int i = 0; is_tenth && i < 20; ++i) fleet.Retry(next++ % kHosts, RetryPurpose::kRefused);
  });
  std::uint32_t finished = 0;
  for (std::uint32_t i = 0; i < kAnswersInProgress; ++i) finished += fleet.Retry(i % kHosts);
  CHECK(finished == kAnswersInProgress);
}

// Guards against hosts that each take the part of all others while a new leader knows few hosts.
TEST_CASE("the number of hosts that share a limit falls slowly") {
  SharingHosts hosts;
  CHECK(hosts.Count() == 0);
  hosts.Update(15);
  CHECK(hosts.Count() == 15);
  SUBCASE("while a leader has heard of one of them") {
    hosts.Update(1);
    CHECK(hosts.Count() == 13);
    hosts.Update(15);
    CHECK(hosts.Count() == 15);
  }
  SUBCASE("and reaches the number that is told in the end") {
    for (int report = 0; report < 30; ++report) hosts.Update(3);
    CHECK(hosts.Count() == 3);
  }
}

// Guards against a host that goes on with the quota of a leader that does not know it any more.
TEST_CASE("a host keeps its quota for a limited time") {
  const TimePoint now{std::chrono::hours(1000)};
  SharedRetryBudget budget({0.0, 150.0}, RetryBudget::kWindow);
  budget.SetHosts(15);
  const auto retries = [&](TimePoint at, TimePoint boot_at) {
    int sent = 0;
    while (budget.TryRetry(at, boot_at, RetryPurpose::kFinish)) ++sent;
    return sent;
  };
  SUBCASE("it starts with a small part") { CHECK(retries(now, now) == 1); }
  SUBCASE("until the quota lapses") {
    budget.SetQuota(now, {10.0, 4.0});
    CHECK(retries(now, now) == 10);
    CHECK(retries(now + seconds(11), now + seconds(11)) == 10);
    CHECK(retries(now + seconds(22), now + seconds(22)) == 1);
  }
  SUBCASE("also when its machine was suspended") {
    budget.SetQuota(now, {10.0, 4.0});
    CHECK(retries(now + seconds(1), now + seconds(20)) == 1);
  }
  SUBCASE("and a smaller one for refused requests") {
    budget.SetQuota(now, {10.0, 4.0});
    int refused = 0;
    while (budget.TryRetry(now, now, RetryPurpose::kRefused)) ++refused;
    CHECK(refused == 4);
    CHECK(retries(now, now) == 6);
  }
}

}  // namespace
}  // namespace corneltray
