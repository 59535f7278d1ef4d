#include "corneltray/control_links.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>

#include "../libhttp/event_loop_test.h"
#include "corneltray/control_client.h"
#include "peer_options_test.h"

namespace corneltray {
namespace {

using nlohmann::json;

// A control process that knows one upstream. Refuses the first `fetches_to_refuse` fetches.
struct Control {
  PeerNode node;
  std::atomic<int> fetches{0};
  std::atomic<int> pushes{0};
  std::atomic<int> fetches_to_refuse{0};

  explicit Control(const std::string& host, const std::string& program = kControlProgram)
      : node(TestPeerOptions(host, program)) {
    node.SetRequestHandler(MessageType::kUpstreamFetch, [this](const PeerIdentity&, const json&,
                                                               const PeerNode::Responder& respond) {
      ++fetches;
      if (fetches_to_refuse > 0) {
        --fetches_to_refuse;
        return respond(Error{make_error_code(PeerErrc::kRefused), "not ready"});
      }
      UpstreamUpdates known;
      known.refreshes.push_back({"engine-1", 1, 7});
      respond(EncodeUpstreamUpdates(known));
    });
    node.SetPushHandler(MessageType::kUpstreamSuspected,
                        [this](const PeerIdentity&, const json&) { ++pushes; });
  }
};

struct Fixture {
  EventLoopThread loop;
  PeerNode node{TestPeerOptions("gateway", "corneltray-gateway")};
  std::vector<std::string> names;  // of received upstreams; accessed on the loop thread
  std::unique_ptr<ControlLinks> links;

  Fixture() {
    REQUIRE(node.Start().Ok());
    links = std::make_unique<ControlLinks>(
        loop.Io(), &node, [this](const std::string&, const UpstreamUpdates& updates) {
          for (const UpstreamRefresh& refresh : updates.refreshes) names.push_back(refresh.name);
        });
  }
  ~Fixture() {
    node.Stop();
    loop.Stop();
  }

  void Link(Control* control) {
    REQUIRE(control->node.Start().Ok());
    node.Connect(control->node.ListenAddress());
  }
  std::vector<std::string> LinkedHosts() const {
    std::vector<std::string> hosts;
    for (const ControlCandidate& candidate : links->Candidates("zone")) {
      hosts.push_back(candidate.host);
    }
    return hosts;
  }
  bool IsLinked(const std::string& host) const {
    const std::vector<std::string> hosts = LinkedHosts();
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
  }
  // Calls Check repeatedly. Returns whether the condition becomes true.
  bool CheckUntil(const std::function<bool()>& condition) {
    return loop.WaitFor([&] {
      links->Check();
      return condition();
    });
  }
};

TEST_CASE("links to control processes come up, fetch upstream state and are dropped when lost") {
  Control a("a");
  Control b("b");
  Fixture fixture;

  // Guards against a process that misses announcements from before its link came up.
  SUBCASE("upstream state is fetched once over each new link") {
    fixture.Link(&a);
    fixture.Link(&b);
    REQUIRE(fixture.CheckUntil([&] { return fixture.names.size() == 2; }));
    for (int check = 0; check < 5; ++check) fixture.loop.Run([&] { fixture.links->Check(); });
    CHECK(a.fetches == 1);
    CHECK(b.fetches == 1);

    SUBCASE("and each is a candidate for requests") {
      CHECK(fixture.LinkedHosts() == std::vector<std::string>{"a", "b"});
      const std::string zone = TestPeerOptions("a", kControlProgram).identity.availability_zone;
      CHECK(fixture.links->Candidates(zone).front().is_local);
      CHECK_FALSE(fixture.links->Candidates("another-zone").front().is_local);
    }
    SUBCASE("a broadcast reaches every control process") {
      fixture.loop.Run([&] {
        fixture.links->Broadcast(MessageType::kUpstreamSuspected, EncodeUpstreamUpdates({}));
      });
      CHECK(fixture.loop.WaitFor([&] { return a.pushes == 1 && b.pushes == 1; }));
    }
    // Guards against a process that knows of a missing message and never gets its content.
    SUBCASE("upstream state is fetched again on request") {
      fixture.loop.Run([&] { fixture.links->FetchAgain("a"); });
      CHECK(fixture.CheckUntil([&] { return fixture.names.size() == 3; }));
      CHECK(a.fetches == 2);
      CHECK(b.fetches == 1);
    }
    SUBCASE("a lost link is removed") {
      a.node.Stop();
      CHECK(fixture.CheckUntil([&] { return !fixture.IsLinked("a"); }));
      CHECK(fixture.LinkedHosts() == std::vector<std::string>{"b"});
    }
  }
  // Guards against a link that stays up without a second attempt to fetch.
  SUBCASE("a refused fetch is retried and the link is kept") {
    a.fetches_to_refuse = 2;
    fixture.Link(&a);
    REQUIRE(fixture.CheckUntil([&] { return fixture.names.size() == 1; }));
    CHECK(a.fetches == 3);
    CHECK(fixture.IsLinked("a"));
  }
  SUBCASE("links to other programs are ignored") {
    Control other("c", "corneltray-gateway");
    fixture.Link(&other);
    fixture.Link(&a);
    REQUIRE(fixture.CheckUntil([&] { return fixture.names.size() == 1; }));
    CHECK(other.fetches == 0);
    CHECK_FALSE(fixture.IsLinked("c"));
  }
  SUBCASE("without links there is no candidate") { CHECK(fixture.LinkedHosts().empty()); }
}

}  // namespace
}  // namespace corneltray
