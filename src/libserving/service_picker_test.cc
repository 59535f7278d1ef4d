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

  void Add(const std::string& zone, std::uint64_t sequence, UpstreamState state) {
    UpstreamUpdate update;
    Announcement& announcement = update.announcement;
    announcement.kind = UpstreamKind::kService;
    announcement.service = "s";
    announcement.name = announcement.address = zone;
    announcement.availability_zone = zone;
    announcement.slots = 6;
    announcement.incarnation = 1;
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

}  // namespace
}  // namespace corneltray
