#include <algorithm>

#include "booking_runner.h"
#include "corneltray/filters.h"

namespace corneltray {
namespace {

ApiError CheckCompletion(const RequestContext& context, CompletionCall* call) {
  const auto model = context.configuration->models.find(call->model);
  if (model == context.configuration->models.end()) {
    return {ApiCode::kUnknownModel, "no such model", "model", BookingState::kNotRun, 0, 0};
  }
  call->config = model->second;
  const auto& adapters = call->config.adapters;
  if (!call->adapter.empty() &&
      std::find(adapters.begin(), adapters.end(), call->adapter) == adapters.end()) {
    return {ApiCode::kInvalidField,
            "the model has no such adapter",
            "adapter",
            BookingState::kNotRun,
            0,
            0};
  }
  if (call->max_tokens > call->config.max_tokens) {
    return {ApiCode::kInvalidField,
            "max_tokens must be at most " + std::to_string(call->config.max_tokens),
            "max_tokens",
            BookingState::kNotRun,
            0,
            0};
  }
  if (call->prompt.size() > call->config.max_prompt_bytes) {
    return {ApiCode::kPromptTooLong,
            "the prompt is over " + std::to_string(call->config.max_prompt_bytes) + " bytes",
            "prompt",
            BookingState::kNotRun,
            0,
            0};
  }
  // A caller may lower the priority of its request below that of its customer, not raise it.
  call->priority = std::max(call->priority, context.customer_priority);
  return {};
}

// Returns whether the configuration marks a call as one that may be repeated.
bool IsIdempotent(const ServiceConfig& service, const std::string& method,
                  const std::string& target) {
  if (method == "GET" || method == "HEAD") return true;
  const std::string path = target.substr(0, target.find('?'));
  for (const std::string& call : service.idempotent_calls) {
    const std::size_t space = call.find(' ');
    if (space == std::string::npos || call.compare(0, space, method) != 0) continue;
    const std::string prefix = call.substr(space + 1);
    if (path.compare(0, prefix.size(), prefix) != 0) continue;
    // A prefix ends at the end of a segment, so that "/v1/stock" does not cover "/v1/stock-holds".
    if (path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/') {
      return true;
    }
  }
  return false;
}

}  // namespace

FilterResult TargetFilter::Apply(RequestContext& context) {
  if (auto* completion = std::get_if<CompletionCall>(&context.call)) {
    const ApiError error = CheckCompletion(context, completion);
    if (!error.message.empty()) return Refuse(error, context);
    return Continue{};
  }
  auto& call = std::get<ServiceCallRequest>(context.call);
  const auto service = context.configuration->services.find(call.service);
  if (service != context.configuration->services.end()) {
    call.config = service->second;
    call.idempotent = IsIdempotent(call.config, context.http.method, call.target);
    return Continue{};
  }
  call.idempotent = context.http.method == "GET" || context.http.method == "HEAD";
  const ApiError error{
      ApiCode::kUnknownService, "no such service", "", BookingState::kNotRun, 0, 0};
  // Another host may know the service by a newer configuration, so "not run" has to be recorded.
  if (!call.idempotent && IsUuidV7(call.idempotency_key)) {
    return Respond{RefuseBookingCall(*m_entry, context, error)};
  }
  return Refuse(error, context);
}

}  // namespace corneltray
