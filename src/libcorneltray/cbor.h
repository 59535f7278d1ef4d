#ifndef CORNELTRAY_CBOR_H_
#define CORNELTRAY_CBOR_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace corneltray {

// Decodes CBOR from outside, or returns nothing if it is malformed. json::from_cbor throws for an
// excessive container size even when exceptions are turned off, so it is never called without this.
inline std::optional<nlohmann::json> ParseCbor(std::string_view bytes) {
  try {
    return nlohmann::json::from_cbor(bytes.begin(), bytes.end());
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace corneltray

#endif  // CORNELTRAY_CBOR_H_
