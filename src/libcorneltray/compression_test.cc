#include "corneltray/compression.h"

#include <doctest/doctest.h>

#include <ostream>

namespace corneltray {
namespace {

TEST_CASE("a text survives compression") {
  std::string text;
  for (int i = 0; i < 20000; ++i) text += "route " + std::to_string(i % 97) + "\n";
  const std::string bytes = Compress(text);
  CHECK(bytes.size() < text.size() / 5);
  const auto restored = Decompress(bytes, text.size());
  REQUIRE(restored.Ok());
  CHECK(restored.value() == text);
  CHECK(Decompress(Compress(""), 10).value().empty());

  SUBCASE("a text over the limit is refused") {
    const auto refused = Decompress(bytes, text.size() - 1);
    REQUIRE_FALSE(refused.Ok());
    CHECK(refused.error().code == CompressionErrc::kTooLarge);
  }
  SUBCASE("bytes that are cut off or wrong are refused") {
    CHECK_FALSE(Decompress(bytes.substr(0, bytes.size() / 2), text.size()).Ok());
    CHECK_FALSE(Decompress("no zlib bytes", 100).Ok());
  }
}

}  // namespace
}  // namespace corneltray
