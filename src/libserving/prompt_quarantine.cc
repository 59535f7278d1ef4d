#include "corneltray/prompt_quarantine.h"

#include <algorithm>
#include <utility>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

// Old entries are removed when this many parts are remembered.
constexpr std::size_t kMaxBegunParts = 4096;

milliseconds TimeUntil(TimePoint now, TimePoint then) {
  return std::chrono::duration_cast<milliseconds>(then - now);
}

}  // namespace

PromptDecision PromptQuarantine::Admit(TimePoint now, const std::vector<std::string>& parts) {
  const std::vector<std::string> quarantined = m_attribution.FindQuarantined(now, parts);
  // No trial is asked for while another part of the prompt is refused.
  PromptDecision decision;
  for (const std::string& part : quarantined) {
    PromptDecision of_part = CheckPart(now, part);
    if (of_part.admission == PromptAdmission::kRefused) return of_part;
    if (of_part.admission == PromptAdmission::kAwaitingTrial) decision = of_part;
  }
  for (const std::string& part : quarantined) {
    if (decision.admission == PromptAdmission::kAwaitingTrial) {
      RequestTrial(now, part);
    } else {
      m_trials.erase(part);
    }
  }
  return decision;
}

PromptDecision PromptQuarantine::CheckPart(TimePoint now, const std::string& part) const {
  const milliseconds trial_in = m_attribution.VerdictOn(now, part).trial_in;
  const auto found = m_trials.find(part);
  const Trial trial = found == m_trials.end() ? Trial{} : found->second;
  if (now < trial.usable_until) return {};
  if (trial.is_requested) return {PromptAdmission::kAwaitingTrial, part, {}};
  const bool may_try_early = !trial.is_early_refused && HasBegunWithin(now, part, kBegunRetention);
  if (trial_in > milliseconds(0) && !may_try_early) {
    return {PromptAdmission::kRefused, part, trial_in};
  }
  if (now < trial.next_request_at) {
    return {PromptAdmission::kRefused, part, TimeUntil(now, trial.next_request_at)};
  }
  return {PromptAdmission::kAwaitingTrial, part, {}};
}

void PromptQuarantine::RequestTrial(TimePoint now, const std::string& part) {
  Trial& trial = m_trials[part];
  if (now < trial.usable_until || std::exchange(trial.is_requested, true)) return;
  const PartVerdict verdict = m_attribution.VerdictOn(now, part);
  const bool is_due = verdict.trial_in <= milliseconds(0);
  m_actions.emplace_back(
      TrialRequest{verdict, is_due ? TrialReason::kDelayElapsed : TrialReason::kBegunBefore});
}

bool PromptQuarantine::HasBegunWithin(TimePoint now, const std::string& part, Duration time) const {
  const auto begun = m_begun_at.find(part);
  return begun != m_begun_at.end() && now < begun->second + time;
}

bool PromptQuarantine::IsQuarantined(TimePoint now, const std::vector<std::string>& parts) const {
  return !m_attribution.FindQuarantined(now, parts).empty();
}

bool PromptQuarantine::IsToBeTakenBack(TimePoint now, const std::vector<std::string>& parts) const {
  const std::vector<std::string> quarantined = m_attribution.FindQuarantined(now, parts);
  return std::any_of(quarantined.begin(), quarantined.end(), [&](const std::string& part) {
    return !HasBegunWithin(now, part, kBegunRetention);
  });
}

void PromptQuarantine::OnCrash(TimePoint now, CrashReport report) {
  const auto has_begun = [this, now](const std::string& part) {
    return HasBegunWithin(now, part, kRecentlyBegun);
  };
  report.parts.erase(std::remove_if(report.parts.begin(), report.parts.end(), has_begun),
                     report.parts.end());
  if (report.parts.empty()) return;
  if (report.parts.size() > kMaxReportedParts) report.parts.resize(kMaxReportedParts);
  m_attribution.OnCrash(now, report);
  m_actions.emplace_back(std::move(report));
}

void PromptQuarantine::OnAnswerBegun(TimePoint now, const std::vector<std::string>& parts) {
  RememberBegun(now, parts);
  AnswerBegun cleared;
  for (const std::string& part : parts) {
    if (m_attribution.StateOf(now, part) != PartState::kSound) cleared.parts.push_back(part);
  }
  if (cleared.parts.empty()) return;
  m_attribution.OnAnswerBegun(now, cleared.parts);
  m_actions.emplace_back(std::move(cleared));
}

void PromptQuarantine::RememberBegun(TimePoint now, const std::vector<std::string>& parts) {
  if (m_begun_at.size() + parts.size() > kMaxBegunParts) {
    for (auto part = m_begun_at.begin(); part != m_begun_at.end();) {
      part = now >= part->second + kBegunRetention ? m_begun_at.erase(part) : std::next(part);
    }
    if (m_begun_at.size() + parts.size() > kMaxBegunParts) m_begun_at.clear();
  }
  for (const std::string& part : parts) m_begun_at[part] = now;
}

void PromptQuarantine::Merge(TimePoint now, const std::vector<PartVerdict>& verdicts) {
  m_attribution.Merge(now, verdicts);
  for (const PartVerdict& verdict : verdicts) {
    if (m_attribution.StateOf(now, verdict.part) == PartState::kSound) {
      m_trials.erase(verdict.part);
    }
  }
}

void PromptQuarantine::OnTrialAnswered(TimePoint now, const std::string& part, bool is_granted) {
  const auto found = m_trials.find(part);
  if (found == m_trials.end()) return;
  Trial& trial = found->second;
  trial.is_requested = false;
  trial.is_early_refused = !is_granted;
  trial.next_request_at = now + kTrialRequestInterval;
  if (is_granted) trial.usable_until = now + kTrialUseTimeout;
}

bool PromptQuarantine::GrantTrial(TimePoint now, const TrialRequest& request) {
  return m_attribution.GrantTrial(now, request.verdict.part, request.reason);
}

std::vector<QuarantineAction> PromptQuarantine::TakeActions() {
  return std::exchange(m_actions, {});
}

std::size_t PromptQuarantine::QuarantinedCount(TimePoint now) const {
  const std::vector<PartVerdict> verdicts = m_attribution.Verdicts(now);
  return static_cast<std::size_t>(std::count_if(
      verdicts.begin(), verdicts.end(),
      [](const PartVerdict& verdict) { return verdict.state == PartState::kQuarantined; }));
}

}  // namespace corneltray
