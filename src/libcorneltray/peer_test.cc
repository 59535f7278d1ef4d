#include "corneltray/peer.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <future>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "peer_frame.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kPatience{10};

PeerOptions OptionsFor(const std::string& host, std::uint64_t incarnation = 1) {
  PeerOptions options;
  options.identity = {host, "corneltray-entry", "dkr", "dkr-a", incarnation};
  options.listen_address = "127.0.0.1:0";
  options.shared_key = "0123456789abcdef";
  return options;
}

// Waits until a condition holds; fails the test after kPatience.
template <class Condition>
bool Eventually(Condition condition) {
  const TimePoint end = Clock::now() + kPatience;
  while (Clock::now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return condition();
}

bool IsConnected(const PeerNode& node, const std::string& host) {
  for (const PeerStatus& peer : node.Peers()) {
    if (peer.identity.host == host && peer.connected) return true;
  }
  return false;
}

Result<json> Ask(PeerNode* node, const std::string& host, json body,
                 std::chrono::milliseconds timeout = kPatience) {
  std::promise<Result<json>> promise;
  node->Request(host, MessageType::kPropose, std::move(body), Clock::now() + timeout,
                [&](Result<json> reply) { promise.set_value(std::move(reply)); });
  return promise.get_future().get();
}

// A node that counts and echoes requests.
struct Echo {
  PeerNode node;
  std::atomic<int> requests{0};
  std::atomic<int> pushes{0};

  explicit Echo(PeerOptions options) : node(std::move(options)) {
    node.SetRequestHandler(MessageType::kPropose, [this](const PeerIdentity& from, const json& body,
                                                         const PeerNode::Responder& respond) {
      ++requests;
      respond(json{{"from", from.host}, {"number", body.at("number")}});
    });
    node.SetPushHandler(MessageType::kGossip,
                        [this](const PeerIdentity&, const json&) { ++pushes; });
  }
};

// Forwards TCP connections to an address. Connections that are open when Silence is called stay
// open and carry nothing any more, in the given direction; later connections work.
class Proxy {
 public:
  explicit Proxy(const std::string& target)
      : m_acceptor(m_io, {asio::ip::address_v4::loopback(), 0}) {
    const std::size_t colon = target.rfind(':');
    m_target = {asio::ip::make_address(target.substr(0, colon)),
                static_cast<std::uint16_t>(std::stoi(target.substr(colon + 1)))};
    Accept();
    m_thread = std::thread([this] { m_io.run(); });
  }
  ~Proxy() {
    m_io.stop();
    m_thread.join();
  }
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
  }
  void Silence(bool to_target, bool from_target) {
    std::promise<void> done;
    asio::post(m_io, [&] {
      for (const auto& pipe : m_pipes) {
        if (pipe->to_target ? to_target : from_target) pipe->silent = true;
      }
      done.set_value();
    });
    done.get_future().wait();
  }

 private:
  using Socket = std::shared_ptr<asio::ip::tcp::socket>;
  struct Pipe {
    Socket from;
    Socket to;
    bool to_target = false;
    bool silent = false;
    std::array<char, 65536> buffer{};
  };

  void Accept() {
    m_acceptor.async_accept([this](const asio::error_code& code, asio::ip::tcp::socket socket) {
      if (code) return;
      const Socket near = std::make_shared<asio::ip::tcp::socket>(std::move(socket));
      const Socket far = std::make_shared<asio::ip::tcp::socket>(m_io);
      asio::error_code failed;
      far->connect(m_target, failed);
      if (!failed) {
        for (const bool to_target : {true, false}) {
          auto pipe = std::make_shared<Pipe>();
          pipe->from = to_target ? near : far;
          pipe->to = to_target ? far : near;
          pipe->to_target = to_target;
          m_pipes.push_back(pipe);
          Read(pipe);
        }
      }
      Accept();
    });
  }

  void Read(const std::shared_ptr<Pipe>& pipe) {
    pipe->from->async_read_some(
        asio::buffer(pipe->buffer), [this, pipe](const asio::error_code& code, std::size_t size) {
          asio::error_code ignored;
          if (code) {
            if (!pipe->silent) pipe->to->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            return;
          }
          if (!pipe->silent) asio::write(*pipe->to, asio::buffer(pipe->buffer, size), ignored);
          Read(pipe);
        });
  }

  asio::io_context m_io;
  asio::ip::tcp::acceptor m_acceptor;
  asio::ip::tcp::endpoint m_target;
  std::list<std::shared_ptr<Pipe>> m_pipes;
  std::thread m_thread;
};

