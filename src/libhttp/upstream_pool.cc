#include "corneltray/upstream_pool.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <map>
#include <utility>
#include <vector>

#include "corneltray/http_listener.h"
#include "corneltray/http_reader.h"

namespace corneltray {
namespace {

constexpr std::size_t kMaxAnswerHeadBytes = std::size_t{32} * 1024;
// Interim answers and answers to other requests that are skipped before the one that is waited for.
constexpr std::size_t kMaxSkippedBytes = std::size_t{256} * 1024;
// An idle connection is not reused for this long before the upstream says that it closes it.
constexpr std::chrono::milliseconds kKeepAliveMargin{1000};
constexpr std::chrono::milliseconds kDefaultKeepAlive{500};
constexpr std::chrono::milliseconds kSweepInterval{1000};
constexpr std::size_t kMaxIdlePerAddress = 64;
// Memory of a connection beside the request that it sends.
constexpr std::size_t kConnectionBytes = std::size_t{8} * 1024;

// Reads "timeout=N" of a Keep-Alive field, in seconds.
std::chrono::milliseconds KeepAliveTime(std::string_view field) {
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = field.find(kName);
  if (at == std::string_view::npos) return kDefaultKeepAlive;
  std::int64_t seconds = 0;
  const char* begin = field.data() + at + kName.size();
  const auto [rest, error] = std::from_chars(begin, field.data() + field.size(), seconds);
  if (error != std::errc() || rest == begin) return kDefaultKeepAlive;
  constexpr std::int64_t kMaxSeconds = 3600;
  return std::chrono::seconds(std::clamp<std::int64_t>(seconds, 0, kMaxSeconds)) - kKeepAliveMargin;
}

}  // namespace

class UpstreamPool::Impl : public std::enable_shared_from_this<UpstreamPool::Impl> {
 public:
  explicit Impl(asio::io_context* io) : m_io(io), m_sweep_timer(*io) {}

  UpstreamCall Send(UpstreamRequest request, UpstreamCallbacks callbacks);
  void Probe(const std::string& address, TimePoint deadline);
  void Observe(const std::string& address, bool is_connected) const {
    if (observer) observer(address, is_connected);
  }
  void Release(const std::shared_ptr<UpstreamConnection>& connection, TimePoint expires_at);
  void Remove(const std::shared_ptr<UpstreamConnection>& connection);
  void Forget(const std::string& address);
  void CloseAll();

  UpstreamPoolCounters counters;
  UpstreamPool::ConnectObserver observer;
  std::shared_ptr<DoorBudget> budget;  // null: not counted
  std::size_t max_connections = std::numeric_limits<std::size_t>::max();

 private:
  struct Idle {
    std::shared_ptr<UpstreamConnection> connection;
    TimePoint expires_at{};
  };

  std::shared_ptr<UpstreamConnection> Open(const std::string& address);
  std::shared_ptr<UpstreamConnection> TakeIdle(const std::string& address);
  void PlanSweep();
  void Sweep();

  asio::io_context* m_io;
  asio::steady_timer m_sweep_timer;
  bool m_sweep_planned = false;
  std::map<std::string, std::vector<Idle>> m_idle;
  std::vector<std::weak_ptr<UpstreamConnection>> m_all;
};

class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  UpstreamConnection(std::shared_ptr<UpstreamPool::Impl> pool, asio::io_context* io,
                     std::string address)
      : m_pool(std::move(pool)),
        m_socket(*io),
        m_timer(*io),
        m_address(std::move(address)),
        m_reader(HttpMessageKind::kResponse, kMaxAnswerHeadBytes),
        m_charge(m_pool->budget) {
    Account();
  }

  const std::string& Address() const { return m_address; }

  // Of the request in progress, or of the last one.
  std::uint64_t Number() const { return m_number; }
  bool Busy() const { return m_busy; }

  void Start(UpstreamRequest request, UpstreamCallbacks callbacks, bool connect) {
    m_busy = true;
    ++m_number;
    m_request = std::move(request);
    Account();
    m_callbacks = std::move(callbacks);
    RestartReader();
    m_paused = false;
    m_skipped_bytes = 0;
    m_body_bytes = 0;
    if (connect) {
      Connect();
    } else {
      SendRequest();
    }
  }

  // Opens the connection, which is closed again at once.
  void Probe(TimePoint deadline) {
    m_busy = true;
    m_is_probe = true;
    m_request.connect_deadline = deadline;
    Connect();
  }

  void PauseReading() { m_paused = true; }

  void ResumeReading() {
    if (!std::exchange(m_paused, false)) return;
    Read();
  }

