#include "corneltray/answer_stream.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace corneltray {
namespace {

using nlohmann::json;

class AnswerCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "answer"; }
  std::string message(int value) const override {
    switch (static_cast<AnswerErrc>(value)) {
      case AnswerErrc::kMalformedEvent:
        return "malformed engine event";
      case AnswerErrc::kWrongVersion:
        return "weights differ from those of the answer";
      case AnswerErrc::kIncompleteChain:
        return "the chain does not run each layer once in order";
      case AnswerErrc::kWrongState:
        return "the answer is not waiting for an attempt";
    }
    return "unknown answer error";
  }
};

const std::string& RequestIdOf(const EngineEvent& event) {
  return std::visit([](const auto& e) -> const std::string& { return e.request_id; }, event);
}

std::uint32_t AttemptOf(const EngineEvent& event) {
  return std::visit([](const auto& e) { return e.attempt; }, event);
}

// json::get converts any number, so a negative or fractional one has to be refused by hand.
std::uint32_t UnsignedField(const json& body, const char* field) {
  const json& value = body.at(field);
  if (!value.is_number_unsigned() || value.get<std::uint64_t>() > UINT32_MAX) {
    throw std::invalid_argument(field);
  }
  return value.get<std::uint32_t>();
}

// Converts a JSON document to an event. Throws std::exception on a missing field or wrong type.
EngineEvent ConvertEvent(const json& body) {
  const std::string request_id = body.at("request_id").get<std::string>();
  const auto attempt = UnsignedField(body, "attempt");
  if (body.contains("error")) {
    const json& error = body["error"];
    return EngineErrorEvent{request_id, attempt, error.value("code", ""),
                            error.value("message", ""), error.value("stage", "")};
  }
  if (body.value("done", false)) {
    return DoneEvent{request_id, attempt, body.at("finish_reason").get<std::string>(),
                     UnsignedField(body, "count")};
  }
  TokenEvent token{request_id,
                   attempt,
                   UnsignedField(body, "index"),
                   body.at("token").get<std::int64_t>(),
                   body.at("text").get<std::string>(),
                   body.at("version").get<std::string>(),
                   std::nullopt};
  if (const auto load = body.find("load"); load != body.end() && load->is_object()) {
    token.load = LoadReport{load->value("running", 0U), load->value("waiting", 0U),
                            load->value("kv_used", 0.0)};
  }
  return token;
}

}  // namespace

std::error_code make_error_code(AnswerErrc errc) {
  static const AnswerCategory category;
  return {static_cast<int>(errc), category};
}

Result<EngineEvent> DecodeEngineEvent(const std::string& data) {
  try {
    return ConvertEvent(json::parse(data));
  } catch (const std::exception& error) {
    return Error{AnswerErrc::kMalformedEvent, error.what()};
  }
}

AnswerStream::AnswerStream(AnswerSpec spec) : m_spec(std::move(spec)) {}

Status AnswerStream::BeginAttempt(const Chain& chain, TimePoint now) {
  if (m_state != State::kWaiting) return Error{AnswerErrc::kWrongState, ""};
  if (!(chain.key == m_spec.key)) {
    return Error{AnswerErrc::kWrongVersion, chain.key.model + " " + chain.key.version};
  }
  if (Status valid = ValidateChain(chain, m_spec.layers); !valid) {
    return Error{AnswerErrc::kIncompleteChain, valid.error().ToString()};
  }
  ++m_attempt;
  m_state = State::kRunning;
  m_first_of_attempt = true;
  m_progress_by = now + m_spec.first_token_timeout;
  return {};
}

AnswerAction AnswerStream::HandleEvent(const EngineEvent& event, TimePoint now) {
  if (RequestIdOf(event) != m_spec.request_id) return Discard(DiscardReason::kOtherRequest);
  if (m_state != State::kRunning) return Discard(DiscardReason::kAfterEnd);
  if (AttemptOf(event) != m_attempt) return Discard(DiscardReason::kOtherAttempt);
  if (const auto* token = std::get_if<TokenEvent>(&event)) return HandleToken(*token, now);
  if (const auto* done = std::get_if<DoneEvent>(&event)) return HandleDone(*done, now);
  return EndAttempt(ResumeReason::kEngineError, std::get<EngineErrorEvent>(event).stage, now);
}

