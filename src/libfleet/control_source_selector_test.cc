#include "corneltray/control_source_selector.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <utility>

namespace corneltray {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = Clock::now();

std::string AddressOf(const std::string& host) { return host + ":9000"; }

// Five control processes, one in each zone: c-a is in zone a.
const std::vector<std::string> kHosts = {"c-a", "c-b", "c-c", "c-d", "c-e"};

std::vector<ControlHost> Candidates() {
  std::vector<ControlHost> candidates;
  candidates.reserve(kHosts.size());
  for (const std::string& host : kHosts) candidates.push_back({AddressOf(host), host.substr(2)});
  return candidates;
}

std::vector<LinkedControlHost> Linked(const std::vector<std::string>& hosts) {
  std::vector<LinkedControlHost> linked;
  linked.reserve(hosts.size());
  for (const std::string& host : hosts) linked.push_back({host, AddressOf(host), host.substr(2)});
  return linked;
}

// An entry host whose links come up as soon as they are wanted, unless the control process is down.
struct Host {
  ControlSourceSelector selector;
  std::set<std::string> down;
  std::set<std::string> unconfirming;  // linked as usual, but their reads fail
  std::vector<std::string> links;
  TimePoint now = kStart;
  int moves = 0;
  int opened = 0;  // links

  explicit Host(const std::string& name) : selector(name, "a") {
    selector.SetCandidates(Candidates());
  }

