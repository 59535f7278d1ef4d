#ifndef CORNELTRAY_STORAGE_THREAD_H_
#define CORNELTRAY_STORAGE_THREAD_H_

#include <atomic>
#include <condition_variable>
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

// Writes batches to the log on a dedicated thread, so that heartbeats continue during a disk sync.
// All batches that are queued when a sync starts share it (group commit).
class StorageThread {
 public:
  // Called on the storage thread after each sync with the sequence number of the last batch that it
  // covers, or with an error after which nothing more is written.
  using DoneCallback = std::function<void(std::uint64_t sequence, const Status& status)>;

  StorageThread(std::unique_ptr<LogStorage> storage, DoneCallback done);
  // Writes all submitted batches and joins the thread.
  ~StorageThread();
  StorageThread(const StorageThread&) = delete;
  StorageThread& operator=(const StorageThread&) = delete;

  // Queues the persist actions of a batch. Thread-safe.
  void Submit(ActionBatch batch);

  std::uint64_t SyncCount() const { return m_syncs; }

 private:
  void Run();

  std::unique_ptr<LogStorage> m_storage;
  DoneCallback m_done;
  std::atomic<std::uint64_t> m_syncs{0};
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::vector<ActionBatch> m_queue;
  bool m_stopping = false;
  std::thread m_thread;
};

}  // namespace corneltray

#endif  // CORNELTRAY_STORAGE_THREAD_H_
