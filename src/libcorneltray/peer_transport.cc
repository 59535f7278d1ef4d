#include "peer_transport.h"

#include <map>
#include <memory>
#include <utility>
#include <variant>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "corneltray/peer.h"

namespace corneltray {
namespace {

namespace ws = websocketpp;

// Frames over the protocol's limit are counted and dropped by PeerNode; websocketpp closes the
// connection only above this, so that one oversized frame does not cost the link.
constexpr std::size_t kMaxWebsocketMessageBytes = 2UL * 1024UL * 1024UL;
// A peer that does not read is treated as lost before its queue grows without bound.
constexpr std::size_t kMaxQueuedBytes = 16UL * 1024UL * 1024UL;
// A link to a reachable host opens in milliseconds; waiting longer only delays the next try.
constexpr long kOpenTimeoutMs = 1000;  // NOLINT(google-runtime-int)
constexpr long kCloseTimeoutMs = 300;  // NOLINT(google-runtime-int)

// The names below are those that websocketpp expects in a configuration type.
// NOLINTBEGIN(google-runtime-int,readability-identifier-naming)
template <class Base>
struct LinkConfig : public Base {
  using type = LinkConfig;
  using base = Base;
  static const long timeout_open_handshake = kOpenTimeoutMs;
  static const long timeout_close_handshake = kCloseTimeoutMs;
  static const size_t max_message_size = kMaxWebsocketMessageBytes;
  struct transport_config : public Base::transport_config {
    static const long timeout_socket_pre_init = kOpenTimeoutMs;
    static const long timeout_socket_post_init = kOpenTimeoutMs;
    static const long timeout_connect = kOpenTimeoutMs;
    static const long timeout_socket_shutdown = kCloseTimeoutMs;
  };
  using transport_type = ws::transport::asio::endpoint<transport_config>;
};
// NOLINTEND(google-runtime-int,readability-identifier-naming)

using Server = ws::server<LinkConfig<ws::config::asio>>;
using Client = ws::client<LinkConfig<ws::config::asio_client>>;
using Handle = ws::connection_hdl;

struct Connection {
  std::variant<Server::connection_ptr, Client::connection_ptr> pointer;
};

// Splits IP:PORT. Returns false if there is no port.
bool SplitAddress(const std::string& address, std::string* ip, std::string* port) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon + 1 == address.size()) return false;
  *ip = address.substr(0, colon);
  *port = address.substr(colon + 1);
  if (ip->size() > 2 && ip->front() == '[') *ip = ip->substr(1, ip->size() - 2);
  return true;
}

}  // namespace

class PeerTransport::Impl {
 public:
  explicit Impl(TransportEvents events) : m_events(std::move(events)) {
    Prepare(&m_server);
    Prepare(&m_client);
    m_server.set_reuse_addr(true);
    m_server.set_open_handler([this](const Handle& handle) {
      const auto connection = m_server.get_con_from_hdl(handle);
      DisableNagle(connection);
      const LinkId link = ++m_last_link;
      Bind(connection, link);
      m_events.on_open(link, false);
    });
  }

  Status Listen(const std::string& address) {
    std::string ip;
    std::string port;
    if (!SplitAddress(address, &ip, &port)) {
      return Error{PeerErrc::kAddressInUse, address + " is not IP:PORT"};
    }
    ws::lib::error_code code;
    m_server.listen(ip, port, code);
    if (code) return Error{PeerErrc::kAddressInUse, address + ": " + code.message()};
    asio::error_code local_code;
    const auto local = m_server.get_local_endpoint(local_code);
    m_server.start_accept(code);
    if (code || local_code) return Error{PeerErrc::kAddressInUse, address};
    std::string host = local.address().to_string();
    if (local.address().is_v6()) host = "[" + host + "]";
    m_bound = host + ":" + std::to_string(local.port());
    return {};
  }

  LinkId Dial(const std::string& address) {
    ws::lib::error_code code;
    auto connection = m_client.get_connection("ws://" + address + "/peer", code);
    if (code) return 0;
    const LinkId link = ++m_last_link;
    Bind(connection, link);
    connection->set_open_handler([this, link](const Handle&) {
      const auto found = m_connections.find(link);
      if (found == m_connections.end()) return;
      DisableNagle(std::get<Client::connection_ptr>(found->second.pointer));
      m_events.on_open(link, true);
    });
    m_client.connect(connection);
    return link;
  }

