#include "corneltray/fetch_scheduler.h"

#include <doctest/doctest.h>

#include <algorithm>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr milliseconds kTick{50};
constexpr milliseconds kFetchTimeout{800};

// Two control processes in each of three availability zones.
std::vector<ControlCandidate> Candidates(int own_zone = 0) {
  constexpr int kControlProcesses = 6;
  std::vector<ControlCandidate> candidates;
  candidates.reserve(kControlProcesses);
  for (int control = 0; control < kControlProcesses; ++control) {
    candidates.push_back({"control-" + std::to_string(control), control / 2 == own_zone});
  }
  return candidates;
}

std::string HostName(int host) { return "entry-" + std::to_string(host); }

// An entry host whose fetches time out at silent control processes and are answered at once, with
// the newest table, at all others.
struct EntryHost {
  explicit EntryHost(int number) : scheduler(HostName(number)) {}

  void RunUntil(TimePoint end) {
    for (; now < end; now += kTick) {
      Expire();
      while (const auto control = scheduler.NextFetch(now, Candidates(), held)) {
        ++fetches[*control];
        if (silent.count(*control) > 0) {
          expires_at[*control] = now + kFetchTimeout;
          continue;
        }
        held = std::max(held, committed);
        scheduler.OnAnswered(*control, true);
        answered_at.push_back(now);
      }
    }
  }
  void Expire() {
    for (auto fetch = expires_at.begin(); fetch != expires_at.end();) {
      if (now < fetch->second) {
        ++fetch;
        continue;
      }
      scheduler.OnFailed(now, fetch->first);
      fetch = expires_at.erase(fetch);
    }
  }

  FetchScheduler scheduler;
  TimePoint now = kStart;
  std::uint64_t held = 6;
  std::uint64_t committed = 6;
  std::set<std::string> silent;
  std::map<std::string, int> fetches;
  std::map<std::string, TimePoint> expires_at;
  std::vector<TimePoint> answered_at;
};

}  // namespace

// Simulates a route table change that eight control processes announce to 123 hosts. Guards against
// hosts that keep an outdated table because the control processes send the same table hundreds of
// times and no reply arrives before its deadline.
TEST_CASE("a new route table is fetched from at most two control processes at a time") {
  constexpr int kControlProcesses = 8;
  constexpr int kHosts = 123;
  int fetches = 0;
  for (int host = 0; host < kHosts; ++host) {
    FetchScheduler scheduler(HostName(host));
    std::vector<ControlCandidate> candidates;
    candidates.reserve(kControlProcesses);
    for (int control = 0; control < kControlProcesses; ++control) {
      candidates.push_back({"control-" + std::to_string(control), false});
    }
    int in_progress = 0;
    for (int control = 0; control < kControlProcesses; ++control) {
      scheduler.OnVersionCommitted(kStart, candidates[control].host, 7);
      while (scheduler.NextFetch(kStart, candidates, 6)) ++in_progress;
    }
    for (milliseconds at{0}; at < kFetchTimeout; at += kTick) {
      while (scheduler.NextFetch(kStart + at, candidates, 6)) ++in_progress;
    }
    CHECK(in_progress == static_cast<int>(kMaxConcurrentFetches));
    fetches += in_progress;
  }
  CHECK(fetches == kHosts * static_cast<int>(kMaxConcurrentFetches));
}

TEST_CASE("a version committed during a fetch is fetched afterwards") {
  FetchScheduler scheduler(HostName(1));
  scheduler.OnVersionCommitted(kStart, "control-0", 7);
  scheduler.OnVersionCommitted(kStart, "control-1", 7);
  const auto first = scheduler.NextFetch(kStart, Candidates(), 6);
  REQUIRE(first.has_value());
  scheduler.OnVersionCommitted(kStart, "control-0", 8);
  scheduler.OnVersionCommitted(kStart, "control-1", 8);
  CHECK_FALSE(scheduler.NextFetch(kStart, Candidates(), 6).has_value());
  scheduler.OnAnswered(*first, true);
  SUBCASE("at once") { CHECK(scheduler.NextFetch(kStart, Candidates(), 7).has_value()); }
  SUBCASE("unless a reply already contained it") {
    CHECK_FALSE(scheduler.NextFetch(kStart, Candidates(), 8).has_value());
  }
}

// Guards against a control process that all hosts of a zone, or of the site, ask first.
TEST_CASE("entry hosts are spread over the control processes of their availability zone") {
  constexpr int kHostsPerZone = 40;
  std::map<std::string, int> preferred;
  for (int zone = 0; zone < 3; ++zone) {
    for (int host = 0; host < kHostsPerZone; ++host) {
      FetchScheduler scheduler(HostName(zone * kHostsPerZone + host));
      ++preferred[*scheduler.NextFetch(kStart, Candidates(zone), 6)];
    }
  }
  REQUIRE(preferred.size() == 6);
  for (const auto& entry : preferred) {
    const int hosts = entry.second;
    CAPTURE(entry.first);
    CHECK(hosts >= kHostsPerZone / 4);
    CHECK(hosts <= kHostsPerZone * 3 / 4);
  }
}

