#include "booking_runner.h"

#include <openssl/evp.h>

#include <algorithm>
#include <memory>
#include <set>
#include <thread>

#include "corneltray/background_queue.h"
#include "corneltray/booking_client.h"
#include "corneltray/log.h"
#include "corneltray/metrics.h"
#include "corneltray/routing_state.h"
#include "corneltray/upstream_client.h"
#include "route_log.h"
#include "service_runner.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

// One wait for the log. A new leader is found within 3 s, so a command is proposed again meanwhile.
constexpr std::int64_t kProposeTimeoutMs = 1500;
// One try of the service's lookup.
constexpr milliseconds kLookupTimeout{1000};
// How long an outcome is recorded after the caller was answered.
constexpr std::int64_t kBackgroundMs = 60'000;
constexpr milliseconds kSleepSlice{50};
// How often all replicas are tried while no byte can be sent. A burst of connections can overflow
// the accept queue of a healthy replica, which then answers the next attempt.
constexpr int kSendRounds = 3;

std::string HashRequest(const HttpRequest& http, const std::string& target) {
  const std::string text = http.method + "\n" + target + "\n" + http.body;
  unsigned char digest[EVP_MAX_MD_SIZE];
  unsigned int size = 0;
  EVP_Digest(text.data(), text.size(), digest, &size, EVP_sha256(), nullptr);
  constexpr char kDigits[] = "0123456789abcdef";
  std::string hash;
  for (unsigned int i = 0; i < size; ++i) {
    hash.push_back(kDigits[digest[i] >> 4]);
    hash.push_back(kDigits[digest[i] & 15]);
  }
  return hash;
}

const char* NameOfAction(const BookingAction& action) {
  constexpr const char* kNames[] = {"propose", "read", "send", "look_up", "answer"};
  return kNames[action.index()];
}

// Executes the actions of one BookingFlow. Owned by the caller's thread and then by the background
// queue, never by both.
class BookingRunner : public std::enable_shared_from_this<BookingRunner> {
 public:
  BookingRunner(const EntryContext& entry, const RequestContext& context, ApiError refusal)
      : m_entry(entry),
        m_call(std::get<ServiceCallRequest>(context.call)),
        m_request(MakeServiceCall(context)),
        m_refusal(std::move(refusal)),
        m_request_id(context.request_id),
        m_attempt(RandomId()),
        m_deadline(context.deadline),
        m_log_context(context),
        m_flow({{context.customer, m_call.service, m_call.idempotency_key},
                HashRequest(context.http, m_call.target),
                entry.host,
                m_attempt,
                !m_call.config.lookup_path.empty(),
                context.deadline_unix_ms,
                context.configuration->bookings.resolve_after_ms,
                context.configuration->bookings.max_stored_answer_bytes}) {}

  HttpResponse Run(bool refuse) {
    const BookingOutcome outcome =
        RunFlow(refuse ? m_flow.StartRefused(UnixNow()) : m_flow.Start(UnixNow()));
    m_entry.metrics->Count("bookings", NameOf(outcome.outcome));
    const UnixMs now = UnixNow();
    if (const auto next = m_flow.ContinueAfterAnswer(now, now + kBackgroundMs)) {
      m_in_background = true;
      m_entry.background->Add(
          [self = shared_from_this(), action = *next] { self->RunFlow(action); });
    }
    return Respond(outcome);
  }

 private:
  BookingOutcome RunFlow(BookingAction action) {
    for (;;) {
      LogStep(action);
      if (const auto* answer = std::get_if<AnswerBooking>(&action)) return answer->outcome;
      if (m_in_background && m_entry.background->IsStopping()) return {};
      action = std::visit([this](const auto& step) { return Execute(step); }, action);
    }
  }

  // Never reached: RunFlow ends at an answer.
  BookingAction Execute(const AnswerBooking& answer) { return answer; }

  BookingAction Execute(const ProposeBooking& step) {
    WaitUntil(step.not_before);
    return TakeReply(m_entry.control->Propose(step.command, StoreDeadline()));
  }

  BookingAction Execute(const ReadBookingState& step) {
    WaitUntil(step.not_before);
    const Result<BookingReply> reply = m_entry.control->ReadBooking(
        {m_log_context.customer, m_call.service, m_call.idempotency_key}, StoreDeadline());
    if (!reply) return TakeFailure(reply.error());
    return m_flow.HandleReply(reply.value(), UnixNow());
  }

