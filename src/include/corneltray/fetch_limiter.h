#ifndef CORNELTRAY_FETCH_LIMITER_H_
#define CORNELTRAY_FETCH_LIMITER_H_

#include <algorithm>
#include <cstdint>

namespace corneltray {

// Limits how many control processes one host fetches a route table from at the same time. Every
// control process notifies every host of a new version. When a hundred hosts fetched it from all of
// them at once, so many copies of each table were sent that no reply arrived before its deadline.
// Two concurrent fetches avoid a delay when one control process does not respond. Not thread safe.
class FetchLimiter {
 public:
  static constexpr std::uint32_t kMaxConcurrentFetches = 2;

  // A control process reports that this version is committed; `held` is the version of this host.
  // Returns whether to fetch from that control process now.
  bool OnVersionCommitted(std::uint64_t version, std::uint64_t held) {
    m_newest = std::max(m_newest, version);
    return version > held && m_in_progress < kMaxConcurrentFetches;
  }

  void Begin() { ++m_in_progress; }
  // A fetch has ended.
  void End() { --m_in_progress; }

  bool IsIdle() const { return m_in_progress == 0; }
  // Returns whether a newer version than the held one was reported and no fetch is in progress.
  bool NeedsFetch(std::uint64_t held) const { return IsIdle() && m_newest > held; }

 private:
  std::uint32_t m_in_progress = 0;
  std::uint64_t m_newest = 0;  // version that was reported
};

}  // namespace corneltray

#endif  // CORNELTRAY_FETCH_LIMITER_H_
