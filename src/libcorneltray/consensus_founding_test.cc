#include <doctest/doctest.h>

#include "replica_harness_test.h"

namespace corneltray {
namespace {

// State of a host that was formatted for the first start and holds nothing yet.
PersistentState FormattedState(const ReplicaId& self) {
  PersistentState state;
  state.self = self;
  state.founding_hosts = {"a", "b", "c"};
  return state;
}

ReplicaOptions FoundingOptions(FoundingQuorum quorum) {
  ReplicaOptions options;
  options.founding_quorum = quorum;
  return options;
}

// The disk of a founding host whose identity is not known yet.
ReplicaId FoundingDiskOf(const char* host) { return {host, ""}; }

// Guards against a second log after a host is formatted again.
TEST_CASE("the first start creates exactly one log") {
  SUBCASE("only with the votes of all founding hosts") {
    ReplicaHarness harness(FormattedState(kA));
    harness.Advance(std::chrono::seconds(2));
    harness.Grant(kB, true);
    harness.Grant(kB, false);
    CHECK(harness.Status().last.index == 0);
    CHECK(harness.Status().unanswered_founding_hosts == std::vector<std::string>{"c"});
    harness.Grant(kC, true);
    harness.Grant(kB, false);
    CHECK(harness.Status().last.index == 0);
    harness.Grant(kC, false);
    CHECK(harness.Status().members == Voters({kA, kB, kC}));
    CHECK(harness.Status().role == ReplicaRole::kLeader);
    const auto first = harness.Get().EntryAt(1);
    REQUIRE(first);
    CHECK(first->term == 1);
    CHECK(first->kind == EntryKind::kMembers);
  }
  SUBCASE("without a host that is known to run no replica") {
    ReplicaHarness harness(FormattedState(kB));
    harness.Get().ExcludeFoundingHost("a");
    harness.Advance(std::chrono::seconds(2));
    harness.Grant(kC, true);
    harness.Grant(kC, false);
    CHECK(harness.Status().members == Voters({kB, kC}));
    SUBCASE("and no host is excluded afterwards") {
      harness.Get().ExcludeFoundingHost("c");
      CHECK(harness.Status().members == Voters({kB, kC}));
    }
  }
  SUBCASE("because a host durably votes for one founder in a term") {
    ReplicaHarness harness(FormattedState(kB));
    const auto request_vote = [&](const ReplicaId& candidate) {
      harness.sent.clear();
      harness.Get().Step(kStart, candidate.host,
                         {candidate, FoundingDiskOf("b"), 1, VoteRequest{false, false, {}}, true});
      harness.Run();
      const auto* reply = harness.LastSent<VoteReply>();
      return reply != nullptr && reply->granted;
    };
    CHECK(request_vote(kA));
    // The term, then the vote in it.
    CHECK(harness.Count<PersistHardState>() == 2);
    CHECK(request_vote(kA));
    CHECK_FALSE(request_vote({"a", "a2"}));
    CHECK_FALSE(request_vote(kC));
    CHECK(harness.Count<PersistHardState>() == 2);
  }
  SUBCASE("and a host with a log grants no vote to a host without one") {
    ReplicaHarness harness(VoterState(kB));
    const ReplicaId formatted_again{"a", "a2"};
    for (const bool pre_vote : {true, false}) {
      CAPTURE(pre_vote);
      harness.Get().Step(
          kStart, "a",
          {formatted_again, FoundingDiskOf("b"), 9, VoteRequest{pre_vote, false, {}}, true});
      harness.Run();
      REQUIRE(harness.LastSent<VoteReply>() != nullptr);
      CHECK_FALSE(harness.LastSent<VoteReply>()->granted);
    }
  }
}

// Guards against a group that never creates its log because one founding host is lost before.
TEST_CASE("a majority of the founding hosts creates the log when each is formatted only once") {
  ReplicaHarness harness(FormattedState(kA), FoundingOptions(FoundingQuorum::kMajority));
  harness.Advance(std::chrono::seconds(2));
  harness.Grant(kB, true);
  harness.Grant(kB, false);
  REQUIRE(harness.Status().role == ReplicaRole::kLeader);
  MemberSet members = Voters({kA, kB, FoundingDiskOf("c")});
  CHECK(harness.Status().members == members);

  SUBCASE("a founding disk that answers later counts at once and is named") {
    harness.AcknowledgeFromFoundingDisk(kC, harness.Status().last.index);
    CHECK(harness.Status().commit_index == 2);
    CHECK(harness.Status().members == Voters({kA, kB, kC}));
  }
  SUBCASE("a host that has lost its founding disk is replaced by a joining learner") {
    harness.Acknowledge(kB, harness.Status().last.index);
    const ReplicaId empty_disk{"c", "c2"};
    harness.Receive(empty_disk, harness.Status().term, IdentityNotice{FoundingDiskOf("c")});
    MemberSet expected = Voters({kA, kB});
    expected.members[empty_disk] = MemberRole::kJoining;
    CHECK(harness.Status().members == expected);
  }
  SUBCASE("an empty disk does not answer in place of the founding disk") {
    PersistentState empty;
    empty.self = {"c", "c2"};
    ReplicaHarness lost(empty);
    lost.Get().Step(kStart, "a", {kA, FoundingDiskOf("c"), 2, VoteRequest{false, false, {}}, true});
    lost.Run();
    CHECK(lost.LastSent<VoteReply>() == nullptr);
    lost.Get().Step(kStart, "a", {kA, FoundingDiskOf("c"), 2, AppendRequest{}, true});
    lost.Run();
    CHECK(lost.LastSent<AppendReply>() == nullptr);
    REQUIRE(lost.LastSent<IdentityNotice>() != nullptr);
    CHECK(lost.LastSent<IdentityNotice>()->addressed == FoundingDiskOf("c"));
  }
}

// Guards against a joining learner that campaigns because it was formatted, although the log lists
// another disk of its host.
TEST_CASE("a host that was formatted again does not campaign before it is a voter") {
  PersistentState state = FormattedState({"c", "c2"});
  MemberSet joining = Voters({kA, kB});
  joining.members[state.self] = MemberRole::kJoining;
  state.hard_state.term = 1;
  state.entries = {MembersEntry(Voters({kA, kB, kC})),
                   {2, 1, EntryKind::kMembers, 0, EncodeMemberSet(joining)}};
  ReplicaHarness harness(state);
  harness.Advance(std::chrono::seconds(5));
  CHECK(harness.Status().role == ReplicaRole::kLearner);
  CHECK(harness.LastSent<VoteRequest>() == nullptr);
}

// Guards against a founding host that is not named yet and can neither vote for itself nor lead,
// although it may have the longest log.
TEST_CASE("a founding host leads under the empty identity and then names itself") {
  PersistentState state = FormattedState(kC);
  state.hard_state.term = 1;
  state.entries = {MembersEntry(Voters({kA, kB, FoundingDiskOf("c")}))};
  ReplicaHarness harness(state, FoundingOptions(FoundingQuorum::kMajority));
  CHECK(harness.Status().role == ReplicaRole::kFollower);
  harness.Elect();
  harness.Acknowledge(kB, harness.Status().last.index);
  CHECK(harness.Status().members == Voters({kA, kB, kC}));
}

}  // namespace
}  // namespace corneltray
