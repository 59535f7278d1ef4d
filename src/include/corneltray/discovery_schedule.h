#ifndef CORNELTRAY_DISCOVERY_SCHEDULE_H_
#define CORNELTRAY_DISCOVERY_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "corneltray/time.h"

namespace corneltray {

// Pause after the first query for control processes; it doubles with each further one.
constexpr std::chrono::milliseconds kFirstQueryInterval{500};
constexpr std::chrono::milliseconds kMaxQueryInterval{4000};
// If no query was needed for this long after one was due, the pauses start again with the first.
constexpr std::chrono::milliseconds kQueryResetTime{2000};

// Decides when a process that knows no leader queries another host for control processes, and which
// one. All hosts of a region may lack a leader at once. If each asked all others, the control
// processes would spend their time on answers instead of an election, so each asks one host at a
// time, and hosts begin at different ones. Not thread safe.
class DiscoverySchedule {
 public:
  // `own_host` is the name of the host of this process.
  explicit DiscoverySchedule(const std::string& own_host);

  bool IsDue(TimePoint now) const { return now >= m_next_query; }

  // Returns the host to query now, if a query is due, and counts it as sent. `linked` are the hosts
  // with an open link. Called several times a second while the process needs control processes.
  std::optional<std::string> Next(TimePoint now, std::vector<std::string> linked);

 private:
  std::size_t m_position;  // of the next host to ask
  std::uint32_t m_queries = 0;
  TimePoint m_next_query{};
  TimePoint m_reset_at{};
};

}  // namespace corneltray

#endif  // CORNELTRAY_DISCOVERY_SCHEDULE_H_
