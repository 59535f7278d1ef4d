#include "corneltray/key_lease.h"

#include <time.h>  // NOLINT(modernize-deprecated-headers): clock_gettime is POSIX

#include <algorithm>

namespace corneltray {

TimePoint BootTimeNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

KeyLease::KeyLease(std::chrono::milliseconds length, std::chrono::milliseconds margin)
    : m_length(length - margin) {}

void KeyLease::Extend(TimePoint requested_at) {
  const TimePoint expires_at = requested_at + m_length;
  m_expires_at = m_expires_at ? std::max(*m_expires_at, expires_at) : expires_at;
}

bool KeyLease::IsValid(TimePoint now) const { return m_expires_at && now < *m_expires_at; }

bool KeyLease::IsHalfElapsed(TimePoint now) const {
  return !m_expires_at || now + m_length / 2 >= *m_expires_at;
}

}  // namespace corneltray
