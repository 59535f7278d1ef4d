#ifndef CORNELTRAY_ROUTER_H_
#define CORNELTRAY_ROUTER_H_

#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "corneltray/load_table.h"
#include "corneltray/membership.h"
#include "corneltray/outlier.h"
#include "corneltray/prefix_index.h"
#include "corneltray/result.h"
#include "corneltray/time.h"
#include "corneltray/upstream.h"

namespace corneltray {

enum class RouterErrc { kNoPipeline = 1, kNoReplica, kInvalidChain };

std::error_code make_error_code(RouterErrc errc);

// One stage of a chain: an engine and the layers that it runs for this request, ends included.
struct Stage {
  std::string name;
  std::string address;
  std::uint64_t incarnation = 0;
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;
};

// The stages of one request in order. All run the same weights.
struct Chain {
  ModelKey key;
  std::vector<Stage> stages;
};

// One engine or replica that was considered.
struct RouteCandidate {
  std::string name;
  double queue = 0.0;   // requests ahead
  double cost_s = 0.0;  // estimated seconds for the part that was considered
  bool chosen = false;
};

enum class RouteReason { kCheapest, kPrefixAffinity, kNextInTurn, kOnlySuspectsLeft, kOtherZone };

template <>
struct EnumNames<RouteReason> {
  static constexpr EnumName<RouteReason> kTable[] = {
      {RouteReason::kCheapest, "cheapest"},
      {RouteReason::kPrefixAffinity, "prefix_affinity"},
      {RouteReason::kNextInTurn, "next_in_turn"},
      {RouteReason::kOnlySuspectsLeft, "only_suspects_left"},
      {RouteReason::kOtherZone, "other_zone"},
  };
};

// Why a route was chosen, for the log line of the decision.
struct RouteExplanation {
  RouteReason reason = RouteReason::kCheapest;
  std::vector<RouteCandidate> candidates;
  std::size_t excluded = 0;  // by the caller, leaving or ejected
};

struct Route {
  Chain chain;
  double expected_wait_s = 0.0;  // time in queues, for admission
  RouteExplanation explanation;
};

struct ServiceReplica {
  std::string name;
  std::string address;
  std::uint64_t incarnation = 0;
};

struct ReplicaRoute {
  ServiceReplica replica;
  RouteExplanation explanation;
};

// Routing policies. The first two are baselines for the bench.
struct RoundRobin {};
struct LeastOutstanding {};  // this process's own requests in flight
struct TwoChoices {};        // reported plus own load
struct PrefixAffinity {      // TwoChoices, preferring the holder of the prefix
  double load_factor = 1.25;
};
using RoutingPolicy = std::variant<RoundRobin, LeastOutstanding, TwoChoices, PrefixAffinity>;

struct RouterOptions {
  std::string availability_zone;
  RoutingPolicy policy = PrefixAffinity{};
  bool explain = true;  // false leaves RouteExplanation::candidates empty
};

// Checks that the stages cover each layer from 0 to layers - 1 once and in order.
Status ValidateChain(const Chain& chain, std::uint32_t layers);

// Chooses the chain of stages or the service replica of each request from an index over the
// upstreams. Reads load, prefixes and ejections, and changes none of them. Not thread safe.
class Router {
 public:
  // The tables and the random engine must outlive the router. `outliers` may be null.
  Router(RouterOptions options, LoadTable* load, const PrefixIndex* prefixes,
         const OutlierDetector* outliers, std::mt19937_64* random);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  void SetPolicy(RoutingPolicy policy);

  // Replaces the index. Called when MembershipTable::UpstreamVersion has grown.
  void SetUpstreams(const std::vector<UpstreamView>& upstreams);

  // Returns the chain for one request, or kNoPipeline. Engines that are loading, leaving, ejected
  // or in `excluded` are not used; suspects, and engines of other zones, only if no chain is left
  // without them. `prefix_hash` 0 means unknown.
  Result<Route> ChooseChain(TimePoint now, const ModelKey& key, std::uint32_t layers,
                            std::uint64_t prefix_hash, const std::set<std::string>& excluded,
                            std::uint32_t priority);

  // Returns a replica of a plain service, or kNoReplica. The same preferences hold.
  Result<ReplicaRoute> ChooseReplica(TimePoint now, const std::string& service,
                                     const std::set<std::string>& excluded);

  // Whole copies of the model that the ready engines of this zone hold together: their layers over
  // the layers of the model. The concurrency limit follows from it.
  double ReadyPipelines(const ModelKey& key, std::uint32_t layers) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::RouterErrc> : std::true_type {};

#endif  // CORNELTRAY_ROUTER_H_
