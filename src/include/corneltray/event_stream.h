#ifndef CORNELTRAY_EVENT_STREAM_H_
#define CORNELTRAY_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace corneltray {

// A longer event is malformed; events hold a few tokens.
constexpr std::size_t kMaxEventBytes = std::size_t{256} * 1024;

// Passes on the whole events of a text/event-stream, each once and in order, also when the stream
// goes on at another upstream. Bytes of an event that was cut off are dropped. Not thread safe.
class EventStream {
 public:
  // A stream of a caller that has the events up to `last_id` starts after it.
  explicit EventStream(const std::string& last_id = "");

  // Takes bytes of the stream. Returns the bytes of the events that became whole and are newer than
  // all before.
  std::string Consume(std::string_view bytes);

  // Another upstream goes on after LastId. What is left of an event is dropped.
  void Restart();

  // Whether bytes of an unfinished event are left over.
  bool HasPartialEvent() const { return !m_partial.empty(); }
  // An event is over the limit, so bytes may come without end. Nothing more is taken.
  bool IsOversized() const { return m_is_oversized; }
  // Id of the last event that was passed on, as text; empty before the first.
  const std::string& LastId() const { return m_last_id; }
  std::uint64_t EventCount() const { return m_event_count; }
  // An id was passed over: events are missing.
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
