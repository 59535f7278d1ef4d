#include "corneltray/server_pace.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace corneltray {
namespace {

// A server begins with two requests of all hosts together: one shows that it answers, two whether
// it answers several at once.
constexpr double kInitialWindow = 2.0;
// A server that only fails is tried by a host in every second interval of reports.
constexpr double kMinWindow = 0.5;
// Greatest growth by one decision: two doublings. A report of all hosts covers several round trips,
// but the requests in them were no more than one window at a time.
constexpr double kMaxGrowth = 4.0;
// If more than this part of the requests fails, the server is taken to be down.
constexpr double kDownShare = 0.2;
// Smallest factor by which one decision shrinks the window.
constexpr double kMaxFall = 0.5;
// Latencies up to this multiple of those of the kind are good. Single latencies vary by about that
// much without any queue.
constexpr double kGoodLatencyRatio = 2.0;
// A single answer counts at most this much, so that one that was stuck doesn't hide the others.
constexpr double kMaxLatencyRatio = 20.0;
// Added to the window of a slow server, which makes it 1 / (1 - gradient) in the end: 2 requests
// for a server that is too slow to be used, more for one that nearly is not.
constexpr double kSlowProbes = 1.0;
// A server that stays slow is no longer paced after this many decisions in which no request was
// held back: its window is larger than what the selection sends to a slow server.
constexpr std::uint32_t kMaxSlowRounds = 4;
// A service that this host has known for less may have servers that it has not heard of yet:
// announcements are forwarded within seconds, and a region starts its servers one after another.
constexpr Duration kSettlingTime = 2 * kSilenceTimeout;
// Counts of other hosts are repeated with each fetch of the route table, about twice a second.
constexpr std::chrono::seconds kFleetLifetime{3};
// A control process that has just become leader knows few hosts. The number of hosts falls by this
// factor at most with each report, so that no host takes the window for its own meanwhile.
constexpr double kHostDecay = 0.9;
constexpr double kLoadSmoothingFactor = 0.1;
// Greatest overcommitment. If a server crashes, each host that may send to it fails one request
// before it hears of the crash; this bounds their number to a multiple of the window.
constexpr double kMaxOvercommitment = 4.0;
// The same for a server that went down again before it had its full share.
constexpr double kMaxFlappingOvercommitment = 1.6;
// Overcommitment for a slow server, for each unit of its gradient above kMaxFall. It is 1 for a
// server that is too slow to be used, where a wrong estimate would cost most.
constexpr double kSlowOvercommitment = 12.0;
constexpr double kMaxOvercommitmentChange = 2.0;  // by one decision
constexpr double kMinShare = 0.01;

// Ejections are decided by each host alone, all other reasons are seen by all hosts.
bool IsSharedReason(PaceReason reason) { return reason != PaceReason::kEjectionEnded; }

double Increase(double before, double after) { return std::max(0.0, after - before); }

// Counts of a host that is not reported for a while come back later, so none of them may fall.
PaceCounts Latest(const PaceCounts& known, const PaceCounts& sum) {
  PaceCounts latest = sum;
  latest.answered = std::max(known.answered, sum.answered);
  latest.latency_ratios = std::max(known.latency_ratios, sum.latency_ratios);
  latest.busy_s = std::max(known.busy_s, sum.busy_s);
  latest.refused = std::max(known.refused, sum.refused);
  latest.failed = std::max(known.failed, sum.failed);
  latest.limited = std::max(known.limited, sum.limited);
  return latest;
}

}  // namespace

void AddPaceCounts(const ServerPaceCounts& counts, ServerPaceCounts* sum) {
  for (const auto& [server, host] : counts) {
    PaceCounts& total = (*sum)[server];
    if (host.incarnation < total.incarnation) continue;
    if (host.incarnation > total.incarnation) total = {host.incarnation};
    total.answered += host.answered;
    total.latency_ratios += host.latency_ratios;
    total.busy_s += host.busy_s;
    total.refused += host.refused;
    total.failed += host.failed;
    total.limited += host.limited;
    total.window += host.window;
    ++total.hosts;
  }
}

ServerPace::ServerPace(PaceMode mode, std::uint64_t seed) : m_mode(mode), m_random(seed) {}

void ServerPace::SetServers(TimePoint now, const UpstreamTable& upstreams) {
  if (m_mode == PaceMode::kOff) return;
  for (auto& [name, service] : m_services) service.servers = 0;
  std::vector<std::string> gone;
  for (const auto& [name, server] : m_servers) {
    const UpstreamTableEntry* record = upstreams.Find(name);
    if (record == nullptr || !record->IsReady()) gone.push_back(name);
  }
  for (const std::string& name : gone) RemoveServer(name);
  for (const auto& [name, record] : upstreams.Records()) {
    if (record.IsReady()) AddServer(now, record.announcement);
  }
}

