#ifndef CORNELTRAY_LOG_BUDGET_H_
#define CORNELTRAY_LOG_BUDGET_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "corneltray/time.h"

namespace corneltray {

// Bounds the log lines of each event, so that a flood of one kind, such as refusals under overload,
// neither costs the time of requests nor hides the lines of other events. Not thread safe.
class LogBudget {
 public:
  // Each event may have this many lines a second, and as many at once.
  explicit LogBudget(double lines_per_s);

  // Returns nothing if the line is to be left out, else how many lines of this event were left out
  // since the last one that was written.
  std::optional<std::uint64_t> Take(TimePoint now, std::string_view event);

 private:
  struct Event {
    double lines = 0.0;  // that may be written now
    TimePoint filled_at{};
    std::uint64_t left_out = 0;
  };

  double m_lines_per_s;
  std::map<std::string, Event, std::less<>> m_events;
};

}  // namespace corneltray

#endif  // CORNELTRAY_LOG_BUDGET_H_
