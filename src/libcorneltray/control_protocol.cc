#include "corneltray/control_protocol.h"

#include <utility>

#include "booking_json.h"

namespace corneltray {
namespace {

using nlohmann::json;

class ControlCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "corneltray.control"; }
  std::string message(int value) const override {
    switch (static_cast<ControlErrc>(value)) {
      case ControlErrc::kUnavailable:
        return "the replicated log did not answer in time";
      case ControlErrc::kNotProposed:
        return "the command did not reach the replicated log";
      case ControlErrc::kMalformedReply:
        return "malformed reply of a control process";
    }
    return "unknown control error";
  }
};

}  // namespace

std::error_code make_error_code(ControlErrc errc) {
  static const ControlCategory category;
  return {static_cast<int>(errc), category};
}

json ProposeBody(const Command& command, std::int64_t timeout_ms) {
  return {{"command", ToBinary(EncodeCommand(command))}, {"timeout_ms", timeout_ms}};
}

json ReadBookingBody(const BookingKey& key, std::int64_t timeout_ms) {
  return {{"key", ToJson(key)}, {"timeout_ms", timeout_ms}};
}

json HistoryBody(std::size_t limit) { return {{"history", limit}}; }

json ReplyBody(const CommandReply& reply) {
  return {{"reply", ToBinary(EncodeCommandReply(reply))}};
}

json ErrorBody(ControlErrc errc, const std::string& detail) {
  const char* name = errc == ControlErrc::kNotProposed ? kNotProposedName : kUnavailableName;
  return {{"error", name}, {"detail", detail}};
}

Result<CommandReply> ParseReplyBody(const json& body) {
  try {
    if (body.contains("error")) {
      const bool not_proposed = body.at("error") == kNotProposedName;
      return Error{not_proposed ? ControlErrc::kNotProposed : ControlErrc::kUnavailable,
                   body.at("detail")};
    }
    auto reply = DecodeCommandReply(FromBinary(body.at("reply")));
    if (!reply) return Error{ControlErrc::kMalformedReply, reply.error().ToString()};
    return reply;
  } catch (const json::exception& error) {
    return Error{ControlErrc::kMalformedReply, error.what()};
  }
}

json HistoryToJson(const std::vector<ConfigurationHistoryRow>& rows) {
  json encoded = json::array();
  for (const ConfigurationHistoryRow& row : rows) {
    encoded.push_back({{"revision", row.revision},
                       {"change_id", row.change_id},
                       {"author", row.author},
                       {"time_ms", row.time}});
  }
  return encoded;
}

Result<std::vector<ConfigurationHistoryRow>> HistoryFromJson(const json& rows) {
  try {
    std::vector<ConfigurationHistoryRow> decoded;
    for (const json& row : rows) {
      decoded.push_back(
          {row.at("revision"), row.at("change_id"), row.at("author"), row.at("time_ms")});
    }
    return decoded;
  } catch (const json::exception& error) {
    return Error{ControlErrc::kMalformedReply, error.what()};
  }
}

}  // namespace corneltray
