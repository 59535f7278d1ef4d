// Tests of the data path with upstreams that ask, in their responses, for no more requests.
#include "corneltray/upstream_backoff.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "gateway_fixture_test.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

constexpr int kCalls = 20;

HttpHead MakeAuthenticHead(const std::string& type) {
  HttpHead head = MakeResponse(200);
  head.Add("Request-Id", "r1");
  head.Add("Mark", "m");
  head.Add("Content-Type", type);
  return head;
}

bool HasStatus(const std::string& response, const std::string& status) {
  return response.compare(0, 12, "HTTP/1.1 " + status) == 0;
}

// Returns the Retry-After of a response.
std::optional<milliseconds> RetryAfterOf(const std::string& response) {
  const std::string name = "\r\nRetry-After: ";
  const std::size_t at = response.find(name);
  if (at == std::string::npos) return std::nullopt;
  const std::size_t value = at + name.size();
  return ParseRetryAfter(response.substr(value, response.find("\r\n", value) - value));
}

// Guards against requests that reach an upstream after it has told this host that it is shutting
// down, while the control processes do not say so.
TEST_CASE("an upstream that says in a response that it is leaving gets no more requests") {
  GatewayFixture fixture;
  std::atomic<bool> is_leaving{true};

  SUBCASE("as the replica of a service") {
    const auto leave = [&is_leaving](ScriptedUpstream&, const HttpCall& call) {
      HttpHead head = MakeAuthenticHead("text/plain");
      if (is_leaving) head.Add("Leaving", "1");
      call.Respond(std::move(head), "done");
    };
    ScriptedUpstream* leaving = fixture.Add("u", "a", leave);
    CHECK(HasStatus(fixture.Call("GET", "/get/"), "200"));

    SUBCASE("while another replica serves") {
      ScriptedUpstream* other = fixture.Add("v", "b", [](ScriptedUpstream&, const HttpCall& call) {
        call.Respond(MakeAuthenticHead("text/plain"), "done");
      });
      for (int i = 0; i < kCalls; ++i) CHECK(HasStatus(fixture.Call("GET", "/get/"), "200"));
      CHECK(leaving->requests == 1);
      CHECK(other->requests == kCalls);
    }
    SUBCASE("and the caller is refused at once if no other is left") {
      CHECK(HasStatus(fixture.Call("GET", "/get/"), "503"));
      CHECK(leaving->requests == 1);
    }
    SUBCASE("until it starts again under its name") {
      is_leaving = false;
      fixture.loop.Run([&] {
        UpstreamUpdates updates;
        updates.updates.push_back(TestEngine("u", "a", "fast", 0, 0));
        Announcement& announcement = updates.updates.front().announcement;
        announcement.service = "plain";
        announcement.address = leaving->listener->Address();
        announcement.incarnation = 2;
        fixture.gateway->UpdateUpstreams(updates);
      });
      CHECK(HasStatus(fixture.Call("GET", "/get/"), "200"));
      CHECK(leaving->requests == 2);
    }
  }

  SUBCASE("as an engine") {
    const auto stream = [](HttpHead head, const HttpCall& call) {
      call.Begin(std::move(head));
      call.Write(Event(1) + Event(2));
      call.End();
    };
    ScriptedUpstream* leaving = fixture.Add(
        "a1", "a",
        [stream](ScriptedUpstream&, const HttpCall& call) {
          HttpHead head = MakeAuthenticHead("text/event-stream");
          head.Add("Leaving", "1");
          stream(std::move(head), call);
        },
        0, 80);
    CHECK(HasStatus(fixture.Call("POST", "/talk/"), "200"));
    const auto serve = [stream](ScriptedUpstream&, const HttpCall& call) {
      stream(MakeAuthenticHead("text/event-stream"), call);
    };
    ScriptedUpstream* first = fixture.Add("b1", "b", serve, 0, 40);
    fixture.Add("b2", "b", serve, 40, 80);
    for (int i = 0; i < kCalls; ++i) CHECK(HasStatus(fixture.Call("POST", "/talk/"), "200"));
    CHECK(leaving->requests == 1);
    fixture.loop.Run([&] {
      for (const HttpHead& head : first->heads) CHECK(head.Value("Chain") == "b1 b2 ");
    });
  }
}

