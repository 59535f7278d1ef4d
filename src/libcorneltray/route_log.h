#ifndef CORNELTRAY_ROUTE_LOG_H_
#define CORNELTRAY_ROUTE_LOG_H_

#include <cstdint>
#include <string>

#include "corneltray/http_api.h"
#include "corneltray/router.h"

namespace corneltray {

// Write one line for a routing decision.
void LogChain(const RequestContext& context, const Route& route, std::uint32_t attempt);
void LogReplica(const RequestContext& context, const ReplicaRoute& route, std::uint32_t attempt);
void LogNoRoute(const RequestContext& context, const Error& error);

// Returns a hash of the start of a prompt, by which requests with the same prefix go to the engine
// that has it cached. Never 0.
std::uint64_t PrefixHash(const ModelKey& key, const std::string& prompt);

}  // namespace corneltray

#endif  // CORNELTRAY_ROUTE_LOG_H_
