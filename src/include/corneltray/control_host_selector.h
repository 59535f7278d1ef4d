#ifndef CORNELTRAY_CONTROL_HOST_SELECTOR_H_
#define CORNELTRAY_CONTROL_HOST_SELECTOR_H_

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "corneltray/time.h"

namespace corneltray {

// A control process without an answer for this long is joined by the next one.
constexpr std::chrono::milliseconds kHedgeDelay{200};
// Callers of the control interface wait one second for an answer.
constexpr std::chrono::milliseconds kForwardTimeout{900};
// Added to both for each KiB of the call. A route table with thousands of routes takes a control
// process tens of milliseconds to read, and a second one that is asked too early reads it as well.
constexpr std::chrono::milliseconds kExtraTimePerKibibyte{1};
// A control process that failed a call is asked last for this long.
constexpr std::chrono::milliseconds kFailureCooldown{2000};
// Control processes that get a copy of one call; bounds what a slow log costs all of them.
constexpr std::size_t kMaxHostsPerCall = 3;

struct ControlCandidate {
  std::string host;
  bool is_local = false;  // in the availability zone of this process
};

// Remembers which control processes failed a call lately, and orders them for the next one.
class ControlHostSelector {
 public:
  void RecordFailure(TimePoint now, const std::string& host) {
    m_last_until[host] = now + kFailureCooldown;
  }
  void RecordAnswer(const std::string& host) { m_last_until.erase(host); }

  // Those that did not fail go first, and of these the local ones, then by name.
  std::vector<std::string> Order(TimePoint now, std::vector<ControlCandidate> candidates) const;

 private:
  std::map<std::string, TimePoint> m_last_until;  // hosts that are asked last, and until when
};

// Decides which control processes get one call to the control interface, and when. Every such call
// is idempotent, so several may get it. The first answer that is not a server error ends the call.
class ForwardedCall {
 public:
  // `bytes` is the size of the call.
  ForwardedCall(TimePoint now, std::vector<std::string> hosts, std::size_t bytes);

  // Returns the control process to ask now.
  std::optional<std::string> NextHost(TimePoint now);
  // One that was asked has answered, or its link failed. Returns whether that ends the call.
  bool RecordAnswer(TimePoint now, int status);
  // Whether the call has failed: nobody is left to ask or to answer, or the time is over.
  bool HasFailed(TimePoint now) const;
  // When to look again.
  TimePoint NextWakeup() const;
  TimePoint Deadline() const { return m_give_up_at; }

 private:
  bool HasHostsLeft() const;

  std::vector<std::string> m_hosts;
  std::size_t m_bytes;  // of the call
  std::size_t m_asked = 0;
  std::size_t m_answered = 0;
  TimePoint m_next_at;
  TimePoint m_give_up_at;
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONTROL_HOST_SELECTOR_H_
