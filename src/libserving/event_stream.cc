#include "corneltray/event_stream.h"

#include <charconv>

namespace corneltray {
namespace {

constexpr std::string_view kIdField = "id:";
constexpr std::size_t kLongestEventEnd = std::string_view("\n\r\n").size();

std::optional<std::uint64_t> ParseId(std::string_view text) {
  std::uint64_t number = 0;
  const auto [rest, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || rest != text.data() + text.size()) return std::nullopt;
  return number;
}

std::string_view TrimLine(std::string_view line) {
  while (!line.empty() && (line.front() == ' ')) line.remove_prefix(1);
  while (!line.empty() && (line.back() == '\r' || line.back() == ' ')) line.remove_suffix(1);
  return line;
}

// Returns the value of the id field of an event; empty if there is none.
std::string_view FindId(std::string_view event) {
  while (!event.empty()) {
    const std::size_t end = event.find('\n');
    const std::string_view line = event.substr(0, end);
    if (line.substr(0, kIdField.size()) == kIdField) return TrimLine(line.substr(kIdField.size()));
    if (end == std::string_view::npos) break;
    event.remove_prefix(end + 1);
  }
  return {};
}

// Returns the position after the empty line that ends the first event, or npos. The search starts
// at `at`.
std::size_t FindEventEnd(std::string_view bytes, std::size_t at) {
  while ((at = bytes.find('\n', at)) != std::string_view::npos) {
    const std::string_view rest = bytes.substr(at + 1);
    if (!rest.empty() && rest[0] == '\n') return at + 2;
    if (rest.size() > 1 && rest[0] == '\r' && rest[1] == '\n') return at + 3;
    ++at;
  }
  return std::string_view::npos;
}

}  // namespace

EventStream::EventStream(const std::string& last_id)
    : m_last_id(last_id), m_last_number(ParseId(last_id)) {}

std::string EventStream::Consume(std::string_view bytes) {
  std::string out;
  if (m_is_oversized) return out;
  // The end of an event may start within the bytes that are already buffered.
  std::size_t scan_from =
      m_partial.size() < kLongestEventEnd ? 0 : m_partial.size() - kLongestEventEnd;
  if (!m_partial.empty()) {
    m_partial.append(bytes);
    bytes = m_partial;
  }
  while (true) {
    const std::size_t end = FindEventEnd(bytes, scan_from);
    if (end == std::string_view::npos) break;
    ConsumeEvent(bytes.substr(0, end), &out);
    bytes.remove_prefix(end);
    scan_from = 0;
  }
  std::string remainder(bytes);
  m_partial = std::move(remainder);
  m_is_oversized = m_partial.size() > kMaxEventBytes;
  return out;
}

void EventStream::ConsumeEvent(std::string_view event, std::string* out) {
  const std::string_view id = FindId(event);
  if (const auto number = ParseId(id); !id.empty() && number) {
    // An upstream that resumes the stream may start before the requested event.
    if (m_last_number && *number <= *m_last_number) return;
    if (m_last_number && *number != *m_last_number + 1) m_has_gap = true;
    m_last_number = number;
    m_last_id = id;
  }
  ++m_event_count;
  out->append(event);
}

void EventStream::Restart() {
  m_partial.clear();
  m_is_oversized = false;
}

}  // namespace corneltray
