#include "corneltray/crash_attribution.h"

#include <algorithm>
#include <iterator>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

std::set<std::string> Intersection(const std::set<std::string>& a, const std::set<std::string>& b) {
  std::set<std::string> common;
  std::set_intersection(a.begin(), a.end(), b.begin(), b.end(),
                        std::inserter(common, common.begin()));
  return common;
}

milliseconds TrialDelay(std::uint32_t crashes) {
  milliseconds delay = kTrialDelay;
  for (std::uint32_t crash = kCrashesBeforeQuarantine; crash < crashes; ++crash) {
    delay *= kTrialDelayGrowth;
    if (delay >= kMaxTrialDelay) return kMaxTrialDelay;
  }
  return delay;
}

}  // namespace

std::uint32_t CrashAttribution::CountCrashes(const Part& part, CrashPhase from) const {
  std::vector<TimePoint> times;
  for (const auto& [incarnation, crash] : part.crashes) {
    const bool counts = crash.phase == CrashPhase::kBeforeFirstEvent ||
                        (from == CrashPhase::kBeforeHead && m_explained.count(incarnation) == 0);
    if (counts) times.push_back(crash.at);
  }
  std::sort(times.begin(), times.end());
  std::uint32_t count = 0;
  TimePoint window_end{};
  TimePoint gap_end{};
  for (const TimePoint at : times) {
    const bool has_own_cause = count == 0 || at >= window_end || at >= gap_end;
    gap_end = at + kCommonCauseGap;
    if (!has_own_cause) continue;
    window_end = at + kCommonCauseWindow;
    ++count;
  }
  return count;
}

CrashCounts CrashAttribution::CountKnown(const Part& part) const {
  return {CountCrashes(part, CrashPhase::kBeforeFirstEvent),
          CountCrashes(part, CrashPhase::kBeforeHead)};
}

CrashCounts CrashAttribution::CountAll(const Part& part) const {
  const CrashCounts known = CountKnown(part);
  return {known.begun + part.crashes_elsewhere.begun, known.all + part.crashes_elsewhere.all};
}

bool CrashAttribution::IsCause(const Part& part) const {
  const std::uint32_t clearances = std::min(part.clearances, kMaxClearances);
  const CrashCounts crashes = CountAll(part);
  return crashes.begun >= kCrashesBeforeQuarantine + clearances ||
         crashes.all >= kEarlyCrashesBeforeQuarantine + clearances;
}

void CrashAttribution::OnCrash(TimePoint now, const CrashReport& report) {
  Expire(now);
  const Incarnation incarnation{report.upstream, report.incarnation};
  if (report.phase == CrashPhase::kBeforeFirstEvent) {
    m_explained[incarnation] = now + kEvidenceLifetime;
  }
  for (const std::string& name : report.parts) {
    if (m_parts.size() >= kMaxTrackedParts && m_parts.count(name) == 0) continue;
    Part& part = m_parts[name];
    const auto known = part.crashes.find(incarnation);
    if (known != part.crashes.end() && known->second.phase >= report.phase) continue;
    const bool had_begun = CountAll(part).begun > 0;
    // A later report tells more about the same crash.
    const TimePoint at = known == part.crashes.end() ? now : known->second.at;
    part.crashes[incarnation] = {at, report.sequence, report.phase};
    // A request in the queue says nothing about a part that was present in answers that had begun.
    if (report.phase == CrashPhase::kBeforeHead && had_begun) continue;
    const bool is_first_begun = report.phase == CrashPhase::kBeforeFirstEvent && !had_begun;
    SetCompanions(report, is_first_begun, &part);
    Suspect(now, &part);
    if (part.state == PartState::kQuarantined || IsCause(part)) Quarantine(now, &part);
  }
}

// Narrows the companions to the parts of this request.
void CrashAttribution::SetCompanions(const CrashReport& report, bool is_first, Part* part) {
  const std::set<std::string> present(report.parts.begin(), report.parts.end());
  const bool is_new = is_first || part->state == PartState::kSound;
  part->companions = is_new ? present : Intersection(part->companions, present);
}

void CrashAttribution::Suspect(TimePoint now, Part* part) {
  if (part->state == PartState::kSound) part->state = PartState::kSuspected;
  part->expires_at = std::max(part->expires_at, now + kEvidenceLifetime);
  part->is_changed = true;
}

