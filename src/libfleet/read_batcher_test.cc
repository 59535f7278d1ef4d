#include "corneltray/read_batcher.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

const TimePoint kStart{std::chrono::hours(1)};
constexpr milliseconds kTimeout{800};

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
  for (milliseconds at{0}; at < kSpan; ++at) {
    const TimePoint now = kStart + at;
    for (int host = 0; host < kHosts; ++host) {
      const bool is_due = (at.count() + host) % kFetchInterval.count() == 0;
      if (is_due) batcher.Add(now + kTimeout);
      fetches += is_due ? 1 : 0;
    }
    if (confirmed_at && now >= *confirmed_at) {
      confirmed_at.reset();
      batcher.Confirm(7);
      completed += static_cast<int>(batcher.TakeComplete(7).size());
    }
    if (batcher.Begin(now)) {
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
  REQUIRE(batcher.Begin(kStart));
  const ReadBatcher::Id second = batcher.Add(kStart + kTimeout);
  CHECK_FALSE(batcher.Begin(kStart));

  SUBCASE("and not by one in progress") {
    batcher.Confirm(5);
    CHECK(batcher.TakeComplete(5) == std::vector<ReadBatcher::Id>{first});
    const TimePoint next = kStart + kReadBatchInterval;
    CHECK(batcher.NextWakeup() == next);
    REQUIRE(batcher.Begin(next));
    batcher.Confirm(5);
    CHECK(batcher.TakeComplete(5) == std::vector<ReadBatcher::Id>{second});
    CHECK_FALSE(batcher.NextWakeup().has_value());
  }
  SUBCASE("and completes when the state has reached the index of that read") {
    batcher.Confirm(9);
    CHECK(batcher.TakeComplete(8).empty());
    CHECK(batcher.TakeComplete(9) == std::vector<ReadBatcher::Id>{first});
  }
}

// Guards against a storm of repeated fetches during an election.
TEST_CASE("reads wait for a new leader until their deadline") {
  ReadBatcher batcher;
  const ReadBatcher::Id read = batcher.Add(kStart + kTimeout);
  REQUIRE(batcher.Begin(kStart));
  batcher.Fail();
  CHECK_FALSE(batcher.Begin(kStart));
  CHECK(batcher.TakeExpired(kStart).empty());

  SUBCASE("and are confirmed by it") {
    REQUIRE(batcher.Begin(kStart + kReadBatchInterval));
    batcher.Confirm(3);
    CHECK(batcher.TakeComplete(3) == std::vector<ReadBatcher::Id>{read});
  }
  SUBCASE("and expire without one") {
    CHECK(batcher.TakeExpired(kStart + kTimeout) == std::vector<ReadBatcher::Id>{read});
    CHECK_FALSE(batcher.Begin(kStart + kTimeout));
  }
}

}  // namespace
}  // namespace corneltray
