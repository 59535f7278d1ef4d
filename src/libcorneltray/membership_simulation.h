#ifndef CORNELTRAY_MEMBERSHIP_SIMULATION_H_
#define CORNELTRAY_MEMBERSHIP_SIMULATION_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "corneltray/membership.h"

// Used by the unit tests and by bench/.
namespace corneltray::membership_simulation {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct SimOptions {
  std::size_t zones = 3;
  std::size_t regions = 1;
  std::size_t hosts_per_zone = 5;
  std::size_t upstreams_per_zone = 15;
  std::size_t first_zone_upstreams = 0;  // if not 0, in place of upstreams_per_zone there
  double loss = 0.0;
  double duplication = 0.0;
  int max_delay_ms = 20;
};

struct SimUpstream {
  Announcement announcement;
  bool running = true;
  bool silent = false;
  std::size_t turn = 0;
  TimePoint left_at{};
};

struct SimHost {
  std::unique_ptr<MembershipTable> table;
  std::string zone;
  std::size_t region = 0;
  std::uint64_t incarnation = 1;
  std::size_t group = 0;  // hosts of different groups cannot reach each other
  std::uint64_t bytes = 0;
};

// Hosts and upstreams over a lossy network in virtual time.
class Sim {
 public:
  Sim(std::uint64_t seed, SimOptions options) : m_options(options), m_random(seed) {
    for (std::size_t z = 0; z < options.zones; ++z) {
      for (std::size_t i = 0; i < options.hosts_per_zone; ++i) {
        const std::string name = "host-" + std::to_string(z) + "-" + std::to_string(i);
        hosts[name].zone = Zone(z);
        m_zone_hosts[Zone(z)].push_back(name);
        hosts[name].region = z % options.regions;
        Start(name);
      }
      const bool special = z == 0 && options.first_zone_upstreams > 0;
      const std::size_t count = special ? options.first_zone_upstreams : options.upstreams_per_zone;
      for (std::size_t i = 0; i < count; ++i) AddUpstream(z, i);
    }
  }

  static std::string Zone(std::size_t z) { return "zone-" + std::to_string(z); }

  void Start(const std::string& name) {
    SimHost& host = hosts[name];
    HostInfo info;
    info.name = name;
    info.program = "corneltray-entry";
    info.region = "region-" + std::to_string(host.region);
    info.availability_zone = host.zone;
    info.peer_address = "10.0.0.1:7000";
    info.http_address = "10.0.0.1:8000";
    info.incarnation = ++host.incarnation;
    host.table = std::make_unique<MembershipTable>(now, info, &m_random);
    const MembershipTable* started = host.table.get();
    Every(name, started, kHeartbeatInterval, milliseconds(m_random() % 1000),
          [this, name] { Deliver(name, hosts[name].table->Heartbeat(now)); });
    Every(name, started, milliseconds(200), milliseconds(m_random() % 200),
          [this, name] { Deliver(name, hosts[name].table->Tick(now)); });
    HostInfo seed;
    seed.name = hosts.begin()->first;
    seed.incarnation = hosts.begin()->second.incarnation;
    if (seed.name != name) Deliver(name, host.table->HandlePeer(now, seed));
  }

  void Crash(const std::string& name) { hosts[name].table.reset(); }

  void AddUpstream(std::size_t z, std::size_t i) {
    const std::string name = "up-" + std::to_string(z) + "-" + std::to_string(i);
    Announcement a;
    a.name = name;
    a.kind = i % 8 == 7 ? UpstreamKind::kService : UpstreamKind::kEngine;
    a.service = i % 8 == 7 ? "ledger" : "";
    a.incarnation = 1000;
    a.availability_zone = Zone(z);
    a.address = "10.1." + std::to_string(z) + "." + std::to_string(i) + ":9000";
    a.accelerator = "a";
    a.memory_bytes = 1 << 30;
    a.layers_per_s = 1000;
    a.holdings = {{{"assistant", "1", ""}, 0, static_cast<std::uint32_t>(i), HoldingState::kReady}};
    upstreams[name] = {a, true, false, m_random(), {}};
    ScheduleAnnouncement(name, milliseconds(m_random() % 1000));
  }

  void ScheduleAnnouncement(const std::string& name, Duration after) {
    At(now + after, [this, name] {
      Announce(name);
      ScheduleAnnouncement(name, seconds(1));
    });
  }

  void Announce(const std::string& name) {
    SimUpstream& up = upstreams[name];
    if (!up.running || up.silent) return;
    ++up.announcement.sequence;
    const std::vector<std::string>& zone_hosts = m_zone_hosts[up.announcement.availability_zone];
    // A refused connection makes the upstream try the next process of its list.
    for (std::size_t tries = 0; tries < zone_hosts.size(); ++tries) {
      const std::string& target = zone_hosts[up.turn++ % zone_hosts.size()];
      if (!hosts[target].table) continue;
      Deliver(target, hosts[target].table->HandleAnnouncement(now, up.announcement));
      return;
    }
  }

  void Deliver(const std::string& from, const MembershipOutput& out) {
    for (const MembershipEvent& event : out.events) events[from].push_back(event);
    for (const GossipMessage& message : out.messages) {
      const std::size_t bytes = nlohmann::json::to_cbor(message.body).size();
      largest = std::max(largest, bytes);
      hosts[from].bytes += bytes;
      const std::size_t copies = Chance(m_options.duplication) ? 2 : 1;
      for (std::size_t c = 0; c < copies; ++c) {
        if (Chance(m_options.loss)) continue;
        const auto delay = milliseconds(1 + m_random() % m_options.max_delay_ms);
        const auto sent = std::make_shared<GossipMessage>(message);
        At(now + delay, [this, from, sent] { Receive(from, *sent); });
      }
    }
  }

