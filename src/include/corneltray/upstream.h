#ifndef CORNELTRAY_UPSTREAM_H_
#define CORNELTRAY_UPSTREAM_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "corneltray/enum_names.h"
#include "corneltray/result.h"

namespace corneltray {

enum class UpstreamKind { kEngine, kService };

template <>
struct EnumNames<UpstreamKind> {
  static constexpr EnumName<UpstreamKind> kTable[] = {
      {UpstreamKind::kEngine, "engine"},
      {UpstreamKind::kService, "service"},
  };
};

enum class UpstreamState { kReady, kLeaving };

template <>
struct EnumNames<UpstreamState> {
  static constexpr EnumName<UpstreamState> kTable[] = {
      {UpstreamState::kReady, "ready"},
      {UpstreamState::kLeaving, "leaving"},
  };
};

enum class HoldingState { kLoading, kReady };

template <>
struct EnumNames<HoldingState> {
  static constexpr EnumName<HoldingState> kTable[] = {
      {HoldingState::kLoading, "loading"},
      {HoldingState::kReady, "ready"},
  };
};

// The weights that make two stages part of the same model. Stages of one chain agree in all three.
struct ModelKey {
  std::string model;
  std::string version;
  std::string adapter;

  bool operator==(const ModelKey& other) const {
    return model == other.model && version == other.version && adapter == other.adapter;
  }
  bool operator<(const ModelKey& other) const;
};

// A range of layers that an engine holds. Both ends are included; layers start at 0.
struct Holding {
  ModelKey key;
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;
  HoldingState state = HoldingState::kLoading;
};

// Load as an engine or service reported it. Reports lag; the receiver notes when one arrived.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double kv_used = 0.0;  // share of the KV cache in use, 0 to 1
};

// What an upstream says about itself. `incarnation` is its start time in Unix milliseconds, so a
// restarted upstream is newer than anything said about its former life.
struct Announcement {
  UpstreamKind kind = UpstreamKind::kEngine;
  std::string service;  // name of the service; empty for an engine that serves by its model alone
  std::string name;
  std::uint64_t incarnation = 0;
  std::string availability_zone;
  std::string address;  // IP:PORT
  UpstreamState state = UpstreamState::kReady;
  bool checks_fence = false;
  std::uint64_t fence = 0;  // greatest fencing number the engine has accepted
  std::string accelerator;
  std::uint64_t memory_bytes = 0;
  double layers_per_s = 0.0;  // layer executions a second for one token
  double link_mbps = 0.0;
  std::vector<Holding> holdings;
  std::uint32_t slots = 0;  // requests that it runs at once; 0: not told
  LoadReport load;
  std::uint64_t sequence = 0;  // grows with each announcement of one incarnation
};

enum class UpstreamErrc { kMalformedAnnouncement = 1, kFieldOutOfBounds };

std::error_code make_error_code(UpstreamErrc errc);

// Converts to and from the JSON form of docs/design.md section 6.2. Decoding fails with the name of
// the field that is missing, has the wrong type or is out of bounds.
nlohmann::json EncodeAnnouncement(const Announcement& announcement);
Result<Announcement> DecodeAnnouncement(const nlohmann::json& body);

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::UpstreamErrc> : std::true_type {};

#endif  // CORNELTRAY_UPSTREAM_H_
