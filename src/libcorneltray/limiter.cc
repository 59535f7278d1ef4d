#include "corneltray/limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace corneltray {
namespace {

constexpr double kDemandWindowSeconds = 5.0;
// Part of the rate that is divided equally, so that a host can admit a customer's first requests
// before its demand has been gossiped.
constexpr double kEqualPart = 0.1;
// Below this part of the concurrency limit any customer may use what is free; above it only
// customers below their fair share.
constexpr double kSharedPart = 0.75;
constexpr std::chrono::milliseconds kConcurrencyRetryAfter{200};
constexpr std::chrono::milliseconds kMaxRetryAfter{60'000};

double Seconds(Duration d) { return std::chrono::duration<double>(d).count(); }

double Decayed(double value, TimePoint since, TimePoint now) {
  return value * std::exp(-Seconds(now - since) / kDemandWindowSeconds);
}

}  // namespace

Limiter::Limiter(std::string own_host) : m_own_host(std::move(own_host)) {}

void Limiter::SetCustomers(TimePoint now, const std::map<std::string, CustomerConfig>& customers) {
  for (auto it = m_buckets.begin(); it != m_buckets.end();) {
    // A customer with requests in progress is kept without a rate until they finish.
    const bool removed = customers.count(it->first) == 0;
    if (removed) it->second.rate = 0.0;
    it = removed && it->second.in_progress == 0 ? m_buckets.erase(it) : std::next(it);
  }
  for (const auto& [name, customer] : customers) {
    const auto [it, inserted] = m_buckets.try_emplace(name);
    Bucket& bucket = it->second;
    if (!inserted) Fill(now, &bucket);
    bucket.rate = customer.requests_per_s;
    bucket.burst = customer.burst;
    if (!inserted) continue;
    bucket.share =
        m_hosts.empty() ? m_zone_share : m_zone_share / static_cast<double>(m_hosts.size());
    bucket.raised_share = bucket.share;
    bucket.tokens = std::max(1.0, bucket.burst * bucket.share);
    bucket.filled_at = now;
    bucket.demand_at = now;
  }
}

void Limiter::SetHosts(TimePoint now, const std::vector<HostView>& hosts,
                       double configured_zone_share) {
  std::string zone;
  for (const HostView& host : hosts) {
    if (host.info.name == m_own_host) zone = host.info.availability_zone;
  }
  m_zone_share = configured_zone_share;
  m_hosts.clear();
  for (const HostView& host : hosts) {
    // A suspect host may still be serving, so its part stays with it until it has failed.
    if (host.info.availability_zone == zone && host.info.program == "corneltray-entry" &&
        host.liveness != HostLiveness::kFailed) {
      m_hosts.push_back(host);
    }
  }
  const double count = std::max<double>(1.0, static_cast<double>(m_hosts.size()));
  for (auto& [customer, bucket] : m_buckets) {
    double total = 0.0;
    double own = 0.0;
    for (const HostView& host : m_hosts) {
      const auto it = host.info.demand.find(customer);
      if (it == host.info.demand.end()) continue;
      total += it->second;
      if (host.info.name == m_own_host) own = it->second;
    }
    // Only the part of the rate that is in use follows the demand. The unused part stays divided
    // equally, so that a customer below its rate is admitted at a host it has not called before.
    const double rate = bucket.rate * m_zone_share;
    const double used = rate > 0.0 ? std::min(1.0, total / rate) : 0.0;
    const double proportional = total > 0.0 ? own / total : 1.0 / count;
    const double by_demand = kEqualPart / count + (1.0 - kEqualPart) * proportional;
    SetShare(now, m_zone_share * ((1.0 - used) / count + used * by_demand), &bucket);
  }
}

void Limiter::SetShare(TimePoint now, double share, Bucket* bucket) const {
  Fill(now, bucket);
  if (share <= bucket->share) {
    bucket->share = share;
    bucket->raised_share = share;
    return;
  }
  if (bucket->raised_share <= bucket->share) bucket->raise_at = now + kRaiseDelay;
  bucket->raised_share = share;
}

void Limiter::SetConcurrencyLimit(std::uint32_t limit) { m_concurrency_limit = limit; }

void Limiter::Fill(TimePoint now, Bucket* bucket) const {
  if (bucket->raised_share > bucket->share && now >= bucket->raise_at) {
    bucket->share = bucket->raised_share;
  }
  const double added = Seconds(now - bucket->filled_at) * bucket->rate * bucket->share;
  const double most = std::max(1.0, bucket->burst * bucket->share);
  bucket->tokens = std::min(most, bucket->tokens + std::max(0.0, added));
  bucket->filled_at = now;
}

bool Limiter::WithinConcurrency(TimePoint now, const Bucket& bucket) const {
  if (m_concurrency_limit == 0) return true;
  if (m_in_progress >= m_concurrency_limit) return false;
  if (m_in_progress < kSharedPart * m_concurrency_limit) return true;
  std::uint32_t active = 0;
  for (const auto& [customer, other] : m_buckets) {
    active += other.in_progress > 0 || Decayed(other.demand, other.demand_at, now) >= 1.0 ? 1 : 0;
  }
  return bucket.in_progress < static_cast<double>(m_concurrency_limit) / std::max(active, 1U);
}

Admission Limiter::Admit(TimePoint now, const std::string& customer, Workload workload,
                         TimePoint deadline, Duration expected_wait) {
  const auto it = m_buckets.find(customer);
  if (it == m_buckets.end() || it->second.rate <= 0.0) {
    return Refused{RefusalReason::kUnknownCustomer, {}};
  }
  Bucket& bucket = it->second;
  bucket.demand = Decayed(bucket.demand, bucket.demand_at, now) + 1.0;
  bucket.demand_at = now;
  Fill(now, &bucket);
  if (now + expected_wait >= deadline) {
    return Refused{RefusalReason::kDeadline,
                   std::chrono::ceil<std::chrono::milliseconds>(expected_wait)};
  }
  if (bucket.tokens < 1.0) {
    const double rate = std::max(1e-6, bucket.rate * bucket.share);
    const double wait_ms = std::ceil((1.0 - bucket.tokens) / rate * 1000.0);
    const double most_ms = static_cast<double>(kMaxRetryAfter.count());
    return Refused{
        RefusalReason::kRate,
        std::chrono::milliseconds(static_cast<std::int64_t>(std::min(wait_ms, most_ms)))};
  }
  const bool takes_place = workload == Workload::kGeneration;
  if (takes_place && !WithinConcurrency(now, bucket)) {
    return Refused{RefusalReason::kConcurrency, kConcurrencyRetryAfter};
  }
  bucket.tokens -= 1.0;
  if (!takes_place) return Admitted{};
  ++bucket.in_progress;
  ++m_in_progress;
  return Admitted{};
}

void Limiter::Finish(TimePoint /*now*/, const std::string& customer) {
  const auto it = m_buckets.find(customer);
  if (it == m_buckets.end() || it->second.in_progress == 0) return;
  --it->second.in_progress;
  --m_in_progress;
}

std::map<std::string, double> Limiter::Demand(TimePoint now) const {
  std::map<std::string, double> demand;
  for (const auto& [customer, bucket] : m_buckets) {
    const double rate = Decayed(bucket.demand, bucket.demand_at, now) / kDemandWindowSeconds;
    if (rate >= 0.01) demand[customer] = rate;
  }
  return demand;
}

double Limiter::LocalRate(const std::string& customer) const {
  const auto it = m_buckets.find(customer);
  return it == m_buckets.end() ? 0.0 : it->second.rate * it->second.share;
}

}  // namespace corneltray
