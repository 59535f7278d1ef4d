// What upstreams asked an entry host for in their responses: no requests, or fewer.
#include <chrono>

#include "corneltray/gateway.h"
#include "corneltray/log.h"

namespace corneltray {

void Gateway::ReportLeaving(const std::string& upstream, std::uint64_t incarnation) {
  if (!m_backoff.MarkLeaving(upstream, incarnation)) return;
  m_metrics.Count("upstream_backoffs", "leaving");
  LogEvent(LogLevel::kInfo, "upstream_leaving",
           {{"upstream", upstream}, {"incarnation", incarnation}});
}

void Gateway::ReportPause(const std::string& upstream, std::uint64_t incarnation,
                          std::chrono::milliseconds pause) {
  m_backoff.Pause(upstream, incarnation, Clock::now() + pause);
  m_metrics.Count("upstream_backoffs", "retry_after");
  LogEvent(LogLevel::kInfo, "upstream_paused",
           {{"upstream", upstream}, {"incarnation", incarnation}, {"pause_ms", pause.count()}});
}

void Gateway::ReportRateLimit(const std::string& upstream, std::uint64_t incarnation,
                              TimePoint sent_at, std::optional<double> requests_per_s) {
  if (!m_backoff.SetRateLimit(Clock::now(), upstream, incarnation, sent_at, requests_per_s)) return;
  m_metrics.Count("upstream_backoffs", requests_per_s ? "rate_limit" : "rate_limit_ended");
  LogEvent(LogLevel::kInfo, "upstream_limited",
           {{"upstream", upstream},
            {"incarnation", incarnation},
            {"is_limited", requests_per_s.has_value()},
            {"requests_per_s", requests_per_s.value_or(0.0)},
            {"told_by", "upstream"},
            {"hosts", m_hosts.Count()}});
}

void Gateway::SetFleetRateLimits(const RateLimitReports& reports) {
  for (const std::string& upstream : m_backoff.SetFleetRateLimits(Clock::now(), reports)) {
    const RateLimitReport& report = reports.at(upstream);
    m_metrics.Count("upstream_backoffs", report.requests_per_s ? "rate_limit" : "rate_limit_ended");
    LogEvent(LogLevel::kInfo, "upstream_limited",
             {{"upstream", upstream},
              {"incarnation", report.incarnation},
              {"is_limited", report.requests_per_s.has_value()},
              {"requests_per_s", report.requests_per_s.value_or(0.0)},
              {"told_by", "fleet"},
              {"hosts", m_hosts.Count()}});
  }
}

void Gateway::RecordRequestTo(const std::string& upstream) {
  m_backoff.RecordRequest(Clock::now(), upstream);
}

void Gateway::AddBlocked(TimePoint now, std::set<std::string>* addresses) const {
  m_backoff.AddBlocked(now, m_upstreams, addresses);
}

std::optional<std::chrono::milliseconds> Gateway::RemainingPause(TimePoint now,
                                                                 const std::string& service) const {
  std::optional<TimePoint> end = m_backoff.EndOfPause(now, m_upstreams, service);
  if (!end) end = EndOfRateInterval(now, service);
  if (!end) return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(*end - now);
}

std::optional<TimePoint> Gateway::EndOfRateInterval(TimePoint now,
                                                    const std::string& service) const {
  return m_backoff.EndOfInterval(now, m_upstreams, service);
}

}  // namespace corneltray
