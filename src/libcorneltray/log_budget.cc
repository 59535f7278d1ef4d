#include "corneltray/log_budget.h"

#include <algorithm>
#include <utility>

namespace corneltray {

LogBudget::LogBudget(double lines_per_s) : m_lines_per_s(lines_per_s) {}

std::optional<std::uint64_t> LogBudget::Take(TimePoint now, std::string_view name) {
  auto found = m_events.find(name);
  if (found == m_events.end()) {
    found = m_events.emplace(std::string(name), Event{m_lines_per_s, now, 0}).first;
  }
  Event& event = found->second;
  const double passed_s = std::chrono::duration<double>(now - event.filled_at).count();
  event.lines = std::min(m_lines_per_s, event.lines + passed_s * m_lines_per_s);
  event.filled_at = now;
  if (event.lines < 1.0) {
    ++event.left_out;
    return std::nullopt;
  }
  event.lines -= 1.0;
  return std::exchange(event.left_out, 0);
}

}  // namespace corneltray