  // Called from callbacks too, so these are not destroyed here; a closed connection calls none.
  void Close() {
    if (std::exchange(m_closed, true)) return;
    asio::error_code ignored;  // the connection is given up either way
    m_timer.cancel();
    m_socket.close(ignored);
    m_pool->Remove(shared_from_this());
  }

 private:
  void Account() { m_charge.Update(kConnectionBytes + m_request.bytes.capacity()); }

  void RestartReader() {
    m_reader.Restart();
    if (m_request.without_body) m_reader.ExpectNoBody();
  }

  void Connect() {
    std::string ip;
    std::uint16_t port = 0;
    const auto self = shared_from_this();
    if (!SplitAddress(m_address, &ip, &port)) {
      asio::post(m_socket.get_executor(), [self] { self->Fail(UpstreamFailure::kNotConnected); });
      return;
    }
    ++m_pool->counters.connects;
    m_timer.expires_at(m_request.connect_deadline);
    m_timer.async_wait([self](const asio::error_code& cancelled) {
      if (cancelled || self->m_connected || self->m_closed) return;
      self->FailToConnect();
    });
    m_socket.async_connect({asio::ip::make_address(ip), port},
                           [self](const asio::error_code& error) { self->OnConnect(error); });
  }

  void OnConnect(const asio::error_code& error) {
    if (m_closed) return;
    if (error) return FailToConnect();
    m_connected = true;
    m_timer.cancel();
    m_pool->Observe(m_address, true);
    if (m_is_probe) return Close();
    asio::error_code ignored;  // only saves a delay
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    SendRequest();
    Read();
  }

  void FailToConnect() {
    ++m_pool->counters.connect_failures;
    m_pool->Observe(m_address, false);
    Fail(UpstreamFailure::kNotConnected);
  }

  // Fails the request at a deadline, while it is being written or until its answer is there.
  void FailAt(TimePoint deadline) {
    m_timer.expires_at(deadline);
    m_timer.async_wait(
        [self = shared_from_this(), number = m_number](const asio::error_code& cancelled) {
          if (cancelled || !self->m_busy || self->m_number != number) return;
          self->FailUnfinished();
        });
  }

  void WatchAnswer() {
    if (m_request.answer_deadline) FailAt(*m_request.answer_deadline);
  }

  void SendRequest() {
    const auto self = shared_from_this();
    m_writing = true;
    if (m_request.write_deadline) {
      FailAt(*m_request.write_deadline);
    } else {
      WatchAnswer();
    }
    asio::async_write(m_socket, asio::buffer(m_request.bytes),
                      [self](const asio::error_code& error, std::size_t) {
                        self->m_writing = false;
                        self->m_request.bytes = std::string();
                        self->Account();
                        if (!self->m_closed) self->OnWritten(error);
                      });
  }

  void Read() {
    if (m_closed || m_reading || m_paused) return;
    m_reading = true;
    m_socket.async_read_some(
        asio::buffer(m_chunk),
        [self = shared_from_this()](const asio::error_code& error, std::size_t bytes) {
          self->m_reading = false;
          if (self->m_closed) return;
          if (error) {
            self->OnEnd(error);
          } else {
            self->OnBytes({self->m_chunk.data(), bytes});
          }
        });
  }

  // A failed write does not end the request: its answer may be there already.
  void OnWritten(const asio::error_code& error) {
    if (error) m_write_failed = true;
    if (m_busy && m_request.write_deadline) {
      m_timer.cancel();
      WatchAnswer();
    }
    if (m_is_ended_by_close) FinishAtClose();
  }

  void OnEnd(const asio::error_code& error) {
    if (!m_busy) return Close();
    if (error != asio::error::eof || !m_reader.HeadComplete() || !m_reader.ReadEnd().Ok()) {
      return FailUnfinished();
    }
    m_is_ended_by_close = true;
    if (!m_writing) FinishAtClose();
  }

  // Ends an answer whose end is that of the connection. The system reports a reset once. If the
  // write gets it, the read sees an ordinary end of the stream, which may lie inside the answer, so
  // only a request that was written whole shows that the upstream has ended its answer.
  void FinishAtClose() {
    if (m_write_failed) return FailUnfinished();
    Finish();
  }

  void FailUnfinished() {
    Fail(m_reader.Started() ? UpstreamFailure::kTruncated : UpstreamFailure::kNoAnswer);
  }

  void OnBytes(std::string_view bytes) {
    // Bytes outside of an answer belong to no request.
    if (!m_busy) return Close();
    while (!bytes.empty() && m_busy && !m_closed) {
      m_body.clear();
      const Result<std::size_t> taken = m_reader.Read(bytes, &m_body);
      if (!taken) return Fail(UpstreamFailure::kMalformed);
      bytes.remove_prefix(taken.value());
      if (!OnProgress(taken.value())) return;
    }
    if (m_closed) return;
    if (!m_busy && !bytes.empty()) return Close();
    Read();
  }

