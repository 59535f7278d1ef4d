#include "corneltray/engine_router.h"

#include <doctest/doctest.h>

#include <deque>

#include "engine_fleet_test.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow{std::chrono::hours(1)};
constexpr int kZoneConcurrency = 220;  // requests for which a test zone has room

// Two zones with a whole copy each: two fast engines and four slow ones in each.
class RouterFixture {
 public:
  RouterFixture() : router("a", TestProfile(), 1) {
    for (const char* zone : {"a", "b"}) {
      const std::string z = zone;
      Add(TestEngine(z + "-f1", z, "fast", 0, 20));
      Add(TestEngine(z + "-f2", z, "fast", 20, 40));
      Add(TestEngine(z + "-s1", z, "slow", 40, 50));
      Add(TestEngine(z + "-s2", z, "slow", 50, 60));
      Add(TestEngine(z + "-s3", z, "slow", 60, 70));
      Add(TestEngine(z + "-s4", z, "slow", 70, 80));
    }
    router.SetEngines("s", table);
  }

  void Add(const UpstreamUpdate& update) { table.Apply(kNow, update); }
  ChainChoice Choose(const std::set<std::string>& excluded = {}) {
    return router.Choose(now, table, excluded);
  }

  // What a control process tells of an engine that answers it.
  void Tell(const std::string& name, double load, double slowness = 1.0) {
    router.UpdateHealth(now, {name, 1, true, load, slowness});
  }
  void TellLost(const std::string& name) { router.UpdateHealth(now, {name, 1, false, 0.0, 1.0}); }

  TimePoint now = kNow;
  UpstreamTable table;
  EngineRouter router;
};

// Guards against a token that skips a layer or runs one twice.
void CheckEveryLayerOnce(const ChainChoice& choice) {
  std::uint32_t next = 0;
  std::set<std::string> seen;
  for (const ChainStage& stage : choice.stages) {
    CHECK(stage.first == next);
    CHECK(stage.end > stage.first);
    CHECK(seen.insert(stage.address).second);
    next = stage.end;
  }
  CHECK(next == 80);
}

bool Runs(const ChainChoice& choice, const std::string& address) {
  for (const ChainStage& stage : choice.stages) {
    if (stage.address == address) return true;
  }
  return false;
}

TEST_CASE("a chain runs every layer once, in the own zone") {
  RouterFixture fixture;
  const ChainChoice choice = fixture.Choose();
  CheckEveryLayerOnce(choice);
  CHECK(choice.scope == ChainScope::kOwnZone);

  SUBCASE("a stage that failed this request is left out") {
    const ChainChoice other = fixture.Choose({"a-s2"});
    CheckEveryLayerOnce(other);
    CHECK_FALSE(Runs(other, "a-s2"));
  }
  SUBCASE("without any engine for a layer there is no chain") {
    CHECK(fixture.Choose({"a-s2", "b-s2"}).stages.empty());
  }
  SUBCASE("an upstream that leaves gets no new request, before the router is told") {
    UpstreamUpdate leaving = TestEngine("a-s2", "a", "slow", 50, 60);
    leaving.announcement.state = UpstreamState::kLeaving;
    leaving.announcement.sequence = 2;
    fixture.Add(leaving);
    CHECK_FALSE(Runs(fixture.Choose(), "a-s2"));
  }
}

// Guards against requests that stall one after the other at an engine that is gone.
TEST_CASE("a suspected engine is avoided until it announces itself again") {
  RouterFixture fixture;
  fixture.router.Suspect(fixture.now, "a-s2", 1);
  CHECK_FALSE(Runs(fixture.Choose(), "a-s2"));
  fixture.now += kSuspectDuration;
  CHECK_FALSE(Runs(fixture.Choose(), "a-s2"));
  fixture.table.Refresh(fixture.now, "a-s2", 1, 2);
  CHECK(Runs(fixture.Choose(), "a-s2"));
}

// Guards against requests that are refused for as long as an engine is gone without a word: its
// first stages name it in their refusals at once, which looks like an engine without room.
TEST_CASE("an engine that no longer announces itself is avoided") {
  RouterFixture fixture;
  fixture.now += kSilenceTimeout;
  SUBCASE("while the others announce themselves") {
    const UpstreamTable before = fixture.table;
    for (const auto& [name, record] : before.Records()) {
      if (name != "a-s2") fixture.table.Refresh(fixture.now, name, 1, 2);
    }
    CHECK_FALSE(Runs(fixture.Choose(), "a-s2"));
    CHECK(Runs(fixture.Choose({"b-s2"}), "a-s2"));
  }
  SUBCASE("but not when nothing is heard of any engine, as without a control process") {
    CHECK(fixture.Choose().scope == ChainScope::kOwnZone);
  }
}

