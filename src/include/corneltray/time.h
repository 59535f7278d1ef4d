#ifndef CORNELTRAY_TIME_H_
#define CORNELTRAY_TIME_H_

#include <chrono>
#include <cstdint>

namespace corneltray {

// Monotonic time of one process. Decision classes take it as an argument and never read a clock.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

// Milliseconds since the Unix epoch. Used only where hosts must share a time: caller deadlines and
// bookings.
using UnixMs = std::int64_t;

// Returns the wall-clock time of this host. Only programs call it; decision classes are given the
// value.
inline UnixMs UnixNow() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count();
}

}  // namespace corneltray

#endif  // CORNELTRAY_TIME_H_
