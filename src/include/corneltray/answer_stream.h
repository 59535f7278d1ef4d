#ifndef CORNELTRAY_ANSWER_STREAM_H_
#define CORNELTRAY_ANSWER_STREAM_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "corneltray/enum_names.h"
#include "corneltray/result.h"
#include "corneltray/router.h"
#include "corneltray/time.h"
#include "corneltray/upstream.h"

namespace corneltray {

// Events of the stream of one attempt. See docs/design.md section 6.2.
struct TokenEvent {
  std::string request_id;
  std::uint32_t attempt = 0;
  std::uint32_t index = 0;  // of the whole answer, tokens of earlier attempts included
  std::int64_t token = 0;
  std::string text;
  std::string version;
  std::optional<LoadReport> load;
};

struct DoneEvent {
  std::string request_id;
  std::uint32_t attempt = 0;
  std::string finish_reason;
  std::uint32_t count = 0;  // tokens of the whole answer
};

struct EngineErrorEvent {
  std::string request_id;
  std::uint32_t attempt = 0;
  std::string code;
  std::string message;
  std::string stage;  // name of the stage that failed, if known
};

using EngineEvent = std::variant<TokenEvent, DoneEvent, EngineErrorEvent>;

enum class AnswerErrc {
  kMalformedEvent = 1,
  kWrongVersion,     // the attempt or the token names other weights than the answer
  kIncompleteChain,  // the chain does not run each layer once, in order
  kWrongState,
};

std::error_code make_error_code(AnswerErrc errc);

// Decodes the data of one server-sent event. Fails with kMalformedEvent.
Result<EngineEvent> DecodeEngineEvent(const std::string& data);

enum class DiscardReason { kOtherRequest, kOtherAttempt, kDuplicate, kGap, kAfterEnd };

template <>
struct EnumNames<DiscardReason> {
  static constexpr EnumName<DiscardReason> kTable[] = {
      {DiscardReason::kOtherRequest, "other_request"},
      {DiscardReason::kOtherAttempt, "other_attempt"},
      {DiscardReason::kDuplicate, "duplicate"},
      {DiscardReason::kGap, "gap"},
      {DiscardReason::kAfterEnd, "after_end"},
  };
};

enum class ResumeReason {
  kConnectFailed,
  kRefused,       // the first stage answered with an error status
  kStreamClosed,  // the stream ended before the answer was complete
  kNoFirstToken,  // first-token deadline
  kNoProgress,    // progress deadline
  kEngineError,   // error event
  kWrongVersion,  // a token of other weights
  kMissingToken,  // a token was skipped
  kIncomplete,    // the engine reported an end that does not match the tokens
  kMalformed,     // an event could not be decoded
};

template <>
struct EnumNames<ResumeReason> {
  static constexpr EnumName<ResumeReason> kTable[] = {
      {ResumeReason::kConnectFailed, "connect_failed"},
      {ResumeReason::kRefused, "refused"},
      {ResumeReason::kStreamClosed, "stream_closed"},
      {ResumeReason::kNoFirstToken, "no_first_token"},
      {ResumeReason::kNoProgress, "no_progress"},
      {ResumeReason::kEngineError, "engine_error"},
      {ResumeReason::kWrongVersion, "wrong_version"},
      {ResumeReason::kMissingToken, "missing_token"},
      {ResumeReason::kIncomplete, "incomplete"},
      {ResumeReason::kMalformed, "malformed"},
  };
};

enum class AnswerFailure {
  kUpstreamFailed,    // attempts failed, and no further one was possible before the deadline
  kDeadlineExceeded,  // the deadline passed while an attempt was making progress
};

template <>
struct EnumNames<AnswerFailure> {
  static constexpr EnumName<AnswerFailure> kTable[] = {
      {AnswerFailure::kUpstreamFailed, "upstream_failed"},
      {AnswerFailure::kDeadlineExceeded, "deadline_exceeded"},
  };
};

// What the owner of the stream does after an event.
struct DeliverToken {  // send the text to the caller
  std::uint32_t index = 0;
  std::string text;
};
struct DiscardEvent {  // nothing; already counted
  DiscardReason reason = DiscardReason::kOtherAttempt;
};
struct FinishAnswer {  // the answer is complete
  std::string finish_reason;
};
struct ResumeAnswer {  // close and cancel the attempt, then BeginAttempt on another chain or GiveUp
  ResumeReason reason = ResumeReason::kStreamClosed;
  std::string failed_stage;  // empty if unknown
};
struct FailAnswer {  // the answer stays incomplete
  AnswerFailure failure = AnswerFailure::kUpstreamFailed;
};
using AnswerAction =
    std::variant<DeliverToken, DiscardEvent, FinishAnswer, ResumeAnswer, FailAnswer>;

struct AnswerSpec {
  std::string request_id;
  ModelKey key;
  std::uint32_t layers = 0;
  std::uint32_t max_tokens = 0;
  Duration first_token_timeout{};
  Duration progress_timeout{};
  TimePoint deadline{};
};

// One answer over one or more attempts: the accepted tokens, the attempt number and the deadlines.
// A token counts only if request id, attempt and index match, so that late, repeated and
// misdirected events cannot change the answer. Pure; not thread safe.
class AnswerStream {
 public:
  explicit AnswerStream(AnswerSpec spec);

