#ifndef CORNELTRAY_ENGINE_ROUTER_H_
#define CORNELTRAY_ENGINE_ROUTER_H_

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "corneltray/candidate_view.h"
#include "corneltray/chain_search.h"
#include "corneltray/dialect.h"
#include "corneltray/enum_names.h"
#include "corneltray/fleet_messages.h"
#include "corneltray/route_table.h"
#include "corneltray/server_pace.h"
#include "corneltray/service_room.h"
#include "corneltray/time.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// Minimum time for which an engine that failed as a stage is avoided; it is avoided until its next
// announcement in any case.
constexpr std::chrono::milliseconds kSuspectDuration{3000};
// How long an engine is avoided after it had no memory for another prompt.
constexpr std::chrono::milliseconds kFullDuration{250};
// Above this load the estimated time of a stage grows, and copies of other zones are considered.
constexpr double kHighLoad = 0.7;
// A copy whose known load is at least this high is used only if all others are full too.
constexpr double kFullLoad = 0.95;
// How long a health report from a control process is valid. Idle engines are probed every 2.5 s,
// and one report may be lost.
constexpr std::chrono::milliseconds kHealthLifetime{6000};

enum class ChainScope {
  kOwnZone,      // all stages are in the zone of this host
  kOtherZone,    // all stages are in one other zone
  kAcrossZones,  // stages are in several zones
  kNone,         // no chain covers all layers
};

template <>
struct EnumNames<ChainScope> {
  static constexpr EnumName<ChainScope> kTable[] = {
      {ChainScope::kOwnZone, "own_zone"},
      {ChainScope::kOtherZone, "other_zone"},
      {ChainScope::kAcrossZones, "across_zones"},
      {ChainScope::kNone, "none"},
  };
};

struct ChainChoice {
  std::vector<ChainStage> stages;  // empty if there is no chain
  ChainScope scope = ChainScope::kNone;
  double cost_s = 0.0;   // estimated time of a typical request
  double load = 0.0;     // of the fullest stage: cached tokens over capacity
  bool is_full = false;  // no copy has room, and this is one of them
  // Engines without room at their pace in a copy that would have been selected otherwise.
  std::vector<std::string> limited;
};

// The process that was behind an address when it was suspected.
struct SuspectedProcess {
  std::string name;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;  // of its last announcement
};

// Selects a chain of engines of one service for each generation. Requests of a zone are spread over
// its complete copies of the model. The copy is selected at random, weighted by free capacity and
// speed, because hosts that receive the same reports would otherwise all choose the same copy. If
// the selected copy is nearly full or the zone has none, a copy of another zone is selected in the
// same way, and the one with the lower cost is used. If the result is full, the chain with the
// lowest estimated time is considered as well: a stage in another zone adds the transfer of the
// prompt's activations and a delay per token, and the estimated time of a stage grows with its
// load. Not thread safe.
class EngineRouter {
 public:
  // `seed` initialises the random selection; it must differ between hosts. `pace` must outlive this
  // object; null: no engine is paced.
  EngineRouter(std::string own_zone, EngineProfile profile, std::uint64_t seed,
               ServerPace* pace = nullptr);

  // Updates the set of engines. Must be called after the table has changed.
  void SetEngines(const std::string& service, const UpstreamTable& upstreams);

  // `excluded` lists addresses that have already failed this request. `first_event_by` is when its
  // caller expects the first event; copies that are unlikely to write it by then are avoided.
  ChainChoice Choose(TimePoint now, const UpstreamTable& upstreams,
                     const std::set<std::string>& excluded,
                     std::optional<TimePoint> first_event_by = std::nullopt);

  // Returns how much work all usable copies can take. `host_share` is the part of the demand of all
  // hosts that arrives at this host.
  ServiceRoom Room(TimePoint now, const UpstreamTable& upstreams, double host_share);

