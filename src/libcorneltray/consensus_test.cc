#include "corneltray/consensus.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "consensus_simulator_test.h"
#include "replica_harness_test.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

// Guards against a second leader in a term, and against a leader that lacks committed entries.
TEST_CASE("a vote is granted only to a candidate with a current term and an up-to-date log") {
  struct Row {
    const char* name;
    std::uint64_t term;
    LogPosition last;
    bool granted;
  };
  const Row rows[] = {
      {"same log", 3, {3, 2}, true},
      {"longer log", 3, {9, 2}, true},
      {"newer last term", 3, {1, 3}, true},
      {"shorter log", 3, {2, 2}, false},
      {"older last term, longer log", 3, {50, 1}, false},
      {"older term", 1, {9, 2}, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    for (const bool pre_vote : {true, false}) {
      CAPTURE(pre_vote);
      ReplicaHarness harness(VoterState(kA));
      harness.Receive(kB, row.term, VoteRequest{pre_vote, false, row.last});
      REQUIRE(harness.LastSent<VoteReply>() != nullptr);
      CHECK(harness.LastSent<VoteReply>()->granted == row.granted);
      // A pre-vote changes no state, so a host that returns from a partition cannot raise the term.
      if (pre_vote) CHECK(harness.Status().term == 2);
    }
  }

  SUBCASE("and not to a second candidate in the same term") {
    ReplicaHarness harness(VoterState(kA));
    harness.Receive(kB, 3, VoteRequest{false, false, {3, 2}});
    harness.Receive(kC, 3, VoteRequest{false, false, {3, 2}});
    CHECK_FALSE(harness.LastSent<VoteReply>()->granted);
    harness.Receive(kB, 3, VoteRequest{false, false, {3, 2}});
    CHECK(harness.LastSent<VoteReply>()->granted);
  }
  SUBCASE("and not while a leader is in contact, unless that leader requested the election") {
    ReplicaHarness harness(VoterState(kA));
    harness.Receive(kC, 2, AppendRequest{{3, 2}, {}, 3, 0});
    harness.sent.clear();
    harness.Receive(kB, 3, VoteRequest{false, false, {3, 2}});
    CHECK(harness.LastSent<VoteReply>() == nullptr);
    CHECK(harness.Status().term == 2);
    harness.Receive(kB, 3, VoteRequest{false, true, {3, 2}});
    CHECK(harness.LastSent<VoteReply>()->granted);
  }
  SUBCASE("and neither by an unformatted learner nor under a lost disk identity") {
    PersistentState fresh;
    fresh.self = {"a", "a2"};
    ReplicaHarness harness(fresh);
    harness.Receive(kB, 3, VoteRequest{false, false, {3, 2}});
    CHECK_FALSE(harness.LastSent<VoteReply>()->granted);
    harness.sent.clear();
    harness.Get().Step(harness.Now(), "b", {kB, kA, 3, VoteRequest{false, false, {3, 2}}});
    harness.Run();
    CHECK(harness.sent.empty());
    harness.Advance(std::chrono::hours(1));
    CHECK(harness.sent.empty());
    CHECK(harness.Status().role == ReplicaRole::kLearner);
  }
}

// Guards against an acknowledgement of state that is lost in a crash.
TEST_CASE("votes, acknowledgements and the leader's own entries count only once they are on disk") {
  const auto waits = [](const ActionBatch& batch) {
    return std::all_of(batch.actions.begin(), batch.actions.end(), [](const Action& action) {
      const auto* send = std::get_if<SendMessage>(&action);
      return send == nullptr || send->after_persist;
    });
  };
  SUBCASE("a voter sends its vote after the sync") {
    ReplicaHarness harness(VoterState(kA));
    harness.Get().Step(kStart, "b", {kB, kA, 3, VoteRequest{false, false, {3, 2}}});
    const ActionBatch batch = harness.Get().TakeActions();
    CHECK(batch.needs_sync);
    CHECK(waits(batch));
  }
  SUBCASE("a follower acknowledges entries after the sync") {
    ReplicaHarness harness(VoterState(kA));
    harness.Get().Step(kStart, "b", {kB, kA, 2, AppendRequest{{3, 2}, {Command(4, 2)}, 3, 0}});
    const ActionBatch batch = harness.Get().TakeActions();
    CHECK(batch.needs_sync);
    CHECK(waits(batch));
  }
  SUBCASE("the only voter becomes leader and commits only after the sync") {
    PersistentState state = VoterState(kA);
    state.entries[0] = MembersEntry(Voters({kA}));
    ReplicaHarness harness(state);
    harness.Get().Tick(kStart + std::chrono::seconds(2));
    const ActionBatch vote = harness.Get().TakeActions();
    CHECK(harness.Status().role == ReplicaRole::kCandidate);
    harness.Get().Persisted(kStart, vote.sequence);
    CHECK(harness.Status().role == ReplicaRole::kLeader);
    const ActionBatch noop = harness.Get().TakeActions();
    CHECK(harness.Status().commit_index == 0);
    harness.Get().Persisted(kStart, noop.sequence);
    CHECK(harness.Status().commit_index == 4);
  }
}

// Guards against logs that differ before the commit index.
TEST_CASE("a follower replaces conflicting entries and keeps matching ones") {
  struct Row {
    const char* name;
    AppendRequest request;
    bool accepted;
    std::uint64_t match;  // for a rejected request: index of the hint
    LogPosition last;
    std::uint64_t commit;
  };
  const Row rows[] = {
      {"heartbeat", {{3, 2}, {}, 3, 0}, true, 3, {3, 2}, 3},
      {"commit index beyond the matching entries", {{2, 2}, {}, 3, 0}, true, 2, {3, 2}, 2},
      {"new entry", {{3, 2}, {Command(4, 3)}, 3, 0}, true, 4, {4, 3}, 3},
      {"repeated entry", {{2, 2}, {Command(3, 2)}, 2, 0}, true, 3, {3, 2}, 2},
      {"older, shorter request keeps the tail",
       {{1, 1}, {Command(2, 2)}, 0, 0},
       true,
       2,
       {3, 2},
       0},
      {"conflict replaces the tail", {{1, 1}, {Command(2, 3)}, 0, 0}, true, 2, {2, 3}, 0},
      {"gap", {{9, 3}, {}, 9, 0}, false, 3, {3, 2}, 0},
      {"other term at the previous index", {{3, 1}, {}, 3, 0}, false, 1, {3, 2}, 0},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ReplicaHarness harness(VoterState(kA));
    harness.Receive(kB, 3, row.request);
    const auto* reply = harness.LastSent<AppendReply>();
    REQUIRE(reply != nullptr);
    CHECK(reply->accepted == row.accepted);
    CHECK((row.accepted ? reply->match_index : reply->hint.index) == row.match);
    CHECK(harness.Status().last == row.last);
    CHECK(harness.Status().commit_index == row.commit);
  }

  SUBCASE("and drops a request whose entries are not consecutive") {
    ReplicaHarness harness(VoterState(kA));
    harness.Receive(kB, 3, AppendRequest{{3, 2}, {Command(5, 3)}, 0, 0});
    CHECK(harness.LastSent<AppendReply>() == nullptr);
    CHECK(harness.Status().last == LogPosition{3, 2});
  }
}

// Guards against two replicas that repeat the same exchange in a tight loop.
TEST_CASE("a leader does not reply immediately to a follower that is ahead of its log") {
  ReplicaHarness harness(VoterState(kA));
  harness.Elect();
  harness.Advance(milliseconds(100));
  harness.sent.clear();
  harness.Acknowledge(kB, 50);
  CHECK(harness.sent.empty());
  CHECK(harness.Status().commit_index == 0);
}

// Guards against a leader of an old term that still considers itself the leader.
TEST_CASE("a leader steps down when it can no longer commit") {
  ReplicaHarness harness(VoterState(kA));
  harness.Elect();

  SUBCASE("because no majority has replied for one election timeout") {
    harness.Advance(milliseconds(500));
    CHECK(harness.Status().role == ReplicaRole::kLeader);
    harness.Advance(milliseconds(150));
    CHECK(harness.Status().role == ReplicaRole::kFollower);
    CHECK(harness.Get().Propose(harness.Now(), 0, "x").error().code == ConsensusErrc::kNotLeader);
  }
  SUBCASE("because a reply has a newer term") {
    harness.Receive(kB, 9, AppendReply{});
    CHECK(harness.Status().role == ReplicaRole::kFollower);
    CHECK(harness.Status().term == 9);
  }
  SUBCASE("because its disk is full, and asks the most up-to-date voter to take over") {
    harness.Acknowledge(kC, 4);
    harness.sent.clear();
    REQUIRE(harness.Get().Propose(harness.Now(), 0, "x").Ok());
    harness.Get().StorageFailed(harness.Now(), Error{{}, "disk full: log"});
    harness.Run();
    REQUIRE(harness.sent.size() == 1);
    CHECK(std::holds_alternative<TimeoutNow>(harness.sent[0].body));
    CHECK(harness.sent[0].to == kC);
    const auto refused = harness.Get().Propose(harness.Now(), 0, "x");
    CHECK(refused.error().code == ConsensusErrc::kStorageFailed);
    CHECK(refused.error().detail.find("disk full: log") != std::string::npos);
    CHECK(harness.Status().storage_failed);
    harness.sent.clear();
    harness.Receive(kC, 9, VoteRequest{false, true, {9, 9}});
    harness.Receive(kC, 9, AppendRequest{{4, 3}, {}, 4, 0});
    harness.Advance(std::chrono::hours(1));
    CHECK(harness.sent.empty());
  }
}

// Guards against a replica that is lost to the group for good after its disk was full for some
// seconds, and against one that promises what is not on its disk meanwhile.
TEST_CASE("a replica whose disk refuses writes takes part again once the disk recovers") {
  ReplicaHarness harness(VoterState(kA));
  harness.Receive(kB, 3, AppendRequest{{3, 2}, {}, 2, 0});
  harness.Get().StorageFailed(harness.Now(), Error{{}, "disk full: log"});
  harness.sent.clear();
  harness.actions.clear();
  harness.Receive(kB, 3, AppendRequest{{3, 2}, {Command(4, 3), Command(5, 3)}, 4, 0});

  SUBCASE("meanwhile it applies what others have committed, and acknowledges nothing") {
    CHECK(harness.Status().commit_index == 4);
    CHECK(harness.Count<ApplyEntries>() == 1);
    CHECK(harness.Count<PersistEntries>() == 1);
    CHECK(harness.sent.empty());
  }
  SUBCASE("meanwhile it neither votes nor campaigns, also when it is asked to take over") {
    harness.Receive(kB, 3, TimeoutNow{});
    harness.Advance(std::chrono::minutes(1));
    harness.Receive(kC, 4, VoteRequest{false, true, {9, 9}});
    CHECK(harness.Status().role == ReplicaRole::kFollower);
    CHECK(harness.sent.empty());
  }
  SUBCASE("afterwards it acknowledges what the disk holds") {
    harness.Get().StorageRecovered(harness.Now());
    CHECK_FALSE(harness.Status().storage_failed);
    harness.Receive(kB, 3, AppendRequest{{5, 3}, {}, 5, 7});
    REQUIRE(harness.LastSent<AppendReply>() != nullptr);
    CHECK(harness.LastSent<AppendReply>()->accepted);
    CHECK(harness.LastSent<AppendReply>()->match_index == 5);
  }
  SUBCASE("afterwards it votes") {
    harness.Get().StorageRecovered(harness.Now());
    harness.Receive(kC, 4, VoteRequest{false, true, {9, 9}});
    REQUIRE(harness.LastSent<VoteReply>() != nullptr);
    CHECK(harness.LastSent<VoteReply>()->granted);
  }
  SUBCASE("afterwards it can become the leader, and accepts proposals") {
    harness.Get().StorageRecovered(harness.Now());
    harness.Elect();
    CHECK(harness.Get().Propose(harness.Now(), 0, "x").Ok());
  }
}

// Guards against a read that misses an entry committed by a successor.
TEST_CASE("a linearizable read waits for a heartbeat round and for the first entry of the term") {
  ReplicaHarness harness(VoterState(kA));
  harness.Elect();
  REQUIRE(harness.Get().ReadBarrier(harness.Now(), 77).Ok());
  harness.Run();
  const std::uint64_t round = harness.LastSent<AppendRequest>()->round;
  harness.Acknowledge(kB, 3, round);
  CHECK(harness.Count<ReadBarrierConfirmed>() == 0);  // entry 4 of this term is not committed
  harness.Acknowledge(kB, 4, round);
  CHECK(harness.Count<ReadBarrierConfirmed>() == 1);

  REQUIRE(harness.Get().ReadBarrier(harness.Now(), 78).Ok());
  harness.Run();
  harness.Acknowledge(kB, 4, round);  // a reply to the previous round
  CHECK(harness.Count<ReadBarrierConfirmed>() == 1);
  harness.Advance(milliseconds(700));
  CHECK(harness.Count<ReadBarrierFailed>() == 1);
}

// Guards against a leader that is too busy to send heartbeats because each of many concurrent reads
// starts a heartbeat round of its own.
TEST_CASE("reads that arrive during a heartbeat round share the next round") {
  constexpr std::uint64_t kReads = 200;
  ReplicaHarness harness(VoterState(kA));
  harness.Elect();
  harness.Acknowledge(kB, 4);
  harness.sent.clear();
  const auto read = [&harness](std::uint64_t id) {
    REQUIRE(harness.Get().ReadBarrier(harness.Now(), id).Ok());
    harness.Run();
  };
  read(1);
  const std::uint64_t first_round = harness.LastSent<AppendRequest>()->round;
  for (std::uint64_t id = 2; id <= kReads; ++id) read(id);
  CHECK(harness.sent.size() == 2);  // one heartbeat to each of the two followers

  SUBCASE("and are confirmed by a reply to it") {
    harness.Acknowledge(kB, 4, first_round);
    CHECK(harness.Count<ReadBarrierConfirmed>() == 1);
    CHECK(harness.sent.size() == 4);
    harness.Acknowledge(kC, 4, first_round);
    CHECK(harness.Count<ReadBarrierConfirmed>() == 1);
    harness.Acknowledge(kB, 4, harness.LastSent<AppendRequest>()->round);
    CHECK(harness.Count<ReadBarrierConfirmed>() == kReads);
    CHECK(harness.sent.size() == 4);
  }
  SUBCASE("which the next periodic heartbeat starts when the replies are lost") {
    harness.Advance(milliseconds(250));
    CHECK(harness.sent.size() == 4);
    harness.Acknowledge(kC, 4, harness.LastSent<AppendRequest>()->round);
    CHECK(harness.Count<ReadBarrierConfirmed>() == kReads);
  }
}

// Guards against followers that serve a replaced configuration until the next periodic heartbeat.
TEST_CASE("followers are told at once that an entry is committed") {
  ReplicaHarness harness(VoterState(kA));
  harness.Elect();
  harness.Acknowledge(kB, 4);
  harness.Acknowledge(kC, 4);
  REQUIRE(harness.Get().Propose(harness.Now(), 0, "x").Ok());
  harness.Run();
  harness.sent.clear();
  harness.Acknowledge(kB, 5);
  REQUIRE(harness.sent.size() == 2);
  for (const ReplicaMessage& message : harness.sent) {
    CHECK(std::get<AppendRequest>(message.body).commit_index == 5);
  }
}

// Guards against a lost disk that is not replaced, or is replaced by two changes at once.
TEST_CASE("a lost disk is replaced by one member change at a time") {
  ReplicaHarness harness(VoterState(kA));
  harness.Elect();
  harness.Acknowledge(kB, 4);
  const ReplicaId new_c{"c", "c2"};
  harness.Receive(new_c, harness.Status().term, IdentityNotice{kC});
  MemberSet expected = Voters({kA, kB});
  expected.members[new_c] = MemberRole::kJoining;
  CHECK(harness.Status().members == expected);

  SUBCASE("the new identity becomes a voter once the removal is committed and it has caught up") {
    harness.Acknowledge(new_c, 4);  // lacks the entry that makes it a member
    harness.Acknowledge(kB, 5);
    CHECK(harness.Status().members == expected);
    harness.Acknowledge(new_c, 5);
    CHECK(harness.Status().members == Voters({kA, kB, new_c}));
  }
  SUBCASE("a late notice about the replaced identity changes nothing") {
    harness.Acknowledge(kB, 5);
    harness.Receive({"c", "c3"}, harness.Status().term, IdentityNotice{kC});
    CHECK(harness.Status().members == expected);
  }
  SUBCASE("and other changes are rejected meanwhile") {
    const auto change =
        harness.Get().ProposeMembers(harness.Now(), {MemberChangeKind::kAddLearner, {"d", "d1"}});
    CHECK(change.error().code == ConsensusErrc::kChangeInProgress);
  }
}

// Guards against a snapshot part that exceeds a peer frame, and against wrong reassembly.
TEST_CASE("a snapshot is sent in parts under 1 MiB") {
  ReplicaHarness leader(VoterState(kA), [] {
    ReplicaOptions options;
    options.trailing_entries = 0;
    return options;
  }());
  leader.Elect();
  leader.Acknowledge(kB, 4);
  std::string data(3 * kSnapshotPartBytes / 2 + 17, 'x');
  for (std::size_t i = 0; i < data.size(); ++i) data[i] = static_cast<char>(i * 131 >> 3);
  leader.Get().Compact(4, data);
  leader.Run();

  PersistentState empty;
  empty.self = kC;
  ReplicaHarness follower(empty);
  // The two exchange encoded messages. Each part arrives twice.
  const std::uint64_t term = leader.Status().term;
  leader.Receive(kC, term, AppendReply{false, 0, 3, {0, 0}, 0});
  for (int exchange = 0; exchange < 10; ++exchange) {
    for (const ReplicaMessage& message : std::exchange(leader.sent, {})) {
      if (message.to != kC) continue;
      const std::string bytes = EncodeReplicaMessage(message);
      CHECK(bytes.size() < 1024 * 1024);
      const ReplicaMessage decoded = DecodeReplicaMessage(bytes).value();
      for (int copy = 0; copy < 2; ++copy) follower.Get().Step(kStart, "a", decoded);
    }
    follower.Run();
    for (const ReplicaMessage& message : std::exchange(follower.sent, {})) {
      leader.Get().Step(leader.Now(), "c", message);
    }
    leader.Run();
  }
  CHECK(follower.Status().commit_index == 4);
  CHECK(follower.Status().members == leader.Status().members);
  REQUIRE(follower.Count<RestoreSnapshot>() == 1);
  for (const Action& action : follower.actions) {
    const auto* restore = std::get_if<RestoreSnapshot>(&action);
    if (restore != nullptr) CHECK(*restore->snapshot.data == data);
  }
  CHECK(leader.Status().match_index.at(kC) == 4);
}

// Guards against a message that loses a field in encoding, and against truncated or unknown input.
TEST_CASE("every message survives an encoding round trip, and a malformed one is rejected") {
  Snapshot snapshot;
  const MessageBody bodies[] = {
      VoteRequest{true, false, {4, 3}},
      VoteReply{false, true},
      AppendRequest{{3, 2}, {Command(4, 2, std::string("\0\xff z", 4))}, 3, 8},
      AppendReply{true, 4, 2, {1, 1}, 9},
      SnapshotPart{{9, 3}, 12, Voters({kA, kB}), 5, 10, 77, std::string("\0\x80", 2), 4},
      SnapshotReply{{9, 3}, 7, true, 4},
      TimeoutNow{},
      IdentityNotice{kC}};
  for (const MessageBody& body : bodies) {
    const ReplicaMessage message{kA, kB, 5, body};
    const std::string bytes = EncodeReplicaMessage(message);
    const auto decoded = DecodeReplicaMessage(bytes);
    REQUIRE(decoded.Ok());
    CHECK(decoded.value().body.index() == body.index());
    CHECK(EncodeReplicaMessage(decoded.value()) == bytes);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      const auto cut = DecodeReplicaMessage(bytes.substr(0, size));
      REQUIRE_FALSE(cut.Ok());
      CHECK(cut.error().code == ConsensusErrc::kMalformedMessage);
    }
    nlohmann::json other = ReplicaMessageToJson(message);
    other["kind"] = "unknown";
    CHECK_FALSE(ReplicaMessageFromJson(other).Ok());
  }
}