  BookingAction TakeReply(const Result<CommandReply>& reply) {
    if (!reply) return TakeFailure(reply.error());
    const auto* booking = std::get_if<BookingReply>(&reply.value());
    if (booking == nullptr) {
      return m_flow.HandleControlFailure(ControlErrc::kMalformedReply, UnixNow());
    }
    return m_flow.HandleReply(*booking, UnixNow());
  }

  BookingAction TakeFailure(const Error& error) {
    LogEvent(LogLevel::kWarning, "booking_store_failed",
             {{"request_id", m_request_id}, {"detail", error.ToString()}});
    const bool not_proposed = error.code == make_error_code(ControlErrc::kNotProposed);
    return m_flow.HandleControlFailure(
        not_proposed ? ControlErrc::kNotProposed : ControlErrc::kUnavailable, UnixNow());
  }

  BookingAction Execute(const SendBooking& step) {
    Result<ReplicaRoute> route = m_entry.routing->ChooseReplica(m_call.service, m_tried);
    if (!route && !m_tried.empty() && ++m_rounds < kSendRounds) {
      std::this_thread::sleep_for(kSleepSlice);
      m_tried.clear();
      route = m_entry.routing->ChooseReplica(m_call.service, m_tried);
    }
    // The check comes last before the call, because the process may have been frozen until now.
    if (!route || UnixNow() >= step.send_before || Clock::now() >= m_deadline) {
      return m_flow.HandleSend(NotSent{false}, UnixNow());
    }
    const ServiceReplica& replica = route.value().replica;
    LogReplica(m_log_context, route.value(), ++m_sends);
    m_tried.insert(replica.name);
    const WorkTicket work(m_entry.routing, {replica.name});
    const TimePoint begin = Clock::now();
    ServiceResponse answer =
        m_entry.services->Call(replica.address, m_request, m_deadline, nullptr);
    if (answer.end == CallEnd::kComplete) {
      m_entry.routing->ReportSuccess(m_call.service, replica.name, Clock::now() - begin);
      return m_flow.HandleSend(AnswerComplete{{static_cast<std::uint32_t>(answer.status),
                                               answer.content_type, std::move(answer.body), true}},
                               UnixNow());
    }
    m_entry.routing->ReportFailure(m_call.service, replica.name);
    if (answer.end == CallEnd::kConnectFailed) {
      m_entry.metrics->Count("booking_connects_failed", m_call.service);
      return m_flow.HandleSend(NotSent{true}, UnixNow());
    }
    return m_flow.HandleSend(AnswerBroken{}, UnixNow());
  }

  BookingAction Execute(const LookUpBooking& step) {
    WaitUntil(step.not_before);
    return m_flow.HandleLookup(LookUp(), UnixNow());
  }

  // Asks one replica; a failed one is left out of the next lookup.
  LookupResult LookUp() {
    Result<ReplicaRoute> route = m_entry.routing->ChooseReplica(m_call.service, m_lookup_failed);
    if (!route) {
      m_lookup_failed.clear();
      return LookupFailed{};
    }
    ServiceCall call;
    call.method = "GET";
    call.target = m_call.config.lookup_path;
    const std::size_t at = call.target.find("{key}");
    if (at == std::string::npos) return LookupFailed{};
    call.target.replace(at, 5, m_call.idempotency_key);
    call.headers = {{"X-Request-Id", m_request_id}};
    const ServiceReplica& replica = route.value().replica;
    const WorkTicket work(m_entry.routing, {replica.name});
    const ServiceResponse answer =
        m_entry.services->Call(replica.address, call, Clock::now() + kLookupTimeout, nullptr);
    if (answer.end == CallEnd::kComplete && answer.status == 200) {
      return LookupFound{{200, answer.content_type, answer.body, true}};
    }
    if (answer.end == CallEnd::kComplete && answer.status == 404) return LookupNotFound{};
    m_lookup_failed.insert(replica.name);
    return LookupFailed{};
  }

  TimePoint StoreDeadline() const {
    const TimePoint longest = Clock::now() + milliseconds(kProposeTimeoutMs);
    return m_in_background ? longest : std::min(longest, std::max(m_deadline, Clock::now()));
  }

  void WaitUntil(UnixMs not_before) const {
    while (!m_in_background || !m_entry.background->IsStopping()) {
      const std::int64_t left = not_before - UnixNow();
      if (left <= 0) return;
      std::this_thread::sleep_for(std::min(milliseconds(left), kSleepSlice));
    }
  }

