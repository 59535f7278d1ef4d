#ifndef CORNELTRAY_READ_COUNTERS_H_
#define CORNELTRAY_READ_COUNTERS_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>

#include "corneltray/time.h"

namespace corneltray {

// What a control process has spent on confirmed reads since its start, for the log. Times are of
// the wall clock and include waits for the processor.
struct ReadCounters {
  std::uint64_t rounds_begun = 0;
  std::uint64_t rounds_confirmed = 0;
  std::uint64_t rounds_failed = 0;
  Duration round_time{0};     // of the confirmed rounds
  Duration longest_round{0};  // of the confirmed rounds
  std::uint64_t reads_added = 0;
  std::uint64_t reads_answered = 0;
  std::uint64_t reads_expired = 0;
  // Their host has asked again, so it has given them up.
  std::uint64_t reads_replaced = 0;
  std::uint64_t reports_stored = 0;
  Duration report_time{0};  // spent in answering batches of reports, at the leader
  std::uint64_t sums_made = 0;
  Duration sum_time{0};  // spent in summing and encoding them, at the leader

  void AddRound(Duration time) {
    ++rounds_confirmed;
    round_time += time;
    longest_round = std::max(longest_round, time);
  }

  nlohmann::json ToJson() const {
    const auto milliseconds = [](Duration time) {
      return std::chrono::duration<double, std::milli>(time).count();
    };
    return {{"rounds_begun", rounds_begun},
            {"rounds_confirmed", rounds_confirmed},
            {"rounds_failed", rounds_failed},
            {"round_ms", milliseconds(round_time)},
            {"longest_round_ms", milliseconds(longest_round)},
            {"reads_added", reads_added},
            {"reads_answered", reads_answered},
            {"reads_expired", reads_expired},
            {"reads_replaced", reads_replaced},
            {"reports_stored", reports_stored},
            {"report_ms", milliseconds(report_time)},
            {"sums_made", sums_made},
            {"sum_ms", milliseconds(sum_time)}};
  }
};

// Adds the time until the end of the scope to a counter.
class ScopedTime {
 public:
  explicit ScopedTime(Duration* total) : m_total(total), m_started_at(Clock::now()) {}
  ~ScopedTime() { *m_total += Clock::now() - m_started_at; }
  ScopedTime(const ScopedTime&) = delete;
  ScopedTime& operator=(const ScopedTime&) = delete;

 private:
  Duration* m_total;
  TimePoint m_started_at;
};

}  // namespace corneltray

#endif  // CORNELTRAY_READ_COUNTERS_H_