  // Hands out what the reader has, after it took so many bytes. Returns false when reading must
  // stop.
  bool OnProgress(std::size_t bytes) {
    if (!m_reader.HeadComplete()) return true;
    if (!m_head_given && !m_skipping) {
      const HttpHead& head = m_reader.Head();
      const bool interim = head.status < kFirstFinalStatus;
      const bool foreign = !interim && m_request.is_answer && !m_request.is_answer(head);
      if (foreign) ++m_pool->counters.skipped_answers;
      m_skipping = interim || foreign;
      if (foreign && !m_reader.KeepsConnection()) {
        Fail(UpstreamFailure::kNoAnswer);
        return false;
      }
    }
    if (m_skipping) {
      m_skipped_bytes += bytes;
      if (m_skipped_bytes > kMaxSkippedBytes) {
        Fail(UpstreamFailure::kMalformed);
        return false;
      }
      if (!m_reader.MessageComplete()) return true;
      m_skipping = false;
      RestartReader();
      return true;
    }
    const auto self = shared_from_this();
    if (!std::exchange(m_head_given, true)) {
      m_keep_alive = KeepAliveTime(m_reader.Head().Value("Keep-Alive"));
      if (m_callbacks.on_head) m_callbacks.on_head(m_reader.Head());
    }
    if (m_closed) return false;
    m_body_bytes += m_body.size();
    if (m_body_bytes > m_request.max_body_bytes) {
      Fail(UpstreamFailure::kMalformed);
      return false;
    }
    if (!m_body.empty() && m_callbacks.on_body) m_callbacks.on_body(m_body);
    if (m_closed) return false;
    if (m_reader.MessageComplete()) Finish();
    return !m_closed;
  }

  void Finish() {
    const bool reusable = m_reader.KeepsConnection() && !m_writing && !m_write_failed &&
                          m_keep_alive > std::chrono::milliseconds(0);
    const UpstreamCallbacks callbacks = std::move(m_callbacks);
    m_callbacks = {};
    m_busy = false;
    m_head_given = false;
    m_timer.cancel();
    if (reusable) {
      m_pool->Release(shared_from_this(), Clock::now() + m_keep_alive);
    } else {
      Close();
    }
    if (callbacks.on_end) callbacks.on_end();
  }

  void Fail(UpstreamFailure failure) {
    if (m_closed) return;
    const UpstreamCallbacks callbacks = std::move(m_callbacks);
    m_callbacks = {};
    m_busy = false;
    Close();
    if (callbacks.on_failure) callbacks.on_failure(failure);
  }

  std::shared_ptr<UpstreamPool::Impl> m_pool;
  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;  // of the connection until it is open, then of the answer
  std::string m_address;
  HttpReader m_reader;
  MemoryCharge m_charge;
  UpstreamRequest m_request;
  UpstreamCallbacks m_callbacks;
  std::array<char, 4096> m_chunk;
  std::string m_body;
  std::chrono::milliseconds m_keep_alive = kDefaultKeepAlive;
  std::uint64_t m_number = 0;
  std::size_t m_skipped_bytes = 0;  // before the answer in progress
  std::size_t m_body_bytes = 0;     // of the answer in progress
  bool m_is_probe = false;
  bool m_connected = false;
  bool m_busy = false;
  bool m_writing = false;
  bool m_write_failed = false;
  bool m_is_ended_by_close = false;  // the answer in progress, without a length or chunks
  bool m_reading = false;
  bool m_paused = false;
  bool m_head_given = false;
  bool m_skipping = false;
  bool m_closed = false;
};

UpstreamCall UpstreamPool::Impl::Send(UpstreamRequest request, UpstreamCallbacks callbacks) {
  std::shared_ptr<UpstreamConnection> connection;
  if (!request.fresh_connection) connection = TakeIdle(request.address);
  const bool connect = connection == nullptr;
  if (connect) {
    connection = Open(request.address);
  } else {
    ++counters.reused;
  }
  connection->Start(std::move(request), std::move(callbacks), connect);
  return {connection, connection->Number()};
}

void UpstreamPool::Impl::Probe(const std::string& address, TimePoint deadline) {
  Open(address)->Probe(deadline);
}

std::shared_ptr<UpstreamConnection> UpstreamPool::Impl::Open(const std::string& address) {
  auto connection = std::make_shared<UpstreamConnection>(shared_from_this(), m_io, address);
  ++counters.open;
  m_all.push_back(connection);
  return connection;
}