TEST_CASE("two processes exchange messages") {
  Echo a(OptionsFor("a"));
  Echo b(OptionsFor("b"));
  REQUIRE(a.node.Start().Ok());
  REQUIRE(b.node.Start().Ok());
  a.node.Connect(b.node.ListenAddress());
  a.node.Connect(a.node.ListenAddress());  // a seed list may hold the own address
  REQUIRE(Eventually([&] { return IsConnected(a.node, "b") && IsConnected(b.node, "a"); }));
  CHECK_FALSE(IsConnected(a.node, "a"));

  SUBCASE("requests from either side over the one link") {
    const auto reply = Ask(&a.node, "b", {{"number", 4}});
    REQUIRE(reply.Ok());
    CHECK(reply.value()["number"] == 4);
    CHECK(reply.value()["from"] == "a");
    REQUIRE(Ask(&b.node, "a", {{"number", 5}}).Ok());
    CHECK(b.requests == 1);
  }
  SUBCASE("pushes") {
    a.node.Send("b", MessageType::kGossip, {{"x", 1}});
    CHECK(Eventually([&] { return b.pushes == 1; }));
  }
  SUBCASE("a malformed body is refused and counted") {
    const auto reply = Ask(&a.node, "b", json::array());
    REQUIRE_FALSE(reply.Ok());
    CHECK(reply.error().code == make_error_code(PeerErrc::kRefused));
    CHECK(b.node.Counters().malformed == 1);
  }
  // Guards against a message that the other side drops for its size, which would cost the deadline.
  SUBCASE("a request over the frame limit is refused at once") {
    const auto reply = Ask(&a.node, "b", {{"number", std::string(kMaxFrameBytes, 'x')}});
    REQUIRE_FALSE(reply.Ok());
    CHECK(reply.error().code == make_error_code(PeerErrc::kRefused));
    CHECK(b.requests == 0);
  }
  SUBCASE("a type without a handler is refused") {
    std::promise<Result<json>> promise;
    a.node.Request("b", MessageType::kLeaseRequest, {}, Clock::now() + kPatience,
                   [&](Result<json> reply) { promise.set_value(std::move(reply)); });
    const auto reply = promise.get_future().get();
    REQUIRE_FALSE(reply.Ok());
    CHECK(reply.error().detail.find("lease_request") != std::string::npos);
  }
  // Guards against a newer version that waits until its deadline for an answer of an older one.
  SUBCASE("a request of a type that this version does not know is refused at once") {
    std::promise<Result<json>> promise;
    a.node.Request("b", MessageType::kUnknown, {}, Clock::now() + kPatience,
                   [&](Result<json> reply) { promise.set_value(std::move(reply)); });
    const auto reply = promise.get_future().get();
    REQUIRE_FALSE(reply.Ok());
    CHECK(reply.error().code == make_error_code(PeerErrc::kRefused));
  }
  SUBCASE("an unknown host is reported at once") {
    const auto reply = Ask(&a.node, "nobody", {{"number", 1}});
    REQUIRE_FALSE(reply.Ok());
    CHECK(reply.error().code == make_error_code(PeerErrc::kNotConnected));
  }
  SUBCASE("open requests end when the process stops") {
    b.node.Stop();
    std::promise<Result<json>> promise;
    a.node.Request("b", MessageType::kPropose, {{"number", 1}}, Clock::now() + kPatience,
                   [&](Result<json> reply) { promise.set_value(std::move(reply)); });
    a.node.Stop();
    CHECK_FALSE(promise.get_future().get().Ok());
    CHECK_FALSE(Ask(&a.node, "b", {{"number", 1}}).Ok());
  }
}

