#include "corneltray/control_state.h"

#include <algorithm>
#include <nlohmann/json.hpp>
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
  };
  return std::visit(Visitor{*this}, command);
}

BookingReply ControlState::ReadBooking(const BookingKey& key) const {
  return m_bookings.Read(key, m_log_time);
}

std::string ControlState::Snapshot() const {
  const json snapshot = {{"version", kSnapshotVersion},
                         {"log_time", m_log_time},
                         {"bookings", m_bookings.Snapshot()},
                         {"configuration", m_configuration.Snapshot()}};
  std::string bytes;
  json::to_cbor(snapshot, bytes);
  return bytes;
}

Status ControlState::Restore(const std::string& bytes) {
  try {
    const json snapshot = json::from_cbor(bytes);
    const int version = snapshot.at("version");
    if (version != kSnapshotVersion) {
      return Error{ControlStateErrc::kMalformedSnapshot, "version " + std::to_string(version)};
    }
    ControlState restored;
    restored.m_log_time = snapshot.at("log_time");
    restored.m_bookings.Restore(snapshot.at("bookings"));
    restored.m_configuration.Restore(snapshot.at("configuration"));
    *this = std::move(restored);
    return {};
  } catch (const json::exception& failure) {
    return Error{ControlStateErrc::kMalformedSnapshot, failure.what()};
  }
}

}  // namespace corneltray
