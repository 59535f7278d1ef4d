// Upstream state on its way from control processes to entry hosts, over loopback.
#include <doctest/doctest.h>

#include <asio/steady_timer.hpp>
#include <atomic>
#include <future>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "../libhttp/event_loop_test.h"
#include "corneltray/control_client.h"
#include "corneltray/control_links.h"
#include "corneltray/upstream_distributor.h"
#include "corneltray/upstream_subscription.h"
#include "peer_options_test.h"

namespace corneltray {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

Announcement MakeAnnouncement(const std::string& name, std::uint64_t sequence) {
  Announcement announcement;
  announcement.kind = UpstreamKind::kService;
  announcement.service = "s";
  announcement.name = name;
  announcement.address = name + ":80";
  announcement.availability_zone = "dkr-a";
  announcement.incarnation = 1;
  announcement.sequence = sequence;
  return announcement;
}

// Runs a function on a loop every 20 ms until it is destroyed.
class Ticker {
 public:
  Ticker(asio::io_context* io, std::function<void()> tick) : m_timer(*io), m_tick(std::move(tick)) {
    Schedule();
  }
  void Cancel() {
    m_is_cancelled = true;
    m_timer.cancel();
  }

 private:
  void Schedule() {
    m_timer.expires_after(milliseconds(20));
    m_timer.async_wait([this](const asio::error_code& cancelled) {
      if (cancelled || m_is_cancelled) return;
      m_tick();
      Schedule();
    });
  }

  asio::steady_timer m_timer;
  std::function<void()> m_tick;
  bool m_is_cancelled = false;
};

// A control process as far as it distributes upstreams.
struct Control {
  std::string name;
  EventLoopThread loop;
  PeerNode node;
  UpstreamTable table;
  UpstreamDistributor distributor;
  ControlLinks links;
  Ticker ticker;
  std::atomic<bool> is_frozen{false};

  explicit Control(const std::string& host)
      : name(host),
        node(TestPeerOptions(name, kControlProgram)),
        distributor({loop.Io(),
                     &node,
                     &table,
                     1,
                     {},
                     [this](const std::string& host) { links.FetchAgain(host); }}),
        links(loop.Io(), &node,
              [this](const std::string& host, const UpstreamUpdates& fetched) {
                distributor.MergeFetched(host, fetched);
              }),
        ticker(loop.Io(), [this] {
          if (is_frozen) return;
          links.Check();
          distributor.Check(Clock::now());
        }) {
    distributor.Register();
    REQUIRE(node.Start().Ok());
  }
  ~Control() { Stop(); }

  void Stop() {
    if (std::exchange(m_is_stopped, true)) return;
    loop.Run([this] {
      ticker.Cancel();
      distributor.Stop();
    });
    node.Stop();
    loop.Stop();
  }
  void Announce(const Announcement& announcement) {
    loop.Run([&] { distributor.Announce(Clock::now(), announcement); });
  }

 private:
  bool m_is_stopped = false;
};

// An entry host as far as it subscribes to upstreams.
struct Host {
  EventLoopThread loop;
  PeerNode node;
  UpstreamTable table;
  UpstreamSubscription subscription;
  Ticker ticker;

  Host(const std::string& name, const std::vector<std::string>& seeds)
      : node(TestPeerOptions(name, "corneltray-gateway")),
        subscription(loop.Io(), &node, {name, "dkr-a"},
                     [this](const UpstreamUpdates& updates) {
                       ApplyUpstreamUpdates(Clock::now(), updates, &table);
                     }),
        ticker(loop.Io(), [this] { subscription.Check(Clock::now()); }) {
    subscription.Register();
    REQUIRE(node.Start().Ok());
    loop.Run([&] { subscription.SetSeeds(seeds); });
  }
  ~Host() {
    loop.Run([this] { ticker.Cancel(); });
    node.Stop();
    loop.Stop();
  }

  bool Knows(const std::string& upstream, std::uint64_t sequence) {
    return loop.WaitFor([&] {
      const UpstreamTableEntry* entry = table.Find(upstream);
      return entry != nullptr && entry->announcement.sequence >= sequence;
    });
  }
  bool IsReady(const std::string& upstream) {
    return loop.Run([&] {
      const UpstreamTableEntry* entry = table.Find(upstream);
      return entry != nullptr && entry->IsReady();
    });
  }
  std::string Source() {
    return loop.Run([this] { return subscription.Source(); });
  }
};

// Three control processes that are linked to each other, and six hosts.
struct Region {
  std::list<Control> controls;
  std::list<Host> hosts;

