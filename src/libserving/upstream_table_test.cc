#include "corneltray/upstream_table.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

#include "corneltray/fleet_messages.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

UpstreamUpdate MakeUpdate(const std::string& name, std::uint64_t incarnation,
                          std::uint64_t sequence, const std::string& address = "10.0.0.1:80") {
  UpstreamUpdate update;
  update.announcement.name = name;
  update.announcement.kind = UpstreamKind::kService;
  update.announcement.service = "s";
  update.announcement.availability_zone = "a";
  update.announcement.address = address;
  update.announcement.incarnation = incarnation;
  update.announcement.sequence = sequence;
  return update;
}

const TimePoint kNow{std::chrono::hours(1)};

TEST_CASE("the newest announcement of an upstream takes precedence") {
  UpstreamTable table;
  CHECK(table.Apply(kNow, MakeUpdate("u", 1, 5)) == UpdateResult::kNew);

  SUBCASE("a later one refreshes the record") {
    CHECK(table.Apply(kNow, MakeUpdate("u", 1, 6)) == UpdateResult::kRefreshed);
  }
  SUBCASE("a delayed one is ignored") {
    CHECK(table.Apply(kNow, MakeUpdate("u", 1, 4)) == UpdateResult::kStale);
  }
  SUBCASE("a new incarnation takes precedence although its sequence restarts") {
    CHECK(table.Apply(kNow, MakeUpdate("u", 2, 1)) == UpdateResult::kNew);
    CHECK(table.Apply(kNow, MakeUpdate("u", 1, 9)) == UpdateResult::kStale);
  }
  SUBCASE("a change of state is distinguished from a refresh") {
    UpstreamUpdate leaving = MakeUpdate("u", 1, 6);
    leaving.announcement.state = UpstreamState::kLeaving;
    CHECK(table.Apply(kNow, leaving) == UpdateResult::kChanged);
    CHECK_FALSE(table.Find("u")->IsReady());
  }
}

// Guards against requests to an upstream that has left, caused by a delayed announcement.
TEST_CASE("a departure is final for the incarnation that left") {
  UpstreamTable table;
  table.Apply(kNow, MakeUpdate("u", 1, 5));
  REQUIRE(table.MarkLeft(kNow, "u", 0).has_value());
  CHECK(table.Apply(kNow, MakeUpdate("u", 1, 6)) == UpdateResult::kStale);
  CHECK_FALSE(table.Find("u")->IsReady());
  CHECK(table.Apply(kNow, MakeUpdate("u", 2, 1)) == UpdateResult::kNew);
  CHECK(table.Find("u")->IsReady());
  CHECK_FALSE(table.MarkLeft(kNow, "u", 1).has_value());  // the previous incarnation
  CHECK_FALSE(table.MarkLeft(kNow, "unknown", 0).has_value());
}

// Guards against requests sent to an address that another upstream has taken over.
TEST_CASE("of two upstreams at one address the one that started later takes precedence") {
  UpstreamTable table;
  table.Apply(kNow, MakeUpdate("old", 1, 50));
  CHECK(table.Apply(kNow, MakeUpdate("new", 2, 1)) == UpdateResult::kNew);
  CHECK_FALSE(table.Find("old")->IsReady());
  CHECK(table.FindAddress("10.0.0.1:80")->announcement.name == "new");
  CHECK(table.Apply(kNow, MakeUpdate("other", 1, 1)) == UpdateResult::kReplaced);
  CHECK(table.FindAddress("10.0.0.1:80")->announcement.name == "new");
}

TEST_CASE("an upstream without recent announcements is considered lost") {
  UpstreamTable table;
  table.Apply(kNow, MakeUpdate("u", 1, 5));
  CHECK(table.Find("u")->IsAlive(kNow + milliseconds(3900)));
  CHECK_FALSE(table.Find("u")->IsAlive(kNow + milliseconds(4000)));

  SUBCASE("earlier if a host got no response from it") {
    table.Suspect(kNow + milliseconds(300), "u", 1, 5);
    CHECK(table.Find("u")->IsAlive(kNow + milliseconds(1400)));
    CHECK_FALSE(table.Find("u")->IsAlive(kNow + milliseconds(1500)));
    table.Refresh(kNow + milliseconds(1600), "u", 1, 6);
    CHECK(table.Find("u")->IsAlive(kNow + milliseconds(4000)));
  }
  SUBCASE("but not after a suspicion that is older than the latest announcement") {
    table.Suspect(kNow + milliseconds(300), "u", 1, 4);
    CHECK(table.Find("u")->IsAlive(kNow + milliseconds(2000)));
  }
}

// Guards against hosts that hold different records after receiving the same announcements.
TEST_CASE("updates give the same records in any order") {
  std::vector<UpstreamUpdate> updates;
  for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
      updates.push_back(MakeUpdate("u", incarnation, sequence));
      updates.push_back(MakeUpdate("v", incarnation, sequence, "10.0.0.2:80"));
    }
  }
  UpstreamUpdate gone = MakeUpdate("v", 3, 4, "10.0.0.2:80");
  gone.has_left = true;
  updates.push_back(gone);
  for (std::uint32_t seed = 0; seed < 200; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    std::shuffle(updates.begin(), updates.end(), random);
    UpstreamTable table;
    for (const UpstreamUpdate& update : updates) table.Apply(kNow, update);
    CHECK(table.Find("u")->announcement.incarnation == 3);
    CHECK(table.Find("u")->announcement.sequence == 4);
    CHECK(table.Find("u")->IsReady());
    CHECK_FALSE(table.Find("v")->IsReady());
  }
}

TEST_CASE("updates can be encoded, decoded and applied in another process") {
  UpstreamTable table;
  table.Apply(kNow, MakeUpdate("u", 1, 5));
  table.Apply(kNow, MakeUpdate("v", 1, 2, "10.0.0.2:80"));
  table.MarkLeft(kNow, "v", 0);
  auto decoded = DecodeUpstreamUpdates(EncodeUpstreamUpdates(AllUpstreams(table)));
  REQUIRE(decoded.Ok());
  decoded.value().refreshes.push_back({"u", 1, 8});
  decoded = DecodeUpstreamUpdates(EncodeUpstreamUpdates(decoded.value()));
  REQUIRE(decoded.Ok());
  UpstreamTable copy;
  ApplyUpstreamUpdates(kNow, decoded.value(), &copy);
  CHECK(copy.Find("u")->announcement.sequence == 8);
  CHECK_FALSE(copy.Find("v")->IsReady());
  CHECK_FALSE(DecodeUpstreamUpdates({{"updates", 3}}).Ok());
}

}  // namespace
}  // namespace corneltray
