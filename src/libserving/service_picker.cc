#include "corneltray/service_picker.h"

#include <algorithm>
#include <utility>

namespace corneltray {
namespace {

constexpr double kMaxEjectedRatio = 0.67;
// Penalty of a replica in another zone, as a share of its slots.
constexpr double kOtherZonePenalty = 0.5;
// Average latency that counts as much as the load of a fully used replica.
constexpr double kLatencySecondsPerLoad = 0.1;
// Penalty of a replica that is silent, unreachable or ejected.
constexpr double kAvoidancePenalty = 10.0;
constexpr double kLatencySmoothingFactor = 0.2;
constexpr std::chrono::milliseconds kReportLifetime{1000};

}  // namespace

ServicePicker::ServicePicker(std::string own_zone, std::string service)
    : m_own_zone(std::move(own_zone)),
      m_service(std::move(service)),
      m_outliers(kMaxEjectedRatio) {}

void ServicePicker::SetReplicas(const UpstreamTable& upstreams) {
  std::map<std::string, Replica> replicas;
  for (const auto& [name, record] : upstreams.Records()) {
    const Announcement& announcement = record.announcement;
    if (announcement.service != m_service || !record.IsReady()) continue;
    const auto known = m_replicas.find(announcement.address);
    Replica replica;
    if (known != m_replicas.end() && known->second.name == name) replica = known->second;
    replica.name = name;
    replica.zone = announcement.availability_zone;
    replica.slots = std::max(1U, announcement.slots);
    replicas[announcement.address] = replica;
  }
  for (const auto& [address, replica] : m_replicas) {
    const auto kept = replicas.find(address);
    if (kept == replicas.end() || kept->second.name != replica.name) m_outliers.Forget(address);
  }
  m_replicas = std::move(replicas);
  m_outliers.SetGroupSize(m_service, m_replicas.size());
}

std::optional<ServiceChoice> ServicePicker::Choose(TimePoint now, const UpstreamTable& upstreams,
                                                   const std::set<std::string>& excluded) {
  std::optional<ServiceChoice> best;
  double best_score = 0.0;
  for (const auto& [address, replica] : m_replicas) {
    if (excluded.count(address) > 0) continue;
    const UpstreamTableEntry* record = upstreams.Find(replica.name);
    if (record == nullptr || !record->IsReady()) continue;
    double score = Score(now, replica);
    if (now - record->heard_at > kSilenceTimeout) score += kAvoidancePenalty;
    if (now < replica.unreachable_until) score += kAvoidancePenalty;
    // An ejected replica is used if no other is left.
    if (m_outliers.IsEjected(now, address)) score += kAvoidancePenalty;
    if (best && score >= best_score) continue;
    best = ServiceChoice{replica.name, address, replica.zone == m_own_zone, score};
    best_score = score;
  }
  return best;
}

double ServicePicker::Score(TimePoint now, const Replica& replica) const {
  const double queue =
      now < replica.report_expires_at
          ? replica.report.running + replica.report.waiting + replica.started_since_report
          : replica.in_flight;
  const double zone = replica.zone == m_own_zone ? 0.0 : kOtherZonePenalty;
  return queue / replica.slots + zone + replica.latency_s / kLatencySecondsPerLoad;
}

void ServicePicker::Begin(const std::string& address) {
  const auto replica = m_replicas.find(address);
  if (replica == m_replicas.end()) return;
  ++replica->second.in_flight;
  ++replica->second.started_since_report;
}

void ServicePicker::End(const std::string& address) {
  const auto replica = m_replicas.find(address);
  if (replica != m_replicas.end() && replica->second.in_flight > 0) --replica->second.in_flight;
}

void ServicePicker::Report(TimePoint now, const std::string& address, const LoadReport& load) {
  const auto replica = m_replicas.find(address);
  if (replica == m_replicas.end()) return;
  replica->second.report = load;
  replica->second.report_expires_at = now + kReportLifetime;
  replica->second.started_since_report = 0;
}

std::vector<Ejection> ServicePicker::RecordSuccess(TimePoint now, const std::string& address,
                                                   Duration latency) {
  const auto replica = m_replicas.find(address);
  if (replica == m_replicas.end()) return {};
  const double seconds = std::chrono::duration<double>(latency).count();
  double& average = replica->second.latency_s;
  average = average == 0.0 ? seconds : average + kLatencySmoothingFactor * (seconds - average);
  return m_outliers.Success(now, m_service, address, latency);
}

void ServicePicker::MarkUnreachable(TimePoint now, const std::string& address) {
  const auto replica = m_replicas.find(address);
  if (replica != m_replicas.end()) replica->second.unreachable_until = now + kUnreachableDuration;
}

std::vector<Ejection> ServicePicker::RecordFailure(TimePoint now, const std::string& address) {
  if (m_replicas.count(address) == 0) return {};
  return m_outliers.Failure(now, m_service, address);
}

}  // namespace corneltray