void ServerPace::RemoveServer(const std::string& name) {
  const auto server = m_servers.extract(name);
  Service& service = m_services.at(server.mapped().service);
  service.in_flight -= std::min(service.in_flight, server.mapped().in_flight);
  m_ramps.erase(name);
  m_unavailable.erase(name);
}

void ServerPace::AddServer(TimePoint now, const Announcement& announcement) {
  Service& service = m_services.try_emplace(announcement.service).first->second;
  if (service.known_since == TimePoint{}) service.known_since = now;
  ++service.servers;
  const auto [known, is_new] = m_servers.try_emplace(announcement.name);
  Server& server = known->second;
  const bool is_restarted = !is_new && server.incarnation != announcement.incarnation;
  server.service = announcement.service;
  if (!is_new && !is_restarted) return;
  server.incarnation = announcement.incarnation;
  server.was_paced = false;
  if (is_restarted) return BeginRamp(now, announcement.name, PaceReason::kRestarted);
  const bool is_settled = now - service.known_since >= kSettlingTime;
  if (is_settled) BeginRamp(now, announcement.name, PaceReason::kNew);
}

void ServerPace::SetAvailable(TimePoint now, const std::string& server, PaceReason reason,
                              bool available) {
  if (available && m_unavailable.empty()) return;
  if (m_mode == PaceMode::kOff || m_servers.count(server) == 0) return;
  const auto known = m_unavailable.find(server);
  if (!available) {
    m_unavailable.try_emplace(server, reason);
    return;
  }
  if (known == m_unavailable.end() || known->second != reason) return;
  m_unavailable.erase(known);
  BeginRamp(now, server, reason);
}

void ServerPace::BeginRamp(TimePoint now, const std::string& server, PaceReason reason) {
  Server& known = m_servers.at(server);
  known.was_paced = true;
  Ramp ramp;
  ramp.reason = reason;
  ramp.began_at = now;
  ramp.decided_at = now;
  ramp.window = kInitialWindow;
  ramp.slow_start_end = std::numeric_limits<double>::infinity();
  ramp.draw = Draw();
  ramp.own.incarnation = known.incarnation;
  // The counts go on, because the other hosts compare them with those of the last report.
  ramp.max_overcommitment = kMaxOvercommitment;
  const auto running = m_ramps.find(server);
  if (running != m_ramps.end()) {
    ramp.max_overcommitment = kMaxFlappingOvercommitment;
  }
  if (running != m_ramps.end() && running->second.own.incarnation == known.incarnation) {
    ramp.own = running->second.own;
    ramp.fleet = running->second.fleet;
    ramp.is_told = running->second.is_told;
  }
  m_ramps[server] = ramp;
  AddEvent(now, PaceStep::kBegin, server, ramp);
}

void ServerPace::Begin(const std::string& server) {
  const auto known = m_servers.find(server);
  if (known == m_servers.end()) return;
  ++known->second.in_flight;
  Service& service = m_services[known->second.service];
  ++service.in_flight;
  service.usual_in_flight += kLoadSmoothingFactor * (service.in_flight - service.usual_in_flight);
}

void ServerPace::End(const std::string& server) {
  const auto known = m_servers.find(server);
  if (known == m_servers.end() || known->second.in_flight == 0) return;
  --known->second.in_flight;
  Service& service = m_services[known->second.service];
  if (service.in_flight > 0) --service.in_flight;
}

void ServerPace::Answered(TimePoint now, const std::string& server, Duration latency,
                          Duration expected) {
  const auto ramp = m_ramps.find(server);
  if (ramp == m_ramps.end()) return;
  double ratio = 1.0;
  if (expected > Duration::zero()) {
    ratio = std::chrono::duration<double>(latency) / std::chrono::duration<double>(expected);
  }
  ratio = std::min(ratio, kMaxLatencyRatio);
  ++ramp->second.own.answered;
  ramp->second.own.latency_ratios += ratio;
  const double latency_s = std::chrono::duration<double>(latency).count();
  ramp->second.own.busy_s += latency_s;
  ramp->second.round.busy_s += latency_s;
  ramp->second.round.answered += 1.0;
  ramp->second.round.latency_ratios += ratio;
  CompleteRound(now, server);
}

void ServerPace::Refused(TimePoint now, const std::string& server) {
  const auto ramp = m_ramps.find(server);
  if (ramp == m_ramps.end()) return;
  ++ramp->second.own.refused;
  ramp->second.round.refused += 1.0;
  RecordBad(now, server, ramp->second.window * kMaxFall, &ramp->second);
}

void ServerPace::Failed(TimePoint now, const std::string& server) {
  const auto ramp = m_ramps.find(server);
  if (ramp == m_ramps.end()) return;
  ++ramp->second.own.failed;
  ramp->second.round.failed += 1.0;
  RecordBad(now, server, kMinWindow, &ramp->second);
}

