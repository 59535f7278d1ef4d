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

// How one attempt at an upstream ended, as far as this host can tell.
enum class AttemptEvidence {
  kNotConnected,   // nothing was sent
  kRefused,        // the upstream says that it did not run the request
  kUpstreamError,  // the upstream's own answer with a status of 5xx
  kNoAnswer,       // the connection ended without an answer
  kTruncated,      // the connection ended inside the answer
  kMalformed,      // the bytes are no answer, or not to this request
  kTimedOut,       // no answer in the time for this attempt
  kStageLost,      // a stage of the chain no longer answers
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

// Whether a request was executed.
enum class HasRun { kNo, kMaybe, kYes };

template <>
struct EnumNames<HasRun> {
  static constexpr EnumName<HasRun> kTable[] = {
      {HasRun::kNo, "no"},
      {HasRun::kMaybe, "maybe"},
      {HasRun::kYes, "yes"},
  };
};

// What may follow an attempt that did not give the caller its answer.
struct AttemptOutcome {
  HasRun has_run = HasRun::kMaybe;
  bool may_try_another = false;  // another upstream may be sent the request
  int status = 502;              // for the caller, if nothing else follows
};

// The one place that says what a failed attempt means. `may_repeat`: the request is idempotent, or
// a stream that may be resumed.
AttemptOutcome ClassifyAttempt(AttemptEvidence evidence, bool may_repeat);

// Whether the requests of a route may run more than once.
bool IsRetrySafe(const Route& route);

// Combines two attempts of one request: it has run if one of them has.
HasRun Combine(HasRun a, HasRun b);

// The upstreams at which one request has run or may have. A route bounds their number; one whose
// process has ended since does not count. Not thread safe.
class RunHistory {
 public:
  // Records a run at the present incarnation of an upstream, which ended with this evidence.
  void Add(const UpstreamTable& upstreams, const std::string& upstream, AttemptEvidence evidence);

  // Number of upstreams that count against the bound of the route.
  std::uint32_t Count(TimePoint now, const UpstreamTable& upstreams) const;

 private:
  struct Run {
    std::uint64_t incarnation = 0;  // 0: not known
    bool connection_ended = false;
  };

  std::map<std::string, Run> m_runs;  // by name of the upstream
};

}  // namespace corneltray

#endif  // CORNELTRAY_ATTEMPT_RULES_H_
