#include "corneltray/fetch_scheduler.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace corneltray {

void FetchScheduler::OnVersionCommitted(TimePoint now, const std::string& control_host,
                                        std::uint64_t version) {
  if (version < m_newest) return;
  if (version > m_newest) {
    m_newest = version;
    m_newest_announced_at = now;
    m_announcers.clear();
    // A newer table is sent without a confirmed read, whose failures the pause is for.
    m_retry_not_before = {};
    m_failed_at = {};
  }
  m_announcers.insert(control_host);
}

std::optional<std::string> FetchScheduler::NextFetch(TimePoint now,
                                                     std::vector<ControlCandidate> candidates,
                                                     std::uint64_t held) {
  const std::vector<std::string> order = m_ranking.Order(now, std::move(candidates));
  if (order.empty()) return std::nullopt;
  if (!m_in_progress.empty()) return NextHedge(now, order);
  if (now < m_not_before) return std::nullopt;
  // One that has not failed lately may be on the other side of a cut, and is asked at once.
  const TimePoint retry_at = m_newest > held ? m_failed_at + kMinFetchBackoff : m_retry_not_before;
  if (now < retry_at && m_ranking.HasFailed(now, order.front())) return std::nullopt;
  if (m_newest > held) {
    if (const auto announcer = AnnouncerOf(now, order)) return Begin(now, *announcer);
  }
  if (now < m_next_confirm && !m_is_expedited) return std::nullopt;
  return Begin(now, order.front());
}

std::string FetchScheduler::Preferred(TimePoint now,
                                      std::vector<ControlCandidate> candidates) const {
  return m_ranking.Order(now, std::move(candidates)).front();
}

// New fetches begin with other control processes than those that are slow to answer this one.
std::optional<std::string> FetchScheduler::NextHedge(TimePoint now,
                                                     const std::vector<std::string>& order) {
  const bool is_due = now >= m_last_begin + kFetchHedgeDelay;
  if (!is_due || m_in_progress.size() >= kMaxConcurrentFetches) return std::nullopt;
  for (const auto& [host, fetch] : m_in_progress) m_ranking.RecordFailure(now, host);
  if (m_hedges < 1.0) return std::nullopt;
  for (const std::string& host : order) {
    if (m_in_progress.count(host) > 0 || m_ranking.HasFailed(now, host)) continue;
    m_hedges -= 1.0;
    return Begin(now, host);
  }
  return std::nullopt;
}

std::optional<std::string> FetchScheduler::AnnouncerOf(
    TimePoint now, const std::vector<std::string>& order) const {
  if (m_announcers.count(order.front()) > 0) return order.front();
  if (now < m_newest_announced_at + kAnnouncementWait) return std::nullopt;
  const auto announcer = std::find_if(order.begin(), order.end(), [this](const std::string& host) {
    return m_announcers.count(host) > 0;
  });
  if (announcer == order.end()) return std::nullopt;
  return *announcer;
}

std::string FetchScheduler::Begin(TimePoint now, const std::string& control_host) {
  m_is_expedited = false;
  const bool has_announced = m_announcers.count(control_host) > 0;
  m_in_progress[control_host] = {now, has_announced ? m_newest : 0};
  m_last_begin = now;
  return control_host;
}

void FetchScheduler::OnAnswered(const std::string& control_host, bool is_confirmed) {
  const auto fetch = m_in_progress.extract(control_host);
  if (fetch.empty()) return;
  m_ranking.RecordAnswer(control_host);
  m_failures = 0;
  m_hedges = std::min(m_hedges + kFetchHedgeShare, kMaxFetchHedges);
  // One that restarted may answer with an older version than it announced; it is not asked in a
  // loop.
  if (fetch.mapped().announced == m_newest) m_announcers.erase(control_host);
  if (!is_confirmed) return;
  m_next_confirm = std::max(m_next_confirm, fetch.mapped().started_at + kConfirmInterval);
}

void FetchScheduler::OnFailed(TimePoint now, const std::string& control_host) {
  m_in_progress.erase(control_host);
  m_ranking.RecordFailure(now, control_host);
  m_not_before = now + kFetchRetryDelay;
  m_failed_at = now;
  ++m_failures;
  m_retry_not_before = now + Backoff();
}

Duration FetchScheduler::Backoff() const {
  Duration backoff = kMinFetchBackoff;
  for (std::uint32_t failure = 1; failure < m_failures && backoff < kMaxFetchBackoff; ++failure) {
    backoff *= 2;
  }
  backoff = std::min<Duration>(backoff, kMaxFetchBackoff);
  constexpr std::uint64_t kSteps = 1000;
  const std::uint64_t hash = XXH64(m_host.data(), m_host.size(), m_failures);
  const double position = static_cast<double>(hash % kSteps) / kSteps;
  const double factor = 1.0 + kFetchRetryJitter * (2.0 * position - 1.0);
  return std::chrono::duration_cast<Duration>(backoff * factor);
}

}  // namespace corneltray
