#ifndef CORNELTRAY_LAYER_CONTROLLER_H_
#define CORNELTRAY_LAYER_CONTROLLER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "corneltray/enum_names.h"
#include "corneltray/loss_tracker.h"
#include "corneltray/placed_engine.h"
#include "corneltray/route_table.h"
#include "corneltray/time.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// An engine that joins a zone in which all layers are held gets no layers for this long.
constexpr std::chrono::milliseconds kSpareDuration{5000};

// Layers without a holder for this long trigger a replan over the remaining engines. A replan takes
// seconds, since an engine releases layers only after its requests in progress have ended.
constexpr std::chrono::milliseconds kReplanDelay{6000};

enum class PlacementReason {
  kFirstPlan,
  kRepair,
  kReplan,  // engines are permanently lost and the others share their layers
  kRepeat,  // the engine has not announced the ordered layers
};

template <>
struct EnumNames<PlacementReason> {
  static constexpr EnumName<PlacementReason> kTable[] = {
      {PlacementReason::kFirstPlan, "first_plan"},
      {PlacementReason::kRepair, "repair"},
      {PlacementReason::kReplan, "replan"},
      {PlacementReason::kRepeat, "repeat"},
  };
};

struct PlacementDecision {
  std::string service;
  std::string upstream;
  std::string address;
  LayerRange range;
  std::uint64_t fence = 0;
  PlacementReason reason = PlacementReason::kRepair;
};

// A layout that was planned for a zone, for the log.
struct PlannedLayout {
  std::string service;
  std::string zone;
  PlacementReason reason = PlacementReason::kFirstPlan;
  std::size_t engines = 0;
  std::size_t copies = 0;
  double requests_per_s = 0.0;  // usual requests that the copies carry by estimate
  double kv_tokens = 0.0;
};

// Decides at the leader of the replicated log which layers the engines of all availability zones
// hold. Compares the announced layers with the ordered ones. Handles the loss, the arrival and the
// replacement of engines, and lost or delayed orders: each order has a higher fencing number than
// all earlier ones, so an engine can refuse an outdated order. Not thread safe.
class LayerController {
 public:
  // `term` is the term of the leader, or empty if this process is not the leader. Any change of the
  // term discards all state. Called several times a second.
  std::vector<PlacementDecision> Tick(TimePoint now, std::optional<std::uint64_t> term,
                                      const RouteTable& routes, const UpstreamTable& upstreams);

  // Returns the layouts planned since the last call. Repairs of single copies are not included.
  std::vector<PlannedLayout> TakePlannedLayouts();

  // An engine refused the order with this fencing number, or the order was not delivered.
  void OrderFailed(const std::string& upstream, std::uint64_t fence);

 private:
  struct OutstandingOrder {
    std::uint64_t incarnation = 0;
    LayerRange range;
    std::uint64_t fence = 0;
    TimePoint repeat_at{};
  };
  struct Arrival {
    std::uint64_t incarnation = 0;
    TimePoint settled_at{};
  };
  struct Zone {
    TimePoint settled_at{};  // earliest first plan; postponed while engines arrive
    std::size_t engines = 0;
    std::optional<TimePoint> replan_at;  // set while layers have no holder
    LossTracker losses;
    std::optional<TimePoint> partitioned_until;  // set while many engines are silent
    std::optional<TimePoint> recut_at;           // earliest time to plan broken copies again
    std::vector<std::string> planned_situation;  // for which broken copies were last planned
  };

  PlacementReason ChooseReason(TimePoint now, const std::vector<PlacedEngine>& engines,
                               const EngineProfile& profile, Zone* zone) const;
  bool HasSettled(TimePoint now, const std::string& zone, std::size_t engines);
  std::vector<PlacedEngine> CollectEngines(TimePoint now, const std::string& zone,
                                           const std::string& service, const EngineProfile& profile,
                                           const UpstreamTable& upstreams);
  bool IsSettled(TimePoint now, const Announcement& engine);
  void PlaceZone(TimePoint now, const std::string& zone, const RouteService& service,
                 const RouteTable& routes, const UpstreamTable& upstreams,
                 std::vector<PlacementDecision>* decisions);
  // Whether so many engines are silent that the zone is probably cut off, not lost.
  static bool IsPartitioned(TimePoint now, const std::vector<PlacedEngine>& engines, Zone* zone);
  // Plans broken copies again over the engines that remain, once no lost engine is expected back.
  LayerRanges Recut(TimePoint now, const std::vector<PlacedEngine>& engines,
                    const RouteService& service, const RouteTable& routes, Zone* zone) const;
  void Order(TimePoint now, const UpstreamTableEntry& record, LayerRange range,
             PlacementReason reason, const RouteService& service,
             std::vector<PlacementDecision>* decisions);
  void RepeatOrders(TimePoint now, const RouteService& service, const UpstreamTable& upstreams,
                    std::vector<PlacementDecision>* decisions);

  void RecordLayout(const std::string& zone, const RouteService& service, const RouteTable& routes,
                    PlacementReason reason, std::vector<PlacedEngine> engines,
                    const LayerRanges& ranges);

  std::optional<std::uint64_t> m_term;
  std::uint64_t m_order_count = 0;  // in this term
  TimePoint m_last_tick{};
  TimePoint m_ready_at{};  // no orders before this time
  std::map<std::string, Zone> m_zones;
  std::vector<PlannedLayout> m_planned_layouts;       // not yet taken
  std::map<std::string, OutstandingOrder> m_ordered;  // by engine
  std::map<std::string, Arrival> m_arrivals;          // by engine
};

}  // namespace corneltray

#endif  // CORNELTRAY_LAYER_CONTROLLER_H_
