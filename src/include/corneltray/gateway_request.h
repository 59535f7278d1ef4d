#ifndef CORNELTRAY_GATEWAY_REQUEST_H_
#define CORNELTRAY_GATEWAY_REQUEST_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "corneltray/dialect.h"
#include "corneltray/enum_names.h"
#include "corneltray/forwarding.h"
#include "corneltray/http_head.h"
#include "corneltray/key_lease.h"
#include "corneltray/route_table.h"
#include "corneltray/time.h"

namespace corneltray {

// Why the gateway rejects a request without a response from an upstream.
enum class GatewayRefusal {
  kNoRouteTable,  // this host has not received a configuration yet
  kNoRequestId,
  kNoRoute,
  kUnknownKey,
  kKeyLeaseLapsed,  // this host cannot tell whether the key is still valid
  kNoTime,          // the caller's deadline has passed
  kNoUpstream,      // no upstream is available for it
  kOverloaded,      // it would miss its deadline
  kRetryBudget,     // every attempt failed without running it, and the budget allows no more
  kUpstreamsRefused,
  kQuarantinedPart,  // its prompt holds a part on which upstreams crash
  kStopping,         // this process is shutting down and might not finish it
  kOtherRouteTable,  // another host forwarded it and has another version of the route table
  kIsolated,         // another host forwarded it, and this one reaches no upstream either
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
      {GatewayRefusal::kQuarantinedPart, "quarantined_part"},
      {GatewayRefusal::kStopping, "stopping"},
      {GatewayRefusal::kOtherRouteTable, "other_route_table"},
      {GatewayRefusal::kIsolated, "isolated"},
  };
};

// Returns the HTTP status of a refusal. 503 means that the request has not run.
int StatusOf(GatewayRefusal refusal);
// Returns the delay after which the caller may retry, or nullopt if a retry does not help.
std::optional<std::chrono::milliseconds> RetryAfter(GatewayRefusal refusal);

// Returns the head of the response to a refused request. `retry_after` replaces the delay that is
// usual for the refusal.
HttpHead RefusalHead(GatewayRefusal refusal,
                     std::optional<std::chrono::milliseconds> retry_after = std::nullopt);

// A request and what the filters resolved for it.
struct GatewayRequest {
  HttpHead head;
  TimePoint read_at{};  // when the last byte arrived
  RequestMetadata metadata;
  std::optional<ForwardedRequest> forwarded;  // by another host
  std::shared_ptr<const RouteIndex> routes;   // current when it arrived
  const RouteEntry* route = nullptr;
  const RouteCustomer* customer = nullptr;  // null on a public route
  const RouteService* service = nullptr;
  TimePoint deadline{};  // the earlier of the caller's and the route's deadline
  std::uint32_t priority = 0;
};

// Upstreams at which the request may run.
std::uint32_t MaxUpstreams(const GatewayRequest& request);

// Tokens that the request holds on average, while it runs, in the KV cache of each stage of its
// chain; 0 if its service has no engines.
double HeldTokens(const GatewayRequest& request);

// State of the gateway that the filters read.
struct FilterContext {
  const Dialect* dialect = nullptr;
  const KeyLease* key_lease = nullptr;
  bool is_stopping = false;
  bool is_isolated = false;
  TimePoint now{};
  TimePoint boot_now{};  // of BootTimeNow
};

// Runs a request through the filters, which resolve its metadata, route, customer, deadline and
// service in this order. Returns why it is refused, or nullopt if it
// may be sent to an upstream.
std::optional<GatewayRefusal> FilterRequest(const FilterContext& view, GatewayRequest* request);

}  // namespace corneltray

#endif  // CORNELTRAY_GATEWAY_REQUEST_H_
