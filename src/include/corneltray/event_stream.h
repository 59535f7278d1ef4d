#ifndef CORNELTRAY_EVENT_STREAM_H_
#define CORNELTRAY_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace corneltray {

// A longer event is malformed: an event holds only a few tokens.
constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;

// Extracts the complete events of a text/event-stream, each once and in order, also when the stream
// resumes at another upstream. Bytes of a truncated event are dropped. Not thread safe.
class EventStream {
 public:
  // `last_id` is the last event that the caller already has; the stream starts after it.
  explicit EventStream(const std::string& last_id = "");

  // Appends bytes of the stream. Returns the bytes of the events that are now complete and newer
  // than all previous ones.
  std::string Consume(std::string_view bytes);

  // The stream resumes after LastId at another upstream. Drops the partial event.
  void Restart();

  bool HasPartialEvent() const { return !m_partial.empty(); }
  // An event exceeds kMaxEventBytes, so the stream may be unbounded. Further bytes are ignored.
  bool IsOversized() const { return m_is_oversized; }
  // Id of the last event that was returned, as text; empty before the first.
  const std::string& LastId() const { return m_last_id; }
  std::uint64_t EventCount() const { return m_event_count; }
  // An id was skipped, so events are missing.
  bool HasGap() const { return m_has_gap; }

 private:
  void ConsumeEvent(std::string_view event, std::string* out);

  std::string m_partial;
  std::string m_last_id;
  std::optional<std::uint64_t> m_last_number;
  std::uint64_t m_event_count = 0;
  bool m_has_gap = false;
  bool m_is_oversized = false;
};

}  // namespace corneltray

#endif  // CORNELTRAY_EVENT_STREAM_H_
