// The retries of an entry host: its budgets, its reports, and the quotas that it is granted.
#include <algorithm>
#include <chrono>

#include "corneltray/gateway.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

// The leader of the control hosts handles the reports of all hosts. One that would say nothing new
// waits for this time, which is well below kRetryQuotaLifetime.
constexpr std::chrono::seconds kRetryReportInterval{3};

}  // namespace

ServiceRetryCounts Gateway::OwnRetryCounts() const {
  ServiceRetryCounts counts;
  const TimePoint now = Clock::now();
  for (const auto& [service, budget] : m_budgets) {
    const RetryUse use = budget.Use(now, BootTimeNow());
    counts[service] = {use.requests, use.retries, 0};
  }
  return counts;
}

std::optional<RetryReport> Gateway::MakeRetryReport() {
  const TimePoint now = Clock::now();
  RetryReport report;
  std::map<std::string, std::uint32_t> retries;
  for (const auto& [service, budget] : m_budgets) {
    const RetryUse use = budget.Use(now, BootTimeNow());
    report.services[service] = use;
    retries[service] = use.retries;
  }
  const bool is_answered = m_applied_grant == m_retry_reports;
  const bool is_known = is_answered && !m_retry_was_refused && retries == m_reported_retries;
  if (is_known && now < m_next_retry_report) return std::nullopt;
  m_reported_retries = std::move(retries);
  m_retry_was_refused = false;
  m_next_retry_report = now + kRetryReportInterval;
  report.incarnation = m_options.incarnation;
  report.sequence = ++m_retry_reports;
  report.applied = m_applied_grant;
  report.limit = SharedRetryLimit();
  return report;
}

void Gateway::ApplyRetryGrant(const RetryGrant& grant) {
  // Two reports may be under way, to two control processes.
  if (grant.sequence <= m_applied_grant) return;
  m_applied_grant = grant.sequence;
  const TimePoint now = Clock::now();
  for (const auto& [service, quota] : grant.quotas) {
    const auto budget = m_budgets.find(service);
    if (budget == m_budgets.end()) continue;
    const RetryUse use = budget->second.Use(now, BootTimeNow());
    budget->second.SetQuota(BootTimeNow(), quota);
    const RetryCounts& fleet = m_fleet_retries[service];
    if (fleet.retries == 0 && use.retries == 0) continue;
    LogEvent(LogLevel::kInfo, "retry_quota",
             {{"service", service},
              {"quota", quota.retries},
              {"quota_refused", quota.refused},
              {"previous", use.quota},
              {"used_here", use.retries},
              {"fleet_requests", fleet.requests},
              {"fleet_retries", fleet.retries},
              {"fleet_hosts", fleet.hosts}});
  }
}

void Gateway::SetFleetRetryCounts(const ServiceRetryCounts& counts) { m_fleet_retries = counts; }

void Gateway::UpdateHosts(std::uint32_t told) {
  m_hosts.Update(told);
  m_backoff.SetHosts(Clock::now(), m_hosts.Count());
  for (auto& [service, budget] : m_budgets) budget.SetHosts(m_hosts.Count());
}

// Returns the retries that all hosts together may send within RetryBudget::kWindow.
RetryLimit Gateway::SharedRetryLimit() const {
  const std::chrono::duration<double> window = m_options.retry_window;
  const std::chrono::duration<double> counted = RetryBudget::kWindow;
  return {m_options.retry_ratio, m_options.retry_allowance * std::min(1.0, counted / window)};
}

double Gateway::HostShare(const std::string& service) const {
  const auto fleet = m_fleet_retries.find(service);
  const auto own = m_budgets.find(service);
  RetryCounts counted;
  if (own != m_budgets.end()) {
    counted.requests = own->second.Use(Clock::now(), BootTimeNow()).requests;
  }
  return ShareOfRequests(fleet == m_fleet_retries.end() ? RetryCounts{} : fleet->second, counted);
}

SharedRetryBudget& Gateway::BudgetOf(const std::string& service) {
  const auto known = m_budgets.find(service);
  if (known != m_budgets.end()) return known->second;
  const SharedRetryBudget budget(SharedRetryLimit(), RetryBudget::kWindow);
  SharedRetryBudget& added = m_budgets.emplace(service, budget).first->second;
  added.SetHosts(m_hosts.Count());
  return added;
}

bool Gateway::TryRetry(const std::string& service, RetryPurpose purpose) {
  if (!BudgetOf(service).TryRetry(Clock::now(), BootTimeNow(), purpose)) {
    m_retry_was_refused = true;
    m_metrics.Count("retries_refused", "budget");
    return false;
  }
  m_metrics.Count("retries", NameOf(purpose));
  return true;
}

}  // namespace corneltray
