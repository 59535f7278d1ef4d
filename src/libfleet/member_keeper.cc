#include "corneltray/member_keeper.h"

namespace corneltray {

MemberKeeper::MemberKeeper(std::size_t target_voters) : m_target_voters(target_voters) {}

void MemberKeeper::Offer(TimePoint now, const ReplicaId& replica) {
  m_offers[replica] = now + kJoinOfferLifetime;
}

void MemberKeeper::NoteReachable(TimePoint now, const MemberSet& members,
                                 const std::set<std::string>& reachable) {
  for (auto away = m_away_since.begin(); away != m_away_since.end();) {
    const bool is_member = members.members.count(away->first) > 0;
    const bool is_back = reachable.count(away->first.host) > 0;
    away = is_member && !is_back ? std::next(away) : m_away_since.erase(away);
  }
  for (const auto& [id, role] : members.members) {
    if (reachable.count(id.host) == 0) m_away_since.emplace(id, now);
  }
}

bool MemberKeeper::IsAway(TimePoint now, const ReplicaId& replica, Duration longer_than) const {
  const auto since = m_away_since.find(replica);
  return since != m_away_since.end() && now - since->second > longer_than;
}

std::optional<MemberChange> MemberKeeper::Next(TimePoint now, const MemberSet& members,
                                               const std::set<std::string>& reachable) {
  NoteReachable(now, members, reachable);
  for (auto offer = m_offers.begin(); offer != m_offers.end();) {
    const bool is_member = members.members.count(offer->first) > 0;
    offer = is_member || now >= offer->second ? m_offers.erase(offer) : std::next(offer);
  }
  std::optional<ReplicaId> lost_voter;
  std::optional<ReplicaId> spare;
  for (const auto& [id, role] : members.members) {
    if (role == MemberRole::kVoter && IsAway(now, id, kReplaceVoterAfter)) lost_voter = id;
    if (role == MemberRole::kLearner && reachable.count(id.host) > 0) spare = id;
    if (role == MemberRole::kLearner && IsAway(now, id, kRemoveLearnerAfter)) {
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
  for (const auto& [id, expires_at] : m_offers) {
    // A host that is a member under another disk identity is replaced by the log itself.
    if (!members.FindByHost(id.host)) return MemberChange{MemberChangeKind::kAddLearner, id};
  }
  return std::nullopt;
}

}  // namespace corneltray
