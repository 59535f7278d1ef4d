#include "corneltray/filters.h"
#include "corneltray/routing_state.h"
#include "route_log.h"

namespace corneltray {

FilterResult RouteFilter::Apply(RequestContext& context) {
  const auto* call = std::get_if<CompletionCall>(&context.call);
  // Replicas of plain services are chosen at dispatch, for each try.
  if (call == nullptr) return Continue{};
  const ModelKey key{call->model, call->config.version, call->adapter};
  Result<Route> route = m_entry->routing->ChooseChain(
      key, call->config.layers, PrefixHash(key, call->prompt), {}, call->priority);
  if (!route) {
    LogNoRoute(context, route.error());
    return Refuse({ApiCode::kNoPipeline, "no chain of engines serves the model now", "",
                   BookingState::kNotRun, 1000, 0},
                  context);
  }
  context.route = std::move(route).value();
  return Continue{};
}

}  // namespace corneltray
