#include "corneltray/member_log_versions.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace corneltray {
namespace {

struct VersionVisitor {
  LogVersion operator()(const ClaimBooking&) const { return kFirstLogVersion; }
  LogVersion operator()(const FinishBooking&) const { return kFirstLogVersion; }
  LogVersion operator()(const MarkBookingUnknown&) const { return kFirstLogVersion; }
  LogVersion operator()(const RefuseBooking&) const { return kFirstLogVersion; }
  LogVersion operator()(const ApplyConfiguration&) const { return kFirstLogVersion; }
  LogVersion operator()(const ReplaceRouteTable&) const { return kFirstLogVersion; }
  LogVersion operator()(const RecordPartVerdicts&) const { return kPartVerdictsLogVersion; }
};

}  // namespace

LogVersion LogVersionOf(const Command& command) { return std::visit(VersionVisitor{}, command); }

MemberLogVersions::MemberLogVersions(std::string own_host, LogVersion own_version)
    : m_own_host(std::move(own_host)), m_own_version(own_version) {}

void MemberLogVersions::SetVersion(const std::string& host, LogVersion version) {
  m_versions[host] = version;
}

LogVersion MemberLogVersions::ReadByAll(const MemberSet& members) const {
  LogVersion lowest = m_own_version;
  for (const auto& [id, role] : members.members) {
    if (id.host == m_own_host) continue;
    const auto told = m_versions.find(id.host);
    lowest = std::min(lowest, told == m_versions.end() ? kUntoldLogVersion : told->second);
  }
  return lowest;
}

}  // namespace corneltray
