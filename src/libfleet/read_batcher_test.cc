#include "corneltray/read_batcher.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr milliseconds kTimeout{800};

std::vector<ReadBatcher::Id> IdsOf(const std::vector<ReadBatcher::CompleteRead>& reads) {
  std::vector<ReadBatcher::Id> ids;
  ids.reserve(reads.size());
  for (const ReadBatcher::CompleteRead& read : reads) ids.push_back(read.id);
  return ids;
}

// Simulates confirmed fetches of 121 entry hosts, each every 600 ms, at the control
// process of all of them. Guards against a leader that gets one read for each fetch, has no time
// for heartbeats and loses its quorum.
TEST_CASE("the reads of the log do not grow with the number of entry hosts") {
  constexpr int kHosts = 121;
  constexpr milliseconds kSpan{1200};
  constexpr milliseconds kFetchInterval{600};
  constexpr milliseconds kLeaderRoundTrip{5};
  ReadBatcher batcher;
  int fetches = 0;
  int log_reads = 0;
  int completed = 0;
  std::optional<TimePoint> confirmed_at;
  ReadBatcher::Round round = 0;
  for (milliseconds at{0}; at < kSpan; ++at) {
    const TimePoint now = kStart + at;
    for (int host = 0; host < kHosts; ++host) {
      const bool is_due = (at.count() + host) % kFetchInterval.count() == 0;
      if (is_due) batcher.Add(now + kTimeout);
      fetches += is_due ? 1 : 0;
    }
    if (confirmed_at && now >= *confirmed_at) {
      confirmed_at.reset();
      batcher.Confirm(round, 7);
      completed += static_cast<int>(batcher.TakeComplete(7).size());
    }
    if (const auto begun = batcher.Begin(now)) {
      round = *begun;
      ++log_reads;
      confirmed_at = now + kLeaderRoundTrip;
    }
  }
  CHECK(fetches > 200);
  CHECK(completed >= fetches - kHosts);
  CHECK(log_reads <= kSpan / kReadBatchInterval);
}

// Guards against reads that return state older than what was committed before they began.
TEST_CASE("a read is confirmed by a read of the log that started after it") {
  ReadBatcher batcher;
  const ReadBatcher::Id first = batcher.Add(kStart + kTimeout);
  const auto round = batcher.Begin(kStart);
  REQUIRE(round.has_value());
  const ReadBatcher::Id second = batcher.Add(kStart + kTimeout);
  CHECK_FALSE(batcher.Begin(kStart).has_value());

  SUBCASE("and not by one in progress") {
    batcher.Confirm(*round, 5);
    CHECK(IdsOf(batcher.TakeComplete(5)) == std::vector<ReadBatcher::Id>{first});
    const TimePoint next = kStart + kReadBatchInterval;
    CHECK(batcher.NextWakeup() == next);
    const auto next_round = batcher.Begin(next);
    REQUIRE(next_round.has_value());
    batcher.Confirm(*next_round, 5);
    CHECK(IdsOf(batcher.TakeComplete(5)) == std::vector<ReadBatcher::Id>{second});
    CHECK_FALSE(batcher.NextWakeup().has_value());
  }
  SUBCASE("and completes when the state has reached the index of that read") {
    batcher.Confirm(*round, 9);
    CHECK(batcher.TakeComplete(8).empty());
    CHECK(IdsOf(batcher.TakeComplete(9)) == std::vector<ReadBatcher::Id>{first});
  }
}

// Guards against a storm of repeated fetches during an election.
TEST_CASE("reads wait for a new leader until their deadline") {
  ReadBatcher batcher;
  const ReadBatcher::Id read = batcher.Add(kStart + kTimeout);
  const auto failed = batcher.Begin(kStart);
  REQUIRE(failed.has_value());
  batcher.Fail(*failed);
  CHECK_FALSE(batcher.Begin(kStart).has_value());
  CHECK(batcher.TakeExpired(kStart).empty());

  SUBCASE("and are confirmed by it") {
    const auto round = batcher.Begin(kStart + kReadBatchInterval);
    REQUIRE(round.has_value());
    batcher.Confirm(*round, 3);
    CHECK(IdsOf(batcher.TakeComplete(3)) == std::vector<ReadBatcher::Id>{read});
  }
  SUBCASE("and expire without one") {
    CHECK(batcher.TakeExpired(kStart + kTimeout) == std::vector<ReadBatcher::Id>{read});
    CHECK_FALSE(batcher.Begin(kStart + kTimeout).has_value());
  }
}

