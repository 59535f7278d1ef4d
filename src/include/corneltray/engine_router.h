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

#include "corneltray/chain_search.h"
#include "corneltray/dialect.h"
#include "corneltray/enum_names.h"
#include "corneltray/fleet_messages.h"
#include "corneltray/route_table.h"
#include "corneltray/time.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// An engine that failed as a stage is avoided for this long at least, and until it announces itself
// again.
constexpr std::chrono::milliseconds kSuspectDuration{3000};
// An engine without room for another prompt is avoided this long.
constexpr std::chrono::milliseconds kFullDuration{250};
// What a control process told of an engine counts this long. Idle engines are asked every 2.5 s,
// and one message may be lost.
constexpr std::chrono::milliseconds kHealthLifetime{6000};

enum class ChainScope {
  kOwnZone,      // all stages are in the zone of this host
  kOtherZone,    // all stages are in one other zone
  kAcrossZones,  // stages of several zones
  kNone,         // no chain holds all layers
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
  std::vector<ChainStage> stages;  // empty: there is no chain
  ChainScope scope = ChainScope::kNone;
  double cost_s = 0.0;  // estimated time of a usual request
  double load = 0.0;    // of the fullest stage: tokens in its memory over its room
};

// Chooses the chain of engines of one service for each generation. Requests of a zone are spread
// over its whole copies of the model: each is drawn with a chance that grows with its free room and
// its speed, because all hosts that hear the same reports would otherwise choose the same copy.
// When the drawn copy is filling up, or the zone has none, one of the copies of all zones is drawn.
// When none of them has room, the chain with the least estimated time is taken, where a stage in
// another zone costs the transfer of the prompt's activations and a delay at each token, and a
// fuller stage counts as a slower one. Not thread safe.
class EngineRouter {
 public:
  // `seed` is of the draws; it differs between hosts.
  EngineRouter(std::string own_zone, EngineProfile profile, std::uint64_t seed);

  // Takes the engines of a service. Called when the table has changed.
  void SetEngines(const std::string& service, const UpstreamTable& upstreams);

  // `excluded` are addresses that failed this request already.
  ChainChoice Choose(TimePoint now, const UpstreamTable& upstreams,
                     const std::set<std::string>& excluded);

  // A request that keeps this many tokens in the memory of each stage begins and ends at a chain.
  void Begin(const std::vector<ChainStage>& chain, double tokens);
  void End(const std::vector<ChainStage>& chain, double tokens);
  // Load that the first stage of a chain told in an answer.
  void Report(TimePoint now, const std::string& address, const LoadReport& load);
  // A stage does not answer. `sequence` is that of its last announcement.
  void Suspect(TimePoint now, const std::string& address, std::uint64_t sequence);
  // A stage has no room for a prompt.
  void MarkFull(TimePoint now, const std::string& address);
  // What a control process learned from an engine: whether it answers, how full and how slow it is.
  // Returns whether the engine is lost and was not known to be.
  bool UpdateHealth(TimePoint now, const EngineHealth& health);
  // Whether a stage is known to be so full that it may refuse a prompt.
  bool IsNearlyFull(TimePoint now, const std::string& address) const;

  const EngineProfile& Profile() const { return m_profile; }

 private:
  struct Engine {
    std::string name;
    std::string address;
    std::string zone;
    std::uint32_t first = 0;  // layers that it holds
    std::uint32_t end = 0;
    double room_tokens = 1.0;  // that its memory holds beside its layers
    double layer_cost_s = 0.0;
  };
  // What is known about an address; kept while the table changes.
  struct State {
    TimePoint suspect_until{};
    std::uint64_t suspect_sequence = 0;  // of the last announcement before the suspicion
    bool is_suspect = false;
    TimePoint full_until{};
    double tokens = 0.0;  // of requests of this host
    // As a control process told last.
    EngineHealth health;
    TimePoint health_until{};
    double tokens_since = 0.0;  // that this host sent there since
  };
  // Requests of all hosts at a first stage, as it reported them last.
  struct FirstStageLoad {
    std::uint32_t running = 0;
    std::uint32_t begun_since = 0;  // by this host
    TimePoint expires_at{};
  };
  // A chain that shares no engine with the other copies of its zone.
  struct Copy {
    ChainChoice choice;
    std::vector<std::uint32_t> slots;  // of the pool
    // Of the stage with the least room.
    double room_tokens = std::numeric_limits<double>::infinity();
    bool is_full = false;  // it refused a prompt lately, or was told to be full
  };
  // Engines among which chains are searched.
  struct Pool {
    std::string zone;  // in which its chains begin and end
    std::vector<std::size_t> engines;
    std::vector<ChainSlot> slots;
    ChainSearch search;
  };

  enum class PoolScope { kOneZone, kAllZones };
  // Whether each engine of a chain runs all layers that it holds, or any part of them.
  enum class SearchKind { kWholeRanges, kAnyRanges };

  Pool MakePool(const std::string& zone, PoolScope scope) const;
  double HopCost(const Engine& engine, const std::string& home) const;
  // The choice among the engines that are marked.
  ChainChoice ChooseAmong(TimePoint now, const std::vector<bool>& usable);
  bool IsUsable(TimePoint now, const Engine& engine, const UpstreamTable& upstreams);
  // Whether it has fallen silent or does not answer the control processes.
  bool IsLost(TimePoint now, const Engine& engine, const UpstreamTable& upstreams) const;
  // Null without a message of late about this incarnation of the engine at the address.
  const EngineHealth* HealthOf(TimePoint now, const std::string& address) const;
  std::optional<double> ObservedLoad(TimePoint now, const Engine& engine) const;
  void UpdateZoneLoads(TimePoint now);
  std::optional<double> TokensAt(TimePoint now, const std::string& first_stage) const;
  double LoadOf(TimePoint now, const Engine& engine) const;
  void SetLoad(TimePoint now, Copy* copy) const;
  void SetCosts(TimePoint now, const std::vector<bool>& usable, Pool* pool);
  // The cheapest chain of a pool with the costs that are set.
  Copy Find(TimePoint now, Pool* pool, SearchKind kind);
  std::vector<Copy> FindCopies(TimePoint now, const std::vector<bool>& usable, Pool* pool);
  ChainChoice Draw(const std::vector<Copy>& copies);
  ChainChoice FindCheapest(TimePoint now, const std::vector<bool>& usable);

  std::string m_own_zone;
  EngineProfile m_profile;
  std::vector<Engine> m_engines;
  Pool m_all;                             // engines of all zones, with this one as the home
  std::vector<Pool> m_zones;              // whose chains keep to one zone; the own one first
  std::map<std::string, State> m_states;  // by address
  std::map<std::string, FirstStageLoad> m_first_loads;  // by address
  std::map<std::string, double> m_zone_loads;           // at the choice in progress
  std::mt19937_64 m_random;
};

}  // namespace corneltray

#endif  // CORNELTRAY_ENGINE_ROUTER_H_
