#ifndef CORNELTRAY_BOOKING_CLIENT_H_
#define CORNELTRAY_BOOKING_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "corneltray/booking.h"
#include "corneltray/control_client.h"
#include "corneltray/enum_names.h"
#include "corneltray/time.h"

namespace corneltray {

// Time between two reads of a key that another attempt holds: starts at the first value and doubles
// up to the second, so that waiting callers do not load the leader.
constexpr std::int64_t kFirstBookingPollMs = 50;
constexpr std::int64_t kMaxBookingPollMs = 1000;
// The last read before the caller's deadline comes this much earlier, to leave time for its reply.
constexpr std::int64_t kBookingReadMarginMs = 50;
// A leader is replaced within 3 s; a store that does not answer for longer is reported to the
// caller.
constexpr std::int64_t kBookingStoreWaitMs = 5000;

// One keyed call at an entry process.
struct BookingRequest {
  BookingKey key;
  std::string request_hash;
  std::string entry_host;
  std::string attempt;      // random 128-bit id in hexadecimal
  bool has_lookup = false;  // the service has an idempotent lookup
  UnixMs deadline = 0;      // of the caller; nothing is sent from then on
  std::int64_t resolve_after_ms = 0;
  std::uint64_t max_stored_answer_bytes = 0;
};

// Why a caller gets an answer other than the stored one.
enum class BookingCode {
  kNone,
  kRefused,  // refused before a claim, by the cause given to Refuse
  kNotRun,   // an earlier or this attempt ended as not run
  kKeyReused,
  kKeyExpired,
  kKeyInvalid,
  kStoreUnavailable,
  kInProgress,
  kOutcomeUnknown,
  kAnswerNotStored,
};

template <>
struct EnumNames<BookingCode> {
  static constexpr EnumName<BookingCode> kTable[] = {
      {BookingCode::kNone, "none"},
      {BookingCode::kRefused, "refused"},
      {BookingCode::kNotRun, "not_run"},
      {BookingCode::kKeyReused, "idempotency_key_reused"},
      {BookingCode::kKeyExpired, "idempotency_key_expired"},
      {BookingCode::kKeyInvalid, "idempotency_key_invalid"},
      {BookingCode::kStoreUnavailable, "booking_store_unavailable"},
      {BookingCode::kInProgress, "booking_in_progress"},
      {BookingCode::kOutcomeUnknown, "outcome_unknown"},
      {BookingCode::kAnswerNotStored, "answer_not_stored"},
  };
};

// What the caller is told. `answer` is set when `outcome` is kDone.
struct BookingOutcome {
  BookingState outcome = BookingState::kUnknown;
  BookingCode code = BookingCode::kNone;
  StoredAnswer answer;
  bool replayed = false;  // the answer is that of an earlier call
};

// What the owner of a flow does next. Each action but AnswerBooking is followed by one call of the
// handler named with it. `not_before` is a time to wait for first.
struct ProposeBooking {  // -> HandleReply or HandleControlFailure
  Command command;
  UnixMs not_before = 0;
};
struct ReadBookingState {  // -> HandleReply or HandleControlFailure
  UnixMs not_before = 0;
};
struct SendBooking {  // -> HandleSend; must not start once `send_before` has passed
  UnixMs send_before = 0;
};
struct LookUpBooking {  // -> HandleLookup
  UnixMs not_before = 0;
};
struct AnswerBooking {  // tell the caller, then ContinueAfterAnswer
  BookingOutcome outcome;
};
using BookingAction =
    std::variant<ProposeBooking, ReadBookingState, SendBooking, LookUpBooking, AnswerBooking>;

// How a send ended.
struct NotSent {                 // no byte was sent
  bool another_replica = false;  // one that was not tried yet
};
struct AnswerComplete {
  StoredAnswer answer;
};
struct AnswerBroken {};  // a byte may have been sent, and there is no complete response
using SendResult = std::variant<NotSent, AnswerComplete, AnswerBroken>;

// How a lookup ended.
struct LookupFound {
  StoredAnswer answer;
};
struct LookupNotFound {};
struct LookupFailed {};
using LookupResult = std::variant<LookupFound, LookupNotFound, LookupFailed>;

// The steps of one keyed call: claim, send, record the outcome; or, when the key is present, wait
// for its outcome, resolve or repeat it. Keeps the rules of docs/design.md section 5.3: one send at
// most, only under the claim and before its deadline, and no outcome is told that is not committed.
// Pure; not thread safe.
class BookingFlow {
 public:
  explicit BookingFlow(BookingRequest request);

