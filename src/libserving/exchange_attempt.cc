// Attempts of an Exchange at upstreams: choice, timeouts, failures and retries.
#include <algorithm>
#include <utility>

#include "corneltray/key_lease.h"
#include "corneltray/log.h"
#include "exchange.h"

namespace corneltray {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kFirstFailure = 300;
constexpr int kMisdirectedStatus = 421;
constexpr int kFirstServerError = 500;
constexpr int kLowestUrgency = 9;
// A new connection takes a few milliseconds, but a lost SYN is retransmitted only after a second.
// This timeout tries another upstream well before that.
constexpr std::chrono::milliseconds kConnectTimeout{200};
// An idempotent call is retried at another replica after this multiple of its latency objective.
constexpr int kAttemptTimeoutObjectives = 2;
constexpr std::chrono::milliseconds kMinAttemptTime{250};
// The silence after which a request is taken from another entry host. That host needs about one
// second to notice that an engine is silent.
constexpr std::chrono::milliseconds kHostSilence{1300};
// After this time without an event, the report of the first stage of a stream is requested.
constexpr std::chrono::milliseconds kSilenceBeforeCheck{250};
// Before its first event a stream also waits for other prompts, which is not a failure.
constexpr std::chrono::milliseconds kSilenceBeforeFirstCheck{600};
// A refusal after this time means that the stage was unresponsive. An immediate refusal means that
// the stage is full or is releasing its layers.
constexpr std::chrono::milliseconds kStallBeforeRefusal{1500};
// If no chain is available, a request that has started to run waits this long for one.
constexpr std::chrono::milliseconds kChainWait{1600};
// Attempts beyond the limit of the route, because refused attempts do not run the request.
constexpr std::uint32_t kExtraAttempts = 1;
// Attempts of one request that end before they reach an upstream.
constexpr std::uint32_t kMaxUnofferedAttempts = 12;
// An answer that its caller has in part is not given up because the engines are full for a moment:
// it is offered again after this pause, up to this number of times. Callers leave a stream that is
// silent for two seconds.
constexpr std::chrono::milliseconds kRoomPause{150};
constexpr std::uint32_t kMaxRoomWaits = 4;
// A request waits this long at most for an upstream that has named a limit.
constexpr std::chrono::milliseconds kMaxRateWait{500};
constexpr std::size_t kMaxBufferedResponseBytes = std::size_t{16} * 1024 * 1024;

AttemptEvidence EvidenceOf(UpstreamFailure failure) {
  switch (failure) {
    case UpstreamFailure::kNotConnected:
      return AttemptEvidence::kNotConnected;
    case UpstreamFailure::kNoAnswer:
      return AttemptEvidence::kNoAnswer;
    case UpstreamFailure::kTruncated:
      return AttemptEvidence::kTruncated;
    case UpstreamFailure::kMalformed:
      return AttemptEvidence::kMalformed;
  }
  return AttemptEvidence::kMalformed;
}

// Returns whether a cut between this host and its upstreams would look like this.
bool IsLostConnection(AttemptEvidence evidence) {
  return evidence == AttemptEvidence::kNotConnected || evidence == AttemptEvidence::kNoAnswer ||
         evidence == AttemptEvidence::kTruncated;
}

// Returns whether the upstream is likely to fail the next request as well. A response that was
// rejected after its head may concern one request only. One without a valid head is a fault: it
// comes quickly, so its upstream would seem the least loaded and get most requests.
bool IsFaultOfUpstream(AttemptEvidence evidence, bool has_head) {
  if (evidence == AttemptEvidence::kMalformed) return !has_head;
  return evidence != AttemptEvidence::kRefused;
}

}  // namespace

