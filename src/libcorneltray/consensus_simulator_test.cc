#include "consensus_simulator_test.h"

#include <algorithm>
#include <tuple>

namespace corneltray {
namespace {

// Schedules of the property test need at most a few tens of thousands of events.
constexpr std::uint64_t kMaxEvents = 1'000'000;

ReplicaOptions SimulatedOptions(std::uint64_t seed, FoundingQuorum founding_quorum) {
  ReplicaOptions options;
  options.founding_quorum = founding_quorum;
  options.election_timeout_min = std::chrono::milliseconds(300);
  options.election_timeout_max = std::chrono::milliseconds(600);
  options.heartbeat_interval = std::chrono::milliseconds(100);
  options.seed = seed;
  // Small numbers, so that short runs reach snapshots and promotions.
  options.trailing_entries = 4;
  options.max_promotion_lag = 2;
  options.max_append_bytes = 300;
  return options;
}

// Latest member set on a disk.
MemberSet MembersOn(const PersistentState& disk) {
  for (auto it = disk.entries.rbegin(); it != disk.entries.rend(); ++it) {
    if (it->kind == EntryKind::kMembers) return DecodeMemberSet(it->payload).value();
  }
  return disk.snapshot ? disk.snapshot->members : MemberSet{};
}

}  // namespace

ConsensusSimulator::ConsensusSimulator(const SimulatorOptions& options)
    : m_options(options), m_random(options.seed), m_now(std::chrono::hours(1)) {
  std::vector<std::string> founders;
  for (std::size_t i = 0; i < options.founders; ++i) founders.push_back(std::string(1, 'a' + i));
  for (std::size_t i = 0; i < options.hosts; ++i) {
    Host host;
    host.name = std::string(1, static_cast<char>('a' + i));
    host.disk.self = {host.name, host.name + std::to_string(++m_next_identity)};
    if (i < options.founders) {
      host.disk.founding_hosts = founders;
      m_founders.members[host.disk.self] = MemberRole::kVoter;
      m_ever_voters.insert(host.disk.self);
    }
    m_hosts.push_back(std::move(host));
  }
  for (std::size_t i = 0; i < options.hosts; ++i) Start(i);
}

// --- Events --------------------------------------------------------------------------------------

void ConsensusSimulator::Schedule(TimePoint at, std::size_t host, std::function<void()> run) {
  const std::uint64_t start = m_hosts[host].starts;
  m_events.push({at, ++m_event_order, host, [this, host, start, run = std::move(run)] {
                   if (m_hosts[host].starts == start && m_hosts[host].replica) run();
                 }});
}

void ConsensusSimulator::ScheduleTick(std::size_t host) {
  const TimePoint at =
      std::max(m_hosts[host].replica->NextDeadline(), m_now + std::chrono::milliseconds(1));
  if (m_hosts[host].tick_at > m_now && m_hosts[host].tick_at <= at) return;
  m_hosts[host].tick_at = at;
  Schedule(at, host, [this, host, at] {
    if (m_hosts[host].tick_at != at) return;
    m_hosts[host].replica->Tick(m_now);
    ExecuteActions(host);
  });
}

bool ConsensusSimulator::RunNext(TimePoint limit) {
  if (m_events.empty() || m_events.top().at > limit) {
    m_now = limit;
    return false;
  }
  // Replicas that reply to each other endlessly would otherwise hang the test, not fail it.
  if (m_event_order > kMaxEvents) Fail("too many events: replicas reply to each other endlessly");
  Event event = m_events.top();
  m_events.pop();
  m_now = std::max(m_now, event.at);
  if (m_now < m_hosts[event.host].frozen_until) {
    event.at = m_hosts[event.host].frozen_until;  // delivered in order when the host resumes
    m_events.push(std::move(event));
    return true;
  }
  event.run();
  return true;
}

void ConsensusSimulator::RunFor(Duration span) {
  const TimePoint limit = m_now + span;
  while (RunNext(limit)) {
  }
}

bool ConsensusSimulator::RunUntil(const std::function<bool()>& condition, Duration limit) {
  const TimePoint end = m_now + limit;
  TimePoint check_at = m_now;
  do {
    // The condition visits every host, so it is not evaluated after each event.
    if (m_now >= check_at) {
      if (condition()) return true;
      check_at = m_now + std::chrono::milliseconds(50);
    }
  } while (RunNext(end));
  return condition();
}

// --- Faults --------------------------------------------------------------------------------------

void ConsensusSimulator::Start(std::size_t host) {
  Host& h = m_hosts[host];
  ++h.starts;
  h.sync_running = false;
  h.disk_full = false;
  h.unsynced.clear();
  h.barriers.clear();
  h.applied = 0;
  h.tick_at = {};
  h.frozen_until = {};
  h.started = false;
  h.replica = std::make_unique<Replica>(SimulatedOptions(m_random(), m_options.founding_quorum),
                                        h.disk, m_now);
  ExecuteActions(host);
  h.started = true;
}

// A crash keeps a random prefix of the writes that were not synced.
void ConsensusSimulator::LoseUnsynced(std::size_t host) {
  Host& h = m_hosts[host];
  std::size_t kept = Random(8);
  for (const ActionBatch& batch : h.unsynced) {
    for (const Action& action : batch.actions) {
      if (kept == 0) break;
      --kept;
      WriteToDisk(&h.disk, action);
    }
  }
  h.unsynced.clear();
  h.sync_running = false;
}

void ConsensusSimulator::Crash(std::size_t host) {
  if (!IsUp(host)) return;
  LoseUnsynced(host);
  m_hosts[host].replica.reset();
  ++m_hosts[host].starts;
}

void ConsensusSimulator::Restart(std::size_t host) {
  if (!IsUp(host)) Start(host);
}

void ConsensusSimulator::Freeze(std::size_t host, Duration span) {
  m_hosts[host].frozen_until = m_now + span;
  // Order 0: a client request reaches the host before its timers run, while it may still consider
  // itself the leader.
  const std::uint64_t start = m_hosts[host].starts;
  m_events.push({m_hosts[host].frozen_until, 0, host, [this, host, start] {
                   if (IsUp(host) && m_hosts[host].starts == start) ReadBarrierAt(host);
                 }});
}

void ConsensusSimulator::FillDisk(std::size_t host) {
  if (!IsUp(host) || m_hosts[host].disk_full) return;
  m_hosts[host].disk_full = true;
  m_hosts[host].replica->StorageFailed(
      m_now, Error{std::make_error_code(std::errc::no_space_on_device), "log"});
  ExecuteActions(host);
}

void ConsensusSimulator::FreeDisk(std::size_t host) {
  Host& h = m_hosts[host];
  if (!IsUp(host) || !std::exchange(h.disk_full, false)) return;
  ++m_counts.storage_recoveries;
  if (!h.unsynced.empty()) {
    StartSync(host);
    return;
  }
  h.replica->StorageRecovered(m_now);
  ExecuteActions(host);
}

bool ConsensusSimulator::LoseDisk(std::size_t host, bool formatted_again) {
  Host& h = m_hosts[host];
  const bool needs_all = m_options.founding_quorum == FoundingQuorum::kAll;
  if (m_committed.empty() && needs_all) return false;
  if (!KeepsMajorities(h.disk.self)) return false;
  Crash(host);
  m_lost_disks.insert(h.disk.self);
  ++m_counts.disks_lost;
  if (m_committed.empty()) ++m_counts.founding_disks_lost;
  PersistentState empty;
  empty.self = {h.name, h.name + std::to_string(++m_next_identity)};
  if (formatted_again && needs_all) empty.founding_hosts = h.disk.founding_hosts;
  h.disk = std::move(empty);
  return true;
}

// Whether every member set in any log keeps a majority of intact disks without this one. Without a
// majority, any protocol may lose committed entries.
bool ConsensusSimulator::KeepsMajorities(const ReplicaId& lost) const {
  if (m_committed.empty() && !KeepsMajority(m_founders, lost)) return false;
  for (const Host& host : m_hosts) {
    if (!KeepsMajority(MembersOn(host.disk), lost)) return false;
    if (!host.replica) continue;
    const ReplicaStatus status = host.replica->GetStatus();
    if (status.last.index > 0 && !KeepsMajority(status.members, lost)) return false;
  }
  return true;
}

bool ConsensusSimulator::KeepsMajority(const MemberSet& set, const ReplicaId& lost) const {
  std::size_t intact = 0;
  for (const auto& [id, role] : Named(set).members) {
    if (role == MemberRole::kVoter && id != lost && m_lost_disks.count(id) == 0) ++intact;
  }
  return set.members.empty() || intact >= set.Quorum();
}

MemberSet ConsensusSimulator::Named(const MemberSet& set) const {
  MemberSet named;
  for (const auto& [id, role] : set.members) {
    const bool has_identity = !id.disk_identity.empty();
    named.members[has_identity ? id : *m_founders.FindByHost(id.host)] = role;
  }
  return named;
}

void ConsensusSimulator::Partition(const std::set<std::size_t>& side) {
  for (std::size_t a = 0; a < m_hosts.size(); ++a) {
    for (std::size_t b = 0; b < m_hosts.size(); ++b) {
      if (side.count(a) != side.count(b)) m_cut_links.insert({a, b});
    }
  }
}

void ConsensusSimulator::Heal() { m_cut_links.clear(); }

// --- Client calls --------------------------------------------------------------------------------

std::optional<std::size_t> ConsensusSimulator::RandomLeader() {
  std::vector<std::size_t> leaders;
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    if (IsUp(i) && m_now >= m_hosts[i].frozen_until &&
        At(i).GetStatus().role == ReplicaRole::kLeader) {
      leaders.push_back(i);
    }
  }
  if (leaders.empty()) return std::nullopt;
  return leaders[Random(leaders.size())];
}

