#include "corneltray/router.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>

#include "corneltray/chain_search.h"

namespace corneltray {
namespace {

using std::chrono::seconds;

const ModelKey kModel{"assistant", "1", ""};

UpstreamView Engine(const std::string& name, const std::string& zone, std::uint32_t first,
                    std::uint32_t last) {
  UpstreamView view;
  view.announcement.name = name;
  view.announcement.availability_zone = zone;
  view.announcement.address = "10.0.0.1:9000";
  view.announcement.layers_per_s = 1000;
  view.announcement.link_mbps = 1000;
  view.announcement.holdings = {{kModel, first, last, HoldingState::kReady}};
  return view;
}

UpstreamView Replica(const std::string& name, const std::string& zone) {
  UpstreamView view;
  view.announcement.kind = UpstreamKind::kService;
  view.announcement.service = "ledger";
  view.announcement.name = name;
  view.announcement.availability_zone = zone;
  return view;
}

struct Fixture {
  explicit Fixture(RoutingPolicy policy = PrefixAffinity{}, std::uint64_t seed = 1)
      : random(seed), router({"dkr-a", policy, true}, &load, &prefixes, &outliers, &random) {}

  Result<Route> Choose(const std::set<std::string>& excluded = {}, std::uint64_t prefix = 0) {
    return router.ChooseChain(now, kModel, layers, prefix, excluded, 0);
  }
  // Names of the stages, or "none".
  std::string Stages(const std::set<std::string>& excluded = {}) {
    const auto route = Choose(excluded);
    if (!route) return "none";
    std::string names;
    for (const Stage& stage : route.value().chain.stages) names += stage.name;
    return names;
  }