void Exchange::SendAttempt() {
  const TimePoint now = Clock::now();
  if (WaitForReach(now, /*has_target=*/true)) return;
  if (IsToBeHandedBack()) return HandBack();
  Attempt attempt;
  if (!ChooseTarget(now, &attempt)) {
    if (WaitForReach(now, /*has_target=*/false)) return;
    if (WaitForHost(now) || WaitForRateLimit(now)) return;
    if (m_has_run == HasRun::kNo) return Refuse(GatewayRefusal::kNoUpstream);
    if (!IsStream()) {
      return Fail(ClassifyAttempt(m_last_evidence, IsRetrySafe(*m_request.route)).status);
    }
    // The layers are reloaded within about a second, and the caller keeps the events it
    // has received.
    if (!m_chain_wait_deadline) m_chain_wait_deadline = now + kChainWait;
    return;
  }
  m_chain_wait_deadline.reset();
  attempt.number = ++m_attempts;
  const UpstreamTableEntry* record = m_gateway->Upstreams().Find(attempt.upstream);
  if (record != nullptr) attempt.incarnation = record->announcement.incarnation;
  attempt.started_at = now;
  attempt.deadline = AttemptDeadline(now, attempt);
  attempt.last_event_at = now;
  attempt.check_at = now + kSilenceBeforeFirstCheck;
  m_attempt = std::move(attempt);
  RecordBegin();
  LogAttemptSent(now);
  UpstreamRequest request;
  request.address = m_attempt->address;
  request.bytes = FormatAttempt(now);
  request.without_body = m_request.head.method == "HEAD";
  // If the upstream closes a pooled connection while a request is sent on it, it is unknown whether
  // the request has run.
  request.fresh_connection = m_request.route->kind == CallKind::kNonIdempotent;
  request.connect_deadline = std::min(m_request.deadline, now + kConnectTimeout);
  const Dialect* dialect = &m_gateway->GetDialect();
  request.is_answer = [dialect, id = m_request.metadata.request_id](const HttpHead& head) {
    const std::string given = dialect->ReadResponse(head).request_id;
    return given == id || (given.empty() && head.status >= kFirstFailure);
  };
  m_attempt->call = m_gateway->Pool().Send(std::move(request), Callbacks());
}

TimePoint Exchange::AttemptDeadline(TimePoint now, const Attempt& attempt) const {
  const bool is_last = m_attempts - m_unoffered >= MaxUpstreams(m_request);
  if (!IsRetrySafe(*m_request.route) || (is_last && !attempt.host)) return m_request.deadline;
  // Another host moves the request from a silent upstream by itself.
  if (attempt.host) {
    const Duration wait = HasBegun() ? Duration::zero() : 2 * m_request.route->objective;
    return std::min(m_request.deadline, now + kHostSilence + wait);
  }
  const Duration time =
      std::max<Duration>(kMinAttemptTime, m_request.route->objective * kAttemptTimeoutObjectives);
  return std::min(m_request.deadline, now + time);
}

// Counts the attempt at its host, or at its upstream and against the limits of that.
void Exchange::RecordBegin() {
  if (m_attempt->host) return m_gateway->GetForwardHosts().Begin(m_attempt->address);
  if (EngineRouter* router = Router()) {
    m_attempt->tokens = HeldTokens(m_request);
    router->Begin(m_attempt->chain, m_attempt->tokens);
    const bool is_repeat = m_attempts - m_unoffered > 1;
    if (is_repeat) m_gateway->ChargeRepeat(m_request.service->name, m_attempt->tokens);
  } else {
    m_gateway->PickerOf(m_request.service->name).Begin(m_attempt->address);
  }
  RecordRequest();
}

void Exchange::WaitForChain(TimePoint now) {
  if (now < *m_chain_wait_deadline) {
    if (now < m_chain_wait_until) return;
    // The part may have been quarantined since the request began to wait.
    return IsToBeTakenBack() ? EndQuarantined() : SendAttempt();
  }
  m_chain_wait_deadline.reset();
  Fail(ClassifyAttempt(m_last_evidence, IsRetrySafe(*m_request.route)).status);
}

