#include "corneltray/member_log_versions.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "corneltray/control_state.h"

namespace corneltray {
namespace {

MemberSet Members(const std::vector<std::string>& hosts) {
  MemberSet set;
  for (const std::string& host : hosts) set.members[{host, "disk"}] = MemberRole::kVoter;
  return set;
}

// Guards against members whose states differ, because one of them skips commands that it cannot
// read.
TEST_CASE("a command is proposed only if all members read it") {
  constexpr LogVersion kOwn = kUntoldLogVersion + 3;
  MemberLogVersions versions("a", kOwn);
  const MemberSet members = Members({"a", "b", "c"});

  SUBCASE("a member that has told nothing reads what builds without a version read") {
    CHECK(versions.ReadByAll(members) == kUntoldLogVersion);
    versions.SetVersion("b", kOwn);
    CHECK(versions.ReadByAll(members) == kUntoldLogVersion);
    CHECK(versions.ReadByAll(Members({"a", "b"})) == kOwn);
  }
  SUBCASE("a newer member does not raise what this one reads") {
    versions.SetVersion("b", kOwn + 5);
    versions.SetVersion("c", kOwn);
    CHECK(versions.ReadByAll(members) == kOwn);
    SUBCASE("and one that runs an older build again lowers it") {
      versions.SetVersion("c", kUntoldLogVersion);
      CHECK(versions.ReadByAll(members) == kUntoldLogVersion);
    }
  }
}

// Guards against verdicts that no loss of power outlives while hosts are upgraded from builds that
// read them but do not tell so.
TEST_CASE("verdicts on prompt parts are proposed beside builds that tell no version") {
  const MemberLogVersions versions("a");
  CHECK(LogVersionOf(RecordPartVerdicts{}) <= versions.ReadByAll(Members({"a", "b", "c"})));
}

// Guards against a version in use that is forgotten with the entries that a snapshot replaces.
TEST_CASE("a state remembers the highest version of its commands") {
  ControlState state;
  CHECK(state.GetLogVersion() == kFirstLogVersion);
  state.Apply(ReplaceRouteTable{1, "routes"}, 1000);
  CHECK(state.GetLogVersion() == kFirstLogVersion);
  state.Apply(RecordPartVerdicts{}, 1001);
  state.Apply(ReplaceRouteTable{2, "routes"}, 1002);
  CHECK(state.GetLogVersion() == kPartVerdictsLogVersion);
  ControlState restored;
  REQUIRE(restored.Restore(state.Snapshot()).Ok());
  CHECK(restored.GetLogVersion() == kPartVerdictsLogVersion);
}

// Returns the snapshot with the fields of its header changed, as another build would write it.
std::string WithHeader(const std::string& snapshot, const nlohmann::json& changes) {
  const std::size_t line = snapshot.find('\n') + 1;
  const std::size_t size = std::stoul(snapshot.substr(0, line));
  nlohmann::json header = nlohmann::json::from_cbor(snapshot.substr(line, size));
  header.merge_patch(changes);
  std::string bytes;
  nlohmann::json::to_cbor(header, bytes);
  return std::to_string(bytes.size()) + "\n" + bytes + snapshot.substr(line + size);
}

// Guards against a member that cannot be sent the state by a leader of another build, and against
// one that keeps only a part of it.
TEST_CASE("a snapshot of another build is restored whole or not at all") {
  ControlState state;
  state.Apply(ReplaceRouteTable{4, "routes"}, 1000);
  ControlState restored;

  SUBCASE("of an older build, which does not tell a version") {
    state.Apply(RecordPartVerdicts{{{"part", PartState::kQuarantined, 1, 3, 3, 5000, {}}}}, 1001);
    REQUIRE(restored.Restore(WithHeader(state.Snapshot(), {{"log_version", nullptr}})).Ok());
    CHECK(restored.GetLogVersion() == kFirstLogVersion);
    CHECK(restored.GetRouteTable().Version() == 4);
    CHECK(restored.GetPartVerdicts().Snapshot() == state.GetPartVerdicts().Snapshot());
  }
  SUBCASE("of a build from before the verdicts and the route table") {
    const nlohmann::json absent = {
        {"log_version", nullptr}, {"part_verdicts", nullptr}, {"route_table", nullptr}};
    REQUIRE(restored.Restore(WithHeader(state.Snapshot(), absent)).Ok());
    CHECK(restored.GetRouteTable().Version() == 0);
    CHECK(restored.LogTime() == 1000);
  }
  SUBCASE("of a newer build whose commands are all known here") {
    REQUIRE(restored.Restore(WithHeader(state.Snapshot(), {{"new_part", {{"a", 1}}}})).Ok());
    CHECK(restored.GetRouteTable().Version() == 4);
  }
  SUBCASE("not if it holds commands of a newer version") {
    const nlohmann::json newer = {{"log_version", kOwnLogVersion + 1}, {"new_part", {{"a", 1}}}};
    const Status status = restored.Restore(WithHeader(state.Snapshot(), newer));
    REQUIRE_FALSE(status.Ok());
    CHECK(status.error().code == make_error_code(ControlStateErrc::kUnknownCommand));
    CHECK(restored.GetRouteTable().Version() == 0);
  }
}

// Guards against a rolled back process that goes on with a state that lacks what others applied.
TEST_CASE("a command of a newer version is told from a malformed one") {
  std::string newer;
  nlohmann::json::to_cbor({{"command", "command_of_a_newer_version"}}, newer);
  CHECK(DecodeCommand(newer).error().code == make_error_code(ControlStateErrc::kUnknownCommand));
  std::string malformed;
  nlohmann::json::to_cbor({{"command", "claim_booking"}}, malformed);
  CHECK(DecodeCommand(malformed).error().code ==
        make_error_code(ControlStateErrc::kMalformedCommand));
}

}  // namespace
}  // namespace corneltray
