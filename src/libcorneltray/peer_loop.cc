#include "peer_loop.h"

#include <algorithm>
#include <utility>

#include "corneltray/log.h"

namespace corneltray {
namespace {

using nlohmann::json;

// Time for the closing handshakes before the loop is stopped.
constexpr std::chrono::milliseconds kStopDelay{50};

// Whether the sender of a request has given it up after this time.
bool HasExpired(const PeerMessage& message, Duration waited) {
  if (message.id == 0 || !message.body.is_object()) return false;
  const auto timeout = message.body.find("timeout_ms");
  if (timeout == message.body.end() || !timeout->is_number_integer()) return false;
  return waited >= std::chrono::milliseconds(timeout->get<std::int64_t>());
}

}  // namespace

PeerLoop::PeerLoop(PeerOptions options)
    : m_options(std::move(options)),
      m_transport({[this](LinkId id, bool opened_here) { OnOpen(id, opened_here); },
                   [this](LinkId id, const std::string& frame) { OnFrame(id, frame); },
                   [this](LinkId id) { OnClose(id); }}),
      m_random(std::random_device{}()) {}

Status PeerLoop::Start() {
  Status listening = m_transport.Listen(m_options.listen_address);
  if (!listening) return listening;
  m_transport.Post([this] { Tick(); });
  m_thread = std::thread([this] {
    m_loop_thread = std::this_thread::get_id();
    m_transport.Run();
  });
  return {};
}

void PeerLoop::Stop() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_stopped) return;
    m_stopped = true;
  }
  if (m_thread.joinable()) {
    m_transport.Post([this] {
      m_tick_timer.reset();
      m_links.clear();
      m_transport.CloseAll();
      m_stop_timer =
          m_transport.StartTimer(Clock::now() + kStopDelay, [this] { m_transport.StopLoop(); });
    });
    m_thread.join();
  }
  m_timers.clear();
  m_transport.RunPosted();
  std::vector<std::uint64_t> open;
  open.reserve(m_requests.size());
  for (const auto& entry : m_requests) open.push_back(entry.first);
  for (const std::uint64_t id : open) Complete(id, Error{PeerErrc::kStopped, ""});
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_published.clear();
}

bool PeerLoop::Post(std::function<void()> function) {
  // Posting under the mutex orders it before Stop: what was accepted here always runs.
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_stopped) return false;
  m_transport.Post(std::move(function));
  return true;
}

bool PeerLoop::Dispatch(std::function<void()> function) {
  if (!OnLoopThread()) return Post(std::move(function));
  function();
  return true;
}

void PeerLoop::RunAt(TimePoint when, std::function<void()> function) {
  Dispatch([this, when, function = std::move(function)]() mutable {
    const std::uint64_t id = ++m_last_timer;
    m_timers[id] = m_transport.StartTimer(when, [this, id, function = std::move(function)] {
      const auto keep = m_timers.extract(id);
      function();
    });
  });
}

std::vector<PeerStatus> PeerLoop::Peers() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_published;
}

std::vector<PeerStatus> PeerLoop::ConnectedPeers(std::string_view program) const {
  std::vector<PeerStatus> connected;
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const PeerStatus& peer : m_published) {
    if (peer.connected && peer.identity.program == program) connected.push_back(peer);
  }
  return connected;
}

PeerCounters PeerLoop::Counters() const {
  return {m_counters.malformed,  m_counters.oversized,      m_counters.unauthenticated,
          m_counters.replayed,   m_counters.links_replaced, m_counters.expired,
          m_counters.bytes_sent, m_counters.bytes_received};
}

std::map<MessageType, PeerMessageCounters> PeerLoop::MessageCounters() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_message_counters;
}

void PeerLoop::CountReceived(MessageType type, std::size_t bytes, Duration handling_time) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  PeerMessageCounters& counters = m_message_counters[type];
  ++counters.received;
  counters.bytes_received += bytes;
  counters.handling_time += handling_time;
}

