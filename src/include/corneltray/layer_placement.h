#ifndef CORNELTRAY_LAYER_PLACEMENT_H_
#define CORNELTRAY_LAYER_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "corneltray/enum_names.h"
#include "corneltray/route_table.h"
#include "corneltray/time.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// Half-open range of layers from `first` up to but not including `end`.
struct LayerRange {
  std::uint32_t first = 0;
  std::uint32_t end = 0;

  std::uint32_t Size() const { return end - first; }
  bool operator==(const LayerRange& o) const { return first == o.first && end == o.end; }
  bool operator!=(const LayerRange& o) const { return !(*this == o); }
};

// One engine of an availability zone, with the state that placement depends on.
struct PlacedEngine {
  std::string name;
  AcceleratorKind kind;
  LayerRange range;       // held, or ordered and not yet announced
  bool is_usable = true;  // ready, with a recent announcement
  // First announced at least kSpareDuration ago. A newer engine without layers is reserved for the
  // layers of an engine that leaves, as in a release, where the replacement starts first.
  bool is_settled = true;
};

// An engine that joins a zone in which all layers are held gets no layers for this long.
constexpr std::chrono::milliseconds kSpareDuration{5000};

// Returns how many layers fit into an engine beside a KV cache for `kv_tokens` tokens.
std::uint32_t LayersThatFit(const AcceleratorKind& kind, const EngineProfile& profile,
                            double kv_tokens);

// Plans a zone without existing placement. If its memory allows two or more complete copies of the
// model with a sufficient KV cache each, the engines are divided into balanced copies. Otherwise
// the fastest engines hold one copy, with a KV cache as large as the memory of the zone allows, up
// to a fraction of the capacity in the profile. The remaining engines hold part of a further copy.
// Returns the range of each engine.
std::map<std::string, LayerRange> PlanZone(const std::vector<PlacedEngine>& engines,
                                           const EngineProfile& profile);

// Plans one complete copy over all usable engines of a zone that permanently lost engines. The
// engines keep their order, so that each keeps most of its layers and serves them during the
// change.
std::map<std::string, LayerRange> ReplanZone(const std::vector<PlacedEngine>& engines,
                                             const EngineProfile& profile);

// Returns new ranges for engines of a zone that is in use, without moving layers that no other
// engine holds. An empty engine takes the layers of a lost one (`vacancies`), which completes a
// copy again. Layers that no usable engine holds go to an empty engine, else to one whose layers
// are held elsewhere too, else to the engines with adjacent ranges while they keep a minimum KV
// cache. The remaining empty engines take the layers with the fewest holders. Engines that are not
// in the result keep their range.
std::map<std::string, LayerRange> RepairZone(const std::vector<PlacedEngine>& engines,
                                             const EngineProfile& profile,
                                             const std::vector<LayerRange>& vacancies = {});

// Tracks the layers of lost engines that no other engine has taken over since. Needed when an
// engine crashes whose layers others hold as well: its copy stays incomplete until one engine takes
// exactly these layers. Not thread safe.
class VacancyTracker {
 public:
  // Records which engines are usable now.
  void Update(const std::vector<PlacedEngine>& engines);
  // Removes a vacancy that an engine takes over.
  void Fill(LayerRange range);
  std::vector<LayerRange> Open() const;

 private:
  std::map<std::string, LayerRange> m_held;  // by usable engine
  std::map<std::string, LayerRange> m_open;  // by lost engine
};

// Returns whether every layer is held by a usable engine.
bool HasAllLayers(const std::vector<PlacedEngine>& engines, const EngineProfile& profile);

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
    VacancyTracker vacancies;
  };

  PlacementReason ChooseReason(TimePoint now, const std::vector<PlacedEngine>& engines,
                               const EngineProfile& profile, Zone* zone) const;
  bool HasSettled(TimePoint now, const std::string& zone, std::size_t engines);
  std::vector<PlacedEngine> CollectEngines(TimePoint now, const std::string& zone,
                                           const std::string& service, const EngineProfile& profile,
                                           const UpstreamTable& upstreams);
  bool IsSettled(TimePoint now, const Announcement& engine);
  void PlaceZone(TimePoint now, const std::string& zone, const RouteService& service,
                 const UpstreamTable& upstreams, std::vector<PlacementDecision>* decisions);
  void Order(TimePoint now, const UpstreamTableEntry& record, LayerRange range,
             PlacementReason reason, const RouteService& service,
             std::vector<PlacementDecision>* decisions);
  void RepeatOrders(TimePoint now, const RouteService& service, const UpstreamTable& upstreams,
                    std::vector<PlacementDecision>* decisions);

  std::optional<std::uint64_t> m_term;
  std::uint64_t m_order_count = 0;  // in this term
  TimePoint m_last_tick{};
  TimePoint m_ready_at{};  // no orders before this time
  std::map<std::string, Zone> m_zones;
  std::map<std::string, OutstandingOrder> m_ordered;  // by engine
  std::map<std::string, Arrival> m_arrivals;          // by engine
};

}  // namespace corneltray

#endif  // CORNELTRAY_LAYER_PLACEMENT_H_