// Guards against requests that reach an upstream although it has asked this host for a pause, and
// against callers that wait for an upstream that takes nothing.
TEST_CASE("an upstream that refuses a request with Retry-After gets none until that time") {
  GatewayFixture fixture;
  std::atomic<milliseconds> pause{std::chrono::minutes(1)};
  const auto serve = [](ScriptedUpstream&, const HttpCall& call) {
    call.Respond(MakeAuthenticHead("text/plain"), "done");
  };
  // Refuses its first request only.
  const auto refuse = [&pause, serve](ScriptedUpstream& self, const HttpCall& call) {
    if (self.requests > 1) return serve(self, call);
    HttpHead head = MakeResponse(503);
    head.Add("Not-Run", "1");
    head.Add("Pause", FormatRetryAfter(pause));
    call.Respond(std::move(head), "");
  };

  SUBCASE("while another replica of the service serves") {
    ScriptedUpstream* paused = fixture.Add("u", "a", refuse);
    ScriptedUpstream* other = fixture.Add("v", "b", serve);
    for (int i = 0; i < kCalls; ++i) CHECK(HasStatus(fixture.Call("GET", "/get/"), "200"));
    CHECK(paused->requests == 1);
    CHECK(other->requests == kCalls);
  }
  SUBCASE("while another copy of the model serves") {
    ScriptedUpstream* paused = fixture.Add("a1", "a", refuse, 0, 80);
    ScriptedUpstream* other = fixture.Add("b1", "b", serve, 0, 80);
    for (int i = 0; i < kCalls; ++i) CHECK(HasStatus(fixture.Call("POST", "/talk/"), "200"));
    CHECK(paused->requests == 1);
    CHECK(other->requests == kCalls);
  }
  SUBCASE("and callers are refused at once and told the time if no other is left") {
    const TimePoint start = Clock::now();
    ScriptedUpstream* paused = fixture.Add("u", "a", refuse);
    for (int i = 0; i < kCalls; ++i) {
      const std::string answer = fixture.Call("GET", "/get/");
      CHECK(HasStatus(answer, "503"));
      const std::optional<milliseconds> told = RetryAfterOf(answer);
      REQUIRE(told.has_value());
      CHECK(Clock::now() + *told >= start + pause.load());
      CHECK(*told <= pause.load());
    }
    CHECK(paused->requests == 1);
  }
  SUBCASE("and then is used again") {
    constexpr milliseconds kShortPause{200};
    pause = kShortPause;
    ScriptedUpstream* paused = fixture.Add("u", "a", refuse);
    CHECK(HasStatus(fixture.Call("GET", "/get/"), "503"));
    std::this_thread::sleep_for(kShortPause);
    CHECK(HasStatus(fixture.Call("GET", "/get/"), "200"));
    CHECK(paused->requests == 2);
  }
}

TEST_CASE("a shorter pause does not end a longer one") {
  const TimePoint now{std::chrono::hours(1)};
  UpstreamTable upstreams;
  upstreams.Apply(now, TestEngine("u", "a", "fast", 0, 80));
  UpstreamBackoff backoff;
  backoff.Pause("u", 1, now + milliseconds(900));
  backoff.Pause("u", 1, now + milliseconds(300));
  const auto is_blocked = [&](milliseconds after) {
    std::set<std::string> blocked;
    backoff.AddBlocked(now + after, upstreams, &blocked);
    return blocked.count("u") > 0;
  };
  CHECK(is_blocked(milliseconds(899)));
  CHECK_FALSE(is_blocked(milliseconds(900)));

  SUBCASE("nor the one of an upstream that is leaving") {
    CHECK(backoff.MarkLeaving("u", 1));
    CHECK_FALSE(backoff.MarkLeaving("u", 1));
    backoff.Pause("u", 1, now + milliseconds(300));
    CHECK(is_blocked(std::chrono::hours(1)));
    CHECK(backoff.EndOfPause(now, upstreams, "s") == std::nullopt);
  }
}

