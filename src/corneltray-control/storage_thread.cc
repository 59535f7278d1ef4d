#include "storage_thread.h"

#include <utility>

namespace corneltray {

StorageThread::StorageThread(std::unique_ptr<LogStorage> storage, DoneCallback done)
    : m_storage(std::move(storage)), m_done(std::move(done)), m_thread([this] { Run(); }) {}

StorageThread::~StorageThread() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_one();
  m_thread.join();
}

void StorageThread::Submit(ActionBatch batch) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_queue.push_back(std::move(batch));
  }
  m_wake.notify_one();
}

void StorageThread::Run() {
  while (true) {
    std::vector<ActionBatch> batches;
    {
      std::unique_lock<std::mutex> lock(m_mutex);
      m_wake.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
      if (m_queue.empty()) return;
      batches.swap(m_queue);
    }
    const Status status = m_storage->Commit(batches);
    m_syncs = m_storage->SyncCount();
    m_done(batches.back().sequence, status);
    if (!status) return;
  }
}

}  // namespace corneltray
