#ifndef CORNELTRAY_HTTP_SYNTAX_H_
#define CORNELTRAY_HTTP_SYNTAX_H_

#include <cstdint>
#include <string_view>

// Checks of the grammar of HTTP/1.1 that the parser library leaves out, so that bytes which two
// programs may read differently, or which are no HTTP, are refused.
namespace corneltray {

// Returns whether a text is a token, as the name of a field has to be.
bool IsToken(std::string_view text);

// Returns whether the lines of a complete head, with its final empty line, are those that every
// program sees: a carriage return stands before a line feed only, and no line after the start line
// is empty but the last one.
bool HasUnambiguousLines(std::string_view head);

// Returns whether a complete head begins with the status line of an HTTP/1 response: the version, a
// status of three digits and a reason of printable bytes, which may be missing.
bool HasStatusLine(std::string_view head);

// Checks the framing of a body in chunks. The parser library takes other bytes for the line ends of
// chunks, and any text behind the size of a chunk. Not thread safe.
class ChunkFraming {
 public:
  // Takes the next bytes of the body as received. Returns false once the framing is broken.
  bool Consume(std::string_view bytes);

 private:
  enum class Expected {
    kSize,  // its first digit
    kMoreOfSize,
    kPadding,
    kExtension,
    kEndOfSizeLine,
    kData,
    kDataCarriageReturn,
    kDataLineFeed,
    kTrailer,  // the first byte of a field, or the end
    kTrailerName,
    kTrailerValue,
    kTrailerLineFeed,
    kFinalLineFeed,
    kNothing,
    kBroken,
  };

  Expected Next(char c);
  Expected AfterSize(char c);
  Expected AddDigit(char c);

  Expected m_expected = Expected::kSize;
  std::uint64_t m_size = 0;  // of the rest of the chunk
};

}  // namespace corneltray

#endif  // CORNELTRAY_HTTP_SYNTAX_H_