void ConsensusSimulator::Propose() {
  const auto host = RandomLeader();
  if (!host) return;
  const auto result = m_hosts[*host].replica->Propose(m_now, 0, std::to_string(++m_next_command));
  static_cast<void>(result);
  ExecuteActions(*host);
}

void ConsensusSimulator::ReadBarrier() {
  if (const auto host = RandomLeader()) ReadBarrierAt(*host);
}

void ConsensusSimulator::ReadBarrierAt(std::size_t host) {
  const std::uint64_t id = ++m_next_barrier;
  m_hosts[host].barriers[id] = m_committed.size();
  if (!m_hosts[host].replica->ReadBarrier(m_now, id)) m_hosts[host].barriers.erase(id);
  ExecuteActions(host);
}

void ConsensusSimulator::Transfer() {
  const auto host = RandomLeader();
  if (!host) return;
  const Status status = m_hosts[*host].replica->TransferLeadership(m_now);
  static_cast<void>(status);
  ExecuteActions(*host);
}

void ConsensusSimulator::ChangeMembers() {
  const auto leader = RandomLeader();
  if (!leader) return;
  const ReplicaId id = m_hosts[Random(m_hosts.size())].disk.self;
  MemberSet members = At(*leader).GetStatus().members;
  MemberChange change{MemberChangeKind::kAddLearner, id};
  const auto found = members.members.find(id);
  if (found != members.members.end()) {
    const bool is_voter = found->second == MemberRole::kVoter;
    change.kind = is_voter ? MemberChangeKind::kRemove : MemberChangeKind::kPromote;
    if (is_voter && members.VoterCount() <= 3) return;
    // Skips removals of an intact voter that would lose the majority after the loss of other disks.
    // The leader rejects such a change only after it has found the lost ones unreachable.
    members.members.erase(found);
    if (!is_voter) members.members[id] = MemberRole::kVoter;
    if (!KeepsMajority(members, {})) return;
  }
  const auto result = m_hosts[*leader].replica->ProposeMembers(m_now, change);
  static_cast<void>(result);
  ExecuteActions(*leader);
}

