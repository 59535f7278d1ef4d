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
    Announcement& said = update.announcement;
    said.kind = UpstreamKind::kService;
    said.service = "s";
    said.name = said.address = zone;
    said.availability_zone = zone;
    said.slots = 6;
    said.incarnation = 1;
    said.sequence = sequence;
    said.state = state;
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

  SUBCASE("or to another one when it was tried") { CHECK(fixture.Choose({"a"}) != "a"); }
  SUBCASE("or to another one when it is full") {
    fixture.picker.Report(kNow, "a", {6, 4, 0.0});
    CHECK(fixture.Choose() != "a");
  }
  SUBCASE("or to another one when it is slow") {
    fixture.picker.RecordSuccess(kNow, "a", milliseconds(300));
    CHECK(fixture.Choose() != "a");
  }
  SUBCASE("or to another one when it leaves, before the picker is told") {
    fixture.Add("a", 2, UpstreamState::kLeaving);
    CHECK(fixture.Choose() != "a");
  }
  SUBCASE("and to none when all were tried") { CHECK(fixture.Choose({"a", "b", "c"}).empty()); }
}

// Plays a zone that is cut off: guards against calls that each wait for a connection in vain.
TEST_CASE("a replica that cannot be reached is avoided for a moment") {
  PickerFixture fixture;
  fixture.picker.MarkUnreachable(kNow, "a");
  CHECK(fixture.Choose() != "a");
  CHECK(fixture.picker.Choose(kNow + kUnreachableDuration, fixture.table, {})->address == "a");
  fixture.picker.MarkUnreachable(kNow, "b");
  fixture.picker.MarkUnreachable(kNow, "c");
  CHECK_FALSE(fixture.Choose().empty());  // still better than none
}

// Guards against calls that keep failing at a replica which fails part of its requests.
TEST_CASE("a replica that fails again and again is left out while others work") {
  PickerFixture fixture;
  for (std::uint32_t i = 0; i < kEjectAfterFailures; ++i) fixture.picker.RecordFailure(kNow, "a");
  CHECK(fixture.Choose() != "a");
  CHECK(fixture.Choose({"b", "c"}) == "a");  // still better than none
}

}  // namespace
}  // namespace corneltray
