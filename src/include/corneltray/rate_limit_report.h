#ifndef CORNELTRAY_RATE_LIMIT_REPORT_H_
#define CORNELTRAY_RATE_LIMIT_REPORT_H_

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "corneltray/result.h"
#include "corneltray/time.h"

namespace corneltray {

// What an upstream said last about the requests that it takes from all hosts together.
struct RateLimitReport {
  std::uint64_t incarnation = 0;
  std::optional<double> requests_per_s;  // nothing once it names no limit any more
  TimePoint as_of{};                     // when the request that it answered was sent
};

using RateLimitReports = std::map<std::string, RateLimitReport>;  // by upstream

// Adds reports to others. The one of a newer incarnation takes precedence, then the later one.
void MergeRateLimitReports(const RateLimitReports& reports, RateLimitReports* merged);

// Removes the reports from before a time.
void RemoveRateLimitReportsBefore(TimePoint oldest, RateLimitReports* reports);

// Encodes reports with their ages, since processes share no clock. Part of a route table fetch and
// of the reply to it.
nlohmann::json EncodeRateLimitReports(TimePoint now, const RateLimitReports& reports);
// Takes the ages as those at `encoded_at`. Fails on a malformed body and then returns no part of
// it.
Result<RateLimitReports> DecodeRateLimitReports(TimePoint encoded_at, const nlohmann::json& body);

}  // namespace corneltray

#endif  // CORNELTRAY_RATE_LIMIT_REPORT_H_
