#ifndef CORNELTRAY_UPSTREAM_REACH_H_
#define CORNELTRAY_UPSTREAM_REACH_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "corneltray/enum_names.h"
#include "corneltray/time.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// Timeout of a connection that probes an upstream. A connection takes a few milliseconds.
constexpr std::chrono::milliseconds kReachProbeTimeout{200};

enum class ReachState {
  kConnected,  // upstreams accept connections, or nothing speaks against it
  kSuspected,  // connections fail, and upstreams are probed
  kIsolated,   // no upstream that was probed accepted a connection
};

template <>
struct EnumNames<ReachState> {
  static constexpr EnumName<ReachState> kTable[] = {
      {ReachState::kConnected, "connected"},
      {ReachState::kSuspected, "suspected"},
      {ReachState::kIsolated, "isolated"},
  };
};

// Decides whether this host is cut off from all upstreams, from the connections that it opens to
// them. Old connections may live on behind such a cut, and one upstream or all of a zone may fail
// without one, so a failure only starts rounds of probes: each opens connections to some upstreams
// of different zones, the own zone first. The host is isolated after several rounds in a row in
// which all connections failed, and until most of the connections of a round succeed, or one of a
// round that probed all upstreams. Not thread safe.
class UpstreamReach {
 public:
  // `seed` differs between hosts.
  UpstreamReach(std::string own_zone, std::uint64_t seed);

  // A request failed at an upstream, or got no answer in time.
  void Suspect(TimePoint now);
  // A connection to an upstream, of a request or of a probe, was opened or failed.
  void OnConnect(TimePoint now, const std::string& address, bool is_connected);
  // Ends a round that is over and returns the addresses to probe now. Call it often while IsActive.
  std::vector<std::string> TakeProbes(TimePoint now, const UpstreamTable& upstreams);

  ReachState State() const { return m_state; }
  bool IsIsolated() const { return m_state == ReachState::kIsolated; }
  // Whether rounds of probes go on.
  bool IsActive() const { return m_state != ReachState::kConnected; }

 private:
  enum class ProbeResult { kPending, kConnected, kFailed };

  std::vector<std::string> ChooseTargets(TimePoint now, const UpstreamTable& upstreams);
  void DropGone(const UpstreamTable& upstreams);
  void EndRound(TimePoint now);

  std::string m_own_zone;
  std::mt19937_64 m_random;
  ReachState m_state = ReachState::kConnected;
  std::map<std::string, ProbeResult> m_round;  // by address; empty between two rounds
  bool m_covers_all = false;                   // the round probes all upstreams
  TimePoint m_round_ends_at{};
  TimePoint m_next_round_at{};
  TimePoint m_trusted_until{};        // after the last connection
  std::uint32_t m_failed_rounds = 0;  // in a row
};

}  // namespace corneltray

#endif  // CORNELTRAY_UPSTREAM_REACH_H_
