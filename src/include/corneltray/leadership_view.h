#ifndef CORNELTRAY_LEADERSHIP_VIEW_H_
#define CORNELTRAY_LEADERSHIP_VIEW_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include "corneltray/time.h"

namespace corneltray {

// How long a process acts on what its replica told about leadership. It is told several times a
// second; a process that was paused or suspended has to be told again before it acts.
constexpr std::chrono::milliseconds kLeadershipViewLifetime{1000};

// What the parts of a control process that act only at the leader know about leadership: placement
// of layers, and trials of quarantined prompt parts. All times are from BootTimeNow(), because a
// steady clock may stop while the process is suspended and another leader is elected. Not thread
// safe.
class LeadershipView {
 public:
  // `term` is the term that this process leads, if it does. `leader_host` is empty if no leader is
  // known. Both were read from the replica at `read_at`.
  void Update(TimePoint read_at, std::optional<std::uint64_t> term, std::string leader_host) {
    m_valid_until = read_at + kLeadershipViewLifetime;
    m_term = term;
    m_leader_host = std::move(leader_host);
  }

  // Returns the term that this process leads. Call it just before each action.
  std::optional<std::uint64_t> LeadingTerm(TimePoint now) const {
    return now < m_valid_until ? m_term : std::nullopt;
  }
  const std::string& LeaderHost() const { return m_leader_host; }

 private:
  std::optional<std::uint64_t> m_term;
  std::string m_leader_host;
  TimePoint m_valid_until{};
};

}  // namespace corneltray

#endif  // CORNELTRAY_LEADERSHIP_VIEW_H_