// Guards against a zone that is taken for dead because one of its engines was full for a moment:
// its requests then filled the engines of the next zone, and so on.
TEST_CASE("a full engine is avoided for a moment and used if nothing else is left") {
  RouterFixture fixture;
  fixture.router.MarkFull(fixture.now, "a-s2");
  CHECK(fixture.Choose().scope != ChainScope::kOwnZone);
  CHECK(Runs(fixture.Choose({"b-s2"}), "a-s2"));
  fixture.now += kFullDuration;
  CHECK(fixture.Choose().scope == ChainScope::kOwnZone);
}

// The load of a zone that has lost its copy moves to others without drowning them: a zone keeps to
// itself while it has room, and its first stages tell how much that is.
TEST_CASE("another zone is used when the own one is full") {
  RouterFixture fixture;
  SUBCASE("not while it is half full, although the other is empty") {
    fixture.router.Report(fixture.now, "a-f1", {kZoneConcurrency / 2, 0, 0.0});
    fixture.router.Report(fixture.now, "b-f1", {0, 0, 0.0});
    CHECK(fixture.Choose().scope == ChainScope::kOwnZone);
  }
  SUBCASE("when it is full") {
    fixture.router.Report(fixture.now, "a-f1", {kZoneConcurrency * 2, 0, 0.0});
    fixture.router.Report(fixture.now, "b-f1", {0, 0, 0.0});
    const ChainChoice choice = fixture.Choose();
    CHECK(choice.scope == ChainScope::kOtherZone);
    CheckEveryLayerOnce(choice);
  }
  SUBCASE("and the load is forgotten when no report renews it") {
    fixture.router.Report(fixture.now, "a-f1", {kZoneConcurrency * 2, 0, 0.0});
    fixture.now += std::chrono::seconds(3);
    CHECK(fixture.Choose().scope == ChainScope::kOwnZone);
  }
}

TEST_CASE("one request at a foreign stage does not count as load of the own zone") {
  RouterFixture fixture;
  fixture.router.Report(fixture.now, "b-f1", {kZoneConcurrency * 2, 0, 0.0});
  const ChainChoice choice = fixture.Choose();
  fixture.router.Begin(choice.stages, 900.0);
  CHECK(fixture.Choose().scope == ChainScope::kOwnZone);
  CHECK(fixture.Choose().load < 0.5);
  fixture.router.End(choice.stages, 900.0);
}

TEST_CASE("a slow engine is avoided when another holds its layers") {
  RouterFixture fixture;
  fixture.Add(TestEngine("a-spare", "a", "slow", 50, 60));
  fixture.router.SetEngines("s", fixture.table);
  fixture.Tell("a-s2", 0.1, 8.0);
  CHECK(Runs(fixture.Choose(), "a-spare"));
  fixture.Tell("a-spare", 0.1, 9.0);
  CHECK(Runs(fixture.Choose({"b-s2"}), "a-s2"));
}

// Guards against requests that fail at a lost engine at each host anew.
TEST_CASE("an engine that a control process tells to be lost is avoided at once") {
  RouterFixture fixture;
  fixture.TellLost("a-s2");
  CHECK_FALSE(Runs(fixture.Choose(), "a-s2"));
  SUBCASE("it is used when it answers again") {
    fixture.Tell("a-s2", 0.0);
    CHECK(Runs(fixture.Choose(), "a-s2"));
  }
  SUBCASE("it is used when no chain is left without it") {
    CHECK(Runs(fixture.Choose({"b-s2"}), "a-s2"));
  }
  SUBCASE("it is used after a new start under the same name") {
    UpstreamUpdate restarted = TestEngine("a-s2", "a", "slow", 50, 60);
    restarted.announcement.incarnation = 2;
    fixture.Add(restarted);
    fixture.router.SetEngines("s", fixture.table);
    CHECK(Runs(fixture.Choose(), "a-s2"));
  }
  SUBCASE("the message is forgotten when none renews it") {
    fixture.now += kHealthLifetime;
    CHECK(Runs(fixture.Choose(), "a-s2"));
  }
}

