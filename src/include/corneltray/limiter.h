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

struct Admitted {};

struct Refused {
  RefusalReason reason = RefusalReason::kRate;
  std::chrono::milliseconds retry_after{0};
};

using Admission = std::variant<Admitted, Refused>;

// Admission of requests at one entry host: a token bucket for each customer, holding this host's
// share of the customer's rate, and a limit on requests in progress that keeps a fair share for
// each customer. Not thread safe.
class Limiter {
 public:
  explicit Limiter(std::string own_host);

  // Replaces the customers and their rates. Buckets of customers that stay keep their level.
  void SetCustomers(TimePoint now, const std::map<std::string, CustomerConfig>& customers);

  // Divides each customer's rate over the live entry hosts in proportion to their gossiped demand.
  // `configured_zone_share` is this availability zone's part of the rate (0 to 1).
  void SetHosts(TimePoint now, const std::vector<HostView>& hosts, double configured_zone_share);

  // Greatest number of requests in progress at this host, from the ready capacity. Zero: no limit.
  void SetConcurrencyLimit(std::uint32_t limit);

  // Decides on one request. Every admitted request is followed by one Finish.
  // `expected_wait` is the router's estimate of the time in queue; a request whose deadline falls
  // before it would get its first answer is refused at once.
  Admission Admit(TimePoint now, const std::string& customer, TimePoint deadline,
                  Duration expected_wait);
  void Finish(TimePoint now, const std::string& customer);

  // Offered requests/s by customer over the last seconds, for HostInfo::demand.
  std::map<std::string, double> Demand(TimePoint now) const;

  // This host's present rate for a customer, in requests/s.
  double LocalRate(const std::string& customer) const;

 private:
  struct Bucket {
    double rate = 0.0;   // of the whole customer
    double burst = 0.0;  // of the whole customer
    double share = 1.0;  // of this host
    double tokens = 0.0;
    TimePoint filled_at{};
    double demand = 0.0;  // decaying count of offered requests
    TimePoint demand_at{};
    std::uint32_t in_progress = 0;
  };

  void Fill(TimePoint now, Bucket* bucket) const;
  bool WithinConcurrency(const Bucket& bucket) const;

  std::string m_own_host;
  std::map<std::string, Bucket> m_buckets;
  std::uint32_t m_concurrency_limit = 0;
  std::uint32_t m_in_progress = 0;
};

}  // namespace corneltray

#endif  // CORNELTRAY_LIMITER_H_
