#ifndef CORNELTRAY_FLEET_MESSAGES_H_
#define CORNELTRAY_FLEET_MESSAGES_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "corneltray/result.h"
#include "corneltray/retry.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// An upstream that repeated what it said before.
struct UpstreamRefresh {
  std::string name;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
};

// What upstreams have said to the sender: body of upstream_updates, and of the reply to
// upstream_fetch.
struct UpstreamUpdates {
  std::vector<UpstreamUpdate> updates;
  std::vector<UpstreamRefresh> refreshes;
};

// What one engine showed when a control process of its zone asked it last.
struct EngineHealth {
  std::string name;
  std::uint64_t incarnation = 0;
  bool answers = true;    // false: it was asked several times without an answer
  double load = 0.0;      // share of its memory for prompts that is in use
  double slowness = 1.0;  // over 1: this many times slower than its kind
};

// Body of engine_health.
nlohmann::json EncodeEngineHealth(const std::vector<EngineHealth>& engines);
// Fails on a malformed body; nothing of it is used.
Result<std::vector<EngineHealth>> DecodeEngineHealth(const nlohmann::json& body);

nlohmann::json EncodeUpstreamUpdates(const UpstreamUpdates& updates);
// Fails on a malformed body; nothing of it is used.
Result<UpstreamUpdates> DecodeUpstreamUpdates(const nlohmann::json& body);

// Takes all of it into a table. Returns how many entries were new or changed.
std::size_t ApplyUpstreamUpdates(TimePoint now, const UpstreamUpdates& updates,
                                 UpstreamTable* table);

// Requests and retries by service: part of a fetch of the route table and of its reply.
nlohmann::json EncodeRetryCounts(const std::map<std::string, RetryCounts>& counts);
// Fails on a malformed body.
Result<std::map<std::string, RetryCounts>> DecodeRetryCounts(const nlohmann::json& body);

// Everything that a table holds.
UpstreamUpdates AllUpstreams(const UpstreamTable& table);

}  // namespace corneltray

#endif  // CORNELTRAY_FLEET_MESSAGES_H_
