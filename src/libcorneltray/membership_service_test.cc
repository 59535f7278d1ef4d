#include "corneltray/membership_service.h"

#include <doctest/doctest.h>

#include <thread>

#include "corneltray/peer.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Host {
  Host(std::string host_name, std::string host_program)
      : name(std::move(host_name)),
        program(std::move(host_program)),
        node({{name, program, "dkr", "dkr-a", 1000}, "127.0.0.1:0", "", "0123456789abcdef"}),
        service(&node) {
    service.Register();
    REQUIRE(node.Start().Ok());
  }
  ~Host() { node.Stop(); }

  void Start(const std::vector<std::string>& seeds) {
    HostInfo info;
    info.name = name;
    info.program = program;
    info.region = "dkr";
    info.availability_zone = "dkr-a";
    info.peer_address = node.ListenAddress();
    info.http_address = "127.0.0.1:80";
    info.incarnation = 1000;
    service.Start(info, seeds);
  }

  std::string name;
  std::string program;
  PeerNode node;
  MembershipService service;
};

bool WaitUntil(const std::function<bool()>& condition) {
  const TimePoint until = Clock::now() + seconds(10);
  while (!condition()) {
    if (Clock::now() >= until) return false;
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

// Guards against processes that share a seed but never learn of each other, and against an upstream
// that is known only where it announced itself.
TEST_CASE("processes that share a seed learn each other's hosts and upstreams") {
  Host seed("control-1", "corneltray-control");
  Host first("entry-1", "corneltray-entry");
  Host second("entry-2", "corneltray-entry");
  CHECK(first.service.Hosts().empty());
  seed.Start({});
  first.Start({seed.node.ListenAddress()});
  second.Start({seed.node.ListenAddress()});
  REQUIRE(WaitUntil(
      [&] { return first.service.Hosts().size() == 3 && second.service.Hosts().size() == 3; }));
  CHECK(WaitUntil([&] { return first.service.AnnounceTo().size() == 2; }));

  Announcement engine;
  engine.name = "engine-1";
  engine.incarnation = 1;
  engine.availability_zone = "dkr-a";
  engine.address = "127.0.0.1:9";
  engine.holdings = {{{"assistant", "1", ""}, 0, 23, HoldingState::kReady}};
  first.service.Announce(engine);
  CHECK(first.service.Upstreams().size() == 1);
  REQUIRE(WaitUntil([&] { return second.service.Upstreams().size() == 1; }));
  CHECK(second.service.Upstreams()[0].announcement.holdings.size() == 1);

  SUBCASE("and that one of them leaves") {
    first.service.SetLeaving();
    CHECK(WaitUntil([&] { return second.service.AnnounceTo().size() == 1; }));
  }
}

}  // namespace
}  // namespace corneltray