  // Starts the next attempt. Fails with kIncompleteChain or kWrongVersion if the chain does not run
  // every layer of the answer's model once and in order, and with kWrongState while another attempt
  // runs or after the end. A failure leaves the stream unchanged.
  Status BeginAttempt(const Chain& chain, TimePoint now);

  // Takes in one event of the running attempt's connection.
  AnswerAction HandleEvent(const EngineEvent& event, TimePoint now);

  // The running attempt ended outside the protocol: connect failure, closed stream, bad bytes.
  AnswerAction HandleAttemptFailure(ResumeReason reason, TimePoint now);

  // Applies the deadlines. Returns nothing while none has passed.
  std::optional<AnswerAction> Tick(TimePoint now);

  // The owner was busy with a caller who reads slowly: the next token is due counted from now.
  void RestartProgress(TimePoint now);

  // No further attempt is possible: no chain is left or the retry budget is used up.
  AnswerAction GiveUp();

  // Time at which Tick has something to do.
  TimePoint NextDeadline() const;

  bool IsFinished() const { return m_state == State::kFinished; }
  std::uint32_t Attempt() const { return m_attempt; }
  std::uint32_t NextIndex() const { return static_cast<std::uint32_t>(m_tokens.size()); }
  // Token ids accepted so far, sent with the next attempt.
  const std::vector<std::int64_t>& Tokens() const { return m_tokens; }
  const std::string& Text() const { return m_text; }
  std::uint64_t Discarded(DiscardReason reason) const;

 private:
  enum class State { kWaiting, kRunning, kFinished, kFailed };

  AnswerAction HandleToken(const TokenEvent& event, TimePoint now);
  AnswerAction HandleDone(const DoneEvent& event, TimePoint now);
  AnswerAction EndAttempt(ResumeReason reason, std::string failed_stage, TimePoint now);
  AnswerAction Finish(std::string finish_reason);
  AnswerAction Fail(AnswerFailure failure);
  AnswerAction Discard(DiscardReason reason);

  AnswerSpec m_spec;
  State m_state = State::kWaiting;
  std::uint32_t m_attempt = 0;
  std::vector<std::int64_t> m_tokens;
  std::string m_text;
  TimePoint m_progress_by{};  // next token of the running attempt
  bool m_first_of_attempt = true;
  std::array<std::uint64_t, 5> m_discarded{};
};

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::AnswerErrc> : std::true_type {};

#endif  // CORNELTRAY_ANSWER_STREAM_H_
