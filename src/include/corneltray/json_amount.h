#ifndef CORNELTRAY_JSON_AMOUNT_H_
#define CORNELTRAY_JSON_AMOUNT_H_

#include <cstddef>
#include <nlohmann/json_fwd.hpp>

namespace corneltray {

// Returns an element of an array as a number that an amount can be. Throws like json itself does
// for a wrong type if it is none, is negative or is not finite.
double AmountAt(const nlohmann::json& values, std::size_t index);

}  // namespace corneltray

#endif  // CORNELTRAY_JSON_AMOUNT_H_
