#include "corneltray/service_picker.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

const TimePoint kNow{std::chrono::hours(1)};

class PickerFixture {
 public:
  PickerFixture() : picker("a", "s") {
    for (const char* zone : {"a", "b", "c"}) Add(zone, 1, UpstreamState::kReady);
    picker.SetReplicas(table);
  }

  void Add(const std::string& zone, std::uint64_t sequence, UpstreamState state,
           std::uint64_t incarnation = 1) {
    UpstreamUpdate update;
    Announcement& announcement = update.announcement;
    announcement.kind = UpstreamKind::kService;
    announcement.service = "s";
    announcement.name = announcement.address = zone;
    announcement.availability_zone = zone;
    announcement.slots = 6;
    announcement.incarnation = incarnation;
    announcement.sequence = sequence;
    announcement.state = state;
    table.Apply(kNow, update);
  }
  std::string Choose(const std::set<std::string>& excluded = {}) {
    const auto choice = picker.Choose(kNow, table, excluded);
    return choice ? choice->address : "";
  }

  UpstreamTable table;
  ServicePicker picker;
};

TEST_CASE("a call goes to the replica of the own zone") {
  PickerFixture fixture;
  CHECK(fixture.Choose() == "a");

  SUBCASE("or to another one if it has been tried") { CHECK(fixture.Choose({"a"}) != "a"); }
  SUBCASE("or to another one if it is full") {
    fixture.picker.Report(kNow, "a", {6, 4, 0.0});
    CHECK(fixture.Choose() != "a");
  }
  SUBCASE("or to another one if it is slow") {
    fixture.picker.RecordSuccess(kNow, "a", milliseconds(300));
    CHECK(fixture.Choose() != "a");
  }
  SUBCASE("or to another one if it is leaving, even before SetReplicas()") {
    fixture.Add("a", 2, UpstreamState::kLeaving);
    CHECK(fixture.Choose() != "a");
  }
  SUBCASE("and to none if all have been tried") { CHECK(fixture.Choose({"a", "b", "c"}).empty()); }
}

// Guards against repeated connection timeouts while the zone of the replica is unreachable.
TEST_CASE("an unreachable replica is avoided for a short time") {
  PickerFixture fixture;
  fixture.picker.MarkUnreachable(kNow, "a");
  CHECK(fixture.Choose() != "a");
  CHECK(fixture.picker.Choose(kNow + kUnreachableDuration, fixture.table, {})->address == "a");
  fixture.picker.MarkUnreachable(kNow, "b");
  fixture.picker.MarkUnreachable(kNow, "c");
  CHECK_FALSE(fixture.Choose().empty());  // used if no other is left
}

// Guards against sending further calls to a replica that fails some of its requests.
TEST_CASE("a replica that fails repeatedly is avoided while others work") {
  PickerFixture fixture;
  for (std::uint32_t i = 0; i < kEjectAfterFailures; ++i) fixture.picker.RecordFailure(kNow, "a");
  CHECK(fixture.Choose() != "a");
  CHECK(fixture.Choose({"b", "c"}) == "a");  // used if no other is left
}

// Guards against a restarted replica that gets all calls because it is empty, or none because of
// what was observed before its restart.
TEST_CASE("a replica that has restarted gets calls at its pace") {
  PickerFixture fixture;
  ServerPace pace(PaceMode::kAuto, 1);
  ServicePicker picker("a", "s", &pace);
  const auto refresh = [&] {
    pace.SetServers(kNow, fixture.table);
    picker.SetReplicas(fixture.table);
  };
  refresh();
  picker.MarkUnreachable(kNow, "a");
  fixture.Add("a", 1, UpstreamState::kReady, 2);
  refresh();
  REQUIRE(pace.IsPaced("a"));
  const auto choose = [&] { return *picker.Choose(kNow, fixture.table, {}); };

  for (int i = 0; i < 2; ++i) {
    CHECK(choose().address == "a");
    picker.Begin("a");
  }
  CHECK(choose().address != "a");
  CHECK(choose().limited == "a");

  SUBCASE("which its answers raise") {
    picker.RecordSuccess(kNow, "a", milliseconds(10));
    picker.RecordSuccess(kNow, "a", milliseconds(10));
    CHECK(pace.IsIdle());
    CHECK(choose().address == "a");
  }
  SUBCASE("which refusals lower, even if its calls have ended") {
    for (int i = 0; i < 2; ++i) picker.RecordRefusal(kNow, "a");
    for (int i = 0; i < 2; ++i) picker.End("a");
    CHECK(pace.WindowSum() < 2.0);
    CHECK(pace.IsPaced("a"));
  }
  SUBCASE("or above it, if no other is left") {
    CHECK(picker.Choose(kNow, fixture.table, {"b", "c"})->address == "a");
  }
}

}  // namespace
}  // namespace corneltray