void ConsensusSimulator::Compact(std::size_t host) {
  if (!IsUp(host) || m_hosts[host].applied == 0) return;
  const std::uint64_t index = m_hosts[host].applied;
  m_hosts[host].replica->Compact(index, "state after " + std::to_string(index));
  ExecuteActions(host);
}

// --- Execution of actions ------------------------------------------------------------------------

void ConsensusSimulator::ExecuteActions(std::size_t host) {
  Host& h = m_hosts[host];
  ActionBatch batch = h.replica->TakeActions();
  HandleActions(host, batch);
  h.members = h.replica->GetStatus().members;
  CheckLeader(host);
  // Messages that need not wait for the disk are sent immediately.
  for (const Action& action : batch.actions) {
    const auto* send = std::get_if<SendMessage>(&action);
    if (send == nullptr || send->after_persist) continue;
    CheckVote(host, send->message);
    Deliver(send->message);
  }
  if (batch.needs_sync || !h.unsynced.empty()) {
    h.unsynced.push_back(std::move(batch));
    StartSync(host);
  } else {
    SendAfterPersist(host, batch);
  }
  ScheduleTick(host);
}

void ConsensusSimulator::HandleActions(std::size_t host, const ActionBatch& batch) {
  Host& h = m_hosts[host];
  for (const Action& action : batch.actions) {
    if (const auto* entries = std::get_if<PersistEntries>(&action)) {
      CheckEntries(host, entries->entries);
    } else if (const auto* apply = std::get_if<ApplyEntries>(&action)) {
      CheckApplied(host, apply->entries);
    } else if (const auto* restore = std::get_if<RestoreSnapshot>(&action)) {
      const std::uint64_t index = restore->snapshot.last.index;
      if (*restore->snapshot.data != "state after " + std::to_string(index) ||
          index > m_committed.size() ||
          m_committed[index - 1].term != restore->snapshot.last.term) {
        Fail(h.name + " restored a snapshot that does not match the committed entries");
      }
      if (h.started && index <= h.applied) Fail(h.name + " restored an older snapshot");
      h.applied = index;
      // The first restore after a start comes from the host's own disk.
      if (h.started) ++m_counts.snapshots_installed;
    } else if (const auto* confirmed = std::get_if<ReadBarrierConfirmed>(&action)) {
      // A read through a deposed leader would miss entries committed by its successor.
      if (confirmed->index < h.barriers.at(confirmed->id) || h.applied < confirmed->index) {
        Fail(h.name + " confirmed a read that misses committed entries");
      }
      ++m_counts.reads_confirmed;
    } else if (const auto* changed = std::get_if<RoleChanged>(&action)) {
      if (changed->role == ReplicaRole::kLeader) ++m_counts.elections;
      if (changed->reason == RoleReason::kTransferred) ++m_counts.transfers;
      if (changed->reason == RoleReason::kStorageFailed) ++m_counts.storage_failures;
    }
  }
}

