#ifndef CORNELTRAY_MEMBER_SET_CONTROLLER_H_
#define CORNELTRAY_MEMBER_SET_CONTROLLER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "corneltray/consensus.h"
#include "corneltray/time.h"

namespace corneltray {

// A voter that is away for this long is replaced when a spare member is ready.
constexpr std::chrono::milliseconds kReplaceVoterAfter{2500};
// A spare member that is away for this long is removed; it may ask to join again.
constexpr std::chrono::seconds kRemoveLearnerAfter{20};
// A wish to join counts this long; the process repeats it while it is no member.
constexpr std::chrono::milliseconds kJoinRequestLifetime{2000};

// Decides at the leader which control processes are members and which of them vote, when processes
// are added or lost for good. Keeps the number of voters at its target. Members whose disk was lost
// are replaced by the replicated log itself. Not thread safe.
class MemberSetController {
 public:
  explicit MemberSetController(std::size_t target_voters);

  // A process that is no member asks to become one.
  void AddJoinRequest(TimePoint now, const ReplicaId& replica);

  // Returns the next change to propose. `reachable` names the hosts with a link to this process,
  // itself included.
  std::optional<MemberChange> NextChange(TimePoint now, const MemberSet& members,
                                         const std::set<std::string>& reachable);

 private:
  void NoteReachable(TimePoint now, const MemberSet& members,
                     const std::set<std::string>& reachable);
  bool IsAway(TimePoint now, const ReplicaId& replica, Duration longer_than) const;

  std::size_t m_target_voters;
  std::map<ReplicaId, TimePoint> m_offers;      // and when they expire
  std::map<ReplicaId, TimePoint> m_away_since;  // members without a link
};

}  // namespace corneltray

#endif  // CORNELTRAY_MEMBER_SET_CONTROLLER_H_