// Guards against a group that does not recover within the time bounds after one failure.
TEST_CASE("a group of three recovers from one fault at a time") {
  SimulatorOptions options;
  options.seed = 5;
  ConsensusSimulator sim(options);
  const auto converged = [&] { return sim.IsConverged(); };
  REQUIRE(sim.RunUntil(converged, std::chrono::seconds(5)));
  const std::size_t leader = *sim.Leader();
  const std::size_t follower = (leader + 1) % 3;

  SUBCASE("the leader crashes and another accepts commands within 3 s") {
    sim.Crash(leader);
    CHECK(sim.RunUntil([&] { return sim.Leader().has_value(); }, std::chrono::seconds(3)));
  }
  SUBCASE("the leader transfers leadership") {
    sim.Transfer();
    CHECK(sim.RunUntil([&] { return sim.Leader().value_or(leader) != leader; }, milliseconds(200)));
  }
  SUBCASE("a follower loses its disk and is a voter again under its new identity") {
    REQUIRE(sim.LoseDisk(follower, false));
    sim.Restart(follower);
    CHECK(sim.RunUntil(converged, std::chrono::seconds(5)));
    CHECK(sim.At(leader).GetStatus().members.IsVoter(sim.At(follower).GetStatus().self));
  }
  SUBCASE("a second host fails during the repair: commits stop until it returns, nothing is lost") {
    const std::size_t second = (leader + 2) % 3;
    for (int i = 0; i < 20; ++i) sim.Propose();
    REQUIRE(sim.RunUntil(converged, std::chrono::seconds(5)));
    const std::uint64_t committed = sim.CommittedCount();
    REQUIRE(sim.LoseDisk(follower, false));
    sim.Crash(second);
    sim.Restart(follower);
    sim.RunFor(std::chrono::seconds(5));
    sim.Propose();
    CHECK_FALSE(sim.Leader().has_value());
    CHECK(sim.CommittedCount() == committed);
    sim.Restart(second);
    CHECK(sim.RunUntil(converged, std::chrono::seconds(10)));
    CHECK(sim.CommittedCount() > committed);
  }
}

}  // namespace
}  // namespace corneltray