AnswerAction AnswerStream::HandleToken(const TokenEvent& event, TimePoint now) {
  if (event.index < NextIndex()) return Discard(DiscardReason::kDuplicate);
  if (event.index > NextIndex()) {
    // Within one ordered stream a skipped token does not come later.
    Discard(DiscardReason::kGap);
    return EndAttempt(ResumeReason::kMissingToken, "", now);
  }
  if (event.version != m_spec.key.version) {
    return EndAttempt(ResumeReason::kWrongVersion, "", now);
  }
  if (NextIndex() >= m_spec.max_tokens) return Discard(DiscardReason::kAfterEnd);
  m_tokens.push_back(event.token);
  m_text += event.text;
  m_first_of_attempt = false;
  m_progress_by = now + m_spec.progress_timeout;
  return DeliverToken{event.index, event.text};
}

AnswerAction AnswerStream::HandleDone(const DoneEvent& event, TimePoint now) {
  const bool whole_count = event.count == NextIndex();
  const bool stopped = event.finish_reason == "stop";
  const bool full_length = event.finish_reason == "length" && NextIndex() == m_spec.max_tokens;
  if (!whole_count || (!stopped && !full_length)) {
    return EndAttempt(ResumeReason::kIncomplete, "", now);
  }
  return Finish(event.finish_reason);
}

AnswerAction AnswerStream::HandleAttemptFailure(ResumeReason reason, TimePoint now) {
  if (m_state != State::kRunning) return Discard(DiscardReason::kAfterEnd);
  return EndAttempt(reason, "", now);
}

std::optional<AnswerAction> AnswerStream::Tick(TimePoint now) {
  if (m_state != State::kRunning && m_state != State::kWaiting) return std::nullopt;
  if (now >= m_spec.deadline) return Fail(AnswerFailure::kDeadlineExceeded);
  if (m_state == State::kRunning && now >= m_progress_by) {
    return EndAttempt(m_first_of_attempt ? ResumeReason::kNoFirstToken : ResumeReason::kNoProgress,
                      "", now);
  }
  return std::nullopt;
}

void AnswerStream::RestartProgress(TimePoint now) {
  if (m_state == State::kRunning && !m_first_of_attempt) {
    m_progress_by = std::max(m_progress_by, now + m_spec.progress_timeout);
  }
}

AnswerAction AnswerStream::GiveUp() {
  if (m_state == State::kFinished || m_state == State::kFailed) {
    return Discard(DiscardReason::kAfterEnd);
  }
  return Fail(AnswerFailure::kUpstreamFailed);
}

TimePoint AnswerStream::NextDeadline() const {
  if (m_state != State::kRunning) return m_spec.deadline;
  return std::min(m_spec.deadline, m_progress_by);
}

std::uint64_t AnswerStream::Discarded(DiscardReason reason) const {
  return m_discarded.at(static_cast<std::size_t>(reason));
}

AnswerAction AnswerStream::EndAttempt(ResumeReason reason, std::string failed_stage,
                                      TimePoint now) {
  // With every token accepted only the end marker is missing, and a further attempt has nothing to
  // add.
  if (NextIndex() == m_spec.max_tokens) return Finish("length");
  if (now >= m_spec.deadline) return Fail(AnswerFailure::kUpstreamFailed);
  m_state = State::kWaiting;
  return ResumeAnswer{reason, std::move(failed_stage)};
}

AnswerAction AnswerStream::Finish(std::string finish_reason) {
  m_state = State::kFinished;
  return FinishAnswer{std::move(finish_reason)};
}

AnswerAction AnswerStream::Fail(AnswerFailure failure) {
  m_state = State::kFailed;
  return FailAnswer{failure};
}

AnswerAction AnswerStream::Discard(DiscardReason reason) {
  ++m_discarded.at(static_cast<std::size_t>(reason));
  return DiscardEvent{reason};
}

}  // namespace corneltray
