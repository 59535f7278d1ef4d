#include "answer_runner.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <thread>

#include "corneltray/background_queue.h"
#include "corneltray/log.h"
#include "corneltray/metrics.h"
#include "corneltray/routing_state.h"
#include "corneltray/upstream_client.h"
#include "route_log.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

// Pause between two looks for a chain or a retry while none is to be had.
constexpr milliseconds kRetryPoll{20};
// The watchdog asks every 20 ms; looking at the caller's socket each time costs a system call for
// each open stream. 100 ms are early enough for an engine to be freed.
constexpr unsigned kChecksPerHangUp = 5;

AnswerSpec SpecOf(const RequestContext& context, const CompletionCall& call) {
  const RoutingConfig& routing = context.configuration->routing;
  return {context.request_id,
          {call.model, call.config.version, call.adapter},
          call.config.layers,
          call.max_tokens,
          milliseconds(routing.first_token_timeout_ms),
          milliseconds(routing.progress_timeout_ms),
          context.deadline};
}

ResumeReason ReasonOf(CallEnd end) {
  switch (end) {
    case CallEnd::kConnectFailed:
      return ResumeReason::kConnectFailed;
    case CallEnd::kRefused:
      return ResumeReason::kRefused;
    case CallEnd::kCancelled:
      return ResumeReason::kNoProgress;
    case CallEnd::kComplete:
    case CallEnd::kStopped:
    case CallEnd::kBroken:
      return ResumeReason::kStreamClosed;
  }
  return ResumeReason::kStreamClosed;
}

std::vector<std::string> StageNames(const Chain& chain) {
  std::vector<std::string> names;
  for (const Stage& stage : chain.stages) names.push_back(stage.name);
  return names;
}

// Returns the engines that an ended attempt is blamed on: the one that is known to have failed, or
// all of the chain.
std::vector<std::string> Blamed(const ResumeAnswer& resume, const Chain& chain) {
  std::vector<std::string> all = StageNames(chain);
  if (std::find(all.begin(), all.end(), resume.failed_stage) != all.end()) {
    return {resume.failed_stage};
  }
  const bool first_stage = resume.reason == ResumeReason::kConnectFailed ||
                           resume.reason == ResumeReason::kRefused ||
                           resume.reason == ResumeReason::kMalformed;
  if (first_stage) return {all.front()};
  return all;
}

}  // namespace

AnswerRunner::AnswerRunner(const EntryContext* entry, const RequestContext* context)
    : m_entry(entry),
      m_context(context),
      m_call(&std::get<CompletionCall>(context->call)),
      m_key{m_call->model, m_call->config.version, m_call->adapter},
      m_prefix_hash(PrefixHash(m_key, m_call->prompt)),
      m_stream(SpecOf(*context, *m_call)) {}

AnswerRunner::Outcome AnswerRunner::Run(const TokenReceiver& on_token) {
  m_last_token_at = m_context->arrived_at;
  std::optional<Route> route = m_context->route;
  for (;;) {
    if (!route) route = NextRoute();
    std::optional<AnswerAction> action;
    if (!route) {
      action = m_stream.GiveUp();
    } else if (const Status begun = m_stream.BeginAttempt(route->chain, Clock::now()); !begun) {
      LogEvent(LogLevel::kError, "chain_refused",
               {{"request_id", m_context->request_id}, {"detail", begun.error().ToString()}});
      action = m_stream.GiveUp();
    } else {
      LogChain(*m_context, *route, m_stream.Attempt());
      action = RunAttempt(*route, on_token);
    }
    if (!action || m_hung_up) return {"", std::nullopt, true};
    if (const auto* finish = std::get_if<FinishAnswer>(&*action)) {
      if (route) ReportSuccess(route->chain);
      return {finish->finish_reason, std::nullopt, false};
    }
    if (const auto* fail = std::get_if<FailAnswer>(&*action)) {
      return {"", fail->failure, false};
    }
    HandleResume(std::get<ResumeAnswer>(*action), *route);
    route.reset();
    if (!WaitForRetry()) {
      if (IsGone()) return {"", std::nullopt, true};
      const AnswerAction end = m_stream.GiveUp();
      return {"", std::get<FailAnswer>(end).failure, false};
    }
  }
}

bool AnswerRunner::IsGone() const { return m_hung_up || m_context->http.has_hung_up(); }

bool AnswerRunner::WaitForRetry() {
  while (Clock::now() < m_context->deadline && !IsGone()) {
    if (m_entry->routing->TryRetry()) return true;
    std::this_thread::sleep_for(kRetryPoll);
  }
  return false;
}

std::optional<Route> AnswerRunner::NextRoute() {
  while (Clock::now() < m_context->deadline && !IsGone()) {
    Result<Route> route = m_entry->routing->ChooseChain(m_key, m_call->config.layers, m_prefix_hash,
                                                        m_excluded, m_call->priority);
    if (route) return std::move(route).value();
    // A chain with an engine that failed before is better than none: the failure may have passed.
    if (m_excluded.empty()) LogNoRoute(*m_context, route.error());
    m_excluded.clear();
    std::this_thread::sleep_for(kRetryPoll);
  }
  return std::nullopt;
}

