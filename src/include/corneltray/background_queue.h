#ifndef CORNELTRAY_BACKGROUND_QUEUE_H_
#define CORNELTRAY_BACKGROUND_QUEUE_H_

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace corneltray {

// Runs work that no caller waits for: cancels to engines and outcomes that are still to be
// recorded. Bounded. Thread safe.
class BackgroundQueue {
 public:
  BackgroundQueue(std::size_t threads, std::size_t max_waiting);
  // Drops what is waiting and joins the threads.
  ~BackgroundQueue();
  BackgroundQueue(const BackgroundQueue&) = delete;
  BackgroundQueue& operator=(const BackgroundQueue&) = delete;

  // Returns false, and drops the work, when too much is waiting.
  bool Add(std::function<void()> work);

  // Long work asks this between its steps and ends early.
  bool IsStopping() const { return m_stopping; }

 private:
  void Run();

  const std::size_t m_max_waiting;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::deque<std::function<void()>> m_waiting;
  std::atomic<bool> m_stopping{false};
  std::vector<std::thread> m_threads;
};

}  // namespace corneltray

#endif  // CORNELTRAY_BACKGROUND_QUEUE_H_