// Guards against a push to many hosts that costs one encoding for each of them, which kept control
// processes of a large site busy.
TEST_CASE("a broadcast is encoded once for all hosts") {
  Echo sender(OptionsFor("sender"));
  REQUIRE(sender.node.Start().Ok());
  std::list<Echo> receivers;
  std::vector<std::string> hosts;
  for (const char* name : {"a", "b", "c"}) {
    receivers.emplace_back(OptionsFor(name));
    REQUIRE(receivers.back().node.Start().Ok());
    sender.node.Connect(receivers.back().node.ListenAddress());
    hosts.emplace_back(name);
  }
  REQUIRE(Eventually([&] { return ConnectedHosts(sender.node.Peers()).size() == hosts.size(); }));
  hosts.emplace_back("without-a-link");

  sender.node.Broadcast(hosts, MessageType::kGossip, {{"x", 1}});
  for (Echo& receiver : receivers) {
    CHECK(Eventually([&] { return receiver.pushes == 1; }));
  }
  const PeerMessageCounters counters = sender.node.MessageCounters()[MessageType::kGossip];
  CHECK(counters.encoded == 1);
  CHECK(counters.sent == receivers.size());

  SUBCASE("and not at all if none of them is linked") {
    sender.node.Broadcast({"without-a-link"}, MessageType::kGossip, {{"x", 2}});
    std::promise<void> done;
    sender.node.Post([&] { done.set_value(); });
    done.get_future().wait();
    CHECK(sender.node.MessageCounters()[MessageType::kGossip].encoded == 1);
  }
}

// Guards against a stop that waits for ever because it meets the regular timer of the loop.
TEST_CASE("a process stops at any moment") {
  for (int i = 0; i < 8; ++i) {
    Echo a(OptionsFor("a"));
    REQUIRE(a.node.Start().Ok());
    // The loop is busy when its timer (every 100 ms) and the stop become due together.
    a.node.RunAt(Clock::now() + std::chrono::milliseconds(90),
                 [] { std::this_thread::sleep_for(std::chrono::milliseconds(15)); });
    std::this_thread::sleep_for(std::chrono::milliseconds(95));
    a.node.Stop();
  }
}

// Guards against two links between one pair of processes that both keep opening.
TEST_CASE("processes that dial each other settle on one link") {
  Echo a(OptionsFor("a"));
  Echo b(OptionsFor("b"));
  REQUIRE(a.node.Start().Ok());
  REQUIRE(b.node.Start().Ok());
  a.node.Connect(b.node.ListenAddress());
  b.node.Connect(a.node.ListenAddress());
  REQUIRE(Eventually([&] { return IsConnected(a.node, "b") && IsConnected(b.node, "a"); }));
  for (int i = 0; i < 300; ++i) {
    REQUIRE(Ask(&a.node, "b", {{"number", i}}).Ok());
    REQUIRE(Ask(&b.node, "a", {{"number", i}}).Ok());
  }
  CHECK(a.requests == 300);
  CHECK(b.requests == 300);
  CHECK(a.node.Counters().links_replaced == 0);
}

// Guards against an address that is given up too early, or that cannot be used again.
TEST_CASE("a forgotten address keeps its open link and can be connected again") {
  Echo a(OptionsFor("a"));
  Echo b(OptionsFor("b"));
  REQUIRE(a.node.Start().Ok());
  REQUIRE(b.node.Start().Ok());
  a.node.Connect(b.node.ListenAddress());
  REQUIRE(Eventually([&] { return IsConnected(a.node, "b"); }));
  a.node.Forget(b.node.ListenAddress());
  CHECK(Ask(&a.node, "b", {{"number", 1}}).Ok());
  a.node.Connect(b.node.ListenAddress());
  CHECK(Ask(&a.node, "b", {{"number", 2}}).Ok());
  CHECK(a.node.Counters().links_replaced == 0);
}

