#include "http_caller_connection.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace corneltray {
namespace {

// Bytes read ahead of the request in progress; beyond it the caller is not read until its answer
// is complete.
constexpr std::size_t kMaxReadAhead = std::size_t{16} * 1024;
// The next request of a caller waits until fewer bytes of earlier answers wait for it.
constexpr std::size_t kMaxUnsentBefore = std::size_t{64} * 1024;
// Time in which a caller reads the last bytes of an answer that ends its connection.
constexpr std::chrono::seconds kLingerTimeout{2};
// A slower caller is taken for stalled. Far below the slowest link that requests come from.
constexpr std::size_t kMinBytesPerSecond = 512;
// A new connection without a request is not closed as idle before this time.
constexpr std::chrono::milliseconds kFirstRequestDelay{300};
// Memory of a connection that holds nothing: the object, its reader and its pending operations.
constexpr std::size_t kConnectionBytes = std::size_t{3} * 1024;
// Buffers up to this size are kept for the next request.
constexpr std::size_t kKeptBufferBytes = std::size_t{4} * 1024;
// Sent bytes are removed from the front of an answer in steps of this size.
constexpr std::size_t kSentStepBytes = std::size_t{64} * 1024;

void Release(std::string* buffer) {
  buffer->clear();
  if (buffer->capacity() > kKeptBufferBytes) buffer->shrink_to_fit();
}

}  // namespace

HttpCallerConnection::HttpCallerConnection(std::shared_ptr<HttpListener::Impl> listener,
                                           asio::ip::tcp::socket socket)
    : m_listener(std::move(listener)),
      m_socket(std::move(socket)),
      m_reader(HttpMessageKind::kRequest, m_listener->limits.max_head_bytes) {}

void HttpCallerConnection::Start() {
  asio::error_code ignored;  // the options only save time and memory
  m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
  m_socket.non_blocking(true, ignored);
  m_opened_at = Clock::now();
  m_last_progress_at = m_opened_at;
  m_idle_since = m_opened_at;
  m_deadline = m_opened_at + m_listener->limits.idle_timeout;
  m_charge.SetDoor(m_listener->budget);
  Account();
  Read();
}

bool HttpCallerConnection::IsQuiet() const {
  if (m_state == State::kClosing) return true;
  return m_state == State::kReading && !m_reader.Started() && !HasFurtherInput();
}

bool HttpCallerConnection::HasFurtherInput() const { return !m_input.empty() || HasUnreadBytes(); }

bool HttpCallerConnection::HasUnreadBytes() const {
  // Bytes that the kernel holds may be a whole request.
  asio::error_code error;
  return m_socket.available(error) > 0 || error;
}

bool HttpCallerConnection::Idle() const {
  // A caller sends its request right after it has connected.
  const bool is_new = m_number == 0 && Clock::now() < m_opened_at + kFirstRequestDelay;
  return m_state == State::kReading && !is_new && Unsent() == 0 && IsQuiet();
}

std::optional<CloseReason> HttpCallerConnection::Overdue(TimePoint now) {
  if (m_state == State::kClosed) return std::nullopt;
  if (Unsent() > 0) return OverdueReader(now);
  m_answer_window.reset();
  if (m_state == State::kServing) return std::nullopt;
  if (m_state == State::kClosing) {
    return now >= m_deadline ? std::optional(CloseReason::kIdle) : std::nullopt;
  }
  if (m_paused) return std::nullopt;
  const bool is_body_slow = m_reader.HeadComplete() && IsBodySlow(now);
  if (!is_body_slow && now < m_deadline) return std::nullopt;
  // The limit may have been raised since the last answer.
  const bool is_idle = !m_reader.Started();
  if (is_idle && now < m_idle_since + m_listener->limits.idle_timeout) return std::nullopt;
  // After the event loop was held up, bytes that arrived in time may still wait to be read.
  if (HasUnreadBytes()) return std::nullopt;
  if (m_reader.HeadComplete()) return CloseReason::kSlowBody;
  return m_reader.Started() ? CloseReason::kSlowHead : CloseReason::kIdle;
}

