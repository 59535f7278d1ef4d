#ifndef CORNELTRAY_KEY_LEASE_H_
#define CORNELTRAY_KEY_LEASE_H_

#include <chrono>
#include <optional>

#include "corneltray/time.h"

namespace corneltray {

// Time since the machine started, also while it was suspended. A steady clock may stand still then,
// and a lease would seem to last longer than it does for everyone else.
TimePoint BootTimeNow();

// Permission of one host to honour customer keys. The replicated log gives it by confirming that a
// route table is the newest one. A host that cannot reach the log lets it lapse, so that a key that
// was revoked meanwhile stops working there too. All times are of BootTimeNow. Not thread safe.
class KeyLease {
 public:
  // The lease lasts `length` from the moment at which the confirmation was asked for, less
  // `margin` for requests that are on their way.
  KeyLease(std::chrono::milliseconds length, std::chrono::milliseconds margin);

  // The log confirmed what was asked for at this time.
  void Extend(TimePoint asked_at);

  bool IsValid(TimePoint now) const;
  // Whether more than half of the lease is over, so that new callers better go elsewhere.
  bool IsHalfElapsed(TimePoint now) const;

 private:
  Duration m_length;
  std::optional<TimePoint> m_expires_at;
};

}  // namespace corneltray

#endif  // CORNELTRAY_KEY_LEASE_H_