// Guards against prompts sent to an engine that refuses them while other copies have room. A host
// that has sent nothing to it lately cannot know its load by itself.
TEST_CASE("a copy whose fullest stage was told to be full is left alone") {
  RouterFixture fixture;
  const UpstreamTable known = fixture.table;
  for (const auto& [name, record] : known.Records()) fixture.Tell(name, 0.3);
  CHECK(fixture.Choose().scope == ChainScope::kOwnZone);
  fixture.Tell("a-s3", 0.97);
  CHECK(fixture.Choose().scope == ChainScope::kOtherZone);
  SUBCASE("until all copies are full, when the own zone is as good as another") {
    fixture.Tell("b-s3", 0.97);
    CHECK_FALSE(fixture.Choose().stages.empty());
  }
  SUBCASE("also by what this host has sent since the report") {
    fixture.Tell("a-s3", 0.6);
    const ChainChoice choice = fixture.Choose();
    fixture.router.Begin(choice.stages, 80'000.0);
    CHECK(fixture.Choose().scope == ChainScope::kOtherZone);
  }
}

// Guards against a search that takes the best engines out of several copies at once and leaves no
// whole chain to the others, so that half of a zone is idle.
TEST_CASE("all copies of a zone are used, also where their boundaries differ") {
  UpstreamTable table;
  table.Apply(kNow, TestEngine("c-f1", "a", "fast", 0, 32));
  for (std::uint32_t first = 32; first < 80; first += 16) {
    table.Apply(kNow, TestEngine("c-" + std::to_string(first), "a", "slow", first, first + 16));
  }
  table.Apply(kNow, TestEngine("d-0", "a", "slow", 0, 10));
  table.Apply(kNow, TestEngine("d-f1", "a", "fast", 10, 42));
  table.Apply(kNow, TestEngine("d-42", "a", "slow", 42, 58));
  table.Apply(kNow, TestEngine("d-58", "a", "slow", 58, 74));
  table.Apply(kNow, TestEngine("d-74", "a", "slow", 74, 80));
  EngineRouter router("a", TestProfile(), 1);
  router.SetEngines("s", table);
  std::map<std::string, int> chosen;
  for (int i = 0; i < 200; ++i) {
    const ChainChoice choice = router.Choose(kNow, table, {});
    CheckEveryLayerOnce(choice);
    ++chosen[choice.stages.front().address];
  }
  CHECK(chosen["c-f1"] > 50);
  CHECK(chosen["d-0"] > 50);
}

// A stage of either kind has room for 200,000 tokens beside its layers, and a usual request keeps
// 875 of them.
constexpr std::uint32_t kCopyRoom = 228;

// Plays the load of many hosts in a zone with three copies of the model, each with room for
// kCopyRoom requests. A host begins a request every second or so and learns the load of a
// first stage only from the answers of its own requests.
class SpreadSimulation {
 public:
  SpreadSimulation() {
    for (const char* copy : {"a", "b", "c"}) {
      const std::string c = copy;
      m_table.Apply(kNow, TestEngine(c + "-f1", "a", "fast", 0, 20));
      m_table.Apply(kNow, TestEngine(c + "-f2", "a", "fast", 20, 40));
      for (std::uint32_t first = 40; first < 80; first += 10) {
        const std::string name = c + "-s" + std::to_string(first);
        m_table.Apply(kNow, TestEngine(name, "a", "slow", first, first + 10));
      }
    }
    for (std::uint64_t host = 0; host < kHosts; ++host) {
      m_routers.emplace_back("a", TestProfile(), host);
      m_routers.back().SetEngines("s", m_table);
    }
  }

  // Returns the most requests that any copy had at once.
  std::uint32_t Play(double requests_per_s, double seconds_each, milliseconds length) {
    const auto pause =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / requests_per_s));
    std::uint32_t most = 0;
    std::size_t host = 0;
    for (TimePoint now = kNow; now < kNow + length; now += pause) {
      Finish(now);
      EngineRouter& router = m_routers[host++ % kHosts];
      const ChainChoice choice = router.Choose(now, m_table, {});
      REQUIRE_FALSE(choice.stages.empty());
      const std::string& first = choice.stages.front().address;
      most = std::max(most, ++m_running[first]);
      router.Begin(choice.stages, kTokens);
      router.Report(now, first, {m_running[first], 0, 0.0});
      const auto took =
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds_each));
      m_ends.emplace(now + took, Running{&router, choice.stages});
    }
    return most;
  }

 private:
  static constexpr std::size_t kHosts = 40;
  static constexpr double kTokens = 875.0;
  struct Running {
    EngineRouter* router;
    std::vector<ChainStage> chain;
  };

  void Finish(TimePoint now) {
    while (!m_ends.empty() && m_ends.begin()->first <= now) {
      const Running& done = m_ends.begin()->second;
      --m_running[done.chain.front().address];
      done.router->End(done.chain, kTokens);
      m_ends.erase(m_ends.begin());
    }
  }

  UpstreamTable m_table;
  std::deque<EngineRouter> m_routers;
  std::map<std::string, std::uint32_t> m_running;  // by first stage
  std::multimap<TimePoint, Running> m_ends;
};

// Guards against a copy that all hosts fill until it gives up requests, while others are idle.
TEST_CASE("requests of many hosts are spread over the copies of a zone") {
  SpreadSimulation simulation;
  SUBCASE("at half of the room of the zone no copy fills up") {
    const double per_s = 0.5 * 3 * kCopyRoom / 2.0;
    CHECK(simulation.Play(per_s, 2.0, std::chrono::seconds(60)) < 0.8 * kCopyRoom);
  }
  SUBCASE("at four fifths of it every copy keeps within its room") {
    const double per_s = 0.8 * 3 * kCopyRoom / 2.0;
    CHECK(simulation.Play(per_s, 2.0, std::chrono::seconds(60)) <= kCopyRoom);
  }
}

}  // namespace
}  // namespace corneltray