  void Step(Duration time = milliseconds(100)) {
    now += time;
    const std::set<std::string> wanted = selector.WantedAddresses(now);
    const std::vector<std::string> before = std::exchange(links, {});
    for (const std::string& host : kHosts) {
      if (wanted.count(AddressOf(host)) == 0 || down.count(host) > 0) continue;
      links.push_back(host);
      if (std::find(before.begin(), before.end(), host) == before.end()) ++opened;
    }
    selector.SetLinked(now, Linked(links));
    selector.CheckSource(now);
    const auto chosen = selector.Choose(now);
    if (!chosen || *chosen == selector.Source()) return;
    selector.OnFollowed(now, *chosen);
    ++moves;
  }
  // Steps during which the source sends its messages and all links are asked for reads.
  void Run(Duration time) {
    for (const TimePoint end = now + time; now < end;) {
      selector.OnHeard(now);
      for (const std::string& link : links) {
        if (unconfirming.count(link) > 0) {
          selector.OnReadFailed(now, link);
        } else {
          selector.OnConfirmed(now, link);
        }
      }
      Step();
    }
  }
  bool IsLinked(const std::string& host) const {
    return std::find(links.begin(), links.end(), host) != links.end();
  }
};

TEST_CASE("a host follows the control process of its zone and keeps one more link") {
  Host host("edge-1");
  host.Run(seconds(3));
  CHECK(host.selector.Source() == "c-a");
  CHECK(host.links.size() == kControlLinksPerHost);
  CHECK(host.moves <= 2);

  SUBCASE("when it is lost, the host follows the other link at once and opens one more") {
    const auto other = std::find_if(host.links.begin(), host.links.end(),
                                    [](const std::string& link) { return link != "c-a"; });
    const std::string next = *other;
    host.down.insert("c-a");
    host.Step();
    CHECK(host.selector.Source() == next);
    host.Run(kLinkUpTimeout + milliseconds(200));
    CHECK(host.links.size() == kControlLinksPerHost);

    SUBCASE("and goes back once it has been up for a while") {
      host.down.clear();
      host.Run(kSourceReturnDelay - milliseconds(500));
      CHECK(host.selector.Source() == next);
      host.Run(seconds(2));
      CHECK(host.selector.Source() == "c-a");
    }
  }
  // Guards against a host that stays with a frozen source: its link is up and carries nothing.
  SUBCASE("a silent source is left and not followed again as soon as it wakes") {
    const TimePoint silent_since = host.now;
    while (host.selector.Source() == "c-a" && host.now < silent_since + seconds(10)) host.Step();
    CHECK(host.now <= silent_since + kSourceSilenceTimeout + milliseconds(200));
    host.Run(kMinSourceCooldown - milliseconds(500));
    CHECK(host.selector.Source() != "c-a");
    host.Run(kSourceReturnDelay + seconds(2));
    CHECK(host.selector.Source() == "c-a");
  }
  // Guards against a link that is opened again as soon as it is closed, with a handshake each time.
  SUBCASE("the link to a source that has failed is not opened again during its pause") {
    const TimePoint silent_since = host.now;
    while (host.selector.Source() == "c-a" && host.now < silent_since + seconds(10)) host.Step();
    const int opened = host.opened;
    host.Run(kMinSourceCooldown - milliseconds(500));
    CHECK_FALSE(host.IsLinked("c-a"));
    CHECK(host.opened <= opened + 1);
  }
  // Guards against a host that follows a control process which is cut off from all others.
  SUBCASE("a source that confirms nothing is left if another control process does") {
    host.unconfirming.insert("c-a");
    host.Run(seconds(4));
    CHECK(host.selector.Source() != "c-a");
    // Guards against a host that returns to it, since it ranks first, before the cut has healed.
    host.Run(seconds(60));
    CHECK(host.selector.Source() != "c-a");
    host.unconfirming.clear();
    host.Run(kSourceReturnDelay + seconds(1));
    CHECK(host.selector.Source() == "c-a");
    CHECK(host.links.size() == kControlLinksPerHost);
  }
  // Guards against a host whose control processes are cut off from the others together. They cannot
  // be told from a log without a leader, so it needs a link to one more.
  SUBCASE(
      "while nobody confirms anything, the source is kept and one more link is added at a time") {
    host.unconfirming.insert(kHosts.begin(), kHosts.end());
    const int moves = host.moves;
    host.Run(kUnconfirmedLinksTimeout - milliseconds(200));
    CHECK(host.links.size() == kControlLinksPerHost);
    host.Run(kLinkSpread + milliseconds(400));
    CHECK(host.links.size() == kControlLinksPerHost + 1);
    // Guards against entry hosts that link all control processes, or go from one to the next, while
    // the whole log has no leader.
    host.Run(seconds(60));
    CHECK(host.links.size() == kHosts.size() / 2 + 1);
    CHECK(host.selector.Source() == "c-a");
    CHECK(host.moves == moves);
    host.unconfirming.clear();
    host.Run(seconds(1));
    CHECK(host.links.size() == kControlLinksPerHost);
  }
  SUBCASE("one late answer costs neither the source nor another link") {
    host.selector.OnReadFailed(host.now, "c-a");
    host.Run(milliseconds(100));
    const std::vector<std::string> links = host.links;
    host.Run(seconds(3));
    CHECK(host.links == links);
    CHECK(host.selector.Source() == "c-a");
  }
  // Guards against hosts that wander among control processes which are all too busy to send, and
  // add a fetch of everything at each of them.
  SUBCASE("when all are silent, the host moves less and less often") {
    const int before = host.moves;
    for (int i = 0; i < 600; ++i) host.Step();
    // In a minute each of five fails four times, after pauses of 4, 8, 16 and 32 s.
    CHECK(host.moves - before <= 20);
  }
}

// Guards against one control process that gets all hosts of another one that died.
TEST_CASE("the hosts of a lost control process are spread over the others") {
  std::map<std::string, int> followers;
  std::map<std::string, int> links;
  const int count = 300;
  for (int i = 0; i < count; ++i) {
    Host host("edge-" + std::to_string(i));
    host.down.insert("c-a");
    host.Run(seconds(3));
    ++followers[host.selector.Source()];
    for (const std::string& link : host.links) ++links[link];
  }
  for (const std::string host : {"c-b", "c-c", "c-d", "c-e"}) {
    CAPTURE(host);
    CHECK(followers[host] > count / 8);
    CHECK(followers[host] < count * 3 / 8);
    CHECK(links[host] < count * 5 / 8);
  }
}

// Guards against a host that cannot find control processes because it keeps few links.
TEST_CASE("a host without a link tries all candidates") {
  ControlSourceSelector selector("edge-1", "a");
  selector.SetCandidates(Candidates());
  CHECK(selector.WantedAddresses(kStart).size() == kHosts.size());
  CHECK_FALSE(selector.Choose(kStart));
}

}  // namespace
}  // namespace corneltray
