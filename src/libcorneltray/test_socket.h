#ifndef CORNELTRAY_TEST_SOCKET_H_
#define CORNELTRAY_TEST_SOCKET_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace corneltray {

// A TCP connection for tests, which sends and receives exact bytes.
class TestSocket {
 public:
  explicit TestSocket(int socket) : m_socket(socket) {}
  explicit TestSocket(const std::string& address) : m_socket(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in target = Address(std::stoi(address.substr(address.rfind(':') + 1)));
    if (::connect(m_socket, reinterpret_cast<sockaddr*>(&target), sizeof(target)) != 0) Close();
  }
  ~TestSocket() { Close(); }
  TestSocket(const TestSocket&) = delete;
  TestSocket& operator=(const TestSocket&) = delete;

  static sockaddr_in Address(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
  }

  bool IsOpen() const { return m_socket >= 0; }
  bool Send(const std::string& text) {
    return ::send(m_socket, text.data(), text.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(text.size());
  }

  // Reads while the condition holds for what this call has received, the peer closes or 5 s have
  // passed, and returns it.
  std::string ReadWhile(const std::function<bool(const std::string&)>& wants_more) {
    std::string received;
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (std::chrono::steady_clock::now() < until && wants_more(received)) {
      pollfd entry{m_socket, POLLIN, 0};
      if (::poll(&entry, 1, 100) <= 0) continue;
      char buffer[4096];
      const ssize_t count = ::recv(m_socket, buffer, sizeof(buffer), 0);
      if (count <= 0) {
        m_peer_closed = true;
        return received;
      }
      received.append(buffer, static_cast<std::size_t>(count));
    }
    return received;
  }
  // Reads until the text occurs; an empty text reads until the peer closes.
  std::string ReadUntil(const std::string& text) {
    return ReadWhile([&text](const std::string& received) {
      return text.empty() || received.find(text) == std::string::npos;
    });
  }
  // Reads one HTTP request with its body.
  std::string ReadRequest() {
    // Copying all that was received, for each part of a body of megabytes, would take seconds.
    constexpr std::size_t kMaxDigits = 19;
    return ReadWhile([](const std::string& received) {
      const std::size_t head = received.find("\r\n\r\n");
      if (head == std::string::npos) return true;
      const std::size_t at = received.find("Content-Length: ");
      const std::size_t length = at < head ? std::stoul(received.substr(at + 16, kMaxDigits)) : 0;
      return received.size() < head + 4 + length;
    });
  }
  std::string ReadAll() { return ReadUntil(""); }
  bool PeerClosed() const { return m_peer_closed; }

  // Waits until bytes have arrived, and leaves them unread.
  bool WaitReadable() const {
    pollfd entry{m_socket, POLLIN, 0};
    return ::poll(&entry, 1, 5000) == 1;
  }

  // Ends the stream to the peer; its bytes can still be read.
  void EndSending() const { ::shutdown(m_socket, SHUT_WR); }

  // Closes with a reset, as when a host fails with unread data.
  void Reset() {
    const linger now{1, 0};
    ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    Close();
  }
  void Close() {
    if (m_socket >= 0) ::close(m_socket);
    m_socket = -1;
  }

 private:
  int m_socket;
  bool m_peer_closed = false;
};

// A peer that runs a script on each accepted connection, one after the other.
class ScriptedPeer {
 public:
  using Script = std::function<void(TestSocket*)>;

  explicit ScriptedPeer(Script script, int port = 0)
      : m_listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    const int on = 1;
    ::setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in own = TestSocket::Address(port);
    (void)::bind(m_listener, reinterpret_cast<sockaddr*>(&own), sizeof(own));
    ::listen(m_listener, 16);
    socklen_t length = sizeof(own);
    ::getsockname(m_listener, reinterpret_cast<sockaddr*>(&own), &length);
    m_address = "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
    m_thread = std::thread([this, script = std::move(script)] {
      for (;;) {
        const int socket = ::accept(m_listener, nullptr, nullptr);
        if (socket < 0) return;
        ++m_connections;
        TestSocket connection(socket);
        script(&connection);
      }
    });
  }
  ~ScriptedPeer() {
    ::shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
  }
  ScriptedPeer(const ScriptedPeer&) = delete;
  ScriptedPeer& operator=(const ScriptedPeer&) = delete;

  const std::string& Address() const { return m_address; }
  int Connections() const { return m_connections; }

 private:
  int m_listener;
  std::string m_address;
  std::atomic<int> m_connections{0};
  std::thread m_thread;
};

}  // namespace corneltray

#endif  // CORNELTRAY_TEST_SOCKET_H_
