#ifndef CORNELTRAY_PEER_LOOP_H_
#define CORNELTRAY_PEER_LOOP_H_

#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "corneltray/peer.h"
#include "peer_replies.h"
#include "peer_session.h"
#include "peer_transport.h"

namespace corneltray {

// Heartbeats detect dead links; see docs/design.md section 5.11.
inline constexpr std::chrono::milliseconds kHeartbeatInterval{500};
// Two heartbeats are missing: a fresh link is opened and used if it answers first.
inline constexpr std::chrono::milliseconds kSuspectAfter{1000};
inline constexpr std::chrono::milliseconds kDeadLinkDeadline{2000};
// A link that is opened but not authenticated by then is closed.
inline constexpr std::chrono::milliseconds kHelloDeadline{2000};
// How long a superfluous link stays open for frames that are still on the way.
inline constexpr std::chrono::milliseconds kRetireDelay{1000};
// A peer without a link for this long is forgotten with its stored replies.
inline constexpr std::chrono::seconds kForgetPeerAfter{60};
inline constexpr std::chrono::milliseconds kTickInterval{100};
inline constexpr std::chrono::seconds kCounterLogInterval{10};
// Messages that wait behind those of the urgent program. Further ones are handled at once, which
// slows their senders down.
inline constexpr std::size_t kMaxWaitingBytes = 8UL * 1024UL * 1024UL;
// Time for messages that wait before the loop reads what has arrived. Without a slice of their own,
// the many replies of entry hosts to a storm of updates would keep fetches of the configuration
// out.
inline constexpr std::chrono::milliseconds kWaitingSlice{4};
inline constexpr std::chrono::milliseconds kMinRedialDelay{100};
inline constexpr std::chrono::milliseconds kMaxRedialDelay{2000};

// State and behaviour of PeerNode. Everything runs on the loop's thread unless stated otherwise.
class PeerLoop : public std::enable_shared_from_this<PeerLoop> {
 public:
  using Handlers = std::map<MessageType, PeerNode::RequestHandler>;
  using PushHandlers = std::map<MessageType, PeerNode::PushHandler>;

  explicit PeerLoop(PeerOptions options);

  // Before Start.
  Handlers request_handlers;
  PushHandlers push_handlers;

  // From the thread that owns the PeerNode.
  Status Start();
  void Stop();
  std::string ListenAddress() const { return m_transport.BoundAddress(); }

  // From any thread. Returns false, and runs nothing, once the loop is stopped.
  bool Post(std::function<void()> function);
  // Runs at once when called on the loop's thread, else posts.
  bool Dispatch(std::function<void()> function);
  void RunAt(TimePoint when, std::function<void()> function);
  std::vector<PeerStatus> Peers() const;
  std::vector<PeerStatus> ConnectedPeers(std::string_view program) const;
  PeerCounters Counters() const;
  std::map<MessageType, PeerMessageCounters> MessageCounters() const;

  void Connect(const std::string& address);
  void Forget(const std::string& address);
  void Disconnect(const std::string& address);
  void Send(const std::string& host, MessageType type, nlohmann::json body);
  void Broadcast(std::vector<std::string> hosts, MessageType type, nlohmann::json body);
  void Request(const std::string& host, MessageType type, nlohmann::json body, TimePoint deadline,
               PeerNode::ReplyCallback callback);

 private:
  struct Link {
    LinkId id = 0;
    bool opened_here = false;
    std::string address;  // dialled
    std::optional<PeerSession> session;
    TimePoint opened_at;
    TimePoint last_received;
    TimePoint last_sent;
    std::optional<TimePoint> retire_at;
    bool replaces = false;

    bool Established() const { return session && session->Established(); }
  };

  struct Peer {
    PeerIdentity identity;
    std::string address;
    LinkId active = 0;
    TimePoint lost_at;
    TimePoint next_dial;  // of the link that replaces a suspect one
    ReplyCache replies;
  };

  // An address that Connect was called with.
  struct Target {
    std::string host;  // known after the first hello
    bool self = false;
    LinkId dialling = 0;
    TimePoint next_dial;
    std::chrono::milliseconds delay = kMinRedialDelay;
  };

  struct PendingRequest {
    std::string host;
    std::string payload;
    PeerNode::ReplyCallback callback;
    std::shared_ptr<void> timer;
  };

