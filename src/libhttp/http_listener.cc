#include "corneltray/http_listener.h"

#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <charconv>
#include <utility>
#include <vector>

#include "http_caller_connection.h"

namespace corneltray {
namespace {

constexpr std::chrono::milliseconds kSweepInterval{500};
// After an accept failed for want of descriptors or memory.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

}  // namespace

bool SplitAddress(const std::string& address, std::string* ip, std::uint16_t* port) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return false;
  *ip = address.substr(0, colon);
  const char* begin = address.data() + colon + 1;
  const char* end = address.data() + address.size();
  const auto [rest, error] = std::from_chars(begin, end, *port);
  if (error != std::errc() || rest != end || begin == end) return false;
  asio::error_code bad_ip;
  asio::ip::make_address(*ip, bad_ip);
  return !bad_ip;
}

HttpListener::Impl::Impl(asio::io_context* context, Handler call_handler)
    : io(context),
      handler(std::move(call_handler)),
      m_acceptor(*context),
      m_accept_timer(*context),
      m_sweep_timer(*context) {}

Status HttpListener::Impl::Listen(const std::string& address) {
  std::string ip;
  std::uint16_t port = 0;
  if (!SplitAddress(address, &ip, &port)) {
    return Error{std::make_error_code(std::errc::invalid_argument), address};
  }
  asio::error_code error;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(ip), port);
  m_acceptor.open(endpoint.protocol(), error);
  if (!error) m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
  if (!error) m_acceptor.bind(endpoint, error);
  if (!error) m_acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) return Error{error, address};
  Accept();
  return {};
}

