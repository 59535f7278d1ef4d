#ifndef CORNELTRAY_MEMBER_LOG_VERSIONS_H_
#define CORNELTRAY_MEMBER_LOG_VERSIONS_H_

#include <map>
#include <string>

#include "corneltray/booking.h"
#include "corneltray/consensus.h"
#include "corneltray/log_version.h"

namespace corneltray {

// Returns the lowest version that a process must read to apply the command.
LogVersion LogVersionOf(const Command& command);

// What the members of the log have told that they read. A member that skips a command holds another
// state than the members that apply it, so a leader proposes a command only if all of them read it.
// Not thread-safe.
class MemberLogVersions {
 public:
  explicit MemberLogVersions(std::string own_host, LogVersion own_version = kOwnLogVersion);

  // A later call for the same host replaces the earlier one: the host may run an older build again.
  void SetVersion(const std::string& host, LogVersion version);

  // Returns the highest version that all members read. A member that has told none reads
  // kUntoldLogVersion; one that is not linked any more counts with what it told last.
  LogVersion ReadByAll(const MemberSet& members) const;

 private:
  std::string m_own_host;
  LogVersion m_own_version;
  std::map<std::string, LogVersion> m_versions;  // by host
};

}  // namespace corneltray

#endif  // CORNELTRAY_MEMBER_LOG_VERSIONS_H_
