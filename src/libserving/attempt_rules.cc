#include "corneltray/attempt_rules.h"

#include <algorithm>

namespace corneltray {
namespace {

constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kForwardUpstreamStatus = 0;  // the response of the upstream is forwarded

struct OutcomeRule {
  AttemptEvidence evidence;
  HasRun has_run;
  int status;
};

// 503 guarantees that the request was not and will not be executed, so it is used only with kNo.
constexpr OutcomeRule kOutcomeRules[] = {
    {AttemptEvidence::kNotConnected, HasRun::kNo, kServiceUnavailable},
    {AttemptEvidence::kRefused, HasRun::kNo, kServiceUnavailable},
    {AttemptEvidence::kUpstreamError, HasRun::kYes, kForwardUpstreamStatus},
    {AttemptEvidence::kNoAnswer, HasRun::kMaybe, kBadGateway},
    {AttemptEvidence::kTruncated, HasRun::kYes, kBadGateway},
    {AttemptEvidence::kMalformed, HasRun::kMaybe, kBadGateway},
    {AttemptEvidence::kTimedOut, HasRun::kMaybe, kGatewayTimeout},
    {AttemptEvidence::kStageLost, HasRun::kMaybe, kGatewayTimeout},
};

}  // namespace

AttemptOutcome ClassifyAttempt(AttemptEvidence evidence, bool is_retry_safe) {
  for (const OutcomeRule& rule : kOutcomeRules) {
    if (rule.evidence != evidence) continue;
    return {rule.has_run, is_retry_safe || rule.has_run == HasRun::kNo, rule.status};
  }
  return {};
}

bool IsRetrySafe(const RouteEntry& route) {
  switch (route.kind) {
    case CallKind::kIdempotent:
      return true;
    case CallKind::kNonIdempotent:
      return false;
    case CallKind::kStream:
      return route.is_resumable;
  }
  return false;
}

HasRun Combine(HasRun a, HasRun b) { return std::max(a, b); }

void RunHistory::Add(const UpstreamTable& upstreams, const std::string& upstream,
                     AttemptEvidence evidence) {
  const UpstreamTableEntry* record = upstreams.Find(upstream);
  Run run;
  if (record != nullptr) run.incarnation = record->announcement.incarnation;
  run.connection_ended =
      evidence == AttemptEvidence::kNoAnswer || evidence == AttemptEvidence::kTruncated;
  m_runs[upstream] = run;
}

// Missing announcements alone do not show that a process has ended: it may be suspended or
// unreachable from this host. If its connection was closed as well, it has most likely ended. An
// upstream that is leaving or has left goes on running what it has, so its departure shows nothing,
// and after it missing announcements do not either.
bool RunHistory::HasEnded(TimePoint now, const UpstreamTable& upstreams,
                          const std::string& upstream, const Run& run) {
  const UpstreamTableEntry* record = upstreams.Find(upstream);
  if (record == nullptr || record->announcement.incarnation != run.incarnation) return true;
  const UpstreamTableEntry* holder = upstreams.FindAddress(record->announcement.address);
  if (holder != nullptr && holder != record) return true;
  return run.connection_ended && !record->has_left && !record->IsHeard(now);
}

std::uint32_t RunHistory::Count(TimePoint now, const UpstreamTable& upstreams) const {
  return static_cast<std::uint32_t>(std::count_if(
      m_runs.begin(), m_runs.end(),
      [&](const auto& run) { return !HasEnded(now, upstreams, run.first, run.second); }));
}

}  // namespace corneltray
