#include "corneltray/upstream_subscription.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "corneltray/control_client.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kFetchTimeout{1000};
constexpr std::chrono::milliseconds kRefetchDelay{300};

}  // namespace

UpstreamSubscription::UpstreamSubscription(asio::io_context* io, PeerNode* node, HostLocation self,
                                           UpdateHandler on_updates)
    : m_io(io),
      m_node(node),
      m_self(std::move(self)),
      m_on_updates(std::move(on_updates)),
      m_selector(m_self.name, m_self.availability_zone) {}

void UpstreamSubscription::Register() {
  m_node->SetPushHandler(
      MessageType::kUpstreamUpdates, [this](const PeerIdentity& from, const json& body) {
        auto updates = DecodeUpstreamUpdates(body);
        if (!updates) return;
        asio::post(*m_io, [this, host = from.host, updates = std::move(updates).value()] {
          OnMessage(host, updates);
        });
      });
  m_node->SetRequestHandler(
      MessageType::kUpstreamUpdates,
      [this](const PeerIdentity& from, const json& body, const PeerNode::Responder& respond) {
        auto updates = DecodeUpstreamUpdates(body);
        if (!updates) return respond(updates.error());
        asio::post(*m_io, [this, host = from.host, updates = std::move(updates).value(), respond] {
          OnMessage(host, updates);
          respond(json::object());
        });
      });
}

void UpstreamSubscription::SetSeeds(const std::vector<std::string>& seeds) {
  m_seeds = {seeds.begin(), seeds.end()};
  UpdateCandidates();
}

void UpstreamSubscription::SetMembers(const std::vector<ControlHost>& members) {
  m_members = members;
  m_discovered.clear();
  UpdateCandidates();
}

void UpstreamSubscription::AddDiscovered(const std::string& address) {
  if (m_discovered.insert(address).second) UpdateCandidates();
}

// Once the members are known, seeds are only used while no control process is linked: a seed may be
// a former member, or no control process at all.
void UpstreamSubscription::UpdateCandidates() {
  std::map<std::string, std::string> zones;
  if (m_members.empty() || m_linked.empty()) {
    for (const std::string& seed : m_seeds) zones[seed];
  }
  for (const std::string& address : m_discovered) zones[address];
  for (const ControlHost& member : m_members) zones[member.address] = member.availability_zone;
  std::vector<ControlHost> candidates;
  candidates.reserve(zones.size());
  for (const auto& [address, zone] : zones) candidates.push_back({address, zone});
  m_selector.SetCandidates(candidates);
}

void UpstreamSubscription::Check(TimePoint now) {
  const bool had_links = HasLinks();
  UpdateLinks(now);
  if (had_links != HasLinks()) UpdateCandidates();
  const std::string source = m_selector.Source();
  if (const auto failure = m_selector.CheckSource(now)) {
    LogEvent(LogLevel::kWarning, "control_source_failed",
             {{"control_host", source}, {"reason", NameOf(*failure)}});
  }
  UpdateConnections(now);
  if (m_is_fetching || now < m_next_fetch_at) return;
  const auto chosen = m_selector.Choose(now);
  if (chosen && (*chosen != m_selector.Source() || m_needs_fetch)) Follow(*chosen);
}

void UpstreamSubscription::UpdateConnections(TimePoint now) {
  const std::size_t needed = m_selector.NeededLinks(now);
  if (needed > m_needed_links) {
    LogEvent(LogLevel::kWarning, "control_hosts_unconfirmed", {{"links_needed", needed}});
  }
  m_needed_links = needed;
  const std::set<std::string> wanted = m_selector.WantedAddresses(now);
  for (const std::string& address : wanted) {
    if (m_connected_addresses.count(address) == 0) m_node->Connect(address);
  }
  for (const std::string& address : m_connected_addresses) {
    if (wanted.count(address) == 0) m_node->Disconnect(address);
  }
  m_connected_addresses = wanted;
}

void UpstreamSubscription::UpdateLinks(TimePoint now) {
  std::map<std::string, std::uint64_t> incarnations;
  m_linked.clear();
  for (const PeerStatus& peer : m_node->ConnectedPeers(kControlProgram)) {
    const PeerIdentity& identity = peer.identity;
    m_linked.push_back({identity.host, peer.address, identity.availability_zone});
    incarnations[identity.host] = identity.incarnation;
    const auto known = m_incarnations.find(identity.host);
    if (known != m_incarnations.end() && known->second == identity.incarnation) continue;
    LogEvent(LogLevel::kInfo, "control_link_up",
             {{"control_host", identity.host}, {"incarnation", identity.incarnation}});
    // A process that has restarted does not know its followers.
    if (identity.host == m_selector.Source()) m_needs_fetch = true;
  }
  for (const auto& [host, incarnation] : m_incarnations) {
    if (incarnations.count(host) > 0) continue;
    LogEvent(LogLevel::kWarning, "control_link_lost",
             {{"control_host", host}, {"was_source", host == m_selector.Source()}});
  }
  m_incarnations = std::move(incarnations);
  m_selector.SetLinked(now, m_linked);
}

