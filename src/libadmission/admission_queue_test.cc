#include "corneltray/admission_queue.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace corneltray {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kUsualTokens = 800.0;

// Engines that take `requests_per_s` usual requests of this host at the target load.
ServiceRoom RoomOf(double requests_per_s, double load) {
  ServiceRoom room;
  room.is_known = true;
  room.load = load;
  room.usual_tokens = kUsualTokens;
  room.usual_stay_s = 2.0;
  room.first_event_s = 0.1;
  room.capacity_tokens = requests_per_s * kUsualTokens * room.usual_stay_s / kTargetLoad;
  return room;
}

struct QueueFixture {
  AdmissionRequest Request(std::uint32_t rank, const std::string& customer = "c") {
    AdmissionRequest request;
    request.id = next_id++;
    request.rank = rank;
    request.customer = customer;
    request.tokens = kUsualTokens;
    request.objective_at = now + milliseconds(500);
    request.deadline = now + seconds(20);
    return request;
  }
  // A request whose caller was refused before.
  AdmissionRequest Returned() {
    AdmissionRequest request = Request(0);
    request.objective_at = now - seconds(4);
    request.deadline = now + seconds(15);
    request.is_return = true;
    return request;
  }
  AdmissionDecision Offer(const AdmissionRequest& request) {
    queue.SetRoom(now, room);
    return queue.Offer(now, request);
  }
  // Offers requests until one is not sent at once, and returns the decision about it.
  AdmissionDecision OfferUntilHeld(std::uint32_t rank) {
    for (int i = 0; i < 100; ++i) {
      const AdmissionDecision decision = Offer(Request(rank));
      if (!std::holds_alternative<SendNow>(decision)) return decision;
    }
    return SendNow{};
  }
  DueRequests Advance(Duration time) {
    DueRequests all;
    for (const TimePoint end = now + time; now < end;) {
      now += milliseconds(50);
      queue.SetRoom(now, room);
      const DueRequests due = queue.TakeDue(now);
      all.to_send.insert(all.to_send.end(), due.to_send.begin(), due.to_send.end());
      all.to_reject.insert(all.to_reject.end(), due.to_reject.begin(), due.to_reject.end());
    }
    return all;
  }

  AdmissionQueue queue{1};
  ServiceRoom room = RoomOf(4.0, kTargetLoad);
  TimePoint now = TimePoint() + std::chrono::hours(1);
  std::uint64_t next_id = 1;
};

template <class T>
bool Is(const AdmissionDecision& decision) {
  return std::holds_alternative<T>(decision);
}

TEST_CASE("requests are sent at once while there is room for all") {
  QueueFixture fixture;
  // Guards against requests that wait because a report is missing.
  SUBCASE("or while nothing is known about the engines") { fixture.room = ServiceRoom{}; }
  // Guards against refusals while places at the engines are free.
  SUBCASE("or while the load is low, whatever this host sends") { fixture.room.load = 0.3; }
  CHECK(Is<SendNow>(fixture.OfferUntilHeld(2)));
}

TEST_CASE("at a high load a host sends at its pace") {
  QueueFixture fixture;
  // Guards against an urgent request that finds the room taken by less urgent ones.
  SUBCASE("and less urgent ranks leave room to more urgent ones") {
    fixture.Offer(fixture.Request(0));
    fixture.OfferUntilHeld(2);
    CHECK(Is<SendNow>(fixture.Offer(fixture.Request(0))));
  }
  SUBCASE("and a request waits while it can meet its objective") {
    const AdmissionDecision held = fixture.OfferUntilHeld(0);
    REQUIRE(Is<Wait>(held));
    CHECK(std::get<Wait>(held).objective == ObjectiveState::kCanBeMet);
    const std::uint64_t id = fixture.next_id - 1;
    CHECK(fixture.Advance(milliseconds(400)).to_send == std::vector<std::uint64_t>{id});
  }
  // Guards against a held request that is lost, and against one that is sent for nobody.
  SUBCASE("and each held request is sent or refused once, unless its caller leaves") {
    fixture.room = RoomOf(40.0, kTargetLoad);
    std::set<std::uint64_t> held;
    for (int i = 0; i < 200; ++i) {
      const AdmissionRequest request = fixture.Request(static_cast<std::uint32_t>(i % 3));
      if (Is<Wait>(fixture.Offer(request))) held.insert(request.id);
    }
    REQUIRE(held.size() > 10);
    fixture.queue.Remove(*held.begin());
    held.erase(held.begin());
    const DueRequests due = fixture.Advance(seconds(25));
    std::multiset<std::uint64_t> ended(due.to_send.begin(), due.to_send.end());
    for (const RejectedRequest& rejected : due.to_reject) ended.insert(rejected.id);
    CHECK(ended == std::multiset<std::uint64_t>(held.begin(), held.end()));
    CHECK(fixture.queue.WaitingCount() == 0);
  }
}

