// Tests of answers whose connection is reset while the request is being written.
#include <doctest/doctest.h>

#include <string>

#include "gateway_fixture_test.h"

namespace corneltray {
namespace {

constexpr std::uint32_t kLayers = 80;

std::string Head(const std::string& type) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nMark: m\r\nContent-Type: " + type + "\r\n\r\n";
}

// Scripts leave a request for a report unanswered.
bool IsReportRequest(const std::string& received) {
  return received.find("/report ") < received.find("\r\n");
}

ScriptedPeer::Script AnswerAndReset(const std::string& answer) {
  return [answer](TestSocket* socket) {
    if (IsReportRequest(socket->ReadUntil("\r\n\r\n"))) return;
    socket->Send(answer);
    socket->Reset();
  };
}

ScriptedPeer::Script AnswerAndClose(const std::string& answer) {
  return [answer](TestSocket* socket) {
    if (IsReportRequest(socket->ReadRequest())) return;
    socket->Send(answer);
  };
}

// Guards against a part of an answer that reaches the caller as the whole one.
TEST_CASE("a part of an answer that a reset cuts off is not taken for the whole one") {
  const std::string body(kLongBodyBytes, 'u');

  SUBCASE("a plain answer") {
    for (const std::string& cut_off : CutOffAnswers("", "part")) {
      CAPTURE(cut_off);
      GatewayFixture fixture;
      fixture.AllowLongBodies();
      ScriptedPeer troubled(AnswerAndReset(cut_off));
      ScriptedPeer sound(AnswerAndClose(Head("text/plain") + "done"));
      fixture.loop.Run([&] {
        fixture.Announce("a", "a", troubled.Address());
        fixture.Announce("b", "b", sound.Address());
      });
      const std::string booked = fixture.Call("POST", "/book/", "", body);
      CHECK_MESSAGE(booked.find("HTTP/1.1 502 ") == 0, booked);
      CHECK(sound.Connections() == 0);
      const std::string found = fixture.Call("POST", "/get/", "", body);
      CHECK_MESSAGE(found.find("\r\n\r\ndone") != std::string::npos, found);
      CHECK(troubled.Connections() == 2);
    }
  }
  SUBCASE("a stream at the end of an event, which goes on at another engine") {
    const std::string type = "text/event-stream";
    for (const std::string& cut_off : CutOffAnswers("Content-Type: " + type + "\r\n", Event(1))) {
      CAPTURE(cut_off);
      GatewayFixture fixture;
      fixture.AllowLongBodies();
      ScriptedPeer troubled(AnswerAndReset(cut_off));
      ScriptedPeer sound(AnswerAndClose(Head(type) + Event(1) + Event(2)));
      fixture.loop.Run([&] {
        fixture.Announce("a", "a", troubled.Address(), 0, kLayers);
        fixture.Announce("b", "b", sound.Address(), 0, kLayers);
      });
      const std::string reply = fixture.Call("POST", "/talk/", "", body);
      CHECK_MESSAGE(reply.find("token 1") != std::string::npos, reply);
      CHECK_MESSAGE(reply.find("token 2") != std::string::npos, reply);
      CHECK(troubled.Connections() > 0);
    }
  }
}

}  // namespace
}  // namespace corneltray
