#include "corneltray/member_set_controller.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

const ReplicaId kA{"a", "disk-a"};
const ReplicaId kB{"b", "disk-b"};
const ReplicaId kC{"c", "disk-c"};
const ReplicaId kD{"d", "disk-d"};

class MemberSetFixture {
 public:
  MemberSetFixture() : controller(3) {
    members.members = {
        {kA, MemberRole::kVoter}, {kB, MemberRole::kVoter}, {kC, MemberRole::kVoter}};
  }

  std::optional<MemberChange> NextChange() {
    return controller.NextChange(now, members, reachable);
  }

  TimePoint now{std::chrono::hours(1)};
  MemberSetController controller;
  MemberSet members;
  std::set<std::string> reachable{"a", "b", "c"};
};

TEST_CASE("the member set is unchanged while all members are reachable") {
  MemberSetFixture fixture;
  CHECK_FALSE(fixture.NextChange().has_value());
}

TEST_CASE("a process that asks to join becomes a spare member") {
  MemberSetFixture fixture;
  fixture.controller.AddJoinRequest(fixture.now, kD);
  const auto change = fixture.NextChange();
  REQUIRE(change.has_value());
  CHECK(change->kind == MemberChangeKind::kAddLearner);
  CHECK(change->replica == kD);

  SUBCASE("unless its join request has expired") {
    fixture.now += kJoinRequestLifetime;
    CHECK_FALSE(fixture.NextChange().has_value());
  }
  SUBCASE("and becomes a voter when there are too few voters") {
    fixture.members.members.erase(kC);
    fixture.members.members[kD] = MemberRole::kLearner;
    fixture.reachable.insert("d");
    CHECK(fixture.NextChange()->kind == MemberChangeKind::kPromote);
  }
}

// Guards against a second loss that breaks the majority because the first voter was never replaced.
TEST_CASE("a permanently lost voter is replaced by a spare member") {
  MemberSetFixture fixture;
  fixture.members.members[kD] = MemberRole::kLearner;
  fixture.reachable = {"a", "b", "d"};
  CHECK_FALSE(fixture.NextChange().has_value());  // it may still restart
  fixture.now += kReplaceVoterAfter + milliseconds(1);
  auto change = fixture.NextChange();
  REQUIRE(change.has_value());
  CHECK(change->kind == MemberChangeKind::kPromote);
  CHECK(change->replica == kD);
  fixture.members.members[kD] = MemberRole::kVoter;
  change = fixture.NextChange();
  REQUIRE(change.has_value());
  CHECK(change->kind == MemberChangeKind::kRemove);
  CHECK(change->replica == kC);
}

TEST_CASE("a voter that restarts in time is not replaced") {
  MemberSetFixture fixture;
  fixture.members.members[kD] = MemberRole::kLearner;
  fixture.reachable = {"a", "b", "d"};
  fixture.NextChange();
  fixture.now += milliseconds(2000);
  fixture.reachable.insert("c");
  CHECK_FALSE(fixture.NextChange().has_value());
  fixture.now += milliseconds(2000);
  fixture.reachable.erase("c");
  CHECK_FALSE(fixture.NextChange().has_value());
}

TEST_CASE("a lost voter is kept while no spare member exists") {
  MemberSetFixture fixture;
  fixture.reachable = {"a", "b"};
  fixture.NextChange();
  fixture.now += std::chrono::minutes(5);
  CHECK_FALSE(fixture.NextChange().has_value());
}

}  // namespace
}  // namespace corneltray