std::optional<AnswerAction> AnswerRunner::RunAttempt(const Route& route,
                                                     const TokenReceiver& on_token) {
  const WorkTicket work(m_entry->routing, StageNames(route.chain));
  m_entry->routing->RecordPrefix(m_prefix_hash, route.chain.stages.front().name);
  m_expires_at = m_stream.NextDeadline().time_since_epoch().count();
  m_attempt_tokens = 0;
  GenerateRequest request{m_context->request_id,
                          m_stream.Attempt(),
                          m_call->priority,
                          m_call->prompt,
                          m_stream.Tokens(),
                          m_call->max_tokens,
                          m_context->deadline_unix_ms,
                          route.chain};
  std::optional<AnswerAction> last;
  int status = 0;
  const CallEnd end = m_entry->engines->Generate(
      request,
      [&](const std::string& data) {
        return HandleEvent(data, route.chain.stages.front().name, on_token, &last);
      },
      [this, checks = 0U](TimePoint now) mutable {
        if (++checks % kChecksPerHangUp == 0 && m_context->http.has_hung_up()) m_hung_up = true;
        return m_hung_up || now.time_since_epoch().count() >= m_expires_at;
      },
      &status);
  if (m_hung_up) return std::nullopt;
  if (last) return last;
  const TimePoint now = Clock::now();
  if (auto late = m_stream.Tick(now)) return late;
  return m_stream.HandleAttemptFailure(ReasonOf(end), now);
}

// Returns false to end the attempt; `last` then holds the action, unless the caller has hung up.
bool AnswerRunner::HandleEvent(const std::string& data, const std::string& first_stage,
                               const TokenReceiver& on_token, std::optional<AnswerAction>* last) {
  const TimePoint now = Clock::now();
  const Result<EngineEvent> event = DecodeEngineEvent(data);
  const AnswerAction action = event ? m_stream.HandleEvent(event.value(), now)
                                    : m_stream.HandleAttemptFailure(ResumeReason::kMalformed, now);
  if (event) {
    const auto* token = std::get_if<TokenEvent>(&event.value());
    if (token != nullptr && token->load) m_entry->routing->ReportLoad(first_stage, *token->load);
  }
  if (const auto* token = std::get_if<DeliverToken>(&action)) return Deliver(*token, on_token);
  if (const auto* discard = std::get_if<DiscardEvent>(&action)) {
    m_entry->metrics->Count("discarded_events", NameOf(discard->reason));
    return true;
  }
  *last = action;
  return false;
}

bool AnswerRunner::Deliver(const DeliverToken& token, const TokenReceiver& on_token) {
  const TimePoint received_at = Clock::now();
  if (token.index == 0) {
    m_entry->metrics->RecordFirstToken(received_at - m_last_token_at);
  } else {
    m_entry->metrics->RecordTokenGap(received_at - m_last_token_at);
  }
  m_last_token_at = received_at;
  if (m_attempt_tokens++ == 0) m_attempt_first_token_at = received_at;
  // While a slow caller takes in the text, the engine is not the one that is late.
  m_expires_at = m_context->deadline.time_since_epoch().count();
  if (!on_token(token)) {
    m_hung_up = true;
    return false;
  }
  m_stream.RestartProgress(Clock::now());
  m_expires_at = m_stream.NextDeadline().time_since_epoch().count();
  return true;
}

void AnswerRunner::HandleResume(const ResumeAnswer& resume, const Route& route) {
  m_entry->metrics->Count("resumes", NameOf(resume.reason));
  LogEvent(LogLevel::kWarning, "resume",
           {{"request_id", m_context->request_id},
            {"attempt", m_stream.Attempt()},
            {"reason", NameOf(resume.reason)},
            {"failed_stage", resume.failed_stage},
            {"chain", StageNames(route.chain)},
            {"accepted", m_stream.NextIndex()}});
  for (const std::string& name : Blamed(resume, route.chain)) {
    m_excluded.insert(name);
    m_entry->routing->ReportFailure(m_call->model, name);
  }
  if (resume.reason == ResumeReason::kConnectFailed || resume.reason == ResumeReason::kRefused) {
    return;
  }
  // Engines cancel when the stream is closed; the order covers one that does not notice.
  m_entry->background->Add([engines = m_entry->engines, chain = route.chain,
                            request_id = m_context->request_id, attempt = m_stream.Attempt()] {
    engines->Cancel(chain.stages.front().address, request_id, attempt);
  });
}

// The time for a token is shared out evenly over the layers, so that long and short chains of one
// model compare.
void AnswerRunner::ReportSuccess(const Chain& chain) const {
  if (m_attempt_tokens < 2) return;
  const Duration for_layer = (m_last_token_at - m_attempt_first_token_at) /
                             (static_cast<Duration::rep>(m_attempt_tokens - 1) *
                              std::max<Duration::rep>(m_call->config.layers, 1));
  for (const Stage& stage : chain.stages) {
    m_entry->routing->ReportSuccess(m_call->model, stage.name, for_layer);
  }
}

}  // namespace corneltray