  bool Send(LinkId link, const std::string& frame) {
    const auto found = m_connections.find(link);
    if (found == m_connections.end()) return false;
    return std::visit(
        [&](auto& connection) {
          if (connection->get_buffered_amount() > kMaxQueuedBytes) return false;
          return !connection->send(frame, ws::frame::opcode::binary);
        },
        found->second.pointer);
  }

  void Close(LinkId link, bool at_once) {
    const auto found = m_connections.find(link);
    if (found == m_connections.end()) return;
    const Connection connection = std::move(found->second);
    m_connections.erase(found);
    std::visit(
        [&](auto& pointer) {
          ws::lib::error_code code;
          if (!at_once) pointer->close(ws::close::status::going_away, "", code);
          if (at_once || code) pointer->terminate(ws::lib::error_code());
        },
        connection.pointer);
  }

  void CloseAll() {
    ws::lib::error_code code;
    if (m_server.is_listening()) m_server.stop_listening(code);
    while (!m_connections.empty()) Close(m_connections.begin()->first, false);
  }

  std::size_t LinkCount() const { return m_connections.size(); }

  asio::io_context& Loop() { return m_io; }
  const std::string& Bound() const { return m_bound; }

 private:
  template <class Endpoint>
  void Prepare(Endpoint* endpoint) {
    endpoint->clear_access_channels(ws::log::alevel::all);
    endpoint->clear_error_channels(ws::log::elevel::all);
    endpoint->init_asio(&m_io);
  }

  // Messages are small and latency counts: a claim costs two round trips.
  template <class Pointer>
  static void DisableNagle(const Pointer& connection) {
    asio::error_code code;
    connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), code);
  }

  template <class Pointer>
  void Bind(const Pointer& connection, LinkId link) {
    m_connections.emplace(link, Connection{connection});
    const auto lost = [this, link](const Handle&) {
      if (m_connections.erase(link) != 0) m_events.on_close(link);
    };
    connection->set_fail_handler(lost);
    connection->set_close_handler(lost);
    connection->set_message_handler([this, link](const Handle&, const auto& message) {
      if (m_connections.count(link) != 0) m_events.on_frame(link, message->get_payload());
    });
  }

  TransportEvents m_events;
  asio::io_context m_io;
  Server m_server;
  Client m_client;
  std::map<LinkId, Connection> m_connections;
  LinkId m_last_link = 0;
  std::string m_bound;
};

PeerTransport::PeerTransport(TransportEvents events)
    : m_impl(std::make_unique<Impl>(std::move(events))) {}
PeerTransport::~PeerTransport() = default;

Status PeerTransport::Listen(const std::string& address) { return m_impl->Listen(address); }
const std::string& PeerTransport::BoundAddress() const { return m_impl->Bound(); }
LinkId PeerTransport::Dial(const std::string& address) { return m_impl->Dial(address); }
bool PeerTransport::Send(LinkId link, const std::string& frame) {
  return m_impl->Send(link, frame);
}
void PeerTransport::Close(LinkId link, bool at_once) { m_impl->Close(link, at_once); }
void PeerTransport::CloseAll() { m_impl->CloseAll(); }
std::size_t PeerTransport::LinkCount() const { return m_impl->LinkCount(); }

void PeerTransport::Run() {
  const auto work = asio::make_work_guard(m_impl->Loop());
  m_impl->Loop().run();
}

void PeerTransport::StopLoop() { m_impl->Loop().stop(); }

void PeerTransport::RunPosted() {
  m_impl->Loop().restart();
  m_impl->Loop().poll();
}

void PeerTransport::Post(std::function<void()> function) {
  asio::post(m_impl->Loop(), std::move(function));
}

std::shared_ptr<void> PeerTransport::StartTimer(TimePoint when, std::function<void()> function) {
  auto timer = std::make_shared<asio::steady_timer>(m_impl->Loop(), when);
  // A timer that has expired may be in Asio's queue already when its handle is destroyed; Asio then
  // reports no cancellation.
  timer->async_wait([handle = std::weak_ptr<asio::steady_timer>(timer),
                     function = std::move(function)](const asio::error_code& code) {
    if (!code && !handle.expired()) function();
  });
  return timer;
}

}  // namespace corneltray
