#include "corneltray/host_reports.h"

#include <algorithm>
#include <utility>

#include "corneltray/fleet_messages.h"
#include "corneltray/log.h"
#include "corneltray/pace_messages.h"
#include "corneltray/retry_messages.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kHostReportLifetime{4};
// An entry host that is cut off for a shorter time still hears that a limit has ended.
constexpr std::chrono::seconds kRateLimitLifetime{60};

void LogRefused(const std::string& event, const std::string& host, const Error& error) {
  LogEvent(LogLevel::kWarning, event, {{"of", host}, {"error", error.ToString()}});
}

const json& MemberOrEmpty(const json& body, const char* name) {
  static const json empty = json::object();
  const auto member = body.find(name);
  return member == body.end() ? empty : *member;
}

}  // namespace

void HostReports::OnLeaderChanged(TimePoint now, bool is_leader) {
  m_retry_quotas.reset();
  m_expected_hosts = KnownEntryHosts();
  m_sums.expires_at = now;
  m_is_leader = is_leader;
  // A new leader is told at once, whatever becomes of the last batch.
  m_batch_in_progress = false;
  m_next_batch_at = now;
  m_unanswered_batches = 0;
  if (!is_leader) {
    m_sums.number = 0;  // another leader counts on its own
    return;
  }
  m_unsent.clear();
  m_unsent_rate_limits.clear();
}

void HostReports::StoreFetch(TimePoint now, const json& fetch) {
  const std::string host = fetch.value("retries_of", "");
  if (!host.empty()) {
    StoreCounts(now, host, fetch.at("retries"), MemberOrEmpty(fetch, "pace"));
    const auto quota = fetch.find("retry_report");
    if (quota != fetch.end()) StoreRetryReport(now, host, *quota);
    const auto forward = fetch.find("forward_report");
    if (forward != fetch.end()) StoreForwardReport(now, host, *forward);
  }
  const auto limits = fetch.find("rate_limits");
  if (limits != fetch.end()) StoreRateLimits(now, *limits);
}

void HostReports::StoreCounts(TimePoint now, const std::string& host, const json& retries,
                              const json& pace) {
  auto by_service = DecodeRetryCounts(retries);
  if (!by_service) return LogRefused("retry_report_refused", host, by_service.error());
  auto by_server = DecodePaceCounts(pace);
  if (!by_server) return LogRefused("retry_report_refused", host, by_server.error());
  ++m_reports_stored;
  m_counts[host] = {now + kHostReportLifetime, std::move(by_service).value(),
                    std::move(by_server).value()};
  if (m_is_leader) return;
  UnsentReport& unsent = m_unsent[host];
  unsent.retries = retries;
  unsent.pace = pace;
}

void HostReports::StoreRetryReport(TimePoint now, const std::string& host, const json& body) {
  if (!m_is_leader) {
    m_unsent[host].quota = body;
    return;
  }
  if (!m_retry_quotas) m_retry_quotas.emplace(now, m_expected_hosts);
  const auto report = DecodeRetryReport(body);
  if (!report) return LogRefused("retry_report_refused", host, report.error());
  const auto grant = m_retry_quotas->Allocate(now, host, report.value());
  if (grant) m_retry_grants[host] = EncodeRetryGrant(*grant);
}

void HostReports::StoreRateLimits(TimePoint now, const json& body) {
  const auto reports = DecodeRateLimitReports(now, body);
  if (!reports) return LogRefused("rate_limit_report_refused", "", reports.error());
  MergeRateLimitReports(reports.value(), &m_rate_limits);
  RemoveRateLimitReportsBefore(now - kRateLimitLifetime, &m_rate_limits);
  if (!m_is_leader) MergeRateLimitReports(reports.value(), &m_unsent_rate_limits);
}

void HostReports::StoreForwardReport(TimePoint now, const std::string& host, const json& body) {
  const auto report = DecodeForwardReport(body);
  if (!report) return LogRefused("forward_report_refused", host, report.error());
  m_forward_hosts.Store(now, host, report.value());
  if (!m_is_leader) m_unsent[host].forward = body;
}