void PeerLoop::CountEncoded(MessageType type) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_message_counters[type].encoded;
}

void PeerLoop::CountSendingTime(MessageType type, Duration time) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_message_counters[type].sending_time += time;
}

void PeerLoop::CountSent(MessageType type, std::size_t bytes) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  PeerMessageCounters& counters = m_message_counters[type];
  ++counters.sent;
  counters.bytes_sent += bytes;
}

void PeerLoop::LogMessageCounters(TimePoint now) {
  if (now < m_counters_logged_at + kCounterLogInterval) return;
  m_counters_logged_at = now;
  json by_type = json::object();
  for (const auto& [type, counters] : MessageCounters()) {
    const std::chrono::duration<double, std::milli> sending = counters.sending_time;
    const std::chrono::duration<double, std::milli> handling = counters.handling_time;
    by_type[std::string(NameOf(type))] = {
        {"encoded", counters.encoded},       {"sent", counters.sent},
        {"bytes_sent", counters.bytes_sent}, {"sending_ms", sending.count()},
        {"received", counters.received},     {"bytes_received", counters.bytes_received},
        {"handling_ms", handling.count()}};
  }
  LogEvent(LogLevel::kInfo, "peer_messages", {{"since_start", std::move(by_type)}});
}

void PeerLoop::Connect(const std::string& address) {
  Dispatch([this, address] {
    m_targets.try_emplace(address);
    // The address may have been disconnected a moment ago, and its link still be open.
    for (auto& [host, peer] : m_peers) {
      Link* active = FindLink(peer.active);
      if (active != nullptr && active->address == address) active->retire_at.reset();
    }
  });
}

void PeerLoop::Forget(const std::string& address) {
  Dispatch([this, address] { m_targets.erase(address); });
}

void PeerLoop::Disconnect(const std::string& address) {
  Dispatch([this, address] {
    m_targets.erase(address);
    for (auto& [id, link] : m_links) {
      if (link.address == address && link.opened_here) link.retire_at = Clock::now() + kRetireDelay;
    }
  });
}

void PeerLoop::Send(const std::string& host, MessageType type, json body) {
  Broadcast({host}, type, std::move(body));
}

void PeerLoop::Broadcast(std::vector<std::string> hosts, MessageType type, json body) {
  Dispatch([this, hosts = std::move(hosts), type, body = std::move(body)]() mutable {
    std::vector<Link*> links;
    for (const std::string& host : hosts) {
      if (Link* link = ActiveLink(host)) links.push_back(link);
    }
    if (links.empty()) return;
    const TimePoint start = Clock::now();
    const std::string payload = EncodePeerMessage({type, 0, 0, std::move(body)});
    CountEncoded(type);
    if (payload.size() + kFrameHeaderBytes > kMaxFrameBytes) {
      LogEvent(
          LogLevel::kError, "peer_message_dropped",
          {{"reason", "over the frame limit"}, {"type", NameOf(type)}, {"bytes", payload.size()}});
      return;
    }
    for (Link* link : links) {
      CountSent(type, payload.size());
      SendPayload(link, payload);
    }
    CountSendingTime(type, Clock::now() - start);
  });
}