void CrashAttribution::Quarantine(TimePoint now, Part* part) const {
  if (part->state != PartState::kQuarantined) {
    ++part->generation;
    part->is_tried_early = false;
  }
  part->state = PartState::kQuarantined;
  part->trial_at = std::max(part->trial_at, now + TrialDelay(CountAll(*part).all));
  part->next_grant_at = part->trial_at;
  part->expires_at = part->trial_at + kMaxTrialDelay;
  part->is_urgent = true;
}

void CrashAttribution::Clear(TimePoint now, Part* part) {
  const bool was_quarantined = part->state == PartState::kQuarantined;
  if (was_quarantined) ++part->generation;
  ++part->clearances;
  Reset(now, part);
  part->is_changed = true;
  part->is_urgent = was_quarantined;
}

void CrashAttribution::Reset(TimePoint now, Part* part) {
  Part sound;
  sound.generation = part->generation;
  sound.clearances = part->clearances;
  sound.is_told = part->is_told;
  sound.expires_at = now + kSoundRetention;
  *part = std::move(sound);
}

void CrashAttribution::OnAnswerBegun(TimePoint now, const std::vector<std::string>& parts) {
  for (const std::string& name : parts) {
    const auto part = m_parts.find(name);
    if (part == m_parts.end() || part->second.state == PartState::kSound) continue;
    Clear(now, &part->second);
    for (auto& [other, suspected] : m_parts) suspected.companions.erase(name);
  }
}

void CrashAttribution::DropDisproved(TimePoint now, const UpstreamTable& upstreams) {
  for (auto& [name, part] : m_parts) {
    const std::size_t before = part.crashes.size();
    for (auto crash = part.crashes.begin(); crash != part.crashes.end();) {
      const UpstreamTableEntry* upstream = upstreams.Find(crash->first.first);
      const bool is_disproved =
          upstream != nullptr && upstream->announcement.incarnation == crash->first.second &&
          upstream->announcement.sequence >= crash->second.sequence + kAnnouncementsDisprovingCrash;
      crash = is_disproved ? part.crashes.erase(crash) : std::next(crash);
    }
    if (part.crashes.size() == before) continue;
    const std::size_t needed = part.state == PartState::kQuarantined ? kCrashesBeforeQuarantine : 1;
    if (part.crashes.size() < needed) Clear(now, &part);
  }
}

void CrashAttribution::Merge(TimePoint now, const std::vector<PartVerdict>& verdicts) {
  Expire(now);
  for (const PartVerdict& verdict : verdicts) {
    if (m_parts.size() >= kMaxTrackedParts && m_parts.count(verdict.part) == 0) continue;
    MergeOne(now, verdict, &m_parts[verdict.part]);
  }
}

void CrashAttribution::MergeCrashes(const PartVerdict& verdict, Part* part) const {
  const auto beyond = [](std::uint32_t told, std::uint32_t known) {
    return told > known ? told - known : 0;
  };
  const CrashCounts known = CountKnown(*part);
  CrashCounts& elsewhere = part->crashes_elsewhere;
  elsewhere.begun = std::max(elsewhere.begun, beyond(verdict.crashes.begun, known.begun));
  elsewhere.all = std::max(elsewhere.all, beyond(verdict.crashes.all, known.all));
}

void CrashAttribution::MergeOne(TimePoint now, const PartVerdict& verdict, Part* part) const {
  if (verdict.generation < part->generation) return;
  const bool is_newer = verdict.generation > part->generation;
  part->generation = verdict.generation;
  switch (verdict.state) {
    case PartState::kQuarantined: {
      const std::set<std::string> told(verdict.companions.begin(), verdict.companions.end());
      const bool is_known = part->state != PartState::kSound && !is_newer;
      part->companions = is_known ? Intersection(part->companions, told) : told;
      part->state = PartState::kQuarantined;
      MergeCrashes(verdict, part);
      part->trial_at = std::max(part->trial_at, now + verdict.trial_in);
      part->next_grant_at = std::max(part->next_grant_at, part->trial_at);
      part->expires_at = part->trial_at + kMaxTrialDelay;
      return;
    }
    case PartState::kSuspected:
      if (is_newer || part->state == PartState::kSound) {
        part->state = PartState::kSuspected;
        part->companions = {verdict.companions.begin(), verdict.companions.end()};
      }
      MergeCrashes(verdict, part);
      part->expires_at = std::max(part->expires_at, now + kEvidenceLifetime);
      return;
    case PartState::kSound: {
      // This process may have seen a crash that the sender did not know.
      const bool is_own_suspicion = !is_newer && !part->crashes.empty();
      if (is_own_suspicion) return;
      Reset(now, part);
      return;
    }
  }
}

