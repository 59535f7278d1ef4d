#ifndef CORNELTRAY_CONTROL_HOST_SELECTOR_H_
#define CORNELTRAY_CONTROL_HOST_SELECTOR_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "corneltray/time.h"

namespace corneltray {

// A call without a response after this time is also sent to the next control process.
constexpr std::chrono::milliseconds kHedgeDelay{200};
// Timeout of a forwarded call. Callers of the control interface time out after one second.
constexpr std::chrono::milliseconds kForwardTimeout{900};
// Added to the hedge delay and to the timeout for each KiB of the call. A control process takes
// tens of milliseconds to parse a route table with thousands of routes; hedging too early makes a
// second one parse it as well.
constexpr std::chrono::milliseconds kExtraTimePerKibibyte{1};
// A control process that failed a call is tried last for this long.
constexpr std::chrono::milliseconds kFailureCooldown{2000};
// Control processes that receive one call. Limits the extra load on all of them while the
// replicated log is slow.
constexpr std::size_t kMaxHostsPerCall = 3;

struct ControlCandidate {
  std::string host;
  bool is_local = false;   // in the availability zone of this process
  bool is_source = false;  // this process follows its feed of upstreams
  // Fails to confirm reads of the log while another control process confirms them.
  bool is_cut_off = false;
};

// Tracks which control processes recently failed a call and ranks them for the next call.
class ControlHostSelector {
 public:
  ControlHostSelector() = default;
  // `self` is the name of this process. Processes with different names rank control processes of
  // the same availability zone differently, which spreads their calls.
  explicit ControlHostSelector(std::string self) : m_self(std::move(self)) {}

  void RecordFailure(TimePoint now, const std::string& host) {
    m_cooldown_until[host] = now + kFailureCooldown;
  }
  // Returns whether a call failed within the last kFailureCooldown, and none was answered since.
  bool HasFailed(TimePoint now, const std::string& host) const;
  void RecordAnswer(const std::string& host) { m_cooldown_until.erase(host); }

  // Sorts those that are cut off last, then by no recent failure first, then the source first, then
  // local availability zone first, then a hash of both names, or the host name if this process has
  // no name.
  std::vector<std::string> Order(TimePoint now, std::vector<ControlCandidate> candidates) const;

 private:
  std::uint64_t SpreadOf(const std::string& host) const;

  std::string m_self;
  std::map<std::string, TimePoint> m_cooldown_until;  // by host that failed
};

// Schedules one call to the control interface over several control processes, as a hedged request.
// Every such call is idempotent, so several processes may receive it. The first response that is
// not a server error ends the call.
class ForwardedCall {
 public:
  // `bytes` is the size of the request body.
  ForwardedCall(TimePoint now, std::vector<std::string> hosts, std::size_t bytes);

  // Returns the control process to send the call to now, if one is due.
  std::optional<std::string> NextHost(TimePoint now);
  // Records a response, or a link failure as a server error. Returns whether that ends the call.
  bool RecordAnswer(TimePoint now, int status);
  // Returns whether the call has failed: the deadline has passed, or no host is left to try and
  // every host that received the call has responded.
  bool HasFailed(TimePoint now) const;
  // Returns when to check the call again.
  TimePoint NextWakeup() const;
  TimePoint Deadline() const { return m_deadline; }

 private:
  bool HasHostsLeft() const;

  std::vector<std::string> m_hosts;
  std::size_t m_bytes;  // of the request body
  std::size_t m_sent = 0;
  std::size_t m_answered = 0;
  TimePoint m_next_send_at;
  TimePoint m_deadline;
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONTROL_HOST_SELECTOR_H_
