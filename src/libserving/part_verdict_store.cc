#include "corneltray/part_verdict_store.h"

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

namespace corneltray {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr UnixMs kTrialTimeToleranceMs = milliseconds(kTrialTimeTolerance).count();

milliseconds RetentionOf(PartState state) {
  switch (state) {
    case PartState::kSound:
      return kSoundRetention;
    case PartState::kSuspected:
      return kEvidenceLifetime;
    case PartState::kQuarantined:
      return kMaxTrialDelay;
  }
  return kMaxTrialDelay;
}

// A verdict is kept as long as CrashAttribution keeps it. It then counts generations from 0 again,
// so that a longer memory here would take a new verdict for an old one.
UnixMs ExpiryOf(const StoredPartVerdict& verdict) {
  return verdict.trial_at + RetentionOf(verdict.state).count();
}

bool HasMoreCrashes(const StoredPartVerdict& verdict, const StoredPartVerdict& held) {
  return verdict.begun_crashes > held.begun_crashes || verdict.crashes > held.crashes;
}

// Whether a verdict says more than the one that is held. Returns false for a repetition. Only the
// leader records verdicts, so of two with the same generation the later one is right.
bool Supersedes(const StoredPartVerdict& verdict, const StoredPartVerdict& held) {
  if (verdict.generation != held.generation) return verdict.generation > held.generation;
  if (verdict.state != held.state) return true;
  switch (verdict.state) {
    case PartState::kSound:
      return false;
    case PartState::kSuspected:
      return HasMoreCrashes(verdict, held);
    case PartState::kQuarantined:
      return HasMoreCrashes(verdict, held) || verdict.trial_at > held.trial_at;
  }
  return false;
}

// Adds what an earlier verdict in the same state knows.
void Combine(const StoredPartVerdict& earlier, StoredPartVerdict* verdict) {
  if (earlier.generation != verdict->generation || earlier.state != verdict->state) return;
  verdict->begun_crashes = std::max(verdict->begun_crashes, earlier.begun_crashes);
  verdict->crashes = std::max(verdict->crashes, earlier.crashes);
  verdict->trial_at = std::max(verdict->trial_at, earlier.trial_at);
}

StoredPartVerdict ToStored(const PartVerdict& verdict, UnixMs now) {
  StoredPartVerdict stored;
  stored.part = verdict.part;
  stored.state = verdict.state;
  stored.generation = verdict.generation;
  stored.begun_crashes = verdict.crashes.begun;
  stored.crashes = verdict.crashes.all;
  stored.trial_at = now + verdict.trial_in.count();
  stored.companions = verdict.companions;
  return stored;
}

// Whether a verdict on a part without a record is worth one. A part that is only suspected because
// it was in the queue of a crashed upstream has no crash that counts.
bool IsWorthRecording(const StoredPartVerdict& verdict) {
  return verdict.state == PartState::kQuarantined ||
         (verdict.state == PartState::kSuspected && verdict.crashes > 0);
}

}  // namespace

PartVerdictsReply PartVerdictStore::Apply(const RecordPartVerdicts& command, UnixMs log_time) {
  Expire(log_time);
  for (const StoredPartVerdict& verdict : command.verdicts) {
    const auto [held, is_new] = m_verdicts.try_emplace(verdict.part, verdict);
    if (!is_new && !Supersedes(verdict, held->second)) continue;
    ++m_version;
    if (is_new) {
      if (m_verdicts.size() > kMaxStoredVerdicts) DropFirstToExpire();
      continue;
    }
    StoredPartVerdict next = verdict;
    Combine(held->second, &next);
    held->second = std::move(next);
  }
  return {m_version};
}

std::vector<StoredPartVerdict> PartVerdictStore::Verdicts() const {
  std::vector<StoredPartVerdict> verdicts;
  verdicts.reserve(m_verdicts.size());
  for (const auto& [part, verdict] : m_verdicts) verdicts.push_back(verdict);
  return verdicts;
}

void PartVerdictStore::Expire(UnixMs log_time) {
  for (auto verdict = m_verdicts.begin(); verdict != m_verdicts.end();) {
    const bool is_expired = log_time >= ExpiryOf(verdict->second);
    verdict = is_expired ? m_verdicts.erase(verdict) : std::next(verdict);
  }
}

void PartVerdictStore::DropFirstToExpire() {
  m_verdicts.erase(std::min_element(
      m_verdicts.begin(), m_verdicts.end(),
      [](const auto& a, const auto& b) { return ExpiryOf(a.second) < ExpiryOf(b.second); }));
}

json PartVerdictStore::Snapshot() const {
  return {{"version", m_version}, {"verdicts", StoredVerdictsToJson(Verdicts())}};
}

void PartVerdictStore::Restore(const json& snapshot) {
  m_version = snapshot.at("version");
  m_verdicts.clear();
  for (StoredPartVerdict& verdict : StoredVerdictsFromJson(snapshot.at("verdicts"))) {
    std::string part = verdict.part;
    m_verdicts.emplace(std::move(part), std::move(verdict));
  }
}

std::vector<StoredPartVerdict> FindUnrecorded(const std::vector<PartVerdict>& known,
                                              const std::vector<StoredPartVerdict>& stored,
                                              UnixMs now) {
  std::map<std::string, const StoredPartVerdict*> recorded;
  for (const StoredPartVerdict& verdict : stored) {
    if (now < ExpiryOf(verdict)) recorded[verdict.part] = &verdict;
  }
  std::vector<StoredPartVerdict> unrecorded;
  for (const PartVerdict& verdict : known) {
    StoredPartVerdict next = ToStored(verdict, now);
    const auto held = recorded.find(next.part);
    if (held == recorded.end()) {
      if (IsWorthRecording(next)) unrecorded.push_back(std::move(next));
      continue;
    }
    StoredPartVerdict tolerated = *held->second;
    tolerated.trial_at += kTrialTimeToleranceMs;
    if (Supersedes(next, tolerated)) unrecorded.push_back(std::move(next));
  }
  return unrecorded;
}

std::vector<PartVerdict> RecoverVerdicts(const std::vector<StoredPartVerdict>& stored, UnixMs now) {
  std::vector<PartVerdict> verdicts;
  for (const StoredPartVerdict& held : stored) {
    if (now >= ExpiryOf(held)) continue;
    PartVerdict verdict;
    verdict.part = held.part;
    verdict.state = held.state;
    verdict.generation = held.generation;
    verdict.crashes = {held.begun_crashes, held.crashes};
    // The clock of this host may differ from that of the host which recorded the verdict.
    verdict.trial_in = std::clamp<milliseconds>(milliseconds(held.trial_at - now), milliseconds(0),
                                                kMaxTrialDelay);
    verdict.companions = held.companions;
    verdicts.push_back(std::move(verdict));
  }
  return verdicts;
}

}  // namespace corneltray
