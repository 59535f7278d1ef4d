#ifndef CORNELTRAY_LOG_VERSION_H_
#define CORNELTRAY_LOG_VERSION_H_

#include <cstdint>

namespace corneltray {

// The version of what the entries of the replicated log hold. A process that reads a version reads
// all earlier ones. Add a version with each command or kind of entry that older builds cannot read;
// docs/design/builds-side-by-side.md says when it may be written.
using LogVersion = std::uint32_t;

inline constexpr LogVersion kFirstLogVersion = 1;
inline constexpr LogVersion kPartVerdictsLogVersion = 2;
// What a build that does not tell its version is taken to read. Older ones skip the verdicts on
// prompt parts; without this, no verdict would outlive a loss of power during an upgrade.
inline constexpr LogVersion kUntoldLogVersion = kPartVerdictsLogVersion;
// What this build reads.
inline constexpr LogVersion kOwnLogVersion = kPartVerdictsLogVersion;

}  // namespace corneltray

#endif  // CORNELTRAY_LOG_VERSION_H_
