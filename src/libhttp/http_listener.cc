#include "corneltray/http_listener.h"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <charconv>
#include <utility>
#include <vector>

#include "corneltray/log.h"
#include "http_caller_connection.h"

namespace corneltray {
namespace {

constexpr std::chrono::milliseconds kSweepInterval{500};
// After an accept failed for want of descriptors or memory.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
// Bytes that the kernel keeps for a caller that is not read, or that does not read.
constexpr int kReceiveBufferBytes = 64 * 1024;
constexpr int kSendBufferBytes = 128 * 1024;
// Connections closed at once when there are too many: this share of them, so that a flood of new
// ones does not scan the others each time.
constexpr std::size_t kStalePart = 16;
// A connection that holds no more than this, as an idle one does, is not closed for memory: the
// part of a door has room for so much for each.
constexpr std::size_t kSmallConnectionBytes = std::size_t{12} * 1024;

}  // namespace

bool SplitAddress(const std::string& address, std::string* ip, std::uint16_t* port) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return false;
  *ip = address.substr(0, colon);
  const bool has_brackets = ip->size() > 2 && ip->front() == '[' && ip->back() == ']';
  if (has_brackets) *ip = ip->substr(1, ip->size() - 2);
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
  // Accepted connections inherit the sizes.
  asio::error_code ignored;  // larger buffers only cost memory of the kernel
  m_acceptor.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes), ignored);
  m_acceptor.set_option(asio::socket_base::send_buffer_size(kSendBufferBytes), ignored);
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
  if (connections.size() >= budget->MaxConnections() && !CloseStalest()) {
    ++counters.refused;
    RecordClosed(CloseReason::kConnections, 0);
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
  const std::vector<std::shared_ptr<HttpCallerConnection>> all(connections.begin(),
                                                               connections.end());
  for (const auto& connection : all) {
    if (const auto reason = connection->Overdue(now)) {
      RecordClosed(*reason, connection->Held().bytes);
      connection->Close();
    }
    connection->AgeProgress();
  }
  if (m_closes_idle) CloseIdle();
  // Connections that are not read for the pressure of others do not get room by themselves.
  const bool is_high = budget->Pressure() != MemoryPressure::kNone;
  if (is_high && m_is_high_since_sweep) CloseHeaviest(budget->Excess(), kAlwaysReadBytes);
  m_is_high_since_sweep = is_high;
  for (const auto& connection : all) connection->ResumeReading();
  LogClosings();
}

void HttpListener::Impl::SetBudget(Door door, std::shared_ptr<DoorBudget> part) {
  m_door = door;
  budget = std::move(part);
}

void HttpListener::Impl::RecordClosed(CloseReason reason, std::size_t held_bytes) {
  budget->RecordClosed(reason);
  Closings& closings = m_closings[reason];
  ++closings.connections;
  closings.held_bytes += held_bytes;
}

void HttpListener::Impl::RelievePressure() {
  if (budget->Pressure() != MemoryPressure::kCritical) return;
  CloseHeaviest(budget->Excess(), kSmallConnectionBytes);
}

void HttpListener::Impl::CloseHeaviest(std::size_t excess, std::size_t small_bytes) {
  const std::vector<std::shared_ptr<HttpCallerConnection>> all(connections.begin(),
                                                               connections.end());
  std::vector<HeldConnection> held;
  held.reserve(all.size());
  for (const auto& connection : all) held.push_back(connection->Held());
  for (const std::size_t i : ChooseToClose(held, excess, small_bytes)) {
    RecordClosed(CloseReason::kMemory, held[i].bytes);
    all[i]->Relieve();
  }
}

// Idle connections are the first to go: a caller opens another one. Connections with a request in
// progress stay.
bool HttpListener::Impl::CloseStalest() {
  std::vector<std::shared_ptr<HttpCallerConnection>> candidates;
  for (const auto& connection : connections) {
    if (!connection->Busy()) candidates.push_back(connection);
  }
  const std::size_t count = std::min(candidates.size(), connections.size() / kStalePart + 1);
  std::partial_sort(
      candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count), candidates.end(),
      [](const auto& a, const auto& b) { return a->LastProgressAt() < b->LastProgressAt(); });
  for (std::size_t i = 0; i < count; ++i) {
    RecordClosed(CloseReason::kConnections, candidates[i]->Held().bytes);
    candidates[i]->Close();
  }
  return count > 0;
}

// One line for each reason and sweep, however many connections were closed.
void HttpListener::Impl::LogClosings() {
  for (const auto& [reason, closings] : m_closings) {
    if (reason == CloseReason::kIdle) continue;  // the usual end of a connection
    LogEvent(LogLevel::kWarning, "connections_closed",
             {{"door", NameOf(m_door)},
              {"reason", NameOf(reason)},
              {"connections", closings.connections},
              {"held_bytes", closings.held_bytes},
              {"open", connections.size()},
              {"memory_bytes", budget->UsedBytes()},
              {"memory_limit_bytes", budget->MaxBytes()}});
  }
  m_closings.clear();
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
void HttpListener::SetBudget(Door door, std::shared_ptr<DoorBudget> budget) {
  m_impl->SetBudget(door, std::move(budget));
}
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