std::size_t HttpCallerConnection::MinWindowBytes() const {
  const auto window = std::chrono::duration<double>(m_listener->limits.idle_timeout);
  return static_cast<std::size_t>(static_cast<double>(kMinBytesPerSecond) * window.count());
}

// An answer that the caller stopped reading would otherwise be held for as long as it likes.
std::optional<CloseReason> HttpCallerConnection::OverdueReader(TimePoint now) {
  const Duration window = m_listener->limits.idle_timeout;
  if (!m_answer_window) m_answer_window = ProgressWindow{now + window, 0};
  if (now < m_answer_window->ends_at) return std::nullopt;
  if (m_answer_window->bytes < MinWindowBytes()) return CloseReason::kSlowReader;
  m_answer_window = ProgressWindow{now + window, 0};
  return std::nullopt;
}

// A body that has almost arrived would otherwise be held for the time that its length allows.
bool HttpCallerConnection::IsBodySlow(TimePoint now) {
  if (now < m_body_window.ends_at) return false;
  if (m_body_window.bytes < MinWindowBytes()) return true;
  m_body_window = {now + 2 * m_listener->limits.idle_timeout, 0};
  return false;
}

HeldConnection HttpCallerConnection::Held() const {
  HeldConnection held;
  held.bytes = m_charge.Bytes();
  held.progress_bytes = m_progress_bytes;
  // A request in progress may have been sent on to an upstream. Once much of its answer waits for
  // the caller, it is the caller who keeps it.
  held.is_protected = m_state == State::kServing && Unsent() <= kMaxUnsentBefore;
  return held;
}

std::size_t HttpCallerConnection::HeldBytes() const {
  // Whoever serves a request has a copy of its head.
  const std::size_t heads = m_state == State::kServing ? 2 * m_head_bytes : m_head_bytes;
  return kConnectionBytes + m_input.capacity() + m_body.capacity() + m_output.capacity() +
         m_reader.HeldBytes() + heads;
}

void HttpCallerConnection::Relieve() {
  const bool is_partly_read = m_state == State::kReading && m_reader.Started() && Unsent() == 0;
  if (!is_partly_read) return Close();
  Refuse(503);
}

void HttpCallerConnection::Close() {
  if (m_state == State::kClosed) return;
  const bool was_serving = m_state == State::kServing;
  m_state = State::kClosed;
  m_body = std::string();
  m_input = std::string();
  m_output = std::string();
  m_output_at = 0;
  m_charge.Update(0);
  asio::error_code ignored;  // the connection is given up either way
  m_socket.close(ignored);
  const auto self = shared_from_this();
  m_listener->connections.erase(self);
  const std::function<void()> gone = std::move(m_on_gone);
  m_on_gone = nullptr;
  m_on_drained = nullptr;
  if (was_serving && gone) gone();
}

bool HttpCallerConnection::MustPause() const {
  return m_state != State::kClosing && m_charge.Bytes() > kAlwaysReadBytes &&
         m_listener->budget->Pressure() != MemoryPressure::kNone;
}

void HttpCallerConnection::ResumeReading() {
  if (!m_paused || MustPause()) return;
  m_paused = false;
  // The caller was not late while it was not read.
  const TimePoint now = Clock::now();
  m_deadline = now + m_listener->limits.idle_timeout;
  m_body_window = {now + 2 * m_listener->limits.idle_timeout, 0};
  Read();
}

void HttpCallerConnection::Read() {
  if (m_read_pending || m_state == State::kClosed || m_input.size() > kMaxReadAhead) return;
  m_paused = MustPause();
  if (m_paused) return;
  m_read_pending = true;
  m_socket.async_wait(asio::ip::tcp::socket::wait_read,
                      [self = shared_from_this()](const asio::error_code& error) {
                        self->m_read_pending = false;
                        if (self->m_state == State::kClosed) return;
                        if (error) return self->Close();
                        self->OnReadable();
                      });
}

