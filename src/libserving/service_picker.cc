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
// Penalty of a replica that is silent, unreachable, ejected or has no room at its pace.
constexpr double kAvoidancePenalty = 10.0;
constexpr double kLatencySmoothingFactor = 0.2;
constexpr std::chrono::milliseconds kReportLifetime{1000};

}  // namespace

ServicePicker::ServicePicker(std::string own_zone, std::string service, ServerPace* pace)
    : m_own_zone(std::move(own_zone)),
      m_service(std::move(service)),
      m_outliers(kMaxEjectedRatio),
      m_pace(pace) {}

void ServicePicker::SetReplicas(const UpstreamTable& upstreams) {
  std::map<std::string, Replica> replicas;
  for (const auto& [name, record] : upstreams.Records()) {
    const Announcement& announcement = record.announcement;
    if (announcement.service != m_service || !record.IsReady()) continue;
    const auto known = m_replicas.find(announcement.address);
    Replica replica;
    if (known != m_replicas.end() && known->second.name == name) replica = known->second;
    if (replica.incarnation != announcement.incarnation) {
      replica.incarnation = announcement.incarnation;
      replica.name = name;
      if (IsPaced(replica)) ForgetObservations(announcement.address, &replica);
    }
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
  UpdatePace(now, upstreams);
  return Preview(now, upstreams, excluded);
}

std::optional<ServiceChoice> ServicePicker::Preview(TimePoint now, const UpstreamTable& upstreams,
                                                    const std::set<std::string>& excluded) const {
  std::optional<ServiceChoice> best;
  double best_score = 0.0;
  const Replica* best_unpaced = nullptr;
  double best_unpaced_score = 0.0;
  for (const auto& [address, replica] : m_replicas) {
    if (excluded.count(address) > 0) continue;
    const UpstreamTableEntry* record = upstreams.Find(replica.name);
    if (record == nullptr || !record->IsReady()) continue;
    const Scores scores = ScoresOf(now, address, replica, *record);
    if (best_unpaced == nullptr || scores.unpaced < best_unpaced_score) {
      best_unpaced = &replica;
      best_unpaced_score = scores.unpaced;
    }
    if (best && scores.paced >= best_score) continue;
    best = ServiceChoice{replica.name, address, replica.zone == m_own_zone, scores.paced, ""};
    best_score = scores.paced;
  }
  if (best && best_unpaced->name != best->upstream) best->limited = best_unpaced->name;
  return best;
}

std::vector<CandidateView> ServicePicker::Describe(TimePoint now, const UpstreamTable& upstreams,
                                                   const std::set<std::string>& blocked) const {
  std::vector<CandidateView> views;
  for (const auto& [address, replica] : m_replicas) {
    CandidateView view;
    view.upstream = replica.name;
    view.address = address;
    view.availability_zone = replica.zone;
    const double queue = Queue(now, replica);
    view.load = queue / replica.slots;
    view.room = std::max(0.0, replica.slots - queue);
    if (m_pace != nullptr) view.share = m_pace->Share(replica.name);
    if (now < replica.report_expires_at) {
      view.report_age = now - (replica.report_expires_at - kReportLifetime);
    }
    const UpstreamTableEntry* record = upstreams.Find(replica.name);
    const bool is_ready = record != nullptr && record->IsReady();
    if (is_ready) view.score = ScoresOf(now, address, replica, *record).paced;
    if (!is_ready) {
      view.reason = CandidateReason::kLeaving;
    } else if (blocked.count(address) > 0) {
      view.reason = CandidateReason::kBlocked;
    } else if (now < replica.unreachable_until) {
      view.reason = CandidateReason::kUnreachable;
    } else if (now - record->heard_at > kSilenceTimeout) {
      view.reason = CandidateReason::kLost;
    } else if (m_outliers.IsEjected(now, address)) {
      view.reason = CandidateReason::kEjected;
    } else if (m_pace != nullptr && !m_pace->HasRoom(replica.name)) {
      view.reason = CandidateReason::kPace;
    }
    views.push_back(std::move(view));
  }
  return views;
}

ServicePicker::Scores ServicePicker::ScoresOf(TimePoint now, const std::string& address,
                                              const Replica& replica,
                                              const UpstreamTableEntry& record) const {
  const double load = Queue(now, replica) / replica.slots;
  double penalty = replica.zone == m_own_zone ? 0.0 : kOtherZonePenalty;
  const bool is_paced = IsPaced(replica);
  // The window of a paced replica follows the latency that all hosts see. The last answer to this
  // host may be old, and without calls there would be no newer one.
  const double latency_s = is_paced ? ExpectedLatency() : replica.latency_s;
  penalty += latency_s / kLatencySecondsPerLoad;
  if (now - record.heard_at > kSilenceTimeout) penalty += kAvoidancePenalty;
  if (now < replica.unreachable_until) penalty += kAvoidancePenalty;
  // An ejected replica is used if no other is left.
  if (m_outliers.IsEjected(now, address)) penalty += kAvoidancePenalty;
  const double unpaced = load + penalty;
  if (!is_paced) return {unpaced, unpaced};
  // So is one without room: all others may be gone.
  const double no_room = m_pace->HasRoom(replica.name) ? 0.0 : kAvoidancePenalty;
  return {load / m_pace->Share(replica.name) + penalty + no_room, unpaced};
}

double ServicePicker::Queue(TimePoint now, const Replica& replica) const {
  if (now >= replica.report_expires_at) return replica.in_flight;
  return replica.report.running + replica.report.waiting + replica.started_since_report;
}

bool ServicePicker::IsPaced(const Replica& replica) const {
  return m_pace != nullptr && m_pace->IsPaced(replica.name);
}

void ServicePicker::ForgetObservations(const std::string& address, Replica* replica) {
  replica->latency_s = 0.0;
  replica->unreachable_until = {};
  replica->report_expires_at = {};
  m_outliers.Forget(address);
}

void ServicePicker::UpdatePace(TimePoint now, const UpstreamTable& upstreams) {
  if (m_pace == nullptr) return;
  for (auto& [address, replica] : m_replicas) {
    const bool was_paced = std::exchange(replica.was_paced, IsPaced(replica));
    if (was_paced && !replica.was_paced) {
      ForgetObservations(address, &replica);
      // Each host would send the next request to a replica without a known latency.
      replica.latency_s = ExpectedLatency();
      replica.observed_from = now;
    }
    const UpstreamTableEntry* record = upstreams.Find(replica.name);
    if (record == nullptr || !record->IsReady()) continue;
    const bool is_heard = now - record->heard_at <= kSilenceTimeout;
    m_pace->SetAvailable(now, replica.name, PaceReason::kHeardAgain, is_heard);
    m_pace->SetAvailable(now, replica.name, PaceReason::kEjectionEnded,
                         !m_outliers.IsEjected(now, address));
  }
}

double ServicePicker::ExpectedLatency() const {
  double lowest_s = 0.0;
  for (const auto& [address, replica] : m_replicas) {
    if (replica.latency_s <= 0.0 || IsPaced(replica)) continue;
    if (lowest_s == 0.0 || replica.latency_s < lowest_s) lowest_s = replica.latency_s;
  }
  return lowest_s;
}

void ServicePicker::Begin(const std::string& address) {
  const auto replica = m_replicas.find(address);
  if (replica == m_replicas.end()) return;
  ++replica->second.in_flight;
  ++replica->second.started_since_report;
  if (m_pace != nullptr) m_pace->Begin(replica->second.name);
}

void ServicePicker::End(const std::string& address) {
  const auto replica = m_replicas.find(address);
  if (replica == m_replicas.end() || replica->second.in_flight == 0) return;
  --replica->second.in_flight;
  if (m_pace != nullptr) m_pace->End(replica->second.name);
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
  const auto known = m_replicas.find(address);
  if (known == m_replicas.end()) return {};
  Replica& replica = known->second;
  if (IsPaced(replica)) {
    const std::chrono::duration<double> expected(ExpectedLatency());
    m_pace->Answered(now, replica.name, latency, std::chrono::duration_cast<Duration>(expected));
    return {};
  }
  if (now - latency < replica.observed_from) return {};
  const double seconds = std::chrono::duration<double>(latency).count();
  double& average = replica.latency_s;
  average = average == 0.0 ? seconds : average + kLatencySmoothingFactor * (seconds - average);
  return m_outliers.Success(now, m_service, address, latency);
}

void ServicePicker::MarkUnreachable(TimePoint now, const std::string& address) {
  const auto replica = m_replicas.find(address);
  if (replica != m_replicas.end()) replica->second.unreachable_until = now + kUnreachableDuration;
}

std::vector<Ejection> ServicePicker::RecordFailure(TimePoint now, const std::string& address) {
  const auto replica = m_replicas.find(address);
  if (replica == m_replicas.end()) return {};
  if (IsPaced(replica->second)) {
    m_pace->Failed(now, replica->second.name);
    return {};
  }
  return m_outliers.Failure(now, m_service, address);
}

void ServicePicker::RecordFirstEvent(TimePoint now, const std::string& address) {
  const auto replica = m_replicas.find(address);
  if (replica == m_replicas.end() || m_pace == nullptr) return;
  // Latencies are kept for whole answers only, so there is none to compare with.
  m_pace->Answered(now, replica->second.name, Duration::zero(), Duration::zero());
}

void ServicePicker::RecordRefusal(TimePoint now, const std::string& address) {
  const auto replica = m_replicas.find(address);
  if (replica == m_replicas.end() || m_pace == nullptr) return;
  m_pace->Refused(now, replica->second.name);
}

void ServicePicker::RecordExpiry(TimePoint now, const std::string& address) {
  const auto replica = m_replicas.find(address);
  if (replica == m_replicas.end() || m_pace == nullptr) return;
  m_pace->Failed(now, replica->second.name);
}

}  // namespace corneltray