// Holds a request back that no upstream has run, if one takes it soon at its limit. Returns false
// if none does while its caller can be served in time.
bool Exchange::WaitForRateLimit(TimePoint now) {
  if (m_has_run != HasRun::kNo || HasBegun()) return false;
  const auto end = m_gateway->EndOfRateInterval(now, m_request.service->name);
  const Duration wait = std::min<Duration>(kMaxRateWait, m_request.route->objective / 2);
  const TimePoint latest = std::min(m_request.deadline, m_request.read_at + wait);
  if (!end || *end > latest) return false;
  m_chain_wait_deadline = latest + kChainWait;
  m_chain_wait_until = *end;
  return true;
}

// Offers an answer in progress again later, because all engines that it was offered to are full.
// Returns false if this was done often enough.
bool Exchange::WaitForRoom(TimePoint now) {
  const bool has_tries = HasBegun() && m_room_waits < kMaxRoomWaits;
  if (!has_tries || m_last_evidence != AttemptEvidence::kRefused) return false;
  if (CountRuns(now, m_runs) >= MaxUpstreams(m_request)) return false;
  ++m_room_waits;
  m_full.clear();
  m_chain_wait_deadline = now + kChainWait;
  m_chain_wait_until = now + kRoomPause;
  return true;
}

bool Exchange::ChooseTarget(TimePoint now, Attempt* attempt) {
  return UsesHosts(now) ? ChooseHost(now, attempt) : ChooseUpstream(now, attempt);
}

bool Exchange::ChooseUpstream(TimePoint now, Attempt* attempt) {
  const UpstreamTable& upstreams = m_gateway->Upstreams();
  std::set<std::string> excluded = m_excluded;
  excluded.insert(m_full.begin(), m_full.end());
  m_gateway->AddBlocked(now, &excluded);
  if (EngineRouter* router = Router()) {
    std::optional<TimePoint> first_event_by;
    if (!HasBegun()) first_event_by = m_request.read_at + m_request.route->objective;
    ChainChoice choice = router->Choose(now, upstreams, excluded, first_event_by);
    for (const std::string& engine : choice.limited) m_gateway->Pace().Limited(engine);
    m_scope = choice.scope;
    if (choice.stages.empty()) return false;
    attempt->upstream = choice.stages.front().upstream;
    attempt->address = choice.stages.front().address;
    attempt->chain = std::move(choice.stages);
    attempt->load = choice.load;
    return true;
  }
  const auto choice = m_gateway->PickerOf(m_request.service->name).Choose(now, upstreams, excluded);
  if (!choice) return false;
  m_scope = choice->is_own_zone ? ChainScope::kOwnZone : ChainScope::kOtherZone;
  attempt->upstream = choice->upstream;
  attempt->address = choice->address;
  attempt->load = choice->load;
  if (!choice->limited.empty()) m_gateway->Pace().Limited(choice->limited);
  return true;
}

// Counts the attempt against the limits of its upstream, or of all stages of its chain.
void Exchange::RecordRequest() const {
  if (m_attempt->chain.empty()) return m_gateway->RecordRequestTo(m_attempt->upstream);
  for (const ChainStage& stage : m_attempt->chain) m_gateway->RecordRequestTo(stage.upstream);
}

void Exchange::LogAttemptSent(TimePoint now) const {
  std::string chain;
  for (const ChainStage& stage : m_attempt->chain) {
    chain += chain.empty() ? "" : " ";
    chain += stage.upstream + "=" + std::to_string(stage.first) + "-" + std::to_string(stage.end);
  }
  const auto left = std::chrono::duration_cast<milliseconds>(m_request.deadline - now);
  LogEvent(LogLevel::kInfo, "attempt_sent",
           {{"request_id", m_request.metadata.request_id},
            {"attempt", m_attempt->number},
            {"upstream", m_attempt->upstream},
            {"address", m_attempt->address},
            {"forwarded_to", m_attempt->host ? m_attempt->host->name : ""},
            {"chain", chain},
            {"scope", NameOf(m_scope)},
            {"load", m_attempt->load},
            {"upstreams_generation", m_gateway->Upstreams().Generation()},
            {"time_left_ms", left.count()}});
}

