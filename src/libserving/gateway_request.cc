#include "corneltray/gateway_request.h"

#include <algorithm>

#include "corneltray/crash_attribution.h"

namespace corneltray {
namespace {

using Filter = std::optional<GatewayRefusal> (*)(const FilterContext&, GatewayRequest*);

std::optional<GatewayRefusal> CheckStopping(const FilterContext& context, GatewayRequest*) {
  if (context.is_stopping) return GatewayRefusal::kStopping;
  return std::nullopt;
}

std::optional<GatewayRefusal> CheckRouteTable(const FilterContext&, GatewayRequest* request) {
  if (request->routes == nullptr) return GatewayRefusal::kNoRouteTable;
  return std::nullopt;
}

std::optional<GatewayRefusal> ReadFacts(const FilterContext& context, GatewayRequest* request) {
  request->metadata = context.dialect->ReadRequest(request->head);
  if (request->metadata.request_id.empty()) return GatewayRefusal::kNoRequestId;
  return std::nullopt;
}

// A request that one host has admitted by a table has to be served by the same table, or the
// effects of a change would come and go for its callers.
std::optional<GatewayRefusal> CheckForwarded(const FilterContext& context,
                                             GatewayRequest* request) {
  if (!request->forwarded) return std::nullopt;
  if (context.is_isolated) return GatewayRefusal::kIsolated;
  const std::uint64_t version = request->routes->Table().version;
  if (request->forwarded->route_version != version) return GatewayRefusal::kOtherRouteTable;
  return std::nullopt;
}

std::optional<GatewayRefusal> FindRoute(const FilterContext&, GatewayRequest* request) {
  const HttpHead& head = request->head;
  request->route = request->routes->FindRoute(head.Value("Host"), head.Path());
  if (request->route == nullptr) return GatewayRefusal::kNoRoute;
  request->priority = request->route->priority;
  return std::nullopt;
}

std::optional<GatewayRefusal> IdentifyCustomer(const FilterContext& context,
                                               GatewayRequest* request) {
  if (!request->routes->RequiresKey(*request->route)) return std::nullopt;
  // A key can only be checked while the table is known to be the newest one.
  if (!context.key_lease->IsValid(context.boot_now)) return GatewayRefusal::kKeyLeaseLapsed;
  request->customer = request->routes->FindCustomer(request->metadata.customer_key);
  if (request->customer == nullptr) return GatewayRefusal::kUnknownKey;
  request->priority = request->customer->priority.value_or(request->priority);
  return std::nullopt;
}

std::optional<GatewayRefusal> SetDeadline(const FilterContext& context, GatewayRequest* request) {
  const std::chrono::milliseconds timeout = request->route->timeout;
  request->deadline =
      request->read_at + std::min(timeout, request->metadata.time_left.value_or(timeout));
  if (request->deadline <= context.now) return GatewayRefusal::kNoTime;
  return std::nullopt;
}

std::optional<GatewayRefusal> FindService(const FilterContext&, GatewayRequest* request) {
  const std::string& name = ChooseTarget(*request->route, request->metadata.request_id);
  request->service = request->routes->FindService(name);
  if (request->service == nullptr) return GatewayRefusal::kNoUpstream;
  return std::nullopt;
}

constexpr Filter kFilters[] = {CheckStopping, CheckRouteTable,  ReadFacts,   CheckForwarded,
                               FindRoute,     IdentifyCustomer, SetDeadline, FindService};

}  // namespace

int StatusOf(GatewayRefusal refusal) {
  switch (refusal) {
    case GatewayRefusal::kNoRequestId:
      return 400;
    case GatewayRefusal::kUnknownKey:
      return 401;
    case GatewayRefusal::kNoRoute:
      return 404;
    case GatewayRefusal::kNoRouteTable:
    case GatewayRefusal::kKeyLeaseLapsed:
    case GatewayRefusal::kNoTime:
    case GatewayRefusal::kNoUpstream:
    case GatewayRefusal::kOverloaded:
    case GatewayRefusal::kRetryBudget:
    case GatewayRefusal::kUpstreamsRefused:
    case GatewayRefusal::kQuarantinedPart:
    case GatewayRefusal::kStopping:
    case GatewayRefusal::kOtherRouteTable:
    case GatewayRefusal::kIsolated:
      return 503;
  }
  return 503;
}

std::optional<std::chrono::milliseconds> RetryAfter(GatewayRefusal refusal) {
  using std::chrono::milliseconds;
  switch (refusal) {
    case GatewayRefusal::kNoRequestId:
    case GatewayRefusal::kUnknownKey:
    case GatewayRefusal::kNoRoute:
    case GatewayRefusal::kNoTime:
      return std::nullopt;
    case GatewayRefusal::kOtherRouteTable:  // hosts of the region agree within milliseconds
    case GatewayRefusal::kIsolated:
    case GatewayRefusal::kStopping:
      return milliseconds(100);  // another host serves the request
    case GatewayRefusal::kNoRouteTable:
      return milliseconds(3000);  // the control processes may be starting and electing a leader
    case GatewayRefusal::kKeyLeaseLapsed:
      return milliseconds(500);  // another host may be able to check the key
    case GatewayRefusal::kUpstreamsRefused:
    case GatewayRefusal::kOverloaded:
    case GatewayRefusal::kRetryBudget:
      return milliseconds(1000);
    case GatewayRefusal::kQuarantinedPart:
      return kTrialDelay;
    case GatewayRefusal::kNoUpstream:
      return milliseconds(1500);  // layers are reloaded within seconds
  }
  return std::nullopt;
}

HttpHead RefusalHead(GatewayRefusal refusal, std::optional<std::chrono::milliseconds> retry_after) {
  HttpHead head = MakeResponse(StatusOf(refusal));
  if (!retry_after) retry_after = RetryAfter(refusal);
  if (retry_after) head.Add("Retry-After", FormatRetryAfter(*retry_after));
  return head;
}

std::uint32_t MaxUpstreams(const GatewayRequest& request) {
  const std::uint32_t allowed = request.route->max_upstreams;
  return request.forwarded ? std::min(allowed, request.forwarded->max_upstreams) : allowed;
}

double HeldTokens(const GatewayRequest& request) {
  if (!request.service->engine) return 0.0;
  return request.metadata.prompt_tokens + request.service->engine->usual_answer_tokens / 2.0;
}

std::optional<GatewayRefusal> FilterRequest(const FilterContext& context, GatewayRequest* request) {
  for (const Filter filter : kFilters) {
    if (const auto refusal = filter(context, request)) return refusal;
  }
  return std::nullopt;
}

}  // namespace corneltray