std::shared_ptr<UpstreamConnection> UpstreamPool::Impl::TakeIdle(const std::string& address) {
  const TimePoint now = Clock::now();
  while (true) {
    // Looked up anew each time: closing the last connection drops the entry.
    const auto found = m_idle.find(address);
    if (found == m_idle.end() || found->second.empty()) return nullptr;
    const Idle last = found->second.back();  // the one used most recently
    found->second.pop_back();
    if (now < last.expires_at) return last.connection;
    last.connection->Close();
  }
}

void UpstreamPool::Impl::Release(const std::shared_ptr<UpstreamConnection>& connection,
                                 TimePoint expires_at) {
  std::vector<Idle>& idle = m_idle[connection->Address()];
  const bool is_full = idle.size() >= kMaxIdlePerAddress || counters.open > max_connections;
  if (is_full) return connection->Close();
  idle.push_back({connection, expires_at});
  PlanSweep();
}

void UpstreamPool::Impl::Remove(const std::shared_ptr<UpstreamConnection>& connection) {
  --counters.open;
  const auto found = m_idle.find(connection->Address());
  if (found == m_idle.end()) return;
  std::vector<Idle>& idle = found->second;
  idle.erase(std::remove_if(idle.begin(), idle.end(),
                            [&](const Idle& one) { return one.connection == connection; }),
             idle.end());
  if (idle.empty()) m_idle.erase(found);
}

void UpstreamPool::Impl::Forget(const std::string& address) {
  const auto found = m_idle.find(address);
  if (found == m_idle.end()) return;
  const std::vector<Idle> idle = found->second;
  for (const Idle& one : idle) one.connection->Close();
}

void UpstreamPool::Impl::PlanSweep() {
  if (std::exchange(m_sweep_planned, true)) return;
  m_sweep_timer.expires_after(kSweepInterval);
  m_sweep_timer.async_wait([self = shared_from_this()](const asio::error_code& cancelled) {
    self->m_sweep_planned = false;
    if (!cancelled) self->Sweep();
  });
}

void UpstreamPool::Impl::Sweep() {
  const TimePoint now = Clock::now();
  std::vector<std::shared_ptr<UpstreamConnection>> expired;
  for (const auto& [address, idle] : m_idle) {
    for (const Idle& one : idle) {
      if (now >= one.expires_at) expired.push_back(one.connection);
    }
  }
  for (const auto& connection : expired) connection->Close();
  const auto gone = [](const std::weak_ptr<UpstreamConnection>& one) { return one.expired(); };
  m_all.erase(std::remove_if(m_all.begin(), m_all.end(), gone), m_all.end());
  if (!m_idle.empty()) PlanSweep();
}

void UpstreamPool::Impl::CloseAll() {
  m_sweep_timer.cancel();
  const auto all = m_all;
  for (const auto& weak : all) {
    if (const auto connection = weak.lock()) connection->Close();
  }
}

UpstreamPool::UpstreamPool(asio::io_context* io) : m_impl(std::make_shared<Impl>(io)) {}
UpstreamPool::~UpstreamPool() {
  m_impl->observer = nullptr;
  m_impl->CloseAll();
}

UpstreamCall UpstreamPool::Send(UpstreamRequest request, UpstreamCallbacks callbacks) {
  return m_impl->Send(std::move(request), std::move(callbacks));
}
void UpstreamPool::Probe(const std::string& address, TimePoint deadline) {
  m_impl->Probe(address, deadline);
}
void UpstreamPool::SetConnectObserver(ConnectObserver observer) {
  m_impl->observer = std::move(observer);
}
void UpstreamPool::SetBudget(std::shared_ptr<DoorBudget> door, std::size_t max_connections) {
  m_impl->budget = std::move(door);
  m_impl->max_connections = max_connections;
}
void UpstreamPool::Forget(const std::string& address) { m_impl->Forget(address); }
void UpstreamPool::CloseAll() { m_impl->CloseAll(); }
UpstreamPoolCounters UpstreamPool::Counters() const { return m_impl->counters; }

std::shared_ptr<UpstreamConnection> UpstreamCall::Current() const {
  auto connection = m_connection.lock();
  const bool current = connection && connection->Busy() && connection->Number() == m_number;
  return current ? connection : nullptr;
}
void UpstreamCall::Cancel() {
  if (const auto connection = Current()) connection->Close();
}
void UpstreamCall::PauseReading() {
  if (const auto connection = Current()) connection->PauseReading();
}
void UpstreamCall::ResumeReading() {
  if (const auto connection = Current()) connection->ResumeReading();
}

}  // namespace corneltray
