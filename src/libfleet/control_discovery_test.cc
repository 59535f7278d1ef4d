#include "corneltray/control_discovery.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <thread>

#include "../libhttp/event_loop_test.h"
#include "corneltray/control_client.h"
#include "peer_options_test.h"

namespace corneltray {
namespace {

// A process that reports its linked control processes and discovers others.
struct Process {
  EventLoopThread loop;
  PeerNode node;
  std::set<std::string> found;  // accessed on the loop thread
  ControlDiscovery discovery{loop.Io(), &node, "own",
                             [this](const std::string& address) { found.insert(address); }};

  Process(const std::string& host, const std::string& program)
      : node(TestPeerOptions(host, program)) {
    discovery.Register();
    REQUIRE(node.Start().Ok());
  }
  ~Process() {
    node.Stop();
    loop.Stop();
  }

  void LinkTo(const Process& other) {
    node.Connect(other.node.ListenAddress());
    REQUIRE(loop.WaitFor([this] {
      const auto peers = node.Peers();
      return !peers.empty() && peers.back().connected;
    }));
  }
};

}  // namespace

// Guards against a host that is only ever linked to processes without a known leader.
TEST_CASE("a process discovers the control processes that its peers are linked to") {
  Process leader("leader", kControlProgram);
  SUBCASE("from an entry host") {
    Process seed("entry", "corneltray-gateway");
    seed.LinkTo(leader);
    Process process("starter", "corneltray-gateway");
    process.LinkTo(seed);
    process.loop.Run([&] { process.discovery.Query(Clock::now()); });
    CHECK(process.loop.WaitFor([&] { return process.found.size() == 1; }));
    CHECK(*process.found.begin() == leader.node.ListenAddress());
  }
  SUBCASE("from a control process that was removed from the replicated log") {
    Process removed("removed", kControlProgram);
    removed.LinkTo(leader);
    Process process("starter", "corneltray-gateway");
    process.LinkTo(removed);
    process.loop.Run([&] { process.discovery.Query(Clock::now()); });
    CHECK(process.loop.WaitFor([&] { return process.found.size() == 1; }));
    SUBCASE("and limits the rate of its queries") {
      process.loop.Run([&] {
        process.found.clear();
        process.discovery.Query(Clock::now());
      });
      CHECK(process.found.empty());
    }
  }
}

// Guards against queries that grow with the square of the number of hosts while none has a leader.
TEST_CASE("a process queries one host at a time for control processes") {
  Process process("starter", "corneltray-gateway");
  Process first("first", kControlProgram);
  Process second("second", kControlProgram);
  Process third("third", "corneltray-gateway");
  for (const Process* other : {&first, &second, &third}) {
    process.node.Connect(other->node.ListenAddress());
  }
  REQUIRE(process.loop.WaitFor([&] {
    const auto peers = process.node.Peers();
    return peers.size() == 3 &&
           std::all_of(peers.begin(), peers.end(), [](const auto& peer) { return peer.connected; });
  }));
  process.loop.Run([&] { process.discovery.Query(Clock::now()); });
  const auto sent = [&] {
    return process.node.MessageCounters()[MessageType::kControlHostFetch].sent;
  };
  CHECK(process.loop.WaitFor([&] { return sent() > 0; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  CHECK(sent() == 1);
}

}  // namespace corneltray
