#include "corneltray/discovery_schedule.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace corneltray {

DiscoverySchedule::DiscoverySchedule(const std::string& own_host)
    : m_position(std::hash<std::string>{}(own_host)) {}

std::optional<std::string> DiscoverySchedule::Next(TimePoint now, std::vector<std::string> linked) {
  if (!IsDue(now) || linked.empty()) return std::nullopt;
  if (now >= m_reset_at) m_queries = 0;
  std::chrono::milliseconds interval = kFirstQueryInterval;
  for (std::uint32_t query = 0; query < m_queries && interval < kMaxQueryInterval; ++query) {
    interval *= 2;
  }
  ++m_queries;
  m_next_query = now + std::min(interval, kMaxQueryInterval);
  m_reset_at = m_next_query + kQueryResetTime;
  std::sort(linked.begin(), linked.end());
  return std::move(linked[m_position++ % linked.size()]);
}

}  // namespace corneltray