  void Receive(const std::string& from, const GossipMessage& message) {
    const auto it = hosts.find(message.target_host);
    if (it == hosts.end() || !it->second.table || it->second.group != hosts[from].group) return;
    Deliver(it->first, it->second.table->HandleGossip(now, from, message.body));
  }

  void Every(const std::string& name, const MembershipTable* table, Duration interval,
             Duration first, const std::function<void()>& action) {
    At(now + first, [=] {
      if (hosts[name].table.get() != table) return;
      action();
      Every(name, table, interval, interval, action);
    });
  }

  void At(TimePoint when, std::function<void()> action) {
    m_queue.emplace(when, ++m_order, std::move(action));
  }

  void Run(Duration duration) {
    const TimePoint end = now + duration;
    while (!m_queue.empty() && std::get<0>(m_queue.top()) <= end) {
      now = std::get<0>(m_queue.top());
      const auto action = std::get<2>(m_queue.top());
      m_queue.pop();
      action();
    }
    now = end;
  }

  bool Chance(double p) { return std::uniform_real_distribution<>(0, 1)(m_random) < p; }

  // What one host believes, in a form that can be compared.
  std::string Beliefs(const std::string& host) {
    std::string out;
    for (const UpstreamView& view : hosts[host].table->Upstreams(now)) {
      out += view.announcement.name + "/" + std::to_string(view.announcement.incarnation) + "/" +
             std::string(NameOf(view.status)) + "/" +
             std::to_string(view.announcement.holdings.size()) + "\n";
    }
    for (const HostView& view : hosts[host].table->Hosts()) {
      out += view.info.name + "/" + std::to_string(view.info.incarnation) + "/" +
             std::string(NameOf(view.liveness)) + "\n";
    }
    return out;
  }

  // What every host should believe.
  std::string Truth() {
    std::string out;
    for (const auto& [name, up] : upstreams) {
      if (!up.running) continue;
      const bool leaving = up.announcement.state == UpstreamState::kLeaving;
      out += name + "/" + std::to_string(up.announcement.incarnation) + "/" +
             (leaving ? "leaving" : "ready") + "/" +
             std::to_string(up.announcement.holdings.size()) + "\n";
    }
    for (const auto& [name, host] : hosts) {
      out += name + "/" + std::to_string(host.incarnation) + "/" +
             (host.table ? "alive" : "failed") + "\n";
    }
    return out;
  }

  // Returns the number of hosts that are wrong, and sets `first_wrong` to what the first one gets
  // wrong.
  std::size_t HostsThatDisagree() {
    std::size_t count = 0;
    for (const auto& [name, host] : hosts) {
      if (!host.table || Beliefs(name) == Truth()) continue;
      if (count++ == 0) first_wrong = name + ":\n" + Difference(Beliefs(name), Truth());
    }
    return count;
  }

  static std::string Difference(const std::string& believed, const std::string& truth) {
    std::istringstream believed_lines(believed);
    std::istringstream true_lines(truth);
    std::set<std::string> lines;
    std::string line;
    while (std::getline(believed_lines, line)) lines.insert("- " + line);
    while (std::getline(true_lines, line)) {
      if (lines.erase("- " + line) == 0) lines.insert("+ " + line);
    }
    std::string out;
    for (const std::string& each : lines) out += each + "\n";
    return out;
  }

  std::size_t HostsThatUse(const std::string& upstream) {
    std::size_t count = 0;
    for (const auto& [name, host] : hosts) {
      if (!host.table) continue;
      const auto view = host.table->FindUpstream(upstream);
      count += view && view->status != UpstreamStatus::kLeaving &&
               view->announcement.incarnation == upstreams[upstream].announcement.incarnation;
    }
    return count;
  }

  std::string PickUpstream() {
    return std::next(upstreams.begin(), static_cast<std::ptrdiff_t>(m_random() % upstreams.size()))
        ->first;
  }
  std::string PickHost() {
    return std::next(hosts.begin(), static_cast<std::ptrdiff_t>(m_random() % hosts.size()))->first;
  }
  std::size_t Random(std::size_t n) { return m_random() % n; }

  TimePoint now{std::chrono::hours(1000)};
  std::map<std::string, SimHost> hosts;
  std::map<std::string, SimUpstream> upstreams;
  std::map<std::string, std::vector<MembershipEvent>> events;
  std::size_t largest = 0;
  std::string first_wrong;
  SimOptions m_options;

 private:
  using Item = std::tuple<TimePoint, std::uint64_t, std::function<void()>>;
  struct Later {
    bool operator()(const Item& a, const Item& b) const {
      return std::tie(std::get<0>(a), std::get<1>(a)) > std::tie(std::get<0>(b), std::get<1>(b));
    }
  };
  std::priority_queue<Item, std::vector<Item>, Later> m_queue;
  std::map<std::string, std::vector<std::string>> m_zone_hosts;
  std::uint64_t m_order = 0;
  std::mt19937_64 m_random;
};

}  // namespace corneltray::membership_simulation

#endif  // CORNELTRAY_MEMBERSHIP_SIMULATION_H_
