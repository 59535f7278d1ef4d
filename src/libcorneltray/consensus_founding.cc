// The creation of the log at the first start of a group.
//
// The founding hosts are the voters of the empty log, and the first leader is elected among them as
// any other. It appends the member set as the first entry. Before that, the replicas know the
// names of the hosts, but not the identities of their disks: the initial member set lists each
// other host with an empty disk identity, which stands for the disk that was formatted for the
// first start. A host whose vote the leader lacks stays listed so, until its disk has answered. A
// host that has lost that disk does not answer to the empty identity, and is replaced like any
// other lost disk.
#include <algorithm>

#include "consensus_impl.h"

namespace corneltray {

MemberSet Replica::Impl::InitialMembers() const {
  MemberSet members;
  for (const std::string& host : m_founding_hosts) {
    const bool is_self = host == m_self.host;
    members.members[is_self ? m_self : FoundingDiskOf(host)] = MemberRole::kVoter;
  }
  return members;
}

void Replica::Impl::ExcludeFoundingHost(const std::string& host) {
  if (host == m_self.host || !m_log.Empty()) return;
  const auto found = std::find(m_founding_hosts.begin(), m_founding_hosts.end(), host);
  if (found == m_founding_hosts.end()) return;
  m_founding_hosts.erase(found);
  m_log.SetInitialMembers(InitialMembers());
}

std::vector<std::string> Replica::Impl::UnansweredFoundingHosts() const {
  std::vector<std::string> missing;
  if (!m_log.Empty()) return missing;
  for (const std::string& host : m_founding_hosts) {
    if (host != m_self.host && m_founding_disks.count(host) == 0) missing.push_back(host);
  }
  return missing;
}

bool Replica::Impl::IsSelf(const ReplicaId& id) const {
  return id == m_self || (HasFoundingDisk() && id == FoundingDiskOf(m_self.host));
}

ReplicaId Replica::Impl::MemberIdOf(const ReplicaId& replica, bool has_founding_disk) const {
  const auto& members = m_log.Members().members;
  const ReplicaId founding_disk = FoundingDiskOf(replica.host);
  const bool is_listed = members.count(replica) > 0;
  return has_founding_disk && !is_listed && members.count(founding_disk) > 0 ? founding_disk
                                                                             : replica;
}

ReplicaId Replica::Impl::SenderOf(const ReplicaMessage& message) {
  ReplicaId member = MemberIdOf(message.from, message.from_founding_disk);
  if (member != message.from) m_founding_disks[message.from.host] = message.from;
  return member;
}

bool Replica::Impl::IsVoter() const {
  return m_log.Members().IsVoter(MemberIdOf(m_self, HasFoundingDisk()));
}

std::size_t Replica::Impl::VotesToWin() const {
  const MemberSet& members = m_log.Members();
  const bool needs_all = m_log.Empty() && m_options.founding_quorum == FoundingQuorum::kAll;
  return needs_all ? members.VoterCount() : members.Quorum();
}

// Returns the members with the identities of the founding disks that have answered.
MemberSet Replica::Impl::WithKnownDisks(const MemberSet& members) const {
  MemberSet known;
  for (const auto& [id, role] : members.members) {
    const auto answered = m_founding_disks.find(id.host);
    if (IsSelf(id)) {
      known.members[m_self] = role;
    } else if (id.disk_identity.empty() && answered != m_founding_disks.end()) {
      known.members[answered->second] = role;
    } else {
      known.members[id] = role;
    }
  }
  return known;
}

void Replica::Impl::CreateLog() {
  AppendEntry(EntryKind::kMembers, 0, EncodeMemberSet(WithKnownDisks(m_log.Members())));
}

// A founding disk is the same voter under its identity as under the empty one, so this changes no
// majority, and several may be recorded at once.
bool Replica::Impl::RecordFoundingDisks(TimePoint now) {
  const MemberSet known = WithKnownDisks(m_log.Members());
  if (known == m_log.Members()) return false;
  AppendMembers(now, known);
  return true;
}

}  // namespace corneltray
