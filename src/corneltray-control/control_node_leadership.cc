// What a control process logs about the leader of the replicated log.
#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include "control_node.h"
#include "corneltray/enum_names.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

using nlohmann::json;

// Whether this process has a link to the process of a member.
enum class MemberLink { kSelf, kUp, kDown };

}  // namespace

template <>
struct EnumNames<MemberLink> {
  static constexpr EnumName<MemberLink> kTable[] = {
      {MemberLink::kSelf, "self"},
      {MemberLink::kUp, "up"},
      {MemberLink::kDown, "down"},
  };
};

namespace {

json MembersWithLinks(const ReplicaStatus& status, const std::vector<PeerStatus>& linked) {
  json members = json::array();
  for (const auto& [id, role] : status.members.members) {
    const std::string& host = id.host;
    const bool is_linked = std::any_of(linked.begin(), linked.end(), [&](const PeerStatus& peer) {
      return peer.identity.host == host;
    });
    const MemberLink link = host == status.self.host ? MemberLink::kSelf
                            : is_linked              ? MemberLink::kUp
                                                     : MemberLink::kDown;
    members.push_back({{"host", host},
                       {"disk_identity", id.disk_identity},
                       {"role", NameOf(role)},
                       {"link", NameOf(link)}});
  }
  return members;
}

std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace

void ControlNode::OnRoleChanged(const RoleChanged& change) {
  LogEvent(LogLevel::kInfo, "role_changed",
           {{"role", NameOf(change.role)},
            {"reason", NameOf(change.reason)},
            {"term", change.term},
            {"leader", change.leader ? change.leader->host : ""}});
  m_reports.OnLeaderChanged(Clock::now(), change.role == ReplicaRole::kLeader);
  m_leader_takes_reports = true;
  m_has_leader = change.leader.has_value();
  const auto without_leader = m_leader_watch.Update(Clock::now(), m_has_leader);
  if (without_leader) {
    LogEvent(LogLevel::kInfo, "leader_known",
             {{"leader", change.leader->host},
              {"term", change.term},
              {"without_leader_ms", Milliseconds(*without_leader)}});
  }
  if (!m_has_leader) ScheduleNoLeaderReport();
  if (m_has_leader && !std::exchange(m_leader_reported, true)) m_options.on_leader_known();
}

void ControlNode::OnVoteRefused(const VoteRefused& refused) {
  ++m_vote_refusals[refused.reason];
  LogEvent(LogLevel::kInfo, "vote_refused",
           {{"candidate", refused.candidate.host},
            {"disk_identity", refused.candidate.disk_identity},
            {"term", refused.term},
            {"pre_vote", refused.pre_vote},
            {"reason", NameOf(refused.reason)}});
}

void ControlNode::ScheduleNoLeaderReport() {
  const auto next = m_leader_watch.NextReport();
  if (!next || m_scheduled_no_leader_report == next) return;
  m_scheduled_no_leader_report = next;
  m_node->RunAt(*next, [this] { ReportNoLeader(); });
}

void ControlNode::ReportNoLeader() {
  const auto without_leader = m_leader_watch.TakeReport(Clock::now());
  if (!without_leader) return;
  const ReplicaStatus status = m_replica.GetStatus();
  const std::int64_t without_leader_ms = Milliseconds(*without_leader);
  LogEvent(LogLevel::kWarning, "no_leader",
           {{"replica", status.self.host},
            {"disk_identity", status.self.disk_identity},
            {"since_ms", UnixNow() - without_leader_ms},
            {"without_leader_ms", without_leader_ms},
            {"role", NameOf(status.role)},
            {"term", status.term},
            {"last_index", status.last.index},
            {"unanswered_founding_hosts", status.unanswered_founding_hosts},
            {"members", MembersWithLinks(status, m_node->ConnectedPeers(kControlProgram))}});
  ScheduleNoLeaderReport();
}

}  // namespace corneltray