void PeerLoop::Request(const std::string& host, MessageType type, json body, TimePoint deadline,
                       PeerNode::ReplyCallback callback) {
  auto shared_callback = std::make_shared<PeerNode::ReplyCallback>(std::move(callback));
  const bool accepted =
      Dispatch([this, host, type, body = std::move(body), deadline, shared_callback]() mutable {
        const auto peer = m_peers.find(host);
        const TimePoint now = Clock::now();
        // A link that was lost a moment ago is usually replaced: the request waits for the new one.
        const bool reachable =
            peer != m_peers.end() &&
            (peer->second.active != 0 || now - peer->second.lost_at < kDeadLinkDeadline);
        if (!reachable) {
          (*shared_callback)(Error{PeerErrc::kNotConnected, host});
          return;
        }
        const TimePoint start = Clock::now();
        const std::uint64_t id = ++m_last_request;
        std::string payload = EncodePeerMessage({type, id, 0, std::move(body)});
        CountEncoded(type);
        if (payload.size() + kFrameHeaderBytes > kMaxFrameBytes) {
          (*shared_callback)(Error{PeerErrc::kRefused, "request over the frame limit"});
          return;
        }
        PendingRequest& request = m_requests[id];
        request.host = host;
        request.payload = std::move(payload);
        request.callback = std::move(*shared_callback);
        request.timer = m_transport.StartTimer(deadline, [this, id, host] {
          Complete(id, Error{PeerErrc::kDeadlineExceeded, host});
        });
        Link* link = FindLink(peer->second.active);
        if (link == nullptr) return;
        CountSent(type, request.payload.size());
        SendPayload(link, request.payload);
        CountSendingTime(type, Clock::now() - start);
      });
  if (!accepted) (*shared_callback)(Error{PeerErrc::kStopped, ""});
}

void PeerLoop::OnMessage(Link* link, PeerMessage message, std::size_t bytes) {
  if (!MayWait(*link, message) || m_waiting_bytes + bytes > kMaxWaitingBytes) {
    HandleAndCount(link, std::move(message), bytes);
    return;
  }
  const PeerIdentity& from = link->session->Peer().identity;
  m_waiting.push_back({link->id, from, std::move(message), bytes, Clock::now()});
  m_waiting_bytes += bytes;
  if (!std::exchange(m_is_waiting_posted, true)) m_transport.Post([this] { HandleWaiting(); });
}

// Replies and heartbeats are cheap to handle, and others wait for them.
bool PeerLoop::MayWait(const Link& link, const PeerMessage& message) const {
  if (m_options.urgent_program.empty() || message.reply_to != 0) return false;
  if (message.type == MessageType::kHeartbeat) return false;
  return link.session->Peer().identity.program != m_options.urgent_program;
}

void PeerLoop::HandleWaiting() {
  const TimePoint end = Clock::now() + kWaitingSlice;
  while (!m_waiting.empty() && Clock::now() < end) HandleNextWaiting();
  m_is_waiting_posted = !m_waiting.empty();
  if (m_is_waiting_posted) m_transport.Post([this] { HandleWaiting(); });
}

void PeerLoop::HandleNextWaiting() {
  WaitingMessage next = std::move(m_waiting.front());
  m_waiting.pop_front();
  m_waiting_bytes -= next.bytes;
  Link* link = FindLink(next.link);
  if (link == nullptr) {
    // A request is sent again on the next link.
    if (next.message.id == 0) HandlePush(next.from, next.message);
    return;
  }
  if (HasExpired(next.message, Clock::now() - next.received_at)) {
    ++m_counters.expired;
    return;
  }
  HandleAndCount(link, std::move(next.message), next.bytes);
}

void PeerLoop::HandleAndCount(Link* link, PeerMessage message, std::size_t bytes) {
  const MessageType type = message.type;
  const TimePoint start = Clock::now();
  Handle(link, std::move(message));
  CountReceived(type, bytes, Clock::now() - start);
}

void PeerLoop::Handle(Link* link, PeerMessage message) {
  if (message.type == MessageType::kHeartbeat && message.id == 0) return;
  const PeerIdentity from = link->session->Peer().identity;
  if (message.reply_to != 0) {
    if (message.type == MessageType::kError) {
      const std::string detail =
          message.body.is_object() ? message.body.value("message", "") : std::string();
      Complete(message.reply_to, Error{PeerErrc::kRefused, detail});
    } else {
      Complete(message.reply_to, std::move(message.body));
    }
    return;
  }
  if (message.id != 0) {
    OnRequest(link, from, message);
    return;
  }
  HandlePush(from, message);
}

