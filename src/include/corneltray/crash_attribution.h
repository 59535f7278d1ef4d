#ifndef CORNELTRAY_CRASH_ATTRIBUTION_H_
#define CORNELTRAY_CRASH_ATTRIBUTION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "corneltray/enum_names.h"
#include "corneltray/part_state.h"
#include "corneltray/time.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// Crashes of different upstreams, each just after it had begun to answer a request with a certain
// prompt part, after which the part is quarantined.
constexpr std::uint32_t kCrashesBeforeQuarantine = 2;
// The same if some of the upstreams crashed before they had begun to answer. Such a crash counts
// only if no request is known whose answer had begun, since any request in the queue is present.
constexpr std::uint32_t kEarlyCrashesBeforeQuarantine = 4;
// Each time that a suspected part turned out to be sound raises both by one, up to this many,
// because many requests share such a part and it is present in most crashes.
constexpr std::uint32_t kMaxClearances = 2;
// Upstreams that crash within kCommonCauseWindow, none of them later than kCommonCauseGap after the
// one before, have a common cause, such as a loss of power, and count as one crash. With 100 ms
// alone two requests that crashed one upstream each, 66 ms apart, counted once, and two more
// upstreams crashed before their part was quarantined.
constexpr std::chrono::milliseconds kCommonCauseWindow{100};
constexpr std::chrono::milliseconds kCommonCauseGap{30};
// How long a quarantined part is refused before one request with it is tried. Each further crash
// multiplies this by kTrialDelayGrowth, because the suspicion is then more likely to be right.
constexpr std::chrono::seconds kTrialDelay{10};
constexpr int kTrialDelayGrowth = 4;
constexpr std::chrono::minutes kMaxTrialDelay{10};
// A trial without an outcome by then, for example because its caller left, is granted again.
constexpr std::chrono::seconds kTrialTimeout{3};
// How long a crash counts against the parts that were present.
constexpr std::chrono::minutes kEvidenceLifetime{2};
// How long a part is remembered as sound, so that late verdicts against it are recognised.
constexpr std::chrono::seconds kSoundRetention{60};
// Announcements of one incarnation after a reported crash that disprove it. Some may have been on
// their way.
constexpr std::uint64_t kAnnouncementsDisprovingCrash = 3;
// Bounds the memory for parts that callers choose freely.
constexpr std::size_t kMaxTrackedParts = 4096;
// Parts of one prompt that a report holds.
constexpr std::size_t kMaxReportedParts = 64;

// How far an answer had got when its upstream crashed.
enum class CrashPhase {
  kBeforeHead,        // the request may still have been in the queue
  kBeforeFirstEvent,  // the answer had begun, but held no whole event
};

template <>
struct EnumNames<CrashPhase> {
  static constexpr EnumName<CrashPhase> kTable[] = {
      {CrashPhase::kBeforeHead, "before_head"},
      {CrashPhase::kBeforeFirstEvent, "before_first_event"},
  };
};

// An upstream closed the connection of a request before the first event of its answer.
struct CrashReport {
  std::string upstream;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;  // of its last announcement that the reporter has received
  CrashPhase phase = CrashPhase::kBeforeHead;
  std::vector<std::string> parts;  // of the request's prompt, shared with other requests
};

// Why a trial of a quarantined part is asked for.
enum class TrialReason {
  kDelayElapsed,
  kBegunBefore,  // the host has seen answers with the part begin in the last minute
};

template <>
struct EnumNames<TrialReason> {
  static constexpr EnumName<TrialReason> kTable[] = {
      {TrialReason::kDelayElapsed, "delay_elapsed"},
      {TrialReason::kBegunBefore, "begun_before"},
  };
};

// Crashes that count against a prompt part, those with a common cause counted once.
struct CrashCounts {
  std::uint32_t begun = 0;  // just after an answer to a request with the part had begun
  std::uint32_t all = 0;    // with those for which no request is known whose answer had begun

  bool operator==(const CrashCounts& o) const { return begun == o.begun && all == o.all; }
};

// What one process tells others about a prompt part.
struct PartVerdict {
  std::string part;
  PartState state = PartState::kSound;
  // Number of changes into and out of quarantine; of two verdicts the one with more is newer.
  std::uint64_t generation = 0;
  CrashCounts crashes;
  std::chrono::milliseconds trial_in{0};  // until a trial may be granted
  // Parts that were present whenever this one was, so that either may be the cause.
  std::vector<std::string> companions;
};

