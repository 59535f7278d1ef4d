#ifndef CORNELTRAY_HTTP_API_H_
#define CORNELTRAY_HTTP_API_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include "corneltray/booking.h"
#include "corneltray/configuration.h"
#include "corneltray/enum_names.h"
#include "corneltray/http_server.h"
#include "corneltray/router.h"
#include "corneltray/time.h"

namespace corneltray {

class BackgroundQueue;
class ControlClient;
class EngineClient;
class Metrics;
class RoutingState;
class ServiceClient;

// Error codes of the HTTP API. See docs/design.md section 6.1.
enum class ApiCode {
  kMalformedBody,
  kInvalidField,
  kUnknownModel,
  kUnknownService,
  kUnauthorized,
  kPromptTooLong,
  kBodyTooLarge,
  kIdempotencyKeyRequired,
  kIdempotencyKeyInvalid,
  kIdempotencyKeyExpired,
  kIdempotencyKeyReused,
  kInvalidDeadline,
  kDeadlinePassed,
  kLimitExceeded,
  kOverloaded,
  kDraining,
  kNoPipeline,
  kNoReplica,
  kBookingStoreUnavailable,
  kBookingInProgress,
  kOutcomeUnknown,
  kDeadlineExceeded,
  kUpstreamFailed,
  kAnswerNotStored,
};

template <>
struct EnumNames<ApiCode> {
  static constexpr EnumName<ApiCode> kTable[] = {
      {ApiCode::kMalformedBody, "malformed_body"},
      {ApiCode::kInvalidField, "invalid_field"},
      {ApiCode::kUnknownModel, "unknown_model"},
      {ApiCode::kUnknownService, "unknown_service"},
      {ApiCode::kUnauthorized, "unauthorized"},
      {ApiCode::kPromptTooLong, "prompt_too_long"},
      {ApiCode::kBodyTooLarge, "body_too_large"},
      {ApiCode::kIdempotencyKeyRequired, "idempotency_key_required"},
      {ApiCode::kIdempotencyKeyInvalid, "idempotency_key_invalid"},
      {ApiCode::kIdempotencyKeyExpired, "idempotency_key_expired"},
      {ApiCode::kIdempotencyKeyReused, "idempotency_key_reused"},
      {ApiCode::kInvalidDeadline, "invalid_deadline"},
      {ApiCode::kDeadlinePassed, "deadline_passed"},
      {ApiCode::kLimitExceeded, "limit_exceeded"},
      {ApiCode::kOverloaded, "overloaded"},
      {ApiCode::kDraining, "draining"},
      {ApiCode::kNoPipeline, "no_pipeline"},
      {ApiCode::kNoReplica, "no_replica"},
      {ApiCode::kBookingStoreUnavailable, "booking_store_unavailable"},
      {ApiCode::kBookingInProgress, "booking_in_progress"},
      {ApiCode::kOutcomeUnknown, "outcome_unknown"},
      {ApiCode::kDeadlineExceeded, "deadline_exceeded"},
      {ApiCode::kUpstreamFailed, "upstream_failed"},
      {ApiCode::kAnswerNotStored, "answer_not_stored"},
  };
};

// Returns the HTTP status of a code; 200 for kAnswerNotStored, which has that of the stored answer.
int StatusOf(ApiCode code);

struct ApiError {
  ApiCode code = ApiCode::kUpstreamFailed;
  std::string message;
  std::string field;  // empty: none
  BookingState outcome = BookingState::kNotRun;
  std::int64_t retry_after_ms = 0;  // 0: none
  int status = 0;                   // 0: that of the code
};

// Body and headers of an error answer.
HttpResponse MakeErrorResponse(const ApiError& error, const std::string& request_id);
// The error object on its own, for a server-sent event.
std::string ErrorEventData(const ApiError& error, const std::string& request_id);

// What the filters work with; one for each process. The pointers outlive all requests.
struct EntryContext {
  std::string host;
  std::function<std::shared_ptr<const Configuration>()> configuration;
  std::function<bool()> is_draining;  // past the grace period of a shutdown
  RoutingState* routing = nullptr;
  EngineClient* engines = nullptr;
  ServiceClient* services = nullptr;
  ControlClient* control = nullptr;
  BackgroundQueue* background = nullptr;
  Metrics* metrics = nullptr;
};

// POST /v1/completions.
struct CompletionCall {
  std::string model;
  std::string prompt;
  std::string adapter;
  std::uint32_t max_tokens = 0;
  std::uint32_t priority = 0;
  bool stream = false;
  ModelConfig config;  // of the model, once it is known
};

// ANY /v1/services/SERVICE/PATH.
struct ServiceCallRequest {
  std::string service;
  std::string target;  // path and query as the service gets them
  bool idempotent = false;
  std::string idempotency_key;  // of a call that is not idempotent
  std::string request_hash;     // of method, path and body
  ServiceConfig config;         // of the service, once it is known
};

using ApiCall = std::variant<CompletionCall, ServiceCallRequest>;

// Ends the admission of a request when the last owner is gone.
class AdmissionTicket {
 public:
  AdmissionTicket(RoutingState* routing, std::string customer)
      : m_routing(routing), m_customer(std::move(customer)) {}
  ~AdmissionTicket();
  AdmissionTicket(const AdmissionTicket&) = delete;
  AdmissionTicket& operator=(const AdmissionTicket&) = delete;

 private:
  RoutingState* m_routing;
  std::string m_customer;
};

// One request on its way through the filters. Shared with the function that streams its answer.
struct RequestContext {
  HttpRequest http;
  std::string request_id;
  TimePoint arrived_at{};
  UnixMs arrived_unix_ms = 0;
  TimePoint deadline{};
  UnixMs deadline_unix_ms = 0;
  std::shared_ptr<const Configuration> configuration;
  std::string customer;
  std::uint32_t customer_priority = 0;
  ApiCall call;
  std::unique_ptr<AdmissionTicket> admission;
  std::optional<Route> route;  // of a completion: the first chain
};

struct Continue {};
struct Respond {
  HttpResponse response;
};
using FilterResult = std::variant<Continue, Respond>;

inline FilterResult Refuse(const ApiError& error, const RequestContext& context) {
  return Respond{MakeErrorResponse(error, context.request_id)};
}

// Runs one request through the filter chain of docs/design.md section 3.2. Thread safe.
HttpResponse HandleApiRequest(const EntryContext& entry, const HttpRequest& request);

// Returns a random request id or attempt id: 128 bits in hexadecimal.
std::string RandomId();

}  // namespace corneltray

#endif  // CORNELTRAY_HTTP_API_H_
