// Attempts of an Exchange whose upstream is silent: when they are given up, and when they go on.
#include <algorithm>
#include <utility>

#include "corneltray/log.h"
#include "exchange.h"

namespace corneltray {
namespace {

constexpr std::chrono::milliseconds kCheckInterval{400};
// A request whose chain contains a lost engine fails over once it was silent for this long.
constexpr std::chrono::milliseconds kSilenceBeforeFailover{120};

bool ContainsStage(const std::vector<ChainStage>& chain, const std::string& address) {
  return std::any_of(chain.begin(), chain.end(),
                     [&](const ChainStage& stage) { return stage.address == address; });
}

}  // namespace

void Exchange::CheckSilentStream(TimePoint now) {
  if (Router() == nullptr) return;
  if (now < m_attempt->check_at || m_attempt->is_report_pending) return;
  if (m_attempt->is_stage_lost) {
    return LeaveSilentAttempt(now, AttemptEvidence::kStageLost, std::nullopt);
  }
  m_attempt->is_report_pending = true;
  const std::weak_ptr<Exchange> weak = weak_from_this();
  const std::uint32_t number = m_attempt->number;
  m_gateway->RequestReport(m_attempt->address, [weak, number](const EngineReport* report) {
    if (const auto self = weak.lock()) self->OnReport(number, report);
  });
}

void Exchange::OnEngineLost(TimePoint now, const EngineLoss& loss) {
  if (m_finished || !m_attempt || now - m_attempt->last_event_at < kSilenceBeforeFailover) return;
  if (!ContainsStage(m_attempt->chain, loss.address)) return;
  m_excluded.insert(loss.address);
  // The connection of this request is closed as well, but that was not read yet.
  const bool has_crashed = loss.reason == EngineLossReason::kConnectionClosed;
  if (has_crashed && loss.address == m_attempt->address) {
    RecordCrash(m_attempt->head.status == 0 ? CrashPhase::kBeforeHead
                                            : CrashPhase::kBeforeFirstEvent);
  }
  if (const auto reason = TakeMove(now, AttemptEvidence::kStageLost)) {
    return KeepAttempt(now, AttemptEvidence::kStageLost, *reason);
  }
  RecordFailedAttempt(now, AttemptEvidence::kStageLost, std::nullopt);
  SendAttempt();
}

void Exchange::OnReport(std::uint32_t attempt, const EngineReport* report) {
  if (m_finished || !m_attempt || m_attempt->number != attempt) return;
  const TimePoint now = Clock::now();
  m_attempt->is_report_pending = false;
  if (now < m_attempt->check_at) return;  // an event arrived in the meantime
  m_attempt->check_at = now + kCheckInterval;
  if (report == nullptr) {
    m_gateway->SuspectIsolation();
    const EngineLoss loss{m_attempt->address, EngineLossReason::kNoReport};
    return LeaveSilentAttempt(now, AttemptEvidence::kStageLost, loss);
  }
  for (const std::string& stalled : report->stalled_addresses) {
    if (!ContainsStage(m_attempt->chain, stalled)) continue;
    const EngineLoss loss{stalled, EngineLossReason::kStallsChain};
    return LeaveSilentAttempt(now, AttemptEvidence::kStageLost, loss);
  }
}

void Exchange::LeaveSilentAttempt(TimePoint now, AttemptEvidence evidence,
                                  const std::optional<EngineLoss>& loss) {
  if (evidence == AttemptEvidence::kTimedOut && !m_attempt->host) m_gateway->SuspectIsolation();
  if (loss) m_excluded.insert(loss->address);
  if (const auto reason = TakeMove(now, evidence)) {
    if (IsLeftToForwarder()) return EndAttempt(evidence);
    KeepAttempt(now, evidence, *reason);
    // The last step: it also reaches this request, which may be moved by it.
    if (loss) m_gateway->ReportSuspectedEngine(*loss);
    return;
  }
  RecordFailedAttempt(now, evidence, loss);
  SendAttempt();
}

std::optional<KeepReason> Exchange::TakeMove(TimePoint now, AttemptEvidence evidence) {
  if (!m_attempt->host && m_gateway->IsReachUnknown(now)) return KeepReason::kReachUnknown;
  const AttemptOutcome outcome = ClassifyAttempt(evidence, IsRetrySafe(*m_request.route));
  RunHistory runs = m_runs;
  if (!m_attempt->host) runs.Add(m_gateway->Upstreams(), m_attempt->upstream, evidence);
  const std::uint32_t run_count = CountRuns(now, runs) + m_attempt->host_upstreams;
  if (!CanRetry(outcome, run_count)) return KeepReason::kNotRepeatable;
  if (!HasOtherUpstream(now)) return KeepReason::kNoUpstream;
  if (!TryRetry(now, RetryPurpose::kFinish)) return KeepReason::kNoQuota;
  return std::nullopt;
}

// Its upstream may only be silent for a moment and finish the answer.
void Exchange::KeepAttempt(TimePoint now, AttemptEvidence evidence, KeepReason reason) {
  // The gateway ticks as soon as the reach is known.
  const TimePoint next = reason == KeepReason::kReachUnknown ? now : now + kCheckInterval;
  m_attempt->check_at = next;
  m_attempt->deadline = std::min(m_request.deadline, next);
  m_attempt->is_stage_lost = evidence == AttemptEvidence::kStageLost;
  if (std::exchange(m_attempt->kept_for, reason) == reason) return;
  RecordFault(now, evidence);
  const std::chrono::duration<double, std::milli> after = now - m_attempt->started_at;
  LogEvent(LogLevel::kWarning, "attempt_kept",
           {{"request_id", m_request.metadata.request_id},
            {"attempt", m_attempt->number},
            {"upstream", m_attempt->upstream},
            {"address", m_attempt->address},
            {"evidence", NameOf(evidence)},
            {"reason", NameOf(reason)},
            {"events", m_attempt->events},
            {"after_ms", after.count()}});
  m_gateway->GetMetrics().Count("attempts_kept", NameOf(reason));
}

bool Exchange::HasOtherUpstream(TimePoint now) const {
  const UpstreamTable& upstreams = m_gateway->Upstreams();
  std::set<std::string> excluded = m_excluded;
  excluded.insert(m_full.begin(), m_full.end());
  m_gateway->AddBlocked(now, &excluded);
  if (UsesHosts(now)) {
    excluded.insert(m_attempt->address);
    return m_gateway->GetForwardHosts().HasHost(now, excluded);
  }
  if (const EngineRouter* router = Router()) {
    return !router->Preview(now, upstreams, excluded).stages.empty();
  }
  excluded.insert(m_attempt->address);
  const ServicePicker& picker = m_gateway->PickerOf(m_request.service->name);
  return picker.Preview(now, upstreams, excluded).has_value();
}

}  // namespace corneltray