// Guards against hosts that keep links which they no longer need and that cost the other side.
TEST_CASE("a disconnected address loses its link") {
  Echo a(OptionsFor("a"));
  Echo b(OptionsFor("b"));
  REQUIRE(a.node.Start().Ok());
  REQUIRE(b.node.Start().Ok());
  a.node.Connect(b.node.ListenAddress());
  REQUIRE(Eventually([&] { return IsConnected(a.node, "b") && IsConnected(b.node, "a"); }));
  a.node.Disconnect(b.node.ListenAddress());
  SUBCASE("after a request on the way was answered") {
    CHECK(Ask(&a.node, "b", {{"number", 1}}).Ok());
    CHECK(Eventually([&] { return !IsConnected(a.node, "b") && !IsConnected(b.node, "a"); }));
  }
  SUBCASE("unless it is connected again meanwhile") {
    a.node.Connect(b.node.ListenAddress());
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    CHECK(IsConnected(a.node, "b"));
    CHECK(a.node.Counters().links_replaced == 0);
  }
}

// Guards against a process with another key, and against two processes under one name.
TEST_CASE("strangers get no link") {
  Echo a(OptionsFor("a"));
  REQUIRE(a.node.Start().Ok());
  SUBCASE("with another key") {
    PeerOptions options = OptionsFor("b");
    options.shared_key = "another key 0123";
    Echo b(std::move(options));
    REQUIRE(b.node.Start().Ok());
    b.node.Connect(a.node.ListenAddress());
    CHECK(Eventually([&] { return a.node.Counters().unauthenticated > 0; }));
    CHECK(a.node.Peers().empty());
  }
  SUBCASE("under the name of this process") {
    Echo twin(OptionsFor("a", 2));
    REQUIRE(twin.node.Start().Ok());
    twin.node.Connect(a.node.ListenAddress());
    CHECK(Eventually([&] { return a.node.Counters().bytes_received > 0; }));
    CHECK(a.node.Peers().empty());
  }
  SUBCASE("and a taken address is reported") {
    PeerOptions options = OptionsFor("b");
    options.listen_address = a.node.ListenAddress();
    Echo b(std::move(options));
    const Status started = b.node.Start();
    REQUIRE_FALSE(started.Ok());
    CHECK(started.error().code == make_error_code(PeerErrc::kAddressInUse));
  }
}

// Guards against a restarted peer whose old links still receive messages.
TEST_CASE("a restarted process replaces the old one") {
  Echo a(OptionsFor("a"));
  REQUIRE(a.node.Start().Ok());
  std::promise<Result<json>> open;
  {
    PeerNode old(OptionsFor("b", 1));
    std::atomic<int> requests{0};
    old.SetRequestHandler(MessageType::kPropose,
                          [&](const PeerIdentity&, const json&, const PeerNode::Responder&) {
                            ++requests;  // and never answers
                          });
    REQUIRE(old.Start().Ok());
    old.Connect(a.node.ListenAddress());
    REQUIRE(Eventually([&] { return IsConnected(a.node, "b"); }));
    a.node.Request("b", MessageType::kPropose, {{"number", 1}}, Clock::now() + kPatience,
                   [&](Result<json> reply) { open.set_value(std::move(reply)); });
    REQUIRE(Eventually([&] { return requests == 1; }));
  }
  Echo restarted(OptionsFor("b", 2));
  REQUIRE(restarted.node.Start().Ok());
  restarted.node.Connect(a.node.ListenAddress());
  REQUIRE(Eventually([&] {
    const auto peers = a.node.Peers();
    return peers.size() == 1 && peers[0].connected && peers[0].identity.incarnation == 2;
  }));
  // The old process may have run the request; the new one must not run it as well.
  const auto unanswered = open.get_future().get();
  REQUIRE_FALSE(unanswered.Ok());
  CHECK(unanswered.error().code == make_error_code(PeerErrc::kNotConnected));
  CHECK(Ask(&a.node, "b", {{"number", 1}}).Ok());
  CHECK(restarted.requests == 1);
}

