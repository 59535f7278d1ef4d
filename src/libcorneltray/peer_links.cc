// Links of PeerLoop: opening, authentication, liveness and the choice of the link in use.
#include <algorithm>
#include <utility>

#include "corneltray/log.h"
#include "peer_loop.h"

namespace corneltray {
namespace {

constexpr std::size_t kNonceBytes = 16;

}  // namespace

PeerLoop::Link* PeerLoop::FindLink(LinkId id) {
  const auto found = m_links.find(id);
  return found == m_links.end() ? nullptr : &found->second;
}

PeerLoop::Link* PeerLoop::ActiveLink(const std::string& host) {
  const auto peer = m_peers.find(host);
  return peer == m_peers.end() ? nullptr : FindLink(peer->second.active);
}

LinkId PeerLoop::Dial(const std::string& address, bool replaces) {
  const LinkId id = m_transport.Dial(address);
  if (id == 0) return 0;
  Link& link = m_links[id];
  link.id = id;
  link.opened_here = true;
  link.address = address;
  link.opened_at = Clock::now();
  link.replaces = replaces;
  return id;
}

void PeerLoop::OnOpen(LinkId id, bool opened_here) {
  const TimePoint now = Clock::now();
  Link& link = m_links[id];
  link.id = id;
  link.opened_here = opened_here;
  link.opened_at = link.last_received = link.last_sent = now;
  PeerHello hello{m_options.identity, m_options.advertise_address, link.replaces};
  if (hello.address.empty()) hello.address = m_transport.BoundAddress();
  link.session.emplace(hello, m_options.shared_key, opened_here, RandomBytes(kNonceBytes));
  const std::string& frame = link.session->HelloFrame();
  m_counters.bytes_sent += frame.size();
  if (!m_transport.Send(id, frame)) CloseLink(id, true);
}

void PeerLoop::OnFrame(LinkId id, const std::string& frame) {
  Link* link = FindLink(id);
  if (link == nullptr || !link->session) return;
  m_counters.bytes_received += frame.size();
  if (frame.size() > kMaxFrameBytes) {
    ++m_counters.oversized;
    return;
  }
  SessionInput input = link->session->Receive(frame);
  switch (input.event) {
    case SessionEvent::kMalformed:
      ++m_counters.malformed;
      break;
    case SessionEvent::kReplayed:
      ++m_counters.replayed;
      break;
    case SessionEvent::kUnauthenticated:
      ++m_counters.unauthenticated;
      // Before the proof there is nothing to keep the link for.
      if (!link->Established()) CloseLink(id, false);
      break;
    case SessionEvent::kHello:
      m_counters.bytes_sent += input.reply.size();
      if (!m_transport.Send(id, input.reply)) CloseLink(id, true);
      break;
    case SessionEvent::kEstablished:
      link->last_received = Clock::now();
      OnEstablished(link);
      break;
    case SessionEvent::kMessage:
      // Only authentic frames keep a link alive.
      link->last_received = Clock::now();
      OnMessage(link, std::move(input.message), frame.size());
      break;
  }
}

void PeerLoop::OnEstablished(Link* link) {
  const PeerHello& hello = link->session->Peer();
  const std::string& host = hello.identity.host;
  const auto target = m_targets.find(link->address);
  if (host == m_options.identity.host) {
    // A seed list may contain the own address. Another process under this name is refused: two
    // senders that look alike would break every per-host rule.
    if (hello.identity.incarnation == m_options.identity.incarnation) {
      if (target != m_targets.end()) target->second.self = true;
    } else {
      LogEvent(LogLevel::kError, "peer_refused",
               {{"reason", "another process uses the name of this host"},
                {"peer_address", hello.address}});
    }
    CloseLink(link->id, false);
    return;
  }
  if (target != m_targets.end()) {
    target->second.host = host;
    target->second.delay = kMinRedialDelay;
  }
  Peer& peer = m_peers[host];
  const std::uint64_t known_incarnation = peer.identity.incarnation;
  // An incarnation is a time of start. Without a link to the known process, a lower one may be that
  // of a restart after the clock was stepped back.
  if (hello.identity.incarnation < known_incarnation && FindLink(peer.active) != nullptr) {
    LogEvent(LogLevel::kWarning, "peer_refused",
             {{"reason", "a later process of the host is linked"},
              {"peer_address", hello.address},
              {"incarnation", hello.identity.incarnation},
              {"linked_incarnation", known_incarnation}});
    CloseLink(link->id, false);
    return;
  }
  if (hello.identity.incarnation != known_incarnation) {
    std::vector<LinkId> older;
    for (const auto& [id, other] : m_links) {
      if (id != link->id && other.Established() && other.session->Peer().identity.host == host) {
        older.push_back(id);
      }
    }
    peer.active = 0;
    peer.replies = {};
    // The old process may have run them, and the new one does not know: its answer to a second copy
    // would say nothing about the first.
    FailRequests(host, PeerErrc::kNotConnected);
    for (const LinkId id : older) CloseLink(id, true);
  }
  peer.identity = hello.identity;
  peer.address = hello.address;
  SelectLink(&peer, link);
}

// Of two live links between the same processes both sides keep the one that the process with the
// lower host name opened, or the later one if one process opened both.
void PeerLoop::SelectLink(Peer* peer, Link* fresh) {
  const TimePoint now = Clock::now();
  Link* active = FindLink(peer->active);
  if (active == nullptr) {
    UseLink(peer, fresh);
    return;
  }
  const bool silent = now - active->last_received > kSuspectAfter;
  // Both sides may replace a silent link at the same moment. A link that is younger than the time
  // to suspicion is the other side's replacement and not the one that went silent.
  const bool aged = now - active->opened_at > kSuspectAfter;
  if (silent || (aged && fresh->session->Peer().replaces)) {
    const LinkId old = active->id;
    ++m_counters.links_replaced;
    UseLink(peer, fresh);
    CloseLink(old, true);
    return;
  }
  const bool here_preferred = m_options.identity.host < peer->identity.host;
  const bool fresh_wins =
      fresh->opened_here == active->opened_here || fresh->opened_here == here_preferred;
  (fresh_wins ? active : fresh)->retire_at = now + kRetireDelay;
  if (fresh_wins) UseLink(peer, fresh);
}

void PeerLoop::UseLink(Peer* peer, Link* link) {
  peer->active = link->id;
  link->retire_at.reset();
  PublishPeers();
  ResendRequests(peer->identity.host, link);
}

void PeerLoop::OnClose(LinkId id) { ForgetLink(id); }

void PeerLoop::CloseLink(LinkId id, bool at_once) {
  m_transport.Close(id, at_once);
  ForgetLink(id);
}

void PeerLoop::ForgetLink(LinkId id) {
  const auto found = m_links.find(id);
  if (found == m_links.end()) return;
  const Link link = std::move(found->second);
  m_links.erase(found);
  const TimePoint now = Clock::now();
  const auto target = m_targets.find(link.address);
  if (target != m_targets.end() && target->second.dialling == id) {
    Target& t = target->second;
    t.dialling = 0;
    std::uniform_int_distribution<int> jitter(50, 100);
    t.next_dial = now + t.delay * jitter(m_random) / 100;
    t.delay = std::min(t.delay * 2, kMaxRedialDelay);
  }
  if (!link.Established()) return;
  const auto peer = m_peers.find(link.session->Peer().identity.host);
  if (peer == m_peers.end() || peer->second.active != id) return;
  peer->second.active = 0;
  peer->second.lost_at = now;
  Link* other = nullptr;
  for (auto& [other_id, candidate] : m_links) {
    if (candidate.Established() &&
        candidate.session->Peer().identity.host == peer->second.identity.host) {
      other = &candidate;
    }
  }
  if (other != nullptr) {
    UseLink(&peer->second, other);
  } else {
    PublishPeers();
  }
}

void PeerLoop::Tick() {
  const TimePoint now = Clock::now();
  TickLinks(now);
  TickPeers(now);
  TickTargets(now);
  LogMessageCounters(now);
  m_tick_timer = m_transport.StartTimer(now + kTickInterval, [this] { Tick(); });
}

void PeerLoop::TickLinks(TimePoint now) {
  static const std::string heartbeat = EncodePeerMessage({MessageType::kHeartbeat, 0, 0, {}});
  std::vector<LinkId> dead;
  std::vector<LinkId> retired;
  for (auto& [id, link] : m_links) {
    if (!link.Established()) {
      if (now - link.opened_at > kHelloDeadline) dead.push_back(id);
      continue;
    }
    if (now - link.last_received > kDeadLinkDeadline) {
      dead.push_back(id);
    } else if (link.retire_at && now >= *link.retire_at) {
      retired.push_back(id);
    } else if (now - link.last_sent >= kHeartbeatInterval) {
      SendPayload(&link, heartbeat);
    }
  }
  for (const LinkId id : dead) CloseLink(id, true);
  for (const LinkId id : retired) CloseLink(id, false);
}

void PeerLoop::TickPeers(TimePoint now) {
  for (auto entry = m_peers.begin(); entry != m_peers.end();) {
    const auto current = entry++;
    Peer& peer = current->second;
    const Link* active = FindLink(peer.active);
    if (active == nullptr) {
      if (now - peer.lost_at > kDeadLinkDeadline) {
        FailRequests(current->first, PeerErrc::kNotConnected);
      }
      if (now - peer.lost_at > kForgetPeerAfter) {
        m_peers.erase(current);
        PublishPeers();
      }
      continue;
    }
    if (now - active->last_received > kSuspectAfter && now >= peer.next_dial) {
      // The fresh link races the suspect one; SelectLink uses the first that answers.
      peer.next_dial = now + kHeartbeatInterval;
      Dial(peer.address, true);
    }
  }
}

void PeerLoop::TickTargets(TimePoint now) {
  for (auto& entry : m_targets) {
    const std::string& address = entry.first;
    Target& target = entry.second;
    if (target.self || target.dialling != 0 || now < target.next_dial) continue;
    if (!target.host.empty() && ActiveLink(target.host) != nullptr) continue;
    const bool connected = std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
      return peer.second.active != 0 && peer.second.address == address;
    });
    if (connected) continue;
    target.dialling = Dial(address, false);
    if (target.dialling == 0) target.next_dial = now + kMaxRedialDelay;
  }
}

bool PeerLoop::SendPayload(Link* link, const std::string& payload) {
  const std::string frame = link->session->Seal(payload);
  m_counters.bytes_sent += frame.size();
  link->last_sent = Clock::now();
  return m_transport.Send(link->id, frame);
}

void PeerLoop::PublishPeers() {
  std::vector<PeerStatus> published;
  published.reserve(m_peers.size());
  for (const auto& [host, peer] : m_peers) {
    published.push_back({peer.identity, peer.address, peer.active != 0});
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_published = std::move(published);
}

}  // namespace corneltray