// Guards against hosts that together send an upstream more than it takes from all of them.
TEST_CASE("hosts share the limit that an upstream names") {
  constexpr double kLimit = 4.0;  // requests a second
  constexpr std::uint32_t kHosts = 12;
  TimePoint now{std::chrono::hours(1)};
  UpstreamTable upstreams;
  upstreams.Apply(now, TestEngine("u", "a", "fast", 0, 80));
  const std::string service = upstreams.Find("u")->announcement.service;
  std::vector<UpstreamBackoff> hosts;
  for (std::uint32_t seed = 1; seed <= kHosts; ++seed) {
    hosts.emplace_back(seed);
    hosts.back().SetHosts(now, kHosts);
  }
  const auto is_blocked = [&](const UpstreamBackoff& host) {
    std::set<std::string> blocked;
    host.AddBlocked(now, upstreams, &blocked);
    return !blocked.empty();
  };
  // Returns the times at which hosts that always have a request send it.
  const auto send = [&](std::chrono::seconds time) {
    std::vector<TimePoint> sent;
    for (const TimePoint end = now + time; now < end; now += milliseconds(10)) {
      for (UpstreamBackoff& host : hosts) {
        if (is_blocked(host)) continue;
        host.RecordRequest(now, "u");
        sent.push_back(now);
      }
    }
    return sent;
  };
  const auto name_limit = [&](std::optional<double> limit) {
    for (UpstreamBackoff& host : hosts) host.SetRateLimit(now, "u", 1, now, limit);
  };
  name_limit(kLimit);

  SUBCASE("in any window, also right after they have heard of it") {
    const std::vector<TimePoint> sent = send(std::chrono::seconds(40));
    CHECK(sent.size() > 0.9 * 40 * kLimit);
    for (const TimePoint begin : sent) {
      const auto in_window = std::count_if(sent.begin(), sent.end(), [begin](TimePoint at) {
        return begin <= at && at < begin + std::chrono::seconds(4);
      });
      CHECK(in_window <= 1.5 * 4 * kLimit);
    }
  }
  SUBCASE("also a low limit that many hosts share") {
    constexpr double kLowLimit = 0.5;
    for (std::uint32_t seed = kHosts + 1; seed <= 200; ++seed) hosts.emplace_back(seed);
    for (UpstreamBackoff& host : hosts) host.SetHosts(now, 200);
    name_limit(kLowLimit);
    const std::vector<TimePoint> sent = send(std::chrono::seconds(60));
    CHECK(sent.size() > 10);
    for (const TimePoint begin : sent) {
      const auto in_window = std::count_if(sent.begin(), sent.end(), [begin](TimePoint at) {
        return begin <= at && at < begin + std::chrono::seconds(4);
      });
      CHECK(in_window <= 1.5 * 4 * kLowLimit + 5);
    }
  }
  SUBCASE("and say when the next request can be sent") {
    hosts[0].RecordRequest(now, "u");
    const auto end = hosts[0].EndOfInterval(now, upstreams, service);
    REQUIRE(end.has_value());
    CHECK(*end >= now + std::chrono::seconds(3));
    CHECK(hosts[0].EndOfInterval(now, upstreams, "other") == std::nullopt);
  }
  SUBCASE("until it names none in the answer to a later request") {
    hosts[0].RecordRequest(now, "u");
    CHECK_FALSE(hosts[0].SetRateLimit(now, "u", 1, now, std::nullopt));
    CHECK(is_blocked(hosts[0]));
    now += milliseconds(10);
    CHECK(hosts[0].SetRateLimit(now, "u", 1, now, std::nullopt));
    CHECK_FALSE(is_blocked(hosts[0]));
  }
  SUBCASE("and move their next requests when they become more or fewer") {
    const auto count_hosts = [&](std::uint32_t count) {
      for (UpstreamBackoff& host : hosts) host.SetHosts(now, count);
    };
    count_hosts(4 * kHosts);
    CHECK(send(std::chrono::seconds(8)).size() < 1.3 * 8 * kLimit / 4);
    count_hosts(kHosts);
    CHECK(send(std::chrono::seconds(8)).size() > 0.9 * 8 * kLimit);
  }
  SUBCASE("until it starts again") {
    hosts[0].RecordRequest(now, "u");
    UpstreamUpdate restarted = TestEngine("u", "a", "fast", 0, 80);
    restarted.announcement.incarnation = 2;
    upstreams.Apply(now, restarted);
    CHECK_FALSE(is_blocked(hosts[0]));
  }
  SUBCASE("and go on sooner once it names a higher one") {
    name_limit(0.01);
    for (UpstreamBackoff& host : hosts) host.RecordRequest(now, "u");
    name_limit(40.0);
    CHECK(send(std::chrono::seconds(2)).size() > 40);
  }
}

