#include "corneltray/json_bounds.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

namespace corneltray {
namespace {

using nlohmann::json;

std::size_t CountValues(const json& value) {
  std::size_t count = 1;
  if (value.is_structured()) {
    for (const json& inner : value) count += CountValues(inner);
  }
  return count;
}

// Guards against a text that has more values than the bound says, and so takes more memory.
TEST_CASE("the bound of a text is not below its number of values") {
  for (const char* text : {"1", "[]", "{}", "[[],[],{}]", R"({"a":[1,2,3],"b":{"c":null}})",
                           R"(["a,b","[{"])", "[1,2,3,4,5,6,7,8,9]"}) {
    CAPTURE(text);
    CHECK(JsonValueBound(text) >= CountValues(json::parse(text)));
  }
}

}  // namespace
}  // namespace corneltray
