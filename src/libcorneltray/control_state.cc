#include "corneltray/control_state.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "booking_json.h"
#include "corneltray/member_log_versions.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr int kSnapshotVersion = 1;

class ControlStateCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "corneltray.control_state"; }
  std::string message(int value) const override {
    switch (static_cast<ControlStateErrc>(value)) {
      case ControlStateErrc::kMalformedSnapshot:
        return "malformed snapshot of the replicated state";
      case ControlStateErrc::kMalformedCommand:
        return "malformed command or reply";
      case ControlStateErrc::kUnknownCommand:
        return "a command that this version of the program does not know";
    }
    return "unknown error of the replicated state";
  }
};

}  // namespace

std::error_code make_error_code(ControlStateErrc errc) {
  static const ControlStateCategory category;
  return {static_cast<int>(errc), category};
}

RouteTableReply RouteTableStore::Apply(const ReplaceRouteTable& command) {
  if (command.version < m_version) return {RouteTableVerdict::kOutdated, m_version};
  if (command.version == m_version) {
    const bool same = command.compressed_text == m_compressed_text;
    return {same ? RouteTableVerdict::kHeld : RouteTableVerdict::kConflict, m_version};
  }
  m_version = command.version;
  m_compressed_text = command.compressed_text;
  return {RouteTableVerdict::kApplied, m_version};
}

json RouteTableStore::Snapshot() const {
  return {{"version", m_version}, {"text", ToBinary(m_compressed_text)}};
}

void RouteTableStore::Restore(const json& snapshot) {
  m_version = snapshot.at("version");
  m_compressed_text = FromBinary(snapshot.at("text"));
}

CommandReply ControlState::Apply(const Command& command, UnixMs leader_time) {
  m_log_time = std::max(m_log_time, leader_time);
  m_log_version = std::max(m_log_version, LogVersionOf(command));
  m_bookings.Expire(m_log_time, m_configuration.RetentionMs());
  struct Visitor {
    ControlState& state;
    CommandReply operator()(const ClaimBooking& c) const {
      return state.m_bookings.Claim(c, state.m_log_time);
    }
    CommandReply operator()(const FinishBooking& c) const {
      return state.m_bookings.Finish(c, state.m_log_time);
    }
    CommandReply operator()(const MarkBookingUnknown& c) const {
      return state.m_bookings.MarkUnknown(c, state.m_log_time);
    }
    CommandReply operator()(const RefuseBooking& c) const {
      return state.m_bookings.Refuse(c, state.m_log_time);
    }
    CommandReply operator()(const ApplyConfiguration& c) const {
      return state.m_configuration.Apply(c, state.m_log_time);
    }
    CommandReply operator()(const ReplaceRouteTable& c) const {
      return state.m_route_table.Apply(c);
    }
    CommandReply operator()(const RecordPartVerdicts& c) const {
      return state.m_part_verdicts.Apply(c, state.m_log_time);
    }
  };
  return std::visit(Visitor{*this}, command);
}

BookingReply ControlState::ReadBooking(const BookingKey& key) const {
  return m_bookings.Read(key, m_log_time);
}

std::string ControlState::Snapshot() const {
  const json header = {{"version", kSnapshotVersion},
                       {"log_version", m_log_version},
                       {"log_time", m_log_time},
                       {"configuration", m_configuration.Snapshot()},
                       {"route_table", m_route_table.Snapshot()},
                       {"part_verdicts", m_part_verdicts.Snapshot()}};
  // Only a decoder can find the end of the CBOR header, so its size comes first.
  std::string header_bytes;
  json::to_cbor(header, header_bytes);
  std::string bytes = std::to_string(header_bytes.size()) + "\n";
  bytes += header_bytes;
  m_bookings.AppendSnapshot(&bytes);
  return bytes;
}

Status ControlState::Restore(const std::string& bytes) {
  const auto malformed = [](const std::string& detail) {
    return Error{ControlStateErrc::kMalformedSnapshot, detail};
  };
  std::size_t header_size = 0;
  const char* const end = bytes.data() + bytes.size();
  const auto [after, failure] = std::from_chars(bytes.data(), end, header_size);
  if (failure != std::errc() || after == end || *after != '\n') return malformed("no header size");
  const std::size_t header_offset = static_cast<std::size_t>(after - bytes.data()) + 1;
  if (header_size > bytes.size() - header_offset) return malformed("header is truncated");
  try {
    const auto header_begin = bytes.begin() + static_cast<std::ptrdiff_t>(header_offset);
    const json header =
        json::from_cbor(header_begin, header_begin + static_cast<std::ptrdiff_t>(header_size));
    const int version = header.at("version");
    if (version != kSnapshotVersion) return malformed("unknown version " + std::to_string(version));
    ControlState restored;
    // Absent in snapshots written by builds that do not tell their version.
    restored.m_log_version = header.value("log_version", kFirstLogVersion);
    // The parts that such commands change may be unknown here, and would be missing from then on.
    if (restored.m_log_version > kOwnLogVersion) {
      return Error{ControlStateErrc::kUnknownCommand,
                   "the snapshot holds commands of log version " +
                       std::to_string(restored.m_log_version) + ", this version reads up to " +
                       std::to_string(kOwnLogVersion)};
    }
    restored.m_log_time = header.at("log_time");
    restored.m_configuration.Restore(header.at("configuration"));
    // Absent in snapshots written by versions without a route table or without verdicts.
    if (header.contains("route_table")) restored.m_route_table.Restore(header.at("route_table"));
    if (header.contains("part_verdicts")) {
      restored.m_part_verdicts.Restore(header.at("part_verdicts"));
    }
    const std::string_view all = bytes;
    if (!restored.m_bookings.Restore(all.substr(header_offset + header_size))) {
      return malformed("malformed bookings");
    }
    *this = std::move(restored);
    return {};
  } catch (const json::exception& error) {
    return malformed(error.what());
  }
}

}  // namespace corneltray
