#ifndef CORNELTRAY_PLACEMENT_CONTROLLER_H_
#define CORNELTRAY_PLACEMENT_CONTROLLER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "corneltray/configuration.h"
#include "corneltray/enum_names.h"
#include "corneltray/membership.h"
#include "corneltray/placement.h"
#include "corneltray/time.h"

namespace corneltray {

// A new holder of the lease waits until it has heard the engines of its zone.
constexpr std::chrono::milliseconds kPlacementSettle{2000};
// Changes that come one after another, as at a start, are planned together.
constexpr std::chrono::milliseconds kPlanDebounce{1000};
constexpr std::chrono::milliseconds kPlanDebounceMax{3000};
// An order is repeated until the engine announces what it says.
constexpr std::chrono::milliseconds kOrderRepeat{2000};

enum class PlanCause { kLeaseAcquired, kEnginesChanged, kConfigurationChanged };

template <>
struct EnumNames<PlanCause> {
  static constexpr EnumName<PlanCause> kTable[] = {
      {PlanCause::kLeaseAcquired, "lease_acquired"},
      {PlanCause::kEnginesChanged, "engines_changed"},
      {PlanCause::kConfigurationChanged, "configuration_changed"},
  };
};

// An order for one engine. Names the whole set of holdings, so that repeating it is harmless.
struct SendOrder {
  std::string engine;
  std::string address;
  std::uint64_t fence = 0;
  std::string order_id;  // the same for the same engine, fence and holdings
  std::vector<Holding> holdings;
};

// A new plan, for the log line of the decision.
struct PlanMade {
  PlanCause cause = PlanCause::kLeaseAcquired;
  std::uint64_t fence = 0;
  std::size_t engines = 0;
  std::size_t changed = 0;  // engines whose range differs from what they announce
  std::uint64_t bytes_to_load = 0;
  std::vector<ModelThroughput> throughput;
};

// An order that is held back, because no other ready engine holds some layer of a model that is
// being served.
struct OrderHeldBack {
  std::string engine;
};

using PlacementAction = std::variant<SendOrder, PlanMade, OrderHeldBack>;

// Compares the plan of one availability zone with what its engines announce, and returns the orders
// that bring them to agree. Pure. Not thread safe.
class PlacementController {
 public:
  explicit PlacementController(std::string availability_zone);

  // Takes the models that engines are divided between.
  void SetConfiguration(TimePoint now, const Configuration& configuration);

  // Returns what is due. `fence` is that of the lease held at this moment; empty: not the holder,
  // and the plan is dropped. Called several times a second.
  std::vector<PlacementAction> Tick(TimePoint now, std::optional<std::uint64_t> fence,
                                    const std::vector<UpstreamView>& upstreams);

  // Whether every engine announces what the plan says, for status.
  bool Agrees() const { return m_agrees; }
  const PlacementRanges& Plan() const { return m_plan; }

 private:
  struct Engine {
    std::string address;
    std::uint64_t incarnation = 0;
    bool suspect = false;
    std::uint64_t fence = 0;
    std::vector<Holding> holdings;
    PlacementEngine capacity;
  };
  struct Sent {
    std::string order_id;
    TimePoint repeat_at{};
    bool reported_held_back = false;
  };

  std::map<std::string, Engine> ReadEngines(const std::vector<UpstreamView>& upstreams) const;
  PlacementRanges AnnouncedRanges() const;
  void MakePlan(std::uint64_t fence, std::vector<PlacementAction>* actions);
  std::vector<Holding> Desired(const PlannedRange& range) const;
  bool IsAsDesired(const Engine& engine, const std::vector<Holding>& desired) const;
  bool IsNeeded(const std::string& name) const;
  void SendOrders(TimePoint now, std::uint64_t fence, std::vector<PlacementAction>* actions);

  std::string m_zone;
  std::vector<PlacementModel> m_models;
  std::map<std::string, std::vector<std::string>> m_adapters;  // by model
  std::map<std::string, Engine> m_engines;
  std::map<std::string, std::uint64_t> m_planned_for;  // engines in the plan, with incarnation
  PlacementRanges m_plan;
  bool m_has_plan = false;
  bool m_agrees = false;
  std::optional<std::uint64_t> m_fence;
  PlanCause m_cause = PlanCause::kLeaseAcquired;
  bool m_is_dirty = false;
  TimePoint m_plan_at{};  // once dirty
  TimePoint m_plan_latest{};
  std::map<std::string, std::uint64_t> m_seen;  // engines at the last tick
  std::map<std::string, Sent> m_sent;
};

}  // namespace corneltray

#endif  // CORNELTRAY_PLACEMENT_CONTROLLER_H_