  // Returns what Choose() would return now, without any effect: on a copy of this router, with the
  // same random numbers.
  ChainChoice Preview(TimePoint now, const UpstreamTable& upstreams,
                      const std::set<std::string>& excluded,
                      std::optional<TimePoint> first_event_by = std::nullopt) const;
  // Returns what Room() would return now, without any effect.
  ServiceRoom PreviewRoom(TimePoint now, const UpstreamTable& upstreams, double host_share) const;
  // Describes all engines as Choose() sees them, for operators. `blocked` are the addresses that
  // asked for no requests.
  std::vector<CandidateView> Describe(TimePoint now, const UpstreamTable& upstreams,
                                      const std::set<std::string>& blocked) const;

  // Count the start and the end of a request that holds `tokens` tokens in the KV cache of each
  // stage of a chain.
  void Begin(const std::vector<ChainStage>& chain, double tokens);
  void End(const std::vector<ChainStage>& chain, double tokens);
  // Stores the load that the first stage of a chain reported in a response.
  void Report(TimePoint now, const std::string& address, const LoadReport& load);
  // Marks a stage that does not respond as suspected, until its process announces itself again. A
  // process that takes its place is not suspected.
  void Suspect(TimePoint now, const std::string& address, const SuspectedProcess& process);
  // Records that a stage had no memory for a prompt.
  void MarkFull(TimePoint now, const std::string& address);
  // Records that the first event of an answer arrived: all stages of its chain have worked.
  void RecordFirstEvent(TimePoint now, const std::vector<ChainStage>& chain, Duration latency);
  // Stores a health report of a control process: whether an engine responds, its load and its
  // slowness. Returns whether the engine is newly reported as lost.
  bool UpdateHealth(TimePoint now, const EngineHealth& health);
  // Whether the reported load of a stage is so high that it may refuse a prompt.
  bool IsNearlyFull(TimePoint now, const std::string& address) const;

  const EngineProfile& Profile() const { return m_profile; }

 private:
  struct Engine {
    std::string name;
    std::string address;
    std::string zone;
    std::uint32_t first = 0;  // layers [first, end) that it holds
    std::uint32_t end = 0;
    double capacity_tokens = 1.0;      // KV cache capacity in the memory that its layers leave free
    double layer_cost_s = 0.0;         // of a usual request
    double layer_first_event_s = 0.0;  // of it, until the first event
  };
  // Observed state of the engine at an address; retained when the table changes.
  struct EngineState {
    TimePoint suspect_until{};
    SuspectedProcess suspect;
    bool is_suspect = false;
    TimePoint full_until{};
    double tokens = 0.0;  // of running requests from this host
    // Latest report of a control process.
    EngineHealth health;
    TimePoint health_until{};
    double tokens_since_report = 0.0;  // sent by this host
  };
  // Requests of all hosts at a first stage, from its latest report.
  struct FirstStageLoad {
    std::uint32_t running = 0;
    std::uint32_t started_since_report = 0;  // by this host
    TimePoint expires_at{};
  };
  // A copy of the model: a chain that shares no engine with the other copies of its zone.
  struct ModelCopy {
    ChainChoice choice;
    std::vector<std::uint32_t> slots;  // indices into the slots of the pool
    // Lowest capacity of its stages.
    double capacity_tokens = std::numeric_limits<double>::infinity();
    // The same, but at most what the slots of its first stage hold of usual requests.
    double room_tokens = 0.0;
    double memory_load = 0.0;    // used part of the KV cache at its fullest stage
    bool is_whole = true;        // each stage runs all layers that it holds, as they were placed
    bool is_full = false;        // a stage recently refused a prompt, or all report and one is full
    bool is_observed = false;    // the control processes report the load of all stages
    double first_event_s = 0.0;  // usual time to the first event without other requests
  };
  // A set of engines in which chains are searched.
  struct Pool {
    std::string zone;                  // zone in which its chains begin and end
    std::vector<std::size_t> engines;  // indices into m_engines
    std::vector<ChainSlot> slots;      // of the engine at the same index
    ChainSearch search;
  };

