#ifndef CORNELTRAY_SCHEDULES_TEST_H_
#define CORNELTRAY_SCHEDULES_TEST_H_

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace corneltray {

// Range of the seeds that a property test runs. CORNELTRAY_SCHEDULES sets their number,
// CORNELTRAY_SEED the first one.
struct ScheduleRange {
  std::uint64_t first = 1;
  std::uint64_t count = 0;
};

inline ScheduleRange ScheduleRangeFromEnvironment(std::uint64_t default_count) {
  const char* count = std::getenv("CORNELTRAY_SCHEDULES");
  const char* first = std::getenv("CORNELTRAY_SEED");
  return {first == nullptr ? 1 : std::strtoull(first, nullptr, 10),
          count == nullptr ? default_count : std::strtoull(count, nullptr, 10)};
}

// Runs each seed once, on up to four threads. `run` returns a description of the failure, or an
// empty string. Returns the failures in the order of their seeds, each with the environment setting
// that reproduces it.
inline std::vector<std::string> RunSchedules(const ScheduleRange& range,
                                             const std::function<std::string(std::uint64_t)>& run) {
  std::atomic<std::uint64_t> next{range.first};
  std::mutex mutex;
  std::vector<std::pair<std::uint64_t, std::string>> failures;
  const auto worker = [&] {
    for (std::uint64_t seed = next++; seed < range.first + range.count; seed = next++) {
      const std::string failure = run(seed);
      if (failure.empty()) continue;
      const std::lock_guard<std::mutex> lock(mutex);
      failures.emplace_back(seed, failure);
    }
  };
  std::vector<std::thread> threads;
  const unsigned thread_count = std::clamp(std::thread::hardware_concurrency(), 1U, 4U);
  for (unsigned i = 0; i < thread_count; ++i) threads.emplace_back(worker);
  for (std::thread& thread : threads) thread.join();
  std::sort(failures.begin(), failures.end());
  std::vector<std::string> messages;
  messages.reserve(failures.size());
  for (const auto& [seed, what] : failures) {
    messages.push_back("CORNELTRAY_SEED=" + std::to_string(seed) + ": " + what);
  }
  return messages;
}

}  // namespace corneltray

#endif  // CORNELTRAY_SCHEDULES_TEST_H_
