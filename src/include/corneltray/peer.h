#ifndef CORNELTRAY_PEER_H_
#define CORNELTRAY_PEER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "corneltray/log_version.h"
#include "corneltray/messages.h"
#include "corneltray/result.h"
#include "corneltray/time.h"

namespace corneltray {

enum class PeerErrc {
  kDeadlineExceeded = 1,
  kNotConnected,
  kRefused,       // the peer answered with an error
  kAddressInUse,  // Listen failed
  kStopped,
};

std::error_code make_error_code(PeerErrc errc);

// Who a peer is, as proved in the hello exchange.
struct PeerIdentity {
  std::string host;
  std::string program;
  std::string region;
  std::string availability_zone;
  std::uint64_t incarnation = 0;
  LogVersion log_version = kUntoldLogVersion;  // that a control process reads
};

struct PeerOptions {
  PeerIdentity identity;
  std::string listen_address;     // IP:PORT; port 0 picks a free one
  std::string advertise_address;  // empty: the bound address
  std::string shared_key;
  // Messages of processes that run this program are handled before requests and pushes of others.
  // Empty: all are handled in the order of arrival.
  std::string urgent_program{};
};

struct PeerStatus {
  PeerIdentity identity;
  std::string address;
  bool connected = false;
};

// Returns the hosts of all connected peers except those that run the program `except`.
std::vector<std::string> ConnectedHosts(const std::vector<PeerStatus>& peers,
                                        std::string_view except = {});

// Counters of frames that were dropped, for metrics and tests.
struct PeerCounters {
  std::uint64_t malformed = 0;
  std::uint64_t oversized = 0;
  std::uint64_t unauthenticated = 0;
  std::uint64_t replayed = 0;
  std::uint64_t links_replaced = 0;
  std::uint64_t expired = 0;  // requests that waited here for longer than their sender does
  std::uint64_t bytes_sent = 0;
  std::uint64_t bytes_received = 0;
};

// Messages of one type since the start of the process.
struct PeerMessageCounters {
  std::uint64_t encoded = 0;  // a message to several hosts is encoded once
  std::uint64_t sent = 0;
  std::uint64_t bytes_sent = 0;
  Duration sending_time{0};  // spent in encoding, authenticating and queueing, on the I/O thread
  std::uint64_t received = 0;
  std::uint64_t bytes_received = 0;
  Duration handling_time{0};  // spent in handlers of received messages, on the I/O thread
};

// Authenticated links between corneltray processes over websocketpp, with CBOR messages. Owns its
// I/O thread. Every callback and handler runs on that thread and must not block; Send, Request,
// Connect, Forget, Post and RunAt may be called from any thread.
class PeerNode {
 public:
  using ReplyCallback = std::function<void(Result<nlohmann::json>)>;
  // Completes one request. Calling it more than once has no effect.
  using Responder = std::function<void(Result<nlohmann::json>)>;
  using RequestHandler =
      std::function<void(const PeerIdentity& from, const nlohmann::json& body, Responder respond)>;
  using PushHandler = std::function<void(const PeerIdentity& from, const nlohmann::json& body)>;

  explicit PeerNode(PeerOptions options);
  ~PeerNode();
  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;

  // Handlers are set before Start. A request of a type without a handler is answered with an error.
  // A request is sent again, with the same id, when its link is replaced; the copy is answered with
  // the first reply and reaches no handler.
  void SetRequestHandler(MessageType type, RequestHandler handler);
  void SetPushHandler(MessageType type, PushHandler handler);

  // Binds the listener and starts the I/O thread. Fails with kAddressInUse.
  Status Start();
  // Closes all links and joins the thread. Open requests complete with kStopped.
  void Stop();

  // The bound address IP:PORT, after Start.
  std::string ListenAddress() const;

  // Keeps a link to this address, opening it again with backoff whenever it is lost.
  void Connect(const std::string& address);

  // Stops opening links to this address. A link that is open stays until it is lost.
  void Forget(const std::string& address);

  // Stops opening links to this address and closes an open one, after the time that frames on the
  // way take to arrive.
  void Disconnect(const std::string& address);

  // Sends without a reply; dropped when there is no link to that host process.
  // `host` is PeerIdentity::host.
  void Send(const std::string& host, MessageType type, nlohmann::json body);

  // Sends the same message without a reply to several hosts. It is encoded once, and only if at
  // least one of the hosts has a link.
  void Broadcast(std::vector<std::string> hosts, MessageType type, nlohmann::json body);

  // Sends a request. The callback runs exactly once: with the reply, the peer's error (kRefused),
  // or kDeadlineExceeded, kNotConnected or kStopped. After any error but kRefused the peer may have
  // run it. A restarted peer does not get requests sent to its predecessor.
  void Request(const std::string& host, MessageType type, nlohmann::json body, TimePoint deadline,
               ReplyCallback callback);

  // Runs a function on the I/O thread, soon or at a time.
  void Post(std::function<void()> function);
  void RunAt(TimePoint when, std::function<void()> function);

  std::vector<PeerStatus> Peers() const;
  // Returns the connected peers that run this program.
  std::vector<PeerStatus> ConnectedPeers(std::string_view program) const;
  PeerCounters Counters() const;
  // Counters by message type. Replies count as kReply or kError.
  std::map<MessageType, PeerMessageCounters> MessageCounters() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::PeerErrc> : std::true_type {};

#endif  // CORNELTRAY_PEER_H_
