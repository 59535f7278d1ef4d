#include "corneltray/control_source_selector.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace corneltray {

void ControlSourceSelector::SetCandidates(const std::vector<ControlHost>& candidates) {
  m_candidates.clear();
  for (const ControlHost& candidate : candidates) {
    m_candidates[candidate.address] = candidate.availability_zone;
  }
}

void ControlSourceSelector::SetLinked(TimePoint now, const std::vector<LinkedControlHost>& linked) {
  std::map<std::string, Link> links;
  for (const LinkedControlHost& control : linked) {
    const auto known = m_links.find(control.host);
    const TimePoint up_since = known == m_links.end() ? now : known->second.up_since;
    links[control.host] = {control.address, control.availability_zone, up_since};
    m_host_at[control.address] = control.host;
    const auto candidate = m_candidates.find(control.address);
    if (candidate != m_candidates.end()) candidate->second = control.availability_zone;
  }
  m_links = std::move(links);
  if (!IsLinked(m_source)) m_source.clear();
}

std::set<std::string> ControlSourceSelector::WantedAddresses(TimePoint now) {
  std::vector<std::tuple<bool, bool, std::uint64_t, std::string>> ranking;
  for (const auto& [address, zone] : m_candidates) {
    ranking.emplace_back(IsInCooldown(now, HostAt(address)), zone != m_availability_zone,
                         SpreadOf(address), address);
  }
  std::sort(ranking.begin(), ranking.end());
  std::set<std::string> wanted;
  std::map<std::string, TimePoint> wanted_since;
  std::size_t usable = 0;
  for (const auto& [is_failing, is_remote, spread, address] : ranking) {
    if (usable >= kControlLinksPerHost && !m_links.empty()) break;
    wanted.insert(address);
    if (IsLinked(HostAt(address))) {
      if (!is_failing) ++usable;
      continue;
    }
    const auto since = m_wanted_since.find(address);
    const TimePoint start = since == m_wanted_since.end() ? now : since->second;
    wanted_since[address] = start;
    if (now < start + kLinkUpTimeout) ++usable;
  }
  m_wanted_since = std::move(wanted_since);
  // The source keeps its link until another one is followed.
  const auto source = m_links.find(m_source);
  if (source != m_links.end()) wanted.insert(source->second.address);
  return wanted;
}

std::optional<std::string> ControlSourceSelector::Choose(TimePoint now) const {
  using Rank = std::tuple<bool, bool, std::uint64_t>;
  const auto rank = [this, now](const std::string& host, const Link& link) {
    return Rank(IsInCooldown(now, host), link.availability_zone != m_availability_zone,
                SpreadOf(link.address));
  };
  std::optional<std::string> best;
  Rank best_rank;
  for (const auto& [host, link] : m_links) {
    const bool is_too_new = !m_source.empty() && host != m_source &&
                            now < link.up_since + kSourceReturnDelay &&
                            !IsInCooldown(now, m_source);
    if (is_too_new) continue;
    const Rank own = rank(host, link);
    if (best && own >= best_rank) continue;
    best = host;
    best_rank = own;
  }
  // If all have failed lately, another one is not expected to be better.
  if (best && IsInCooldown(now, *best) && !m_source.empty()) return m_source;
  return best;
}

void ControlSourceSelector::OnFollowed(TimePoint now, const std::string& host) {
  if (host != m_source) m_followed_at = now;
  m_source = host;
  m_heard_at = now;
}

std::optional<SourceFailure> ControlSourceSelector::FailureOfSource(TimePoint now) const {
  if (m_source.empty()) return std::nullopt;
  if (now >= m_heard_at + kSourceSilenceTimeout) return SourceFailure::kSilent;
  TimePoint source_confirmed = m_followed_at;
  TimePoint newest = {};
  for (const auto& [host, at] : m_confirmed_at) {
    if (host == m_source) source_confirmed = std::max(source_confirmed, at);
    newest = std::max(newest, at);
  }
  const bool other_confirms = newest > source_confirmed + kUnconfirmedSourceTimeout;
  if (other_confirms) return SourceFailure::kUnconfirmed;
  return std::nullopt;
}

std::optional<SourceFailure> ControlSourceSelector::CheckSource(TimePoint now) {
  const auto failure = FailureOfSource(now);
  if (!failure || IsInCooldown(now, m_source)) return std::nullopt;
  RecordFailure(now, m_source);
  return failure;
}

bool ControlSourceSelector::IsInCooldown(TimePoint now, const std::string& host) const {
  const auto failures = m_failures.find(host);
  return failures != m_failures.end() && now < failures->second.cooldown_until;
}

void ControlSourceSelector::RecordFailure(TimePoint now, const std::string& host) {
  Failures& failures = m_failures[host];
  // Failures that are long past do not lengthen the pause.
  if (now >= failures.cooldown_until + kMaxSourceCooldown) failures.count = 0;
  std::chrono::seconds cooldown = kMinSourceCooldown;
  for (std::uint32_t i = 0; i < failures.count && cooldown < kMaxSourceCooldown; ++i) cooldown *= 2;
  ++failures.count;
  failures.cooldown_until = now + std::min(cooldown, kMaxSourceCooldown);
}

std::uint64_t ControlSourceSelector::SpreadOf(const std::string& address) const {
  const std::string names = m_host + '/' + address;
  return XXH64(names.data(), names.size(), 0);
}

std::string ControlSourceSelector::HostAt(const std::string& address) const {
  const auto known = m_host_at.find(address);
  return known == m_host_at.end() ? "" : known->second;
}

}  // namespace corneltray
