#include "corneltray/http_head.h"

#include <doctest/doctest.h>

#include <chrono>
#include <optional>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

TEST_CASE("a Retry-After field is read in seconds") {
  CHECK(ParseRetryAfter("2") == milliseconds(2000));
  CHECK(ParseRetryAfter("0.25") == milliseconds(250));
  CHECK(ParseRetryAfter(FormatRetryAfter(milliseconds(1234))) == milliseconds(1234));
  CHECK(ParseRetryAfter("1e400") == std::nullopt);
  CHECK(ParseRetryAfter("100000000000") == std::chrono::hours(24));

  SUBCASE("and ignored if it is none") {
    for (const char* text :
         {"", "-1", "soon", "nan", "inf", "1 2", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
      CHECK(ParseRetryAfter(text) == std::nullopt);
    }
  }
}

}  // namespace
}  // namespace corneltray
