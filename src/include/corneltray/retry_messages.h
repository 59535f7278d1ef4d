#ifndef CORNELTRAY_RETRY_MESSAGES_H_
#define CORNELTRAY_RETRY_MESSAGES_H_

#include <nlohmann/json_fwd.hpp>

#include "corneltray/result.h"
#include "corneltray/retry_quota.h"

namespace corneltray {

// Encodes what a host reports of its retries. Part of a route table fetch.
nlohmann::json EncodeRetryReport(const RetryReport& report);
// Fails on a malformed body and then returns no part of it.
Result<RetryReport> DecodeRetryReport(const nlohmann::json& body);

// Encodes the quotas of a host. Part of the reply to a route table fetch.
nlohmann::json EncodeRetryGrant(const RetryGrant& grant);
Result<RetryGrant> DecodeRetryGrant(const nlohmann::json& body);

}  // namespace corneltray

#endif  // CORNELTRAY_RETRY_MESSAGES_H_
