#include "corneltray/control_client.h"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "corneltray/configuration_feed.h"
#include "corneltray/control_protocol.h"
#include "corneltray/peer.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kPatience{10};

PeerOptions OptionsFor(const std::string& host, const std::string& program) {
  return {{host, program, "dkr", "dkr-a", 1}, "127.0.0.1:0", "", "0123456789abcdef"};
}

template <class Condition>
bool Eventually(Condition condition) {
  const TimePoint end = Clock::now() + kPatience;
  while (Clock::now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return condition();
}

enum class Behaviour { kAnswer, kNotProposed, kUnavailable, kSilent };

// A control process that answers proposals in a fixed way and serves one document.
struct StandIn {
  PeerNode node;
  std::atomic<Behaviour> behaviour;
  std::atomic<int> proposals{0};
  std::atomic<int> fetches{0};
  ConfigurationStore store;

  StandIn(const std::string& host, Behaviour how)
      : node(OptionsFor(host, kControlProgram)), behaviour(how) {
    node.SetRequestHandler(MessageType::kPropose, [this](const PeerIdentity&, const json&,
                                                         const PeerNode::Responder& respond) {
      ++proposals;
      switch (behaviour) {
        case Behaviour::kAnswer:
          return respond(ReplyBody(ConfigurationReply{ConfigurationVerdict::kApplied, 1, ""}));
        case Behaviour::kNotProposed:
          return respond(ErrorBody(ControlErrc::kNotProposed, "no leader"));
        case Behaviour::kUnavailable:
          return respond(ErrorBody(ControlErrc::kUnavailable, "no majority"));
        case Behaviour::kSilent:
          return;
      }
    });
    node.SetRequestHandler(
        MessageType::kConfigurationFetch,
        [this](const PeerIdentity&, const json& body, const PeerNode::Responder& respond) {
          ++fetches;
          respond(Update(body.at("have")));
        });
    REQUIRE(node.Start().Ok());
  }

  json Update(std::uint64_t have) const {
    if (have == store.Revision()) return {{"revision", have}, {"unchanged", true}};
    std::optional<RevisedDocument> from;
    if (const auto known = store.DocumentAt(have)) from = RevisedDocument{have, *known};
    return MakeConfigurationUpdate(from, {store.Revision(), store.Document()});
  }

  // Runs on the node's thread, where the fetch handler reads the store.
  void Change(const std::string& base) {
    std::atomic<bool> done{false};
    node.Post([&] {
      const std::uint64_t revision = store.Revision();
      store.Apply({"change-" + std::to_string(revision), revision, "operator", {base, {}}}, 1);
      done = true;
    });
    REQUIRE(Eventually([&] { return done.load(); }));
  }
};

std::string DocumentText(int deadline_ms) {
  return "[limits]\ndefault_deadline_ms = " + std::to_string(deadline_ms) +
         "\nmax_deadline_ms = 600000\n";
}

// Guards the claim of a booking against a control process that fails, and the outcome `not_run`
// against a command that may be in the log after all.
TEST_CASE("a proposal is retried on every control process until its deadline") {
  using B = Behaviour;
  struct Row {
    std::string name;
    std::vector<Behaviour> processes;
    int deadline_ms;
    bool answered;
    ControlErrc error;
  };
  const Row rows[] = {
      {"the first answers", {B::kAnswer, B::kSilent}, 8000, true, {}},
      {"the first has no leader", {B::kNotProposed, B::kAnswer}, 8000, true, {}},
      {"the first is silent", {B::kSilent, B::kAnswer}, 8000, true, {}},
      {"no majority, then another", {B::kUnavailable, B::kAnswer}, 8000, true, {}},
      {"none has a leader",
       {B::kNotProposed, B::kNotProposed},
       300,
       false,
       ControlErrc::kNotProposed},
      {"one may have proposed it",
       {B::kUnavailable, B::kNotProposed},
       300,
       false,
       ControlErrc::kUnavailable},
      {"all are silent", {B::kSilent}, 300, false, ControlErrc::kUnavailable},
      {"none is there", {}, 100, false, ControlErrc::kNotProposed},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::vector<std::unique_ptr<StandIn>> processes;
    PeerNode node(OptionsFor("entry", "corneltray-entry"));
    REQUIRE(node.Start().Ok());
    for (const Behaviour behaviour : row.processes) {
      processes.push_back(
          std::make_unique<StandIn>("control-" + std::to_string(processes.size()), behaviour));
      node.Connect(processes.back()->node.ListenAddress());
    }
    REQUIRE(Eventually([&] { return node.Peers().size() == processes.size(); }));
    PeerControlClient client(&node);
    const auto reply = client.Propose(ApplyConfiguration{"change", 0, "operator", {}},
                                      Clock::now() + std::chrono::milliseconds(row.deadline_ms));
    REQUIRE(reply.Ok() == row.answered);
    if (!row.answered) CHECK(reply.error().code == make_error_code(row.error));
  }
}

// Guards R7 and the rule that a restarted process does not serve below the floor.
TEST_CASE("a configuration feed follows the control processes") {
  StandIn control("control", Behaviour::kAnswer);
  control.Change(DocumentText(1000));
  PeerNode node(OptionsFor("entry", "corneltray-entry"));
  ConfigurationFeed feed(&node, "dkr");
  std::atomic<std::uint64_t> seen{0};
  feed.SetChangeCallback(
      [&](const std::shared_ptr<const Configuration>& now) { seen = now->revision; });
  feed.Start();
  CHECK_FALSE(feed.Ready());
  CHECK(feed.Current() == nullptr);
  REQUIRE(node.Start().Ok());
  node.Connect(control.node.ListenAddress());
  REQUIRE(Eventually([&] { return feed.Ready(); }));
  CHECK(feed.Current()->limits.default_deadline_ms == 1000);
  CHECK(seen == 1);

  SUBCASE("through a push") {
    control.Change(DocumentText(2000));
    control.node.Send("entry", MessageType::kConfigurationChanged, control.Update(1));
    REQUIRE(Eventually([&] { return seen == 2; }));
    CHECK(feed.Current()->limits.default_deadline_ms == 2000);

    SUBCASE("and never goes back") {
      CHECK_FALSE(feed.Activate({1, {DocumentText(1000), {}}}));
      CHECK_FALSE(feed.Activate({2, {DocumentText(1000), {}}}));
      CHECK(feed.Current()->limits.default_deadline_ms == 2000);
    }
  }
  SUBCASE("when a push was missed") {
    control.Change(DocumentText(2000));
    control.Change(DocumentText(3000));
    control.node.Send("entry", MessageType::kConfigurationChanged, control.Update(2));
    REQUIRE(Eventually([&] { return seen == 3; }));
  }
  SUBCASE("when only gossip tells of a revision") {
    control.Change(DocumentText(2000));
    feed.NoteRevision(2);
    REQUIRE(Eventually([&] { return feed.Ready() && seen == 2; }));
  }
  SUBCASE("and is not ready below the floor") {
    feed.NoteRevision(9);
    CHECK_FALSE(feed.Ready());
    CHECK(feed.RequiredRevision() == 9);
    CHECK(feed.Current()->revision == 1);  // it still serves what it has
  }
  SUBCASE("and takes the whole document when a difference does not apply") {
    control.Change(DocumentText(2000));
    json update = control.Update(1);
    update["checksum"] = 1;
    control.node.Send("entry", MessageType::kConfigurationChanged, update);
    REQUIRE(Eventually([&] { return seen == 2; }));
  }
  SUBCASE("and takes pushes only from control processes") {
    PeerNode stranger(OptionsFor("entry-2", "corneltray-entry"));
    REQUIRE(stranger.Start().Ok());
    stranger.Connect(node.ListenAddress());
    REQUIRE(Eventually([&] { return node.Peers().size() == 2; }));
    const auto frames = node.Counters().bytes_received;
    stranger.Send("entry", MessageType::kConfigurationChanged,
                  MakeConfigurationUpdate(std::nullopt, {7, {DocumentText(7000), {}}}));
    REQUIRE(Eventually([&] { return node.Counters().bytes_received > frames + 100; }));
    CHECK(feed.Current()->revision == 1);
  }
  node.Stop();
}

// Guards against a restarted process that serves what a control process that is behind gave it.
TEST_CASE("the first configuration is the highest revision of all reachable control processes") {
  StandIn behind("control-1", Behaviour::kAnswer);
  StandIn current("control-2", Behaviour::kAnswer);
  behind.Change(DocumentText(1000));
  for (int i = 1; i <= 3; ++i) current.Change(DocumentText(1000 * i));
  PeerNode node(OptionsFor("entry", "corneltray-entry"));
  REQUIRE(node.Start().Ok());
  node.Connect(behind.node.ListenAddress());
  node.Connect(current.node.ListenAddress());
  REQUIRE(Eventually([&] { return node.Peers().size() == 2; }));
  ConfigurationFeed feed(&node, "dkr");
  std::atomic<std::uint64_t> first{0};
  feed.SetChangeCallback([&](const std::shared_ptr<const Configuration>& now) {
    std::uint64_t none = 0;
    first.compare_exchange_strong(none, now->revision);
  });
  feed.Start();
  REQUIRE(Eventually([&] { return feed.Ready(); }));
  CHECK(first == 3);
  node.Stop();
}

TEST_CASE("a configuration patch turns one document into the other") {
  ConfigurationDocument base{"a\nb\nc\nd\n", {{"dkr", "x\n"}, {"karachi/1~", "y"}}};
  struct Row {
    std::string name;
    ConfigurationDocument to;
    std::size_t most_operations;
  };
  const Row rows[] = {
      {"no change", base, 0},
      {"one line", {"a\nB\nc\nd\n", base.overlays}, 1},
      {"two lines apart", {"A\nb\nc\nD\n", base.overlays}, 2},
      {"a line inserted", {"a\nnew\nb\nc\nd\n", base.overlays}, 1},
      {"a line removed", {"a\nc\nd\n", base.overlays}, 1},
      {"no newline at the end", {"a\nb\nc\nd", base.overlays}, 1},
      {"empty", {"", {}}, 7},
      {"another site", {base.base, {{"dkr", "x\n"}, {"thies", "z\n"}}}, 2},
      {"a site whose name needs escaping", {base.base, {{"dkr", "x\n"}, {"karachi/1~", "Y"}}}, 1},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const json update = MakeConfigurationUpdate(RevisedDocument{4, base}, {5, row.to});
    CHECK(update["patch"].size() <= row.most_operations);
    const auto applied = ApplyConfigurationUpdate({4, base}, update);
    REQUIRE(applied.Ok());
    CHECK(applied.value().revision == 5);
    CHECK(applied.value().document.base == row.to.base);
    CHECK(applied.value().document.overlays == row.to.overlays);
    CHECK_FALSE(ApplyConfigurationUpdate({3, base}, update).Ok());
    CHECK_FALSE(ApplyConfigurationUpdate({4, {"other", {}}}, update).Ok());
  }
  CHECK_FALSE(ApplyConfigurationUpdate({4, base}, json::array()).Ok());
}

}  // namespace
}  // namespace corneltray
