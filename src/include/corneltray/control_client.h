#ifndef CORNELTRAY_CONTROL_CLIENT_H_
#define CORNELTRAY_CONTROL_CLIENT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

#include "corneltray/booking.h"
#include "corneltray/result.h"
#include "corneltray/time.h"

namespace corneltray {

class PeerNode;

enum class ControlErrc {
  kUnavailable = 1,  // no majority was reached before the deadline; the command may still commit
  kNotProposed,      // certainly not in the log and never will be
  kMalformedReply,
};

std::error_code make_error_code(ControlErrc errc);

// Access to the replicated log from other programs. An interface, so that tests can stand in for
// it.
class ControlClient {
 public:
  virtual ~ControlClient() = default;

  // Proposes a command and waits for its committed reply. Repeating a command is safe: every
  // command is idempotent by its attempt or change id. Blocks the calling thread until the deadline
  // at the latest; must not be called on the I/O thread of PeerNode. Fails with kUnavailable or
  // kNotProposed.
  virtual Result<CommandReply> Propose(const Command& command, TimePoint deadline) = 0;

  // Reads the state of one key through the leader, after everything committed before the call.
  virtual Result<BookingReply> ReadBooking(const BookingKey& key, TimePoint deadline) = 0;
};

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::ControlErrc> : std::true_type {};

#endif  // CORNELTRAY_CONTROL_CLIENT_H_
