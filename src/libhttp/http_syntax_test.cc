#include "corneltray/http_syntax.h"

#include <doctest/doctest.h>

#include <string>

namespace corneltray {
namespace {

// Guards against names that other programs read differently. How the reader uses these checks is
// tested with it.
TEST_CASE("a token has at least one byte, and no blank, control byte or separator") {
  for (const std::string token : {"x", "X-9", "!#$%&'*+-.^_`|~"}) CHECK(IsToken(token));
  for (const std::string text : {"", " ", "a b", "a\t", "a:", "a\x7f", "\xe9", "(a)"}) {
    CAPTURE(text);
    CHECK_FALSE(IsToken(text));
  }
}

// Guards against a head that ends at different places for two programs.
TEST_CASE("the lines of a head are the same for every program") {
  for (const std::string head : {"a\r\nb\r\n\r\n", "a\nb\r\n\r\n", "\r\na\r\n\r\n"}) {
    CAPTURE(head);
    CHECK(HasUnambiguousLines(head));
  }
  for (const std::string head : {"a\r\n\nb\r\n\r\n", "a\n\r\nb\r\n\r\n", "a\rb\r\n\r\n",
                                 "a\r\r\n\r\n", "a\r\n\rb\r\n\r\n"}) {
    CAPTURE(head);
    CHECK_FALSE(HasUnambiguousLines(head));
  }
}

// Guards against bytes behind the last chunk that pass for a part of the body.
TEST_CASE("the framing of chunks ends with the last one") {
  ChunkFraming framing;
  CHECK(framing.Consume("2\r\nab\r\n0\r\n"));
  CHECK(framing.Consume("\r\n"));
  CHECK_FALSE(framing.Consume("0"));
  CHECK_FALSE(framing.Consume("\r\n"));
}

}  // namespace
}  // namespace corneltray
