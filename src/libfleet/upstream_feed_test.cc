#include "corneltray/upstream_feed.h"

#include <doctest/doctest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <random>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart = Clock::now();

UpstreamUpdate MakeUpdate(const std::string& name, std::uint64_t sequence, std::uint32_t slots) {
  UpstreamUpdate update;
  update.announcement.name = name;
  update.announcement.kind = UpstreamKind::kService;
  update.announcement.service = "s";
  update.announcement.availability_zone = "z";
  update.announcement.address = "10.0.0." + name + ":80";
  update.announcement.incarnation = 1;
  update.announcement.sequence = sequence;
  update.announcement.slots = slots;
  return update;
}

bool HasChanges(const std::optional<UpstreamUpdates>& message) {
  return message && !message->updates.empty();
}

TEST_CASE("a control process sends each change once to its followers and to its peers") {
  UpstreamFeed feed(7);
  feed.TakeDue(kStart);

  SUBCASE("changes that come together go out in one message") {
    feed.AddChange(kStart, MakeUpdate("a", 1, 4));
    feed.AddChange(kStart + milliseconds(5), MakeUpdate("b", 1, 4));
    CHECK_FALSE(HasChanges(feed.TakeDue(kStart + milliseconds(10)).to_followers));
    REQUIRE(feed.FlushAt());
    const UpstreamFeedMessages due = feed.TakeDue(*feed.FlushAt());
    REQUIRE(HasChanges(due.to_followers));
    CHECK(due.to_followers->updates.size() == 2);
    CHECK(due.to_followers->position == FeedPosition{7, 1});
    REQUIRE(HasChanges(due.to_control_hosts));
    CHECK(due.to_control_hosts->position == FeedPosition{7, 1});
    CHECK_FALSE(HasChanges(feed.TakeDue(kStart + milliseconds(200)).to_followers));
  }
  // Guards against hosts that leave a sound source because no upstream has announced itself.
  SUBCASE("followers hear from their source although nothing has happened") {
    const UpstreamFeedMessages due = feed.TakeDue(kStart + kHostRefreshInterval);
    REQUIRE(due.to_followers);
    CHECK(due.to_followers->updates.empty());
    CHECK(due.to_followers->position == FeedPosition{7, 0});
    CHECK_FALSE(due.to_control_hosts);
  }
  SUBCASE("repeated announcements go to peers sooner than to followers") {
    feed.AddRefresh({"a", 1, 2});
    const UpstreamFeedMessages first = feed.TakeDue(kStart + kControlRefreshInterval);
    REQUIRE(first.to_control_hosts);
    CHECK(first.to_control_hosts->refreshes.size() == 1);
    CHECK_FALSE(first.to_followers);
    const UpstreamFeedMessages second = feed.TakeDue(kStart + kHostRefreshInterval);
    REQUIRE(second.to_followers);
    CHECK(second.to_followers->refreshes.size() == 1);
    CHECK_FALSE(second.to_control_hosts);
  }
  // Guards against a change that was queued when a departure was sent, and reached no peer.
  SUBCASE("queued changes are taken before a departure is numbered") {
    feed.AddChange(kStart, MakeUpdate("a", 1, 4));
    const UpstreamFeedMessages queued = feed.TakeQueued();
    CHECK(queued.to_followers->position == FeedPosition{7, 1});
    CHECK(HasChanges(queued.to_control_hosts));
    CHECK(feed.TakeForFollowers(MakeUpdate("b", 2, 4)).position == FeedPosition{7, 2});
    CHECK(feed.TakeForControlHosts(MakeUpdate("b", 2, 4)).position == FeedPosition{7, 2});
    CHECK_FALSE(feed.FlushAt());
  }
  SUBCASE("a follower without a link is removed") {
    feed.AddFollower("h1");
    feed.AddFollower("h2");
    feed.RetainFollowers({"h2", "h3"});
    CHECK(feed.Followers() == std::vector<std::string>{"h2"});
    feed.RemoveFollower("h2");
    CHECK(feed.Followers().empty());
  }
}

