#ifndef CORNELTRAY_CBOR_H_
#define CORNELTRAY_CBOR_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string_view>

namespace corneltray {

// Decodes untrusted CBOR. Returns nothing if it is malformed. Use this instead of json::from_cbor,
// which throws for an excessive container size even with exceptions turned off.
inline std::optional<nlohmann::json> ParseCbor(std::string_view bytes) {
  try {
    return nlohmann::json::from_cbor(bytes.begin(), bytes.end());
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace corneltray

#endif  // CORNELTRAY_CBOR_H_
