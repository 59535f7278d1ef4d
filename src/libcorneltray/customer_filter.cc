#include <openssl/crypto.h>

#include "corneltray/filters.h"

namespace corneltray {
namespace {

constexpr char kScheme[] = "Bearer ";

// Compares in a time that depends only on the lengths.
bool SameKey(const std::string& a, const std::string& b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace

FilterResult CustomerFilter::Apply(RequestContext& context) {
  const std::string& authorization = context.http.Header("authorization");
  std::string key;
  if (authorization.compare(0, sizeof(kScheme) - 1, kScheme) == 0) {
    key = authorization.substr(sizeof(kScheme) - 1);
  }
  const CustomerConfig* found = nullptr;
  // Every key is compared, so that the time does not tell which customer comes first.
  for (const auto& [name, customer] : context.configuration->customers) {
    if (!customer.key.empty() && SameKey(customer.key, key)) found = &customer;
  }
  if (found == nullptr) {
    return Refuse(
        {ApiCode::kUnauthorized, "a valid bearer key is required", "", BookingState::kNotRun, 0, 0},
        context);
  }
  context.customer = found->name;
  context.customer_priority = found->priority;
  return Continue{};
}

}  // namespace corneltray
