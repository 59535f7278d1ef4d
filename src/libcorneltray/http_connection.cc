#include "http_connection.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

// Time for a whole body, as a multiple of the time for one part.
constexpr int kBodyTimeouts = 12;

// Returns the events that are ready, or 0 after the timeout or on an error.
int Poll(int socket, int events, milliseconds timeout) {
  pollfd entry{socket, static_cast<decltype(pollfd::events)>(events), 0};
  const TimePoint until = Clock::now() + timeout;
  for (;;) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now());
    const int ready = ::poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(left.count(), 0)));
    if (ready >= 0) return ready == 0 ? 0 : entry.revents;
    if (errno != EINTR) return 0;
  }
}

void ReadAddress(const sockaddr_storage& storage, std::string* ip, int* port) {
  char text[INET6_ADDRSTRLEN] = {};
  if (storage.ss_family == AF_INET) {
    const auto* v4 = reinterpret_cast<const sockaddr_in*>(&storage);
    ::inet_ntop(AF_INET, &v4->sin_addr, text, sizeof(text));
    *port = ntohs(v4->sin_port);
  } else if (storage.ss_family == AF_INET6) {
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&storage);
    ::inet_ntop(AF_INET6, &v6->sin6_addr, text, sizeof(text));
    *port = ntohs(v6->sin6_port);
  }
  *ip = text;
}

}  // namespace

HttpConnection::HttpConnection(int socket, std::size_t max_header_bytes, milliseconds read_timeout,
                               milliseconds write_timeout)
    : m_socket(socket),
      m_max_header_bytes(max_header_bytes),
      m_read_timeout(read_timeout),
      m_write_timeout(write_timeout) {}

void HttpConnection::BeginRequest() {
  m_in_headers = true;
  m_head.clear();
  m_read_by = Clock::now() + m_read_timeout;
}

void HttpConnection::BeginBody() {
  m_in_headers = false;
  const TimePoint now = Clock::now();
  m_read_by = now + m_read_timeout;
  m_body_by = now + kBodyTimeouts * m_read_timeout;
}

bool HttpConnection::WaitReadable(milliseconds timeout) const {
  return m_begin < m_end || Poll(m_socket, POLLIN, timeout) != 0;
}

bool HttpConnection::HasHungUp() const {
  return (Poll(m_socket, POLLRDHUP, milliseconds(0)) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

bool HttpConnection::is_readable() const {
  const auto left = std::chrono::duration_cast<milliseconds>(m_read_by - Clock::now());
  return WaitReadable(std::max(left, milliseconds(0)));
}

bool HttpConnection::is_writable() const {
  const int events = Poll(m_socket, POLLOUT | POLLRDHUP, m_write_timeout);
  return (events & POLLOUT) != 0 && (events & (POLLRDHUP | POLLHUP | POLLERR)) == 0;
}

ssize_t HttpConnection::read(char* ptr, std::size_t size) {
  if (m_begin == m_end) {
    const ssize_t filled = Fill();
    if (filled <= 0) return filled;
  }
  const std::size_t count = std::min(size, m_end - m_begin);
  if (m_in_headers) {
    if (m_head.size() + count > m_max_header_bytes) return -1;
    m_head.append(m_buffer + m_begin, count);
  }
  std::memcpy(ptr, m_buffer + m_begin, count);
  m_begin += count;
  return static_cast<ssize_t>(count);
}

ssize_t HttpConnection::Fill() {
  if (!is_readable()) return -1;
  const ssize_t received = ::recv(m_socket, m_buffer, sizeof(m_buffer), 0);
  m_begin = 0;
  m_end = received > 0 ? static_cast<std::size_t>(received) : 0;
  // A large body over a slow link needs longer than one timeout, but not without progress.
  if (!m_in_headers) m_read_by = std::min(Clock::now() + m_read_timeout, m_body_by);
  return received;
}

ssize_t HttpConnection::write(const char* ptr, std::size_t size) {
  const ssize_t sent = ::send(m_socket, ptr, size, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK)) return sent;
  // A peer that reads slowly gets m_write_timeout for each part that fits its window.
  if ((Poll(m_socket, POLLOUT, m_write_timeout) & POLLOUT) == 0) return -1;
  return ::send(m_socket, ptr, size, MSG_NOSIGNAL | MSG_DONTWAIT);
}

void HttpConnection::get_remote_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  if (::getpeername(m_socket, reinterpret_cast<sockaddr*>(&storage), &length) == 0) {
    ReadAddress(storage, &ip, &port);
  }
}

void HttpConnection::get_local_ip_and_port(std::string& ip, int& port) const {
  sockaddr_storage storage{};
  socklen_t length = sizeof(storage);
  if (::getsockname(m_socket, reinterpret_cast<sockaddr*>(&storage), &length) == 0) {
    ReadAddress(storage, &ip, &port);
  }
}

}  // namespace corneltray
