#include "corneltray/upstream_backoff.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace corneltray {
namespace {

// Entry hosts that a host assumes to share a limit until it is told their number.
constexpr double kAssumedHosts = 50.0;
// The hosts together ask an upstream this often whether a low limit, or one of zero, still holds.
constexpr double kMinRate = 1.0 / 30;  // requests a second
// A host that could not reach the control processes for a short time still reports an end to them.
constexpr std::chrono::seconds kLimitEndReportTime{30};

// Returns the time between two requests of each host to an upstream that names a limit.
std::chrono::duration<double> Interval(double requests_per_s, std::uint32_t hosts) {
  const double sharing = hosts == 0 ? kAssumedHosts : hosts;
  return std::chrono::duration<double>(sharing / std::max(requests_per_s, kMinRate));
}

}  // namespace

void UpstreamBackoff::SetHosts(TimePoint now, std::uint32_t hosts) {
  const std::uint32_t before = std::exchange(m_hosts, hosts);
  if (before == hosts) return;
  for (auto& [name, entry] : m_entries) {
    if (!entry.limit || entry.limit->next_request_at <= now) continue;
    const double rate = entry.limit->requests_per_s;
    const std::chrono::duration<double> left = entry.limit->next_request_at - now;
    const auto scaled = left * (Interval(rate, hosts) / Interval(rate, before));
    entry.limit->next_request_at = now + std::chrono::duration_cast<Duration>(scaled);
  }
}

bool UpstreamBackoff::MarkLeaving(const std::string& upstream, std::uint64_t incarnation) {
  Entry& entry = EntryOf(upstream, incarnation);
  return std::exchange(entry.end, TimePoint::max()) != TimePoint::max();
}

void UpstreamBackoff::Pause(const std::string& upstream, std::uint64_t incarnation, TimePoint end) {
  Entry& entry = EntryOf(upstream, incarnation);
  entry.end = std::max(entry.end, end);
}

bool UpstreamBackoff::SetRateLimit(TimePoint now, const std::string& upstream,
                                   std::uint64_t incarnation, TimePoint sent_at,
                                   std::optional<double> requests_per_s) {
  if (!requests_per_s) return EndRateLimit(now, upstream, incarnation, sent_at);
  Entry& entry = EntryOf(upstream, incarnation);
  entry.limit_end.reset();
  std::optional<RateLimit>& limit = entry.limit;
  if (!limit) {
    limit = RateLimit{*requests_per_s, now, sent_at, now + FirstInterval(*requests_per_s)};
    return true;
  }
  const bool is_new = limit->requests_per_s != *requests_per_s;
  limit->requests_per_s = *requests_per_s;
  limit->named_at = now;
  limit->as_of = std::max(limit->as_of, sent_at);
  limit->next_request_at = std::min(limit->next_request_at, now + IntervalOf(*requests_per_s));
  return is_new;
}

bool UpstreamBackoff::EndRateLimit(TimePoint now, const std::string& upstream,
                                   std::uint64_t incarnation, TimePoint sent_at) {
  const auto known = m_entries.find(upstream);
  if (known == m_entries.end() || known->second.incarnation != incarnation) return false;
  Entry& entry = known->second;
  if (!entry.limit) {
    if (entry.limit_end) entry.limit_end->as_of = std::max(entry.limit_end->as_of, sent_at);
    return false;
  }
  // An answer to an older request may have been begun before the limit was named.
  if (sent_at <= entry.limit->named_at) return false;
  entry.limit.reset();
  entry.limit_end = RateLimitEnd{sent_at, now + kLimitEndReportTime};
  return true;
}

RateLimitReports UpstreamBackoff::OwnRateLimits(TimePoint now) const {
  RateLimitReports reports;
  for (const auto& [name, entry] : m_entries) {
    if (entry.limit) {
      reports[name] = {entry.incarnation, entry.limit->requests_per_s, entry.limit->as_of};
    } else if (entry.limit_end && now < entry.limit_end->report_until) {
      reports[name] = {entry.incarnation, std::nullopt, entry.limit_end->as_of};
    }
  }
  return reports;
}