  // A message that is handled once no urgent one is there to be handled.
  struct WaitingMessage {
    LinkId link = 0;
    PeerIdentity from;
    PeerMessage message;
    std::size_t bytes = 0;
    TimePoint received_at;
  };

  struct AtomicCounters {
    std::atomic<std::uint64_t> malformed{0};
    std::atomic<std::uint64_t> oversized{0};
    std::atomic<std::uint64_t> unauthenticated{0};
    std::atomic<std::uint64_t> replayed{0};
    std::atomic<std::uint64_t> links_replaced{0};
    std::atomic<std::uint64_t> expired{0};
    std::atomic<std::uint64_t> bytes_sent{0};
    std::atomic<std::uint64_t> bytes_received{0};
  };

  bool OnLoopThread() const { return std::this_thread::get_id() == m_loop_thread.load(); }

  // Links: peer_links.cc.
  void OnOpen(LinkId id, bool opened_here);
  void OnFrame(LinkId id, const std::string& frame);
  void OnClose(LinkId id);
  void OnEstablished(Link* link);
  void SelectLink(Peer* peer, Link* fresh);
  void UseLink(Peer* peer, Link* link);
  void CloseLink(LinkId id, bool at_once);
  void ForgetLink(LinkId id);
  LinkId Dial(const std::string& address, bool replaces);
  void Tick();
  void TickLinks(TimePoint now);
  void TickTargets(TimePoint now);
  void TickPeers(TimePoint now);
  Link* FindLink(LinkId id);
  Link* ActiveLink(const std::string& host);
  bool SendPayload(Link* link, const std::string& payload);
  void PublishPeers();

  // Messages: peer_loop.cc.
  void OnMessage(Link* link, PeerMessage message, std::size_t bytes);
  bool MayWait(const Link& link, const PeerMessage& message) const;
  // Handles waiting messages for kWaitingSlice, and posts itself if there are more: the loop reads
  // what has arrived in between.
  void HandleWaiting();
  void HandleNextWaiting();
  void HandleAndCount(Link* link, PeerMessage message, std::size_t bytes);
  void HandlePush(const PeerIdentity& from, const PeerMessage& message);
  void Handle(Link* link, PeerMessage message);
  void CountReceived(MessageType type, std::size_t bytes, Duration handling_time);
  void CountEncoded(MessageType type);
  void CountSent(MessageType type, std::size_t bytes);
  void CountSendingTime(MessageType type, Duration time);
  void LogMessageCounters(TimePoint now);
  void OnRequest(Link* link, const PeerIdentity& from, const PeerMessage& message);
  void Respond(const std::string& host, std::uint64_t incarnation, std::uint64_t id,
               const Result<nlohmann::json>& result);
  void Complete(std::uint64_t id, const Result<nlohmann::json>& result);
  void FailRequests(const std::string& host, PeerErrc errc);
  void ResendRequests(const std::string& host, Link* link);

  PeerOptions m_options;
  PeerTransport m_transport;
  std::thread m_thread;
  std::atomic<std::thread::id> m_loop_thread{};
  std::mt19937_64 m_random;
  std::shared_ptr<void> m_tick_timer;
  std::shared_ptr<void> m_stop_timer;
  std::map<LinkId, Link> m_links;
  std::map<std::string, Peer> m_peers;      // by host
  std::map<std::string, Target> m_targets;  // by address
  std::map<std::uint64_t, PendingRequest> m_requests;
  std::uint64_t m_last_request = 0;
  std::deque<WaitingMessage> m_waiting;  // oldest first
  std::size_t m_waiting_bytes = 0;
  bool m_is_waiting_posted = false;                         // HandleWaiting will run
  std::map<std::uint64_t, std::shared_ptr<void>> m_timers;  // of RunAt
  std::uint64_t m_last_timer = 0;
  AtomicCounters m_counters;
  TimePoint m_counters_logged_at{};

  mutable std::mutex m_mutex;  // guards the members below
  bool m_stopped = false;
  std::vector<PeerStatus> m_published;
  std::map<MessageType, PeerMessageCounters> m_message_counters;
};

}  // namespace corneltray

#endif  // CORNELTRAY_PEER_LOOP_H_
