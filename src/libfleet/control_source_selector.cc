#include "corneltray/control_source_selector.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace corneltray {
namespace {

// Spreads hosts over kLinkSpread by their names.
std::chrono::milliseconds LinkDelayOf(const std::string& host) {
  const auto steps = static_cast<std::uint64_t>(kLinkSpread.count());
  return std::chrono::milliseconds(XXH64(host.data(), host.size(), 0) % steps);
}

}  // namespace

void ControlSourceSelector::SetCandidates(const std::vector<ControlHost>& candidates) {
  m_candidates.clear();
  for (const ControlHost& candidate : candidates) {
    m_candidates[candidate.address] = candidate.availability_zone;
  }
}

void ControlSourceSelector::SetLinked(TimePoint now, const std::vector<LinkedControlHost>& linked) {
  std::map<std::string, Link> links;
  if (m_links.empty()) m_linked_since = now;
  for (const LinkedControlHost& control : linked) {
    const auto known = m_links.find(control.host);
    const TimePoint usable_since = known == m_links.end() ? now : known->second.usable_since;
    links[control.host] = {control.address, control.availability_zone, usable_since};
    m_host_at[control.address] = control.host;
    const auto candidate = m_candidates.find(control.address);
    if (candidate != m_candidates.end()) candidate->second = control.availability_zone;
  }
  m_links = std::move(links);
  if (!IsLinked(m_source)) m_source.clear();
}

std::vector<ControlSourceSelector::CandidateRank> ControlSourceSelector::RankCandidates(
    TimePoint now) const {
  std::vector<CandidateRank> ranking;
  ranking.reserve(m_candidates.size());
  for (const auto& [address, zone] : m_candidates) {
    ranking.emplace_back(IsLinkUnusable(now, HostAt(address)), zone != m_availability_zone,
                         SpreadOf(address), address);
  }
  std::sort(ranking.begin(), ranking.end());
  return ranking;
}

std::set<std::string> ControlSourceSelector::WantedAddresses(TimePoint now) {
  const std::size_t needed = NeededLinks(now);
  std::set<std::string> wanted;
  std::map<std::string, TimePoint> wanted_since;
  std::size_t usable = 0;
  for (const auto& [is_unusable, is_remote, spread, address] : RankCandidates(now)) {
    const bool is_linked = IsLinked(HostAt(address));
    if (usable >= needed && !m_links.empty()) {
      if (is_linked && IsCutOff(HostAt(address))) wanted.insert(address);
      continue;
    }
    wanted.insert(address);
    if (is_linked) {
      if (!is_unusable) ++usable;
      continue;
    }
    const auto since = m_wanted_since.find(address);
    const TimePoint start = since == m_wanted_since.end() ? now : since->second;
    wanted_since[address] = start;
    if (now < start + kLinkUpTimeout) ++usable;
  }
  m_wanted_since = std::move(wanted_since);
  // The source keeps its link until another one is followed.
  KeepLink(m_source, &wanted);
  // So does the control process that confirms reads while others have only just failed to.
  const bool any_cut_off = std::any_of(m_links.begin(), m_links.end(),
                                       [this](const auto& link) { return IsCutOff(link.first); });
  if (any_cut_off) KeepLink(m_last_confirmed_by, &wanted);
  return wanted;
}

void ControlSourceSelector::KeepLink(const std::string& host, std::set<std::string>* wanted) const {
  const auto link = m_links.find(host);
  if (link != m_links.end()) wanted->insert(link->second.address);
}

// With links to a majority of the control processes, one is on any side of a cut that has a
// majority of them, so further links would be of no use.
std::size_t ControlSourceSelector::NeededLinks(TimePoint now) const {
  const std::size_t majority = m_candidates.size() / 2 + 1;
  std::size_t needed = kControlLinksPerHost;
  TimePoint next = std::max(m_last_confirmed_at, m_linked_since) + kUnconfirmedLinksTimeout +
                   LinkDelayOf(m_host);
  Duration pause = kFurtherLinkPause;
  while (needed < majority && now >= next) {
    ++needed;
    next += pause;
    pause *= 2;
  }
  return needed;
}

std::optional<std::string> ControlSourceSelector::Choose(TimePoint now) const {
  using Rank = std::tuple<bool, bool, std::uint64_t>;
  const auto rank = [this, now](const std::string& host, const Link& link) {
    // The source is left once CheckSource() has found that it failed.
    const bool is_failing = IsInCooldown(now, host) || (host != m_source && IsCutOff(host));
    return Rank(is_failing, link.availability_zone != m_availability_zone, SpreadOf(link.address));
  };
  std::optional<std::string> best;
  Rank best_rank;
  for (const auto& [host, link] : m_links) {
    const bool is_too_new = !m_source.empty() && host != m_source &&
                            now < link.usable_since + kSourceReturnDelay &&
                            !IsInCooldown(now, m_source);
    if (is_too_new) continue;
    const Rank own = rank(host, link);
    if (best && own >= best_rank) continue;
    best = host;
    best_rank = own;
  }
  // If all have failed lately, another one is not expected to be better.
  if (best && std::get<0>(best_rank) && !m_source.empty()) return m_source;
  return best;
}

void ControlSourceSelector::OnFollowed(TimePoint now, const std::string& host) {
  if (host != m_source) m_followed_at = now;
  m_source = host;
  m_heard_at = now;
}

void ControlSourceSelector::OnConfirmed(TimePoint now, const std::string& host) {
  const auto link = m_links.find(host);
  if (IsCutOff(host) && link != m_links.end()) link->second.usable_since = now;
  m_failed_reads.erase(host);
  m_confirmed_at[host] = now;
  m_last_confirmed_by = host;
  m_last_confirmed_at = now;
}

void ControlSourceSelector::OnReadFailed(TimePoint now, const std::string& host) {
  m_failed_reads.emplace(host, FailedReads{now, now});
}

bool ControlSourceSelector::IsCutOff(const std::string& host) const {
  const auto failed = m_failed_reads.find(host);
  return failed != m_failed_reads.end() && m_last_confirmed_at > failed->second.first_at;
}

std::optional<std::string> ControlSourceSelector::NextProbe(TimePoint now) {
  for (auto& [host, failed] : m_failed_reads) {
    const bool is_due = now >= failed.next_probe_at;
    if (!is_due || !IsLinked(host) || !IsCutOff(host)) continue;
    failed.next_probe_at = now + kCutOffProbeInterval;
    return host;
  }
  return std::nullopt;
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

bool ControlSourceSelector::IsLinkUnusable(TimePoint now, const std::string& host) const {
  if (IsInCooldown(now, host)) return true;
  // Without a link, nothing shows whether it is still cut off.
  return IsLinked(host) && IsCutOff(host) &&
         now >= m_failed_reads.at(host).first_at + kCutOffLinkDelay;
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
