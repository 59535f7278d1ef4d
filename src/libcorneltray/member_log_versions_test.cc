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
  MemberLogVersions versions("a");
  const MemberSet members = Members({"a", "b", "c"});
  CHECK(LogVersionOf(ReplaceRouteTable{}) == kFirstLogVersion);
  CHECK(LogVersionOf(RecordPartVerdicts{}) > kFirstLogVersion);

  SUBCASE("a member that has told nothing reads the first version only") {
    CHECK(versions.ReadByAll(members) == kFirstLogVersion);
    versions.Tell("b", kOwnLogVersion);
    CHECK(versions.ReadByAll(members) == kFirstLogVersion);
    CHECK(versions.ReadByAll(Members({"a", "b"})) == kOwnLogVersion);
  }
  SUBCASE("a newer member does not raise what this one reads") {
    versions.Tell("b", kOwnLogVersion + 5);
    versions.Tell("c", kOwnLogVersion);
    CHECK(versions.ReadByAll(members) == kOwnLogVersion);
    SUBCASE("and one that runs an older build again lowers it") {
      versions.Tell("c", kFirstLogVersion);
      CHECK(versions.ReadByAll(members) == kFirstLogVersion);
    }
  }
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