  TimePoint now{std::chrono::hours(1000)};
  std::uint32_t layers = 12;
  std::mt19937_64 random;
  LoadTable load;
  PrefixIndex prefixes;
  OutlierDetector outliers{0.5};
  Router router;
};

std::vector<UpstreamView> RandomFleet(std::mt19937_64* random, std::uint32_t layers) {
  std::vector<UpstreamView> fleet;
  const std::size_t count = 1 + (*random)() % 25;
  for (std::size_t i = 0; i < count; ++i) {
    const auto a = static_cast<std::uint32_t>((*random)() % layers);
    const auto b = static_cast<std::uint32_t>((*random)() % layers);
    UpstreamView view = Engine("e" + std::to_string(i), (*random)() % 3 != 0 ? "dkr-a" : "dkr-b",
                               std::min(a, b), std::max(a, b));
    view.announcement.layers_per_s = 100.0 * static_cast<double>(1 + (*random)() % 20);
    view.announcement.link_mbps = (*random)() % 2 == 0 ? 10 : 1000;
    if ((*random)() % 8 == 0) view.status = UpstreamStatus::kSuspect;
    if ((*random)() % 8 == 0) view.status = UpstreamStatus::kLeaving;
    if ((*random)() % 8 == 0) view.announcement.holdings[0].state = HoldingState::kLoading;
    if ((*random)() % 8 == 0) view.announcement.holdings[0].key.version = "2";
    fleet.push_back(view);
  }
  return fleet;
}

bool MayRun(const UpstreamView& view, const std::set<std::string>& excluded) {
  const Holding& holding = view.announcement.holdings[0];
  return view.status != UpstreamStatus::kLeaving && holding.state == HoldingState::kReady &&
         holding.key == kModel && excluded.count(view.announcement.name) == 0;
}

bool CoverageExists(const std::vector<UpstreamView>& fleet, const std::set<std::string>& excluded,
                    std::uint32_t layers) {
  for (std::uint32_t layer = 0; layer < layers; ++layer) {
    const bool held = std::any_of(fleet.begin(), fleet.end(), [&](const UpstreamView& view) {
      const Holding& h = view.announcement.holdings[0];
      return MayRun(view, excluded) && h.first_layer <= layer && layer <= h.last_layer;
    });
    if (!held) return false;
  }
  return true;
}

// Guards against a layer skipped, run twice, out of order, or run by an engine that does not
// hold it in the same version; and against a refusal while a chain exists.
TEST_CASE("every chain covers each layer once with engines that hold it") {
  const RoutingPolicy policies[] = {RoundRobin{}, LeastOutstanding{}, TwoChoices{},
                                    PrefixAffinity{}};
  for (std::uint64_t seed = 1; seed <= 400; ++seed) {
    Fixture fixture(policies[seed % 4], seed);
    fixture.layers = 1 + static_cast<std::uint32_t>(fixture.random() % 40);
    const auto fleet = RandomFleet(&fixture.random, fixture.layers);
    fixture.router.SetUpstreams(fleet);
    std::map<std::string, const UpstreamView*> by_name;
    for (const auto& view : fleet) by_name[view.announcement.name] = &view;
    CAPTURE(seed);
    for (int request = 0; request < 10; ++request) {
      const std::string some = "e" + std::to_string(fixture.random() % fleet.size());
      const std::set<std::string> excluded =
          request % 2 == 0 ? std::set<std::string>{} : std::set<std::string>{some};
      fixture.load.Report(fixture.now, some, {static_cast<std::uint32_t>(request), 2, 0.1});
      fixture.prefixes.Insert(fixture.now, 77, some);
      const auto route = fixture.Choose(excluded, 77);
      REQUIRE(route.Ok() == CoverageExists(fleet, excluded, fixture.layers));
      if (!route) {
        CHECK(route.error().code == make_error_code(RouterErrc::kNoPipeline));
        continue;
      }
      CHECK(ValidateChain(route.value().chain, fixture.layers).Ok());
      for (const Stage& stage : route.value().chain.stages) {
        const UpstreamView& view = *by_name.at(stage.name);
        CHECK(MayRun(view, excluded));
        CHECK(view.announcement.holdings[0].first_layer <= stage.first_layer);
        CHECK(view.announcement.holdings[0].last_layer >= stage.last_layer);
        fixture.load.Begin(fixture.now, stage.name);
      }
    }
  }
}

// Guards against a check that lets a wrong chain through.
TEST_CASE("a wrong chain is not valid") {
  const auto stage = [](const char* name, std::uint32_t first, std::uint32_t last) {
    return Stage{name, "", 0, first, last};
  };
  struct Case {
    const char* what;
    std::vector<Stage> stages;
    bool valid;
  };
  const Case cases[] = {
      {"whole", {stage("a", 0, 3), stage("b", 4, 11)}, true},
      {"empty", {}, false},
      {"gap", {stage("a", 0, 3), stage("b", 5, 11)}, false},
      {"overlap", {stage("a", 0, 4), stage("b", 4, 11)}, false},
      {"order", {stage("b", 4, 11), stage("a", 0, 3)}, false},
      {"short", {stage("a", 0, 10)}, false},
      {"long", {stage("a", 0, 12)}, false},
      {"reversed", {stage("a", 0, 11), stage("b", 12, 11)}, false},
      {"twice", {stage("a", 0, 3), stage("a", 4, 11)}, false},
  };
  for (const Case& c : cases) {
    CAPTURE(c.what);
    CHECK(ValidateChain({kModel, c.stages}, 12).Ok() == c.valid);
  }
}

// Guards against work for suspects and distant engines while better ones are there, and against
// refusing when they are all that is left.
TEST_CASE("worse engines are used only when nothing else covers the layers") {
  Fixture fixture;
  UpstreamView suspect = Engine("s", "dkr-a", 0, 11);
  suspect.status = UpstreamStatus::kSuspect;
  suspect.announcement.layers_per_s = 1e6;
  UpstreamView other = Engine("o", "dkr-b", 0, 11);
  other.announcement.layers_per_s = 1e6;
  const UpstreamView own = Engine("a", "dkr-a", 0, 11);
  fixture.router.SetUpstreams({suspect, other, own});
  CHECK(fixture.Stages() == "a");
  SUBCASE("another zone before a suspect") {
    CHECK(fixture.Stages({"a"}) == "o");
    CHECK(fixture.Choose({"a"}).value().explanation.reason == RouteReason::kOtherZone);
  }
  SUBCASE("a suspect last") { CHECK(fixture.Stages({"a", "o"}) == "s"); }
  SUBCASE("nothing when all are excluded") { CHECK(fixture.Stages({"a", "o", "s"}) == "none"); }
  SUBCASE("an ejected engine is passed over") {
    fixture.outliers.SetGroupSize("g", 10);
    for (int i = 0; i < 5; ++i) fixture.outliers.Failure(fixture.now, "g", "a");
    CHECK(fixture.Stages() == "o");
    SUBCASE("but used when it alone is left") {
      fixture.router.SetUpstreams({own});
      CHECK(fixture.Stages() == "a");
    }
  }
}

// Guards against a search that misses a cheaper chain.
TEST_CASE("the chain search finds the cheapest chain") {
  std::mt19937_64 random(5);
  for (int round = 0; round < 300; ++round) {
    const std::uint32_t layers = 2 + random() % 7;
    std::vector<ChainSlot> slots;
    for (std::size_t i = 0, n = 1 + random() % 6; i < n; ++i) {
      const auto a = static_cast<std::uint32_t>(random() % layers);
      const auto b = static_cast<std::uint32_t>(random() % layers);
      slots.push_back({std::min(a, b), std::max(a, b) + 1, 1.0 + random() % 9, 0.5 * (random() % 5),
                       random() % 10 != 0});
    }
    // Cheapest cost over every assignment of layers to slots.
    std::vector<std::vector<double>> best(layers + 1, std::vector<double>(slots.size(), 1e18));
    for (std::uint32_t layer = 0; layer < layers; ++layer) {
      for (std::size_t i = 0; i < slots.size(); ++i) {
        const ChainSlot& s = slots[i];
        if (!s.usable || layer < s.first || layer >= s.end) continue;
        double before = layer == 0 ? s.hop_cost_s : best[layer][i];
        for (std::size_t j = 0; layer > 0 && j < slots.size(); ++j) {
          before = std::min(before, best[layer][j] + s.hop_cost_s);
        }
        best[layer + 1][i] = before + s.layer_cost_s;
      }
    }
    const double cheapest = *std::min_element(best[layers].begin(), best[layers].end());
    ChainSearch search;
    search.SetRanges(slots, layers);
    const auto& chain = search.Find(slots, -1);
    CAPTURE(round);
    REQUIRE(chain.empty() == (cheapest >= 1e18));
    if (!chain.empty()) CHECK(search.Cost() == doctest::Approx(cheapest));
  }
}

TEST_CASE("load steers the choice") {
  Fixture fixture;
  fixture.router.SetUpstreams({Engine("a", "dkr-a", 0, 11), Engine("b", "dkr-a", 0, 11)});
  const auto share_of_a = [&] {
    int count = 0;
    for (int i = 0; i < 200; ++i) count += fixture.Stages() == "a" ? 1 : 0;
    return count;
  };

  // Guards against a herd: every request to the same engine between two reports.
  SUBCASE("equal engines both get work") {
    CHECK(share_of_a() > 60);
    CHECK(share_of_a() < 140);
  }
  SUBCASE("a loaded one gets none") {
    fixture.load.Report(fixture.now, "a", {10, 5, 0.5});
    CHECK(share_of_a() == 0);
    // Guards against an old report that keeps work away for ever.
    SUBCASE("until its report expires") {
      fixture.now += kLoadReportExpiry;
      CHECK(share_of_a() > 60);
    }
  }
  SUBCASE("own work in flight counts before the next report") {
    for (int i = 0; i < 3; ++i) fixture.load.Begin(fixture.now, "a");
    CHECK(share_of_a() == 0);
    for (int i = 0; i < 3; ++i) fixture.load.End(fixture.now, "a");
    CHECK(share_of_a() > 60);
  }
  SUBCASE("the holder of a prefix is preferred") {
    fixture.prefixes.Insert(fixture.now, 42, "a");
    CHECK(fixture.Choose({}, 42).value().explanation.reason == RouteReason::kPrefixAffinity);
    // Guards against one engine that gets all requests with a common prefix.
    SUBCASE("but not when it is much more loaded than the others") {
      fixture.load.Report(fixture.now, "a", {6, 6, 0.5});
      CHECK(fixture.Choose({}, 42).value().explanation.reason == RouteReason::kCheapest);
    }
  }
}

// Guards against lookups that fail while a replica is left in any zone.
TEST_CASE("service replicas of the own zone come first, then others") {
  for (const RoutingPolicy policy :
       {RoutingPolicy(RoundRobin{}), RoutingPolicy(LeastOutstanding{}), RoutingPolicy(TwoChoices{}),
        RoutingPolicy(PrefixAffinity{})}) {
    Fixture fixture(policy);
    fixture.router.SetUpstreams(
        {Replica("a1", "dkr-a"), Replica("a2", "dkr-a"), Replica("b1", "dkr-b")});
    const auto choose = [&](const std::set<std::string>& excluded) {
      const auto route = fixture.router.ChooseReplica(fixture.now, "ledger", excluded);
      return route ? route.value().replica.name : "none";
    };
    std::set<std::string> seen;
    for (int i = 0; i < 40; ++i) {
      const std::string name = choose({});
      seen.insert(name);
      fixture.load.Begin(fixture.now, name);
    }
    CHECK(seen == std::set<std::string>{"a1", "a2"});
    CHECK(choose({"a1", "a2"}) == "b1");
    CHECK(choose({"a1", "a2", "b1"}) == "none");
  }
}

}  // namespace
}  // namespace corneltray
