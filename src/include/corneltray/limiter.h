#ifndef CORNELTRAY_LIMITER_H_
#define CORNELTRAY_LIMITER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "corneltray/configuration.h"
#include "corneltray/enum_names.h"
#include "corneltray/membership.h"
#include "corneltray/time.h"

namespace corneltray {

enum class RefusalReason { kUnknownCustomer, kRate, kConcurrency, kDeadline };

template <>
struct EnumNames<RefusalReason> {
  static constexpr EnumName<RefusalReason> kTable[] = {
      {RefusalReason::kUnknownCustomer, "unknown_customer"},
      {RefusalReason::kRate, "rate"},
      {RefusalReason::kConcurrency, "concurrency"},
      {RefusalReason::kDeadline, "deadline"},
  };
};

// Gossip brings a change of demand to every host of a zone within this time.
constexpr std::chrono::seconds kRaiseDelay{5};

struct Admitted {};

struct Refused {
  RefusalReason reason = RefusalReason::kRate;
  std::chrono::milliseconds retry_after{0};
};

using Admission = std::variant<Admitted, Refused>;

// What a request asks for. The capacity of the engines bounds only generations; calls of plain
// services take nothing of it.
enum class Workload { kGeneration, kServiceCall };

// Admission of requests at one entry host: a token bucket for each customer, holding this host's
// share of the customer's rate, and a limit on generations in progress that keeps a fair share for
// each customer. Not thread safe.
class Limiter {
 public:
  explicit Limiter(std::string own_host);

  // Replaces the customers and their rates. Buckets of customers that stay keep their level.
  void SetCustomers(TimePoint now, const std::map<std::string, CustomerConfig>& customers);

  // Divides this availability zone's part of each customer's rate (`configured_zone_share`, 0 to 1)
  // over its live entry hosts in proportion to their gossiped demand. `hosts` may hold hosts of
  // other zones and programs. A smaller share applies at once, a greater one after kRaiseDelay,
  // when the other hosts have lowered theirs; so the sum over hosts stays within the rate. Called
  // after each change of hosts, and every second.
  void SetHosts(TimePoint now, const std::vector<HostView>& hosts, double configured_zone_share);

  // Greatest number of generations in progress at this host, from the ready capacity. Zero: no
  // limit.
  void SetConcurrencyLimit(std::uint32_t limit);

  // Decides on one request. Every admitted generation is followed by one Finish.
  // `expected_wait` is the router's estimate of the time in queue; a request whose deadline falls
  // before it would get its first answer is refused at once.
  Admission Admit(TimePoint now, const std::string& customer, Workload workload, TimePoint deadline,
                  Duration expected_wait);
  void Finish(TimePoint now, const std::string& customer);

  // Offered requests/s by customer over the last seconds, for HostInfo::demand.
  std::map<std::string, double> Demand(TimePoint now) const;

  // This host's present rate for a customer, in requests/s.
  double LocalRate(const std::string& customer) const;

 private:
  struct Bucket {
    double rate = 0.0;          // of the whole customer
    double burst = 0.0;         // of the whole customer
    double share = 0.0;         // of this host, in force
    double raised_share = 0.0;  // applies at raise_at
    TimePoint raise_at{};
    double tokens = 0.0;
    TimePoint filled_at{};
    double demand = 0.0;  // decaying count of offered requests
    TimePoint demand_at{};
    std::uint32_t in_progress = 0;  // generations
  };

  void Fill(TimePoint now, Bucket* bucket) const;
  void SetShare(TimePoint now, double share, Bucket* bucket) const;
  bool WithinConcurrency(TimePoint now, const Bucket& bucket) const;

  std::string m_own_host;
  std::vector<HostView> m_hosts;  // live entry hosts of this zone
  double m_zone_share = 1.0;
  std::map<std::string, Bucket> m_buckets;
  std::uint32_t m_concurrency_limit = 0;
  std::uint32_t m_in_progress = 0;  // generations
};

}  // namespace corneltray

#endif  // CORNELTRAY_LIMITER_H_