std::vector<std::string> UpstreamBackoff::SetFleetRateLimits(TimePoint now,
                                                             const RateLimitReports& reports) {
  std::vector<std::string> changed;
  for (const auto& [name, report] : reports) {
    const auto known = m_entries.find(name);
    if (known == m_entries.end() || known->second.incarnation != report.incarnation) continue;
    std::optional<RateLimit>& limit = known->second.limit;
    if (!limit || report.as_of <= limit->as_of) continue;
    if (!report.requests_per_s) {
      limit.reset();
    } else if (*report.requests_per_s != limit->requests_per_s) {
      limit->requests_per_s = *report.requests_per_s;
      const TimePoint next = now + FirstInterval(*report.requests_per_s);
      limit->next_request_at = std::min(limit->next_request_at, next);
    } else {
      continue;
    }
    changed.push_back(name);
  }
  return changed;
}

void UpstreamBackoff::RecordRequest(TimePoint now, const std::string& upstream) {
  const auto entry = m_entries.find(upstream);
  if (entry == m_entries.end() || !entry->second.limit) return;
  RateLimit& limit = *entry->second.limit;
  limit.next_request_at = std::max(now, limit.next_request_at) + IntervalOf(limit.requests_per_s);
}

Duration UpstreamBackoff::IntervalOf(double requests_per_s) const {
  return std::chrono::duration_cast<Duration>(Interval(requests_per_s, m_hosts));
}

Duration UpstreamBackoff::FirstInterval(double requests_per_s) {
  std::uniform_real_distribution<double> part(0.0, 1.0);
  return std::chrono::duration_cast<Duration>(IntervalOf(requests_per_s) * part(m_random));
}

UpstreamBackoff::Entry& UpstreamBackoff::EntryOf(const std::string& upstream,
                                                 std::uint64_t incarnation) {
  Entry& entry = m_entries[upstream];
  if (entry.incarnation != incarnation) {
    entry = {incarnation, TimePoint{}, std::nullopt, std::nullopt};
  }
  return entry;
}

const UpstreamBackoff::Entry* UpstreamBackoff::Find(const Announcement& upstream) const {
  const auto entry = m_entries.find(upstream.name);
  const bool is_current =
      entry != m_entries.end() && entry->second.incarnation == upstream.incarnation;
  return is_current ? &entry->second : nullptr;
}

TimePoint UpstreamBackoff::EndFor(const Announcement& upstream) const {
  const Entry* entry = Find(upstream);
  if (entry == nullptr) return {};
  return entry->limit ? std::max(entry->end, entry->limit->next_request_at) : entry->end;
}

void UpstreamBackoff::AddBlocked(TimePoint now, const UpstreamTable& upstreams,
                                 std::set<std::string>* addresses) const {
  for (const auto& [name, entry] : m_entries) {
    const UpstreamTableEntry* record = upstreams.Find(name);
    if (record == nullptr || EndFor(record->announcement) <= now) continue;
    addresses->insert(record->announcement.address);
  }
}

std::optional<TimePoint> UpstreamBackoff::EndOfPause(TimePoint now, const UpstreamTable& upstreams,
                                                     const std::string& service) const {
  if (m_entries.empty()) return std::nullopt;
  TimePoint first = TimePoint::max();
  for (const auto& [name, record] : upstreams.Records()) {
    if (record.announcement.service != service || !record.IsReady()) continue;
    const TimePoint end = EndFor(record.announcement);
    if (end <= now) return std::nullopt;
    first = std::min(first, end);
  }
  if (first == TimePoint::max()) return std::nullopt;
  return first;
}

std::optional<TimePoint> UpstreamBackoff::EndOfInterval(TimePoint now,
                                                        const UpstreamTable& upstreams,
                                                        const std::string& service) const {
  std::optional<TimePoint> first;
  for (const auto& [name, entry] : m_entries) {
    const UpstreamTableEntry* record = upstreams.Find(name);
    if (record == nullptr || !record->IsReady() || !entry.limit || entry.end > now) continue;
    if (record->announcement.service != service || Find(record->announcement) == nullptr) continue;
    const TimePoint next = entry.limit->next_request_at;
    if (next > now && (!first || next < *first)) first = next;
  }
  return first;
}

void UpstreamBackoff::RemoveObsolete(const UpstreamTable& upstreams) {
  for (auto entry = m_entries.begin(); entry != m_entries.end();) {
    const UpstreamTableEntry* record = upstreams.Find(entry->first);
    const bool is_current =
        record != nullptr && record->announcement.incarnation == entry->second.incarnation;
    entry = is_current ? std::next(entry) : m_entries.erase(entry);
  }
}

}  // namespace corneltray
