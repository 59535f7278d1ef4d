#ifndef CORNELTRAY_ANSWER_RUNNER_H_
#define CORNELTRAY_ANSWER_RUNNER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "corneltray/answer_stream.h"
#include "corneltray/http_api.h"

namespace corneltray {

// Runs one completion: an AnswerStream over attempts on engines. Used by one thread.
class AnswerRunner {
 public:
  struct Outcome {
    std::string finish_reason;             // of a complete answer
    std::optional<AnswerFailure> failure;  // of an incomplete one
    bool hung_up = false;                  // nobody waits for the answer any more
  };
  // Returns false when the caller is gone.
  using TokenReceiver = std::function<bool(const DeliverToken& token)>;

  AnswerRunner(const EntryContext* entry, const RequestContext* context);

  // Blocks until the answer is complete or failed.
  Outcome Run(const TokenReceiver& on_token);
  const AnswerStream& Stream() const { return m_stream; }

 private:
  std::optional<Route> NextRoute();
  bool WaitForRetry();
  std::optional<AnswerAction> RunAttempt(const Route& route, const TokenReceiver& on_token);
  bool HandleEvent(const std::string& data, const std::string& first_stage,
                   const TokenReceiver& on_token, std::optional<AnswerAction>* last);
  bool Deliver(const DeliverToken& token, const TokenReceiver& on_token);
  void HandleResume(const ResumeAnswer& resume, const Route& route);
  void ReportSuccess(const Chain& chain) const;
  bool IsGone() const;

  const EntryContext* m_entry;
  const RequestContext* m_context;
  const CompletionCall* m_call;
  ModelKey m_key;
  std::uint64_t m_prefix_hash;
  AnswerStream m_stream;
  std::set<std::string> m_excluded;  // engines of failed attempts
  std::atomic<Duration::rep> m_expires_at{0};
  std::atomic<bool> m_hung_up{false};
  TimePoint m_last_token_at{};
  TimePoint m_attempt_first_token_at{};
  std::uint32_t m_attempt_tokens = 0;
};

}  // namespace corneltray

#endif  // CORNELTRAY_ANSWER_RUNNER_H_
