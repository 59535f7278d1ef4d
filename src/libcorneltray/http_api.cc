#include "corneltray/http_api.h"

#include <openssl/rand.h>

#include <nlohmann/json.hpp>
#include <random>

#include "corneltray/filters.h"
#include "corneltray/log.h"
#include "corneltray/metrics.h"
#include "corneltray/routing_state.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxRequestIdLength = 128;

json ErrorObject(const ApiError& error, const std::string& request_id) {
  json object = {{"code", NameOf(error.code)},
                 {"message", error.message},
                 {"outcome", NameOf(error.outcome)},
                 {"request_id", request_id}};
  if (!error.field.empty()) object["field"] = error.field;
  if (error.retry_after_ms > 0) object["retry_after_ms"] = error.retry_after_ms;
  return {{"error", std::move(object)}};
}

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Accepts a caller's id only if it can stand in a header and a log line as it is.
std::string RequestIdOf(const HttpRequest& request) {
  const std::string& given = request.Header("x-request-id");
  const bool usable = !given.empty() && given.size() <= kMaxRequestIdLength &&
                      given.find_first_not_of(
                          "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                          "0123456789-_.:") == std::string::npos;
  return usable ? given : RandomId();
}

// Applies one filter unless an earlier one has responded.
template <class Filter, class Context>
bool Applies(Filter filter, Context&& context, HttpResponse* response) {
  FilterResult result = filter.Apply(context);
  if (auto* respond = std::get_if<Respond>(&result)) {
    *response = std::move(respond->response);
    return true;
  }
  return false;
}

HttpResponse RunFilters(const EntryContext& entry, const std::shared_ptr<RequestContext>& context) {
  HttpResponse response;
  const bool responded = Applies(ParseFilter(&entry), *context, &response) ||
                         Applies(CustomerFilter(), *context, &response) ||
                         Applies(TargetFilter(&entry), *context, &response) ||
                         Applies(LimitFilter(&entry), *context, &response) ||
                         Applies(IdempotencyFilter(), *context, &response) ||
                         Applies(RouteFilter(&entry), *context, &response) ||
                         Applies(DispatchFilter(&entry), context, &response);
  if (responded) return response;
  return MakeErrorResponse(
      {ApiCode::kUpstreamFailed, "no filter answered", "", BookingState::kUnknown, 0, 0},
      context->request_id);
}

}  // namespace

AdmissionTicket::~AdmissionTicket() { m_routing->FinishRequest(m_customer); }

int StatusOf(ApiCode code) {
  switch (code) {
    case ApiCode::kMalformedBody:
    case ApiCode::kInvalidField:
    case ApiCode::kIdempotencyKeyRequired:
    case ApiCode::kIdempotencyKeyInvalid:
    case ApiCode::kIdempotencyKeyExpired:
    case ApiCode::kInvalidDeadline:
    case ApiCode::kDeadlinePassed:
      return 400;
    case ApiCode::kUnauthorized:
      return 401;
    case ApiCode::kUnknownModel:
    case ApiCode::kUnknownService:
      return 404;
    case ApiCode::kBookingInProgress:
      return 409;
    case ApiCode::kPromptTooLong:
    case ApiCode::kBodyTooLarge:
      return 413;
    case ApiCode::kIdempotencyKeyReused:
      return 422;
    case ApiCode::kLimitExceeded:
    case ApiCode::kOverloaded:
      return 429;
    case ApiCode::kUpstreamFailed:
      return 502;
    case ApiCode::kDraining:
    case ApiCode::kNoPipeline:
    case ApiCode::kNoReplica:
    case ApiCode::kBookingStoreUnavailable:
      return 503;
    case ApiCode::kOutcomeUnknown:
    case ApiCode::kDeadlineExceeded:
      return 504;
    case ApiCode::kAnswerNotStored:
      return 200;
  }
  return 502;
}

HttpResponse MakeErrorResponse(const ApiError& error, const std::string& request_id) {
  HttpResponse response;
  response.status = error.status != 0 ? error.status : StatusOf(error.code);
  response.body = Dump(ErrorObject(error, request_id));
  response.headers = {{"X-Request-Id", request_id},
                      {"Corneltray-Outcome", std::string(NameOf(error.outcome))}};
  if (error.retry_after_ms > 0) {
    const std::int64_t seconds = (error.retry_after_ms + 999) / 1000;
    response.headers.emplace_back("Retry-After", std::to_string(seconds));
  }
  return response;
}

std::string ErrorEventData(const ApiError& error, const std::string& request_id) {
  return Dump(ErrorObject(error, request_id));
}

std::string RandomId() {
  unsigned char bytes[16];
  if (RAND_bytes(bytes, sizeof(bytes)) != 1) {
    std::random_device device;
    for (unsigned char& byte : bytes) byte = static_cast<unsigned char>(device());
  }
  constexpr char kDigits[] = "0123456789abcdef";
  std::string id;
  for (const unsigned char byte : bytes) {
    id.push_back(kDigits[byte >> 4]);
    id.push_back(kDigits[byte & 15]);
  }
  return id;
}

HttpResponse HandleApiRequest(const EntryContext& entry, const HttpRequest& request) {
  auto context = std::make_shared<RequestContext>();
  context->http = request;
  context->request_id = RequestIdOf(request);
  context->arrived_at = Clock::now();
  context->arrived_unix_ms = UnixNow();
  context->configuration = entry.configuration();
  HttpResponse response;
  try {
    response = RunFilters(entry, context);
  } catch (const std::exception& error) {
    LogEvent(LogLevel::kError, "request_failed",
             {{"request_id", context->request_id}, {"detail", error.what()}});
    response = MakeErrorResponse(
        {ApiCode::kUpstreamFailed, "internal error", "", BookingState::kUnknown, 0, 0},
        context->request_id);
  }
  if (response.stream) return response;  // recorded when the stream ends
  const bool is_service = std::holds_alternative<ServiceCallRequest>(context->call);
  entry.metrics->RecordResponse(is_service ? "service" : "completion", response.status,
                                Clock::now() - context->arrived_at);
  return response;
}

}  // namespace corneltray
