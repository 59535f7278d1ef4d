#include "corneltray/upstream_distributor.h"

#include <asio/post.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

#include "corneltray/control_client.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

using nlohmann::json;

// Upstreams time out a call after one second.
constexpr std::chrono::milliseconds kDepartureTimeout{600};
// Shorter, so that the answer of a control process whose hosts do not all answer still counts.
constexpr std::chrono::milliseconds kRelayedDepartureTimeout{450};
// How long an encoded table is used while upstreams only repeat their announcements. Hosts get the
// newer sequences with the next refresh.
constexpr std::chrono::milliseconds kEncodedTableLifetime{500};

void LogMalformed(const PeerIdentity& from, MessageType type, const Error& error) {
  LogEvent(LogLevel::kWarning, "message_refused",
           {{"of", from.host}, {"type", NameOf(type)}, {"error", error.ToString()}});
}

bool IsNew(UpdateResult result) {
  return result == UpdateResult::kNew || result == UpdateResult::kChanged;
}

}  // namespace

struct UpstreamDistributor::Acknowledgements {
  std::size_t missing = 1;  // one for the caller, until all requests are sent
  bool all_acknowledged = true;
  std::function<void(bool all)> done;

  void Complete(bool is_acknowledged) {
    all_acknowledged = all_acknowledged && is_acknowledged;
    if (--missing == 0) done(all_acknowledged);
  }
};

UpstreamDistributor::UpstreamDistributor(Options options)
    : m_options(std::move(options)), m_feed(m_options.epoch), m_flush_timer(*m_options.io) {}

void UpstreamDistributor::Register() {
  m_options.node->SetPushHandler(
      MessageType::kUpstreamUpdates, [this](const PeerIdentity& from, const json& body) {
        auto updates = DecodeUpstreamUpdates(body);
        if (!updates) return LogMalformed(from, MessageType::kUpstreamUpdates, updates.error());
        asio::post(*m_options.io, [this, host = from.host, updates = std::move(updates).value()] {
          OnMessage(host, updates);
        });
      });
  m_options.node->SetRequestHandler(
      MessageType::kUpstreamUpdates,
      [this](const PeerIdentity& from, const json& body, const PeerNode::Responder& respond) {
        auto updates = DecodeUpstreamUpdates(body);
        if (!updates) {
          LogMalformed(from, MessageType::kUpstreamUpdates, updates.error());
          return respond(updates.error());
        }
        asio::post(*m_options.io,
                   [this, host = from.host, updates = std::move(updates).value(), respond] {
                     OnDeparture(host, updates, [respond] { respond(json::object()); });
                   });
      });
  m_options.node->SetRequestHandler(
      MessageType::kUpstreamFetch,
      [this](const PeerIdentity& from, const json& body, const PeerNode::Responder& respond) {
        const bool follows = body.value("follow", false) && from.program != kControlProgram;
        asio::post(*m_options.io,
                   [this, from, follows, respond] { OnFetch(from, follows, respond); });
      });
  m_options.node->SetPushHandler(
      MessageType::kEngineHealth, [this](const PeerIdentity& from, const json& body) {
        auto engines = DecodeEngineHealth(body);
        if (!engines) {
          return LogMalformed(from, MessageType::kEngineHealth, engines.error());
        }
        asio::post(*m_options.io, [this, engines = std::move(engines).value()] {
          m_health.Add(engines);
          SendHealthDue(Clock::now());
        });
      });
  m_options.node->SetPushHandler(
      MessageType::kUpstreamUnfollow, [this](const PeerIdentity& from, const json&) {
        asio::post(*m_options.io, [this, host = from.host] { m_feed.RemoveFollower(host); });
      });
}

void UpstreamDistributor::Stop() { m_flush_timer.cancel(); }

void UpstreamDistributor::Check(TimePoint now) {
  m_feed.RetainFollowers(ConnectedHosts(m_options.node->Peers(), kControlProgram));
  Send(m_feed.TakeDue(now));
  SendHealthDue(now);
}

