#include "corneltray/blocking_call.h"

#include <doctest/doctest.h>

#include <string>
#include <thread>

#include "../libcorneltray/test_socket.h"

namespace corneltray {
namespace {

UpstreamRequest MakeCall(const std::string& address) {
  HttpHead head;
  head.method = "POST";
  head.target = "/a";
  UpstreamRequest request;
  request.address = address;
  request.bytes = FormatSingleRequest(address, head, "x");
  request.connect_deadline = Clock::now() + std::chrono::seconds(2);
  return request;
}

// Guards against an ending after which the request may have run that is reported as one without a
// connection, and the other way round.
TEST_CASE("a blocking call tells how it ended") {
  std::string body;
  UpstreamCallbacks callbacks;
  callbacks.on_body = [&body](std::string_view bytes) { body.append(bytes); };
  BlockingCall call;

  SUBCASE("with an answer") {
    std::string request;
    ScriptedPeer server([&](TestSocket* socket) {
      request = socket->ReadRequest();
      socket->Send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      socket->ReadAll();
    });
    CHECK(call.Run(MakeCall(server.Address()), callbacks) == BlockingCallEnd::kAnswered);
    CHECK(body == "ok");
    CHECK(request.find("POST /a HTTP/1.1\r\n") == 0);
    CHECK(request.find("Host: " + server.Address() + "\r\n") != std::string::npos);
  }
  SUBCASE("with a broken answer") {
    ScriptedPeer server([](TestSocket* socket) {
      socket->ReadRequest();
      socket->Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokXX0\r\n\r\n");
      socket->ReadAll();
    });
    CHECK(call.Run(MakeCall(server.Address()), callbacks) == BlockingCallEnd::kBroken);
  }
  SUBCASE("without a connection") {
    std::string address;
    {
      address = ScriptedPeer([](TestSocket*) {}).Address();
    }
    CHECK(call.Run(MakeCall(address), callbacks) == BlockingCallEnd::kNotConnected);
    CHECK(BlockingCall().Run(MakeCall("no address"), {}) == BlockingCallEnd::kNotConnected);
  }
  SUBCASE("at its deadline") {
    ScriptedPeer server([](TestSocket* socket) { socket->ReadAll(); });
    UpstreamRequest request = MakeCall(server.Address());
    request.answer_deadline = Clock::now() + std::chrono::milliseconds(50);
    CHECK(call.Run(std::move(request), callbacks) == BlockingCallEnd::kBroken);
  }
  SUBCASE("when another thread stops it, which may repeat that") {
    std::thread stopper;
    ScriptedPeer server([&](TestSocket* socket) {
      socket->ReadRequest();
      stopper = std::thread([&call] {
        call.Stop();
        call.Stop();
      });
      socket->ReadAll();
    });
    CHECK(call.Run(MakeCall(server.Address()), callbacks) == BlockingCallEnd::kStopped);
    stopper.join();
  }
  SUBCASE("when a callback stops it") {
    ScriptedPeer server([](TestSocket* socket) {
      socket->ReadRequest();
      socket->Send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok");
      socket->ReadAll();
    });
    callbacks.on_head = [&call](const HttpHead&) { call.Stop(); };
    CHECK(call.Run(MakeCall(server.Address()), callbacks) == BlockingCallEnd::kStopped);
    CHECK(body.empty());
  }
}

}  // namespace
}  // namespace corneltray
