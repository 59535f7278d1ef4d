#include "corneltray/attempt_rules.h"

#include <algorithm>

namespace corneltray {
namespace {

constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
constexpr int kUpstreamStatus = 0;  // the upstream's own answer is passed on

struct Row {
  AttemptEvidence evidence;
  HasRun has_run;
  int status;
};

// 503 promises that the request has not run and will not, so it stands only beside kNo.
constexpr Row kRows[] = {
    {AttemptEvidence::kNotConnected, HasRun::kNo, kUnavailable},
    {AttemptEvidence::kRefused, HasRun::kNo, kUnavailable},
    {AttemptEvidence::kUpstreamError, HasRun::kYes, kUpstreamStatus},
    {AttemptEvidence::kNoAnswer, HasRun::kMaybe, kBadGateway},
    {AttemptEvidence::kTruncated, HasRun::kYes, kBadGateway},
    {AttemptEvidence::kMalformed, HasRun::kMaybe, kBadGateway},
    {AttemptEvidence::kTimedOut, HasRun::kMaybe, kGatewayTimeout},
    {AttemptEvidence::kStageLost, HasRun::kMaybe, kGatewayTimeout},
};

}  // namespace

AttemptOutcome ClassifyAttempt(AttemptEvidence evidence, bool may_repeat) {
  for (const Row& row : kRows) {
    if (row.evidence != evidence) continue;
    return {row.has_run, may_repeat || row.has_run == HasRun::kNo, row.status};
  }
  return {};
}

bool IsRetrySafe(const Route& route) {
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
  const UpstreamRecord* record = upstreams.Find(upstream);
  Run run;
  if (record != nullptr) run.incarnation = record->announcement.incarnation;
  run.connection_ended =
      evidence == AttemptEvidence::kNoAnswer || evidence == AttemptEvidence::kTruncated;
  m_runs[upstream] = run;
}

// Silence alone does not show that a process has ended: it may be frozen, or this host may be cut
// off from it. When it also closed the connection, it has most likely ended.
std::uint32_t RunHistory::Count(TimePoint now, const UpstreamTable& upstreams) const {
  std::uint32_t count = 0;
  for (const auto& [upstream, run] : m_runs) {
    const UpstreamRecord* record = upstreams.Find(upstream);
    const bool is_replaced = record == nullptr || record->has_left ||
                             record->announcement.incarnation != run.incarnation;
    const bool has_ended = is_replaced || (run.connection_ended && !record->IsAlive(now));
    count += has_ended ? 0 : 1;
  }
  return count;
}

}  // namespace corneltray