  enum class PoolScope { kOneZone, kAllZones };
  // Whether each engine of a chain runs all layers that it holds or any part of them.
  enum class SearchKind { kWholeRanges, kAnyRanges };

  double UsualTokens() const;
  Pool MakePool(const std::string& zone, PoolScope scope) const;
  double HopCost(const Engine& engine, const std::string& home_zone) const;
  // Marks the engines that may get requests, except those at the excluded addresses.
  std::vector<bool> UsableEngines(TimePoint now, const UpstreamTable& upstreams,
                                  const std::set<std::string>& excluded);
  // Marks those of the usable engines that are not lost.
  std::vector<bool> LiveEngines(TimePoint now, const UpstreamTable& upstreams,
                                const std::vector<bool>& usable) const;
  // Selects a chain among the engines that are marked in `usable`.
  ChainChoice ChooseAmong(TimePoint now, const std::vector<bool>& usable,
                          std::optional<TimePoint> first_event_by);
  bool IsUsable(TimePoint now, const Engine& engine, const UpstreamTable& upstreams);
  // Whether its announcements have not timed out.
  bool IsHeard(TimePoint now, const Engine& engine, const UpstreamTable& upstreams) const;
  // Whether so many engines of the own zone are silent that the path of their announcements is
  // broken rather than the engines.
  bool IsOwnZoneUnheard(TimePoint now, const UpstreamTable& upstreams) const;
  // Whether the control processes report that it does not respond.
  bool IsReportedLost(TimePoint now, const Engine& engine, const UpstreamTable& upstreams) const;
  // Returns the latest health report for the address, or null if there is none or it has expired.
  const EngineHealth* HealthOf(TimePoint now, const std::string& address) const;
  std::optional<double> ObservedLoad(TimePoint now, const Engine& engine) const;
  void UpdateZoneLoads(TimePoint now);
  std::optional<double> TokensAt(TimePoint now, const std::string& first_stage) const;
  double LoadOf(TimePoint now, const Engine& engine) const;
  void SetLoad(TimePoint now, ModelCopy* copy) const;
  void SetCosts(TimePoint now, const std::vector<bool>& usable, Pool* pool);
  // Returns the lowest-cost chain of a pool at its current costs.
  ModelCopy Find(TimePoint now, Pool* pool, SearchKind kind);
  std::vector<ModelCopy> FindCopies(TimePoint now, const std::vector<bool>& usable, Pool* pool);
  ChainChoice SelectRandomCopy(TimePoint now, const std::vector<ModelCopy>& copies,
                               std::optional<TimePoint> first_event_by);
  // Selects again if engines are paced. `weights` are those of the copies without the pace, and
  // `selected` is what they gave. Returns the copy to use, and the engines that limited it.
  std::size_t ApplyPace(const std::vector<ModelCopy>& copies, std::vector<double> weights,
                        std::size_t selected, std::vector<std::string>* limited);
  const Engine* FindAddress(const std::string& address) const;
  ModelCopy FindCheapest(TimePoint now, const std::vector<bool>& usable);
  // Returns a chain of engines that belong to no copy of a zone, if they hold all layers and have
  // room. An engine whose copy only this request avoids belongs to that copy.
  ChainChoice FindAmongSpares(TimePoint now, const UpstreamTable& upstreams,
                              const std::vector<bool>& live);

  std::string m_own_zone;
  EngineProfile m_profile;
  std::vector<Engine> m_engines;
  Pool m_all;                 // engines of all zones; chains begin and end in the own zone
  std::vector<Pool> m_zones;  // one pool per zone; the own zone is first
  std::map<std::string, EngineState> m_states;          // by address
  std::map<std::string, FirstStageLoad> m_first_loads;  // by address
  std::map<std::string, double> m_zone_loads;           // by zone; updated for each choice
  std::mt19937_64 m_random;
  ServerPace* m_pace;
  double m_first_event_s = 0.0;  // moving average over the chains without a paced engine
};

}  // namespace corneltray

#endif  // CORNELTRAY_ENGINE_ROUTER_H_