bool CrashAttribution::GrantTrial(TimePoint now, const std::string& name, TrialReason reason) {
  const auto found = m_parts.find(name);
  if (found == m_parts.end() || found->second.state != PartState::kQuarantined) return true;
  Part& part = found->second;
  const bool is_early = reason == TrialReason::kBegunBefore && !part.is_tried_early;
  if (!is_early && now < part.next_grant_at) return false;
  part.is_tried_early = true;
  part.next_grant_at = std::max(part.trial_at, now + kTrialTimeout);
  return true;
}

PartState CrashAttribution::StateOf(TimePoint now, const std::string& name) const {
  const auto part = m_parts.find(name);
  const bool is_known = part != m_parts.end() && now < part->second.expires_at;
  return is_known ? part->second.state : PartState::kSound;
}

std::vector<std::string> CrashAttribution::FindQuarantined(
    TimePoint now, const std::vector<std::string>& parts) const {
  const auto is_present = [&parts](const std::string& part) {
    return std::find(parts.begin(), parts.end(), part) != parts.end();
  };
  std::vector<std::string> quarantined;
  for (const std::string& name : parts) {
    if (StateOf(now, name) != PartState::kQuarantined) continue;
    const std::set<std::string>& companions = m_parts.at(name).companions;
    const bool applies =
        std::all_of(companions.begin(), companions.end(), [&](const std::string& companion) {
          return is_present(companion) || StateOf(now, companion) == PartState::kSound;
        });
    if (applies) quarantined.push_back(name);
  }
  return quarantined;
}

PartVerdict CrashAttribution::VerdictOn(TimePoint now, const std::string& name) const {
  const auto part = m_parts.find(name);
  if (part == m_parts.end()) return {name, PartState::kSound, 0, {}, milliseconds(0), {}};
  return MakeVerdict(now, name, part->second);
}

PartVerdict CrashAttribution::MakeVerdict(TimePoint now, const std::string& name,
                                          const Part& part) const {
  PartVerdict verdict;
  verdict.part = name;
  verdict.state = part.state;
  verdict.generation = part.generation;
  verdict.crashes = CountAll(part);
  if (part.state == PartState::kQuarantined && part.trial_at > now) {
    verdict.trial_in = std::chrono::duration_cast<milliseconds>(part.trial_at - now);
  }
  for (const std::string& companion : part.companions) {
    if (companion != name) verdict.companions.push_back(companion);
  }
  return verdict;
}

bool CrashAttribution::HasUrgentChange() const {
  return std::any_of(m_parts.begin(), m_parts.end(),
                     [](const auto& part) { return part.second.is_urgent; });
}

std::vector<PartVerdict> CrashAttribution::TakeChanges(TimePoint now) {
  std::vector<PartVerdict> changes;
  for (auto& [name, part] : m_parts) {
    if (!std::exchange(part.is_changed, false)) continue;
    part.is_urgent = false;
    const bool counts = CountCrashes(part, CrashPhase::kBeforeHead) > 0;
    if (part.state == PartState::kSuspected && !counts) continue;
    if (part.state == PartState::kSound && !part.is_told) continue;
    part.is_told = part.state != PartState::kSound;
    changes.push_back(MakeVerdict(now, name, part));
  }
  return changes;
}

std::vector<PartVerdict> CrashAttribution::Verdicts(TimePoint now) const {
  std::vector<PartVerdict> verdicts;
  for (const auto& [name, part] : m_parts) verdicts.push_back(MakeVerdict(now, name, part));
  return verdicts;
}

void CrashAttribution::Expire(TimePoint now) {
  for (auto part = m_parts.begin(); part != m_parts.end();) {
    part = now >= part->second.expires_at ? m_parts.erase(part) : std::next(part);
  }
  for (auto crash = m_explained.begin(); crash != m_explained.end();) {
    crash = now >= crash->second ? m_explained.erase(crash) : std::next(crash);
  }
}

}  // namespace corneltray