// Guards against a host that its peers refuse for a minute, because its time of day was stepped
// back between two starts of its process.
TEST_CASE("a process that was restarted after its clock was stepped back is reachable") {
  Echo a(OptionsFor("a"));
  REQUIRE(a.node.Start().Ok());
  {
    Echo old(OptionsFor("b", 2000));
    REQUIRE(old.node.Start().Ok());
    old.node.Connect(a.node.ListenAddress());
    REQUIRE(Eventually([&] { return IsConnected(a.node, "b"); }));
  }
  REQUIRE(Eventually([&] { return !IsConnected(a.node, "b"); }));
  Echo restarted(OptionsFor("b", 1000));
  REQUIRE(restarted.node.Start().Ok());
  restarted.node.Connect(a.node.ListenAddress());
  REQUIRE(Eventually([&] { return IsConnected(a.node, "b") && IsConnected(restarted.node, "a"); }));
  CHECK(Ask(&a.node, "b", {{"number", 1}}).Ok());
}

// Guards against open connections that go silent for good while new ones work: in both directions
// or in one, the request is answered over a new link and runs once.
TEST_CASE("a request survives a silent link") {
  struct Direction {
    std::string name;
    bool to_target;
    bool from_target;
  };
  const Direction directions[] = {
      {"both directions", true, true}, {"requests", true, false}, {"replies", false, true}};
  for (const Direction& direction : directions) {
    CAPTURE(direction.name);
    Echo b(OptionsFor("b"));
    REQUIRE(b.node.Start().Ok());
    Proxy proxy(b.node.ListenAddress());
    Echo a(OptionsFor("a"));
    REQUIRE(a.node.Start().Ok());
    a.node.Connect(proxy.Address());
    REQUIRE(Eventually([&] { return IsConnected(a.node, "b") && IsConnected(b.node, "a"); }));
    REQUIRE(Ask(&a.node, "b", {{"number", 1}}).Ok());

    proxy.Silence(direction.to_target, direction.from_target);
    const TimePoint start = Clock::now();
    const auto reply = Ask(&a.node, "b", {{"number", 2}});
    const auto took =
        std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start).count();
    if (!reply) FAIL_CHECK(reply.error().ToString() << " after " << took << " ms");
    REQUIRE(reply.Ok());
    MESSAGE("silent in " << direction.name << ": answered after " << took << " ms");
    // The dead-link deadline of the design; a stalled machine may add to it.
    CHECK(took < 4000);
    CHECK(b.requests == 2);
    CHECK(a.node.Counters().links_replaced + b.node.Counters().links_replaced > 0);
  }
}

// A control process with the links of an entry host and of another control process.
struct BusyControl {
  static constexpr char kControl[] = "corneltray-control";

  std::mutex mutex;                  // this and the next outlive the nodes, whose threads use them
  std::vector<std::string> handled;  // hosts whose requests were handled, in order
  PeerNode control;
  PeerNode other_control;
  PeerNode entry;

  static PeerOptions ControlOptions(const std::string& host) {
    PeerOptions options = OptionsFor(host);
    options.identity.program = kControl;
    options.urgent_program = kControl;
    return options;
  }

  explicit BusyControl(std::chrono::milliseconds time_per_request)
      : control(ControlOptions("control-1")),
        other_control(ControlOptions("control-2")),
        entry(OptionsFor("entry-1")) {
    control.SetRequestHandler(MessageType::kPropose,
                              [this, time_per_request](const PeerIdentity& from, const json&,
                                                       const PeerNode::Responder& respond) {
                                std::this_thread::sleep_for(time_per_request);
                                {
                                  const std::lock_guard<std::mutex> lock(mutex);
                                  handled.push_back(from.host);
                                }
                                respond(json::object());
                              });
    REQUIRE(control.Start());
    REQUIRE(other_control.Start());
    REQUIRE(entry.Start());
    other_control.Connect(control.ListenAddress());
    entry.Connect(control.ListenAddress());
    REQUIRE(Eventually([&] { return IsConnected(other_control, "control-1"); }));
    REQUIRE(Eventually([&] { return IsConnected(entry, "control-1"); }));
  }

