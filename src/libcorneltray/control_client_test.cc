#include "corneltray/control_client.h"

#include <doctest/doctest.h>

#include <atomic>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <thread>

#include "corneltray/configuration_feed.h"
#include "corneltray/control_protocol.h"
#include "corneltray/peer.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kWaitTimeout{10};

PeerOptions OptionsFor(const std::string& host, const std::string& program) {
  return {{host, program, "dkr", "dkr-a", 1}, "127.0.0.1:0", "", "0123456789abcdef"};
}

template <class Condition>
bool Eventually(Condition condition) {
  const TimePoint end = Clock::now() + kWaitTimeout;
  while (Clock::now() < end) {
    if (condition()) return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  return condition();
}

enum class Behaviour { kAnswer, kNotProposed, kUnavailable, kSilent };

// A control process that answers proposals in a fixed way and serves configuration documents.
struct FakeControlProcess {
  PeerNode node;
  std::atomic<Behaviour> behaviour;
  std::atomic<int> proposals{0};
  std::atomic<int> fetches{0};
  ConfigurationStore store;

  FakeControlProcess(const std::string& host, Behaviour initial_behaviour)
      : node(OptionsFor(host, kControlProgram)), behaviour(initial_behaviour) {
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

  // Applies the change on the thread of the node, because the fetch handler reads the store there.
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

// Guards against losing the claim of a booking when a control process fails, and against reporting
// the outcome `not_run` for a command that may still be in the log.
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
      {"the first has no majority", {B::kUnavailable, B::kAnswer}, 8000, true, {}},
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
      {"none is connected", {}, 100, false, ControlErrc::kNotProposed},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    std::vector<std::unique_ptr<FakeControlProcess>> processes;
    PeerNode node(OptionsFor("entry", "corneltray-entry"));
    REQUIRE(node.Start().Ok());
    for (const Behaviour behaviour : row.processes) {
      processes.push_back(std::make_unique<FakeControlProcess>(
          "control-" + std::to_string(processes.size()), behaviour));
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

// Guards against a configuration that goes back to a lower revision, and against a restarted
// process that serves below the revision that its peers have reported.
TEST_CASE("a configuration feed follows the control processes") {
  FakeControlProcess control("control", Behaviour::kAnswer);
  control.Change(DocumentText(1000));
  PeerNode node(OptionsFor("entry", "corneltray-entry"));
  ConfigurationFeed feed(&node, "dkr");
  std::atomic<std::uint64_t> active_revision{0};
  feed.SetChangeCallback(
      [&](const std::shared_ptr<const Configuration>& now) { active_revision = now->revision; });
  feed.Start();
  CHECK_FALSE(feed.Ready());
  CHECK(feed.Current() == nullptr);
  REQUIRE(node.Start().Ok());
  node.Connect(control.node.ListenAddress());
  REQUIRE(Eventually([&] { return feed.Ready(); }));
  CHECK(feed.Current()->limits.default_deadline_ms == 1000);
  CHECK(active_revision == 1);

  SUBCASE("a push activates the next revision") {
    control.Change(DocumentText(2000));
    control.node.Send("entry", MessageType::kConfigurationChanged, control.Update(1));
    REQUIRE(Eventually([&] { return active_revision == 2; }));
    CHECK(feed.Current()->limits.default_deadline_ms == 2000);

    SUBCASE("a lower or equal revision is rejected") {
      CHECK_FALSE(feed.Activate({1, {DocumentText(1000), {}}}));
      CHECK_FALSE(feed.Activate({2, {DocumentText(1000), {}}}));
      CHECK(feed.Current()->limits.default_deadline_ms == 2000);
    }
  }
  SUBCASE("a missed push leads to a fetch") {
    control.Change(DocumentText(2000));
    control.Change(DocumentText(3000));
    control.node.Send("entry", MessageType::kConfigurationChanged, control.Update(2));
    REQUIRE(Eventually([&] { return active_revision == 3; }));
  }
  SUBCASE("a revision reported only by gossip is fetched") {
    control.Change(DocumentText(2000));
    feed.NoteRevision(2);
    REQUIRE(Eventually([&] { return feed.Ready() && active_revision == 2; }));
  }
  SUBCASE("the feed is not ready below the required revision") {
    feed.NoteRevision(9);
    CHECK_FALSE(feed.Ready());
    CHECK(feed.RequiredRevision() == 9);
    CHECK(feed.Current()->revision == 1);  // the active configuration stays in use
  }
  SUBCASE("the whole document is fetched when a patch does not apply") {
    control.Change(DocumentText(2000));
    json update = control.Update(1);
    update["checksum"] = 1;
    control.node.Send("entry", MessageType::kConfigurationChanged, update);
    REQUIRE(Eventually([&] { return active_revision == 2; }));
  }
  SUBCASE("pushes from other programs are ignored") {
    PeerNode other_entry(OptionsFor("entry-2", "corneltray-entry"));
    REQUIRE(other_entry.Start().Ok());
    other_entry.Connect(node.ListenAddress());
    REQUIRE(Eventually([&] { return node.Peers().size() == 2; }));
    const auto bytes_before = node.Counters().bytes_received;
    other_entry.Send("entry", MessageType::kConfigurationChanged,
                     MakeConfigurationUpdate(std::nullopt, {7, {DocumentText(7000), {}}}));
    REQUIRE(Eventually([&] { return node.Counters().bytes_received > bytes_before + 100; }));
    CHECK(feed.Current()->revision == 1);
  }
  node.Stop();
}

// Guards against control processes that get more fetches the longer they take to answer.
TEST_CASE(
    "a control process that does not answer a fetch of the configuration is not asked again") {
  PeerNode control(OptionsFor("control", kControlProgram));
  std::mutex mutex;
  std::vector<TimePoint> fetched_at;
  control.SetRequestHandler(MessageType::kConfigurationFetch,
                            [&](const PeerIdentity&, const json&, const PeerNode::Responder&) {
                              const std::lock_guard<std::mutex> lock(mutex);
                              fetched_at.push_back(Clock::now());
                            });
  REQUIRE(control.Start().Ok());
  PeerNode node(OptionsFor("entry", "corneltray-entry"));
  ConfigurationFeed feed(&node, "dkr");
  REQUIRE(feed.Activate({1, {DocumentText(1000), {}}}));
  feed.NoteRevision(2);
  feed.Start();
  REQUIRE(node.Start().Ok());
  node.Connect(control.ListenAddress());
  REQUIRE(Eventually([&] {
    const std::lock_guard<std::mutex> lock(mutex);
    return fetched_at.size() >= 2;
  }));
  node.Stop();
  control.Stop();
  // Until the fetch has timed out, after a second. Fetches of a process that is behind are 200 ms
  // apart otherwise.
  CHECK(fetched_at[1] - fetched_at[0] > std::chrono::milliseconds(800));
}

// Guards against a restarted process that serves the configuration of a control process that is
// behind.
TEST_CASE("the first configuration is the highest revision of all reachable control processes") {
  FakeControlProcess outdated("control-1", Behaviour::kAnswer);
  FakeControlProcess current("control-2", Behaviour::kAnswer);
  outdated.Change(DocumentText(1000));
  for (int i = 1; i <= 3; ++i) current.Change(DocumentText(1000 * i));
  PeerNode node(OptionsFor("entry", "corneltray-entry"));
  REQUIRE(node.Start().Ok());
  node.Connect(outdated.node.ListenAddress());
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

// Guards against a patch that replaces more lines than have changed, and against one that is
// applied to another document than it was made for.
TEST_CASE("a configuration patch turns one document into the other") {
  ConfigurationDocument base{"a\nb\nc\nd\n", {{"dkr", "x\n"}, {"karachi/1~", "y"}}};
  struct Row {
    std::string name;
    ConfigurationDocument to;
    std::size_t max_operations;
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
    CHECK(update["patch"].size() <= row.max_operations);
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
