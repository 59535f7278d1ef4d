#include "corneltray/storage_thread.h"

#include <doctest/doctest.h>

#include <condition_variable>
#include <mutex>
#include <utility>

namespace corneltray {
namespace {

// Storage that refuses a number of commits. Shared with the test, which outlives the thread.
struct Disk {
  std::mutex mutex;
  int refusals_left = 0;
  int rewinds = 0;
  std::vector<std::uint64_t> stored;  // sequence numbers of the batches
};

class FakeStorage : public LogStorage {
 public:
  explicit FakeStorage(Disk* disk) : m_disk(disk) {}
  PersistentState& Recovered() override { return m_state; }
  const StorageReport& Report() const override { return m_report; }
  Status Write(const Action& action) override {
    const std::lock_guard<std::mutex> lock(m_disk->mutex);
    if (m_is_broken) return Full();
    if (m_disk->refusals_left > 0) {
      --m_disk->refusals_left;
      m_is_broken = true;
      return Full();
    }
    m_written.push_back(std::get<PersistEntries>(action).entries.front().index);
    return {};
  }
  Status Sync() override {
    const std::lock_guard<std::mutex> lock(m_disk->mutex);
    for (const std::uint64_t index : std::exchange(m_written, {})) m_disk->stored.push_back(index);
    return {};
  }
  Status Rewind() override {
    const std::lock_guard<std::mutex> lock(m_disk->mutex);
    ++m_disk->rewinds;
    m_is_broken = false;
    m_written.clear();
    return {};
  }
  std::uint64_t SyncCount() const override { return 0; }

 private:
  static Error Full() { return {StorageErrc::kDiskFull, "log"}; }

  Disk* m_disk;
  bool m_is_broken = false;
  std::vector<std::uint64_t> m_written;
  PersistentState m_state;
  StorageReport m_report;
};

// Collects what the thread reports.
class Reports {
 public:
  void Add(std::uint64_t sequence, const Status& status) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    (status ? m_persisted : m_failed).push_back(sequence);
    m_changed.notify_all();
  }
  bool WaitPersisted(std::uint64_t sequence) {
    std::unique_lock<std::mutex> lock(m_mutex);
    return m_changed.wait_for(lock, std::chrono::seconds(10), [&] {
      return !m_persisted.empty() && m_persisted.back() >= sequence;
    });
  }
  std::size_t FailureCount() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_failed.size();
  }

 private:
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<std::uint64_t> m_persisted;
  std::vector<std::uint64_t> m_failed;
};

ActionBatch Batch(std::uint64_t sequence) {
  return {sequence, true, {PersistEntries{{{sequence, 1, EntryKind::kCommand, 0, "x"}}}}};
}

// Guards against a control process that stays up and linked, but never writes, votes or
// acknowledges again after its disk was full for a moment.
TEST_CASE("batches that a disk refuses are written once it accepts them") {
  Disk disk;
  Reports reports;
  const auto report = [&reports](std::uint64_t sequence, const Status& status) {
    reports.Add(sequence, status);
  };

  SUBCASE("in order, with those submitted meanwhile, and with one report of the failure") {
    disk.refusals_left = 3;
    StorageThread thread(std::make_unique<FakeStorage>(&disk), report);
    for (const std::uint64_t sequence : {1, 2, 3}) thread.Submit(Batch(sequence));
    REQUIRE(reports.WaitPersisted(3));
    CHECK(disk.stored == std::vector<std::uint64_t>{1, 2, 3});
    CHECK(disk.rewinds == 3);
    CHECK(reports.FailureCount() == 1);
    CHECK(thread.BacklogBytes() == 0);

    SUBCASE("and a later failure is reported again") {
      {
        const std::lock_guard<std::mutex> lock(disk.mutex);
        disk.refusals_left = 1;
      }
      thread.Submit(Batch(4));
      REQUIRE(reports.WaitPersisted(4));
      CHECK(reports.FailureCount() == 2);
      CHECK(disk.stored == std::vector<std::uint64_t>{1, 2, 3, 4});
    }
  }
  SUBCASE("and a disk that stays full does not keep the process from ending") {
    disk.refusals_left = 1'000'000;
    StorageThread thread(std::make_unique<FakeStorage>(&disk), report);
    thread.Submit(Batch(1));
    CHECK(thread.BacklogBytes() > 0);
  }
}

}  // namespace
}  // namespace corneltray