  void SendFromEntry(int requests, std::chrono::milliseconds timeout) {
    for (int number = 0; number < requests; ++number) {
      entry.Request("control-1", MessageType::kPropose, {{"timeout_ms", timeout.count()}},
                    Clock::now() + timeout, [](const Result<json>&) {});
    }
  }
  std::size_t Handled() {
    const std::lock_guard<std::mutex> lock(mutex);
    return handled.size();
  }
};

// Guards against elections and reads of the log that wait behind the requests of entry hosts.
TEST_CASE("messages of the urgent program are handled before those that wait") {
  BusyControl busy(std::chrono::milliseconds(5));
  constexpr int kRequests = 200;
  busy.SendFromEntry(kRequests, std::chrono::duration_cast<std::chrono::milliseconds>(kPatience));
  REQUIRE(Eventually([&] { return busy.Handled() > 0; }));
  REQUIRE(Ask(&busy.other_control, "control-1", json::object()));
  std::vector<std::string> handled;
  {
    const std::lock_guard<std::mutex> lock(busy.mutex);
    handled = busy.handled;
  }
  CHECK(std::count(handled.begin(), handled.end(), "control-2") == 1);
  CHECK(handled.size() < kRequests / 2);
}

// Guards against fetches of entry hosts that wait for as long as others send many replies.
TEST_CASE("messages that wait are handled between the replies that arrive") {
  constexpr int kReplies = 2000;
  constexpr int kRequests = 100;
  BusyControl busy(std::chrono::milliseconds(0));
  PeerNode replier(OptionsFor("entry-2"));
  std::vector<PeerNode::Responder> responders;  // on the loop of the replier
  std::atomic<int> asked{0};
  replier.SetRequestHandler(MessageType::kPropose, [&](const PeerIdentity&, const json&,
                                                       const PeerNode::Responder& respond) {
    responders.push_back(respond);
    ++asked;
  });
  REQUIRE(replier.Start());
  replier.Connect(busy.control.ListenAddress());
  REQUIRE(Eventually([&] { return IsConnected(busy.control, "entry-2"); }));
  std::atomic<int> replies{0};
  std::atomic<std::size_t> handled_before_last_reply{0};
  for (int number = 0; number < kReplies; ++number) {
    busy.control.Request("entry-2", MessageType::kPropose, json::object(), Clock::now() + kPatience,
                         [&](const Result<json>&) {
                           if (++replies == kReplies) handled_before_last_reply = busy.Handled();
                         });
  }
  REQUIRE(Eventually([&] { return asked == kReplies; }));

  // All replies and requests are there when the loop goes on.
  std::promise<void> go_on;
  busy.control.Post([wait = go_on.get_future().share()] { wait.wait(); });
  replier.Post([&] {
    for (const PeerNode::Responder& respond : responders) respond(json::object());
  });
  const auto sent = [](const PeerNode& node, MessageType type) {
    return node.MessageCounters()[type].sent;
  };
  const bool replies_sent =
      Eventually([&] { return sent(replier, MessageType::kReply) == kReplies; });
  busy.SendFromEntry(kRequests, std::chrono::duration_cast<std::chrono::milliseconds>(kPatience));
  const bool requests_sent =
      Eventually([&] { return sent(busy.entry, MessageType::kPropose) == kRequests; });
  go_on.set_value();
  REQUIRE(replies_sent);
  REQUIRE(requests_sent);
  REQUIRE(Eventually([&] { return replies == kReplies; }));
  CHECK(handled_before_last_reply.load() >= kRequests / 2);
  REQUIRE(Eventually([&] { return busy.Handled() == kRequests; }));
  busy.control.Stop();
}

// Guards against work for requests that their senders have given up.
TEST_CASE("a request that has waited for longer than its sender does is dropped") {
  BusyControl busy(std::chrono::milliseconds(20));
  constexpr int kRequests = 40;
  busy.SendFromEntry(kRequests, std::chrono::milliseconds(100));
  REQUIRE(Eventually([&] {
    return busy.Handled() + busy.control.Counters().expired == static_cast<std::size_t>(kRequests);
  }));
  CHECK(busy.control.Counters().expired > kRequests / 2);
  CHECK(busy.Handled() > 0);
}

}  // namespace
}  // namespace corneltray