  void LogStep(const BookingAction& action) const {
    nlohmann::json fields = {{"request_id", m_request_id},
                             {"attempt", m_attempt},
                             {"step", m_flow.StepName()},
                             {"action", NameOfAction(action)},
                             {"background", m_in_background}};
    if (const auto* answer = std::get_if<AnswerBooking>(&action)) {
      fields["outcome"] = NameOf(answer->outcome.outcome);
      fields["code"] = NameOf(answer->outcome.code);
    }
    LogEvent(LogLevel::kInfo, "booking_step", fields);
  }

  HttpResponse Respond(const BookingOutcome& outcome) const {
    if (outcome.outcome == BookingState::kDone && outcome.code == BookingCode::kNone) {
      HttpResponse response;
      response.status = static_cast<int>(outcome.answer.status);
      response.content_type = outcome.answer.content_type;
      response.body = outcome.answer.body;
      response.headers = {{"X-Request-Id", m_request_id}, {"Corneltray-Outcome", "done"}};
      if (outcome.replayed) response.headers.emplace_back("Corneltray-Replayed", "true");
      return response;
    }
    HttpResponse response = MakeErrorResponse(ErrorFor(outcome), m_request_id);
    if (outcome.code == BookingCode::kAnswerNotStored) {
      response.headers.emplace_back("Corneltray-Replayed", "true");
    }
    return response;
  }

  ApiError ErrorFor(const BookingOutcome& outcome) const {
    const BookingState state = outcome.outcome;
    switch (outcome.code) {
      case BookingCode::kRefused:
        return m_refusal;
      case BookingCode::kNone:
      case BookingCode::kNotRun:
        return {ApiCode::kNoReplica,
                "the call did not run and this key never will; use a new key",
                "",
                state,
                0,
                0};
      case BookingCode::kKeyReused:
        return {ApiCode::kIdempotencyKeyReused,
                "the key was used for another request",
                "",
                state,
                0,
                0};
      case BookingCode::kKeyExpired:
        return {ApiCode::kIdempotencyKeyExpired,
                "the key is older than the retention",
                "",
                state,
                0,
                0};
      case BookingCode::kKeyInvalid:
        return {ApiCode::kIdempotencyKeyInvalid,
                "the time of the key is in the future",
                "",
                state,
                0,
                0};
      case BookingCode::kStoreUnavailable:
        return {ApiCode::kBookingStoreUnavailable,
                "the booking store cannot be reached; retry with the same key",
                "",
                state,
                1000,
                0};
      case BookingCode::kInProgress:
        return {ApiCode::kBookingInProgress,
                "another call with this key is in progress; retry with the same key",
                "",
                state,
                1000,
                0};
      case BookingCode::kOutcomeUnknown:
        return {ApiCode::kOutcomeUnknown,
                "the call may have run; retry with the same key",
                "",
                state,
                1000,
                0};
      case BookingCode::kAnswerNotStored:
        return {ApiCode::kAnswerNotStored,
                "the call ran; its answer was too large to be stored",
                "",
                state,
                0,
                static_cast<int>(outcome.answer.status)};
    }
    return {};
  }

  const EntryContext m_entry;
  const ServiceCallRequest m_call;
  const ServiceCall m_request;
  const ApiError m_refusal;
  const std::string m_request_id;
  const std::string m_attempt;
  const TimePoint m_deadline;
  // Request id, customer and configuration, for logs and reads of the key.
  struct LogContext : RequestContext {
    explicit LogContext(const RequestContext& context) {
      request_id = context.request_id;
      customer = context.customer;
      configuration = context.configuration;
    }
  } m_log_context;
  BookingFlow m_flow;
  std::set<std::string> m_tried;
  int m_rounds = 0;
  std::uint32_t m_sends = 0;
  std::set<std::string> m_lookup_failed;
  bool m_in_background = false;
};

}  // namespace

HttpResponse RunBookingCall(const EntryContext& entry, const RequestContext& context) {
  return std::make_shared<BookingRunner>(entry, context, ApiError{})->Run(false);
}

HttpResponse RefuseBookingCall(const EntryContext& entry, const RequestContext& context,
                               const ApiError& refusal) {
  return std::make_shared<BookingRunner>(entry, context, refusal)->Run(true);
}

}  // namespace corneltray
