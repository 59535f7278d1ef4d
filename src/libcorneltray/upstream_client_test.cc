#include "corneltray/upstream_client.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "test_socket.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

constexpr char kStreamHead[] =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr milliseconds kFarDeadline{5000};

std::string Chunk(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

GenerateRequest Generate(const std::string& address) {
  GenerateRequest request;
  request.request_id = "r1";
  request.attempt = 2;
  request.prompt = "a \"quoted\" prompt";
  request.accepted = {7, 8};
  request.max_tokens = 4;
  request.chain = {{"assistant", "1", ""}, {{"e1", address, 1, 0, 23}}};
  return request;
}

struct Stream {
  CallEnd end = CallEnd::kBroken;
  std::vector<std::string> events;
  int status = 0;
  milliseconds took{0};
};

Stream RunStream(const std::string& address, std::function<bool(TimePoint)> is_expired,
                 std::size_t stop_after = 100) {
  CallWatchdog watchdog;
  EngineClient client(&watchdog);
  Stream stream;
  const TimePoint start = Clock::now();
  stream.end = client.Generate(
      Generate(address),
      [&](const std::string& data) {
        stream.events.push_back(data);
        return stream.events.size() < stop_after;
      },
      std::move(is_expired), &stream.status);
  stream.took = std::chrono::duration_cast<milliseconds>(Clock::now() - start);
  return stream;
}

bool Never(TimePoint) { return false; }

TEST_CASE("events are split whatever the bytes arrive in") {
  const std::string text =
      ": comment\r\ndata: one\r\n\r\ndata:two\ndata: 2\n\nevent: x\n\nid: 4\ndata: three\r\rdata: "
      "lost";
  for (std::size_t part = 1; part <= text.size(); ++part) {
    CAPTURE(part);
    EventStreamParser parser;
    std::vector<std::string> events;
    for (std::size_t i = 0; i < text.size(); i += part) {
      const std::string piece = text.substr(i, part);
      REQUIRE(parser.Feed(piece.data(), piece.size(), [&](const std::string& data) {
        events.push_back(data);
        return true;
      }));
    }
    // Guards against an event that was cut off being taken for a whole one.
    CHECK(events == std::vector<std::string>{"one", "two\n2", "three"});
  }
  // Guards against unbounded memory for an event without an end.
  EventStreamParser parser;
  const std::string endless(kMaxEventBytes + 1, 'x');
  CHECK_FALSE(parser.Feed(endless.data(), endless.size(), [](const std::string&) { return true; }));
}

TEST_CASE("an engine stream") {
  SUBCASE("is read to its end") {
    std::string request;
    ScriptedPeer engine([&](TestSocket* socket) {
      request = socket->ReadUntil("\"stages\"");
      socket->Send(kStreamHead + Chunk("data: {\"a\":1}\n\n") + Chunk("data: 2\n\n") + "0\r\n\r\n");
    });
    const Stream stream = RunStream(engine.Address(), Never);
    CHECK(stream.end == CallEnd::kComplete);
    CHECK(stream.events == std::vector<std::string>{"{\"a\":1}", "2"});
    CHECK(request.find("POST /v1/pipeline/generate HTTP/1.1") == 0);
    CHECK(request.find("\"accepted\":[7,8]") != std::string::npos);
  }
  // Guards against a stream that was cut off being taken for a whole one.
  SUBCASE("that is cut off is broken") {
    ScriptedPeer engine([](TestSocket* socket) {
      socket->ReadUntil("\"stages\"");
      socket->Send(kStreamHead + Chunk("data: 1\n\n"));
    });
    CHECK(RunStream(engine.Address(), Never).end == CallEnd::kBroken);
  }
  SUBCASE("with an error status is refused") {
    ScriptedPeer engine([](TestSocket* socket) {
      socket->ReadUntil("\"stages\"");
      socket->Send("HTTP/1.1 409 Conflict\r\nContent-Length: 2\r\n\r\n{}");
    });
    const Stream stream = RunStream(engine.Address(), Never);
    CHECK(stream.end == CallEnd::kRefused);
    CHECK(stream.status == 409);
  }
  SUBCASE("is stopped by the receiver") {
    ScriptedPeer engine([](TestSocket* socket) {
      socket->ReadUntil("\"stages\"");
      socket->Send(kStreamHead + Chunk("data: 1\n\ndata: 2\n\ndata: 3\n\n"));
      socket->ReadAll();
    });
    const Stream stream = RunStream(engine.Address(), Never, 2);
    CHECK(stream.end == CallEnd::kStopped);
    CHECK(stream.events.size() == 2);
  }
  // Guards against a deadline that only holds while bytes arrive.
  SUBCASE("of a silent engine ends at the deadline") {
    const char* silences[] = {"", kStreamHead, "HTTP/1.1 200 OK\r\nContent-"};
    for (const char* silence : silences) {
      CAPTURE(std::string(silence));
      ScriptedPeer engine([&](TestSocket* socket) {
        socket->ReadUntil("\"stages\"");
        socket->Send(silence);
        socket->ReadAll();
      });
      const TimePoint deadline = Clock::now() + milliseconds(150);
      const Stream stream =
          RunStream(engine.Address(), [deadline](TimePoint now) { return now >= deadline; });
      CHECK(stream.end == CallEnd::kCancelled);
      CHECK(stream.took < milliseconds(1000));
    }
  }
  SUBCASE("to nobody fails to connect") {
    std::string address;
    {
      address = ScriptedPeer([](TestSocket*) {}).Address();
    }
    CHECK(RunStream(address, Never).end == CallEnd::kConnectFailed);
  }
}

ServiceResponse Call(const std::string& address, const std::string& method = "POST",
                     milliseconds deadline = kFarDeadline) {
  CallWatchdog watchdog;
  ServiceClient client(&watchdog);
  const ServiceCall call{
      method, "/v1/bookings?a=%2F", {{"Idempotency-Key", "k"}}, "text/plain", "x"};
  return client.Call(address, call, Clock::now() + deadline, nullptr);
}

// Script of the service -> end as the caller sees it. Guards against an ending after which the call
// may have run that is reported as a failure to connect or as complete.
TEST_CASE("the ending of a service call says whether it may have run") {
  struct Case {
    const char* reply;
    bool reset;
    CallEnd end;
  };
  const Case cases[] = {
      {"HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\n{}", false, CallEnd::kComplete},
      {"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", false, CallEnd::kComplete},
      {"HTTP/1.1 204 No Content\r\n\r\n", false, CallEnd::kComplete},
      {"HTTP/1.1 302 Found\r\nLocation: /x\r\nContent-Length: 0\r\n\r\n", false,
       CallEnd::kComplete},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", false,
       CallEnd::kComplete},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", false, CallEnd::kBroken},
      {"HTTP/1.1 201 Created\r\nContent-Length: 3\r\n\r\n{}", false, CallEnd::kBroken},
      {"HTTP/1.1 201 Created\r\n\r\n{}", false, CallEnd::kBroken},
      {"HTTP/1.1 201 Created\r\nContent-Le", false, CallEnd::kBroken},
      {"HTTP/1.1 20", false, CallEnd::kBroken},
      {"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}", false, CallEnd::kBroken},
      {"HTTP/1.1 103 Early Hints\r\n\r\n", false, CallEnd::kBroken},
      {"HTTP/1.1 199 X\r\nContent-Length: 2\r\n\r\n{}", false, CallEnd::kBroken},
      {"HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}", false, CallEnd::kBroken},
      {"HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\n{}", false, CallEnd::kBroken},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}XX0\r\n\r\n", false,
       CallEnd::kBroken},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2 x\r\n{}\r\n0\r\n\r\n", false,
       CallEnd::kBroken},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;x\r\n{}\r\n0\r\nX: v\r\n\r\n", false,
       CallEnd::kComplete},
      {"HTTP/1.1 200 OK\r\nX Odd: v\r\nContent-Length: 2\r\n\r\n{}", false, CallEnd::kBroken},
      {"HTTP/1.1 200 OK\r\nX\x01Odd: v\r\nContent-Length: 2\r\n\r\n{}", false, CallEnd::kBroken},
      {"HTTP/1.1 200 OK\r\nX-Odd\r\nContent-Length: 2\r\n\r\n{}", false, CallEnd::kBroken},
      {"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}", false, CallEnd::kBroken},
      {"HTTP/1.1 200 O\x01K\r\nContent-Length: 2\r\n\r\n{}", false, CallEnd::kBroken},
      {"HXXX/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false, CallEnd::kBroken},
      {"HTTP/1.1 200\r\nContent-Length: 2\r\n\r\n{}", false, CallEnd::kComplete},
      {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false,
       CallEnd::kComplete},
      {"no http", false, CallEnd::kBroken},
      {"", false, CallEnd::kBroken},
      {"", true, CallEnd::kBroken},
  };
  for (const Case& c : cases) {
    CAPTURE(std::string(c.reply));
    ScriptedPeer service([&](TestSocket* socket) {
      socket->ReadUntil("\r\n\r\nx");
      socket->Send(c.reply);
      if (c.reset) socket->Reset();
    });
    const ServiceResponse response = Call(service.Address());
    CHECK(NameOf(response.end) == NameOf(c.end));
    // Guards against a retry inside the library, which could run the call twice.
    CHECK(service.Connections() == 1);
  }
}