void ConsensusSimulator::SendAfterPersist(std::size_t host, const ActionBatch& batch) {
  for (const Action& action : batch.actions) {
    const auto* send = std::get_if<SendMessage>(&action);
    if (send == nullptr || !send->after_persist) continue;
    CheckVote(host, send->message);
    Deliver(send->message);
  }
}

void ConsensusSimulator::StartSync(std::size_t host) {
  if (m_hosts[host].sync_running) return;
  m_hosts[host].sync_running = true;
  Schedule(m_now + RandomUpTo(max_sync_time), host, [this, host] { FinishSync(host); });
}

// Group commit: all batches that wait at this moment are written and synced together.
void ConsensusSimulator::FinishSync(std::size_t host) {
  Host& h = m_hosts[host];
  h.sync_running = false;
  if (h.disk_full) return;  // the batches stay until FreeDisk
  std::deque<ActionBatch> batches = std::move(h.unsynced);
  h.unsynced.clear();
  if (batches.empty()) return;
  for (const ActionBatch& batch : batches) {
    for (const Action& action : batch.actions) {
      const auto* added = std::get_if<PersistEntries>(&action);
      if (added != nullptr && !h.disk.entries.empty() &&
          added->entries.front().index <= h.disk.entries.back().index) {
        ++m_counts.entries_overwritten;
      }
      WriteToDisk(&h.disk, action);
    }
  }
  // Messages that were waiting when the disk failed are lost.
  const bool had_failed = h.replica->GetStatus().storage_failed;
  for (const ActionBatch& batch : batches) {
    if (!had_failed) SendAfterPersist(host, batch);
  }
  h.replica->Persisted(m_now, batches.back().sequence);
  if (had_failed) h.replica->StorageRecovered(m_now);
  ExecuteActions(host);
}