void Exchange::LogRateLimit(int status, double limit) const {
  LogEvent(LogLevel::kInfo, "upstream_limit_named",
           {{"request_id", m_request.metadata.request_id},
            {"upstream", m_attempt->upstream},
            {"address", m_attempt->address},
            {"stages", m_attempt->chain.size()},
            {"status", status},
            {"requests_per_s", limit}});
}

std::string Exchange::FormatAttempt(TimePoint now) const {
  HttpHead head = m_request.head;
  const bool has_body = !m_call.Body().empty() || head.Find("Content-Length") != nullptr ||
                        head.Find("Transfer-Encoding") != nullptr;
  RemoveConnectionFields(&head);
  head.Remove("Content-Length");
  if (has_body) head.Add("Content-Length", std::to_string(m_call.Body().size()));
  const auto left = std::chrono::duration_cast<milliseconds>(m_request.deadline - now);
  const milliseconds time_left = std::max(left, milliseconds(1));
  const std::string last_event_id = IsStream() ? m_stream.events.LastId() : "";
  if (m_attempt->host) {
    m_gateway->GetDialect().WriteForward({time_left, last_event_id}, &head);
    WriteForwardedRequest(
        m_gateway->SharedKey(), m_request.metadata.request_id,
        {m_gateway->HostName(), m_gateway->RouteVersion(), m_attempt->host_upstreams}, &head);
    return FormatRequestHead(head) + m_call.Body();
  }
  AttemptMetadata metadata;
  metadata.upstream = m_attempt->upstream;
  metadata.time_left = time_left;
  if (m_request.customer != nullptr) metadata.customer = m_request.customer->name;
  metadata.chain = m_attempt->chain;
  if (IsStream()) {
    metadata.urgency = std::min<std::uint32_t>(m_request.priority, kLowestUrgency);
    metadata.last_event_id = last_event_id;
  }
  m_gateway->GetDialect().WriteAttempt(metadata, &head);
  return FormatRequestHead(head) + m_call.Body();
}

UpstreamCallbacks Exchange::Callbacks() {
  const std::weak_ptr<Exchange> weak = weak_from_this();
  const std::uint32_t number = m_attempt->number;
  // Returns the exchange as long as this attempt is the current one, else null.
  const auto current = [weak, number]() -> std::shared_ptr<Exchange> {
    auto self = weak.lock();
    const bool is_current = self && self->m_attempt && self->m_attempt->number == number;
    return is_current ? self : nullptr;
  };
  UpstreamCallbacks callbacks;
  callbacks.on_head = [current](HttpHead head) {
    if (const auto self = current()) self->OnHead(std::move(head));
  };
  callbacks.on_body = [current](std::string_view bytes) {
    if (const auto self = current()) self->OnBody(bytes);
  };
  callbacks.on_end = [current] {
    if (const auto self = current()) self->OnEnd();
  };
  callbacks.on_failure = [current](UpstreamFailure failure) {
    if (const auto self = current()) self->OnFailure(failure);
  };
  return callbacks;
}

void Exchange::OnHead(HttpHead head) {
  if (m_attempt->host) return OnHostHead(std::move(head));
  const ResponseMetadata metadata = m_gateway->GetDialect().ReadResponse(head);
  RecordLoad(metadata);
  if (metadata.is_leaving) m_gateway->ReportLeaving(m_attempt->upstream, m_attempt->incarnation);
  if (metadata.retry_after) {
    m_gateway->ReportPause(m_attempt->upstream, m_attempt->incarnation, *metadata.retry_after);
  }
  if (metadata.rate_limit) LogRateLimit(head.status, *metadata.rate_limit);
  // A 421 may come from another upstream than the addressed one.
  if (head.status != kMisdirectedStatus) {
    m_gateway->ReportRateLimit(m_attempt->upstream, m_attempt->incarnation, m_attempt->started_at,
                               metadata.rate_limit);
  }
  KeepHead(std::move(head), metadata);
  if (metadata.is_not_run) return OnRefused(metadata);
  CheckHead(metadata);
}