// This host reacts at once, without waiting for the counts of the others.
void ServerPace::RecordBad(TimePoint now, const std::string& server, double window, Ramp* ramp) {
  ++m_refused_in_ramps;
  ramp->draw = Draw();
  ramp->overcommitment = 1.0;
  if (!std::exchange(ramp->has_fallen, true)) {
    ramp->slow_start_end = std::min(ramp->slow_start_end, ramp->window * kMaxFall);
    SetWindow(now, server, window, ramp);
  }
  CompleteRound(now, server);
}

void ServerPace::Limited(const std::string& server) {
  const auto ramp = m_ramps.find(server);
  if (ramp == m_ramps.end()) return;
  ++ramp->second.own.limited;
  ramp->second.round.limited += 1.0;
}

std::uint32_t ServerPace::HostsOf(const Ramp& ramp) const {
  return IsSharedReason(ramp.reason) ? m_hosts : std::max(1U, ramp.fleet.hosts);
}

double ServerPace::Limit(const Ramp& ramp) const {
  const double hosts = HostsOf(ramp);
  return std::floor(ramp.window * ramp.overcommitment / hosts + ramp.draw);
}

double ServerPace::Share(const std::string& server) const {
  if (m_ramps.empty()) return 1.0;
  const auto ramp = m_ramps.find(server);
  if (ramp == m_ramps.end()) return 1.0;
  const Service& service = m_services.at(m_servers.at(server).service);
  const double usual = service.usual_in_flight / std::max(1U, service.servers);
  return std::clamp(Limit(ramp->second) / std::max(1.0, usual), kMinShare, 1.0);
}

bool ServerPace::HasRoom(const std::string& server) const {
  if (m_ramps.empty()) return true;
  const auto ramp = m_ramps.find(server);
  if (ramp == m_ramps.end()) return true;
  return m_servers.at(server).in_flight < Limit(ramp->second);
}

ServerPaceCounts ServerPace::OwnCounts() const {
  ServerPaceCounts counts;
  for (const auto& [server, ramp] : m_ramps) {
    const PaceCounts& own = ramp.own;
    if (own.answered + own.refused + own.failed + own.limited == 0) continue;
    PaceCounts& told = counts[server] = own;
    told.window = ramp.window;
    told.hosts = 1;
  }
  return counts;
}

void ServerPace::SetFleet(TimePoint now, const FleetPace& fleet) {
  if (m_mode == PaceMode::kOff) return;
  const auto decayed = static_cast<std::uint32_t>(m_hosts * kHostDecay);
  m_hosts = std::max({1U, fleet.hosts, decayed});
  m_fleet_valid_until = now + kFleetLifetime;
  for (const auto& [server, sum] : fleet.servers) JoinFleet(now, server, sum);
}

void ServerPace::JoinFleet(TimePoint now, const std::string& server, const PaceCounts& sum) {
  const auto known = m_servers.find(server);
  if (known == m_servers.end() || known->second.incarnation != sum.incarnation) return;
  const double mean_window = sum.window / std::max(1U, sum.hosts);
  if (m_ramps.count(server) == 0) {
    const Service& service = m_services.at(known->second.service);
    const bool is_settled = now - service.known_since >= kSettlingTime;
    if (is_settled || known->second.was_paced) return;
    BeginRamp(now, server, PaceReason::kFleet);
  }
  Ramp& ramp = m_ramps.at(server);
  const PaceCounts before = std::exchange(ramp.fleet, Latest(ramp.fleet, sum));
  if (DecidesAlone(now, ramp)) return;
  const bool is_first = !std::exchange(ramp.is_told, true);
  if (is_first && mean_window > ramp.window) {
    ramp.window = mean_window;
    return;
  }
  Outcomes outcomes;
  outcomes.answered = Increase(before.answered, sum.answered);
  outcomes.latency_ratios = Increase(before.latency_ratios, sum.latency_ratios);
  outcomes.busy_s = Increase(before.busy_s, sum.busy_s);
  outcomes.refused = Increase(before.refused, sum.refused);
  outcomes.failed = Increase(before.failed, sum.failed);
  outcomes.limited = Increase(before.limited, sum.limited);
  if (Decide(now, server, outcomes, &ramp)) EndRamp(now, server);
}

bool ServerPace::DecidesAlone(TimePoint now, const Ramp& ramp) const {
  return HostsOf(ramp) == 1 || now >= m_fleet_valid_until;
}

