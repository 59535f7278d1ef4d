#ifndef CORNELTRAY_FETCH_LIMITER_H_
#define CORNELTRAY_FETCH_LIMITER_H_

#include <algorithm>
#include <cstdint>

namespace corneltray {

// Bounds how many control processes one host asks for a route table at the same time. Every control
// process tells every host of a new version. A host that asked all of them for it at once had, with
// a hundred others, each table sent so often that no reply came before its deadline. Two are asked,
// so that one that does not answer costs no time. Not thread safe.
class FetchLimiter {
 public:
  static constexpr std::uint32_t kMaxConcurrentFetches = 2;

  // A control process tells that this version is committed. Returns whether to ask it now.
  bool OnVersionCommitted(std::uint64_t version, std::uint64_t held) {
    m_newest = std::max(m_newest, version);
    return version > held && m_asking < kMaxConcurrentFetches;
  }

  void Begin() { ++m_asking; }
  // A fetch has ended.
  void End() { --m_asking; }

  bool IsIdle() const { return m_asking == 0; }
  // Whether a version was told that the host does not hold and asks nobody for.
  bool NeedsFetch(std::uint64_t held) const { return IsIdle() && m_newest > held; }

 private:
  std::uint32_t m_asking = 0;
  std::uint64_t m_newest = 0;  // version that was told
};

}  // namespace corneltray

#endif  // CORNELTRAY_FETCH_LIMITER_H_