void Exchange::KeepHead(HttpHead head, const ResponseMetadata& metadata) {
  m_attempt->head = std::move(head);
  m_attempt->faulty_address = metadata.faulty_address;
  m_attempt->is_event_stream =
      IsStream() && m_attempt->head.status < kFirstFailure &&
      m_attempt->head.Value("Content-Type").find("event-stream") != std::string_view::npos;
}

void Exchange::CheckHead(const ResponseMetadata& metadata) {
  const bool is_success = m_attempt->head.status < kFirstFailure;
  if (is_success && (!metadata.is_authentic || metadata.is_encoded)) {
    return EndAttempt(AttemptEvidence::kMalformed);
  }
  // A stream that was started for the caller cannot be replaced by another response.
  if (HasBegun() && !m_attempt->is_event_stream) EndAttempt(AttemptEvidence::kUpstreamError);
}

void Exchange::RecordLoad(const ResponseMetadata& metadata) {
  if (!metadata.load) return;
  const TimePoint now = Clock::now();
  if (EngineRouter* router = Router()) {
    router->Report(now, m_attempt->address, *metadata.load);
  } else {
    m_gateway->PickerOf(m_request.service->name).Report(now, m_attempt->address, *metadata.load);
  }
}

void Exchange::OnRefused(const ResponseMetadata& metadata) {
  // In a chain, a later stage than the first one may have refused.
  const std::string faulty =
      metadata.faulty_address.empty() ? m_attempt->address : metadata.faulty_address;
  m_full.insert(faulty);
  const TimePoint now = Clock::now();
  if (Router() != nullptr && now - m_attempt->started_at >= kStallBeforeRefusal) {
    return EndAttemptOnLostEngine(AttemptEvidence::kRefused,
                                  EngineLoss{faulty, EngineLossReason::kRefusedAfterStall});
  }
  if (EngineRouter* router = Router()) {
    if (!router->IsNearlyFull(now, faulty)) m_gateway->RequestHealthCheck(faulty);
    router->MarkFull(now, faulty);
  } else {
    m_gateway->PickerOf(m_request.service->name).RecordRefusal(now, faulty);
  }
  EndAttempt(AttemptEvidence::kRefused);
}

void Exchange::OnBody(std::string_view bytes) {
  const TimePoint now = Clock::now();
  m_attempt->last_event_at = now;
  m_attempt->check_at = now + kSilenceBeforeCheck;
  m_attempt->is_stage_lost = false;
  if (m_attempt->host) m_attempt->deadline = AttemptDeadline(now, *m_attempt);
  if (m_attempt->is_event_stream) return ForwardEvents(bytes);
  const bool is_over = m_attempt->body.size() + bytes.size() > kMaxBufferedResponseBytes;
  if (is_over || !m_gateway->ReserveResponseBytes(bytes.size())) {
    return EndAttempt(AttemptEvidence::kMalformed);
  }
  m_attempt->body_bytes += bytes.size();
  m_attempt->body.append(bytes);
}

void Exchange::OnEnd() {
  const int status = m_attempt->head.status;
  if (status >= kFirstServerError) {
    // The error response is forwarded unless another upstream succeeds.
    m_fallback_response = FallbackResponse{m_attempt->head, std::move(m_attempt->body),
                                           m_attempt->upstream, m_attempt->incarnation};
    return EndAttempt(AttemptEvidence::kUpstreamError);
  }
  if (m_attempt->is_event_stream) return FinishStream();
  const Duration latency = Clock::now() - m_attempt->started_at;
  if (Router() == nullptr && !m_attempt->host) {
    m_gateway->PickerOf(m_request.service->name)
        .RecordSuccess(Clock::now(), m_attempt->address, latency);
  }
  FinishBuffered();
}

