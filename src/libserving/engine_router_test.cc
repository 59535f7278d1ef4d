#include "corneltray/engine_router.h"

#include <doctest/doctest.h>

#include <deque>

#include "engine_fleet_test.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow{std::chrono::hours(1)};
constexpr int kZoneConcurrency = 220;  // capacity of a test zone in requests

// Two zones with one complete copy of the model each, on two fast and four slow engines.
class RouterFixture {
 public:
  explicit RouterFixture(const EngineProfile& profile = TestProfile()) : router("a", profile, 1) {
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

  // Health report of a control process on an engine that responds to it.
  void ReportHealth(const std::string& name, double load, double slowness = 1.0) {
    router.UpdateHealth(now, {name, 1, true, load, slowness});
  }
  void ReportLost(const std::string& name) { router.UpdateHealth(now, {name, 1, false, 0.0, 1.0}); }

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

  SUBCASE("a stage that failed this request is excluded") {
    const ChainChoice other = fixture.Choose({"a-s2"});
    CheckEveryLayerOnce(other);
    CHECK_FALSE(Runs(other, "a-s2"));
  }
  SUBCASE("there is no chain if no engine holds some layer") {
    CHECK(fixture.Choose({"a-s2", "b-s2"}).stages.empty());
  }
  SUBCASE("an upstream that is leaving gets no new request, even before SetEngines()") {
    UpstreamUpdate leaving = TestEngine("a-s2", "a", "slow", 50, 60);
    leaving.announcement.state = UpstreamState::kLeaving;
    leaving.announcement.sequence = 2;
    fixture.Add(leaving);
    CHECK_FALSE(Runs(fixture.Choose(), "a-s2"));
  }
}

// Guards against a series of requests that each time out at a lost engine.
TEST_CASE("a suspected engine is avoided until it announces itself again") {
  RouterFixture fixture;
  fixture.router.Suspect(fixture.now, "a-s2", {"a-s2", 1, 1});
  CHECK_FALSE(Runs(fixture.Choose(), "a-s2"));
  fixture.now += kSuspectDuration;
  CHECK_FALSE(Runs(fixture.Choose(), "a-s2"));
  fixture.table.Refresh(fixture.now, "a-s2", 1, 2);
  CHECK(Runs(fixture.Choose(), "a-s2"));
}

// Guards against hosts that avoid a new engine for as long as its predecessor had announced itself,
// because the announcements of a new process are counted from 1.
TEST_CASE("a process that replaces a suspected engine at its address is used at once") {
  RouterFixture fixture;
  constexpr std::uint64_t kAnnouncements = 30;
  fixture.router.Suspect(fixture.now, "a-s2", {"a-s2", 1, kAnnouncements});
  CHECK_FALSE(Runs(fixture.Choose(), "a-s2"));
  UpstreamUpdate next = TestEngine("a-s2", "a", "slow", 50, 60);
  next.announcement.incarnation = 2;
  SUBCASE("under the same name") {}
  SUBCASE("under another name") { next.announcement.name = "a-s2-next"; }
  fixture.Add(next);
  fixture.router.SetEngines("s", fixture.table);
  CHECK(Runs(fixture.Choose(), "a-s2"));
}

// Guards against requests that are refused as long as an engine is lost without a departure
// message. First stages name it in their refusals immediately, which looks like an engine without
// capacity.
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
  SUBCASE("but not if no engine is heard from, as without a control process") {
    CHECK(fixture.Choose().scope == ChainScope::kOwnZone);
  }
}

// Guards against chains across zones while the control processes are cut off from each other: a
// host then hears from half of the engines of each zone, and no copy is complete among these.
TEST_CASE("silent engines are used while many of the own zone are silent") {
  RouterFixture fixture;
  fixture.now += kSilenceTimeout;
  for (const char* name : {"a-f1", "a-f2", "a-s1", "b-s1", "b-s2", "b-s3", "b-s4"}) {
    fixture.table.Refresh(fixture.now, name, 1, 2);
  }
  CHECK(fixture.Choose().scope == ChainScope::kOwnZone);
  SUBCASE("but not one that is reported as lost") {
    fixture.ReportLost("a-s2");
    CHECK_FALSE(Runs(fixture.Choose(), "a-s2"));
  }
}

