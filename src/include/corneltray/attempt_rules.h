#ifndef CORNELTRAY_ATTEMPT_RULES_H_
#define CORNELTRAY_ATTEMPT_RULES_H_

#include <cstdint>
#include <map>
#include <string>

#include "corneltray/enum_names.h"
#include "corneltray/route_table.h"
#include "corneltray/time.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// How one attempt to send a request to an upstream failed, as observed by this host.
enum class AttemptEvidence {
  kNotConnected,   // nothing was sent
  kRefused,        // the upstream reports that it did not run the request
  kUpstreamError,  // the upstream responded with a 5xx status
  kNoAnswer,       // the connection closed before a response
  kTruncated,      // the connection closed in the middle of the response
  kMalformed,      // not a valid response, or a response to another request
  kTimedOut,       // no response within the timeout of the attempt
  kStageLost,      // a stage of the chain stopped responding
};

template <>
struct EnumNames<AttemptEvidence> {
  static constexpr EnumName<AttemptEvidence> kTable[] = {
      {AttemptEvidence::kNotConnected, "not_connected"},
      {AttemptEvidence::kRefused, "refused"},
      {AttemptEvidence::kUpstreamError, "upstream_error"},
      {AttemptEvidence::kNoAnswer, "no_answer"},
      {AttemptEvidence::kTruncated, "truncated"},
      {AttemptEvidence::kMalformed, "malformed"},
      {AttemptEvidence::kTimedOut, "timed_out"},
      {AttemptEvidence::kStageLost, "stage_lost"},
  };
};

// Why an engine is taken for lost.
enum class EngineLossReason {
  kConnectionClosed,   // it closed the connection of a request without an answer
  kNotConnected,       // no connection could be opened
  kRefusedAfterStall,  // it refused a request after a time in which it did not respond
  kNoReport,           // it does not report its state
  kStallsChain,        // another stage of its chain reports that it does not respond
  kToldByControlHost,  // a control process got no response
};

// An engine that is taken for lost.
struct EngineLoss {
  std::string address;
  EngineLossReason reason = EngineLossReason::kConnectionClosed;
};

template <>
struct EnumNames<EngineLossReason> {
  static constexpr EnumName<EngineLossReason> kTable[] = {
      {EngineLossReason::kConnectionClosed, "connection_closed"},
      {EngineLossReason::kNotConnected, "not_connected"},
      {EngineLossReason::kRefusedAfterStall, "refused_after_a_stall"},
      {EngineLossReason::kNoReport, "no_report"},
      {EngineLossReason::kStallsChain, "stalls_its_chain"},
      {EngineLossReason::kToldByControlHost, "told_by_control_host"},
  };
};

// Whether an upstream executed a request.
enum class HasRun { kNo, kMaybe, kYes };

template <>
struct EnumNames<HasRun> {
  static constexpr EnumName<HasRun> kTable[] = {
      {HasRun::kNo, "no"},
      {HasRun::kMaybe, "maybe"},
      {HasRun::kYes, "yes"},
  };
};

// How to proceed after an attempt that did not produce a response for the caller.
struct AttemptOutcome {
  HasRun has_run = HasRun::kMaybe;
  bool may_try_another = false;  // the request may be sent to another upstream
  int status = 502;              // returned to the caller if there is no further attempt
};

// Maps the evidence of a failed attempt to its outcome; no other code makes this decision.
// `is_retry_safe`: the request is idempotent, or is a stream that can be resumed.
AttemptOutcome ClassifyAttempt(AttemptEvidence evidence, bool is_retry_safe);

// Whether a request of this route may be executed more than once.
bool IsRetrySafe(const RouteEntry& route);

// Combines the results of two attempts of one request: it has run if either attempt has run.
HasRun Combine(HasRun a, HasRun b);

// The upstreams at which one request has run or may have run. A route limits their number; an
// upstream whose process has ended since does not count. Not thread safe.
class RunHistory {
 public:
  // Records a run at the current incarnation of an upstream that ended with this evidence.
  void Add(const UpstreamTable& upstreams, const std::string& upstream, AttemptEvidence evidence);

  // Number of upstreams that count toward the limit of the route (`max_upstreams`).
  std::uint32_t Count(TimePoint now, const UpstreamTable& upstreams) const;

 private:
  struct Run {
    std::uint64_t incarnation = 0;  // 0 if unknown
    bool connection_ended = false;
  };

  // Whether the process that ran the request has ended since.
  static bool HasEnded(TimePoint now, const UpstreamTable& upstreams, const std::string& upstream,
                       const Run& run);

  std::map<std::string, Run> m_runs;  // by upstream name
};

}  // namespace corneltray

#endif  // CORNELTRAY_ATTEMPT_RULES_H_
