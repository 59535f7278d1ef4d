#ifndef CORNELTRAY_ENGINE_ROUTER_H_
#define CORNELTRAY_ENGINE_ROUTER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "corneltray/chain_search.h"
#include "corneltray/dialect.h"
#include "corneltray/enum_names.h"
#include "corneltray/route_table.h"
#include "corneltray/time.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// An engine that failed as a stage is avoided for this long at least, and until it announces itself
// again.
constexpr std::chrono::milliseconds kSuspectFor{3000};
// An engine without room for another prompt is avoided this long.
constexpr std::chrono::milliseconds kFullFor{250};

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
  double cost_s = 0.0;   // estimated time of a usual request
  double token_s = 0.0;  // estimated time of one token without load
  double load = 0.0;     // of the fullest stage: tokens in its memory over its room
};

// Chooses the chain of engines of one service for each generation: the one with the least estimated
// time, where a stage in another zone costs the transfer of the prompt's activations and a delay at
// each token, and a fuller stage counts as a slower one. So the own zone is used while it is whole
// and has room; layers that it lacks are run in another zone. Not thread safe.
class EngineRouter {
 public:
  EngineRouter(std::string own_zone, EngineProfile profile);

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
  // A stage works this many times slower than its kind.
  void SetSlowness(TimePoint now, const std::string& address, double slowness);

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
    double layer_token_s = 0.0;  // of one token at one layer
  };
  // What is known about an address; kept while the table changes.
  struct State {
    TimePoint suspect_until{};
    std::uint64_t suspect_sequence = 0;  // of the last announcement before the suspicion
    bool is_suspect = false;
    TimePoint full_until{};
    double slowness = 1.0;
    TimePoint slow_until{};
    double tokens = 0.0;  // of requests of this host
    std::string zone;     // of the engine, when it was last seen
  };
  // Requests of all hosts in the chains of a zone, as a first stage reported them last.
  struct ZoneLoad {
    std::uint32_t running = 0;
    std::uint32_t begun_since = 0;  // by this host
    TimePoint expires_at{};
  };
  // Engines among which chains are searched.
  struct Pool {
    std::string zone;  // empty: engines of all zones
    std::vector<std::size_t> engines;
    std::vector<ChainSlot> slots;
    ChainSearch search;
  };

  void AddPool(const std::string& zone);
  double HopCost(const Engine& engine, const Pool& pool) const;
  bool IsUsable(TimePoint now, const Engine& engine, const UpstreamTable& upstreams);
  double LoadOf(TimePoint now, const Engine& engine) const;
  ChainChoice Search(TimePoint now, const std::vector<bool>& usable, Pool* pool);

  std::string m_own_zone;
  EngineProfile m_profile;
  std::vector<Engine> m_engines;
  std::vector<Pool> m_pools;
  std::map<std::string, State> m_states;         // by address
  std::map<std::string, ZoneLoad> m_zone_loads;  // by zone
};

}  // namespace corneltray

#endif  // CORNELTRAY_ENGINE_ROUTER_H_
