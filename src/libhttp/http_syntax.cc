#include "corneltray/http_syntax.h"

#include <algorithm>
#include <limits>

namespace corneltray {
namespace {

constexpr std::string_view kTokenMarks = "!#$%&'*+-.^_`|~";
constexpr std::string_view kVersionStart = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

bool IsTokenByte(char c) {
  const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return is_letter || IsDigit(c) || kTokenMarks.find(c) != std::string_view::npos;
}

// Returns whether values, reasons and extensions of chunks may hold this byte.
bool IsTextByte(char c) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= kFirstPrintable && byte != kDelete);
}

// Takes the first line off a text, and returns it without its line end.
std::string_view TakeLine(std::string_view* text) {
  const std::size_t end = text->find('\n');
  std::string_view line = text->substr(0, end);
  text->remove_prefix(end == std::string_view::npos ? text->size() : end + 1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

// Returns the value of a hexadecimal digit, or -1.
int HexValue(char c) {
  constexpr int kTen = 10;
  if (IsDigit(c)) return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + kTen;
  if (c >= 'A' && c <= 'F') return c - 'A' + kTen;
  return -1;
}

}  // namespace

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenByte);
}

bool HasUnambiguousLines(std::string_view head) {
  bool has_start_line = false;  // empty lines before it are skipped
  while (!head.empty()) {
    const std::string_view line = TakeLine(&head);
    if (line.find('\r') != std::string_view::npos) return false;
    const bool is_last = head.empty();
    if (line.empty() && has_start_line && !is_last) return false;
    has_start_line = has_start_line || !line.empty();
  }
  return true;
}

bool HasStatusLine(std::string_view head) {
  std::string_view line;
  while (line.empty() && !head.empty()) line = TakeLine(&head);
  if (line.substr(0, kVersionStart.size()) != kVersionStart) return false;
  line.remove_prefix(kVersionStart.size());
  constexpr std::size_t kMinorVersionAndSpace = 2;
  if (line.size() < kMinorVersionAndSpace + kStatusDigits) return false;
  if (!IsDigit(line[0]) || line[1] != ' ') return false;
  line.remove_prefix(kMinorVersionAndSpace);
  const std::string_view status = line.substr(0, kStatusDigits);
  const std::string_view reason = line.substr(kStatusDigits);
  if (!std::all_of(status.begin(), status.end(), IsDigit)) return false;
  return reason.empty() ||
         (reason.front() == ' ' && std::all_of(reason.begin(), reason.end(), IsTextByte));
}

bool ChunkFraming::Consume(std::string_view bytes) {
  while (!bytes.empty() && m_expected != Expected::kBroken) {
    if (m_expected != Expected::kData) {
      m_expected = Next(bytes.front());
      bytes.remove_prefix(1);
      continue;
    }
    const std::uint64_t taken = std::min<std::uint64_t>(m_size, bytes.size());
    m_size -= taken;
    bytes.remove_prefix(static_cast<std::size_t>(taken));
    if (m_size == 0) m_expected = Expected::kDataCarriageReturn;
  }
  return m_expected != Expected::kBroken;
}

ChunkFraming::Expected ChunkFraming::Next(char c) {
  const auto expect = [c](char wanted, Expected next) {
    return c == wanted ? next : Expected::kBroken;
  };
  switch (m_expected) {
    case Expected::kSize:
      return AddDigit(c);
    case Expected::kMoreOfSize:
      return HexValue(c) >= 0 ? AddDigit(c) : AfterSize(c);
    case Expected::kPadding:
      return AfterSize(c);
    case Expected::kExtension:
      if (IsTextByte(c)) return Expected::kExtension;
      return expect('\r', Expected::kEndOfSizeLine);
    case Expected::kEndOfSizeLine:
      return expect('\n', m_size == 0 ? Expected::kTrailer : Expected::kData);
    case Expected::kDataCarriageReturn:
      return expect('\r', Expected::kDataLineFeed);
    case Expected::kDataLineFeed:
      return expect('\n', Expected::kSize);
    case Expected::kTrailer:
      if (IsTokenByte(c)) return Expected::kTrailerName;
      return expect('\r', Expected::kFinalLineFeed);
    case Expected::kTrailerName:
      if (IsTokenByte(c)) return Expected::kTrailerName;
      return expect(':', Expected::kTrailerValue);
    case Expected::kTrailerValue:
      if (IsTextByte(c)) return Expected::kTrailerValue;
      return expect('\r', Expected::kTrailerLineFeed);
    case Expected::kTrailerLineFeed:
      return expect('\n', Expected::kTrailer);
    case Expected::kFinalLineFeed:
      return expect('\n', Expected::kNothing);
    case Expected::kData:
    case Expected::kNothing:
    case Expected::kBroken:
      break;
  }
  return Expected::kBroken;
}

ChunkFraming::Expected ChunkFraming::AfterSize(char c) {
  switch (c) {
    case ' ':
    case '\t':
      return Expected::kPadding;
    case ';':
      return Expected::kExtension;
    case '\r':
      return Expected::kEndOfSizeLine;
    default:
      return Expected::kBroken;
  }
}

ChunkFraming::Expected ChunkFraming::AddDigit(char c) {
  constexpr unsigned kBitsPerDigit = 4;
  const int value = HexValue(c);
  if (value < 0 || m_size > std::numeric_limits<std::uint64_t>::max() >> kBitsPerDigit) {
    return Expected::kBroken;
  }
  m_size = m_size << kBitsPerDigit | static_cast<std::uint64_t>(value);
  return Expected::kMoreOfSize;
}

}  // namespace corneltray
