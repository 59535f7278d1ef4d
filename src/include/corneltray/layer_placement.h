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

// Layers from `first` up to `end`; empty if they are equal.
struct LayerRange {
  std::uint32_t first = 0;
  std::uint32_t end = 0;

  std::uint32_t Size() const { return end - first; }
  bool operator==(const LayerRange& o) const { return first == o.first && end == o.end; }
  bool operator!=(const LayerRange& o) const { return !(*this == o); }
};

// One engine of an availability zone, as placement sees it.
struct PlacedEngine {
  std::string name;
  AcceleratorKind kind;
  LayerRange range;       // held, or ordered and not yet held
  bool is_usable = true;  // ready and heard from lately
  // Known for kSpareDuration. A younger one that holds nothing is kept for the layers of an engine
  // that leaves, as in a release, where the replacement starts first.
  bool is_settled = true;
};

// An engine that arrives in a whole zone is kept free this long.
constexpr std::chrono::milliseconds kSpareDuration{5000};

// Layers that an engine can hold beside the prompts of `kv_tokens` tokens.
std::uint32_t LayersThatFit(const AcceleratorKind& kind, const EngineProfile& profile,
                            double kv_tokens);

// Plans a zone from nothing. Where its memory allows two or more whole copies of the model, each
// with enough room for prompts, the engines are divided into copies that are alike. Otherwise the
// fastest engines hold one copy, each with room for the prompts of as many tokens as the memory of
// the zone allows, up to a share of the capacity of the profile. The engines that are left hold a
// part of a further copy. Returns the range of each engine.
std::map<std::string, LayerRange> PlanZone(const std::vector<PlacedEngine>& engines,
                                           const EngineProfile& profile);

// Plans one whole copy over all usable engines of a zone that lost some for good. Engines keep
// their order, so that each keeps most of its layers and serves them meanwhile.
std::map<std::string, LayerRange> ReplanZone(const std::vector<PlacedEngine>& engines,
                                             const EngineProfile& profile);

// Returns ranges for engines of a zone that is in use, without moving layers that others need: an
// empty engine takes the layers of one that was lost (`vacancies`), which completes a copy again;
// layers that no usable engine holds go to an empty engine, else to one whose layers others hold
// too, else to neighbours while they keep room for prompts; empty engines that are left take the
// layers that are held least often. Engines that are not named keep their range.
std::map<std::string, LayerRange> RepairZone(const std::vector<PlacedEngine>& engines,
                                             const EngineProfile& profile,
                                             const std::vector<LayerRange>& vacancies = {});

// The layers of engines that a zone has lost and no other engine has taken over since. Answers the
// crash of an engine whose layers others hold as well: its copy stays incomplete until an engine
// takes just these layers. Not thread safe.
class VacancyTracker {
 public:
  // Takes note of which engines are usable now.
  void Update(const std::vector<PlacedEngine>& engines);
  // An engine takes these layers over.
  void Fill(LayerRange range);
  std::vector<LayerRange> Open() const;

 private:
  std::map<std::string, LayerRange> m_held;  // by usable engine
  std::map<std::string, LayerRange> m_open;  // by lost engine
};

// Whether every layer is held by a usable engine.
bool HasAllLayers(const std::vector<PlacedEngine>& engines, const EngineProfile& profile);

// Layers that stay without an engine this long are divided anew among the engines that are left.
// This takes seconds, since layers are given up only when the requests in progress are done.
constexpr std::chrono::milliseconds kReplanDelay{6000};

enum class PlacementReason {
  kFirstPlan,
  kRepair,
  kReplan,  // engines are lost for good, the others share their layers
  kRepeat,  // the engine does not announce what it was ordered
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

// Decides which layers the engines of all availability zones hold, at the leader of the replicated
// log. Compares what engines announce with what they were ordered. Answers the loss, the arrival
// and the replacement of engines, and orders that were lost or came late: each order has a higher
// fencing number than all before it, so an engine refuses an older one. Not thread safe.
class LayerController {
 public:
  // `term` is that of the leader; empty: not the leader, and everything is forgotten. Called
  // several times a second.
  std::vector<PlacementDecision> Tick(TimePoint now, std::optional<std::uint64_t> term,
                                      const RouteTable& routes, const UpstreamTable& upstreams);

  // An engine refused the order with this fencing number, or did not take it.
  void OrderFailed(const std::string& upstream, std::uint64_t fence);

 private:
  struct Ordered {
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
    TimePoint settled_at{};  // no plan before; moves on while engines arrive
    std::size_t engines = 0;
    std::optional<TimePoint> replan_at;  // layers are missing
    VacancyTracker vacancies;
  };

  PlacementReason ChooseReason(TimePoint now, const std::vector<PlacedEngine>& engines,
                               const EngineProfile& profile, Zone* zone) const;
  bool HasSettled(TimePoint now, const std::string& zone, std::size_t engines);
  std::vector<PlacedEngine> ReadZone(TimePoint now, const std::string& zone,
                                     const std::string& service, const EngineProfile& profile,
                                     const UpstreamTable& upstreams);
  bool IsSettled(TimePoint now, const Announcement& engine);
  void PlaceZone(TimePoint now, const std::string& zone, const RouteService& service,
                 const UpstreamTable& upstreams, std::vector<PlacementDecision>* decisions);
  void Order(TimePoint now, const UpstreamRecord& record, LayerRange range, PlacementReason reason,
             const RouteService& service, std::vector<PlacementDecision>* decisions);
  void RepeatOrders(TimePoint now, const RouteService& service, const UpstreamTable& upstreams,
                    std::vector<PlacementDecision>* decisions);

  std::optional<std::uint64_t> m_term;
  std::uint64_t m_orders = 0;  // in this term
  TimePoint m_last_tick{};
  TimePoint m_ready_at{};  // no order before
  std::map<std::string, Zone> m_zones;
  std::map<std::string, Ordered> m_ordered;   // by engine
  std::map<std::string, Arrival> m_arrivals;  // by engine
};

}  // namespace corneltray

#endif  // CORNELTRAY_LAYER_PLACEMENT_H_
