#ifndef CORNELTRAY_SERVICE_PICKER_H_
#define CORNELTRAY_SERVICE_PICKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corneltray/outlier.h"
#include "corneltray/time.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

struct ServiceChoice {
  std::string upstream;  // name
  std::string address;
  bool is_own_zone = true;
  double load = 0.0;  // requests there over its slots, as known here
};

// A replica to which no connection could be made is avoided this long.
constexpr std::chrono::milliseconds kUnreachableDuration{1500};

// Chooses the replica of a plain service for one call: the least loaded, where another zone counts
// as an extra share of a slot set. A replica that fails again and again is left out for a while.
// Not thread safe.
class ServicePicker {
 public:
  ServicePicker(std::string own_zone, std::string service);

  // Takes the replicas. Called when the table has changed.
  void SetReplicas(const UpstreamTable& upstreams);

  // `excluded` are addresses that were tried for this call. Returns nothing if no replica is left.
  std::optional<ServiceChoice> Choose(TimePoint now, const UpstreamTable& upstreams,
                                      const std::set<std::string>& excluded);

  void Begin(const std::string& address);
  void End(const std::string& address);
  void Report(TimePoint now, const std::string& address, const LoadReport& load);
  // Outcomes; return the ejections that they caused.
  std::vector<Ejection> RecordSuccess(TimePoint now, const std::string& address, Duration latency);
  std::vector<Ejection> RecordFailure(TimePoint now, const std::string& address);
  // No connection could be made: the replica, or the way to it, is gone for now.
  void MarkUnreachable(TimePoint now, const std::string& address);

 private:
  struct Replica {
    std::string name;
    std::string zone;
    double slots = 1.0;
    LoadReport report;
    TimePoint report_expires_at{};
    std::uint32_t begun_since = 0;  // calls of this host since the report
    std::uint32_t in_flight = 0;    // calls of this host
    double latency_s = 0.0;         // moving average of answers
    TimePoint unreachable_until{};
  };

  double Score(TimePoint now, const Replica& replica) const;

  std::string m_own_zone;
  std::string m_service;
  std::map<std::string, Replica> m_replicas;  // by address
  OutlierDetector m_outliers;
};

}  // namespace corneltray

#endif  // CORNELTRAY_SERVICE_PICKER_H_
