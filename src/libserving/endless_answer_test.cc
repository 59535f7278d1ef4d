#include <doctest/doctest.h>

#include <atomic>
#include <string>

#include "corneltray/engine_call.h"
#include "gateway_fixture_test.h"

namespace corneltray {
namespace {

// An upstream that stops by itself here has not been left.
constexpr std::size_t kSentAtMost = std::size_t{128} * 1024 * 1024;
// What a host may read before it leaves, with what the two sockets hold.
constexpr std::size_t kLeftWithin = std::size_t{8} * 1024 * 1024;
constexpr std::size_t kPieceBytes = std::size_t{16} * 1024;

// Answers each request with a beginning and then with a piece again and again, until the other side
// closes the connection.
class EndlessPeer {
 public:
  EndlessPeer(std::string beginning, const std::string& piece)
      : m_peer([this, beginning = std::move(beginning), block = Repeat(piece)](TestSocket* socket) {
          socket->ReadRequest();
          m_sent = 0;
          m_is_left = !socket->Send(beginning);
          while (!m_is_left && m_sent < kSentAtMost) {
            m_is_left = !socket->Send(block);
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
  std::atomic<bool> m_is_left{false};
  ScriptedPeer m_peer;
};

const char kAnswerHead[] = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nMark: m\r\n";

// Sends one request that only this upstream can serve. Returns the status that the caller gets.
int StatusFrom(const EndlessPeer& peer, const std::string& method, const std::string& target) {
  GatewayFixture fixture;
  fixture.loop.Run([&] {
    const bool is_engine = target.rfind("/talk/", 0) == 0;
    fixture.Announce("endless", "a", peer.Address(), 0, is_engine ? 80 : 0);
  });
  const std::string answer = fixture.Call(method, target);
  REQUIRE(answer.size() > 12);
  return std::stoi(answer.substr(9, 3));
}

// Guards against a host that reads such bytes until its memory or its caller's time is over.
TEST_CASE("an upstream that sends an unbounded response is disconnected") {
  constexpr int kBadGateway = 502;
  SUBCASE("in the first line") {
    const EndlessPeer peer("HTTP/1.1 200 ", "x");
    CHECK(StatusFrom(peer, "POST", "/book/") == kBadGateway);
    CHECK(peer.Sent() < kLeftWithin);
  }
  SUBCASE("in the fields of a head") {
    const EndlessPeer peer(kAnswerHead, "Field: value\r\n");
    CHECK(StatusFrom(peer, "POST", "/book/") == kBadGateway);
    CHECK(peer.Sent() < kLeftWithin);
  }
  SUBCASE("in interim answers") {
    const EndlessPeer peer("", "HTTP/1.1 102 Processing\r\n\r\n");
    CHECK(StatusFrom(peer, "POST", "/book/") == kBadGateway);
    CHECK(peer.Sent() < kLeftWithin);
  }
  SUBCASE("in an answer to another request") {
    const EndlessPeer peer(
        "HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nMark: m\r\nTransfer-Encoding: chunked\r\n\r\n",
        "4\r\nwxyz\r\n");
    CHECK(StatusFrom(peer, "POST", "/book/") == kBadGateway);
    CHECK(peer.Sent() < kLeftWithin);
  }
  SUBCASE("in a body that ends with the connection") {
    const EndlessPeer peer(std::string(kAnswerHead) + "\r\n", "x");
    CHECK(StatusFrom(peer, "POST", "/book/") == kBadGateway);
    CHECK(peer.Sent() < 2 * kLeftWithin + (std::size_t{16} << 20U));  // answers up to 16 MiB pass
  }
  SUBCASE("in the size of a chunk") {
    const EndlessPeer peer(std::string(kAnswerHead) + "Transfer-Encoding: chunked\r\n\r\n4;", "x");
    CHECK(StatusFrom(peer, "POST", "/book/") == kBadGateway);
    CHECK(peer.Sent() < kLeftWithin);
  }
  SUBCASE("after the last chunk") {
    const EndlessPeer peer(std::string(kAnswerHead) + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
                           "Field: value\r\n");
    CHECK(StatusFrom(peer, "POST", "/book/") == kBadGateway);
    CHECK(peer.Sent() < kLeftWithin);
  }
  SUBCASE("in an event of a stream") {
    const EndlessPeer peer(
        std::string(kAnswerHead) + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x");
    CHECK(StatusFrom(peer, "POST", "/talk/") >= kBadGateway);
    CHECK(peer.Sent() < kLeftWithin);
  }
}

TEST_CASE("an engine that sends an unbounded report is disconnected") {
  const EndlessPeer peer("HTTP/1.1 200 OK\r\n\r\n", "x");
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
  CHECK(peer.Sent() < kLeftWithin);
}

}  // namespace
}  // namespace corneltray
