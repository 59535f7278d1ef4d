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
constexpr std::size_t kMaxReadAhead = std::size_t{64} * 1024;
// Time in which a caller reads the last bytes of an answer that ends its connection.
constexpr std::chrono::seconds kLingerTimeout{2};
// A slower caller is taken for stalled. Far below the slowest link that requests come from.
constexpr std::size_t kMinBodyBytesPerSecond = 512;
// A new connection without a request is not closed as idle before this time.
constexpr std::chrono::milliseconds kFirstRequestDelay{300};

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
  m_deadline = m_opened_at + m_listener->limits.idle_timeout;
  Read();
}

bool HttpCallerConnection::IsQuiet() const {
  if (m_state == State::kClosing) return true;
  if (m_state != State::kReading || m_reader.Started() || !m_input.empty()) return false;
  // Bytes that the kernel holds may be a whole request.
  asio::error_code error;
  return m_socket.available(error) == 0 && !error;
}

bool HttpCallerConnection::Idle() const {
  // A caller sends its request right after it has connected.
  const bool is_new = m_number == 0 && Clock::now() < m_opened_at + kFirstRequestDelay;
  return m_state == State::kReading && !is_new && Unsent() == 0 && IsQuiet();
}

bool HttpCallerConnection::Expired(TimePoint now) const {
  return (m_state == State::kReading || m_state == State::kClosing) && now >= m_deadline;
}

void HttpCallerConnection::Close() {
  if (m_state == State::kClosed) return;
  const bool was_serving = m_state == State::kServing;
  m_state = State::kClosed;
  ReleaseBody();
  asio::error_code ignored;  // the connection is given up either way
  m_socket.close(ignored);
  const auto self = shared_from_this();
  m_listener->connections.erase(self);
  const std::function<void()> gone = std::move(m_on_gone);
  m_on_gone = nullptr;
  m_on_drained = nullptr;
  if (was_serving && gone) gone();
}

void HttpCallerConnection::Read() {
  if (m_read_pending || m_state == State::kClosed || m_input.size() > kMaxReadAhead) return;
  m_read_pending = true;
  m_socket.async_read_some(
      asio::buffer(m_chunk),
      [self = shared_from_this()](const asio::error_code& error, std::size_t bytes) {
        self->m_read_pending = false;
        if (self->m_state == State::kClosed) return;
        if (error) {
          self->Close();
        } else {
          self->OnRead(bytes);
        }
      });
}

void HttpCallerConnection::OnRead(std::size_t bytes) {
  if (m_state == State::kClosing) return Read();  // what comes after the last answer is dropped
  m_input.append(m_chunk.data(), bytes);
  if (m_state == State::kReading) ReadRequest();
  Read();
}

void HttpCallerConnection::ReadRequest() {
  if (m_input.empty()) return;
  if (!m_reader.Started()) {
    m_deadline = Clock::now() + m_listener->limits.head_timeout;
    m_body_deadline.reset();
  }
  const Result<std::size_t> taken = m_reader.Read(m_input, &m_body);
  if (!taken) {
    const bool large = taken.error().code == HttpReaderErrc::kHeadTooLarge;
    ++(large ? m_listener->counters.refused : m_listener->counters.malformed);
    return Refuse(large ? 431 : 400);
  }
  m_input.erase(0, taken.value());
  if (!m_reader.HeadComplete() || !CheckSizes()) return;
  if (m_reader.MessageComplete()) return StartServing();
  m_deadline = std::min(Clock::now() + m_listener->limits.idle_timeout, BodyDeadline());
  if (!m_continue_sent && ListsToken(m_reader.Head().Value("Expect"), "100-continue")) {
    m_continue_sent = true;
    Send("HTTP/1.1 100 Continue\r\n\r\n");
  }
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
    m_body_deadline = Clock::now() + 2 * limits.idle_timeout +
                      std::chrono::seconds(bytes / kMinBodyBytesPerSecond);
  }
  return *m_body_deadline;
}

// Refuses a body that is too large, from its announced length where there is one.
bool HttpCallerConnection::CheckSizes() {
  const HttpListenerLimits& limits = m_listener->limits;
  const std::size_t length = std::max(m_body.size(), AnnouncedLength());
  if (length > limits.max_body_bytes) {
    ++m_listener->counters.refused;
    Refuse(413);
    return false;
  }
  m_listener->buffered_bytes += m_body.size() - m_counted_body;
  m_counted_body = m_body.size();
  if (m_listener->buffered_bytes > limits.max_buffered_bytes) {
    ++m_listener->counters.refused;
    Refuse(503);
    return false;
  }
  return true;
}

void HttpCallerConnection::StartServing() {
  m_state = State::kServing;
  ++m_number;
  m_read_at = Clock::now();
  m_keep_alive = m_reader.KeepsConnection();
  m_head = m_reader.TakeHead();
  m_no_body = m_head.method == "HEAD";
  m_begun = false;
  m_chunked = false;
  m_on_gone = nullptr;
  m_on_drained = nullptr;
  m_listener->handler(HttpCall(shared_from_this(), m_number));
}

// Answers a request that cannot be read to its end, and closes.
void HttpCallerConnection::Refuse(int status) {
  m_keep_alive = false;
  m_state = State::kServing;
  m_begun = false;
  m_no_body = false;
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
  if (m_listener->Draining()) m_keep_alive = false;
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
  m_deadline = Clock::now() + (m_keep_alive ? m_listener->limits.idle_timeout : kLingerTimeout);
  Flush();
  FinishServing();
}

// Goes on to the next request, or ends the connection once everything is written.
void HttpCallerConnection::FinishServing() {
  if (m_state == State::kReading) {
    m_reader.Restart();
    m_continue_sent = false;
    m_body.clear();
    // Not from here: the handler of the answered request is still on the stack.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
      if (self->m_state != State::kReading) return;
      self->ReadRequest();
      self->Read();
    });
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

void HttpCallerConnection::ReleaseBody() {
  m_listener->buffered_bytes -= m_counted_body;
  m_counted_body = 0;
  m_body.clear();
  m_body.shrink_to_fit();
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
    if (error == asio::error::would_block || error == asio::error::try_again) return WaitWritable();
    if (error) {
      // Not from here: the handler that wrote is still on the stack.
      asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->Close(); });
      m_write_pending = true;
      return;
    }
    m_output_at += written;
  }
  if (Unsent() == 0) {
    m_output.clear();
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
                        if (self->Unsent() > 0) return;
                        if (self->m_state == State::kClosing) return self->FinishServing();
                        if (self->m_on_drained) self->m_on_drained();
                      });
}

}  // namespace corneltray
