#include "corneltray/outlier.h"

#include <algorithm>
#include <cmath>

namespace corneltray {
namespace {

constexpr std::uint32_t kMinLatencySamples = 10;
constexpr double kLatencyWeight = 0.2;  // of the newest sample in the moving average
// A median over fewer members says little about which of them is slow.
constexpr std::size_t kMinLatencyMembers = 3;

double Seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

}  // namespace

OutlierDetector::OutlierDetector(double max_ejected_ratio)
    : m_max_ejected_ratio(max_ejected_ratio) {}

void OutlierDetector::SetMaxEjectedRatio(double ratio) { m_max_ejected_ratio = ratio; }

void OutlierDetector::SetGroupSize(const std::string& group, std::size_t size) {
  m_group_sizes[group] = size;
}

std::vector<Ejection> OutlierDetector::Success(TimePoint now, const std::string& group,
                                               const std::string& upstream, Duration latency) {
  Member& member = m_members[upstream];
  member.group = group;
  member.consecutive_failures = 0;
  const double sample = Seconds(latency);
  member.latency_s = member.samples == 0
                         ? sample
                         : member.latency_s + kLatencyWeight * (sample - member.latency_s);
  ++member.samples;
  if (member.samples < kMinLatencySamples) return {};
  const double median = MedianLatency(group);
  if (median <= 0.0 || member.latency_s <= kEjectLatencyFactor * median) return {};
  return Eject(now, upstream, &member, EjectionCause::kLatency);
}

std::vector<Ejection> OutlierDetector::Failure(TimePoint now, const std::string& group,
                                               const std::string& upstream) {
  Member& member = m_members[upstream];
  member.group = group;
  if (++member.consecutive_failures < kEjectAfterFailures) return {};
  return Eject(now, upstream, &member, EjectionCause::kFailures);
}

std::vector<Ejection> OutlierDetector::Eject(TimePoint now, const std::string& upstream,
                                             Member* member, EjectionCause cause) {
  if (member->ejected_until > now) return {};
  std::size_t ejected = 0;
  std::size_t known = 0;
  for (const auto& [name, other] : m_members) {
    if (other.group != member->group) continue;
    ++known;
    ejected += other.ejected_until > now ? 1 : 0;
  }
  const auto it = m_group_sizes.find(member->group);
  const std::size_t size = it != m_group_sizes.end() ? it->second : known;
  const auto cap = static_cast<std::size_t>(m_max_ejected_ratio * static_cast<double>(size));
  if (ejected + 1 > cap) return {};
  if (now >= member->calm_at) member->ejections = 0;
  const Duration length =
      std::min<Duration>(kEjectionBase * (1U << std::min(member->ejections, 8U)), kEjectionMax);
  ++member->ejections;
  member->ejected_until = now + length;
  // The count is kept for as long again as the ejection, in which the upstream must behave.
  member->calm_at = member->ejected_until + 2 * length;
  member->cause = cause;
  member->consecutive_failures = 0;
  member->samples = 0;  // its latency is measured afresh after its return
  m_any_ejected_until = std::max(m_any_ejected_until, member->ejected_until);
  return {{upstream, cause, member->ejected_until}};
}

double OutlierDetector::MedianLatency(const std::string& group) const {
  std::vector<double> latencies;
  for (const auto& [name, member] : m_members) {
    if (member.group == group && member.samples >= kMinLatencySamples) {
      latencies.push_back(member.latency_s);
    }
  }
  if (latencies.size() < kMinLatencyMembers) return 0.0;
  const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

bool OutlierDetector::IsEjected(TimePoint now, const std::string& upstream) const {
  if (now >= m_any_ejected_until) return false;
  const auto it = m_members.find(upstream);
  return it != m_members.end() && it->second.ejected_until > now;
}

std::vector<Ejection> OutlierDetector::Ejected(TimePoint now) const {
  std::vector<Ejection> ejected;
  if (now >= m_any_ejected_until) return ejected;
  for (const auto& [name, member] : m_members) {
    if (member.ejected_until > now) ejected.push_back({name, member.cause, member.ejected_until});
  }
  return ejected;
}

void OutlierDetector::Forget(const std::string& upstream) { m_members.erase(upstream); }

}  // namespace corneltray