// Guards against a host that asks silent control processes one after the other, 950 ms each, and
// applies a change after more than 2.5 s.
TEST_CASE("a host fetches a change from those that announce it while others are silent") {
  for (int number = 0; number < 20; ++number) {
    CAPTURE(number);
    EntryHost host(number);
    host.RunUntil(kStart + milliseconds(100));
    // The three that this host would ask first.
    ControlHostSelector ranking(HostName(number));
    const std::vector<std::string> order = ranking.Order(kStart, Candidates());
    host.silent = {order[0], order[1], order[2]};
    host.committed = 7;
    const TimePoint changed_at = host.now;
    for (const std::string& control : order) {
      if (host.silent.count(control) == 0) {
        host.scheduler.OnVersionCommitted(host.now, control, 7);
      }
    }
    host.RunUntil(changed_at + milliseconds(200));
    CHECK(host.held == 7);
  }
}

// Guards against the same delay where the announcements are lost as well.
TEST_CASE("a host that gets no announcement asks the next control process without waiting") {
  for (int number = 0; number < 20; ++number) {
    CAPTURE(number);
    EntryHost host(number);
    host.RunUntil(kStart + milliseconds(100));
    ControlHostSelector ranking(HostName(number));
    const std::vector<std::string> order = ranking.Order(kStart, Candidates());
    host.silent = {order[0], order[1], order[2]};
    host.committed = 7;
    host.RunUntil(host.now + milliseconds(2000));
    CHECK(host.held == 7);
  }
}

// Guards against a lease on keys that lapses because unconfirmed tables count as confirmations.
TEST_CASE("an unconfirmed answer does not delay the next confirmed fetch") {
  FetchScheduler scheduler(HostName(1));
  const auto first = scheduler.NextFetch(kStart, Candidates(), 6);
  REQUIRE(first.has_value());
  SUBCASE("which is due at once after it") {
    scheduler.OnAnswered(*first, false);
    CHECK(scheduler.NextFetch(kStart + kTick, Candidates(), 7).has_value());
  }
  SUBCASE("while a confirmed answer is renewed after an interval") {
    scheduler.OnAnswered(*first, true);
    CHECK_FALSE(scheduler.NextFetch(kStart + kTick, Candidates(), 7).has_value());
    CHECK(scheduler.NextFetch(kStart + kConfirmInterval, Candidates(), 7).has_value());
  }
}

// Guards against a loop of fetches from a control process that no longer has what it announced.
TEST_CASE("an announced version that an answer lacks is not fetched again from there") {
  FetchScheduler scheduler(HostName(1));
  const std::string preferred = *scheduler.NextFetch(kStart, Candidates(), 6);
  scheduler.OnAnswered(preferred, true);
  scheduler.OnVersionCommitted(kStart, preferred, 7);
  REQUIRE(scheduler.NextFetch(kStart, Candidates(), 6) == preferred);
  scheduler.OnAnswered(preferred, true);
  CHECK_FALSE(scheduler.NextFetch(kStart + kAnnouncementWait, Candidates(), 6).has_value());
}

// Guards against hosts that repeat failed fetches without a pause while there is no leader.
TEST_CASE("a failed fetch is repeated after a pause at another control process") {
  FetchScheduler scheduler(HostName(1));
  const auto first = scheduler.NextFetch(kStart, Candidates(), 6);
  REQUIRE(first.has_value());
  scheduler.OnFailed(kStart, *first);
  CHECK_FALSE(scheduler.NextFetch(kStart + kTick, Candidates(), 6).has_value());
  const auto second = scheduler.NextFetch(kStart + kFetchRetryDelay, Candidates(), 6);
  REQUIRE(second.has_value());
  CHECK(*second != *first);
}

// Guards against hosts that ask a region more often than usual once nobody answers them.
TEST_CASE("a host that nobody answers asks less often than one that is answered") {
  constexpr milliseconds kSpan{12000};
  const auto count_fetches = [](const EntryHost& host) {
    int fetches = 0;
    for (const auto& [control, count] : host.fetches) fetches += count;
    return fetches;
  };
  EntryHost answered(1);
  answered.RunUntil(kStart + kSpan);
  EntryHost failing(1);
  for (const ControlCandidate& control : Candidates()) failing.silent.insert(control.host);
  failing.RunUntil(kStart + kSpan);
  const int fetches = count_fetches(failing);
  CHECK(fetches < count_fetches(answered));

  SUBCASE("and asks again soon after one is back") {
    failing.silent.clear();
    failing.RunUntil(kStart + kSpan + milliseconds(2500));
    CHECK(!failing.answered_at.empty());
  }
  SUBCASE("and asks at once for a version that is announced") {
    failing.silent.clear();
    failing.committed = 7;
    failing.scheduler.OnVersionCommitted(failing.now, "control-0", 7);
    failing.RunUntil(kStart + kSpan + kFetchTimeout + kAnnouncementWait + kTick);
    CHECK(failing.held == 7);
  }
}

// Guards against a whole region that doubles its fetches while all control processes are slow.
TEST_CASE("few fetches are sent to a second control process") {
  FetchScheduler scheduler(HostName(1));
  int second = 0;
  TimePoint now = kStart;
  for (int fetch = 0; fetch < 40; ++fetch) {
    now += kConfirmInterval;
    const auto first = scheduler.NextFetch(now, Candidates(), 6);
    if (!first) continue;
    now += kFetchHedgeDelay;
    if (const auto hedge = scheduler.NextFetch(now, Candidates(), 6)) {
      ++second;
      scheduler.OnAnswered(*hedge, true);
    }
    scheduler.OnAnswered(*first, true);
  }
  CHECK(second >= 2);
  CHECK(second <= 10);
}

}  // namespace corneltray
