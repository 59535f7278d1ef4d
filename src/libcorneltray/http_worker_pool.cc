#include "http_worker_pool.h"

#include <utility>

namespace corneltray {
namespace {

// Refusals that wait for their thread; beyond this a connection is closed without an answer.
constexpr std::size_t kMaxWaitingRefusals = 64;

thread_local ConnectionFate t_fate = ConnectionFate::kServe;

}  // namespace

HttpWorkerPool::HttpWorkerPool(std::uint32_t max_threads) : m_max_threads(max_threads) {
  m_refuser = std::thread([this] { RunRefuser(); });
}

HttpWorkerPool::~HttpWorkerPool() { Shutdown(); }

ConnectionFate HttpWorkerPool::Fate() { return t_fate; }

void HttpWorkerPool::Enqueue(std::function<void()> job) {
  std::unique_lock<std::mutex> lock(m_mutex);
  const std::size_t taken = m_open + m_jobs.size();
  if (taken < m_max_threads) {
    m_jobs.push_back(std::move(job));
    if (m_threads.size() < m_max_threads && taken >= m_threads.size()) {
      m_threads.emplace_back([this] { RunWorker(); });
    }
    m_work.notify_one();
    return;
  }
  if (m_open > m_busy + m_pressure) {
    ++m_pressure;
    m_jobs.push_back(std::move(job));
    m_work.notify_one();
    return;
  }
  ++m_refused;
  if (m_refused_jobs.size() < kMaxWaitingRefusals) {
    m_refused_jobs.push_back(std::move(job));
    m_refuse.notify_one();
    return;
  }
  lock.unlock();
  t_fate = ConnectionFate::kDrop;
  job();
  t_fate = ConnectionFate::kServe;
}

void HttpWorkerPool::Shutdown() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
  }
  m_work.notify_all();
  m_refuse.notify_all();
  for (std::thread& thread : m_threads) {
    if (thread.joinable()) thread.join();
  }
  if (m_refuser.joinable()) m_refuser.join();
}

void HttpWorkerPool::RunWorker() {
  std::unique_lock<std::mutex> lock(m_mutex);
  for (;;) {
    m_work.wait(lock, [this] { return m_stopping || !m_jobs.empty(); });
    if (m_jobs.empty()) return;
    const Job job = std::move(m_jobs.front());
    m_jobs.pop_front();
    ++m_open;
    lock.unlock();
    job();
    lock.lock();
    --m_open;
  }
}

void HttpWorkerPool::RunRefuser() {
  t_fate = ConnectionFate::kRefuse;
  std::unique_lock<std::mutex> lock(m_mutex);
  for (;;) {
    m_refuse.wait(lock, [this] { return m_stopping || !m_refused_jobs.empty(); });
    if (m_refused_jobs.empty()) return;
    const Job job = std::move(m_refused_jobs.front());
    m_refused_jobs.pop_front();
    lock.unlock();
    job();
    lock.lock();
  }
}

bool HttpWorkerPool::TakePressure() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_pressure == 0) return false;
  --m_pressure;
  return true;
}

void HttpWorkerPool::BeginRequest() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_busy;
}

void HttpWorkerPool::EndRequest() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (--m_busy == 0) m_idle.notify_all();
}

std::uint32_t HttpWorkerPool::Open() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_open;
}

std::uint32_t HttpWorkerPool::Busy() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_busy;
}

std::uint64_t HttpWorkerPool::Refused() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_refused;
}

bool HttpWorkerPool::WaitIdle(std::chrono::steady_clock::time_point deadline) {
  std::unique_lock<std::mutex> lock(m_mutex);
  return m_idle.wait_until(lock, deadline, [this] { return m_busy == 0; });
}

}  // namespace corneltray
