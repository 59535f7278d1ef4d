#ifndef CORNELTRAY_CONTROL_CLIENT_H_
#define CORNELTRAY_CONTROL_CLIENT_H_

#include <cstddef>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "corneltray/booking.h"
#include "corneltray/control_state.h"
#include "corneltray/messages.h"
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

  // Returns the last accepted configuration changes, newest first. Fails with kUnavailable; the
  // default does always, for stand-ins that need no history.
  virtual Result<std::vector<ConfigurationHistoryRow>> ReadHistory(std::size_t limit,
                                                                   TimePoint deadline);
};

// Program name in PeerIdentity of the processes that hold a replica of the log.
inline constexpr char kControlProgram[] = "corneltray-control";

// A ControlClient that repeats a call with the same command until it is answered or its deadline
// has passed. Thread-safe if TryOnce is.
class RetryingControlClient : public ControlClient {
 public:
  Result<CommandReply> Propose(const Command& command, TimePoint deadline) override;
  Result<BookingReply> ReadBooking(const BookingKey& key, TimePoint deadline) override;
  Result<std::vector<ConfigurationHistoryRow>> ReadHistory(std::size_t limit,
                                                           TimePoint deadline) override;

 protected:
  // Asks one control process and blocks until the deadline at the latest. Returns nothing when
  // there is none to ask. An error means that the process may have taken the request.
  virtual std::optional<Result<nlohmann::json>> TryOnce(MessageType type,
                                                        const nlohmann::json& body,
                                                        TimePoint deadline) = 0;

 private:
  // Returns the reply body, which holds no error. Fails with kNotProposed only if no control
  // process can have put the command into the log.
  Result<nlohmann::json> Call(MessageType type, const nlohmann::json& body, TimePoint deadline);
};

// ControlClient over the links of a PeerNode. Asks the connected control process that answered last
// and, when it fails or stays silent, the next one.
class PeerControlClient : public RetryingControlClient {
 public:
  // The node outlives the client.
  explicit PeerControlClient(PeerNode* node);

 protected:
  std::optional<Result<nlohmann::json>> TryOnce(MessageType type, const nlohmann::json& body,
                                                TimePoint deadline) override;

 private:
  std::string PickHost();

  PeerNode* m_node;
  std::mutex m_mutex;
  std::string m_preferred;  // control process that answered last
  std::string m_failed;     // control process that failed last
};

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::ControlErrc> : std::true_type {};

#endif  // CORNELTRAY_CONTROL_CLIENT_H_
