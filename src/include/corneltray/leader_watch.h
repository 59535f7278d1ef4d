#ifndef CORNELTRAY_LEADER_WATCH_H_
#define CORNELTRAY_LEADER_WATCH_H_

#include <chrono>
#include <optional>

#include "corneltray/time.h"

namespace corneltray {

// Time without a leader after which a control process reports it, and between two reports. An
// election takes about a second, so it is not reported.
constexpr std::chrono::seconds kNoLeaderReportInterval{5};

// Decides when a control process that knows no leader reports it. Not thread safe.
class LeaderWatch {
 public:
  // Notes whether a leader is known. Returns for how long none was, if one is known again.
  std::optional<Duration> Update(TimePoint now, bool is_leader_known);

  // Returns when the next report is due; nothing while a leader is known.
  std::optional<TimePoint> NextReport() const { return m_next_report; }

  // Returns for how long no leader has been known, if a report is due, and schedules the next one.
  std::optional<Duration> TakeReport(TimePoint now);

 private:
  TimePoint m_without_since{};
  std::optional<TimePoint> m_next_report;  // set while no leader is known
};

}  // namespace corneltray

#endif  // CORNELTRAY_LEADER_WATCH_H_
