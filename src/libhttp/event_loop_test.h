#ifndef CORNELTRAY_EVENT_LOOP_TEST_H_
#define CORNELTRAY_EVENT_LOOP_TEST_H_

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <utility>

namespace corneltray {

// An io_context that runs on a thread of its own, for tests that talk to it over sockets.
class EventLoopThread {
 public:
  EventLoopThread() : m_work(asio::make_work_guard(m_io)), m_thread([this] { m_io.run(); }) {}
  ~EventLoopThread() { Stop(); }

  asio::io_context* Io() { return &m_io; }

  // Runs a function on the loop and waits for its result.
  template <class Function>
  auto Run(Function function) -> decltype(function()) {
    std::packaged_task<decltype(function())()> task(std::move(function));
    auto result = task.get_future();
    asio::post(m_io, [&task] { task(); });
    return result.get();
  }

  // Waits until a condition holds on the loop. Returns false after 5 s.
  bool WaitFor(const std::function<bool()>& condition) {
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (std::chrono::steady_clock::now() < until) {
      if (Run(condition)) return true;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
  }

  void Stop() {
    m_work.reset();
    m_io.stop();
    if (m_thread.joinable()) m_thread.join();
  }

 private:
  asio::io_context m_io{1};
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  std::thread m_thread;
};

}  // namespace corneltray

#endif  // CORNELTRAY_EVENT_LOOP_TEST_H_
