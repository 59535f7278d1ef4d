#ifndef CORNELTRAY_KEY_LEASE_H_
#define CORNELTRAY_KEY_LEASE_H_

#include <chrono>
#include <optional>

#include "corneltray/time.h"

namespace corneltray {

// Time since the machine booted, including time in suspend. A steady clock may stop during suspend,
// and a lease would then outlast its validity on the other hosts.
TimePoint BootTimeNow();

// Lease under which a host accepts customer keys. The replicated log extends it by confirming that
// a route table is the latest version. It expires on a host that cannot reach the log, so that keys
// revoked in the meantime stop working there too. All times are from BootTimeNow(). Not thread
// safe.
class KeyLease {
 public:
  // The lease lasts `length` from the time of the request for confirmation, minus `margin` for
  // requests in flight.
  KeyLease(std::chrono::milliseconds length, std::chrono::milliseconds margin);

  // Extends the lease after the log confirmed a request that was sent at `requested_at`.
  void Extend(TimePoint requested_at);

  bool IsValid(TimePoint now) const;
  // Whether there is no lease or at least half of it has elapsed; new callers should then use
  // another host.
  bool IsHalfElapsed(TimePoint now) const;

 private:
  Duration m_length;
  std::optional<TimePoint> m_expires_at;
};

}  // namespace corneltray

#endif  // CORNELTRAY_KEY_LEASE_H_