void HttpCallerConnection::OnReadable() {
  auto& buffer = m_listener->read_buffer;
  const bool is_body = m_state == State::kReading && m_reader.HeadComplete();
  const std::size_t size = is_body ? buffer.size() : kMaxReadAhead;
  asio::error_code error;
  const std::size_t bytes = m_socket.read_some(asio::buffer(buffer.data(), size), error);
  if (error == asio::error::would_block || error == asio::error::try_again) return Read();
  if (error) return Close();
  m_progress_bytes += bytes;
  m_last_progress_at = Clock::now();
  OnRead({buffer.data(), bytes});
  Account();
  m_listener->RelievePressure();
  Read();
}

void HttpCallerConnection::OnRead(std::string_view bytes) {
  if (m_state == State::kClosing) {
    // What comes after the last answer is dropped.
    m_lingered_bytes += bytes.size();
    if (m_lingered_bytes > 2 * m_listener->limits.max_body_bytes) Close();
    return;
  }
  if (m_state == State::kReading && (m_reader.Started() || Unsent() <= kMaxUnsentBefore)) {
    return ReadRequest(bytes);
  }
  m_input.append(bytes);
}

void HttpCallerConnection::ReadRequest(std::string_view bytes) {
  if (!m_input.empty()) {
    m_input.append(bytes);
    bytes = m_input;
  }
  if (bytes.empty()) return;
  const Result<std::size_t> taken = Consume(bytes);
  if (!taken) {
    const bool large = taken.error().code == HttpReaderErrc::kHeadTooLarge;
    ++(large ? m_listener->counters.refused : m_listener->counters.malformed);
    return Refuse(large ? 431 : 400);
  }
  if (!m_input.empty()) {
    m_input.erase(0, taken.value());
    if (m_input.empty()) Release(&m_input);
  } else {
    m_input.append(bytes.substr(taken.value()));
  }
  if (!m_reader.HeadComplete() || !CheckSizes()) return;
  if (m_reader.MessageComplete()) return StartServing();
  m_deadline = std::min(Clock::now() + m_listener->limits.idle_timeout, BodyDeadline());
  if (!m_continue_sent && ListsToken(m_reader.Head().Value("Expect"), "100-continue")) {
    m_continue_sent = true;
    Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

Result<std::size_t> HttpCallerConnection::Consume(std::string_view bytes) {
  const TimePoint now = Clock::now();
  if (!m_reader.Started()) {
    m_deadline = now + m_listener->limits.head_timeout;
    m_body_deadline.reset();
    m_body_window = {now + 2 * m_listener->limits.idle_timeout, 0};
  }
  if (m_reader.HeadComplete()) GrowBody(bytes.size());
  Result<std::size_t> taken = m_reader.Read(bytes, &m_body);
  if (!taken) return taken;
  m_body_window.bytes += taken.value();
  if (!m_listener->limits.keeps_bodies) {
    m_dropped_bytes += m_body.size();
    m_body.clear();
  }
  return taken;
}

// Makes room for bytes of a body: twice as much as there is, but not more than may come.
void HttpCallerConnection::GrowBody(std::size_t bytes) {
  const std::size_t needed = m_body.size() + bytes;
  if (needed <= m_body.capacity()) return;
  const bool has_length = m_reader.Head().Find("Content-Length") != nullptr;
  const std::size_t most = has_length ? AnnouncedLength() : m_listener->limits.max_body_bytes;
  // A string that holds something grows to twice its size at least, so a new one is made.
  std::string grown;
  grown.reserve(std::max(std::min(2 * m_body.capacity(), most), std::min(needed, most)));
  grown.append(m_body);
  m_body.swap(grown);
}

std::size_t HttpCallerConnection::AnnouncedLength() const {
  const std::string announced(m_reader.Head().Value("Content-Length"));
  return std::strtoull(announced.c_str(), nullptr, 10);
}

// Set when the head has been read. A caller that sends a byte now and then would otherwise keep the
// connection, and what was read of its body, for as long as it likes.
TimePoint HttpCallerConnection::BodyDeadline() {
  const HttpListenerLimits& limits = m_listener->limits;
  if (!m_body_deadline) {
    const bool has_length = m_reader.Head().Find("Content-Length") != nullptr;
    const std::size_t bytes = has_length ? AnnouncedLength() : limits.max_body_bytes;
    m_body_deadline =
        Clock::now() + 2 * limits.idle_timeout + std::chrono::seconds(bytes / kMinBytesPerSecond);
  }
  return *m_body_deadline;
}

// Refuses a body that is too large, from its announced length where there is one.
bool HttpCallerConnection::CheckSizes() {
  const std::size_t length = std::max(m_body.size() + m_dropped_bytes, AnnouncedLength());
  if (length <= m_listener->limits.max_body_bytes) return true;
  ++m_listener->counters.refused;
  Refuse(413);
  return false;
}

void HttpCallerConnection::StartServing() {
  // Whoever serves the request holds it once more. Nothing has been sent on yet, so this is the
  // last moment to refuse it as not run.
  const std::size_t copy_bytes = m_body.size() + m_reader.HeldBytes();
  if (copy_bytes > kAlwaysReadBytes && !m_listener->budget->Fits(copy_bytes)) {
    m_listener->RecordClosed(CloseReason::kMemory, HeldBytes());
    return Refuse(503);
  }
  m_state = State::kServing;
  ++m_number;
  m_read_at = Clock::now();
  m_keep_alive = m_reader.KeepsConnection();
  m_head = m_reader.TakeHead();
  m_head_bytes = corneltray::HeldBytes(m_head);
  m_no_body = m_head.method == "HEAD";
  m_begun = false;
  m_chunked = false;
  m_on_gone = nullptr;
  m_on_drained = nullptr;
  Account();
  m_listener->handler(HttpCall(shared_from_this(), m_number));
}

// Answers a request that cannot be read to its end, and closes.
void HttpCallerConnection::Refuse(int status) {
  m_keep_alive = false;
  m_state = State::kServing;
  m_begun = false;
  m_no_body = false;
  m_on_gone = nullptr;
  m_on_drained = nullptr;
  m_reader.Restart();
  Release(&m_input);
  Respond(MakeResponse(status), "");
}

void HttpCallerConnection::Respond(HttpHead head, std::string_view body) {
  if (!m_no_body) head.Set("Content-Length", std::to_string(body.size()));
  Begin(std::move(head));
  Write(body);
  End();
}

void HttpCallerConnection::Begin(HttpHead head) {
  if (m_state != State::kServing || m_begun) return;
  m_begun = true;
  // A pipelined request is answered on this connection: its caller may not repeat it elsewhere.
  if (m_listener->Draining() && !HasFurtherInput()) m_keep_alive = false;
  const bool has_length = head.Find("Content-Length") != nullptr;
  if (!has_length && !m_no_body && head.status != 204 && head.status != 304) {
    // A caller of HTTP/1.0 reads up to the end of the connection.
    m_chunked = m_head.minor_version > 0;
    if (m_chunked) {
      head.Set("Transfer-Encoding", "chunked");
    } else {
      m_keep_alive = false;
    }
  }
  if (!m_keep_alive) {
    head.Set("Connection", "close");
  } else if (m_head.minor_version == 0) {
    head.Set("Connection", "keep-alive");
  }
  m_output += FormatResponseHead(head);
}

void HttpCallerConnection::Write(std::string_view bytes) {
  if (m_state != State::kServing || !m_begun || bytes.empty() || m_no_body) return;
  if (m_chunked) {
    std::array<char, 20> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    m_output.append(size.data(), static_cast<std::size_t>(length));
    m_output.append(bytes);
    m_output += "\r\n";
  } else {
    m_output.append(bytes);
  }
  Flush();
}

void HttpCallerConnection::End() {
  if (m_state != State::kServing || !m_begun) return;
  if (m_chunked) m_output += "0\r\n\r\n";
  m_on_gone = nullptr;
  m_on_drained = nullptr;
  ReleaseBody();
  m_state = m_keep_alive ? State::kReading : State::kClosing;
  m_idle_since = Clock::now();
  m_deadline = m_idle_since + (m_keep_alive ? m_listener->limits.idle_timeout : kLingerTimeout);
  Flush();
  FinishServing();
}

// Goes on to the next request, or ends the connection once everything is written.
void HttpCallerConnection::FinishServing() {
  if (m_state == State::kReading) {
    m_reader.Restart();
    m_continue_sent = false;
    // Not from here: the handler of the answered request is still on the stack.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->NextRequest(); });
    return;
  }
  if (m_state != State::kClosing || Unsent() > 0) return;
  // Closing with unread bytes would reset the connection and may lose the answer, so only the
  // sending side is closed; the other one is read until the caller closes it.
  asio::error_code error;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
  if (error) return Close();
  Read();
}

void HttpCallerConnection::NextRequest() {
  if (m_state != State::kReading) return;
  if (!m_reader.Started()) {
    m_head = {};
    m_head_bytes = 0;
    if (Unsent() > kMaxUnsentBefore) return Account();  // goes on once the caller has read
    ReadRequest({});
  }
  Account();
  Read();
}

void HttpCallerConnection::ReleaseBody() {
  m_body = std::string();
  m_dropped_bytes = 0;
}

void HttpCallerConnection::Send(std::string_view bytes) {
  m_output.append(bytes);
  Flush();
}

void HttpCallerConnection::Flush() {
  while (!m_write_pending && Unsent() > 0 && m_state != State::kClosed) {
    asio::error_code error;
    const std::size_t written =
        m_socket.write_some(asio::buffer(m_output.data() + m_output_at, Unsent()), error);
    if (error == asio::error::would_block || error == asio::error::try_again) {
      WaitWritable();
      break;
    }
    if (error) {
      // Not from here: the handler that wrote is still on the stack.
      asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->Close(); });
      m_write_pending = true;
      return;
    }
    m_output_at += written;
    m_progress_bytes += written;
    if (m_answer_window) m_answer_window->bytes += written;
  }
  ReleaseSent();
  Account();
}

