#ifndef CORNELTRAY_REPLICA_HARNESS_TEST_H_
#define CORNELTRAY_REPLICA_HARNESS_TEST_H_

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "corneltray/consensus.h"

namespace corneltray {

inline const ReplicaId kA{"a", "a1"};
inline const ReplicaId kB{"b", "b1"};
inline const ReplicaId kC{"c", "c1"};
inline const TimePoint kStart{std::chrono::hours(1)};

inline MemberSet Voters(std::vector<ReplicaId> ids) {
  MemberSet set;
  for (ReplicaId& id : ids) set.members[std::move(id)] = MemberRole::kVoter;
  return set;
}

inline LogEntry MembersEntry(const MemberSet& set) {
  return {1, 1, EntryKind::kMembers, 0, EncodeMemberSet(set)};
}

inline LogEntry Command(std::uint64_t index, std::uint64_t term, std::string payload = "x") {
  return {index, term, EntryKind::kCommand, 0, std::move(payload)};
}

// State of a voter in the group a, b, c in term 2, with the entries 1/1, 2/2, 3/2 (index/term).
inline PersistentState VoterState(const ReplicaId& self) {
  PersistentState state;
  state.self = self;
  state.founding_hosts = {"a", "b", "c"};
  state.hard_state.term = 2;
  state.entries = {MembersEntry(Voters({kA, kB, kC})), Command(2, 2), Command(3, 2)};
  return state;
}

// Runs one replica whose disk and messages are controlled by the test.
class ReplicaHarness {
 public:
  explicit ReplicaHarness(PersistentState state, ReplicaOptions options = {})
      : m_replica(options, std::move(state), kStart) {
    Run();
  }

  Replica& Get() { return m_replica; }
  ReplicaStatus Status() const { return m_replica.GetStatus(); }
  TimePoint Now() const { return m_now; }

  // Executes all actions, with writes that sync instantly. Records the messages and actions.
  void Run() {
    for (;;) {
      ActionBatch batch = m_replica.TakeActions();
      if (batch.actions.empty()) return;
      Collect(batch);
      if (batch.needs_sync) m_replica.Persisted(m_now, batch.sequence);
    }
  }
  void Collect(const ActionBatch& batch) {
    for (const Action& action : batch.actions) {
      if (const auto* send = std::get_if<SendMessage>(&action)) sent.push_back(send->message);
      actions.push_back(action);
    }
  }
  void Receive(const ReplicaId& from, std::uint64_t term, MessageBody body) {
    m_replica.Step(m_now, from.host, {from, Status().self, term, std::move(body)});
    Run();
  }
  void Advance(Duration span) {
    m_now += span;
    m_replica.Tick(m_now);
    Run();
  }
  // Makes the replica the leader of the next term with the vote of b.
  void Elect() {
    Advance(std::chrono::seconds(2));
    const std::uint64_t term = Status().term + 1;
    Receive(kB, term, VoteReply{true, true});
    Receive(kB, term, VoteReply{false, true});
    REQUIRE(Status().role == ReplicaRole::kLeader);
  }
  // Answers the campaign of this replica, as a founding disk does.
  void Grant(const ReplicaId& from, bool pre_vote) {
    const std::uint64_t term = Status().term + (pre_vote ? 1 : 0);
    m_replica.Step(m_now, from.host, {from, Status().self, term, VoteReply{pre_vote, true}, true});
    Run();
  }
  void AcknowledgeFromFoundingDisk(const ReplicaId& from, std::uint64_t index) {
    m_replica.Step(m_now, from.host,
                   {from, Status().self, Status().term, AppendReply{true, index, 0, {}, 0}, true});
    Run();
  }
  void Acknowledge(const ReplicaId& from, std::uint64_t index, std::uint64_t round = 0) {
    Receive(from, Status().term, AppendReply{true, index, 0, {}, round});
  }
  // Returns the last message of a type, or nullptr.
  template <class Body>
  const Body* LastSent() const {
    for (auto it = sent.rbegin(); it != sent.rend(); ++it) {
      if (const auto* body = std::get_if<Body>(&it->body)) return body;
    }
    return nullptr;
  }
  template <class Kind>
  std::size_t Count() const {
    return static_cast<std::size_t>(
        std::count_if(actions.begin(), actions.end(),
                      [](const Action& a) { return std::holds_alternative<Kind>(a); }));
  }

  std::vector<ReplicaMessage> sent;
  std::vector<Action> actions;

 private:
  TimePoint m_now = kStart;
  Replica m_replica;
};

}  // namespace corneltray

#endif  // CORNELTRAY_REPLICA_HARNESS_TEST_H_
