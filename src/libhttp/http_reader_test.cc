#include "corneltray/http_reader.h"

#include <doctest/doctest.h>

#include <optional>
#include <ostream>
#include <string>

namespace corneltray {
namespace {

constexpr std::size_t kMaxHead = 1024;

// Reads a text in parts of the given size. Returns the error, if there is one.
Status ReadInParts(HttpReader* reader, std::string_view text, std::size_t part, std::string* body) {
  while (!text.empty()) {
    const auto taken = reader->Read(text.substr(0, part), body);
    if (!taken) return taken.error();
    if (taken.value() == 0) break;
    text.remove_prefix(taken.value());
  }
  return {};
}

TEST_CASE("an HTTP reader takes one message at a time from a byte stream") {
  HttpReader reader(HttpMessageKind::kRequest, kMaxHead);
  std::string body;

  SUBCASE("however the bytes are cut") {
    for (const std::size_t part : {std::size_t{1}, std::size_t{7}, std::size_t{4096}}) {
      CAPTURE(part);
      HttpReader fresh(HttpMessageKind::kRequest, kMaxHead);
      body.clear();
      const std::string text =
          "POST /a/b?c=d HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
      REQUIRE(ReadInParts(&fresh, text, part, &body).Ok());
      CHECK(fresh.MessageComplete());
      CHECK(fresh.Head().method == "POST");
      CHECK(fresh.Head().target == "/a/b?c=d");
      CHECK(fresh.Head().Path() == "/a/b");
      CHECK(fresh.Head().Value("host") == "x");
      CHECK(body == "hello");
    }
  }
  SUBCASE("and leaves the bytes of the next one") {
    const std::string first = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    const auto taken = reader.Read(first + "GET /next", &body);
    REQUIRE(taken.Ok());
    CHECK(taken.value() == first.size());
    CHECK(reader.MessageComplete());
  }
  SUBCASE("and decodes chunks") {
    const std::string text =
        "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    REQUIRE(ReadInParts(&reader, text, 5, &body).Ok());
    CHECK(body == "abcde");
    CHECK(reader.MessageComplete());
  }
}

// Guards against request smuggling: what two parsers may frame differently is refused.
TEST_CASE("an HTTP reader refuses ambiguous framing") {
  const std::string start = "POST / HTTP/1.1\r\nHost: x\r\n";
  const std::string cases[] = {
      start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
      start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
      start + "X-Folded: a\r\n b\r\n\r\n",
      start + "Content-Length : 3\r\n\r\nabc",
      "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "nonsense\r\n\r\n",
  };
  for (const std::string& text : cases) {
    CAPTURE(text);
    HttpReader reader(HttpMessageKind::kRequest, kMaxHead);
    std::string body;
    const Status read = ReadInParts(&reader, text, text.size(), &body);
    REQUIRE_FALSE(read.Ok());
    CHECK(read.error().code == HttpReaderErrc::kMalformed);
  }
}

TEST_CASE("an HTTP reader bounds the head") {
  HttpReader reader(HttpMessageKind::kRequest, kMaxHead);
  std::string body;
  const auto read = reader.Read("GET / HTTP/1.1\r\nX: " + std::string(kMaxHead, 'a'), &body);
  REQUIRE_FALSE(read.Ok());
  CHECK(read.error().code == HttpReaderErrc::kHeadTooLarge);
}

// Guards against an answer that was cut off and looks complete.
TEST_CASE("an answer is complete only at its end") {
  HttpReader reader(HttpMessageKind::kResponse, kMaxHead);
  std::string body;

  SUBCASE("without a length it ends with the connection") {
    REQUIRE(reader.Read("HTTP/1.1 200 OK\r\n\r\nabc", &body).Ok());
    CHECK_FALSE(reader.MessageComplete());
    CHECK_FALSE(reader.KeepsConnection());
    CHECK(reader.ReadEnd().Ok());
    CHECK(body == "abc");
  }
  SUBCASE("with a length the end of the connection truncates it") {
    REQUIRE(reader.Read("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", &body).Ok());
    CHECK_FALSE(reader.ReadEnd().Ok());
  }
  SUBCASE("in chunks the last one is missing") {
    REQUIRE(reader.Read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", &body)
                .Ok());
    CHECK_FALSE(reader.ReadEnd().Ok());
  }
}

// Reads a response head with an empty line after it. Returns whether it was taken.
bool IsTaken(const std::string& head) {
  HttpReader reader(HttpMessageKind::kResponse, kMaxHead);
  std::string body;
  const Status read = ReadInParts(&reader, head + "\r\n\r\n", 16, &body);
  if (!read.Ok()) CHECK(read.error().code == HttpReaderErrc::kMalformed);
  return read.Ok();
}

// Guards against a status that HTTP does not define, which callers would get or which looks
// interim.
TEST_CASE("a response has a status of three digits from 100 to 599") {
  for (const std::string status :
       {"000", "042", "099", "600", "999", "20", "0200", "1000", "-200"}) {
    CAPTURE(status);
    CHECK_FALSE(IsTaken("HTTP/1.1 " + status + " X\r\nContent-Length: 0"));
  }
  for (const std::string status : {"200", "299", "418", "599"}) {
    CAPTURE(status);
    CHECK(IsTaken("HTTP/1.1 " + status + " X\r\nContent-Length: 0"));
    CHECK(IsTaken("HTTP/1.1 " + status + "\r\nContent-Length: 0"));
  }
}

// Guards against a start line that another program reads differently, or that is not HTTP's.
TEST_CASE("a response begins with the status line of HTTP") {
  const std::string length = "\r\nContent-Length: 0";
  for (const std::string line :
       {"HXXX/1.1 200 OK", "HTTQ/1.1 200 OK", "ICY 200 OK", "HTTP/2.0 200 OK", "HTTP/1.1200 OK",
        "HTTP/1.1\t200 OK", "HTTP/1.1  200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 OK",
        "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\x7fK", "HTTP/1.1 200 O\rK", "HTTP/1.1 200 \x1b"}) {
    CAPTURE(line);
    CHECK_FALSE(IsTaken(line + length));
  }
  CHECK_FALSE(IsTaken(std::string("HTTP/1.1 200 O") + '\0' + "K" + length));
  for (const std::string line : {"HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ",
                                 "HTTP/1.1 200 a\tb", "HTTP/1.1 200 \xe9\xff"}) {
    CAPTURE(line);
    CHECK(IsTaken(line + length));
  }
}

// Guards against a head that ends earlier for the parser than for other programs: the rest of the
// fields then passes for the body.
TEST_CASE("the fields of a response are lines of names and values") {
  const std::string start = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n";
  for (const std::string field :
       {"X Odd: v", "X-Odd : v", " X-Odd: v", "X\tOdd: v", "X\x01Odd: v", "X\x7fOdd: v",
        "X\rOdd: v", "\rX-Odd: v", "\r\rX-Odd: v", "X\nOdd: v", "\nX-Odd: v", "\n\nX-Odd: v", ": v",
        "X-Odd", "X(Odd): v", "X-Odd: a\x01z", "X-Odd: a\rz", "X-Odd: a\n\nz"}) {
    CAPTURE(field);
    CHECK_FALSE(IsTaken(start + field));
    CHECK_FALSE(IsTaken(start + field + "\r\nX-Last: v"));
    CHECK_FALSE(IsTaken("HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 6"));
  }
  CHECK_FALSE(IsTaken(start + "X" + '\0' + "Odd: v"));
  for (const std::string field : {"!#$%&'*+-.^_`|~9: v", "X-None:", "X-None: ", "X-Tab:\ta\tb\t",
                                  "X-High: \xe9\xff", "x:y"}) {
    CAPTURE(field);
    CHECK(IsTaken(start + field));
  }
}

// Reads a response with a body in chunks, in parts of each size. Returns the body, or nullopt if it
// is refused or not complete.
std::optional<std::string> ReadChunks(const std::string& chunks) {
  std::optional<std::string> result;
  for (std::size_t part = 1; part <= chunks.size(); ++part) {
    HttpReader reader(HttpMessageKind::kResponse, kMaxHead);
    std::string body;
    const std::string text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks;
    const bool is_read = ReadInParts(&reader, text, part, &body).Ok() && reader.MessageComplete();
    const std::optional<std::string> now = is_read ? std::optional(body) : std::nullopt;
    if (part > 1) CHECK(now == result);
    result = now;
  }
  return result;
}

// Guards against a body that was cut or mixed up on its way and passes for a whole one.
TEST_CASE("each chunk ends as HTTP demands") {
  for (const std::string chunks :
       {"3\r\nabcXX0\r\n\r\n", "3\r\nabc\rX0\r\n\r\n", "3\r\nabc\n\n0\r\n\r\n",
        "3\rXabc\r\n0\r\n\r\n", "3 x\r\nabc\r\n0\r\n\r\n", "3;\x01\r\nabc\r\n0\r\n\r\n",
        "3;\n\r\nabc\r\n0\r\n\r\n", "3\r\nabc\r\n0\r\n\rX", "3\r\nabc\r\n0\rX\r\n",
        "3\r\nabc\r\n0\r\n\n", "-3\r\nabc\r\n0\r\n\r\n", "0x3\r\nabc\r\n0\r\n\r\n",
        "11111111111111111\r\nabc\r\n0\r\n\r\n", "3\r\nabc\r\n0\r\nX Odd: v\r\n\r\n",
        "3\r\nabc\r\n0\r\nX: v\r\n w\r\n\r\n", "3\r\nabc\r\n0\r\nX: a\x01\r\n\r\n",
        "3\r\nabc\r\n0\r\nX: v\n\r\n"}) {
    CAPTURE(chunks);
    CHECK_FALSE(ReadChunks(chunks).has_value());
  }
  for (const std::string chunks :
       {"3\r\nabc\r\n0\r\n\r\n", "003\r\nabc\r\n000\r\n\r\n", "3  \r\nabc\r\n0 \r\n\r\n",
        "1\r\na\r\n2;x=\"y z\";w\r\nbc\r\n0;x\r\n\r\n", "3\r\nabc\r\n0\r\nX: v\r\nY:\r\n\r\n"}) {
    CAPTURE(chunks);
    CHECK(ReadChunks(chunks) == "abc");
  }
  CHECK(ReadChunks("0A\r\n0123456789\r\n0\r\n\r\n") == "0123456789");
}

// Guards against a final response with an interim status, after which no other response comes.
TEST_CASE("an interim response has no body and switches to no other protocol") {
  for (const std::string head : {"HTTP/1.1 100 Continue", "HTTP/1.1 102 Processing",
                                 "HTTP/1.1 103 Early Hints\r\nLink: </a>", "HTTP/1.1 199 X"}) {
    CAPTURE(head);
    CHECK(IsTaken(head));
  }
  for (const std::string head :
       {"HTTP/1.1 199 X\r\nContent-Length: 6", "HTTP/1.1 100 Continue\r\nContent-Length: 0",
        "HTTP/1.1 102 X\r\nTransfer-Encoding: chunked", "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x"}) {
    CAPTURE(head);
    CHECK_FALSE(IsTaken(head));
  }
}

TEST_CASE("fields that concern one connection are taken off") {
  HttpHead head;
  head.Add("Host", "x");
  head.Add("Connection", "close, X-Private");
  head.Add("X-Private", "1");
  head.Add("Transfer-Encoding", "chunked");
  head.Add("Keep-Alive", "timeout=4");
  RemoveConnectionFields(&head);
  REQUIRE(head.fields.size() == 1);
  CHECK(head.fields[0].name == "Host");
  CHECK(FormatRetryAfter(std::chrono::milliseconds(1500)) == "1.500");
  CHECK(FormatRetryAfter(std::chrono::milliseconds(2000)) == "2");
}

}  // namespace
}  // namespace corneltray