TEST_CASE("a request that cannot be served in time is refused at once") {
  QueueFixture fixture;
  fixture.room = RoomOf(10.0, 0.95);
  std::vector<milliseconds> times;
  for (int i = 0; i < 100; ++i) {
    const AdmissionDecision decision = fixture.Offer(fixture.Request(0));
    if (const auto* reject = std::get_if<Reject>(&decision)) {
      CHECK(reject->reason == AdmissionRefusal::kNoRoom);
      times.push_back(reject->retry_after);
    }
  }
  REQUIRE(times.size() > 20);

  // Guards against a Retry-After that callers do not honour, and against a wave of returns.
  SUBCASE("with times to come back that differ and that callers honour") {
    const auto [least, most] = std::minmax_element(times.begin(), times.end());
    CHECK(*least >= seconds(1));
    CHECK(*most <= milliseconds(6667));
    CHECK(*most - *least >= seconds(2));
    CHECK(std::set<milliseconds>(times.begin(), times.end()).size() > times.size() / 2);
  }
  // Guards against a returned request, which has no more tries, that is refused like a new one.
  SUBCASE("but a returned one may wait longer") {
    CHECK(Is<Reject>(fixture.Offer(fixture.Request(0))));
    CHECK(Is<Wait>(fixture.Offer(fixture.Returned())));
  }
  SUBCASE("and a returned one too if even its deadline would pass") {
    AdmissionDecision decision = Wait{};
    for (int i = 0; i < 100 && !Is<Reject>(decision); ++i) {
      decision = fixture.Offer(fixture.Returned());
    }
    REQUIRE(Is<Reject>(decision));
    CHECK(std::get<Reject>(decision).reason == AdmissionRefusal::kTooLate);
  }
}

// Guards against a customer whose many connections fill the queue of a host.
TEST_CASE("the queue of a host is bounded for each customer and for all") {
  QueueFixture fixture;
  fixture.room = RoomOf(4.0, kTargetLoad);
  fixture.OfferUntilHeld(0);
  std::size_t of_one = 0;
  for (int i = 0; i < 1000; ++i) {
    AdmissionRequest request = fixture.Returned();
    request.deadline = fixture.now + std::chrono::hours(10);
    if (Is<Wait>(fixture.Offer(request))) ++of_one;
  }
  CHECK(of_one <= kMaxWaitingOfCustomer);
  for (int i = 0; i < 1000; ++i) {
    AdmissionRequest request = fixture.Returned();
    request.customer = "c" + std::to_string(i);
    request.deadline = fixture.now + std::chrono::hours(10);
    fixture.Offer(request);
  }
  CHECK(fixture.queue.WaitingCount() == kMaxWaitingRequests);
}

// Guards against resumed answers that compete with new requests for the same room.
TEST_CASE("an attempt that resumes an answer takes room before new requests") {
  QueueFixture fixture;
  REQUIRE(Is<SendNow>(fixture.Offer(fixture.Request(0))));
  for (int i = 0; i < 10; ++i) fixture.queue.Charge(kUsualTokens);
  CHECK_FALSE(Is<SendNow>(fixture.Offer(fixture.Request(0))));
}

}  // namespace
}  // namespace corneltray
