#ifndef CORNELTRAY_PROMPT_QUARANTINE_H_
#define CORNELTRAY_PROMPT_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "corneltray/crash_attribution.h"
#include "corneltray/time.h"

namespace corneltray {

// A crash does not count against a part with which this host has seen an answer begin within this
// time. It keeps parts that most requests share out of the reports.
constexpr std::chrono::milliseconds kRecentlyBegun{1000};
// Pause before the control processes are asked for a trial again.
constexpr std::chrono::milliseconds kTrialRequestInterval{1000};
// How long a host remembers that an answer with a part has begun.
constexpr std::chrono::minutes kBegunRetention{1};
// A granted trial that no request has used by then is void.
constexpr std::chrono::milliseconds kTrialUseTimeout{500};

// An answer began with these parts, which others suspect.
struct AnswerBegun {
  std::vector<std::string> parts;
};
// This host has a request for a trial of a quarantined part.
struct TrialRequest {
  PartVerdict verdict;
  TrialReason reason = TrialReason::kDelayElapsed;
};
// What one host reports to the control processes or asks them.
using QuarantineAction = std::variant<CrashReport, AnswerBegun, TrialRequest>;

enum class PromptAdmission {
  kAllowed,
  kRefused,        // holds a quarantined part
  kAwaitingTrial,  // holds a quarantined part that may be tried; a control process is asked
};

struct PromptDecision {
  PromptAdmission admission = PromptAdmission::kAllowed;
  std::string part;                          // that is quarantined
  std::chrono::milliseconds retry_after{0};  // if it is refused
};

// Decides at one host which requests are refused because their prompt holds a part on which
// upstreams crash, and collects the evidence that this host sees. Not thread safe.
class PromptQuarantine {
 public:
  // Returns how to go on with a request with these parts. A request that is allowed as a trial uses
  // the trial up.
  PromptDecision Admit(TimePoint now, const std::vector<std::string>& parts);
  // Whether a request with these parts may not be sent again.
  bool IsQuarantined(TimePoint now, const std::vector<std::string>& parts) const;
  // Whether a request with these parts that waits at an upstream has to be taken back. Where this
  // host has seen an answer begin with the quarantined part, the verdict may be wrong, and the
  // beginning of further answers shows it.
  bool IsToBeTakenBack(TimePoint now, const std::vector<std::string>& parts) const;

  void OnCrash(TimePoint now, CrashReport report);
  void OnAnswerBegun(TimePoint now, const std::vector<std::string>& parts);
  void Merge(TimePoint now, const std::vector<PartVerdict>& verdicts);
  // Ends a TrialRequest.
  void OnTrialAnswered(TimePoint now, const std::string& part, bool is_granted);
  // Decides about a trial without the control processes, for a host that is linked to none.
  bool GrantTrial(TimePoint now, const TrialRequest& request);

  // Returns what to send to the control processes since the last call.
  std::vector<QuarantineAction> TakeActions();
  // Number of parts that are quarantined here.
  std::size_t QuarantinedCount(TimePoint now) const;

 private:
  struct Trial {
    bool is_requested = false;
    bool is_early_refused = false;  // no trial before the delay has elapsed
    TimePoint usable_until{};
    TimePoint next_request_at{};
  };

  PromptDecision CheckPart(TimePoint now, const std::string& part) const;
  void RequestTrial(TimePoint now, const std::string& part);
  void RememberBegun(TimePoint now, const std::vector<std::string>& parts);
  bool HasBegunWithin(TimePoint now, const std::string& part, Duration time) const;

  CrashAttribution m_attribution;
  std::map<std::string, Trial> m_trials;        // by part
  std::map<std::string, TimePoint> m_begun_at;  // latest answer that began, by part
  std::vector<QuarantineAction> m_actions;
};

}  // namespace corneltray

#endif  // CORNELTRAY_PROMPT_QUARANTINE_H_
