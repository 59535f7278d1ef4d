#include "corneltray/filters.h"

namespace corneltray {

bool IsUuidV7(const std::string& text) {
  constexpr std::size_t kLength = 36;
  if (text.size() != kLength) return false;
  for (std::size_t i = 0; i < kLength; ++i) {
    const char c = text[i];
    const bool dash = i == 8 || i == 13 || i == 18 || i == 23;
    const bool hex = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    if (dash ? c != '-' : !hex) return false;
  }
  const char variant = text[19];
  return text[14] == '7' && (variant == '8' || variant == '9' || variant == 'a' || variant == 'b');
}

FilterResult IdempotencyFilter::Apply(RequestContext& context) {
  const auto* call = std::get_if<ServiceCallRequest>(&context.call);
  if (call == nullptr || call->idempotent) return Continue{};
  if (call->idempotency_key.empty()) {
    return Refuse({ApiCode::kIdempotencyKeyRequired, "this call needs Idempotency-Key", "",
                   BookingState::kNotRun, 0, 0},
                  context);
  }
  if (!IsUuidV7(call->idempotency_key)) {
    return Refuse(
        {ApiCode::kIdempotencyKeyInvalid, "Idempotency-Key must be a UUID version 7 in lower case",
         "", BookingState::kNotRun, 0, 0},
        context);
  }
  return Continue{};
}

}  // namespace corneltray
