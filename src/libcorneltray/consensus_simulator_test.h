#ifndef CORNELTRAY_CONSENSUS_SIMULATOR_TEST_H_
#define CORNELTRAY_CONSENSUS_SIMULATOR_TEST_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "corneltray/consensus.h"

namespace corneltray {

// Thrown when a replica violates an invariant of the protocol.
struct InvariantViolation : std::runtime_error {
  using std::runtime_error::runtime_error;
};

struct SimulatorOptions {
  std::uint64_t seed = 0;
  std::size_t hosts = 3;
  std::size_t founders = 3;  // number of founding hosts; the others start as unformatted learners
  FoundingQuorum founding_quorum = FoundingQuorum::kAll;
};

// Number of times that a run reached the situations that the invariants are about. The test checks
// the counts, because a run that never reaches them proves nothing.
struct SimulatorCounts {
  std::uint64_t committed = 0;
  std::uint64_t elections = 0;
  std::uint64_t reads_confirmed = 0;
  std::uint64_t snapshots_installed = 0;
  std::uint64_t entries_overwritten = 0;
  std::uint64_t disks_lost = 0;
  std::uint64_t founding_disks_lost = 0;  // before the first commit
  std::uint64_t members_changed = 0;
  std::uint64_t transfers = 0;
  std::uint64_t storage_failures = 0;
  std::uint64_t storage_recoveries = 0;  // without a restart
};

// Replicas on simulated hosts with simulated disks, clock and network. After each call into a
// replica its actions are executed and the invariants of the protocol are checked; a violation
// throws InvariantViolation. The same seed gives the same run.
class ConsensusSimulator {
 public:
  explicit ConsensusSimulator(const SimulatorOptions& options);

  // Runs the events that are due within the next `span`.
  void RunFor(Duration span);
  // Runs until the condition holds, for at most `limit`. Returns whether it holds.
  bool RunUntil(const std::function<bool()>& condition, Duration limit);

  // Faults. A fault that needs a running host has no effect on one that is down.
  void Crash(std::size_t host);
  void Restart(std::size_t host);
  void Freeze(std::size_t host, Duration span);
  // Reports a failed write to the replica. Nothing is written until FreeDisk; a crash before that
  // loses unsynced data.
  void FillDisk(std::size_t host);
  void FreeDisk(std::size_t host);
  // Crashes the host and gives it an empty folder, formatted again by mistake or unformatted.
  // Returns false without any effect if some member set would lose its majority with this disk, or
  // if the log does not exist yet and needs every founding host. With FoundingQuorum::kMajority no
  // host is formatted again.
  bool LoseDisk(std::size_t host, bool formatted_again);
  void Partition(const std::set<std::size_t>& side);
  void Heal();

  // Client calls to a random host that considers itself the leader.
  void Propose();
  void ReadBarrier();
  void Transfer();
  void ChangeMembers();
  void Compact(std::size_t host);

  // Whether there is a leader, its member set has no lost disks or joining learners, and every
  // member has applied the whole log.
  bool IsConverged() const;
  std::string Describe() const;

  std::size_t HostCount() const { return m_hosts.size(); }
  bool IsUp(std::size_t host) const { return m_hosts[host].replica != nullptr; }
  const Replica& At(std::size_t host) const { return *m_hosts[host].replica; }
  std::optional<std::size_t> Leader() const;
  std::uint64_t CommittedCount() const { return m_committed.size(); }
  const SimulatorCounts& Counts() const { return m_counts; }

  // Probabilities and bounds of the faults that each message and sync is subject to.
  double loss = 0;
  double duplication = 0;
  Duration max_delay = std::chrono::milliseconds(5);
  Duration max_sync_time = std::chrono::milliseconds(3);

 private:
  struct Host {
    std::string name;
    PersistentState disk;
    std::unique_ptr<Replica> replica;
    std::uint64_t starts = 0;  // number of starts; events of an earlier start are dropped
    std::deque<ActionBatch> unsynced;
    bool sync_running = false;
    bool disk_full = false;
    TimePoint frozen_until;
    TimePoint tick_at;
    bool started = false;  // the actions of the start have been executed
    std::uint64_t applied = 0;
    MemberSet members;                                // in effect after the actions handled so far
    std::map<std::uint64_t, std::uint64_t> barriers;  // id to the index committed at the request
  };
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::size_t host = 0;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.order) < std::tie(at, order);
    }
  };
  struct Committed {
    std::uint64_t term = 0;
    std::string payload;
  };

  void ReadBarrierAt(std::size_t host);
  void Schedule(TimePoint at, std::size_t host, std::function<void()> run);
  void ScheduleTick(std::size_t host);
  bool RunNext(TimePoint limit);
  void Start(std::size_t host);
  // Executes the actions of the last call into the replica.
  void ExecuteActions(std::size_t host);
  void HandleActions(std::size_t host, const ActionBatch& batch);
  void Deliver(const ReplicaMessage& message);
  void SendAfterPersist(std::size_t host, const ActionBatch& batch);
  void StartSync(std::size_t host);
  void FinishSync(std::size_t host);
  void LoseUnsynced(std::size_t host);
  static void WriteToDisk(PersistentState* disk, const Action& action);

  void CheckLeader(std::size_t host);
  void CheckEntries(std::size_t host, const std::vector<LogEntry>& entries);
  void CheckMemberChange(std::size_t host, const LogEntry& entry);
  void CheckApplied(std::size_t host, const std::vector<LogEntry>& entries);
  void CheckDurable(std::size_t host, const LogEntry& entry);
  void CheckVote(std::size_t host, const ReplicaMessage& message);
  bool KeepsMajorities(const ReplicaId& lost) const;
  bool KeepsMajority(const MemberSet& set, const ReplicaId& lost) const;
  // The set with the identities of the disks that were formatted for the first start, in place of
  // the empty ones.
  MemberSet Named(const MemberSet& set) const;
  std::optional<std::size_t> RandomLeader();
  std::size_t Random(std::size_t bound);
  bool Chance(double probability);
  Duration RandomUpTo(Duration bound);
  [[noreturn]] void Fail(const std::string& what) const;

  SimulatorOptions m_options;
  MemberSet m_founders;  // the disks that were formatted for the first start
  std::mt19937_64 m_random;
  TimePoint m_now;
  std::uint64_t m_event_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<Host> m_hosts;
  std::set<std::pair<std::size_t, std::size_t>> m_cut_links;  // pairs (from, to) without a link
  std::uint64_t m_next_command = 0;
  std::uint64_t m_next_barrier = 0;
  std::uint64_t m_next_identity = 0;

  // History of all replicas over the whole run, against which the invariants are checked.
  std::map<std::uint64_t, ReplicaId> m_leaders;                            // by term
  std::vector<Committed> m_committed;                                      // index 1 first
  std::map<LogPosition, std::pair<std::uint64_t, std::string>> m_entries;  // previous term, payload
  std::map<std::pair<ReplicaId, std::uint64_t>, ReplicaId> m_votes;        // by voter, term
  std::set<ReplicaId> m_lost_disks;
  std::set<ReplicaId> m_ever_voters;
  SimulatorCounts m_counts;
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONSENSUS_SIMULATOR_TEST_H_
