#include "corneltray/json_amount.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace corneltray {

using nlohmann::json;

double AmountAt(const json& values, std::size_t index) {
  const double amount = values.at(index).get<double>();
  if (!std::isfinite(amount) || amount < 0.0) {
    throw json::other_error::create(502, "an amount is negative or not finite", &values);
  }
  return amount;
}

}  // namespace corneltray
