#include "corneltray/http_server.h"

#include <doctest/doctest.h>

#include <condition_variable>
#include <mutex>
#include <ostream>

#include "test_socket.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A flag that one thread sets and another waits for.
class Event {
 public:
  void Set() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_set = true;
    m_wake.notify_all();
  }
  bool Wait() {
    std::unique_lock<std::mutex> lock(m_mutex);
    return m_wake.wait_for(lock, seconds(5), [this] { return m_set; });
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_wake;
  bool m_set = false;
};

HttpResponse Echo(const HttpRequest& request) {
  HttpResponse response;
  response.content_type = request.Header("content-type");
  response.body = request.method + " " + request.target + " " + request.body;
  return response;
}

HttpResponse ErrorPage(int status) {
  HttpResponse response;
  response.status = status;
  response.body = "error " + std::to_string(status);
  return response;
}

HttpServerOptions Options() {
  HttpServerOptions options;
  options.address = "127.0.0.1:0";
  options.threads = 4;
  options.max_body_bytes = [] { return std::size_t{1000}; };
  options.max_header_bytes = 16384;
  options.read_timeout = milliseconds(300);
  return options;
}

TEST_CASE("requests and responses pass unchanged") {
  HttpServer server(Options(), Echo, ErrorPage);
  REQUIRE(server.Start().Ok());
  TestSocket caller(server.Address());
  // Guards against the library parsing forms, cutting ranges or compressing.
  caller.Send(
      "POST /a%2Fb?c=d HTTP/1.1\r\nContent-Type: application/x-www-form-urlencoded\r\n"
      "Range: bytes=0-1\r\nAccept-Encoding: gzip\r\nContent-Length: 7\r\n\r\na=1&b=2");
  std::string reply = caller.ReadUntil("a=1&b=2");
  CHECK(reply.find("HTTP/1.1 200 OK") == 0);
  CHECK(reply.find("\r\n\r\nPOST /a%2Fb?c=d a=1&b=2") != std::string::npos);
  SUBCASE("over the same connection again") {
    caller.Send("GET / HTTP/1.1\r\n\r\n");
    CHECK(caller.ReadUntil("GET / ").find("200 OK") != std::string::npos);
    caller.Send("DELETE /x HTTP/1.1\r\n\r\n");
    CHECK(caller.ReadUntil("DELETE /x ").find("200 OK") != std::string::npos);
    caller.Send("POST /y HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    CHECK(caller.ReadUntil("POST /y ab").find("200 OK") != std::string::npos);
  }
}

// Bytes -> start of the reply. Guards against a crash, a hang or an ambiguous reading of bad input.
TEST_CASE("bad input is refused and the server goes on") {
  struct Case {
    std::string bytes;
    const char* reply;
  };
  const Case cases[] = {
      {"nonsense\r\n\r\n", "HTTP/1.1 400"},
      {"GET /\r\n\r\n", "HTTP/1.1 400"},
      {"BREW / HTTP/1.1\r\n\r\n", "HTTP/1.1 400"},
      {"GET / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 400"},
      {"POST / HTTP/1.1\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello", "HTTP/1.1 400"},
      {"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "HTTP/1.1 400"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 400"},
      {"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 400"},
      {"POST / HTTP/1.1\r\nContent-Length: 5\r\nTransfer-Encoding: \r\n\r\nhello", "HTTP/1.1 400"},
      {"POST / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", "HTTP/1.1 400"},
      {"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n", "HTTP/1.1 413"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" + std::string(1001, 'x') +
           "\r\n0\r\n\r\n",
       "HTTP/1.1 413"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 400"},
      {"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nhel", "HTTP/1.1 400"},
      {"GET /" + std::string(9000, 'x') + " HTTP/1.1\r\n\r\n", "HTTP/1.1 414"},
      {"GET / HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n", "HTTP/1.1 400"},
  };
  HttpServer server(Options(), Echo, ErrorPage);
  REQUIRE(server.Start().Ok());
  for (const Case& c : cases) {
    CAPTURE(c.bytes.substr(0, 100));
    TestSocket caller(server.Address());
    caller.Send(c.bytes);
    const std::string reply = caller.ReadAll();
    CHECK(reply.substr(0, 12) == c.reply);
    CHECK(reply.find("\r\n\r\nerror ") != std::string::npos);
  }
  std::string many = "GET / HTTP/1.1\r\n";
  for (int i = 0; i < 3000; ++i) many += "X-" + std::to_string(i) + ": y\r\n";
  TestSocket flood(server.Address());
  flood.Send(many);
  CHECK(flood.ReadAll().find("200") == std::string::npos);
  CHECK(flood.PeerClosed());

  TestSocket after(server.Address());
  after.Send("GET /ok HTTP/1.1\r\n\r\n");
  CHECK(after.ReadUntil("GET /ok ").find("200 OK") != std::string::npos);
}

// Guards against callers that hold a thread by sending nothing, or a byte at a time.
TEST_CASE("a request that does not arrive in time is dropped") {
  HttpServer server(Options(), Echo, ErrorPage);
  REQUIRE(server.Start().Ok());
  TestSocket caller(server.Address());
  caller.Send("GET / HTTP/1.1\r\nX: ");
  caller.ReadAll();
  CHECK(caller.PeerClosed());
}

// Guards against an empty header being taken for a missing one.
TEST_CASE("an empty header reaches the handler") {
  HttpServer server(
      Options(),
      [](const HttpRequest& request) {
        HttpResponse response;
        for (const auto& [name, value] : request.headers) response.body += name + "=" + value + ";";
        return response;
      },
      ErrorPage);
  REQUIRE(server.Start().Ok());
  TestSocket caller(server.Address());
  caller.Send("GET / HTTP/1.1\r\nX-Empty:\r\nX-Blank: \r\nX-Full: 1\r\n\r\n");
  const std::string reply = caller.ReadUntil("x-full=1;");
  CHECK(reply.find("x-empty=;") != std::string::npos);
  CHECK(reply.find("x-blank=;") != std::string::npos);
}

TEST_CASE("a streamed response") {
  Event hung_up;
  Event started;
  const auto handler = [&](const HttpRequest& request) {
    HttpResponse response;
    response.content_type = "text/event-stream";
    response.stream = [&, request](const StreamWriter& write) {
      if (request.target == "/short") return write("one ") && write("two");
      if (request.target == "/cut") return write("one ") && false;
      started.Set();
      while (write("token ")) std::this_thread::sleep_for(milliseconds(2));
      hung_up.Set();
      return false;
    };
    return response;
  };
  HttpServer server(Options(), handler, ErrorPage);
  REQUIRE(server.Start().Ok());
  TestSocket caller(server.Address());

  SUBCASE("ends with the last chunk") {
    caller.Send("GET /short HTTP/1.1\r\n\r\n");
    const std::string reply = caller.ReadUntil("0\r\n\r\n");
    CHECK(reply.find("4\r\none \r\n3\r\ntwo\r\n0\r\n\r\n") != std::string::npos);
  }
  // Guards against a failed stream that looks complete.
  SUBCASE("that fails ends without the last chunk") {
    caller.Send("GET /cut HTTP/1.1\r\n\r\n");
    const std::string reply = caller.ReadAll();
    CHECK(reply.find("4\r\none \r\n") != std::string::npos);
    CHECK(reply.find("0\r\n\r\n") == std::string::npos);
  }
  // Guards against work that goes on for a caller who has left.
  SUBCASE("notices a caller who hangs up") {
    caller.Send("GET /endless HTTP/1.1\r\n\r\n");
    REQUIRE(started.Wait());
    caller.ReadUntil("token ");
    caller.Close();
    CHECK(hung_up.Wait());
  }
}

// Guards against work for a caller who leaves before the first byte of the answer.
TEST_CASE("a handler can ask whether the caller has hung up") {
  Event seen;
  Event entered;
  HttpServer server(
      Options(),
      [&](const HttpRequest& request) {
        CHECK_FALSE(request.has_hung_up());
        entered.Set();
        const TimePoint until = Clock::now() + seconds(5);
        while (!request.has_hung_up() && Clock::now() < until) {
          std::this_thread::sleep_for(milliseconds(2));
        }
        if (Clock::now() < until) seen.Set();
        return HttpResponse{};
      },
      ErrorPage);
  REQUIRE(server.Start().Ok());
  TestSocket caller(server.Address());
  caller.Send("GET / HTTP/1.1\r\n\r\n");
  REQUIRE(entered.Wait());
  caller.Close();
  CHECK(seen.Wait());
}

TEST_CASE("connections over the limit") {
  Event release;
  HttpServer server(
      Options(),
      [&](const HttpRequest&) {
        release.Wait();
        return HttpResponse{};
      },
      ErrorPage);
  REQUIRE(server.Start().Ok());
  std::vector<std::unique_ptr<TestSocket>> callers;
  callers.reserve(4);
  for (int i = 0; i < 4; ++i) callers.push_back(std::make_unique<TestSocket>(server.Address()));

  // Guards against a crowd of connections that wait without an answer.
  SUBCASE("are refused while all threads have a request") {
    for (const auto& caller : callers) caller->Send("GET / HTTP/1.1\r\n\r\n");
    while (server.Counters().busy < 4) std::this_thread::sleep_for(milliseconds(2));
    TestSocket fifth(server.Address());
    fifth.Send("GET / HTTP/1.1\r\n\r\n");
    CHECK(fifth.ReadAll().find("HTTP/1.1 503") == 0);
    release.Set();
    for (const auto& caller : callers) {
      CHECK(caller->ReadUntil("\r\n\r\n").find("200 OK") != std::string::npos);
    }
  }
  // Guards against idle connections of a balancer keeping out callers.
  SUBCASE("take the place of idle ones") {
    release.Set();
    while (server.Counters().open < 4) std::this_thread::sleep_for(milliseconds(2));
    TestSocket fifth(server.Address());
    fifth.Send("GET / HTTP/1.1\r\n\r\n");
    CHECK(fifth.ReadUntil("\r\n\r\n").find("200 OK") != std::string::npos);
  }
}

// Guards against a stop that cuts off a request, or that waits for connections without one.
TEST_CASE("a stop ends idle connections and no request") {
  Event entered;
  Event release;
  HttpServer server(
      Options(),
      [&](const HttpRequest& request) {
        HttpResponse response;
        if (request.target != "/slow") return response;
        entered.Set();
        release.Wait();
        response.stream = [](const StreamWriter& write) {
          for (int i = 0; i < 20; ++i) {
            if (!write("token ")) return false;
            std::this_thread::sleep_for(milliseconds(5));
          }
          return true;
        };
        return response;
      },
      ErrorPage);
  REQUIRE(server.Start().Ok());
  TestSocket idle(server.Address());
  idle.Send("GET / HTTP/1.1\r\n\r\n");
  idle.ReadUntil("\r\n\r\n");
  TestSocket busy(server.Address());
  busy.Send("GET /slow HTTP/1.1\r\n\r\n");
  REQUIRE(entered.Wait());

  server.BeginDrain(milliseconds(0));
  idle.ReadAll();
  CHECK(idle.PeerClosed());
  CHECK_FALSE(server.WaitIdle(Clock::now() + milliseconds(20)));

  SUBCASE("and answers new connections until then") {
    TestSocket late(server.Address());
    late.Send("GET / HTTP/1.1\r\n\r\n");
    CHECK(late.ReadAll().find("Connection: close") != std::string::npos);
    release.Set();
  }
  SUBCASE("while a stream that has not begun still runs to its end") {
    std::thread stopper([&] { server.Stop(Clock::now() + seconds(5)); });
    release.Set();
    const std::string reply = busy.ReadAll();
    CHECK(reply.size() >= 20 * 6);
    CHECK(reply.find("0\r\n\r\n") != std::string::npos);
    stopper.join();
  }
  SUBCASE("but not past the deadline") {
    const TimePoint start = Clock::now();
    std::thread releaser([&] {
      busy.ReadAll();
      release.Set();
    });
    server.Stop(Clock::now() + milliseconds(50));
    releaser.join();
    CHECK(Clock::now() - start < seconds(4));
  }
}

TEST_CASE("an address in use is reported") {
  HttpServer first(Options(), Echo, ErrorPage);
  REQUIRE(first.Start().Ok());
  HttpServerOptions options = Options();
  options.address = first.Address();
  HttpServer second(options, Echo, ErrorPage);
  const Status status = second.Start();
  REQUIRE(!status.Ok());
  CHECK(status.error().code == HttpServerErrc::kAddressInUse);
  options.address = "127.0.0.1";
  HttpServer third(options, Echo, ErrorPage);
  CHECK(third.Start().error().code == HttpServerErrc::kBadAddress);
}

}  // namespace
}  // namespace corneltray
