#include "corneltray/limiter.h"

#include <doctest/doctest.h>

#include <random>

namespace corneltray {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{std::chrono::hours(1000)};
constexpr TimePoint kNever = TimePoint::max();

CustomerConfig Customer(const std::string& name, double rate, double burst) {
  CustomerConfig customer;
  customer.name = name;
  customer.requests_per_s = rate;
  customer.burst = burst;
  return customer;
}

HostView Entry(const std::string& name) {
  HostView view;
  view.info.name = name;
  view.info.program = "corneltray-entry";
  view.info.availability_zone = "z";
  return view;
}

// Guards against a customer that gets a multiple of its rate by using many entry hosts, and against
// one that is starved because its requests reach few of them. Tolerance: 10% over 20 s, as the
// hosts learn of each other's demand up to 3 s late, plus the burst.
TEST_CASE("admissions over all hosts stay within a customer's rate") {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    std::mt19937_64 random(seed);
    const double rate = 50.0;
    const std::size_t count = 2 + random() % 13;
    std::vector<HostView> hosts;
    std::vector<Limiter> limiters;
    for (std::size_t i = 0; i < count; ++i) {
      hosts.push_back(Entry("h" + std::to_string(i)));
      limiters.emplace_back(hosts.back().info.name);
      limiters.back().SetCustomers(kStart, {{"c", Customer("c", rate, 10)}});
    }
    // Which hosts see the customer changes every 20 s.
    std::vector<double> weights;
    std::size_t admitted = 0;
    std::vector<std::size_t> admitted_in(6);
    for (int ms = 0; ms < 120'000; ms += 5) {
      const TimePoint now = kStart + milliseconds(ms);
      if (ms % 20'000 == 0) {
        weights.assign(count, 0.0);
        for (double& weight : weights) weight = random() % 3 == 0 ? 1.0 + random() % 9 : 0.05;
      }
      if (ms % 1000 == 0) {
        for (std::size_t i = 0; i < count; ++i) {
          if (ms / 1000 % 3 == static_cast<int>(i % 3)) {
            hosts[i].info.demand = limiters[i].Demand(now);
          }
          limiters[i].SetHosts(now, hosts, 1.0);
        }
      }
      std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
      const std::size_t host = pick(random);  // 200 requests/s, four times the rate
      const Admission admission = limiters[host].Admit(now, "c", Workload::kGeneration, kNever, {});
      if (std::holds_alternative<Admitted>(admission)) {
        limiters[host].Finish(now, "c");
        ++admitted;
        ++admitted_in[static_cast<std::size_t>(ms / 20'000)];
      } else {
        CHECK(std::get<Refused>(admission).reason == RefusalReason::kRate);
        CHECK(std::get<Refused>(admission).retry_after > milliseconds(0));
      }
    }
    CAPTURE(seed);
    CAPTURE(count);
    for (const std::size_t in : admitted_in) CHECK(in <= 1.1 * rate * 20 + 10);
    CHECK(admitted >= 0.6 * rate * 120);
  }
}

TEST_CASE("a refusal says why and when to come back") {
  Limiter limiter("h0");
  limiter.SetCustomers(kStart, {{"c", Customer("c", 2, 1)}});
  limiter.SetHosts(kStart, {Entry("h0")}, 1.0);
  CHECK(std::holds_alternative<Admitted>(
      limiter.Admit(kStart, "c", Workload::kGeneration, kNever, {})));

  // Guards against a retry-after at which the request is refused again.
  SUBCASE("over the rate") {
    const auto refused =
        std::get<Refused>(limiter.Admit(kStart, "c", Workload::kGeneration, kNever, {}));
    CHECK(refused.reason == RefusalReason::kRate);
    CHECK(refused.retry_after == milliseconds(500));
    CHECK(std::holds_alternative<Admitted>(
        limiter.Admit(kStart + refused.retry_after, "c", Workload::kGeneration, kNever, {})));
  }
  SUBCASE("an unknown customer") {
    CHECK(std::get<Refused>(limiter.Admit(kStart, "x", Workload::kGeneration, kNever, {})).reason ==
          RefusalReason::kUnknownCustomer);
  }
  // Guards against work on a request that will be too late anyway.
  SUBCASE("a deadline within the expected wait") {
    const auto refused = std::get<Refused>(limiter.Admit(
        kStart + seconds(9), "c", Workload::kGeneration, kStart + seconds(10), seconds(2)));
    CHECK(refused.reason == RefusalReason::kDeadline);
  }
}

// Guards against one large customer that takes every place in a host.
TEST_CASE("the concurrency limit keeps places for small customers") {
  Limiter limiter("h0");
  limiter.SetCustomers(
      kStart, {{"large", Customer("large", 1000, 1000)}, {"small", Customer("small", 1000, 1000)}});
  limiter.SetHosts(kStart, {Entry("h0")}, 1.0);
  limiter.SetConcurrencyLimit(100);
  std::size_t large = 0;
  for (int i = 0; i < 200; ++i) {
    large += std::holds_alternative<Admitted>(
                 limiter.Admit(kStart, "large", Workload::kGeneration, kNever, {}))
                 ? 1
                 : 0;
    if (i == 0) limiter.Admit(kStart, "small", Workload::kGeneration, kNever, {});
  }
  CHECK(large == 74);
  std::size_t small = 1;
  for (int i = 0; i < 200; ++i) {
    const Admission admission = limiter.Admit(kStart, "small", Workload::kGeneration, kNever, {});
    small += std::holds_alternative<Admitted>(admission) ? 1 : 0;
    if (std::holds_alternative<Refused>(admission)) {
      CHECK(std::get<Refused>(admission).reason == RefusalReason::kConcurrency);
    }
  }
  CHECK(large + small == 100);
}

// Guards against bookings that are refused because engines are few or gone.
TEST_CASE("the concurrency limit of the engines does not bound calls of services") {
  Limiter limiter("h0");
  limiter.SetCustomers(kStart, {{"c", Customer("c", 3, 3)}});
  limiter.SetConcurrencyLimit(1);
  const auto admit = [&limiter](Workload workload) {
    return limiter.Admit(kStart, "c", workload, kNever, {});
  };
  CHECK(std::holds_alternative<Admitted>(admit(Workload::kGeneration)));
  CHECK(std::holds_alternative<Admitted>(admit(Workload::kServiceCall)));
  SUBCASE("which take no place of a generation") {
    limiter.Finish(kStart, "c");
    CHECK(std::holds_alternative<Admitted>(admit(Workload::kGeneration)));
  }
  SUBCASE("the customer's rate does bound them") {
    CHECK(std::holds_alternative<Admitted>(admit(Workload::kServiceCall)));
    CHECK(std::get<Refused>(admit(Workload::kServiceCall)).reason == RefusalReason::kRate);
  }
}

// Guards against a bucket that a configuration change refills, and against losing a count.
TEST_CASE("a change of the customers keeps levels and requests in progress") {
  Limiter limiter("h0");
  limiter.SetCustomers(kStart, {{"c", Customer("c", 1, 1)}});
  limiter.SetConcurrencyLimit(1);
  CHECK(std::holds_alternative<Admitted>(
      limiter.Admit(kStart, "c", Workload::kGeneration, kNever, {})));
  limiter.SetCustomers(kStart, {{"c", Customer("c", 1, 5)}});
  CHECK(std::holds_alternative<Refused>(
      limiter.Admit(kStart, "c", Workload::kGeneration, kNever, {})));
  limiter.SetCustomers(kStart, {});
  limiter.Finish(kStart, "c");
  limiter.SetCustomers(kStart + seconds(1), {{"d", Customer("d", 1, 1)}});
  CHECK(std::holds_alternative<Admitted>(
      limiter.Admit(kStart + seconds(1), "d", Workload::kGeneration, kNever, {})));
}

}  // namespace
}  // namespace corneltray
