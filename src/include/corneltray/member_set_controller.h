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

// A voter that is unreachable for this long is replaced if a spare member is reachable.
constexpr std::chrono::milliseconds kReplaceVoterAfter{2500};
// A spare member that is unreachable for this long is removed; it may request to join again.
constexpr std::chrono::seconds kRemoveLearnerAfter{20};
// A join request is valid for this long. A process repeats it until it is a member.
constexpr std::chrono::milliseconds kJoinRequestLifetime{2000};

// Decides at the leader which control processes are members of the replicated log and which of them
// vote, when processes are added or permanently lost. Keeps the number of voters at its target.
// Members whose disk was lost are replaced by the replicated log itself. Not thread safe.
class MemberSetController {
 public:
  explicit MemberSetController(std::size_t target_voters);

  // Records the join request of a process that is not a member.
  void AddJoinRequest(TimePoint now, const ReplicaId& replica);

  // Returns the next change to propose. `reachable` contains this host and the hosts with a link to
  // this process.
  std::optional<MemberChange> NextChange(TimePoint now, const MemberSet& members,
                                         const std::set<std::string>& reachable);

 private:
  void UpdateUnreachableSince(TimePoint now, const MemberSet& members,
                              const std::set<std::string>& reachable);
  bool IsUnreachable(TimePoint now, const ReplicaId& replica, Duration longer_than) const;

  std::size_t m_target_voters;
  std::map<ReplicaId, TimePoint> m_join_requests;      // with expiry time
  std::map<ReplicaId, TimePoint> m_unreachable_since;  // members without a link
};

}  // namespace corneltray

#endif  // CORNELTRAY_MEMBER_SET_CONTROLLER_H_