  // First step of a call that was admitted.
  BookingAction Start(UnixMs now);
  // First step of a call that is refused: records that the key never runs.
  BookingAction StartRefused(UnixMs now);

  BookingAction HandleReply(const BookingReply& reply, UnixMs now);
  BookingAction HandleControlFailure(ControlErrc errc, UnixMs now);
  BookingAction HandleSend(const SendResult& result, UnixMs now);
  BookingAction HandleLookup(const LookupResult& result, UnixMs now);

  // After the caller was answered: goes on with a claim or an outcome that may not be recorded yet,
  // until a time. Returns nothing when there is nothing to record. Nothing is sent to the service
  // any more, and further AnswerBooking actions are for no one.
  std::optional<BookingAction> ContinueAfterAnswer(UnixMs now, UnixMs until);

  // Name of the present step, for logs.
  std::string_view StepName() const;

  enum class Step {
    kIdle,
    kClaiming,
    kSending,
    kFinishing,  // own outcome, or one found by lookup
    kWaiting,    // for the outcome of another attempt
    kMarking,
    kLookingUp,
    kRefusing,
    kAnswered,
  };

 private:
  BookingAction Claim(UnixMs not_before);
  BookingAction Finish(BookingState outcome, StoredAnswer answer, bool from_lookup);
  BookingAction RepeatCommand(UnixMs not_before);
  BookingAction ForState(const BookingReply& reply, UnixMs now);
  BookingAction WaitOrMark(const BookingReply& reply, UnixMs now);
  BookingAction Wait(UnixMs now);
  BookingAction LookUp(UnixMs not_before);
  BookingAction Answer(BookingState outcome, BookingCode code, StoredAnswer answer = {});
  BookingAction AnswerDone(const BookingReply& reply);
  UnixMs GiveUpAt() const;

  BookingRequest m_request;
  Step m_step = Step::kIdle;
  Step m_step_at_answer = Step::kIdle;
  std::string m_claim_attempt;               // attempt of the claim in force; own or another's
  FinishBooking m_finish;                    // command of kFinishing
  std::optional<StoredAnswer> m_own_answer;  // as received, even if too large to store
  UnixMs m_store_wait_until = 0;             // first failure of the store plus the wait
  UnixMs m_background_until = 0;             // set after the answer
  std::int64_t m_poll_ms = kFirstBookingPollMs;
  bool m_sent = false;  // a byte may have been sent
};

template <>
struct EnumNames<BookingFlow::Step> {
  static constexpr EnumName<BookingFlow::Step> kTable[] = {
      {BookingFlow::Step::kIdle, "idle"},
      {BookingFlow::Step::kClaiming, "claiming"},
      {BookingFlow::Step::kSending, "sending"},
      {BookingFlow::Step::kFinishing, "finishing"},
      {BookingFlow::Step::kWaiting, "waiting"},
      {BookingFlow::Step::kMarking, "marking"},
      {BookingFlow::Step::kLookingUp, "looking_up"},
      {BookingFlow::Step::kRefusing, "refusing"},
      {BookingFlow::Step::kAnswered, "answered"},
  };
};

}  // namespace corneltray

#endif  // CORNELTRAY_BOOKING_CLIENT_H_
