#ifndef CORNELTRAY_HTTP_WORKER_POOL_H_
#define CORNELTRAY_HTTP_WORKER_POOL_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace corneltray {

// How a connection is to be handled by the thread that runs its job.
enum class ConnectionFate {
  kServe,
  kRefuse,  // answer that the host is full
  kDrop,    // close without an answer
};

// Threads of an HTTP server, one for each open connection and started when needed. When all are
// taken, a new connection takes the place of an idle one, or is refused on a thread of its own.
// Thread safe.
class HttpWorkerPool {
 public:
  explicit HttpWorkerPool(std::uint32_t max_threads);
  ~HttpWorkerPool();
  HttpWorkerPool(const HttpWorkerPool&) = delete;
  HttpWorkerPool& operator=(const HttpWorkerPool&) = delete;

  // Takes the job of one accepted connection.
  void Enqueue(std::function<void()> job);
  // Runs the jobs that are waiting and joins the threads.
  void Shutdown();

  // The fate of the connection whose job runs on this thread.
  static ConnectionFate Fate();

  // A connection between two requests calls this; true means that it has to make room.
  bool TakePressure();
  // Connections call these around each request.
  void BeginRequest();
  void EndRequest();

  std::uint32_t Open() const;
  std::uint32_t Busy() const;
  std::uint64_t Refused() const;
  // Waits until no request is in progress, at most until the deadline.
  bool WaitIdle(std::chrono::steady_clock::time_point deadline);

 private:
  using Job = std::function<void()>;
  void RunWorker();
  void RunRefuser();

  const std::uint32_t m_max_threads;
  mutable std::mutex m_mutex;
  std::condition_variable m_work;
  std::condition_variable m_refuse;
  std::condition_variable m_idle;
  std::deque<Job> m_jobs;
  std::deque<Job> m_refused_jobs;
  std::vector<std::thread> m_threads;
  std::thread m_refuser;
  std::uint32_t m_open = 0;  // connections being served
  std::uint32_t m_busy = 0;  // requests in progress
  std::uint32_t m_pressure = 0;
  std::uint64_t m_refused = 0;
  bool m_stopping = false;
};

}  // namespace corneltray

#endif  // CORNELTRAY_HTTP_WORKER_POOL_H_
