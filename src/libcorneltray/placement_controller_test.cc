#include "corneltray/placement_controller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>

namespace corneltray {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Configuration OneModel(const std::string& version = "1") {
  Configuration configuration;
  ModelConfig model;
  model.name = "assistant";
  model.version = version;
  model.layers = 12;
  model.bytes_per_layer = 1000;
  configuration.models["assistant"] = model;
  return configuration;
}

// Engines that load for 2 s after an order, and a controller that hears of them 1 s late.
struct Zone {
  explicit Zone(std::size_t count, std::uint64_t seed = 1) : random(seed) {
    for (std::size_t i = 0; i < count; ++i) {
      UpstreamView view;
      Announcement& a = view.announcement;
      a.name = "e" + std::to_string(i);
      a.availability_zone = "z";
      a.address = a.name;
      a.incarnation = 1;
      a.memory_bytes = (3 + random() % 4) * 1000;
      a.layers_per_s = 100.0 * static_cast<double>(1 + random() % 5);
      a.link_mbps = 1000;
      engines[a.name] = view;
    }
    controller.SetConfiguration(now, OneModel());
  }

  void Step() {
    now += milliseconds(250);
    if (++steps % 4 == 0) {
      heard.clear();
      for (const auto& [name, view] : engines) heard.push_back(view);
    }
    for (auto& [name, view] : engines) {
      if (ready_at.count(name) == 0 || now < ready_at[name]) continue;
      for (Holding& h : view.announcement.holdings) h.state = HoldingState::kReady;
    }
    for (const PlacementAction& action : controller.Tick(now, fence, heard)) {
      if (std::holds_alternative<PlanMade>(action)) ++plans;
      if (const auto* order = std::get_if<SendOrder>(&action)) Apply(*order);
    }
    if (Serves()) {
      served = true;
    } else if (served && !lost_engine) {
      interrupted = true;
    }
  }

  void Apply(const SendOrder& order) {
    CHECK(order.fence == fence);
    ++orders;
    const auto it = engines.find(order.engine);
    if (it == engines.end() || random() % 10 < loss_tenths) return;
    Announcement& a = it->second.announcement;
    if (order.order_id == last_order[order.engine]) return;
    last_order[order.engine] = order.order_id;
    a.holdings = order.holdings;
    for (Holding& h : a.holdings) h.state = HoldingState::kLoading;
    a.fence = order.fence;
    ready_at[order.engine] = now + seconds(2);
    ++loads;
  }

  bool Serves() const {
    for (std::uint32_t layer = 0; layer < 12; ++layer) {
      const bool held = std::any_of(engines.begin(), engines.end(), [&](const auto& item) {
        const auto& holdings = item.second.announcement.holdings;
        return std::any_of(holdings.begin(), holdings.end(), [&](const Holding& h) {
          return h.state == HoldingState::kReady && h.first_layer <= layer &&
                 layer <= h.last_layer && h.key.version == "1";
        });
      });
      if (!held) return false;
    }
    return true;
  }

  void Run(Duration duration) {
    for (const TimePoint end = now + duration; now < end;) Step();
  }

  std::mt19937_64 random;
  TimePoint now{std::chrono::hours(1000)};
  std::optional<std::uint64_t> fence = 7;
  PlacementController controller{"z"};
  std::map<std::string, UpstreamView> engines;
  std::map<std::string, TimePoint> ready_at;
  std::map<std::string, std::string> last_order;
  std::vector<UpstreamView> heard;
  std::uint64_t steps = 0;
  std::uint64_t loss_tenths = 0;
  int plans = 0;
  int orders = 0;
  int loads = 0;
  bool served = false;
  bool lost_engine = false;
  bool interrupted = false;
};

TEST_CASE("engines come to hold what the plan says") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    Zone zone(12, seed);
    // Guards against an order that is lost and never sent again.
    zone.loss_tenths = seed % 2 * 5;
    zone.Run(seconds(40));
    CHECK(zone.Serves());
    CHECK(zone.controller.Agrees());
    const int orders = zone.orders;

    // Guards against orders without end.
    zone.Run(seconds(20));
    CHECK(zone.orders == orders);
    CHECK(zone.plans == 1);

    // Guards against a successor that reloads a zone which already serves, and against orders
    // without the lease.
    zone.fence.reset();
    zone.Run(seconds(5));
    CHECK(zone.orders == orders);
    const int loads = zone.loads;
    zone.fence = 9;
    zone.Run(seconds(20));
    CHECK(zone.controller.Agrees());
    CHECK(zone.loads <= loads + 2);
    CHECK_FALSE(zone.interrupted);

    // Guards against a loss that stays unrepaired, also when a second one follows at once.
    zone.lost_engine = true;
    zone.engines.erase(zone.engines.begin());
    zone.Run(seconds(2));
    zone.engines.erase(std::prev(zone.engines.end()));
    zone.Run(seconds(30));
    CHECK(zone.Serves());
  }
}

// Guards against an old holder that orders an engine which a newer one has ordered.
TEST_CASE("an engine with a greater fencing number gets no order") {
  Zone zone(12);
  for (auto& [name, view] : zone.engines) view.announcement.fence = 8;
  zone.Run(seconds(10));
  CHECK(zone.orders == 0);
  zone.fence = 9;
  zone.Run(seconds(10));
  CHECK(zone.orders > 0);
}

// Guards against engines that stay on the weights of an old configuration.
TEST_CASE("a new version of the model is ordered from every engine") {
  Zone zone(12);
  zone.Run(seconds(20));
  zone.controller.SetConfiguration(zone.now, OneModel("2"));
  zone.Run(seconds(20));
  CHECK(zone.controller.Agrees());
  for (const auto& [name, view] : zone.engines) {
    REQUIRE_FALSE(view.announcement.holdings.empty());
    CHECK(view.announcement.holdings[0].key.version == "2");
  }
}

}  // namespace
}  // namespace corneltray
