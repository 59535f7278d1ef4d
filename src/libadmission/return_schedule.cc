#include "corneltray/return_schedule.h"

#include <algorithm>

namespace corneltray {

std::chrono::milliseconds ReturnSchedule::Take(TimePoint now, Duration earliest, Duration latest,
                                               Duration slot) {
  using std::chrono::milliseconds;
  earliest = std::min(earliest, latest);
  m_next_slot = std::max(m_next_slot, now + earliest);
  if (m_next_slot > now + latest) {
    return std::chrono::ceil<milliseconds>(RandomBetween(earliest, latest));
  }
  // The time varies within the slot, because the hosts compute their slots from the same reports.
  const Duration after = m_next_slot - now + RandomBetween(Duration::zero(), slot);
  m_next_slot += slot;
  return std::chrono::ceil<milliseconds>(std::min(after, latest));
}

Duration ReturnSchedule::RandomBetween(Duration low, Duration high) {
  if (high <= low) return low;
  return Duration(
      std::uniform_int_distribution<Duration::rep>(low.count(), high.count())(m_random));
}

}  // namespace corneltray
