#include "corneltray/leader_watch.h"

namespace corneltray {

std::optional<Duration> LeaderWatch::Update(TimePoint now, bool is_leader_known) {
  const bool was_leader_known = !m_next_report;
  if (is_leader_known == was_leader_known) return std::nullopt;
  if (!is_leader_known) {
    m_without_since = now;
    m_next_report = now + kNoLeaderReportInterval;
    return std::nullopt;
  }
  m_next_report.reset();
  return now - m_without_since;
}

std::optional<Duration> LeaderWatch::TakeReport(TimePoint now) {
  if (!m_next_report || now < *m_next_report) return std::nullopt;
  // From now on, so that a process that was suspended reports once.
  m_next_report = now + kNoLeaderReportInterval;
  return now - m_without_since;
}

}  // namespace corneltray