void Exchange::OnFailure(UpstreamFailure failure) { EndAttempt(EvidenceOf(failure)); }

void Exchange::EndAttempt(AttemptEvidence evidence) {
  if (m_attempt->host) return EndAttemptOnLostEngine(evidence, std::nullopt);
  if (Router() != nullptr && evidence == AttemptEvidence::kNoAnswer) {
    return EndAttemptOnLostEngine(
        evidence, EngineLoss{m_attempt->address, EngineLossReason::kConnectionClosed});
  }
  if (Router() != nullptr && evidence == AttemptEvidence::kNotConnected) {
    return EndAttemptOnLostEngine(evidence,
                                  EngineLoss{m_attempt->address, EngineLossReason::kNotConnected});
  }
  EndAttemptOnLostEngine(evidence, std::nullopt);
}

void Exchange::EndAttemptOnLostEngine(AttemptEvidence evidence,
                                      const std::optional<EngineLoss>& loss) {
  const TimePoint now = Clock::now();
  const AttemptOutcome outcome = ClassifyAttempt(evidence, IsRetrySafe(*m_request.route));
  if (!m_attempt->host && IsLostConnection(evidence)) m_gateway->SuspectIsolation();
  const bool is_offered = WasOffered(evidence);
  RecordFailedAttempt(now, evidence, loss);
  const bool has_time = now < m_request.deadline;
  const bool may_try_now = has_time && CanRetry(outcome, CountRuns(now, m_runs));
  if (may_try_now || (has_time && outcome.may_try_another && WaitForRoom(now))) {
    // Repeated offers to full engines must not use up what other answers need to go on.
    // Without an attempt at an upstream, the next one is no retry.
    const RetryPurpose purpose = may_try_now ? NextPurpose() : RetryPurpose::kRefused;
    if (!is_offered || TryRetry(now, purpose)) {
      return may_try_now ? SendAttempt() : void();
    }
    m_chain_wait_deadline.reset();
  }
  Fail(outcome.status);
}

void Exchange::RecordFailedAttempt(TimePoint now, AttemptEvidence evidence,
                                   const std::optional<EngineLoss>& loss) {
  const HasRun has_run = ClassifyAttempt(evidence, IsRetrySafe(*m_request.route)).has_run;
  m_last_evidence = evidence;
  m_has_run = Combine(m_has_run, has_run);
  if (has_run != HasRun::kNo) {
    m_host_runs += m_attempt->host_upstreams;
    if (!m_attempt->host) m_runs.Add(m_gateway->Upstreams(), m_attempt->upstream, evidence);
  }
  if (!WasOffered(evidence)) ++m_unoffered;
  LogAttemptFailure(now, evidence, has_run);
  if (evidence == AttemptEvidence::kNoAnswer) RecordCrash(CrashPhase::kBeforeHead);
  if (evidence == AttemptEvidence::kTruncated) RecordCrash(CrashPhase::kBeforeFirstEvent);
  RecordFault(now, evidence);
  CancelAttempt();
  m_stream.events.Restart();
  if (!loss) return;
  m_excluded.insert(loss->address);
  // This also fails over the other requests. This one has no attempt now, so it is not affected.
  m_gateway->ReportSuspectedEngine(*loss);
}

RetryPurpose Exchange::NextPurpose() const {
  const bool is_untouched = m_has_run == HasRun::kNo && !HasBegun();
  return is_untouched ? RetryPurpose::kRefused : RetryPurpose::kFinish;
}

