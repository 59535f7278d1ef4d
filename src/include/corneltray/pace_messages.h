#ifndef CORNELTRAY_PACE_MESSAGES_H_
#define CORNELTRAY_PACE_MESSAGES_H_

#include <nlohmann/json_fwd.hpp>

#include "corneltray/result.h"
#include "corneltray/server_pace.h"

namespace corneltray {

// Encodes what one host, or all hosts together, have seen of paced servers. Part of a route table
// fetch.
nlohmann::json EncodePaceCounts(const ServerPaceCounts& counts);
// Fails on a malformed body and then returns no part of it.
Result<ServerPaceCounts> DecodePaceCounts(const nlohmann::json& body);

// Encodes the sum over all hosts. Part of the reply to a route table fetch.
nlohmann::json EncodeFleetPace(const FleetPace& fleet);
Result<FleetPace> DecodeFleetPace(const nlohmann::json& body);

}  // namespace corneltray

#endif  // CORNELTRAY_PACE_MESSAGES_H_
