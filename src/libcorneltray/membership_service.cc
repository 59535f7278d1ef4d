#include "corneltray/membership_service.h"

#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <utility>

#include "corneltray/peer.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

// MembershipTable wants its deadlines applied at least five times a second.
constexpr milliseconds kTickInterval{100};

}  // namespace

class MembershipService::Impl : public std::enable_shared_from_this<Impl> {
 public:
  explicit Impl(PeerNode* node) : m_node(node), m_random(std::random_device{}()) {}

  void SetChangeCallback(ChangeCallback callback) { m_on_change = std::move(callback); }

  void Register() {
    m_node->SetPushHandler(
        MessageType::kGossip,
        [weak = weak_from_this()](const PeerIdentity& from, const nlohmann::json& body) {
          const auto self = weak.lock();
          if (!self) return;
          self->Apply([&](MembershipTable* table) {
            return table->HandleGossip(Clock::now(), from.host, body);
          });
        });
  }

  void Start(HostInfo self, const std::vector<std::string>& seeds) {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_own_peer_address = self.peer_address;
      m_table.emplace(Clock::now(), std::move(self), &m_random);
    }
    for (const std::string& seed : seeds) m_node->Connect(seed);
    m_seeds.insert(seeds.begin(), seeds.end());
    m_heartbeat_at = Clock::now();
    m_node->Post([weak = weak_from_this()] {
      if (const auto own = weak.lock()) own->Tick();
    });
  }

  // Runs one call on the table, then sends what it returned and reports its events.
  template <class Function>
  void Apply(Function function) {
    MembershipOutput output;
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      if (!m_table) return;
      output = function(&*m_table);
    }
    for (GossipMessage& message : output.messages) {
      m_node->Send(message.target_host, MessageType::kGossip, std::move(message.body));
    }
    if (!output.events.empty() && m_on_change) m_on_change(output.events);
  }

  template <class Function>
  auto Read(Function function) const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    using Value = decltype(function(*m_table));
    return m_table ? function(*m_table) : Value{};
  }

 private:
  void Tick() {
    const TimePoint now = Clock::now();
    GreetPeers(now);
    Apply([now](MembershipTable* table) { return table->Tick(now); });
    if (now >= m_heartbeat_at) {
      m_heartbeat_at = now + kHeartbeatInterval;
      Apply([now](MembershipTable* table) { return table->Heartbeat(now); });
      ConnectHosts();
    }
    m_node->RunAt(now + kTickInterval, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Tick();
    });
  }

  // Tells the table about every process with a new link.
  void GreetPeers(TimePoint now) {
    std::map<std::string, std::uint64_t> connected;
    for (const PeerStatus& peer : m_node->Peers()) {
      if (!peer.connected || peer.identity.host.empty()) continue;
      connected[peer.identity.host] = peer.identity.incarnation;
      const auto greeted = m_greeted.find(peer.identity.host);
      if (greeted != m_greeted.end() && greeted->second == peer.identity.incarnation) continue;
      HostInfo info;
      info.name = peer.identity.host;
      info.program = peer.identity.program;
      info.region = peer.identity.region;
      info.availability_zone = peer.identity.availability_zone;
      info.incarnation = peer.identity.incarnation;
      info.peer_address = peer.address;
      Apply([&](MembershipTable* table) { return table->HandlePeer(now, info); });
    }
    // A link that is lost and opened again is greeted again.
    m_greeted = std::move(connected);
  }

  // Keeps links to the hosts that were learnt by gossip until the table forgets them. A failed host
  // is still dialled for as long, because it may be behind a partition that heals; later its
  // address is given up, because a host that was replaced does not come back under it.
  void ConnectHosts() {
    std::set<std::string> wanted;
    for (const HostView& host : Read([](const MembershipTable& table) { return table.Hosts(); })) {
      const std::string& address = host.info.peer_address;
      if (address.empty() || address == m_own_peer_address || m_seeds.count(address) > 0) continue;
      const bool known = m_connected.count(address) > 0;
      if (!known && host.liveness == HostLiveness::kFailed) continue;
      wanted.insert(address);
      if (!known) m_node->Connect(address);
    }
    for (const std::string& address : m_connected) {
      if (wanted.count(address) == 0) m_node->Forget(address);
    }
    m_connected = std::move(wanted);
  }

  PeerNode* m_node;
  std::mt19937_64 m_random;
  ChangeCallback m_on_change;
  mutable std::mutex m_mutex;
  std::optional<MembershipTable> m_table;  // from Start on
  std::string m_own_peer_address;
  std::set<std::string> m_seeds;  // kept whatever happens, set by Start
  // Used on the I/O thread only.
  TimePoint m_heartbeat_at{};
  std::map<std::string, std::uint64_t> m_greeted;
  std::set<std::string> m_connected;  // learnt addresses that links are kept to
};

MembershipService::MembershipService(PeerNode* node) : m_impl(std::make_shared<Impl>(node)) {}
MembershipService::~MembershipService() = default;

void MembershipService::SetChangeCallback(ChangeCallback callback) {
  m_impl->SetChangeCallback(std::move(callback));
}
void MembershipService::Register() { m_impl->Register(); }
void MembershipService::Start(HostInfo self, const std::vector<std::string>& seeds) {
  m_impl->Start(std::move(self), seeds);
}

void MembershipService::Announce(const Announcement& announcement) {
  m_impl->Apply([&](MembershipTable* table) {
    return table->HandleAnnouncement(Clock::now(), announcement);
  });
}

void MembershipService::SetConfigurationRevision(std::uint64_t revision) {
  m_impl->Apply([&](MembershipTable* table) {
    table->SetConfigurationRevision(revision);
    return MembershipOutput{};
  });
}

void MembershipService::SetFence(std::uint64_t fence) {
  m_impl->Apply([&](MembershipTable* table) {
    table->SetFence(fence);
    return MembershipOutput{};
  });
}

void MembershipService::SetDemand(const std::map<std::string, double>& requests_per_s) {
  m_impl->Apply([&](MembershipTable* table) {
    table->SetDemand(requests_per_s);
    return MembershipOutput{};
  });
}

void MembershipService::SetLeaving() {
  m_impl->Apply([](MembershipTable* table) { return table->SetLeaving(Clock::now()); });
}

std::vector<HostView> MembershipService::Hosts() const {
  return m_impl->Read([](const MembershipTable& table) { return table.Hosts(); });
}
std::vector<UpstreamView> MembershipService::Upstreams() const {
  return m_impl->Read([](const MembershipTable& table) { return table.Upstreams(Clock::now()); });
}
std::uint64_t MembershipService::UpstreamVersion() const {
  return m_impl->Read([](const MembershipTable& table) { return table.UpstreamVersion(); });
}
std::uint64_t MembershipService::GreatestRevision() const {
  return m_impl->Read([](const MembershipTable& table) { return table.GreatestRevision(); });
}
std::uint64_t MembershipService::GreatestFence() const {
  return m_impl->Read([](const MembershipTable& table) { return table.GreatestFence(); });
}
std::vector<std::string> MembershipService::AnnounceTo() const {
  return m_impl->Read([](const MembershipTable& table) { return table.AnnounceTo(); });
}
std::uint64_t MembershipService::MalformedCount() const {
  return m_impl->Read([](const MembershipTable& table) { return table.MalformedCount(); });
}

}  // namespace corneltray
