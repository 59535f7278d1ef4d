#ifndef CORNELTRAY_BOOKING_JSON_H_
#define CORNELTRAY_BOOKING_JSON_H_

#include <nlohmann/json.hpp>
#include <string>

#include "corneltray/booking.h"

namespace corneltray {

// JSON encoding shared by commands, replies and snapshots. The decoders throw
// nlohmann::json::exception on a missing field or a wrong type.
nlohmann::json ToBinary(const std::string& bytes);
std::string FromBinary(const nlohmann::json& value);

nlohmann::json ToJson(const BookingKey& key);
BookingKey BookingKeyFromJson(const nlohmann::json& value);

nlohmann::json ToJson(const StoredAnswer& answer);
StoredAnswer StoredAnswerFromJson(const nlohmann::json& value);

nlohmann::json ToJson(const ConfigurationDocument& document);
ConfigurationDocument DocumentFromJson(const nlohmann::json& value);

// Returns the enumerator whose name is the given string value.
template <class E>
E EnumFromJson(const nlohmann::json& value) {
  const auto parsed = ParseEnum<E>(value.get_ref<const std::string&>());
  if (!parsed) throw nlohmann::json::other_error::create(501, "unknown name", &value);
  return *parsed;
}

}  // namespace corneltray

#endif  // CORNELTRAY_BOOKING_JSON_H_
