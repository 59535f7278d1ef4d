#include "corneltray/control_links.h"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>

#include "../libhttp/event_loop_test.h"
#include "corneltray/control_client.h"
#include "peer_options_test.h"

namespace corneltray {
namespace {

using nlohmann::json;

// A control process that knows one upstream. It refuses the first fetches if told so.
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
  std::vector<std::string> taken;  // names of upstreams; on the loop
  std::unique_ptr<ControlLinks> links;

  Fixture() {
    REQUIRE(node.Start().Ok());
    links =
        std::make_unique<ControlLinks>(loop.Io(), &node, [this](const UpstreamUpdates& updates) {
          for (const UpstreamRefresh& refresh : updates.refreshes) taken.push_back(refresh.name);
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
  // Whether the condition comes true while the links are checked again and again.
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

  // Guards against a process that misses what upstreams said before its link came up.
  SUBCASE("each new link is asked once for what the control process knows") {
    fixture.Link(&a);
    fixture.Link(&b);
    REQUIRE(fixture.CheckUntil([&] { return fixture.taken.size() == 2; }));
    for (int check = 0; check < 5; ++check) fixture.loop.Run([&] { fixture.links->Check(); });
    CHECK(a.fetches == 1);
    CHECK(b.fetches == 1);

    SUBCASE("hosts come after each other in a round") {
      CHECK(fixture.links->NextHost("a") == "b");
      CHECK(fixture.links->NextHost("b") == "a");
      CHECK(fixture.links->NextHost("") == "a");
    }
    SUBCASE("a push reaches every control process") {
      fixture.loop.Run([&] {
        fixture.links->Broadcast(MessageType::kUpstreamSuspected, EncodeUpstreamUpdates({}));
      });
      CHECK(fixture.loop.WaitFor([&] { return a.pushes == 1 && b.pushes == 1; }));
    }
    SUBCASE("a lost link is no candidate any more") {
      a.node.Stop();
      CHECK(fixture.CheckUntil([&] { return !fixture.links->Has("a"); }));
      CHECK(fixture.links->NextHost("b") == "b");
    }
  }
  // Guards against a link that stays up but is never asked again.
  SUBCASE("a refused fetch is repeated, and the link stays") {
    a.fetches_to_refuse = 2;
    fixture.Link(&a);
    REQUIRE(fixture.CheckUntil([&] { return fixture.taken.size() == 1; }));
    CHECK(a.fetches == 3);
    CHECK(fixture.links->Has("a"));
  }
  SUBCASE("other programs are left alone") {
    Control other("c", "corneltray-gateway");
    fixture.Link(&other);
    fixture.Link(&a);
    REQUIRE(fixture.CheckUntil([&] { return fixture.taken.size() == 1; }));
    CHECK(other.fetches == 0);
    CHECK_FALSE(fixture.links->Has("c"));
  }
  SUBCASE("without links there is no host") { CHECK(fixture.links->NextHost("a").empty()); }
}

}  // namespace
}  // namespace corneltray
