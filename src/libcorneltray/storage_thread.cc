#include "corneltray/storage_thread.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>
#include <variant>

#include "corneltray/log.h"

namespace corneltray {
namespace {

std::size_t SizeOf(const Action& action) {
  if (const auto* added = std::get_if<PersistEntries>(&action)) {
    return std::accumulate(added->entries.begin(), added->entries.end(), std::size_t{0},
                           [](std::size_t sum, const LogEntry& entry) {
                             return sum + sizeof(LogEntry) + entry.payload.size();
                           });
  }
  if (const auto* saved = std::get_if<PersistSnapshot>(&action)) {
    return saved->snapshot.data->size();
  }
  return sizeof(Action);
}

std::size_t SizeOf(const ActionBatch& batch) {
  return std::accumulate(
      batch.actions.begin(), batch.actions.end(), std::size_t{0},
      [](std::size_t sum, const Action& action) { return sum + SizeOf(action); });
}

std::size_t SizeOf(const std::vector<ActionBatch>& batches) {
  return std::accumulate(
      batches.begin(), batches.end(), std::size_t{0},
      [](std::size_t sum, const ActionBatch& batch) { return sum + SizeOf(batch); });
}

}  // namespace

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
  m_backlog_bytes += SizeOf(batch);
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_queue.push_back(std::move(batch));
  }
  m_wake.notify_one();
}

bool StorageThread::TakeQueued(std::vector<ActionBatch>* batches) {
  std::unique_lock<std::mutex> lock(m_mutex);
  if (batches->empty()) m_wake.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
  std::move(m_queue.begin(), m_queue.end(), std::back_inserter(*batches));
  m_queue.clear();
  return !batches->empty();
}

bool StorageThread::WaitUntil(TimePoint retry_at) {
  std::unique_lock<std::mutex> lock(m_mutex);
  return !m_wake.wait_until(lock, retry_at, [this] { return m_stopping; });
}

void StorageThread::Run() {
  std::vector<ActionBatch> batches;  // not on disk yet
  std::chrono::milliseconds retry_delay = kFirstStorageRetryDelay;
  bool has_failed = false;
  while (TakeQueued(&batches)) {
    Status status = has_failed ? m_storage->Rewind() : Status();
    if (status) status = m_storage->Commit(batches);
    m_syncs = m_storage->SyncCount();
    if (status) {
      m_backlog_bytes -= SizeOf(batches);
      m_done(batches.back().sequence, status);
      batches.clear();
      has_failed = false;
      retry_delay = kFirstStorageRetryDelay;
      continue;
    }
    if (!std::exchange(has_failed, true)) m_done(batches.back().sequence, status);
    LogEvent(LogLevel::kWarning, "storage_write_failed",
             {{"error", status.error().ToString()},
              {"batches", batches.size()},
              {"backlog_bytes", m_backlog_bytes.load()},
              {"retry_in_ms", retry_delay.count()}});
    if (!WaitUntil(Clock::now() + retry_delay)) return;
    retry_delay = std::min(retry_delay * 2, kMaxStorageRetryDelay);
  }
}

}  // namespace corneltray
