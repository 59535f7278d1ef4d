#ifndef CORNELTRAY_STORAGE_THREAD_H_
#define CORNELTRAY_STORAGE_THREAD_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "corneltray/consensus.h"
#include "corneltray/log_storage.h"
#include "corneltray/result.h"

namespace corneltray {

// Delay before a failed write is tried again. It doubles up to kMaxStorageRetryDelay, so that a
// disk that stays full costs little.
constexpr std::chrono::milliseconds kFirstStorageRetryDelay{50};
constexpr std::chrono::milliseconds kMaxStorageRetryDelay{1000};

// Writes batches to the log on a dedicated thread, so that heartbeats continue during a disk sync.
// All batches that are queued when a sync starts share it (group commit). Batches that cannot be
// written are kept and written again, in order, until the disk accepts them.
class StorageThread {
 public:
  // Called on the storage thread after each sync with the sequence number of the last batch that it
  // covers. Called with an error when a write fails after a success; the next success means that
  // the disk has recovered.
  using DoneCallback = std::function<void(std::uint64_t sequence, const Status& status)>;

  StorageThread(std::unique_ptr<LogStorage> storage, DoneCallback done);
  // Tries once to write all submitted batches and joins the thread.
  ~StorageThread();
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  // Queues the persist actions of a batch. Thread-safe.
  void Submit(ActionBatch batch);

  std::uint64_t SyncCount() const { return m_syncs; }
  // Size of the entries and snapshots that are not on disk yet.
  std::size_t BacklogBytes() const { return m_backlog_bytes; }

 private:
  void Run();
  // Takes over what has been queued; waits for it if there is nothing to write yet. Returns false
  // when the thread has to end.
  bool TakeQueued(std::vector<ActionBatch>* batches);
  // Returns false when the thread is to stop before that time.
  bool WaitUntil(TimePoint retry_at);

  std::unique_ptr<LogStorage> m_storage;
  DoneCallback m_done;
  std::atomic<std::uint64_t> m_syncs{0};
  std::atomic<std::size_t> m_backlog_bytes{0};
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::vector<ActionBatch> m_queue;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace corneltray

#endif  // CORNELTRAY_STORAGE_THREAD_H_
