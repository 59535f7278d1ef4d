#ifndef CORNELTRAY_SERVICE_PICKER_H_
#define CORNELTRAY_SERVICE_PICKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corneltray/candidate_view.h"
#include "corneltray/outlier.h"
#include "corneltray/server_pace.h"
#include "corneltray/time.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

struct ServiceChoice {
  std::string upstream;  // upstream name
  std::string address;
  bool is_own_zone = true;
  double load = 0.0;  // score of the replica: load plus penalties, lower is better
  // Replica that would have been chosen but for its pace; empty if there is none.
  std::string limited;
};

// How long a replica is avoided after a failed connection attempt.
constexpr std::chrono::milliseconds kUnreachableDuration{1500};

// Chooses the replica of a service without engines for one call: the least loaded one, where a
// replica in another zone is treated as more loaded by a fixed share of its slots. A replica that
// fails repeatedly is ejected for a limited time. One that is paced gets a part of the calls. Not
// thread safe.
class ServicePicker {
 public:
  // `pace` must outlive this object; null: no replica is paced.
  ServicePicker(std::string own_zone, std::string service, ServerPace* pace = nullptr);

  // Updates the set of replicas. Must be called after the table has changed.
  void SetReplicas(const UpstreamTable& upstreams);

  // `excluded` lists addresses already tried for this call. Returns nullopt if no replica is left.
  std::optional<ServiceChoice> Choose(TimePoint now, const UpstreamTable& upstreams,
                                      const std::set<std::string>& excluded);

  // As Choose(), without any effect: neither the pace nor the replicas learn of it.
  std::optional<ServiceChoice> Preview(TimePoint now, const UpstreamTable& upstreams,
                                       const std::set<std::string>& excluded) const;
  // Describes all replicas as Choose() compares them, for operators. `blocked` are the addresses
  // that asked for no requests.
  std::vector<CandidateView> Describe(TimePoint now, const UpstreamTable& upstreams,
                                      const std::set<std::string>& blocked) const;

  // Counts the start and the end of a call to a replica.
  void Begin(const std::string& address);
  void End(const std::string& address);
  // Stores the load that a replica reported.
  void Report(TimePoint now, const std::string& address, const LoadReport& load);
  // Record the outcome of a call and return the ejections that it caused.
  std::vector<Ejection> RecordSuccess(TimePoint now, const std::string& address, Duration latency);
  std::vector<Ejection> RecordFailure(TimePoint now, const std::string& address);
  // Records that the first event of a streamed answer arrived.
  void RecordFirstEvent(TimePoint now, const std::string& address);
  // Records that a replica refused a call.
  void RecordRefusal(TimePoint now, const std::string& address);
  // Records that the deadline of a call passed while it was at a replica.
  void RecordExpiry(TimePoint now, const std::string& address);
  // Records a failed connection attempt: the replica or the network path to it is down.
  void MarkUnreachable(TimePoint now, const std::string& address);

 private:
  struct Replica {
    std::string name;
    std::uint64_t incarnation = 0;
    std::string zone;
    double slots = 1.0;
    LoadReport report;
    TimePoint report_expires_at{};
    std::uint32_t started_since_report = 0;  // calls from this host
    std::uint32_t in_flight = 0;             // calls from this host
    double latency_s = 0.0;                  // moving average of response times
    TimePoint unreachable_until{};
    bool was_paced = false;     // at the last choice
    TimePoint observed_from{};  // calls sent earlier say nothing about it, as it was paced then
  };

  // How a replica compares with the others; lower is better.
  struct Scores {
    double paced = 0.0;
    double unpaced = 0.0;  // as if no replica were paced
  };

  Scores ScoresOf(TimePoint now, const std::string& address, const Replica& replica,
                  const UpstreamTableEntry& record) const;
  double Queue(TimePoint now, const Replica& replica) const;
  bool IsPaced(const Replica& replica) const;
  // Forgets what was observed of a replica before it restarted, or while it was paced.
  void ForgetObservations(const std::string& address, Replica* replica);
  // Tells the pace which replicas are silent or ejected.
  void UpdatePace(TimePoint now, const UpstreamTable& upstreams);
  // Lowest recent latency in seconds of the replicas that are not paced; zero if none is known.
  double ExpectedLatency() const;

  std::string m_own_zone;
  std::string m_service;
  std::map<std::string, Replica> m_replicas;  // by address
  OutlierDetector m_outliers;
  ServerPace* m_pace;
};

}  // namespace corneltray

#endif  // CORNELTRAY_SERVICE_PICKER_H_
