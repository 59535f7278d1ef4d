#include <nlohmann/json.hpp>

#include "answer_runner.h"
#include "booking_runner.h"
#include "corneltray/filters.h"
#include "corneltray/log.h"
#include "corneltray/metrics.h"
#include "service_runner.h"

namespace corneltray {
namespace {

using nlohmann::json;

std::string Quote(const std::string& text) {
  return json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

// Returns the JSON of one event or of a whole answer. Put together by hand to spare a JSON tree for
// each token.
std::string Chunk(const RequestContext& context, const std::string& text,
                  const std::string& finish_reason) {
  const auto& call = std::get<CompletionCall>(context.call);
  const std::string finish = finish_reason.empty() ? "null" : Quote(finish_reason);
  return "{\"id\":" + Quote(context.request_id) +
         ",\"object\":\"text_completion\",\"model\":" + Quote(call.model) +
         ",\"choices\":[{\"index\":0,\"text\":" + Quote(text) + ",\"finish_reason\":" + finish +
         "}]}";
}

std::string Event(const std::string& data) { return "data: " + data + "\n\n"; }

ApiError ErrorFor(AnswerFailure failure) {
  if (failure == AnswerFailure::kDeadlineExceeded) {
    return {ApiCode::kDeadlineExceeded,
            "the answer was not complete before the deadline",
            "",
            BookingState::kUnknown,
            0,
            0};
  }
  return {ApiCode::kUpstreamFailed,
          "no engines are left for the answer",
          "",
          BookingState::kUnknown,
          0,
          0};
}

void LogAnswer(const RequestContext& context, const AnswerRunner& runner,
               const AnswerRunner::Outcome& result) {
  const std::string end = result.hung_up   ? "hung_up"
                          : result.failure ? std::string(NameOf(*result.failure))
                                           : result.finish_reason;
  LogEvent(LogLevel::kInfo, "answer",
           {{"request_id", context.request_id},
            {"customer", context.customer},
            {"tokens", runner.Stream().NextIndex()},
            {"attempts", runner.Stream().Attempt()},
            {"end", end}});
}

// Writes the answer as server-sent events. Returns false if the caller has hung up.
bool StreamAnswer(const EntryContext& entry, const RequestContext& context,
                  const StreamWriter& write) {
  AnswerRunner runner(&entry, &context);
  const AnswerRunner::Outcome result = runner.Run(
      [&](const DeliverToken& token) { return write(Event(Chunk(context, token.text, ""))); });
  LogAnswer(context, runner, result);
  const int status = result.failure ? StatusOf(ErrorFor(*result.failure).code) : 200;
  entry.metrics->RecordResponse("stream", result.hung_up ? 499 : status,
                                Clock::now() - context.arrived_at);
  if (result.hung_up) return false;
  if (result.failure) {
    return write(Event(ErrorEventData(ErrorFor(*result.failure), context.request_id)));
  }
  return write(Event(Chunk(context, "", result.finish_reason)) + Event("[DONE]"));
}

HttpResponse CollectAnswer(const EntryContext& entry, const RequestContext& context) {
  AnswerRunner runner(&entry, &context);
  const AnswerRunner::Outcome result = runner.Run([](const DeliverToken&) { return true; });
  LogAnswer(context, runner, result);
  if (result.failure || result.hung_up) {
    return MakeErrorResponse(ErrorFor(result.failure.value_or(AnswerFailure::kUpstreamFailed)),
                             context.request_id);
  }
  HttpResponse response;
  response.headers = {{"X-Request-Id", context.request_id}};
  response.body = Chunk(context, runner.Stream().Text(), result.finish_reason);
  return response;
}

}  // namespace

FilterResult DispatchFilter::Apply(const std::shared_ptr<RequestContext>& context) {
  if (const auto* service = std::get_if<ServiceCallRequest>(&context->call)) {
    return Respond{service->idempotent ? RunIdempotentCall(*m_entry, *context)
                                       : RunBookingCall(*m_entry, *context)};
  }
  if (!std::get<CompletionCall>(context->call).stream) {
    return Respond{CollectAnswer(*m_entry, *context)};
  }
  HttpResponse response;
  response.content_type = "text/event-stream";
  response.headers = {{"X-Request-Id", context->request_id}, {"Cache-Control", "no-cache"}};
  response.stream = [entry = m_entry, context](const StreamWriter& write) {
    return StreamAnswer(*entry, *context, write);
  };
  return Respond{std::move(response)};
}

}  // namespace corneltray