TEST_CASE("a service call") {
  // Guards against a second send: a connection that was accepted and closed may have carried the
  // request.
  SUBCASE("whose connection is closed before the request was read is broken") {
    // The reset follows the request; one that comes first fails the connect, with no byte sent.
    ScriptedPeer service([](TestSocket* socket) {
      socket->WaitReadable();
      socket->Reset();
    });
    CHECK(Call(service.Address()).end == CallEnd::kBroken);
    CHECK(service.Connections() == 1);
  }
  SUBCASE("without a listener was not sent") {
    std::string address;
    {
      address = ScriptedPeer([](TestSocket*) {}).Address();
    }
    CHECK(Call(address).end == CallEnd::kConnectFailed);
  }
  SUBCASE("after its deadline is not sent") {
    ScriptedPeer service([](TestSocket* socket) { socket->ReadAll(); });
    CHECK(Call(service.Address(), "POST", milliseconds(0)).end == CallEnd::kConnectFailed);
    CHECK(service.Connections() == 0);
  }
  SUBCASE("to a silent service ends at the deadline") {
    ScriptedPeer service([](TestSocket* socket) { socket->ReadAll(); });
    const TimePoint start = Clock::now();
    CHECK(Call(service.Address(), "POST", milliseconds(150)).end == CallEnd::kBroken);
    CHECK(Clock::now() - start < milliseconds(1000));
  }
  // Guards against values that are changed on their way, such as a decoded line end.
  SUBCASE("passes the fields of the answer on unchanged") {
    ScriptedPeer service([&](TestSocket* socket) {
      socket->ReadUntil("\r\n\r\nx");
      socket->Send(
          "HTTP/1.1 200 OK\r\nX-None:\r\nX-Coded: a%0d%0ab%20c\r\nContent-Length: 0\r\n\r\n");
    });
    const ServiceResponse response = Call(service.Address());
    CHECK(response.end == CallEnd::kComplete);
    const HeaderList expected = {
        {"X-None", ""}, {"X-Coded", "a%0d%0ab%20c"}, {"Content-Length", "0"}};
    CHECK(response.headers == expected);
  }
  // Guards against a part of an answer that passes for the whole one.
  SUBCASE("whose long body is still being written when the connection is reset is broken") {
    constexpr std::size_t kLongBodyBytes = std::size_t{16} << 20U;
    for (const std::string length :
         {"", "Content-Length: 9\r\n", "Transfer-Encoding: chunked\r\n"}) {
      CAPTURE(length);
      ScriptedPeer service([&](TestSocket* socket) {
        socket->ReadUntil("\r\n\r\n");
        socket->Send("HTTP/1.1 200 OK\r\n" + length + "\r\n2\r\n{}\r\n");
        socket->Reset();
      });
      CallWatchdog watchdog;
      ServiceClient client(&watchdog);
      ServiceCall call{"POST", "/", {}, "text/plain", std::string(kLongBodyBytes, 'u')};
      const ServiceResponse response =
          client.Call(service.Address(), call, Clock::now() + kFarDeadline, nullptr);
      CHECK(response.end == CallEnd::kBroken);
      CHECK(service.Connections() == 1);
    }
  }
  SUBCASE("passes target, headers and body on unchanged") {
    std::string request;
    ScriptedPeer service([&](TestSocket* socket) {
      request = socket->ReadUntil("\r\n\r\nx");
      socket->Send("HTTP/1.1 200 OK\r\nContent-Type: a/b\r\nContent-Length: 3\r\n\r\n");
      socket->Send(std::string("\0\xff\n", 3));
    });
    const ServiceResponse response = Call(service.Address());
    CHECK(response.body == std::string("\0\xff\n", 3));
    CHECK(response.content_type == "a/b");
    CHECK(request.find("POST /v1/bookings?a=%2F HTTP/1.1\r\n") == 0);
    CHECK(request.find("Idempotency-Key: k\r\n") != std::string::npos);
    CHECK(request.find("Content-Type: text/plain\r\n") != std::string::npos);
  }
}

}  // namespace
}  // namespace corneltray
