#ifndef CORNELTRAY_READ_BATCHER_H_
#define CORNELTRAY_READ_BATCHER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "corneltray/time.h"

namespace corneltray {

// Shortest interval between two reads of the replicated log by one control process. Together with
// the leader's own batch it delays a read by two intervals at most.
constexpr std::chrono::milliseconds kReadBatchInterval{100};

// Groups the linearizable reads of one control process, so that the load on the leader grows with
// the number of control processes and not with the number of entry hosts. One read of the log at a
// time confirms all reads that were added before it started. A read whose confirmation fails, for
// example because no leader is known, waits for the next one until its deadline: refusing it at
// once would make all hosts ask again while a leader is being elected. Not thread safe.
class ReadBatcher {
 public:
  using Id = std::uint64_t;

  // Adds a read that must reflect everything committed before now.
  Id Add(TimePoint deadline);
  // The read that was added last; 0 if there was none.
  Id LastId() const { return m_last_id; }

  // Returns whether to read the log now: reads are waiting, no read of the log is in progress, and
  // the interval since the last one has passed. The caller then reports the result with Confirm or
  // Fail.
  bool Begin(TimePoint now);
  // The read of the log succeeded: its reads are complete once `index` has been applied.
  void Confirm(std::uint64_t index);
  // The read of the log failed: its reads wait for the next one.
  void Fail();

  // Removes and returns the reads that are complete when everything up to `applied` has been
  // applied, in the order in which they were added.
  std::vector<Id> TakeComplete(std::uint64_t applied);
  // Removes and returns the reads past their deadline.
  std::vector<Id> TakeExpired(TimePoint now);

  // Returns when Begin or TakeExpired has something to do next; nothing while no read waits.
  std::optional<TimePoint> NextWakeup() const;

 private:
  enum class State { kWaiting, kInProgress, kConfirmed };
  struct Read {
    TimePoint deadline;
    State state = State::kWaiting;
    std::uint64_t index = 0;  // of kConfirmed
  };

  bool HasWaiting() const;
  void SetInProgressTo(State state, std::uint64_t index);

  std::map<Id, Read> m_reads;
  Id m_last_id = 0;
  bool m_in_progress = false;
  TimePoint m_next_begin{};
};

}  // namespace corneltray

#endif  // CORNELTRAY_READ_BATCHER_H_
