#include "corneltray/customer_shares.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace corneltray {
namespace {

// Time constant of the usage. It spans several requests of a customer at a host with a few requests
// a second.
constexpr double kMemorySeconds = 10.0;
// Usage is decayed in steps of at least this time.
constexpr double kDecayStepSeconds = 0.05;
// A customer is forgotten when less than this is left of its usage.
constexpr double kForgottenTokens = 1.0;
// A customer is entitled to at least this part of what it would get in proportion to its requests,
// so that one that has much of the traffic is not starved by max-min.
constexpr double kFloorOfProportional = 0.4;

}  // namespace

void CustomerShares::RecordOffered(TimePoint now, const std::string& customer, double tokens) {
  Decay(now);
  m_usage[customer].offered += tokens;
  m_is_current = false;
}

void CustomerShares::RecordSent(TimePoint now, const std::string& customer, double tokens) {
  Decay(now);
  m_usage[customer].sent += tokens;
  m_is_current = false;
}

void CustomerShares::Decay(TimePoint now) {
  const std::chrono::duration<double> since = now - m_decayed_at;
  if (since.count() < kDecayStepSeconds) return;
  const double factor = std::exp(-since.count() / kMemorySeconds);
  m_decayed_at = now;
  m_is_current = false;
  for (auto it = m_usage.begin(); it != m_usage.end();) {
    it->second.offered *= factor;
    it->second.sent *= factor;
    const bool is_forgotten = it->second.offered + it->second.sent < kForgottenTokens;
    it = is_forgotten ? m_usage.erase(it) : std::next(it);
  }
}

void CustomerShares::UpdateFairShare() const {
  if (m_is_current) return;
  m_is_current = true;
  std::vector<double> demands;
  double sent = 0.0;
  double offered = 0.0;
  for (const auto& [customer, usage] : m_usage) {
    demands.push_back(std::max(usage.offered, usage.sent));
    sent += usage.sent;
    offered += demands.back();
  }
  m_sent_ratio = offered > 0.0 ? sent / offered : 1.0;
  std::sort(demands.begin(), demands.end());
  double left = sent;
  m_fair_share = 0.0;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    m_fair_share = left / static_cast<double>(demands.size() - i);
    if (demands[i] > m_fair_share) break;
    left -= demands[i];
    m_fair_share = demands[i];
  }
}

double CustomerShares::EntitledTokens(const Usage& usage) const {
  UpdateFairShare();
  return std::max(m_fair_share, kFloorOfProportional * m_sent_ratio * usage.offered);
}

double CustomerShares::UsedShare(const std::string& customer) const {
  const auto known = m_usage.find(customer);
  if (known == m_usage.end()) return 0.0;
  return known->second.sent / std::max(1.0, EntitledTokens(known->second));
}

bool CustomerShares::IsOverShare(const std::string& customer, double tolerance) const {
  const auto known = m_usage.find(customer);
  if (known == m_usage.end()) return false;
  return known->second.sent > EntitledTokens(known->second) + tolerance;
}

}  // namespace corneltray