HostReports::Sums HostReports::MakeSums(TimePoint now) {
  Sums sums;
  sums.number = m_sums.number + 1;
  sums.expires_at = now + kSumInterval;
  for (auto entry = m_counts.begin(); entry != m_counts.end();) {
    const auto current = entry++;
    const CountReport& report = current->second;
    if (now >= report.expires_at) {
      m_counts.erase(current);
      continue;
    }
    for (const auto& [service, counts] : report.by_service) {
      RetryCounts& total = sums.retries[service];
      total.requests += counts.requests;
      total.retries += counts.retries;
      ++total.hosts;
    }
    ++sums.pace.hosts;
    AddPaceCounts(report.by_server, &sums.pace.servers);
  }
  sums.encoded_retries = EncodeRetryCounts(sums.retries);
  sums.encoded_pace = EncodeFleetPace(sums.pace);
  return sums;
}

const HostReports::Sums& HostReports::CurrentSums(TimePoint now) {
  if (!m_is_leader || now < m_sums.expires_at) return m_sums;
  const TimePoint start = Clock::now();
  m_sums = MakeSums(now);
  ++m_sums_made;
  m_sum_time += Clock::now() - start;
  return m_sums;
}

void HostReports::AddSums(TimePoint now, json* reply) {
  const Sums& sums = CurrentSums(now);
  (*reply)["retries"] = sums.encoded_retries.is_null() ? json::object() : sums.encoded_retries;
  (*reply)["pace"] = sums.encoded_pace.is_null() ? EncodeFleetPace({}) : sums.encoded_pace;
  const RateLimitReports limits = FleetRateLimits(now);
  if (!limits.empty()) (*reply)["rate_limits"] = EncodeRateLimitReports(now, limits);
}

json HostReports::RetryGrantOf(const std::string& host) const {
  const auto grant = m_retry_grants.find(host);
  return grant == m_retry_grants.end() ? json() : grant->second;
}

RateLimitReports HostReports::FleetRateLimits(TimePoint now) const {
  RateLimitReports reports = m_is_leader ? m_rate_limits : m_leader_rate_limits;
  RemoveRateLimitReportsBefore(now - kRateLimitLifetime, &reports);
  return reports;
}

std::vector<ForwardHost> HostReports::ListForwardHosts(TimePoint now, const std::string& asking,
                                                       std::size_t max_hosts) const {
  const ForwardHostTable& table = m_is_leader ? m_forward_hosts : m_leader_forward_hosts;
  return table.List(now, asking, max_hosts);
}

void HostReports::StoreForwardHosts(TimePoint now, const json& hosts) {
  const auto decoded = DecodeForwardHosts(hosts);
  if (!decoded || decoded.value().empty()) return;
  m_leader_forward_hosts = {};
  for (const ForwardHost& host : decoded.value()) {
    m_leader_forward_hosts.Store(now, host.name, {host.address, ForwardState::kServing});
  }
}

std::uint32_t HostReports::KnownEntryHosts() const {
  std::uint32_t hosts = 0;
  for (const auto& [service, counts] : m_sums.retries) hosts = std::max(hosts, counts.hosts);
  return hosts;
}

std::optional<json> HostReports::TakeBatch(TimePoint now) {
  if (m_is_leader || m_batch_in_progress || now < m_next_batch_at) return std::nullopt;
  if (m_unsent.empty() && m_unsent_rate_limits.empty()) return std::nullopt;
  m_batch_in_progress = true;
  m_next_batch_at = now + kReportInterval;
  json batch = {{"sums", m_sums.number}};
  MoveUnsent(&batch);
  const RateLimitReports limits = std::exchange(m_unsent_rate_limits, {});
  if (!limits.empty()) batch["rate_limits"] = EncodeRateLimitReports(now, limits);
  return batch;
}

