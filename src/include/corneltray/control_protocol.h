#ifndef CORNELTRAY_CONTROL_PROTOCOL_H_
#define CORNELTRAY_CONTROL_PROTOCOL_H_

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "corneltray/booking.h"
#include "corneltray/control_client.h"
#include "corneltray/control_state.h"

namespace corneltray {

// Bodies of propose, read_booking and history requests and of their replies, shared by the client
// and the control process. A reply contains either the encoded CommandReply or the name of a
// ControlErrc.
inline constexpr char kNotProposedName[] = "not_proposed";
inline constexpr char kUnavailableName[] = "unavailable";

nlohmann::json ProposeBody(const Command& command, std::int64_t timeout_ms);
nlohmann::json ReadBookingBody(const BookingKey& key, std::int64_t timeout_ms);
nlohmann::json HistoryBody(std::size_t limit);

nlohmann::json ReplyBody(const CommandReply& reply);
nlohmann::json ErrorBody(ControlErrc errc, const std::string& detail);

// Decodes a reply. Fails with the error that it reports, or with kMalformedReply.
Result<CommandReply> ParseReplyBody(const nlohmann::json& body);

nlohmann::json HistoryToJson(const std::vector<ConfigurationHistoryRow>& rows);
Result<std::vector<ConfigurationHistoryRow>> HistoryFromJson(const nlohmann::json& rows);

}  // namespace corneltray

#endif  // CORNELTRAY_CONTROL_PROTOCOL_H_