void UpstreamSubscription::Follow(const std::string& host) {
  m_is_fetching = true;
  m_needs_fetch = false;
  m_node->Request(
      host, MessageType::kUpstreamFetch, {{"follow", true}}, Clock::now() + kFetchTimeout,
      [this, host](const Result<json>& reply) {
        auto fetched =
            reply ? DecodeUpstreamUpdates(reply.value()) : Result<UpstreamUpdates>(reply.error());
        asio::post(*m_io, [this, host, fetched = std::move(fetched)] { OnFetched(host, fetched); });
      });
}

void UpstreamSubscription::OnFetched(const std::string& host,
                                     const Result<UpstreamUpdates>& fetched) {
  m_is_fetching = false;
  const TimePoint now = Clock::now();
  if (!fetched || !fetched.value().position) {
    const std::string reason = fetched ? "no position" : fetched.error().ToString();
    LogEvent(LogLevel::kWarning, "upstream_fetch_failed",
             {{"control_host", host}, {"reason", reason}});
    m_selector.OnFetchFailed(now, host);
    m_next_fetch_at = now + kRefetchDelay;
    // The source is asked again if it is still the best one.
    m_needs_fetch = host == m_selector.Source();
    return;
  }
  const std::string previous = m_selector.Source();
  m_selector.OnFollowed(now, host);
  m_cursor.Follow(host, *fetched.value().position);
  m_on_updates(fetched.value());
  if (previous == host) return;
  LogEvent(LogLevel::kInfo, "control_source_followed",
           {{"control_host", host},
            {"previous", previous},
            {"upstreams", fetched.value().updates.size()}});
  if (!previous.empty()) Unfollow(previous);
}

void UpstreamSubscription::Unfollow(const std::string& host) const {
  m_node->Send(host, MessageType::kUpstreamUnfollow, json::object());
}

void UpstreamSubscription::OnMessage(const std::string& from, UpstreamUpdates updates) {
  const FeedOrder order = m_cursor.Accept(from, &updates);
  m_on_updates(updates);
  if (from == m_selector.Source()) m_selector.OnHeard(Clock::now());
  if (order == FeedOrder::kInOrder) return;
  // A former source has not received the message that this host has left it.
  if (order == FeedOrder::kForeign) return Unfollow(from);
  LogEvent(LogLevel::kWarning, "upstream_updates_missing", {{"control_host", from}});
  m_needs_fetch = true;
}

void UpstreamSubscription::OnConfirmed(TimePoint now, const std::string& host) {
  m_selector.OnConfirmed(now, host);
  if (m_known_cut_off.erase(host) == 0) return;
  LogEvent(LogLevel::kInfo, "control_host_confirms", {{"control_host", host}});
}

void UpstreamSubscription::OnReadFailed(TimePoint now, const std::string& host) {
  m_selector.OnReadFailed(now, host);
}

std::optional<std::string> UpstreamSubscription::NextProbe(TimePoint now) {
  auto host = m_selector.NextProbe(now);
  if (host && m_known_cut_off.insert(*host).second) {
    LogEvent(LogLevel::kWarning, "control_host_cut_off", {{"control_host", *host}});
  }
  return host;
}

std::vector<ControlCandidate> UpstreamSubscription::Candidates() const {
  std::vector<ControlCandidate> candidates;
  candidates.reserve(m_linked.size());
  for (const LinkedControlHost& control : m_linked) {
    const bool is_local = control.availability_zone == m_self.availability_zone;
    const bool is_source = control.host == m_selector.Source();
    candidates.push_back({control.host, is_local, is_source, m_selector.IsCutOff(control.host)});
  }
  return candidates;
}

bool UpstreamSubscription::SendToSource(MessageType type, const json& body) const {
  if (m_selector.Source().empty()) return false;
  m_node->Send(m_selector.Source(), type, body);
  return true;
}

void UpstreamSubscription::SendToAll(MessageType type, const json& body) const {
  std::vector<std::string> hosts;
  hosts.reserve(m_linked.size());
  for (const LinkedControlHost& control : m_linked) hosts.push_back(control.host);
  m_node->Broadcast(std::move(hosts), type, body);
}

}  // namespace corneltray
