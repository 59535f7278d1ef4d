#include "corneltray/peer.h"

#include <utility>

#include "peer_loop.h"

namespace corneltray {
namespace {

class PeerCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "corneltray.peer"; }
  std::string message(int value) const override {
    switch (static_cast<PeerErrc>(value)) {
      case PeerErrc::kDeadlineExceeded:
        return "no reply before the deadline";
      case PeerErrc::kNotConnected:
        return "no link to the host";
      case PeerErrc::kRefused:
        return "refused by the peer";
      case PeerErrc::kAddressInUse:
        return "the address cannot be bound";
      case PeerErrc::kStopped:
        return "the process is stopping";
    }
    return "unknown peer error";
  }
};

}  // namespace

std::error_code make_error_code(PeerErrc errc) {
  static const PeerCategory category;
  return {static_cast<int>(errc), category};
}

std::vector<std::string> ConnectedHosts(const std::vector<PeerStatus>& peers,
                                        std::string_view except) {
  std::vector<std::string> hosts;
  for (const PeerStatus& peer : peers) {
    if (peer.connected && peer.identity.program != except) hosts.push_back(peer.identity.host);
  }
  return hosts;
}

class PeerNode::Impl {
 public:
  explicit Impl(PeerOptions options) : loop(std::make_shared<PeerLoop>(std::move(options))) {}

  // Shared with responders, which other threads may still hold after the node is gone.
  std::shared_ptr<PeerLoop> loop;
};

PeerNode::PeerNode(PeerOptions options) : m_impl(std::make_unique<Impl>(std::move(options))) {}
PeerNode::~PeerNode() { Stop(); }

void PeerNode::SetRequestHandler(MessageType type, RequestHandler handler) {
  m_impl->loop->request_handlers[type] = std::move(handler);
}

void PeerNode::SetPushHandler(MessageType type, PushHandler handler) {
  m_impl->loop->push_handlers[type] = std::move(handler);
}

Status PeerNode::Start() { return m_impl->loop->Start(); }
void PeerNode::Stop() { m_impl->loop->Stop(); }
std::string PeerNode::ListenAddress() const { return m_impl->loop->ListenAddress(); }
void PeerNode::Connect(const std::string& address) { m_impl->loop->Connect(address); }
void PeerNode::Forget(const std::string& address) { m_impl->loop->Forget(address); }
void PeerNode::Disconnect(const std::string& address) { m_impl->loop->Disconnect(address); }

void PeerNode::Send(const std::string& host, MessageType type, nlohmann::json body) {
  m_impl->loop->Send(host, type, std::move(body));
}

void PeerNode::Broadcast(std::vector<std::string> hosts, MessageType type, nlohmann::json body) {
  m_impl->loop->Broadcast(std::move(hosts), type, std::move(body));
}

void PeerNode::Request(const std::string& host, MessageType type, nlohmann::json body,
                       TimePoint deadline, ReplyCallback callback) {
  m_impl->loop->Request(host, type, std::move(body), deadline, std::move(callback));
}

void PeerNode::Post(std::function<void()> function) { m_impl->loop->Post(std::move(function)); }

void PeerNode::RunAt(TimePoint when, std::function<void()> function) {
  m_impl->loop->RunAt(when, std::move(function));
}

std::vector<PeerStatus> PeerNode::Peers() const { return m_impl->loop->Peers(); }
std::vector<PeerStatus> PeerNode::ConnectedPeers(std::string_view program) const {
  return m_impl->loop->ConnectedPeers(program);
}
PeerCounters PeerNode::Counters() const { return m_impl->loop->Counters(); }
std::map<MessageType, PeerMessageCounters> PeerNode::MessageCounters() const {
  return m_impl->loop->MessageCounters();
}

}  // namespace corneltray
