#include "corneltray/booking_client.h"

#include <algorithm>
#include <utility>

namespace corneltray {

BookingFlow::BookingFlow(BookingRequest request) : m_request(std::move(request)) {}

std::string_view BookingFlow::StepName() const { return NameOf(m_step); }

BookingAction BookingFlow::Start(UnixMs now) { return Claim(now); }

BookingAction BookingFlow::StartRefused(UnixMs now) {
  m_step = Step::kRefusing;
  return RepeatCommand(now);
}

BookingAction BookingFlow::HandleReply(const BookingReply& reply, UnixMs now) {
  m_store_wait_until = 0;
  switch (reply.verdict) {
    case BookingVerdict::kKeyReused:
      return Answer(reply.state, BookingCode::kKeyReused);
    case BookingVerdict::kKeyExpired:
      return Answer(BookingState::kUnknown, BookingCode::kKeyExpired);
    case BookingVerdict::kKeyInFuture:
      // The key becomes valid later, so a delayed duplicate could still run it.
      return Answer(BookingState::kUnknown, BookingCode::kKeyInvalid);
    case BookingVerdict::kTooEarly:
      return Wait(now);
    case BookingVerdict::kGranted:
      if (m_step != Step::kClaiming || m_sent) {
        return Answer(BookingState::kUnknown, BookingCode::kOutcomeUnknown);
      }
      m_claim_attempt = m_request.attempt;
      if (now >= m_request.deadline || m_background_until != 0) {
        return Finish(BookingState::kNotRun, {}, false);
      }
      m_step = Step::kSending;
      return SendBooking{m_request.deadline};
    case BookingVerdict::kNotClaimer:
    case BookingVerdict::kRecorded:
    case BookingVerdict::kExisting:
      return ForState(reply, now);
  }
  return Answer(BookingState::kUnknown, BookingCode::kOutcomeUnknown);
}

BookingAction BookingFlow::ForState(const BookingReply& reply, UnixMs now) {
  if (reply.state == BookingState::kDone) return AnswerDone(reply);
  if (reply.state == BookingState::kNotRun) {
    return Answer(BookingState::kNotRun,
                  m_step == Step::kRefusing ? BookingCode::kRefused : BookingCode::kNotRun);
  }
  const bool in_progress = reply.state == BookingState::kInProgress;
  if (m_step == Step::kRefusing) {
    return in_progress ? Answer(BookingState::kInProgress, BookingCode::kInProgress)
                       : Answer(BookingState::kUnknown, BookingCode::kOutcomeUnknown);
  }
  if (m_step == Step::kFinishing || m_background_until != 0) {
    // The table did not take the outcome; nothing more can be said about it.
    return Answer(BookingState::kUnknown, BookingCode::kOutcomeUnknown);
  }
  if (in_progress) return WaitOrMark(reply, now);
  if (reply.state == BookingState::kUnknown && m_request.has_lookup) {
    m_claim_attempt = reply.attempt;
    return LookUp(now);
  }
  return Answer(BookingState::kUnknown, BookingCode::kOutcomeUnknown);
}

BookingAction BookingFlow::WaitOrMark(const BookingReply& reply, UnixMs now) {
  m_claim_attempt = reply.attempt;
  if (std::max(now, reply.log_time) >= reply.resolve_at) {
    m_step = Step::kMarking;
    return RepeatCommand(now);
  }
  return Wait(now);
}

BookingAction BookingFlow::HandleControlFailure(ControlErrc errc, UnixMs now) {
  (void)errc;  // a command that certainly failed is repeated just like one that may have committed
  if (m_store_wait_until == 0) m_store_wait_until = now + kBookingStoreWaitMs;
  if (now >= GiveUpAt()) {
    // The step is kept, so that ContinueAfterAnswer repeats its command.
    return Answer(BookingState::kUnknown, BookingCode::kStoreUnavailable);
  }
  const UnixMs next = now + kFirstBookingPollMs;
  if (m_step == Step::kWaiting) return ReadBookingState{next};
  return RepeatCommand(next);
}

BookingAction BookingFlow::HandleSend(const SendResult& result, UnixMs now) {
  if (const auto* complete = std::get_if<AnswerComplete>(&result)) {
    m_sent = true;
    m_own_answer = complete->answer;
    return Finish(BookingState::kDone, complete->answer, false);
  }
  if (const auto* not_sent = std::get_if<NotSent>(&result)) {
    if (not_sent->another_replica && now < m_request.deadline) {
      return SendBooking{m_request.deadline};
    }
    return Finish(BookingState::kNotRun, {}, false);
  }
  m_sent = true;
  if (m_request.has_lookup && now < m_request.deadline) return LookUp(now);
  return Answer(BookingState::kUnknown, BookingCode::kOutcomeUnknown);
}

BookingAction BookingFlow::HandleLookup(const LookupResult& result, UnixMs now) {
  if (const auto* found = std::get_if<LookupFound>(&result)) {
    return Finish(BookingState::kDone, found->answer, true);
  }
  // The own request may still be on its way, so it is looked up again until the deadline. For a
  // claim of another process "not found" says nothing: its claimer may be frozen and still send.
  const bool repeat = m_sent || std::holds_alternative<LookupFailed>(result);
  const UnixMs next = now + m_poll_ms;
  m_poll_ms = std::min(2 * m_poll_ms, kMaxBookingPollMs);
  if (repeat && next < m_request.deadline) return LookUp(next);
  return Answer(BookingState::kUnknown, BookingCode::kOutcomeUnknown);
}

std::optional<BookingAction> BookingFlow::ContinueAfterAnswer(UnixMs now, UnixMs until) {
  if (m_step != Step::kAnswered || m_background_until != 0) return std::nullopt;
  if (m_step_at_answer != Step::kClaiming && m_step_at_answer != Step::kFinishing) {
    return std::nullopt;
  }
  m_background_until = until;
  m_store_wait_until = 0;
  m_step = m_step_at_answer;
  return RepeatCommand(now);
}

BookingAction BookingFlow::Claim(UnixMs not_before) {
  m_step = Step::kClaiming;
  return RepeatCommand(not_before);
}

BookingAction BookingFlow::Finish(BookingState outcome, StoredAnswer answer, bool from_lookup) {
  m_step = Step::kFinishing;
  if (answer.body.size() > m_request.max_stored_answer_bytes) {
    answer.body.clear();
    answer.body_stored = false;
  }
  m_finish = {m_request.key, m_claim_attempt, outcome, std::move(answer), from_lookup};
  return ProposeBooking{m_finish, 0};
}

// Builds the command of the present step. Every command is idempotent by its attempt.
BookingAction BookingFlow::RepeatCommand(UnixMs not_before) {
  switch (m_step) {
    case Step::kClaiming:
      return ProposeBooking{
          ClaimBooking{m_request.key, m_request.attempt, m_request.entry_host,
                       m_request.request_hash, m_request.deadline + m_request.resolve_after_ms},
          not_before};
    case Step::kMarking:
      return ProposeBooking{MarkBookingUnknown{m_request.key, m_claim_attempt}, not_before};
    case Step::kRefusing:
      return ProposeBooking{RefuseBooking{m_request.key, m_request.request_hash}, not_before};
    default:
      return ProposeBooking{m_finish, not_before};
  }
}

BookingAction BookingFlow::Wait(UnixMs now) {
  if (now + kBookingReadMarginMs >= m_request.deadline) {
    return Answer(BookingState::kInProgress, BookingCode::kInProgress);
  }
  const UnixMs next = std::min(now + m_poll_ms, m_request.deadline - kBookingReadMarginMs);
  m_poll_ms = std::min(2 * m_poll_ms, kMaxBookingPollMs);
  m_step = Step::kWaiting;
  return ReadBookingState{next};
}

BookingAction BookingFlow::LookUp(UnixMs not_before) {
  m_step = Step::kLookingUp;
  return LookUpBooking{not_before};
}

BookingAction BookingFlow::Answer(BookingState outcome, BookingCode code, StoredAnswer answer) {
  // Only a commit that says so may tell the caller that nothing ran.
  const bool tellable = outcome == BookingState::kDone || outcome == BookingState::kNotRun ||
                        outcome == BookingState::kInProgress;
  // An answer to a reply settles the step; only an unreachable store leaves it open.
  m_step_at_answer = code == BookingCode::kStoreUnavailable ? m_step : Step::kAnswered;
  m_step = Step::kAnswered;
  return AnswerBooking{{tellable ? outcome : BookingState::kUnknown, code, std::move(answer),
                        outcome == BookingState::kDone && !m_own_answer}};
}

BookingAction BookingFlow::AnswerDone(const BookingReply& reply) {
  if (reply.answer.body_stored) {
    return Answer(BookingState::kDone, BookingCode::kNone, reply.answer);
  }
  // The attempt that received a large answer passes it on in full; nobody else can have it.
  if (m_own_answer) {
    return Answer(BookingState::kDone, BookingCode::kNone, *m_own_answer);
  }
  return Answer(BookingState::kDone, BookingCode::kAnswerNotStored, reply.answer);
}

UnixMs BookingFlow::GiveUpAt() const {
  if (m_background_until != 0) return m_background_until;
  return std::min(m_request.deadline, m_store_wait_until);
}

}  // namespace corneltray