UpdateResult UpstreamDistributor::Announce(TimePoint now, const Announcement& announcement) {
  const UpstreamUpdate update{announcement, false};
  const UpdateResult result = m_options.upstreams->Apply(now, update);
  if (result == UpdateResult::kRefreshed) {
    m_feed.AddRefresh({announcement.name, announcement.incarnation, announcement.sequence});
  } else if (IsNew(result) && announcement.state != UpstreamState::kLeaving) {
    m_feed.AddChange(now, update);
    ScheduleFlush();
  }
  return result;
}

void UpstreamDistributor::MergeFetched(const std::string& control_host,
                                       const UpstreamUpdates& fetched) {
  if (fetched.position) m_cursors[control_host].Follow(control_host, *fetched.position);
  Merge(Clock::now(), fetched);
}

void UpstreamDistributor::OnMessage(const std::string& control_host, UpstreamUpdates updates) {
  const FeedOrder order = m_cursors[control_host].Accept(control_host, &updates);
  Merge(Clock::now(), updates);
  if (order != FeedOrder::kGap) return;
  LogEvent(LogLevel::kWarning, "upstream_updates_missing", {{"control_host", control_host}});
  if (m_options.on_gap) m_options.on_gap(control_host);
}

void UpstreamDistributor::Merge(TimePoint now, const UpstreamUpdates& updates) {
  for (const UpstreamUpdate& update : updates.updates) {
    const UpdateResult result = m_options.upstreams->Apply(now, update);
    if (IsNew(result)) m_feed.AddChange(now, update);
    if (result != UpdateResult::kRefreshed) continue;
    const Announcement& fresh = update.announcement;
    m_feed.AddRefresh({fresh.name, fresh.incarnation, fresh.sequence});
  }
  for (const UpstreamRefresh& refresh : updates.refreshes) {
    const bool is_newer =
        m_options.upstreams->Refresh(now, refresh.name, refresh.incarnation, refresh.sequence);
    if (is_newer) m_feed.AddRefresh(refresh);
  }
  ScheduleFlush();
}

void UpstreamDistributor::Depart(const UpstreamUpdate& update, const std::function<void()>& done) {
  const TimePoint deadline = Clock::now() + kDepartureTimeout;
  const auto parts = std::make_shared<int>(2);
  const auto finish_part = [parts, done] {
    if (--*parts == 0) done();
  };
  SendToFollowers(update, deadline, finish_part);
  SendToControlHosts(update, deadline, finish_part);
}

void UpstreamDistributor::OnDeparture(const std::string& control_host,
                                      const UpstreamUpdates& updates,
                                      const std::function<void()>& done) {
  OnMessage(control_host, updates);
  Send(m_feed.TakeQueued());
  const TimePoint deadline = Clock::now() + kRelayedDepartureTimeout;
  const auto missing = std::make_shared<std::size_t>(updates.updates.size());
  if (*missing == 0) return done();
  for (const UpstreamUpdate& update : updates.updates) {
    // Also sent if it was known here already: the followers may not have acknowledged it yet.
    SendToFollowers(update, deadline, [missing, done] {
      if (--*missing == 0) done();
    });
  }
}

void UpstreamDistributor::SendToFollowers(const UpstreamUpdate& departure, TimePoint deadline,
                                          const std::function<void()>& done) {
  if (!m_follower_departures.Begin(Clock::now(), departure, done)) return;
  Send(m_feed.TakeQueued());
  RequestAcknowledgements(
      m_feed.Followers(), m_feed.TakeForFollowers(departure), deadline,
      [this, departure](bool all) { m_follower_departures.End(Clock::now(), departure, all); });
}

void UpstreamDistributor::SendToControlHosts(const UpstreamUpdate& departure, TimePoint deadline,
                                             const std::function<void()>& done) {
  if (!m_control_departures.Begin(Clock::now(), departure, done)) return;
  Send(m_feed.TakeQueued());
  RequestAcknowledgements(
      ControlHosts(), m_feed.TakeForControlHosts(departure), deadline,
      [this, departure](bool all) { m_control_departures.End(Clock::now(), departure, all); });
}

