#include "corneltray/json_bounds.h"

#include <algorithm>

namespace corneltray {

std::size_t JsonValueBound(std::string_view text) {
  const auto begins_value = [](char c) { return c == ',' || c == '[' || c == '{'; };
  return 1 + static_cast<std::size_t>(std::count_if(text.begin(), text.end(), begins_value));
}

}  // namespace corneltray
