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

enum class ChainScope {
  kOwnZone,     // all stages are in the zone of this host
  kOtherZone,   // all stages are in one other zone
  kAcrossZones, // stages of several zones
  kNone,        // no chain holds all layers
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
  double load = 0.0;  // requests at the first stage over its slots, as known here
};

// Chooses the chain of engines of one service for each generation. A chain stays in one zone while
// any zone has a whole one, because activations of every token cross between its stages. The own
// zone is taken unless its first stage is nearly full and another zone has more room. Not thread
// safe.
class EngineRouter {
 public:
  EngineRouter(std::string own_zone, EngineProfile profile);

  // Takes the engines of a service. Called when the table has changed.
  void SetEngines(const std::string& service, const UpstreamTable& upstreams);

  // `excluded` are addresses that failed this request already.
  ChainChoice Choose(TimePoint now, const UpstreamTable& upstreams,
                     const std::set<std::string>& excluded);

  // A request begins and ends at a chain.
  void Begin(const std::vector<ChainStage>& chain);
  void End(const std::vector<ChainStage>& chain);
  // Load that the first stage of a chain told in an answer.
  void Report(TimePoint now, const std::string& address, const LoadReport& load);
  // A stage failed: it does not answer, or refuses its part.
  void Suspect(TimePoint now, const std::string& address, std::uint64_t sequence);

  const EngineProfile& Profile() const { return m_profile; }

 private:
  struct Engine {
    std::string name;
    std::string address;
    std::string zone;
    double slots = 1.0;
    ChainSlot slot;
  };
  struct Suspicion {
    TimePoint until{};
    std::uint64_t sequence = 0;  // of the last announcement before it
  };
  struct Load {
    LoadReport report;
    TimePoint expires_at{};
    std::uint32_t begun_since = 0;  // requests of this host since the report
    std::uint32_t in_flight = 0;    // requests of this host
  };
  // Engines among which chains are searched: those of one zone, or all.
  struct Pool {
    std::string zone;
    std::vector<Engine> engines;
    std::vector<ChainSlot> slots;
    ChainSearch search;
  };

  Pool MakePool(const std::string& zone, const std::vector<Engine>& engines) const;
  ChainChoice ChooseFrom(TimePoint now, const UpstreamTable& upstreams,
                         const std::set<std::string>& excluded, Pool* pool);
  bool IsUsable(TimePoint now, const Engine& engine, const UpstreamTable& upstreams);
  double LoadOf(TimePoint now, const Engine& engine) const;

  std::string m_own_zone;
  EngineProfile m_profile;
  std::vector<Pool> m_zones;  // the own zone first
  Pool m_all;
  std::map<std::string, Suspicion> m_suspicions;  // by address
  std::map<std::string, Load> m_loads;            // by address of a first stage
};

}  // namespace corneltray

#endif  // CORNELTRAY_ENGINE_ROUTER_H_