TEST_CASE("a host notices that a message of its source is missing") {
  FeedCursor cursor;
  cursor.Follow("c1", {7, 3});
  const auto accept = [&cursor](const std::string& from, UpstreamUpdates message) {
    message.refreshes = {{"a", 1, 2}};
    const FeedOrder order = cursor.Accept(from, &message);
    CHECK(message.refreshes.empty() == (order != FeedOrder::kInOrder));
    return order;
  };
  const auto refresh = [](std::uint64_t epoch, std::uint64_t batch) {
    return UpstreamUpdates{{}, {}, FeedPosition{epoch, batch}};
  };
  const auto change = [](std::uint64_t epoch, std::uint64_t batch) {
    return UpstreamUpdates{{MakeUpdate("a", 1, 4)}, {}, FeedPosition{epoch, batch}};
  };

  SUBCASE("messages in order") {
    CHECK(accept("c1", refresh(7, 3)) == FeedOrder::kInOrder);
    CHECK(accept("c1", change(7, 4)) == FeedOrder::kInOrder);
    CHECK(accept("c1", refresh(7, 4)) == FeedOrder::kInOrder);
  }
  SUBCASE("a late message that the fetched state holds already") {
    CHECK(accept("c1", change(7, 3)) == FeedOrder::kInOrder);
    CHECK(accept("c1", change(7, 4)) == FeedOrder::kInOrder);
  }
  SUBCASE("a missing change shows with the next change") {
    CHECK(accept("c1", change(7, 5)) == FeedOrder::kGap);
  }
  SUBCASE("and with the next message without one") {
    CHECK(accept("c1", refresh(7, 4)) == FeedOrder::kGap);
  }
  SUBCASE("the source has restarted") { CHECK(accept("c1", refresh(8, 0)) == FeedOrder::kGap); }
  SUBCASE("another control process goes on sending") {
    CHECK(accept("c2", refresh(7, 3)) == FeedOrder::kForeign);
    CHECK(accept("c1", change(7, 4)) == FeedOrder::kInOrder);
  }
}

// Guards against a host whose table stays different from that of its source after messages were
// lost, repeated or reordered.
TEST_CASE("a host that fetches again after a gap has the same table as its source") {
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto chance = [&random](int percent) {
      return std::uniform_int_distribution<int>(1, 100)(random) <= percent;
    };
    UpstreamFeed feed(1);
    UpstreamTable source;
    UpstreamTable host;
    FeedCursor cursor;
    const auto fetch = [&] {
      auto fetched = DecodeUpstreamUpdates(EncodeUpstreamSnapshot(source));
      REQUIRE(fetched);
      ApplyUpstreamUpdates(kStart, fetched.value(), &host);
      cursor.Follow("c1", feed.FollowerPosition());
    };
    const auto deliver = [&](UpstreamUpdates message) {
      const FeedOrder order = cursor.Accept("c1", &message);
      ApplyUpstreamUpdates(kStart, message, &host);
      if (order == FeedOrder::kGap) fetch();
    };
    fetch();
    TimePoint now = kStart;
    std::vector<UpstreamUpdates> delayed;
    std::map<std::string, std::uint64_t> sequences;
    for (int step = 0; step < 60; ++step) {
      now += milliseconds(100);
      const std::string name = std::to_string(std::uniform_int_distribution<int>(1, 5)(random));
      const UpstreamUpdate update = MakeUpdate(
          name, ++sequences[name], std::uniform_int_distribution<std::uint32_t>(1, 3)(random));
      const UpdateResult result = source.Apply(now, update);
      if (result == UpdateResult::kRefreshed) {
        feed.AddRefresh({name, 1, update.announcement.sequence});
      } else {
        feed.AddChange(now, update);
      }
      const UpstreamFeedMessages due = feed.TakeDue(now);
      if (!due.to_followers || chance(20)) continue;  // lost
      if (chance(20)) {
        delayed.push_back(*due.to_followers);
        continue;
      }
      deliver(*due.to_followers);
      if (chance(20)) deliver(*due.to_followers);
      if (!delayed.empty() && chance(50)) {
        deliver(delayed.back());
        delayed.pop_back();
      }
    }
    // The last messages arrive.
    for (int i = 0; i < 2; ++i) {
      now += kHostRefreshInterval;
      const UpstreamFeedMessages due = feed.TakeDue(now);
      if (due.to_followers) deliver(*due.to_followers);
    }
    REQUIRE(host.Records().size() == source.Records().size());
    for (const auto& entry : source.Records()) {
      const std::string& name = entry.first;
      CAPTURE(name);
      const UpstreamTableEntry* copy = host.Find(name);
      REQUIRE(copy != nullptr);
      CHECK(copy->announcement.slots == entry.second.announcement.slots);
      CHECK(copy->announcement.sequence <= entry.second.announcement.sequence);
    }
  }
}

}  // namespace
}  // namespace corneltray
