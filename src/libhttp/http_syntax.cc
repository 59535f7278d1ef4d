#include "corneltray/http_syntax.h"

#include <algorithm>

namespace corneltray {
namespace {

constexpr std::string_view kVersionStart = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

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

}  // namespace

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

}  // namespace corneltray