  Region() {
    for (const char* name : {"c1", "c2", "c3"}) controls.emplace_back(name);
    std::vector<std::string> seeds;
    for (Control& control : controls) {
      for (const std::string& seed : seeds) control.node.Connect(seed);
      seeds.push_back(control.node.ListenAddress());
    }
    for (int i = 0; i < 6; ++i) hosts.emplace_back("edge-" + std::to_string(i), seeds);
    for (Host& host : hosts) {
      REQUIRE(host.loop.WaitFor([&] { return !host.subscription.Source().empty(); }));
    }
    for (Control& control : controls) {
      REQUIRE(control.loop.WaitFor(
          [&] { return control.node.ConnectedPeers(kControlProgram).size() == 2; }));
    }
  }
  // The control process that the first host follows.
  Control& SourceOfFirst() {
    const std::string source = hosts.front().Source();
    for (Control& control : controls) {
      if (control.name == source) return control;
    }
    FAIL("the first host follows no control process");
    return controls.front();
  }
  Control& OtherThan(const Control& one) {
    for (Control& control : controls) {
      if (&control != &one) return control;
    }
    return controls.front();
  }
  bool AllKnow(const std::string& upstream, std::uint64_t sequence) {
    bool all = true;
    for (Host& host : hosts) all = host.Knows(upstream, sequence) && all;
    return all;
  }
};

TEST_CASE("upstream state reaches every host through the one control process that it follows") {
  Region region;
  Control& first = region.controls.front();
  first.Announce(MakeAnnouncement("10.0.0.1", 1));
  REQUIRE(region.AllKnow("10.0.0.1", 1));

  SUBCASE("also an announcement that is repeated unchanged") {
    first.Announce(MakeAnnouncement("10.0.0.1", 2));
    CHECK(region.AllKnow("10.0.0.1", 2));
  }
  // Guards against an upstream that stops because its departure was acknowledged while hosts that
  // follow another control process still send to it.
  SUBCASE("a departure is acknowledged only when all hosts have it") {
    std::promise<void> acknowledged;
    first.loop.Run([&] {
      const auto update = first.table.MarkLeft(Clock::now(), "10.0.0.1", 1);
      REQUIRE(update);
      first.distributor.Depart(*update, [&] { acknowledged.set_value(); });
    });
    acknowledged.get_future().wait();
    for (Host& host : region.hosts) CHECK_FALSE(host.IsReady("10.0.0.1"));
  }
  // Guards against repeats of a departure that are each sent to all hosts, which keeps busy control
  // processes busy.
  SUBCASE("a departure that is repeated at several control processes is sent to each host once") {
    const auto count_sent = [&region] {
      std::uint64_t sent = 0;
      for (const Control& control : region.controls) {
        sent += control.node.MessageCounters()[MessageType::kUpstreamUpdates].sent;
      }
      return sent;
    };
    constexpr int kRepeats = 20;
    std::atomic<int> acknowledged{0};
    const std::uint64_t before = count_sent();
    for (int repeat = 0; repeat < kRepeats; ++repeat) {
      for (Control& control : region.controls) {
        REQUIRE(control.loop.WaitFor([&] { return control.table.Find("10.0.0.1") != nullptr; }));
        control.loop.Run([&] {
          const auto update = control.table.MarkLeft(Clock::now(), "10.0.0.1", 1);
          REQUIRE(update);
          control.distributor.Depart(*update, [&acknowledged] { ++acknowledged; });
        });
      }
    }
    const int calls = kRepeats * static_cast<int>(region.controls.size());
    REQUIRE(first.loop.WaitFor([&] { return acknowledged == calls; }));
    for (Host& host : region.hosts) CHECK_FALSE(host.IsReady("10.0.0.1"));
    // Each receiver gets it a few times at most, as changes and refreshes are sent meanwhile.
    const std::size_t receivers = region.hosts.size() + region.controls.size() * 2;
    CHECK(count_sent() - before < 5 * receivers);
  }
  SUBCASE("a host that follows a lost control process moves and gets what it has missed") {
    Control& source = region.SourceOfFirst();
    Control& other = region.OtherThan(source);
    source.Stop();
    other.Announce(MakeAnnouncement("10.0.0.2", 1));
    CHECK(region.AllKnow("10.0.0.2", 1));
    CHECK(region.hosts.front().Source() != source.name);
  }
  // Guards against a host that stays with a control process which is alive for its links only, and
  // against one that the process takes back as soon as it wakes.
  SUBCASE("a host leaves a source that stands still") {
    Control& source = region.SourceOfFirst();
    Host& host = region.hosts.front();
    source.is_frozen = true;
    CHECK(host.loop.WaitFor([&] { return host.subscription.Source() != source.name; }));
    source.is_frozen = false;
    source.Announce(MakeAnnouncement("10.0.0.3", 1));
    CHECK(region.AllKnow("10.0.0.3", 1));
    CHECK(host.Source() != source.name);
  }
}

}  // namespace
}  // namespace corneltray