// Guards against a leader that confirms nothing although it does all the work, since it is asked
// anew before it has answered.
TEST_CASE("the answer to a slow read of the log counts") {
  ReadBatcher batcher;
  const ReadBatcher::Id first = batcher.Add(kStart + kTimeout);
  const auto slow = batcher.Begin(kStart);
  REQUIRE(slow.has_value());
  const ReadBatcher::Id second = batcher.Add(kStart + kTimeout);

  SUBCASE("for the reads from before it, also when another one overlaps it") {
    const TimePoint overlap = kStart + kReadOverlapDelay;
    CHECK(batcher.NextWakeup() == overlap);
    CHECK_FALSE(batcher.Begin(overlap - milliseconds(1)).has_value());
    const auto round = batcher.Begin(overlap);
    REQUIRE(round.has_value());
    batcher.Confirm(*slow, 5);
    CHECK(IdsOf(batcher.TakeComplete(5)) == std::vector<ReadBatcher::Id>{first});
    batcher.Confirm(*round, 5);
    CHECK(IdsOf(batcher.TakeComplete(5)) == std::vector<ReadBatcher::Id>{second});
  }
  SUBCASE("but a later one confirms its reads as well") {
    const auto round = batcher.Begin(kStart + kReadOverlapDelay);
    REQUIRE(round.has_value());
    batcher.Confirm(*round, 5);
    CHECK(IdsOf(batcher.TakeComplete(5)) == std::vector<ReadBatcher::Id>{first, second});
    batcher.Confirm(*slow, 4);
    CHECK(batcher.TakeComplete(5).empty());
  }
  SUBCASE("and few of them overlap") {
    TimePoint now = kStart;
    for (std::size_t begun = 1; begun < kMaxOverlappingReads; ++begun) {
      now += kReadOverlapDelay;
      CHECK(batcher.Begin(now).has_value());
    }
    CHECK_FALSE(batcher.Begin(now + kReadOverlapDelay).has_value());
  }
}

// Guards against work for reads that entry hosts have given up.
TEST_CASE("an entry host waits for one read at a time") {
  ReadBatcher batcher;
  const ReadBatcher::Id given_up = batcher.Add(kStart + kTimeout, "entry-1");
  const ReadBatcher::Id other = batcher.Add(kStart + kTimeout, "entry-2");
  const ReadBatcher::Id latest = batcher.Add(kStart + kTimeout, "entry-1");
  CHECK(batcher.TakeReplaced() == std::vector<ReadBatcher::Id>{given_up});
  CHECK(batcher.TakeReplaced().empty());
  const auto round = batcher.Begin(kStart);
  REQUIRE(round.has_value());
  batcher.Confirm(*round, 1);
  CHECK(IdsOf(batcher.TakeComplete(1)) == std::vector<ReadBatcher::Id>{other, latest});

  SUBCASE("and one that was answered replaces none") {
    batcher.Add(kStart + kTimeout, "entry-1");
    CHECK(batcher.TakeReplaced().empty());
  }
}

// Guards against hosts that keep an outdated route table while their read waits for a leader that
// does not confirm it.
TEST_CASE("a read that waits is answered with a newer route table") {
  ReadBatcher batcher;
  const ReadBatcher::Id outdated = batcher.Add(kStart + kTimeout, "entry-1");
  const ReadBatcher::Id current = batcher.Add(kStart + kTimeout, "entry-2");
  const ReadBatcher::Id confirmed_only = batcher.Add(kStart + kTimeout, "entry-3");
  batcher.SetHeldVersion(outdated, 6);
  batcher.SetHeldVersion(current, 7);
  const auto round = batcher.Begin(kStart);
  REQUIRE(round.has_value());
  CHECK(batcher.TakeOutdated(7) == std::vector<ReadBatcher::Id>{outdated});
  CHECK(batcher.TakeOutdated(7).empty());
  batcher.Confirm(*round, 1);
  CHECK(IdsOf(batcher.TakeComplete(1)) == std::vector<ReadBatcher::Id>{current, confirmed_only});
}

}  // namespace
}  // namespace corneltray
