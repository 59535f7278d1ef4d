#include "corneltray/engine_call.h"

#include <doctest/doctest.h>

#include <string>

#include "gateway_fixture_test.h"

namespace corneltray {
namespace {

struct Report {
  bool is_done = false;
  bool is_received = false;
};

// Requests a report from an engine that sends these bytes, and then closes or resets.
bool IsReportReceived(const std::string& answer, bool resets) {
  ScriptedPeer engine([&](TestSocket* socket) {
    socket->ReadRequest();
    socket->Send(answer);
    if (resets) socket->Reset();
  });
  EventLoopThread loop;
  std::unique_ptr<UpstreamPool> pool;
  Report report;
  loop.Run([&] {
    pool = std::make_unique<UpstreamPool>(loop.Io());
    RequestEngineReport(pool.get(), std::make_shared<TestDialect>(), engine.Address(),
                        Clock::now() + std::chrono::seconds(5),
                        [&](const std::optional<EngineReport>& received) {
                          report = {true, received.has_value()};
                        });
  });
  CHECK(loop.WaitFor([&] { return report.is_done; }));
  loop.Run([&] { pool.reset(); });
  loop.Stop();
  return report.is_received;
}

// Guards against a report that was cut off or is not HTTP, by which an engine that fails would pass
// for one that works.
TEST_CASE("only a whole answer of an engine is a report") {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string body = "[]";
  const std::string length = "Content-Length: 2\r\n\r\n";
  const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n2\r\n";

  SUBCASE("with a length, in chunks or without either") {
    CHECK(IsReportReceived(ok + length + body, false));
    CHECK(IsReportReceived(ok + chunked + body + "\r\n0\r\n\r\n", false));
    CHECK(IsReportReceived(ok + "\r\n" + body, false));
  }
  SUBCASE("not one whose connection is reset") {
    CHECK_FALSE(IsReportReceived(ok + "Content-Length: 9\r\n\r\n" + body, true));
    CHECK_FALSE(IsReportReceived(ok + chunked + body + "\r\n", true));
    CHECK_FALSE(IsReportReceived(ok + "\r\n" + body, true));
  }
  SUBCASE("not one that is broken") {
    CHECK_FALSE(IsReportReceived("HTTP/1.1 000 X\r\n" + length + body, false));
    CHECK_FALSE(IsReportReceived("HXXX/1.1 200 OK\r\n" + length + body, false));
    CHECK_FALSE(IsReportReceived(ok + "X Odd: v\r\n" + length + body, false));
    CHECK_FALSE(IsReportReceived(ok + "\nX-Odd: v\r\n" + length + body, false));
    CHECK_FALSE(IsReportReceived(ok + chunked + body + "XX0\r\n\r\n", false));
  }
}

}  // namespace
}  // namespace corneltray
