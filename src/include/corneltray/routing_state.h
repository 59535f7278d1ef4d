#ifndef CORNELTRAY_ROUTING_STATE_H_
#define CORNELTRAY_ROUTING_STATE_H_

#include <mutex>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "corneltray/limiter.h"
#include "corneltray/load_table.h"
#include "corneltray/membership.h"
#include "corneltray/outlier.h"
#include "corneltray/prefix_index.h"
#include "corneltray/retry.h"
#include "corneltray/router.h"

namespace corneltray {

// The decision classes of one entry process behind one lock: router, load, prefixes, outliers,
// retry budget and limiter. Thread safe; every call is short.
class RoutingState {
 public:
  RoutingState(std::string host, std::string availability_zone);

  void SetConfiguration(const Configuration& configuration);
  void SetUpstreams(const std::vector<UpstreamView>& upstreams);
  void SetHosts(const std::vector<HostView>& hosts);
  void ForgetUpstream(const std::string& name);

  Admission Admit(const std::string& customer, Workload workload, TimePoint deadline,
                  Duration expected_wait);
  void FinishRequest(const std::string& customer);
  std::map<std::string, double> Demand() const;

  // Counts a first attempt for the retry budget.
  void RecordRequest();
  bool TryRetry();

  Result<Route> ChooseChain(const ModelKey& key, std::uint32_t layers, std::uint64_t prefix_hash,
                            const std::set<std::string>& excluded, std::uint32_t priority);
  Result<ReplicaRoute> ChooseReplica(const std::string& service,
                                     const std::set<std::string>& excluded);
  void RecordPrefix(std::uint64_t prefix_hash, const std::string& engine);

  void ReportLoad(const std::string& upstream, const LoadReport& load);
  void BeginWork(const std::string& upstream);
  void EndWork(const std::string& upstream);
  // Record how an upstream did. Ejections are logged.
  void ReportSuccess(const std::string& group, const std::string& upstream, Duration latency);
  void ReportFailure(const std::string& group, const std::string& upstream);
  std::vector<Ejection> Ejected() const;

 private:
  void UpdateCapacity();

  mutable std::mutex m_mutex;
  std::mt19937_64 m_random;
  LoadTable m_load;
  PrefixIndex m_prefixes;
  OutlierDetector m_outliers;
  RetryBudget m_retries;
  Limiter m_limiter;
  Router m_router;
  std::map<std::string, ModelConfig> m_models;
};

// Work that one upstream does for this process, counted while the object lives.
class WorkTicket {
 public:
  WorkTicket(RoutingState* routing, std::vector<std::string> upstreams);
  ~WorkTicket();
  WorkTicket(const WorkTicket&) = delete;
  WorkTicket& operator=(const WorkTicket&) = delete;

 private:
  RoutingState* m_routing;
  std::vector<std::string> m_upstreams;
};

}  // namespace corneltray

#endif  // CORNELTRAY_ROUTING_STATE_H_
