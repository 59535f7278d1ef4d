#ifndef CORNELTRAY_ENGINE_FLEET_TEST_H_
#define CORNELTRAY_ENGINE_FLEET_TEST_H_

#include <string>

#include "corneltray/route_table.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// A model of 80 layers on two kinds of accelerators, for tests of routing and placement.
inline EngineProfile TestProfile() {
  EngineProfile profile;
  profile.model = "m";
  profile.layers = 80;
  profile.layer_mb = 1000.0;
  profile.slots = 100;
  profile.kv_token_bytes = 400'000.0;
  profile.kv_capacity_tokens = 50'000.0;
  profile.step_ms = 1.0;
  profile.read_tokens_per_s = 100'000.0;
  profile.usual_prompt_tokens = 800.0;
  profile.usual_answer_tokens = 150.0;
  profile.load_s = 8.0;
  profile.activation_bytes = 20'000.0;
  profile.pipe_mbps = 8'000.0;
  profile.accelerators["fast"] = {"fast", 40'000.0, 2.0, 2.0};
  profile.accelerators["slow"] = {"slow", 20'000.0, 10.0, 10.0};
  return profile;
}

inline UpstreamUpdate TestEngine(const std::string& name, const std::string& zone,
                                 const std::string& kind, std::uint32_t first, std::uint32_t end) {
  UpstreamUpdate update;
  Announcement& announcement = update.announcement;
  announcement.kind = UpstreamKind::kEngine;
  announcement.name = name;
  announcement.service = "s";
  announcement.availability_zone = zone;
  announcement.address = name;
  announcement.accelerator = kind;
  announcement.incarnation = 1;
  announcement.sequence = 1;
  if (first < end) {
    Holding holding;
    holding.key = {"m", "1", ""};
    holding.first_layer = first;
    holding.last_layer = end - 1;
    holding.state = HoldingState::kReady;
    announcement.holdings.push_back(holding);
  }
  return update;
}

}  // namespace corneltray

#endif  // CORNELTRAY_ENGINE_FLEET_TEST_H_
