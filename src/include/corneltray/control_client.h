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
  kUnavailable = 1,  // no majority confirmed it before the deadline; it may still be committed
  kNotProposed,      // the command is not in the log and never will be
  kMalformedReply,
};

std::error_code make_error_code(ControlErrc errc);

// Client of the replicated log. An interface, so that tests can replace it with a fake.
class ControlClient {
 public:
  virtual ~ControlClient() = default;

  // Proposes a command and waits for the reply to its commit. Retrying is safe, because every
  // command is idempotent by its attempt ID or change ID. Blocks until the deadline at the latest;
  // must not be called on the I/O thread of PeerNode. Fails with kUnavailable or kNotProposed.
  virtual Result<CommandReply> Propose(const Command& command, TimePoint deadline) = 0;

  // Reads the state of a key through the leader (linearizable): the result reflects everything that
  // was committed before the call.
  virtual Result<BookingReply> ReadBooking(const BookingKey& key, TimePoint deadline) = 0;

  // Returns the latest accepted configuration changes, newest first. Fails with kUnavailable. The
  // default implementation always fails, for fakes without a history.
  virtual Result<std::vector<ConfigurationHistoryRow>> ReadHistory(std::size_t limit,
                                                                   TimePoint deadline);
};

// Program name in PeerIdentity of the processes that run a replica of the log.
inline constexpr char kControlProgram[] = "corneltray-control";

// A ControlClient that retries a call with the same command until it is answered or its deadline
// has passed. Thread-safe if TryOnce is.
class RetryingControlClient : public ControlClient {
 public:
  Result<CommandReply> Propose(const Command& command, TimePoint deadline) override;
  Result<BookingReply> ReadBooking(const BookingKey& key, TimePoint deadline) override;
  Result<std::vector<ConfigurationHistoryRow>> ReadHistory(std::size_t limit,
                                                           TimePoint deadline) override;

 protected:
  // Sends the request to one control process and blocks until the deadline at the latest. Returns
  // nothing when no control process is connected. After an error the process may still have
  // accepted the request.
  virtual std::optional<Result<nlohmann::json>> TryOnce(MessageType type,
                                                        const nlohmann::json& body,
                                                        TimePoint deadline) = 0;

 private:
  // Returns the reply body, which contains no error. Fails with kNotProposed only if no control
  // process can have appended the command to the log.
  Result<nlohmann::json> Call(MessageType type, const nlohmann::json& body, TimePoint deadline);
};

// ControlClient over the connections of a PeerNode. Prefers the control process that answered last
// and moves on to the next one when it fails or times out.
class PeerControlClient : public RetryingControlClient {
 public:
  // The node must outlive the client.
  explicit PeerControlClient(PeerNode* node);

 protected:
  std::optional<Result<nlohmann::json>> TryOnce(MessageType type, const nlohmann::json& body,
                                                TimePoint deadline) override;

 private:
  std::string SelectHost();

  PeerNode* m_node;
  std::mutex m_mutex;
  std::string m_preferred_host;  // host of the control process that answered last
  std::string m_failed_host;     // host of the control process that failed last
};

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::ControlErrc> : std::true_type {};

#endif  // CORNELTRAY_CONTROL_CLIENT_H_