void HttpCallerConnection::ReleaseSent() {
  if (Unsent() == 0) {
    Release(&m_output);
    m_output_at = 0;
  } else if (m_output_at >= kSentStepBytes && m_output_at >= Unsent()) {
    m_output = m_output.substr(m_output_at);
    m_output_at = 0;
  }
}

void HttpCallerConnection::WaitWritable() {
  m_write_pending = true;
  m_socket.async_wait(asio::ip::tcp::socket::wait_write,
                      [self = shared_from_this()](const asio::error_code& error) {
                        self->m_write_pending = false;
                        if (self->m_state == State::kClosed) return;
                        if (error) return self->Close();
                        self->Flush();
                        self->m_last_progress_at = Clock::now();
                        if (self->Unsent() == 0) self->OnDrained();
                      });
}

// The caller has read what waited for it.
void HttpCallerConnection::OnDrained() {
  m_answer_window.reset();
  switch (m_state) {
    case State::kClosing:
      m_deadline = Clock::now() + kLingerTimeout;
      return FinishServing();
    case State::kReading:
      if (!m_reader.Started()) {
        m_idle_since = Clock::now();
        m_deadline = m_idle_since + m_listener->limits.idle_timeout;
      }
      return NextRequest();
    case State::kServing:
      if (m_on_drained) m_on_drained();
      return;
    case State::kClosed:
      return;
  }
}

}  // namespace corneltray
