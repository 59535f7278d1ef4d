#include "corneltray/pace_messages.h"

#include <nlohmann/json.hpp>

#include "corneltray/json_amount.h"

namespace corneltray {

using nlohmann::json;

json EncodePaceCounts(const ServerPaceCounts& counts) {
  json body = json::object();
  for (const auto& [server, count] : counts) {
    body[server] = {count.incarnation, count.answered, count.latency_ratios,
                    count.busy_s,      count.refused,  count.failed,
                    count.limited,     count.window,   count.hosts};
  }
  return body;
}

Result<ServerPaceCounts> DecodePaceCounts(const json& body) {
  try {
    ServerPaceCounts counts;
    for (const auto& [server, values] : body.items()) {
      PaceCounts& count = counts[server];
      count.incarnation = values.at(0).get<std::uint64_t>();
      count.answered = values.at(1).get<std::uint32_t>();
      count.latency_ratios = AmountAt(values, 2);
      count.busy_s = AmountAt(values, 3);
      count.refused = values.at(4).get<std::uint32_t>();
      count.failed = values.at(5).get<std::uint32_t>();
      count.limited = values.at(6).get<std::uint32_t>();
      count.window = AmountAt(values, 7);
      count.hosts = values.at(8).get<std::uint32_t>();
    }
    return counts;
  } catch (const json::exception& error) {
    return Error{UpstreamErrc::kMalformedAnnouncement, error.what()};
  }
}

json EncodeFleetPace(const FleetPace& fleet) {
  return {{"hosts", fleet.hosts}, {"servers", EncodePaceCounts(fleet.servers)}};
}

Result<FleetPace> DecodeFleetPace(const json& body) {
  try {
    FleetPace fleet;
    fleet.hosts = body.at("hosts").get<std::uint32_t>();
    auto servers = DecodePaceCounts(body.at("servers"));
    if (!servers) return servers.error();
    fleet.servers = std::move(servers).value();
    return fleet;
  } catch (const json::exception& error) {
    return Error{UpstreamErrc::kMalformedAnnouncement, error.what()};
  }
}

}  // namespace corneltray
