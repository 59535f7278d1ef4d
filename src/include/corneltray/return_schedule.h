#ifndef CORNELTRAY_RETURN_SCHEDULE_H_
#define CORNELTRAY_RETURN_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <random>

#include "corneltray/time.h"

namespace corneltray {

// Tells refused callers when to come back. Each gets the next free slot of a schedule that is
// served at a given rate; when the slots that a caller can wait for are taken, the time is random,
// so that a wave of refusals does not come back as a wave. Not thread safe.
class ReturnSchedule {
 public:
  // `seed` must differ between hosts.
  explicit ReturnSchedule(std::uint64_t seed) : m_random(seed) {}

  // Returns the Retry-After of a refused caller: at least `earliest` and at most `latest` from now.
  // `slot` is the time that serving one request takes at the rate for returns.
  std::chrono::milliseconds Take(TimePoint now, Duration earliest, Duration latest, Duration slot);

 private:
  Duration RandomBetween(Duration low, Duration high);

  TimePoint m_next_slot{};
  std::mt19937_64 m_random;
};

}  // namespace corneltray

#endif  // CORNELTRAY_RETURN_SCHEDULE_H_
