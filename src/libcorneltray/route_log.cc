#include "route_log.h"

#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "corneltray/log.h"

namespace corneltray {
namespace {

using nlohmann::json;

// Prompts of one application share their instructions at the start; what follows is the caller's
// own text.
constexpr std::size_t kPrefixBytes = 256;

json Candidates(const RouteExplanation& explanation) {
  json list = json::array();
  for (const RouteCandidate& candidate : explanation.candidates) {
    list.push_back({{"name", candidate.name},
                    {"queue", candidate.queue},
                    {"cost_s", candidate.cost_s},
                    {"chosen", candidate.chosen}});
  }
  return list;
}

}  // namespace

void LogChain(const RequestContext& context, const Route& route, std::uint32_t attempt) {
  if (!IsLogged(LogLevel::kInfo)) return;
  json chain = json::array();
  for (const Stage& stage : route.chain.stages) {
    chain.push_back({{"name", stage.name},
                     {"first_layer", stage.first_layer},
                     {"last_layer", stage.last_layer}});
  }
  LogEvent(LogLevel::kInfo, "route",
           {{"request_id", context.request_id},
            {"attempt", attempt},
            {"model", route.chain.key.model},
            {"version", route.chain.key.version},
            {"adapter", route.chain.key.adapter},
            {"chain", std::move(chain)},
            {"candidates", Candidates(route.explanation)},
            {"excluded", route.explanation.excluded},
            {"reason", NameOf(route.explanation.reason)},
            {"revision", context.configuration->revision}});
}

void LogReplica(const RequestContext& context, const ReplicaRoute& route, std::uint32_t attempt) {
  if (!IsLogged(LogLevel::kInfo)) return;
  LogEvent(LogLevel::kInfo, "route",
           {{"request_id", context.request_id},
            {"attempt", attempt},
            {"replica", route.replica.name},
            {"candidates", Candidates(route.explanation)},
            {"excluded", route.explanation.excluded},
            {"reason", NameOf(route.explanation.reason)},
            {"revision", context.configuration->revision}});
}

void LogNoRoute(const RequestContext& context, const Error& error) {
  LogEvent(LogLevel::kWarning, "no_route",
           {{"request_id", context.request_id},
            {"reason", error.ToString()},
            {"revision", context.configuration->revision}});
}

std::uint64_t PrefixHash(const ModelKey& key, const std::string& prompt) {
  const std::string text = key.model + "\n" + key.version + "\n" + key.adapter + "\n" +
                           prompt.substr(0, std::min(prompt.size(), kPrefixBytes));
  const std::uint64_t hash = XXH64(text.data(), text.size(), 0);
  return hash == 0 ? 1 : hash;
}

}  // namespace corneltray