void PeerLoop::HandlePush(const PeerIdentity& from, const PeerMessage& message) {
  const auto handler = push_handlers.find(message.type);
  if (handler == push_handlers.end()) return;
  try {
    handler->second(from, message.body);
  } catch (const json::exception&) {
    ++m_counters.malformed;  // a body of the wrong shape
  }
}

void PeerLoop::OnRequest(Link* link, const PeerIdentity& from, const PeerMessage& message) {
  Peer& peer = m_peers[from.host];
  if (peer.identity.incarnation != from.incarnation) return;
  switch (peer.replies.Begin(message.id, link->id)) {
    case ReplyCache::Seen::kInProgress:
      return;
    case ReplyCache::Seen::kAnswered:
      SendPayload(link, peer.replies.ReplyTo(message.id));
      return;
    case ReplyCache::Seen::kForgotten:
      SendPayload(
          link,
          EncodePeerMessage(
              {MessageType::kError, 0, message.id, {{"message", "the reply is no longer kept"}}}));
      return;
    case ReplyCache::Seen::kNew:
      break;
  }
  auto answered = std::make_shared<std::atomic<bool>>(false);
  const PeerNode::Responder respond = [weak = weak_from_this(), host = from.host,
                                       incarnation = from.incarnation, id = message.id,
                                       answered](const Result<json>& result) {
    if (answered->exchange(true)) return;
    const auto self = weak.lock();
    if (!self) return;
    self->Dispatch([raw = self.get(), host, incarnation, id, result] {
      raw->Respond(host, incarnation, id, result);
    });
  };
  const auto handler = request_handlers.find(message.type);
  if (handler == request_handlers.end()) {
    respond(Error{PeerErrc::kRefused,
                  "no handler for " + std::string(NameOf(message.type)) + " at this process"});
    return;
  }
  try {
    handler->second(from, message.body, respond);
  } catch (const json::exception&) {
    ++m_counters.malformed;
    respond(Error{PeerErrc::kRefused, "malformed body"});
  }
}

void PeerLoop::Respond(const std::string& host, std::uint64_t incarnation, std::uint64_t id,
                       const Result<json>& result) {
  const auto peer = m_peers.find(host);
  if (peer == m_peers.end() || peer->second.identity.incarnation != incarnation) return;
  const TimePoint start = Clock::now();
  PeerMessage reply;
  reply.reply_to = id;
  reply.type = result ? MessageType::kReply : MessageType::kError;
  reply.body = result ? result.value() : json{{"message", result.error().ToString()}};
  std::string payload = EncodePeerMessage(reply);
  if (payload.size() + kFrameHeaderBytes > kMaxFrameBytes) {
    reply.type = MessageType::kError;
    reply.body = {{"message", "reply over the frame limit"}};
    payload = EncodePeerMessage(reply);
  }
  // The reply takes the link of the latest copy of the request: the requester uses that link, while
  // the one in use here may already be closed at the other side.
  Link* link = FindLink(peer->second.replies.LinkOf(id));
  if (link != nullptr) {
    CountSent(reply.type, payload.size());
    SendPayload(link, payload);
  }
  CountEncoded(reply.type);
  CountSendingTime(reply.type, Clock::now() - start);
  peer->second.replies.Answer(id, std::move(payload));
}

void PeerLoop::Complete(std::uint64_t id, const Result<json>& result) {
  auto request = m_requests.extract(id);
  if (request.empty()) return;  // answered before, or past its deadline
  request.mapped().callback(result);
}

void PeerLoop::FailRequests(const std::string& host, PeerErrc errc) {
  std::vector<std::uint64_t> failed;
  for (const auto& [id, request] : m_requests) {
    if (request.host == host) failed.push_back(id);
  }
  for (const std::uint64_t id : failed) Complete(id, Error{errc, host});
}

void PeerLoop::ResendRequests(const std::string& host, Link* link) {
  for (const auto& [id, request] : m_requests) {
    if (request.host == host) SendPayload(link, request.payload);
  }
}

}  // namespace corneltray