// Guards against a zone that is avoided for long because one of its engines was briefly full. Its
// requests then filled the engines of the next zone, which was avoided in turn.
TEST_CASE("a full engine is avoided for a short time and used only as a last resort") {
  RouterFixture fixture;
  fixture.router.MarkFull(fixture.now, "a-s2");
  CHECK(fixture.Choose().scope != ChainScope::kOwnZone);
  CHECK(Runs(fixture.Choose({"b-s2"}), "a-s2"));
  fixture.now += kFullDuration;
  CHECK(fixture.Choose().scope == ChainScope::kOwnZone);
}

// Guards against overloading a zone with the requests of a zone that has lost its copy. A zone uses
// its own engines while they have capacity, which its first stages report.
TEST_CASE("another zone is used when the own one is full") {
  RouterFixture fixture;
  SUBCASE("not while the own zone is half full, even if the other is empty") {
    fixture.router.Report(fixture.now, "a-f1", {kZoneConcurrency / 2, 0, 0.0});
    fixture.router.Report(fixture.now, "b-f1", {0, 0, 0.0});
    CHECK(fixture.Choose().scope == ChainScope::kOwnZone);
  }
  SUBCASE("when the own zone is full") {
    fixture.router.Report(fixture.now, "a-f1", {kZoneConcurrency * 2, 0, 0.0});
    fixture.router.Report(fixture.now, "b-f1", {0, 0, 0.0});
    const ChainChoice choice = fixture.Choose();
    CHECK(choice.scope == ChainScope::kOtherZone);
    CheckEveryLayerOnce(choice);
  }
  SUBCASE("and the load expires when no report renews it") {
    fixture.router.Report(fixture.now, "a-f1", {kZoneConcurrency * 2, 0, 0.0});
    fixture.now += std::chrono::seconds(3);
    CHECK(fixture.Choose().scope == ChainScope::kOwnZone);
  }
}

TEST_CASE("load of a stage in another zone does not count as load of the own zone") {
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
  fixture.ReportHealth("a-s2", 0.1, 8.0);
  CHECK(Runs(fixture.Choose(), "a-spare"));
  fixture.ReportHealth("a-spare", 0.1, 9.0);
  CHECK(Runs(fixture.Choose({"b-s2"}), "a-s2"));
}

// Guards against requests that fail at a lost engine once for every host.
TEST_CASE("an engine that a control process reports as lost is avoided immediately") {
  RouterFixture fixture;
  fixture.ReportLost("a-s2");
  CHECK_FALSE(Runs(fixture.Choose(), "a-s2"));
  SUBCASE("it is used when it responds again") {
    fixture.ReportHealth("a-s2", 0.0);
    CHECK(Runs(fixture.Choose(), "a-s2"));
  }
  SUBCASE("it is used if there is no chain without it") {
    CHECK(Runs(fixture.Choose({"b-s2"}), "a-s2"));
  }
  SUBCASE("it is used after a restart under the same name") {
    UpstreamUpdate restarted = TestEngine("a-s2", "a", "slow", 50, 60);
    restarted.announcement.incarnation = 2;
    fixture.Add(restarted);
    fixture.router.SetEngines("s", fixture.table);
    CHECK(Runs(fixture.Choose(), "a-s2"));
  }
  SUBCASE("the report expires when none renews it") {
    fixture.now += kHealthLifetime;
    CHECK(Runs(fixture.Choose(), "a-s2"));
  }
}

