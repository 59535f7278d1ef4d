#include "corneltray/control_state.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "booking_json.h"

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
  };
  return std::visit(Visitor{*this}, command);
}

BookingReply ControlState::ReadBooking(const BookingKey& key) const {
  return m_bookings.Read(key, m_log_time);
}

std::string ControlState::Snapshot() const {
  const json head = {{"version", kSnapshotVersion},
                     {"log_time", m_log_time},
                     {"configuration", m_configuration.Snapshot()},
                     {"route_table", m_route_table.Snapshot()}};
  // The head is self-delimiting only for a decoder, so its size comes first.
  std::string head_bytes;
  json::to_cbor(head, head_bytes);
  std::string bytes = std::to_string(head_bytes.size()) + "\n";
  bytes += head_bytes;
  m_bookings.AppendSnapshot(&bytes);
  return bytes;
}

Status ControlState::Restore(const std::string& bytes) {
  const auto malformed = [](const std::string& detail) {
    return Error{ControlStateErrc::kMalformedSnapshot, detail};
  };
  std::size_t head_size = 0;
  const char* const end = bytes.data() + bytes.size();
  const auto [after, failure] = std::from_chars(bytes.data(), end, head_size);
  if (failure != std::errc() || after == end || *after != '\n') return malformed("no size");
  const std::size_t head_at = static_cast<std::size_t>(after - bytes.data()) + 1;
  if (head_size > bytes.size() - head_at) return malformed("truncated");
  try {
    const auto head_begin = bytes.begin() + static_cast<std::ptrdiff_t>(head_at);
    const json head =
        json::from_cbor(head_begin, head_begin + static_cast<std::ptrdiff_t>(head_size));
    const int version = head.at("version");
    if (version != kSnapshotVersion) return malformed("version " + std::to_string(version));
    ControlState restored;
    restored.m_log_time = head.at("log_time");
    restored.m_configuration.Restore(head.at("configuration"));
    // Absent in a snapshot of a program version that had no route table.
    if (head.contains("route_table")) restored.m_route_table.Restore(head.at("route_table"));
    const std::string_view all = bytes;
    if (!restored.m_bookings.Restore(all.substr(head_at + head_size))) {
      return malformed("bookings");
    }
    *this = std::move(restored);
    return {};
  } catch (const json::exception& wrong) {
    return malformed(wrong.what());
  }
}

}  // namespace corneltray
