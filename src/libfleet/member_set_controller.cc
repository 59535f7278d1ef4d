#include "corneltray/member_set_controller.h"

namespace corneltray {

MemberSetController::MemberSetController(std::size_t target_voters)
    : m_target_voters(target_voters) {}

void MemberSetController::AddJoinRequest(TimePoint now, const ReplicaId& replica) {
  m_join_requests[replica] = now + kJoinRequestLifetime;
}

void MemberSetController::UpdateUnreachableSince(TimePoint now, const MemberSet& members,
                                                 const std::set<std::string>& reachable) {
  for (auto entry = m_unreachable_since.begin(); entry != m_unreachable_since.end();) {
    const bool is_member = members.members.count(entry->first) > 0;
    const bool is_back = reachable.count(entry->first.host) > 0;
    entry = is_member && !is_back ? std::next(entry) : m_unreachable_since.erase(entry);
  }
  for (const auto& [id, role] : members.members) {
    if (reachable.count(id.host) == 0) m_unreachable_since.emplace(id, now);
  }
}

bool MemberSetController::IsUnreachable(TimePoint now, const ReplicaId& replica,
                                        Duration longer_than) const {
  const auto since = m_unreachable_since.find(replica);
  return since != m_unreachable_since.end() && now - since->second > longer_than;
}

std::optional<MemberChange> MemberSetController::NextChange(
    TimePoint now, const MemberSet& members, const std::set<std::string>& reachable) {
  UpdateUnreachableSince(now, members, reachable);
  for (auto request = m_join_requests.begin(); request != m_join_requests.end();) {
    const bool is_member = members.members.count(request->first) > 0;
    request =
        is_member || now >= request->second ? m_join_requests.erase(request) : std::next(request);
  }
  std::optional<ReplicaId> lost_voter;
  std::optional<ReplicaId> spare;
  for (const auto& [id, role] : members.members) {
    if (role == MemberRole::kVoter && IsUnreachable(now, id, kReplaceVoterAfter)) lost_voter = id;
    if (role == MemberRole::kLearner && reachable.count(id.host) > 0) spare = id;
    if (role == MemberRole::kLearner && IsUnreachable(now, id, kRemoveLearnerAfter)) {
      return MemberChange{MemberChangeKind::kRemove, id};
    }
  }
  const std::size_t voters = members.VoterCount();
  if (lost_voter && voters > m_target_voters) {
    return MemberChange{MemberChangeKind::kRemove, *lost_voter};
  }
  if (spare && (voters < m_target_voters || lost_voter)) {
    return MemberChange{MemberChangeKind::kPromote, *spare};
  }
  for (const auto& [id, expires_at] : m_join_requests) {
    // The replicated log itself replaces a member of the same host with another disk identity.
    if (!members.FindByHost(id.host)) return MemberChange{MemberChangeKind::kAddLearner, id};
  }
  return std::nullopt;
}

}  // namespace corneltray