// Guards against hosts that keep a limit for as long as they rarely ask the upstream.
TEST_CASE("a host hears of the end or change of a limit from others") {
  const TimePoint named_at{std::chrono::hours(1)};
  const TimePoint later = named_at + std::chrono::seconds(2);
  UpstreamTable upstreams;
  upstreams.Apply(named_at, TestEngine("u", "a", "fast", 0, 80));
  UpstreamBackoff teller(1);
  UpstreamBackoff listener(2);
  for (UpstreamBackoff* host : {&teller, &listener}) {
    host->SetHosts(named_at, 100);
    host->SetRateLimit(named_at, "u", 1, named_at - milliseconds(5), 0.5);
    host->RecordRequest(named_at, "u");
  }
  const auto is_blocked = [&](TimePoint at) {
    std::set<std::string> blocked;
    listener.AddBlocked(at, upstreams, &blocked);
    return !blocked.empty();
  };
  const auto tell = [&] { return listener.SetFleetRateLimits(later, teller.OwnRateLimits(later)); };

  SUBCASE("which it does not know while the limit holds") {
    CHECK(tell().empty());
    CHECK(is_blocked(later));
  }
  SUBCASE("once one of them has got an answer without it") {
    CHECK(teller.SetRateLimit(later, "u", 1, later - milliseconds(5), std::nullopt));
    CHECK(tell() == std::vector<std::string>{"u"});
    CHECK_FALSE(is_blocked(later));
    CHECK(tell().empty());
  }
  SUBCASE("for a time after the end, with the latest answer") {
    CHECK(teller.SetRateLimit(later, "u", 1, later - milliseconds(5), std::nullopt));
    CHECK_FALSE(teller.SetRateLimit(later, "u", 1, later, std::nullopt));
    CHECK(teller.OwnRateLimits(later).at("u").as_of == later);
    CHECK(teller.OwnRateLimits(later + std::chrono::minutes(1)).empty());
  }
  SUBCASE("but not from an answer that is older than its own") {
    CHECK(teller.SetRateLimit(later, "u", 1, later - milliseconds(5), std::nullopt));
    listener.SetRateLimit(later, "u", 1, later, 0.5);
    CHECK(tell().empty());
    CHECK(is_blocked(later));
  }
  SUBCASE("nor from another incarnation") {
    RateLimitReports reports = teller.OwnRateLimits(later);
    reports.at("u") = {2, std::nullopt, later};
    CHECK(listener.SetFleetRateLimits(later, reports).empty());
    CHECK(is_blocked(later));
  }
  SUBCASE("and then sends more requests, but not at once") {
    teller.SetRateLimit(later, "u", 1, later - milliseconds(5), 50.0);
    CHECK(tell() == std::vector<std::string>{"u"});
    CHECK(is_blocked(later));
    CHECK_FALSE(is_blocked(later + std::chrono::seconds(2)));
  }
}

// Guards against requests beyond a limit that an upstream names in its answers, and against callers
// that are refused although another upstream takes them.
TEST_CASE("an upstream that names a limit gets no requests beyond it") {
  GatewayFixture fixture;
  const auto limited = [](ScriptedUpstream&, const HttpCall& call) {
    HttpHead head = MakeAuthenticHead("text/plain");
    head.Add("Limit", "0.5");
    call.Respond(std::move(head), "done");
  };
  const auto serve = [](ScriptedUpstream&, const HttpCall& call) {
    call.Respond(MakeAuthenticHead("text/plain"), "done");
  };
  SUBCASE("while another replica of the service serves") {
    ScriptedUpstream* first = fixture.Add("u", "a", limited);
    ScriptedUpstream* other = fixture.Add("v", "b", serve);
    for (int i = 0; i < kCalls; ++i) CHECK(HasStatus(fixture.Call("GET", "/get/"), "200"));
    CHECK(first->requests <= 2);
    CHECK(other->requests >= kCalls - 2);
  }
  SUBCASE("while another copy of the model serves") {
    ScriptedUpstream* first = fixture.Add("a1", "a", limited, 0, 80);
    ScriptedUpstream* other = fixture.Add("b1", "b", serve, 0, 80);
    for (int i = 0; i < kCalls; ++i) CHECK(HasStatus(fixture.Call("POST", "/talk/"), "200"));
    CHECK(first->requests <= 2);
    CHECK(other->requests >= kCalls - 2);
  }
  SUBCASE("and the part of a host is known before any host has had a request") {
    fixture.loop.Run([&] { fixture.gateway->SetFleetPace({1, {}}); });
    fixture.Add("u", "a", limited);
    CHECK(HasStatus(fixture.Call("GET", "/get/"), "200"));
    const std::optional<milliseconds> told = RetryAfterOf(fixture.Call("GET", "/get/"));
    REQUIRE(told.has_value());
    CHECK(*told <= std::chrono::seconds(3));
  }
  SUBCASE("and callers are told the time if no other is left") {
    ScriptedUpstream* first = fixture.Add("u", "a", limited);
    CHECK(HasStatus(fixture.Call("GET", "/get/"), "200"));
    int refused = 0;
    for (int i = 0; i < kCalls; ++i) {
      const std::string answer = fixture.Call("GET", "/get/");
      if (!HasStatus(answer, "503")) continue;
      ++refused;
      CHECK(RetryAfterOf(answer).has_value());
    }
    CHECK(refused >= kCalls - 1);
    CHECK(first->requests <= 2);
  }
}

}  // namespace
}  // namespace corneltray
