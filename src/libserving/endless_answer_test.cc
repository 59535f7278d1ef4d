#include <doctest/doctest.h>

#include <atomic>
#include <string>

#include "corneltray/engine_call.h"
#include "gateway_fixture_test.h"

namespace corneltray {
namespace {

// The peer stops after this many bytes, so that a test fails instead of running without end.
constexpr std::size_t kMaxSentBytes = std::size_t{128} * 1024 * 1024;
// Limit for the bytes sent before the gateway disconnects, including both socket buffers.
constexpr std::size_t kMaxBytesBeforeDisconnect = std::size_t{8} * 1024 * 1024;
constexpr std::size_t kPieceBytes = std::size_t{16} * 1024;

// Responds to each request with `beginning`, followed by repetitions of `piece` until the other
// side closes the connection.
class UnboundedPeer {
 public:
  UnboundedPeer(std::string beginning, const std::string& piece)
      : m_peer([this, beginning = std::move(beginning), block = Repeat(piece)](TestSocket* socket) {
          socket->ReadRequest();
          m_sent = 0;
          m_is_disconnected = !socket->Send(beginning);
          while (!m_is_disconnected && m_sent < kMaxSentBytes) {
            m_is_disconnected = !socket->Send(block);
            m_sent += block.size();
          }
        }) {}

  const std::string& Address() const { return m_peer.Address(); }
  std::size_t Sent() const { return m_sent; }

 private:
  static std::string Repeat(const std::string& piece) {
    std::string block;
    while (block.size() < kPieceBytes) block += piece;
    return block;
  }

  std::atomic<std::size_t> m_sent{0};
  std::atomic<bool> m_is_disconnected{false};
  ScriptedPeer m_peer;
};

const char kAnswerHead[] = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nMark: m\r\n";

// Sends one request for which `peer` is the only upstream. Returns the status that the caller gets.
int StatusFrom(const UnboundedPeer& peer, const std::string& method, const std::string& target) {
  GatewayFixture fixture;
  fixture.loop.Run([&] {
    const bool is_engine = target.rfind("/talk/", 0) == 0;
    fixture.Announce("endless", "a", peer.Address(), 0, is_engine ? 80 : 0);
  });
  const std::string answer = fixture.Call(method, target);
  REQUIRE(answer.size() > 12);
  return std::stoi(answer.substr(9, 3));
}

// Guards against a host that reads such a response until its memory or the caller's deadline is
// exhausted.
TEST_CASE("an upstream that sends an unbounded response is disconnected") {
  constexpr int kBadGateway = 502;
  SUBCASE("in the status line") {
    const UnboundedPeer peer("HTTP/1.1 200 ", "x");
    CHECK(StatusFrom(peer, "POST", "/book/") == kBadGateway);
    CHECK(peer.Sent() < kMaxBytesBeforeDisconnect);
  }
  SUBCASE("in the header fields") {
    const UnboundedPeer peer(kAnswerHead, "Field: value\r\n");
    CHECK(StatusFrom(peer, "POST", "/book/") == kBadGateway);
    CHECK(peer.Sent() < kMaxBytesBeforeDisconnect);
  }
  SUBCASE("in interim responses") {
    const UnboundedPeer peer("", "HTTP/1.1 102 Processing\r\n\r\n");
    CHECK(StatusFrom(peer, "POST", "/book/") == kBadGateway);
    CHECK(peer.Sent() < kMaxBytesBeforeDisconnect);
  }
  SUBCASE("in a response to another request") {
    const UnboundedPeer peer(
        "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4\r\nwxyz\r\n");
    CHECK(StatusFrom(peer, "POST", "/book/") == kBadGateway);
    CHECK(peer.Sent() < kMaxBytesBeforeDisconnect);
  }
  SUBCASE("in a body that is delimited by the end of the connection") {
    const UnboundedPeer peer(std::string(kAnswerHead) + "\r\n", "x");
    CHECK(StatusFrom(peer, "POST", "/book/") == kBadGateway);
    CHECK(peer.Sent() < 2 * kMaxBytesBeforeDisconnect +
                            (std::size_t{16} << 20U));  // responses up to 16 MiB are accepted
  }
  SUBCASE("in a chunk extension") {
    const UnboundedPeer peer(std::string(kAnswerHead) + "Transfer-Encoding: chunked\r\n\r\n4;",
                             "x");
    CHECK(StatusFrom(peer, "POST", "/book/") == kBadGateway);
    CHECK(peer.Sent() < kMaxBytesBeforeDisconnect);
  }
  SUBCASE("in the trailer after the last chunk") {
    const UnboundedPeer peer(std::string(kAnswerHead) + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                             "Field: value\r\n");
    CHECK(StatusFrom(peer, "POST", "/book/") == kBadGateway);
    CHECK(peer.Sent() < kMaxBytesBeforeDisconnect);
  }
  SUBCASE("in an event of a stream") {
    const UnboundedPeer peer(
        std::string(kAnswerHead) + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x");
    CHECK(StatusFrom(peer, "POST", "/talk/") >= kBadGateway);
    CHECK(peer.Sent() < kMaxBytesBeforeDisconnect);
  }
}

TEST_CASE("an engine that sends an unbounded report is disconnected") {
  const UnboundedPeer peer("HTTP/1.1 200 OK\r\n\r\n", "x");
  EventLoopThread loop;
  std::unique_ptr<UpstreamPool> pool;
  bool is_done = false;
  bool has_report = true;
  loop.Run([&] {
    pool = std::make_unique<UpstreamPool>(loop.Io());
    RequestEngineReport(pool.get(), std::make_shared<TestDialect>(), peer.Address(),
                        Clock::now() + std::chrono::seconds(30),
                        [&](const std::optional<EngineReport>& report) {
                          is_done = true;
                          has_report = report.has_value();
                        });
  });
  CHECK(loop.WaitFor([&] { return is_done; }));
  CHECK_FALSE(has_report);
  loop.Run([&] { pool.reset(); });
  CHECK(peer.Sent() < kMaxBytesBeforeDisconnect);
}

}  // namespace
}  // namespace corneltray
