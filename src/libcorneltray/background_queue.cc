#include "corneltray/background_queue.h"

#include <utility>

namespace corneltray {

BackgroundQueue::BackgroundQueue(std::size_t threads, std::size_t max_waiting)
    : m_max_waiting(max_waiting) {
  for (std::size_t i = 0; i < threads; ++i) m_threads.emplace_back([this] { Run(); });
}

BackgroundQueue::~BackgroundQueue() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopping = true;
  }
  m_wake.notify_all();
  for (std::thread& thread : m_threads) thread.join();
}

bool BackgroundQueue::Add(std::function<void()> work) {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_stopping || m_waiting.size() >= m_max_waiting) return false;
    m_waiting.push_back(std::move(work));
  }
  m_wake.notify_one();
  return true;
}

void BackgroundQueue::Run() {
  std::unique_lock<std::mutex> lock(m_mutex);
  for (;;) {
    m_wake.wait(lock, [this] { return m_stopping || !m_waiting.empty(); });
    if (m_stopping) return;
    const std::function<void()> work = std::move(m_waiting.front());
    m_waiting.pop_front();
    lock.unlock();
    work();
    lock.lock();
  }
}

}  // namespace corneltray