void ServerPace::CompleteRound(TimePoint now, const std::string& server) {
  Ramp& ramp = m_ramps.at(server);
  const Outcomes& round = ramp.round;
  const double hosts = HostsOf(ramp);
  const double outcomes = round.answered + round.refused + round.failed;
  if (!DecidesAlone(now, ramp) || outcomes < ramp.window / hosts) return;
  const Outcomes scaled = {round.answered * hosts, round.latency_ratios * hosts,
                           round.busy_s * hosts,   round.refused * hosts,
                           round.failed * hosts,   round.limited * hosts};
  if (Decide(now, server, scaled, &ramp)) EndRamp(now, server);
}

bool ServerPace::Decide(TimePoint now, const std::string& server, const Outcomes& outcomes,
                        Ramp* ramp) {
  ramp->round = {};
  const bool has_fallen = std::exchange(ramp->has_fallen, false);
  const bool had_grown = std::exchange(ramp->has_grown, false);
  const double bad = outcomes.refused + outcomes.failed;
  const double total = outcomes.answered + bad;
  if (total <= 0.0) {
    // The hosts that may send a request had none; others may have.
    if (m_servers.at(server).in_flight == 0) ramp->draw = Draw();
    return false;
  }
  const double elapsed_s =
      std::chrono::duration<double>(now - std::exchange(ramp->decided_at, now)).count();
  const double window = ramp->window;
  if (bad > 0.0) {
    ramp->overcommitment = 1.0;
    ramp->slow_rounds = 0;
    if (has_fallen) return false;
    ramp->slow_start_end = std::min(ramp->slow_start_end, window * kMaxFall);
    const bool is_down = outcomes.failed > kDownShare * total;
    const double factor = std::max(kMaxFall, 1.0 - bad / total);
    SetWindow(now, server, is_down ? kMinWindow : window * factor, ramp);
    return false;
  }
  const double ratio = outcomes.latency_ratios / outcomes.answered;
  const double rounds = std::min(kMaxGrowth, outcomes.answered / window);
  const bool is_slow = ratio > kGoodLatencyRatio;
  if (is_slow) {
    const double gradient = std::max(kMaxFall, kGoodLatencyRatio / ratio);
    SetWindow(now, server, window * gradient + kSlowProbes, ramp);
    // Growth has caused a queue. A server that was slow from the start may just be cold.
    if (had_grown) ramp->slow_start_end = ramp->window;
    const double most = 1.0 + kSlowOvercommitment * (gradient - kMaxFall);
    if (elapsed_s > 0.0) SetOvercommitment(outcomes.busy_s / elapsed_s, most, ramp);
  } else {
    if (elapsed_s > 0.0) {
      SetOvercommitment(outcomes.busy_s / elapsed_s, ramp->max_overcommitment, ramp);
    }
    const double growth =
        window < ramp->slow_start_end ? outcomes.answered : std::sqrt(window) * rounds;
    SetWindow(now, server, std::min(window + growth, window * kMaxGrowth), ramp);
    ramp->has_grown = true;
  }
  return IsComplete(outcomes, is_slow, ramp);
}

bool ServerPace::IsComplete(const Outcomes& outcomes, bool is_slow, Ramp* ramp) {
  if (outcomes.limited > 0.0) {
    ramp->slow_rounds = 0;
    return false;
  }
  return !is_slow || ++ramp->slow_rounds >= kMaxSlowRounds;
}

// Lets more hosts send to the server if those that may have few requests for it.
void ServerPace::SetOvercommitment(double in_flight, double most, Ramp* ramp) const {
  if (HostsOf(*ramp) == 1) return;
  const double change = ramp->window / std::max(in_flight, kMinWindow);
  const double wanted = ramp->overcommitment * std::clamp(change, 1.0 / kMaxOvercommitmentChange,
                                                          kMaxOvercommitmentChange);
  ramp->overcommitment = std::clamp(wanted, 1.0, std::max(1.0, most));
}

void ServerPace::SetWindow(TimePoint now, const std::string& server, double window, Ramp* ramp) {
  const double before = std::exchange(ramp->window, std::max(kMinWindow, window));
  if (ramp->window < before) AddEvent(now, PaceStep::kFall, server, *ramp);
}

void ServerPace::EndRamp(TimePoint now, const std::string& server) {
  const auto ramp = m_ramps.extract(server);
  AddEvent(now, PaceStep::kEnd, server, ramp.mapped());
}

void ServerPace::AddEvent(TimePoint now, PaceStep step, const std::string& server,
                          const Ramp& ramp) {
  m_events.push_back(
      {step, server, ramp.reason, ramp.window, ramp.own.answered, now - ramp.began_at});
}

std::vector<PaceEvent> ServerPace::TakeEvents() { return std::exchange(m_events, {}); }

double ServerPace::WindowSum() const {
  double sum = 0.0;
  for (const auto& [server, ramp] : m_ramps) sum += ramp.window;
  return sum;
}

}  // namespace corneltray