void ConsensusSimulator::WriteToDisk(PersistentState* disk, const Action& action) {
  if (const auto* hard = std::get_if<PersistHardState>(&action)) {
    disk->hard_state = hard->hard_state;
  } else if (const auto* added = std::get_if<PersistEntries>(&action)) {
    for (const LogEntry& entry : added->entries) {
      disk->entries.resize(
          std::min<std::size_t>(disk->entries.size(), entry.index - disk->log_base.index - 1));
      disk->entries.push_back(entry);
    }
  } else if (const auto* snapshot = std::get_if<PersistSnapshot>(&action)) {
    disk->snapshot = snapshot->snapshot;
    if (snapshot->reset_log) {
      disk->entries.clear();
    } else {
      const std::uint64_t dropped = snapshot->keep_after.index - disk->log_base.index;
      disk->entries.erase(disk->entries.begin(),
                          disk->entries.begin() + static_cast<std::ptrdiff_t>(dropped));
    }
    disk->log_base = snapshot->keep_after;
  }
}

void ConsensusSimulator::Deliver(const ReplicaMessage& message) {
  const std::size_t from = static_cast<std::size_t>(message.from.host[0] - 'a');
  const std::size_t to = static_cast<std::size_t>(message.to.host[0] - 'a');
  std::size_t copies = Chance(loss) ? 0 : 1;
  if (Chance(duplication)) ++copies;
  for (std::size_t i = 0; i < copies; ++i) {
    // Not bound to the receiver's current start: a message may arrive after a restart. Links are
    // checked on arrival, so a partition also drops messages in flight.
    m_events.push({m_now + RandomUpTo(max_delay), ++m_event_order, to, [this, from, to, message] {
                     if (!IsUp(to) || m_cut_links.count({from, to}) > 0) return;
                     m_hosts[to].replica->Step(m_now, message.from.host, message);
                     ExecuteActions(to);
                   }});
  }
}

// --- State ---------------------------------------------------------------------------------------

std::optional<std::size_t> ConsensusSimulator::Leader() const {
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    if (IsUp(i) && At(i).GetStatus().accepts_proposals) return i;
  }
  return std::nullopt;
}

bool ConsensusSimulator::IsConverged() const {
  const auto leader = Leader();
  if (!leader) return false;
  const ReplicaStatus status = At(*leader).GetStatus();
  if (status.commit_index != status.last.index) return false;
  for (const auto& [id, role] : status.members.members) {
    if (m_lost_disks.count(id) > 0 || role == MemberRole::kJoining) return false;
    const Host& host = m_hosts[static_cast<std::size_t>(id.host[0] - 'a')];
    if (host.disk.self != id || !host.replica || host.applied != status.commit_index) return false;
  }
  return true;
}

std::string ConsensusSimulator::Describe() const {
  std::string text;
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    text += m_hosts[i].disk.self.disk_identity;
    if (!IsUp(i)) {
      text += " down\n";
      continue;
    }
    const ReplicaStatus s = At(i).GetStatus();
    text += " " + std::string(NameOf(s.role)) + " term " + std::to_string(s.term) + " last " +
            std::to_string(s.last.index) + "/" + std::to_string(s.last.term) + " commit " +
            std::to_string(s.commit_index) + " snapshot " + std::to_string(s.snapshot_index) +
            " members";
    for (const auto& [id, role] : s.members.members) {
      text += " " + id.disk_identity + ":" + std::string(NameOf(role));
    }
    text += "\n";
  }
  return text;
}

void ConsensusSimulator::Fail(const std::string& what) const {
  throw InvariantViolation(what + "\n" + Describe());
}

std::size_t ConsensusSimulator::Random(std::size_t bound) { return m_random() % bound; }

bool ConsensusSimulator::Chance(double probability) {
  return probability > 0 && static_cast<double>(m_random() % 1'000'000) < probability * 1e6;
}

Duration ConsensusSimulator::RandomUpTo(Duration bound) {
  return Duration(static_cast<Duration::rep>(m_random() % (bound.count() + 1)));
}

}  // namespace corneltray
