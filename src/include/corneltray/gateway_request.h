#ifndef CORNELTRAY_GATEWAY_REQUEST_H_
#define CORNELTRAY_GATEWAY_REQUEST_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "corneltray/dialect.h"
#include "corneltray/enum_names.h"
#include "corneltray/http_head.h"
#include "corneltray/key_lease.h"
#include "corneltray/route_table.h"
#include "corneltray/time.h"

namespace corneltray {

// Why a request is answered here and sent to no upstream.
enum class GatewayRefusal {
  kNoRouteTable,  // this host has no configuration yet
  kNoRequestId,
  kNoRoute,
  kUnknownKey,
  kKeyLeaseLapsed,  // whether the key still holds cannot be known here
  kNoTime,          // the caller's deadline has passed
  kNoUpstream,      // no upstream can run it now
  kOverloaded,      // it would not be served within its deadline
  kRetryBudget,     // every attempt failed without running it, and no more are allowed
  kUpstreamsRefused,
  kStopping,  // this process ends and might not finish it
};

template <>
struct EnumNames<GatewayRefusal> {
  static constexpr EnumName<GatewayRefusal> kTable[] = {
      {GatewayRefusal::kNoRouteTable, "no_route_table"},
      {GatewayRefusal::kNoRequestId, "no_request_id"},
      {GatewayRefusal::kNoRoute, "no_route"},
      {GatewayRefusal::kUnknownKey, "unknown_key"},
      {GatewayRefusal::kKeyLeaseLapsed, "key_lease_lapsed"},
      {GatewayRefusal::kNoTime, "no_time"},
      {GatewayRefusal::kNoUpstream, "no_upstream"},
      {GatewayRefusal::kOverloaded, "overloaded"},
      {GatewayRefusal::kRetryBudget, "retry_budget"},
      {GatewayRefusal::kUpstreamsRefused, "upstreams_refused"},
      {GatewayRefusal::kStopping, "stopping"},
  };
};

// The status of a refusal. 503 tells that the request has not run.
int StatusOf(GatewayRefusal refusal);
// When the caller may come back; nothing when coming back does not help.
std::optional<std::chrono::milliseconds> RetryAfter(GatewayRefusal refusal);

// The head of the answer to a refused request.
HttpHead RefusalHead(GatewayRefusal refusal);

// One request with what the filters found out about it.
struct GatewayRequest {
  HttpHead head;
  TimePoint read_at{};  // when its last byte arrived
  RequestFacts facts;
  std::shared_ptr<const RouteIndex> routes;  // in force when it arrived
  const RouteEntry* route = nullptr;
  const RouteCustomer* customer = nullptr;  // null on a public route
  const RouteService* service = nullptr;
  TimePoint deadline{};  // the earlier of the caller's and the route's
  std::uint32_t priority = 0;
};

// What the filters look at besides the request.
struct GatewayView {
  const Dialect* dialect = nullptr;
  const KeyLease* key_lease = nullptr;
  bool is_stopping = false;
  TimePoint now{};
  TimePoint boot_now{};  // of BootTimeNow
};

// Passes a request through the filters in order: its facts, its route, its customer, its deadline,
// its service. Returns why it is refused, or nothing if it may be sent to an upstream.
std::optional<GatewayRefusal> FilterRequest(const GatewayView& view, GatewayRequest* request);

}  // namespace corneltray

#endif  // CORNELTRAY_GATEWAY_REQUEST_H_
