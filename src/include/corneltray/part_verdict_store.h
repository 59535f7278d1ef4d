#ifndef CORNELTRAY_PART_VERDICT_STORE_H_
#define CORNELTRAY_PART_VERDICT_STORE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "corneltray/booking.h"
#include "corneltray/crash_attribution.h"
#include "corneltray/time.h"

namespace corneltray {

// Bounds the snapshot. The verdicts that expire first are dropped.
constexpr std::size_t kMaxStoredVerdicts = 256;
// How much later than recorded a trial has to be due to be recorded again. Absorbs differences
// between the clocks of hosts, which would otherwise cause a command each.
constexpr std::chrono::seconds kTrialTimeTolerance{5};

// Keeps the verdicts on prompt parts that crash upstreams, so that they outlive a restart of all
// processes. Part of ControlState: deterministic, not thread-safe.
class PartVerdictStore {
 public:
  // Of two verdicts on a part the one with the higher generation is kept; of two with the same
  // generation and state, the one with more crashes or the longer refusal.
  PartVerdictsReply Apply(const RecordPartVerdicts& command, UnixMs log_time);

  // Changes with each command that changed a verdict.
  std::uint64_t Version() const { return m_version; }
  std::vector<StoredPartVerdict> Verdicts() const;

  nlohmann::json Snapshot() const;
  // Replaces the content. Throws nlohmann::json::exception on a malformed snapshot.
  void Restore(const nlohmann::json& snapshot);

 private:
  void Expire(UnixMs log_time);
  void DropFirstToExpire();

  std::uint64_t m_version = 0;
  std::map<std::string, StoredPartVerdict> m_verdicts;  // by part
};

// Returns the verdicts that the replicated log has to record: on parts whose state has changed,
// that were present in more crashes or are refused for longer than recorded. `now` is the moment at
// which `known` was read.
std::vector<StoredPartVerdict> FindUnrecorded(const std::vector<PartVerdict>& known,
                                              const std::vector<StoredPartVerdict>& stored,
                                              UnixMs now);

// Returns recorded verdicts as one process tells them to another.
std::vector<PartVerdict> RecoverVerdicts(const std::vector<StoredPartVerdict>& stored, UnixMs now);

}  // namespace corneltray

#endif  // CORNELTRAY_PART_VERDICT_STORE_H_
