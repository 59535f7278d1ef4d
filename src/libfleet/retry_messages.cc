#include "corneltray/retry_messages.h"

#include <nlohmann/json.hpp>

#include "corneltray/json_amount.h"
#include "corneltray/upstream.h"

namespace corneltray {

using nlohmann::json;

json EncodeRetryReport(const RetryReport& report) {
  json services = json::object();
  for (const auto& [service, use] : report.services) {
    services[service] = {use.requests, use.retries, use.quota};
  }
  return {{"incarnation", report.incarnation},
          {"sequence", report.sequence},
          {"applied", report.applied},
          {"limit", {report.limit.ratio, report.limit.allowance}},
          {"services", std::move(services)}};
}

Result<RetryReport> DecodeRetryReport(const json& body) {
  try {
    RetryReport report;
    report.incarnation = body.at("incarnation").get<std::uint64_t>();
    report.sequence = body.at("sequence").get<std::uint64_t>();
    report.applied = body.at("applied").get<std::uint64_t>();
    const json& limit = body.at("limit");
    report.limit = {AmountAt(limit, 0), AmountAt(limit, 1)};
    for (const auto& [service, use] : body.at("services").items()) {
      report.services[service] = {use.at(0).get<std::uint32_t>(), use.at(1).get<std::uint32_t>(),
                                  AmountAt(use, 2)};
    }
    return report;
  } catch (const json::exception& error) {
    return Error{UpstreamErrc::kMalformedAnnouncement, error.what()};
  }
}

json EncodeRetryGrant(const RetryGrant& grant) {
  json services = json::object();
  for (const auto& [service, quota] : grant.quotas) {
    services[service] = {quota.retries, quota.refused};
  }
  return {{"sequence", grant.sequence}, {"services", std::move(services)}};
}

Result<RetryGrant> DecodeRetryGrant(const json& body) {
  try {
    RetryGrant grant;
    grant.sequence = body.at("sequence").get<std::uint64_t>();
    for (const auto& [service, quota] : body.at("services").items()) {
      grant.quotas[service] = {AmountAt(quota, 0), AmountAt(quota, 1)};
    }
    return grant;
  } catch (const json::exception& error) {
    return Error{UpstreamErrc::kMalformedAnnouncement, error.what()};
  }
}

}  // namespace corneltray