std::string HttpListener::Impl::Address() const {
  asio::error_code error;
  const auto endpoint = m_acceptor.local_endpoint(error);
  if (error) return "";
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

// Closing the acceptor resets the connections in its queue, whose callers may have sent a request.
void HttpListener::Impl::AcceptPending() {
  if (!m_acceptor.is_open()) return;
  asio::error_code error;
  m_acceptor.non_blocking(true, error);
  while (!error) {
    asio::ip::tcp::socket socket(*io);
    m_acceptor.accept(socket, error);
    if (!error) AddConnection(std::move(socket));
  }
}

void HttpListener::Impl::AddConnection(asio::ip::tcp::socket socket) {
  ++counters.accepted;
  if (connections.size() >= limits.max_connections) {
    ++counters.refused;
    return;
  }
  auto connection = std::make_shared<HttpCallerConnection>(shared_from_this(), std::move(socket));
  connections.insert(connection);
  connection->Start();
  PlanSweep();
}

void HttpListener::Impl::Accept() {
  m_acceptor.async_accept(
      [self = shared_from_this()](const asio::error_code& error, asio::ip::tcp::socket socket) {
        if (!self->m_acceptor.is_open()) return;
        if (error) {
          self->m_accept_timer.expires_after(kAcceptRetryDelay);
          self->m_accept_timer.async_wait([self](const asio::error_code& cancelled) {
            if (!cancelled && self->m_acceptor.is_open()) self->Accept();
          });
          return;
        }
        self->AddConnection(std::move(socket));
        self->Accept();
      });
}

// Limits of time are checked while there are connections.
void HttpListener::Impl::PlanSweep() {
  if (std::exchange(m_sweep_planned, true)) return;
  m_sweep_timer.expires_after(kSweepInterval);
  m_sweep_timer.async_wait([self = shared_from_this()](const asio::error_code& cancelled) {
    self->m_sweep_planned = false;
    if (cancelled) return;
    self->Sweep();
    if (!self->connections.empty()) self->PlanSweep();
  });
}

void HttpListener::Impl::Sweep() {
  const TimePoint now = Clock::now();
  std::vector<std::shared_ptr<HttpCallerConnection>> expired;
  for (const auto& connection : connections) {
    if (connection->Expired(now)) expired.push_back(connection);
  }
  for (const auto& connection : expired) connection->Close();
  if (m_closes_idle) CloseIdle();
}

void HttpListener::Impl::CloseIdle() {
  // Connections that are not idle yet are closed later.
  m_closes_idle = true;
  std::vector<std::shared_ptr<HttpCallerConnection>> idle;
  for (const auto& connection : connections) {
    if (connection->Idle()) idle.push_back(connection);
  }
  for (const auto& connection : idle) connection->Close();
}

void HttpListener::Impl::CloseListener() {
  AcceptPending();
  asio::error_code ignored;  // nothing depends on a listener that is given up
  m_acceptor.close(ignored);
}

void HttpListener::Impl::CloseAll() {
  CloseListener();
  m_sweep_timer.cancel();
  const auto all = connections;
  for (const auto& connection : all) connection->Close();
}

HttpListenerCounters HttpListener::Impl::Counters() const {
  HttpListenerCounters now = counters;
  now.open = connections.size();
  for (const auto& connection : connections) {
    now.busy += connection->Busy() ? 1 : 0;
    now.unfinished += connection->Unfinished() ? 1 : 0;
  }
  return now;
}

HttpListener::HttpListener(asio::io_context* io, Handler handler)
    : m_impl(std::make_shared<Impl>(io, std::move(handler))) {}
HttpListener::~HttpListener() { m_impl->CloseAll(); }

Status HttpListener::Listen(const std::string& address) { return m_impl->Listen(address); }
std::string HttpListener::Address() const { return m_impl->Address(); }
void HttpListener::SetLimits(const HttpListenerLimits& limits) { m_impl->limits = limits; }
void HttpListener::BeginDrain() { m_impl->BeginDrain(); }
void HttpListener::CloseIdle() { m_impl->CloseIdle(); }
void HttpListener::CloseListener() { m_impl->CloseListener(); }
void HttpListener::CloseAll() { m_impl->CloseAll(); }
HttpListenerCounters HttpListener::Counters() const { return m_impl->Counters(); }

HttpCall::HttpCall(std::shared_ptr<HttpCallerConnection> connection, std::uint64_t number)
    : m_connection(std::move(connection)), m_number(number) {}

// The connection while it serves this request, else null.
HttpCallerConnection* HttpCall::Current() const {
  const bool current = m_connection->Serving() && m_connection->Number() == m_number;
  return current ? m_connection.get() : nullptr;
}

const HttpHead& HttpCall::Head() const { return m_connection->Head(); }
const std::string& HttpCall::Body() const { return m_connection->Body(); }
TimePoint HttpCall::ReadAt() const { return m_connection->ReadAt(); }

bool HttpCall::IsOpen() const { return Current() != nullptr; }
void HttpCall::OnCallerGone(std::function<void()> handler) const {
  if (HttpCallerConnection* c = Current()) c->SetGoneHandler(std::move(handler));
}
void HttpCall::OnDrained(std::function<void()> handler) const {
  if (HttpCallerConnection* c = Current()) c->SetDrainedHandler(std::move(handler));
}
void HttpCall::Respond(HttpHead head, std::string_view body) const {
  if (HttpCallerConnection* c = Current()) c->Respond(std::move(head), body);
}
void HttpCall::Begin(HttpHead head) const {
  if (HttpCallerConnection* c = Current()) c->Begin(std::move(head));
}
void HttpCall::Write(std::string_view bytes) const {
  if (HttpCallerConnection* c = Current()) c->Write(bytes);
}
void HttpCall::End() const {
  if (HttpCallerConnection* c = Current()) c->End();
}
void HttpCall::Abort() const {
  if (HttpCallerConnection* c = Current()) {
    c->SetGoneHandler(nullptr);
    c->Close();
  }
}
bool HttpCall::Begun() const {
  const HttpCallerConnection* c = Current();
  return c != nullptr && c->Begun();
}
std::size_t HttpCall::Unsent() const {
  const HttpCallerConnection* c = Current();
  return c == nullptr ? 0 : c->Unsent();
}

}  // namespace corneltray
