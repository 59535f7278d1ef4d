#include "corneltray/control_relay.h"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>

#include "../libcorneltray/test_socket.h"
#include "../libhttp/event_loop_test.h"
#include "corneltray/control_client.h"
#include "peer_options_test.h"
#include "platform_dialect.h"

namespace corneltray {
namespace {

using nlohmann::json;

// A control process that responds to calls, or receives them without a response.
struct Control {
  PeerNode node;
  std::atomic<int> calls{0};
  std::atomic<int> status{200};  // 0: no response

  explicit Control(const std::string& host) : node(TestPeerOptions(host, kControlProgram)) {
    node.SetRequestHandler(MessageType::kControlCall, [this](const PeerIdentity&, const json& body,
                                                             const PeerNode::Responder& respond) {
      ++calls;
      const auto request = DecodeControlRequest(body);
      if (!request || status == 0) return;
      respond(EncodeControlResponse({status, request.value().body}));
    });
  }
};

struct Fixture {
  Control first{"a"};
  Control second{"b"};
  EventLoopThread loop;
  Metrics metrics;
  PeerNode node{TestPeerOptions("gateway", "corneltray-gateway")};
  std::unique_ptr<ControlRelay> relay;

  Fixture() {
    REQUIRE(node.Start().Ok());
    loop.Run([this] {
      relay = std::make_unique<ControlRelay>(loop.Io(), &node, platform::MakePlatformDialect(),
                                             &metrics, "entry", "dkr-a");
      REQUIRE(relay->Listen("127.0.0.1:0").Ok());
      return true;
    });
  }
  ~Fixture() {
    loop.Run([this] {
      relay.reset();
      return true;
    });
    node.Stop();
    first.node.Stop();
    second.node.Stop();
    loop.Stop();
  }

  void Link() {
    for (Control* control : {&first, &second}) {
      REQUIRE(control->node.Start().Ok());
      node.Connect(control->node.ListenAddress());
    }
    REQUIRE(loop.WaitFor([this] {
      const auto peers = node.Peers();
      return peers.size() == 2 && peers[0].connected && peers[1].connected;
    }));
  }

  // Sends one call and returns the complete HTTP response.
  std::string Call(const std::string& method, const std::string& path, const std::string& body) {
    TestSocket socket(relay->Address());
    socket.Send(method + " " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" +
                "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    return socket.ReadUntil("");
  }
};

bool HasStatus(const std::string& response, int status) {
  return response.rfind("HTTP/1.1 " + std::to_string(status) + " ", 0) == 0;
}

}  // namespace

TEST_CASE("an entry host forwards control interface calls to a control process") {
  Fixture fixture;
  SUBCASE("without a link the call fails at once") {
    CHECK(HasStatus(fixture.Call("POST", "/Config.Put", "{}"), 503));
  }
  SUBCASE("with links") {
    fixture.Link();
    SUBCASE("the response of the control process is returned") {
      const std::string body(200'000, 'x');
      const std::string response = fixture.Call("POST", "/Config.Put", body);
      CHECK(HasStatus(response, 200));
      CHECK(response.find(body) != std::string::npos);
      CHECK(fixture.first.calls + fixture.second.calls == 1);
    }
    SUBCASE("an unresponsive control process does not block the call") {
      fixture.first.status = 0;
      CHECK(HasStatus(fixture.Call("POST", "/Config.Put", "{}"), 200));
      CHECK(fixture.first.calls == 1);
      SUBCASE("and the next call goes to another one first") {
        CHECK(HasStatus(fixture.Call("POST", "/Config.Put", "{}"), 200));
        CHECK(fixture.first.calls == 1);
      }
    }
    // Guards against a departure that is acknowledged although only control processes that are cut
    // off from the others have heard of it.
    SUBCASE("a control process that is cut off gets a call last") {
      fixture.loop.Run([&fixture] {
        fixture.relay->SetCutOffCheck([](const std::string& host) { return host == "a"; });
        return true;
      });
      CHECK(HasStatus(fixture.Call("POST", "/Config.Put", "{}"), 200));
      CHECK(fixture.first.calls == 0);
      fixture.second.status = 503;
      CHECK(HasStatus(fixture.Call("POST", "/Config.Put", "{}"), 200));
      CHECK(fixture.first.calls == 1);
    }
    SUBCASE("after a server error the other control process serves the call") {
      fixture.first.status = 503;
      CHECK(HasStatus(fixture.Call("POST", "/Config.Put", "{}"), 200));
    }
    SUBCASE("a client error is returned without trying another control process") {
      fixture.first.status = 409;
      CHECK(HasStatus(fixture.Call("POST", "/Config.Put", "{}"), 409));
      CHECK(fixture.second.calls == 0);
    }
    SUBCASE("the call fails when all control processes are unresponsive") {
      fixture.first.status = 0;
      fixture.second.status = 0;
      CHECK(HasStatus(fixture.Call("POST", "/Config.Put", "{}"), 503));
    }
    SUBCASE("an unknown call is rejected without reaching a control process") {
      CHECK(HasStatus(fixture.Call("GET", "/none", ""), 404));
      CHECK(fixture.first.calls + fixture.second.calls == 0);
    }
  }
}

}  // namespace corneltray
