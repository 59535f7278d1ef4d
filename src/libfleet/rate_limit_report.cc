#include "corneltray/rate_limit_report.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <nlohmann/json.hpp>

#include "corneltray/json_amount.h"
#include "corneltray/upstream.h"

namespace corneltray {
namespace {

using nlohmann::json;

// An age beyond it is of no use, and must not overflow the clock.
constexpr double kMaxAgeMs = 1e9;

bool IsNewer(const RateLimitReport& report, const RateLimitReport& than) {
  if (report.incarnation != than.incarnation) return report.incarnation > than.incarnation;
  return report.as_of > than.as_of;
}

}  // namespace

void MergeRateLimitReports(const RateLimitReports& reports, RateLimitReports* merged) {
  for (const auto& [upstream, report] : reports) {
    const auto [known, is_added] = merged->emplace(upstream, report);
    if (!is_added && IsNewer(report, known->second)) known->second = report;
  }
}

void RemoveRateLimitReportsBefore(TimePoint oldest, RateLimitReports* reports) {
  for (auto report = reports->begin(); report != reports->end();) {
    report = report->second.as_of < oldest ? reports->erase(report) : std::next(report);
  }
}

json EncodeRateLimitReports(TimePoint now, const RateLimitReports& reports) {
  json body = json::object();
  for (const auto& [upstream, report] : reports) {
    const std::chrono::duration<double, std::milli> age = now - report.as_of;
    const json limit = report.requests_per_s ? json(*report.requests_per_s) : json();
    body[upstream] = {report.incarnation, age.count(), limit};
  }
  return body;
}

Result<RateLimitReports> DecodeRateLimitReports(TimePoint encoded_at, const json& body) {
  try {
    RateLimitReports reports;
    for (const auto& [upstream, values] : body.items()) {
      RateLimitReport& report = reports[upstream];
      report.incarnation = values.at(0).get<std::uint64_t>();
      const std::chrono::duration<double, std::milli> age(std::min(AmountAt(values, 1), kMaxAgeMs));
      report.as_of = encoded_at - std::chrono::duration_cast<Duration>(age);
      if (!values.at(2).is_null()) report.requests_per_s = AmountAt(values, 2);
    }
    return reports;
  } catch (const json::exception& error) {
    return Error{UpstreamErrc::kMalformedAnnouncement, error.what()};
  }
}

}  // namespace corneltray