// Guards against prompts sent to an engine that refuses them while other copies have capacity. A
// host that has sent nothing to the engine recently cannot know its load without a report.
TEST_CASE("a copy with a stage that is reported as full is avoided") {
  RouterFixture fixture;
  const UpstreamTable known = fixture.table;
  for (const auto& [name, record] : known.Records()) fixture.ReportHealth(name, 0.3);
  CHECK(fixture.Choose().scope == ChainScope::kOwnZone);
  fixture.ReportHealth("a-s3", 0.97);
  CHECK(fixture.Choose().scope == ChainScope::kOtherZone);
  SUBCASE("until all copies are full, when a full copy is used") {
    fixture.ReportHealth("b-s3", 0.97);
    CHECK_FALSE(fixture.Choose().stages.empty());
  }
  SUBCASE("also if the requests of this host since the report fill it") {
    fixture.ReportHealth("a-s3", 0.6);
    const ChainChoice choice = fixture.Choose();
    fixture.router.Begin(choice.stages, 80'000.0);
    CHECK(fixture.Choose().scope == ChainScope::kOtherZone);
  }
}

// Guards against refusals while engines are idle: the repair of one zone left a whole copy with
// little memory for prompts, which got all requests, although broken copies of the other zones held
// all layers together.
TEST_CASE("what broken copies of several zones hold is used when all whole copies are full") {
  RouterFixture fixture;
  for (const char* zone : {"c", "d"}) {
    const std::string z = zone;
    fixture.Add(TestEngine(z + "-f1", z, "fast", 0, 40));
    fixture.Add(TestEngine(z + "-f2", z, "fast", 40, 80));
  }
  // Neither of the two zones holds all layers any more, both together do.
  fixture.router.SetEngines("s", fixture.table);
  for (const char* lost : {"c-f1", "d-f2", "b-s3"}) fixture.ReportLost(lost);
  const auto choose = [&] { return fixture.Choose(); };
  CHECK(choose().scope == ChainScope::kOwnZone);
  fixture.router.MarkFull(fixture.now, "a-s3");
  const ChainChoice left_over = choose();
  CHECK(left_over.scope == ChainScope::kAcrossZones);
  CHECK(Runs(left_over, "d-f1"));
  CHECK(Runs(left_over, "c-f2"));
  CheckEveryLayerOnce(left_over);

  SUBCASE("but not what a full copy holds") {
    // The engines of the copy of zone a hold all layers but those of the full one.
    CHECK_FALSE(Runs(left_over, "a-f1"));
  }
  SUBCASE("and not if it is full as well") {
    fixture.router.MarkFull(fixture.now, "c-f2");
    CHECK(choose().scope == ChainScope::kOwnZone);
  }
}

// Guards against chains that take memory of two copies in use, because one request avoids an engine
// of each of them.
TEST_CASE("the rest of a copy of which a request avoids an engine is not spare") {
  RouterFixture fixture;
  fixture.Add(TestEngine("c-f1", "c", "fast", 0, 40));
  fixture.Add(TestEngine("c-f2", "c", "fast", 40, 80));
  fixture.router.SetEngines("s", fixture.table);
  fixture.router.MarkFull(fixture.now, "c-f2");
  CHECK(Runs(fixture.Choose({"a-f1", "b-f2"}), "c-f2"));
}

// Guards against a decision about admission that is based on one zone, or on nothing at all.
TEST_CASE("the room of a service is that of all copies") {
  EngineProfile profile = TestProfile();
  profile.slots = 0;  // the KV cache is the only limit
  RouterFixture fixture(profile);
  const UpstreamTable known = fixture.table;
  const auto room = [&fixture] { return fixture.router.Room(fixture.now, fixture.table, 0.1); };
  SUBCASE("it is unknown without reports") { CHECK_FALSE(room().is_known); }
  SUBCASE("the slots of the first stages limit it if they hold less than the KV cache") {
    profile.slots = 100;
    RouterFixture with_slots(profile);
    const ServiceRoom limited = with_slots.router.Room(kNow, with_slots.table, 0.1);
    CHECK(limited.capacity_tokens < room().capacity_tokens);
    CHECK(limited.capacity_tokens == doctest::Approx(2 * 100 * limited.usual_tokens));
  }
  SUBCASE("it is the mean load of the copies, each at its fullest stage") {
    for (const auto& [name, record] : known.Records()) fixture.ReportHealth(name, 0.2);
    CHECK(room().is_known);
    CHECK(room().load == doctest::Approx(0.2));
    CHECK(room().host_share == doctest::Approx(0.1));
    fixture.ReportHealth("a-s3", 0.8);
    CHECK(room().load == doctest::Approx(0.5));
    SUBCASE("a lost copy leaves the capacity and the load of the others") {
      const double before = room().capacity_tokens;
      fixture.ReportLost("a-s2");
      CHECK(room().capacity_tokens == doctest::Approx(before / 2.0));
      CHECK(room().load == doctest::Approx(0.2));
    }
    SUBCASE("the first event comes later on loaded copies") {
      const double before = room().first_event_s;
      for (const auto& [name, record] : known.Records()) fixture.ReportHealth(name, 0.95);
      CHECK(room().first_event_s > before);
    }
  }
}

// Guards against a search that combines the best engines of several copies and leaves no complete
// chain among the others, so that half of a zone is idle.
TEST_CASE("all copies of a zone are used even if their layer boundaries differ") {
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

// In requests. A stage on either kind of accelerator has a KV cache capacity of 200,000 tokens, and
// a typical request holds 875 tokens.
constexpr std::uint32_t kCopyCapacity = 228;

// Simulates the load of many hosts in a zone with three copies of the model, each with capacity for
// kCopyCapacity requests. A host starts a request about once per second and learns the load of a
// first stage only from the responses to its own requests.
class LoadSimulation {
 public:
  LoadSimulation() {
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

  // Returns the highest number of concurrent requests at any copy.
  std::uint32_t Run(double requests_per_s, double request_seconds, milliseconds length) {
    const auto pause =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / requests_per_s));
    std::uint32_t max_running = 0;
    std::size_t host = 0;
    for (TimePoint now = kNow; now < kNow + length; now += pause) {
      EndFinished(now);
      EngineRouter& router = m_routers[host++ % kHosts];
      const ChainChoice choice = router.Choose(now, m_table, {});
      REQUIRE_FALSE(choice.stages.empty());
      const std::string& first = choice.stages.front().address;
      max_running = std::max(max_running, ++m_running[first]);
      router.Begin(choice.stages, kTokens);
      router.Report(now, first, {m_running[first], 0, 0.0});
      const auto duration =
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(request_seconds));
      m_ends.emplace(now + duration, Running{&router, choice.stages});
    }
    return max_running;
  }

 private:
  static constexpr std::size_t kHosts = 40;
  static constexpr double kTokens = 875.0;
  struct Running {
    EngineRouter* router;
    std::vector<ChainStage> chain;
  };

  void EndFinished(TimePoint now) {
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

// Guards against a copy that all hosts fill until it drops requests, while others are idle.
TEST_CASE("requests of many hosts are spread over the copies of a zone") {
  LoadSimulation simulation;
  SUBCASE("at half of the capacity of the zone no copy becomes full") {
    const double per_s = 0.5 * 3 * kCopyCapacity / 2.0;
    CHECK(simulation.Run(per_s, 2.0, std::chrono::seconds(60)) < 0.8 * kCopyCapacity);
  }
  SUBCASE("at four fifths of the capacity no copy exceeds its own") {
    const double per_s = 0.8 * 3 * kCopyCapacity / 2.0;
    CHECK(simulation.Run(per_s, 2.0, std::chrono::seconds(60)) <= kCopyCapacity);
  }
}

}  // namespace
}  // namespace corneltray
