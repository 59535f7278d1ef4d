#ifndef CORNELTRAY_READ_BATCHER_H_
#define CORNELTRAY_READ_BATCHER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "corneltray/time.h"

namespace corneltray {

// Shortest interval between two reads of the replicated log by one control process. Together with
// the leader's own batch it delays a read by two intervals at most.
constexpr std::chrono::milliseconds kReadBatchInterval{100};
// A read of the log without an answer after this time is overlapped by another one, in case the
// leader has changed. The answer to the first still counts: a leader that needs longer than this
// for each read would otherwise never confirm one.
constexpr std::chrono::milliseconds kReadOverlapDelay{300};
constexpr std::size_t kMaxOverlappingReads = 3;

// Groups the linearizable reads of one control process, so that the load on the leader grows with
// the number of control processes and not with the number of entry hosts. A read of the log
// confirms all reads that were added before it started. A read whose confirmation fails, for
// example because no leader is known, waits for the next one until its deadline: refusing it at
// once would make all hosts ask again while a leader is being elected. Not thread safe.
class ReadBatcher {
 public:
  using Id = std::uint64_t;
  // Identifies a read of the log; later ones have higher numbers.
  using Round = std::uint64_t;

  // Adds a read that must reflect everything committed before now.
  Id Add(TimePoint deadline);
  // Adds a read of an entry host, which waits for one read at a time here: an earlier one that
  // still waits has been given up by the host, and TakeReplaced returns it.
  Id Add(TimePoint deadline, const std::string& host);

  // Starts a read of the log if one is due: reads wait that no recent read of the log covers, and
  // the interval since the last one has passed. The caller reports its result with Confirm or Fail.
  std::optional<Round> Begin(TimePoint now);
  // The read of the log succeeded: the reads from before it are complete once `index` has been
  // applied.
  void Confirm(Round round, std::uint64_t index);
  // The read of the log failed: its reads wait for another one.
  void Fail(Round round);

  struct CompleteRead {
    Id id = 0;
    std::uint64_t index = 0;  // of the log, that the read reflects
  };
  // Removes and returns the reads that are complete when everything up to `applied` has been
  // applied, in the order in which they were added.
  std::vector<CompleteRead> TakeComplete(std::uint64_t applied);
  // Removes and returns the reads past their deadline.
  std::vector<Id> TakeExpired(TimePoint now);
  // The reader holds this version of the route table, and takes a newer one without a confirmation.
  void SetHeldVersion(Id id, std::uint64_t version);
  // Removes and returns the reads whose readers take this version unconfirmed, since they hold an
  // older one.
  std::vector<Id> TakeOutdated(std::uint64_t version);
  // Removes and returns the reads that hosts have given up.
  std::vector<Id> TakeReplaced();

  // Returns when Begin or TakeExpired has something to do next; nothing while no read waits.
  std::optional<TimePoint> NextWakeup() const;

 private:
  struct Read {
    TimePoint deadline;
    std::string host;  // empty if it is not that of an entry host
    std::optional<std::uint64_t> held_version;
    Round first_round = 0;  // the first read of the log after it was added; 0 if none has begun
    std::optional<std::uint64_t> index;  // once it is confirmed
  };

  // Returns when the read needs another read of the log; nothing once it is confirmed.
  std::optional<TimePoint> UncoveredAt(const Read& read) const;
  // Returns when the next read of the log may begin; nothing if no read needs one, or while too
  // many are in progress.
  std::optional<TimePoint> NextBegin() const;
  void Erase(std::map<Id, Read>::iterator read);

  std::map<Id, Read> m_reads;
  std::map<std::string, Id> m_read_of_host;  // that waits
  std::vector<Id> m_replaced;
  Id m_last_id = 0;
  Round m_last_round = 0;
  std::map<Round, TimePoint> m_in_progress;  // with the time at which another one may overlap it
  TimePoint m_next_begin{};
};

}  // namespace corneltray

#endif  // CORNELTRAY_READ_BATCHER_H_