void UpstreamDistributor::RequestAcknowledgements(const std::vector<std::string>& hosts,
                                                  const UpstreamUpdates& message,
                                                  TimePoint deadline,
                                                  const std::function<void(bool all)>& done) {
  const json body = EncodeUpstreamUpdates(message);
  const auto pending = std::make_shared<Acknowledgements>();
  pending->done = done;
  pending->missing += hosts.size();
  for (const std::string& host : hosts) {
    m_options.node->Request(host, MessageType::kUpstreamUpdates, body, deadline,
                            [io = m_options.io, pending](const Result<json>& reply) {
                              // A host that does not answer is disconnected or slow: it fetches all
                              // upstreams when it notices that a message is missing.
                              asio::post(*io, [pending, is_acknowledged = reply.Ok()] {
                                pending->Complete(is_acknowledged);
                              });
                            });
  }
  pending->Complete(true);
}

void UpstreamDistributor::Broadcast(MessageType type, json body) {
  std::vector<std::string> hosts = m_feed.Followers();
  for (std::string& host : ControlHosts()) hosts.push_back(std::move(host));
  m_options.node->Broadcast(std::move(hosts), type, std::move(body));
}

void UpstreamDistributor::DistributeHealth(const std::vector<EngineHealth>& engines) {
  RelayToControlHosts(MessageType::kEngineHealth, EncodeEngineHealth(engines));
  m_health.Add(engines);
  SendHealthDue(Clock::now());
}

void UpstreamDistributor::SendHealthDue(TimePoint now) {
  const std::vector<EngineHealth> due = m_health.TakeDue(now);
  if (!due.empty()) RelayToFollowers(MessageType::kEngineHealth, EncodeEngineHealth(due));
}

void UpstreamDistributor::RelayToFollowers(MessageType type, json body) {
  m_options.node->Broadcast(m_feed.Followers(), type, std::move(body));
}

void UpstreamDistributor::RelayToControlHosts(MessageType type, json body) {
  m_options.node->Broadcast(ControlHosts(), type, std::move(body));
}

void UpstreamDistributor::OnFetch(const PeerIdentity& from, bool follows,
                                  const PeerNode::Responder& respond) {
  json reply = EncodedTable(Clock::now());
  if (follows) m_feed.AddFollower(from.host);
  const FeedPosition position =
      from.program == kControlProgram ? m_feed.ControlHostPosition() : m_feed.FollowerPosition();
  reply["position"] = {position.epoch, position.batch};
  respond(std::move(reply));
  if (m_options.on_fetched) m_options.on_fetched(from.host);
}

const json& UpstreamDistributor::EncodedTable(TimePoint now) {
  const std::uint64_t generation = m_options.upstreams->Generation();
  if (m_encoded_table.is_null() || generation != m_encoded_generation || now >= m_encoded_until) {
    m_encoded_table = EncodeUpstreamSnapshot(*m_options.upstreams);
    m_encoded_generation = generation;
    m_encoded_until = now + kEncodedTableLifetime;
  }
  return m_encoded_table;
}

void UpstreamDistributor::ScheduleFlush() {
  const auto flush_at = m_feed.FlushAt();
  if (!flush_at || std::exchange(m_is_flush_scheduled, true)) return;
  m_flush_timer.expires_at(*flush_at);
  m_flush_timer.async_wait([this](const asio::error_code& cancelled) {
    m_is_flush_scheduled = false;
    if (cancelled) return;
    Send(m_feed.TakeDue(Clock::now()));
    ScheduleFlush();
  });
}

void UpstreamDistributor::Send(const UpstreamFeedMessages& messages) {
  if (messages.to_followers) {
    RelayToFollowers(MessageType::kUpstreamUpdates, EncodeUpstreamUpdates(*messages.to_followers));
  }
  if (messages.to_control_hosts) {
    RelayToControlHosts(MessageType::kUpstreamUpdates,
                        EncodeUpstreamUpdates(*messages.to_control_hosts));
  }
}

std::vector<std::string> UpstreamDistributor::ControlHosts() const {
  std::vector<std::string> hosts;
  for (const PeerStatus& peer : m_options.node->ConnectedPeers(kControlProgram)) {
    hosts.push_back(peer.identity.host);
  }
  return hosts;
}

}  // namespace corneltray
