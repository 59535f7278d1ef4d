#include "corneltray/upstream_reach.h"

#include <algorithm>
#include <utility>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kProbesPerRound = 3;
// Two rounds are six upstreams: fewer may be down together for other reasons.
constexpr std::uint32_t kRoundsToIsolate = 2;
// Room for the event loop to handle the last timeout of a round.
constexpr milliseconds kRoundMargin{100};
// A host that has just connected to an upstream is not cut off. Without this, each failure of an
// upstream would hold up the requests that move to another one.
constexpr milliseconds kTrustAfterConnect{300};
// Pause between rounds while the host is isolated.
constexpr milliseconds kIsolatedInterval{400};

using Addresses = std::vector<std::string>;

// Returns upstreams that announce themselves, by zone, or all that are ready if none does: the
// records of upstreams that crashed are kept for long, but the control processes that pass
// announcements on may be unreachable too.
std::map<std::string, Addresses> AddressesByZone(TimePoint now, const UpstreamTable& upstreams) {
  std::map<std::string, Addresses> alive;
  std::map<std::string, Addresses> ready;
  for (const auto& [name, record] : upstreams.Records()) {
    const std::string& zone = record.announcement.availability_zone;
    if (record.IsReady()) ready[zone].push_back(record.announcement.address);
    if (record.IsAlive(now)) alive[zone].push_back(record.announcement.address);
  }
  return alive.empty() ? ready : alive;
}

}  // namespace

UpstreamReach::UpstreamReach(std::string own_zone, std::uint64_t seed)
    : m_own_zone(std::move(own_zone)), m_random(seed) {}

void UpstreamReach::Suspect(TimePoint now) {
  if (m_state != ReachState::kConnected || now < m_trusted_until) return;
  m_state = ReachState::kSuspected;
  m_failed_rounds = 0;
  m_next_round_at = now;
}

void UpstreamReach::OnConnect(TimePoint now, const std::string& address, bool is_connected) {
  const auto probe = m_round.find(address);
  if (probe != m_round.end()) {
    probe->second = is_connected ? ProbeResult::kConnected : ProbeResult::kFailed;
  }
  if (!is_connected) return Suspect(now);
  m_trusted_until = now + kTrustAfterConnect;
  if (m_state != ReachState::kSuspected) return;
  m_state = ReachState::kConnected;
  m_round.clear();
}

std::vector<std::string> UpstreamReach::TakeProbes(TimePoint now, const UpstreamTable& upstreams) {
  if (!IsActive()) return {};
  DropGone(upstreams);
  EndRound(now);
  if (!IsActive() || !m_round.empty() || now < m_next_round_at) return {};
  std::vector<std::string> targets = ChooseTargets(now, upstreams);
  if (targets.empty()) {
    m_state = ReachState::kConnected;
    return {};
  }
  for (const std::string& address : targets) m_round[address] = ProbeResult::kPending;
  m_round_ends_at = now + kReachProbeTimeout + kRoundMargin;
  return targets;
}

// Ends the probes of upstreams that have left since: they fail for that reason.
void UpstreamReach::DropGone(const UpstreamTable& upstreams) {
  for (auto probe = m_round.begin(); probe != m_round.end();) {
    const UpstreamTableEntry* record = upstreams.FindAddress(probe->first);
    const bool is_gone = record == nullptr || !record->IsReady();
    probe = is_gone ? m_round.erase(probe) : std::next(probe);
  }
}

void UpstreamReach::EndRound(TimePoint now) {
  if (m_round.empty()) return;
  const auto count = [this](ProbeResult result) {
    return static_cast<std::size_t>(
        std::count_if(m_round.begin(), m_round.end(),
                      [result](const auto& probe) { return probe.second == result; }));
  };
  const bool is_over = count(ProbeResult::kPending) == 0 || now >= m_round_ends_at;
  if (!is_over) return;
  const std::size_t connected = count(ProbeResult::kConnected);
  // With few upstreams one that is reached decides: the others may be down for good.
  const bool is_reached = 2 * connected > m_round.size() || (m_covers_all && connected > 0);
  m_round.clear();
  if (is_reached) {
    m_state = ReachState::kConnected;
    return;
  }
  m_failed_rounds = connected == 0 ? m_failed_rounds + 1 : 0;
  if (m_failed_rounds >= kRoundsToIsolate) m_state = ReachState::kIsolated;
  m_next_round_at = IsIsolated() ? now + kIsolatedInterval : now;
}

// Returns upstreams drawn at random, one of the own zone first and then of as many zones as there
// are.
std::vector<std::string> UpstreamReach::ChooseTargets(TimePoint now,
                                                      const UpstreamTable& upstreams) {
  std::size_t count = 0;
  std::vector<Addresses> zones;
  std::map<std::string, Addresses> by_zone = AddressesByZone(now, upstreams);
  for (auto& [zone, addresses] : by_zone) {
    count += addresses.size();
    std::shuffle(addresses.begin(), addresses.end(), m_random);
    zones.push_back(std::move(addresses));
    if (zone == m_own_zone) std::swap(zones.front(), zones.back());
  }
  if (!zones.empty()) std::shuffle(std::next(zones.begin()), zones.end(), m_random);
  std::vector<std::string> targets;
  for (std::size_t i = 0; targets.size() < kProbesPerRound; ++i) {
    const std::size_t before = targets.size();
    for (auto& addresses : zones) {
      if (i < addresses.size() && targets.size() < kProbesPerRound) targets.push_back(addresses[i]);
    }
    if (targets.size() == before) break;
  }
  m_covers_all = targets.size() == count;
  return targets;
}

}  // namespace corneltray