void HostReports::MoveUnsent(json* batch) {
  json retries = json::object();
  json pace = json::object();
  json quotas = json::object();
  json forward = json::object();
  std::size_t hosts = 0;
  std::size_t paced_servers = 0;
  auto next = m_unsent.upper_bound(m_last_sent_host);
  while (!m_unsent.empty() && hosts < kMaxHostsPerBatch) {
    if (next == m_unsent.end()) next = m_unsent.begin();
    auto& [host, report] = *next;
    paced_servers += report.pace.size();
    if (hosts > 0 && paced_servers > kMaxPacedServersPerBatch) break;
    if (!report.retries.is_null()) retries[host] = std::move(report.retries);
    if (!report.pace.empty()) pace[host] = std::move(report.pace);
    if (!report.quota.is_null()) quotas[host] = std::move(report.quota);
    if (!report.forward.is_null()) forward[host] = std::move(report.forward);
    ++hosts;
    m_last_sent_host = host;
    next = m_unsent.erase(next);
  }
  (*batch)["retry_reports"] = std::move(retries);
  (*batch)["pace_reports"] = std::move(pace);
  (*batch)["quota_reports"] = std::move(quotas);
  (*batch)["forward_reports"] = std::move(forward);
}

void HostReports::StoreAnswer(TimePoint now, const json& answer) {
  m_batch_in_progress = false;
  m_unanswered_batches = 0;
  const json grants = answer.value("retry_grants", json::object());
  for (const auto& [host, grant] : grants.items()) m_retry_grants[host] = grant;
  const json limits = answer.value("rate_limits", json::object());
  auto rate_limits = DecodeRateLimitReports(now, limits);
  if (rate_limits) m_leader_rate_limits = std::move(rate_limits).value();
  if (!answer.contains("retries")) return;
  const auto counts = DecodeRetryCounts(answer.at("retries"));
  auto pace = DecodeFleetPace(answer.value("pace", json::object()));
  if (!counts || !pace) return;
  m_sums.number = answer.value("sums", std::uint64_t{0});
  m_sums.retries = counts.value();
  m_sums.pace = std::move(pace).value();
  m_sums.encoded_retries = answer.at("retries");
  m_sums.encoded_pace = answer.at("pace");
}

void HostReports::OnBatchFailed(TimePoint now) {
  m_batch_in_progress = false;
  std::chrono::milliseconds delay = kReportRetryDelay;
  for (std::uint32_t batch = 0; batch < m_unanswered_batches && delay < kMaxReportRetryDelay;
       ++batch) {
    delay *= 2;
  }
  ++m_unanswered_batches;
  m_next_batch_at = now + std::min(delay, kMaxReportRetryDelay);
}

json HostReports::AnswerBatch(TimePoint now, const json& batch) {
  const json& pace = MemberOrEmpty(batch, "pace_reports");
  for (const auto& [host, retries] : MemberOrEmpty(batch, "retry_reports").items()) {
    StoreCounts(now, host, retries, MemberOrEmpty(pace, host.c_str()));
  }
  for (const auto& [host, report] : MemberOrEmpty(batch, "forward_reports").items()) {
    StoreForwardReport(now, host, report);
  }
  json grants = json::object();
  for (const auto& [host, report] : MemberOrEmpty(batch, "quota_reports").items()) {
    StoreRetryReport(now, host, report);
    if (json grant = RetryGrantOf(host); !grant.is_null()) grants[host] = std::move(grant);
  }
  const auto limits = batch.find("rate_limits");
  if (limits != batch.end()) StoreRateLimits(now, *limits);
  json answer = {{"retry_grants", std::move(grants)},
                 {"rate_limits", EncodeRateLimitReports(now, FleetRateLimits(now))}};
  const Sums& sums = CurrentSums(now);
  if (batch.value("sums", std::uint64_t{0}) == sums.number) return answer;
  answer["sums"] = sums.number;
  answer["retries"] = sums.encoded_retries;
  answer["pace"] = sums.encoded_pace;
  return answer;
}

}  // namespace corneltray