bool Exchange::TryRetry(TimePoint now, RetryPurpose purpose) const {
  const std::string& service = m_request.service->name;
  if (m_gateway->TryRetry(service, purpose)) return true;
  const RetryUse use = m_gateway->BudgetOf(service).Use(now, BootTimeNow());
  LogEvent(LogLevel::kWarning, "retry_refused",
           {{"request_id", m_request.metadata.request_id},
            {"service", service},
            {"purpose", NameOf(purpose)},
            {"used_here", use.retries},
            {"quota", use.quota}});
  return false;
}

void Exchange::LogAttemptFailure(TimePoint now, AttemptEvidence evidence, HasRun has_run) const {
  const std::chrono::duration<double, std::milli> after = now - m_attempt->started_at;
  LogEvent(LogLevel::kWarning, "attempt_failed",
           {{"request_id", m_request.metadata.request_id},
            {"attempt", m_attempt->number},
            {"upstream", m_attempt->upstream},
            {"address", m_attempt->address},
            {"stages", m_attempt->chain.size()},
            {"evidence", NameOf(evidence)},
            {"has_run", NameOf(has_run)},
            {"status", m_attempt->head.status},
            {"faulty_address", m_attempt->faulty_address},
            {"events", m_attempt->events},
            {"prompt_parts", m_request.metadata.shared_prompt_parts},
            {"after_ms", after.count()}});
  m_gateway->GetMetrics().Count("attempts_failed", NameOf(evidence));
}

void Exchange::RecordFault(TimePoint now, AttemptEvidence evidence) {
  // For these kinds of evidence the caller has already excluded the failed stage.
  if (evidence == AttemptEvidence::kRefused || evidence == AttemptEvidence::kStageLost) return;
  if (std::exchange(m_attempt->is_fault_recorded, true)) return;
  if (m_attempt->host) return AvoidHost(now, evidence);
  const std::string& address = m_attempt->address;
  m_excluded.insert(address);
  const bool has_head = m_attempt->head.status != 0;
  if (Router() != nullptr || !IsFaultOfUpstream(evidence, has_head)) return;
  ServicePicker& picker = m_gateway->PickerOf(m_request.service->name);
  if (evidence == AttemptEvidence::kNotConnected) picker.MarkUnreachable(now, address);
  picker.RecordFailure(now, address);
}

// An upstream that crashes on a prompt does so when it begins the answer, so a crash in the middle
// of an answer says nothing about its prompt.
void Exchange::RecordCrash(CrashPhase phase) {
  if (m_attempt->events > 0 || m_attempt->host) return;
  if (std::exchange(m_attempt->is_crash_recorded, true)) return;
  m_gateway->ReportCrash(m_attempt->upstream, phase, m_request.metadata.shared_prompt_parts);
}

// Releases the resources of the current attempt, if there is one.
void Exchange::CloseAttempt() {
  if (!m_attempt) return;
  m_gateway->ReleaseResponseBytes(m_attempt->body_bytes);
  if (m_attempt->host) {
    m_gateway->GetForwardHosts().End(m_attempt->address);
  } else if (EngineRouter* router = Router()) {
    router->End(m_attempt->chain, m_attempt->tokens);
  } else {
    m_gateway->PickerOf(m_request.service->name).End(m_attempt->address);
  }
  m_attempt.reset();
}

// Also cancels the request at the upstream.
void Exchange::CancelAttempt() {
  if (m_attempt) m_attempt->call.Cancel();
  CloseAttempt();
}

bool Exchange::CanRetry(const AttemptOutcome& outcome, std::uint32_t runs) const {
  if (!outcome.may_try_another) return false;
  if (m_gateway->IsQuarantined(m_request.metadata.shared_prompt_parts)) return false;
  if (m_unoffered >= kMaxUnofferedAttempts) return false;
  const std::uint32_t allowed = MaxUpstreams(m_request);
  return runs < allowed && m_attempts - m_unoffered < allowed + kExtraAttempts;
}

std::uint32_t Exchange::CountRuns(TimePoint now, const RunHistory& runs) const {
  return runs.Count(now, m_gateway->Upstreams()) + m_host_runs;
}

}  // namespace corneltray