// Finds the parts of prompts on which upstreams crash. A crash counts against the parts of all
// requests that the upstream was about to answer, since one of them may have caused it. A part that
// was only present is used in other answers as well, and one that begins clears the part. If two
// parts were present in the same crashes, only requests with both are refused, so that a request
// with one of them can show which is sound. Not thread safe.
class CrashAttribution {
 public:
  void OnCrash(TimePoint now, const CrashReport& report);
  // An upstream has begun an answer to a request with these parts.
  void OnAnswerBegun(TimePoint now, const std::vector<std::string>& parts);
  // Drops the crashes of upstreams that have gone on announcing themselves.
  void DropDisproved(TimePoint now, const UpstreamTable& upstreams);
  // Takes over what another process knows.
  void Merge(TimePoint now, const std::vector<PartVerdict>& verdicts);

  // Returns whether one request with this part may be sent although it is quarantined, and counts
  // it as sent. A part with which answers began before is tried once without delay: it may be one
  // that many requests share and that was present in the crashes by chance.
  bool GrantTrial(TimePoint now, const std::string& part, TrialReason reason);

  PartState StateOf(TimePoint now, const std::string& part) const;
  // Returns the quarantined parts for which a request with these parts is refused.
  std::vector<std::string> FindQuarantined(TimePoint now,
                                           const std::vector<std::string>& parts) const;
  // Whether anything is held of a part, also that it is sound.
  bool IsKnown(const std::string& part) const { return m_parts.count(part) > 0; }
  // Returns the verdict about a part; an unknown one is sound.
  PartVerdict VerdictOn(TimePoint now, const std::string& part) const;
  // Whether a part has entered or left quarantine here since the last call of TakeChanges. Other
  // changes may be told later, and together.
  bool HasUrgentChange() const;
  // Returns the verdicts that changed here since the last call, other than by Merge. Leaves out
  // suspicions that do not count and those that were cleared before they were told.
  std::vector<PartVerdict> TakeChanges(TimePoint now);
  // Returns all verdicts that others need.
  std::vector<PartVerdict> Verdicts(TimePoint now) const;

 private:
  using Incarnation = std::pair<std::string, std::uint64_t>;  // of an upstream
  struct Crash {
    TimePoint at;
    std::uint64_t sequence = 0;  // of the last announcement before it
    CrashPhase phase = CrashPhase::kBeforeHead;
  };
  struct Part {
    PartState state = PartState::kSound;
    std::uint64_t generation = 0;
    std::map<Incarnation, Crash> crashes;
    // Crashes that others have counted beyond those known here, as a process did before its
    // restart.
    CrashCounts crashes_elsewhere;
    TimePoint trial_at{};
    TimePoint next_grant_at{};
    TimePoint expires_at{};
    std::set<std::string> companions;
    std::uint32_t clearances = 0;  // times that it was found sound after a crash
    bool is_tried_early = false;
    bool is_changed = false;
    bool is_urgent = false;  // the change is one into or out of quarantine, or a further crash
    bool is_told = false;    // others know that it is not sound
  };

  void Expire(TimePoint now);
  // Number of crashes known here from this phase on that count against a part.
  std::uint32_t CountCrashes(const Part& part, CrashPhase from) const;
  CrashCounts CountKnown(const Part& part) const;
  // The same, with the crashes that only others have counted.
  CrashCounts CountAll(const Part& part) const;
  bool IsCause(const Part& part) const;
  static void SetCompanions(const CrashReport& report, bool is_first, Part* part);
  static void Suspect(TimePoint now, Part* part);
  void Quarantine(TimePoint now, Part* part) const;
  static void Clear(TimePoint now, Part* part);
  // Forgets all crashes.
  static void Reset(TimePoint now, Part* part);
  void MergeOne(TimePoint now, const PartVerdict& verdict, Part* part) const;
  // Takes over the crashes of a verdict that are not known here.
  void MergeCrashes(const PartVerdict& verdict, Part* part) const;
  PartVerdict MakeVerdict(TimePoint now, const std::string& name, const Part& part) const;

  std::map<std::string, Part> m_parts;
  // Crashes for which a request is known whose answer had begun, until they expire.
  std::map<Incarnation, TimePoint> m_explained;
};

}  // namespace corneltray

#endif  // CORNELTRAY_CRASH_ATTRIBUTION_H_
