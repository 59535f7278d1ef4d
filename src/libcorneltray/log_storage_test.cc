#include "corneltray/log_storage.h"

#include <doctest/doctest.h>
#include <sys/resource.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <sstream>
#include <utility>

#include "log_storage_codec.h"

namespace corneltray {
namespace {

namespace fs = std::filesystem;

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern = (fs::temp_directory_path() / "corneltray-storage-XXXXXX").string();
    m_path = mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { fs::remove_all(m_path); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  std::string Data() const { return m_path + "/data"; }
  std::string File(const std::string& name) const { return Data() + '/' + name; }

 private:
  std::string m_path;
};

// Real file operations that fail after a number of calls.
class FaultyFiles : public FileOperations {
 public:
  int bytes_left = -1;       // a write beyond these bytes is short and fails with ENOSPC
  int syncs_left = -1;       // a sync after these fails with EIO
  int operations_left = -1;  // after these modifying calls every call fails, as in a crash
  // A failed sync loses what was written since the last one, and later syncs succeed, as on systems
  // that mark the pages of a failed write as clean.
  bool failed_sync_loses_writes = false;

  int Open(const std::string& path, bool create, int* descriptor) override {
    return HasCrashed(create) ? EIO : m_files.Open(path, create, descriptor);
  }
  void Close(int descriptor) override { m_files.Close(descriptor); }
  int WriteAt(int descriptor, std::uint64_t offset, const std::string& bytes) override {
    if (HasCrashed(true)) {
      // A crash during a write leaves a part of the data.
      static_cast<void>(m_files.WriteAt(descriptor, offset, bytes.substr(0, bytes.size() / 2)));
      return EIO;
    }
    m_unsynced[descriptor].emplace_back(offset, bytes.size());
    if (bytes_left < 0) return m_files.WriteAt(descriptor, offset, bytes);
    const auto fits = std::min<std::size_t>(bytes.size(), static_cast<std::size_t>(bytes_left));
    const int error = m_files.WriteAt(descriptor, offset, bytes.substr(0, fits));
    bytes_left -= static_cast<int>(fits);
    return error == 0 && fits < bytes.size() ? ENOSPC : error;
  }
  int Lock(int descriptor) override { return m_files.Lock(descriptor); }
  int Truncate(int descriptor, std::uint64_t size) override {
    return HasCrashed(true) ? EIO : m_files.Truncate(descriptor, size);
  }
  int Sync(int descriptor) override {
    const auto written = std::exchange(m_unsynced[descriptor], {});
    if (syncs_left == 0) {
      if (failed_sync_loses_writes) Erase(descriptor, written);
      return EIO;
    }
    if (syncs_left > 0) --syncs_left;
    return HasCrashed(true) ? EIO : m_files.Sync(descriptor);
  }
  int Rename(const std::string& from, const std::string& to) override {
    return HasCrashed(true) ? EIO : m_files.Rename(from, to);
  }
  int SyncFolder(const std::string& folder) override {
    return HasCrashed(true) ? EIO : m_files.SyncFolder(folder);
  }
  int CreateFolder(const std::string& folder) override { return m_files.CreateFolder(folder); }
  int Read(const std::string& path, std::string* bytes) override {
    return m_files.Read(path, bytes);
  }

 private:
  using Written = std::vector<std::pair<std::uint64_t, std::size_t>>;  // offset and size

  void Erase(int descriptor, const Written& written) {
    for (const auto& [offset, size] : written) {
      static_cast<void>(m_files.WriteAt(descriptor, offset, std::string(size, '\0')));
    }
  }
  bool HasCrashed(bool changes) {
    if (operations_left == 0) return true;
    if (changes && operations_left > 0) --operations_left;
    return false;
  }
  FileOperations& m_files = PosixFileOperations();
  std::map<int, Written> m_unsynced;  // by descriptor
};

LogEntry Entry(std::uint64_t index, std::uint64_t term, std::string payload = "") {
  if (payload.empty()) payload = "command " + std::to_string(index);
  return {index, term, EntryKind::kCommand, static_cast<UnixMs>(1000 + index), payload};
}

std::vector<LogEntry> Entries(std::uint64_t first, std::uint64_t last, std::uint64_t term) {
  std::vector<LogEntry> entries;
  for (std::uint64_t i = first; i <= last; ++i) entries.push_back(Entry(i, term));
  return entries;
}

PersistSnapshot SnapshotAt(LogPosition last, LogPosition keep_after, bool reset = false) {
  Snapshot snapshot;
  snapshot.last = last;
  snapshot.timestamp = 7;
  snapshot.members.members[{"a", "1"}] = MemberRole::kVoter;
  snapshot.data = std::make_shared<const std::string>("state at " + std::to_string(last.index));
  return {snapshot, keep_after, reset};
}

std::unique_ptr<LogStorage> MustOpen(const TemporaryFolder& folder,
                                     FileOperations& files = PosixFileOperations()) {
  auto opened = LogStorage::Open(folder.Data(), "a", files);
  INFO((opened ? "" : opened.error().ToString()));
  REQUIRE(opened.Ok());
  return std::move(opened).value();
}

void MustCommit(LogStorage& storage, std::vector<Action> actions) {
  REQUIRE(storage.Commit({{1, true, std::move(actions)}}).Ok());
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void WriteFile(const std::string& path, const std::string& bytes) {
  std::ofstream(path, std::ios::binary) << bytes;
}

// Guards against a host that lost its disk and returns under its old voter identity.
TEST_CASE("a disk identity is created once") {
  const TemporaryFolder folder;

  SUBCASE("by an explicit format, which makes the replica a founding voter") {
    const auto formatted = LogStorage::Format(folder.Data(), "a", {"a", "b", "c"});
    REQUIRE(formatted.Ok());
    CHECK(formatted.value().disk_identity.size() == 32);
    auto storage = MustOpen(folder);
    CHECK(storage->Recovered().self == formatted.value());
    CHECK(storage->Recovered().founding_hosts == std::vector<std::string>{"a", "b", "c"});
    CHECK_FALSE(storage->Report().created);

    SUBCASE("and not a second time") {
      const auto again = LogStorage::Format(folder.Data(), "a", {"a", "b", "c"});
      REQUIRE_FALSE(again.Ok());
      CHECK(again.error().code == StorageErrc::kAlreadyFormatted);
    }
    SUBCASE("and the folder cannot be opened by two processes") {
      const auto second = LogStorage::Open(folder.Data(), "a");
      REQUIRE_FALSE(second.Ok());
      CHECK(second.error().code == StorageErrc::kInUse);
    }
    SUBCASE("and the folder cannot be opened under another host name") {
      storage.reset();
      const auto other = LogStorage::Open(folder.Data(), "b");
      REQUIRE_FALSE(other.Ok());
      CHECK(other.error().code == StorageErrc::kWrongHost);
    }
  }
  SUBCASE("by the first start on an empty folder, which makes the replica a learner") {
    const ReplicaId first = MustOpen(folder)->Recovered().self;
    auto storage = MustOpen(folder);
    CHECK(storage->Recovered().self == first);
    CHECK(storage->Recovered().founding_hosts.empty());

    SUBCASE("and a start after the loss of the folder creates another one") {
      storage.reset();
      fs::remove_all(folder.Data());
      CHECK(MustOpen(folder)->Recovered().self != first);
    }
    SUBCASE("and a start fails if the identity is missing but the log has records") {
      MustCommit(*storage, {PersistEntries{Entries(1, 2, 1)}});
      storage.reset();
      fs::remove(folder.File("identity"));
      const auto opened = LogStorage::Open(folder.Data(), "a");
      REQUIRE_FALSE(opened.Ok());
      CHECK(opened.error().code == StorageErrc::kCorrupt);
    }
  }
}

// Guards against a founding host that becomes a learner for good because its first start was
// interrupted, so that the group may never create its log.
TEST_CASE("a format that was interrupted is completed by the next one") {
  const std::vector<std::string> hosts{"a", "b", "c"};

  SUBCASE("after a crash at any operation") {
    bool succeeded = false;
    for (int operations = 0; !succeeded; ++operations) {
      CAPTURE(operations);
      const TemporaryFolder folder;
      FaultyFiles files;
      files.operations_left = operations;
      succeeded = LogStorage::Format(folder.Data(), "a", hosts, files).Ok();
      const auto again = LogStorage::Format(folder.Data(), "a", hosts);
      const bool is_formatted = again || again.error().code == StorageErrc::kAlreadyFormatted;
      CHECK(is_formatted);
      CHECK(MustOpen(folder)->Recovered().founding_hosts == hosts);
    }
  }
  SUBCASE("by a start that formats nothing, once the format has been recorded") {
    bool succeeded = false;
    int completed = 0;
    for (int operations = 0; !succeeded; ++operations) {
      CAPTURE(operations);
      const TemporaryFolder folder;
      FaultyFiles files;
      files.operations_left = operations;
      succeeded = LogStorage::Format(folder.Data(), "a", hosts, files).Ok();
      if (!fs::exists(folder.File("format"))) continue;
      auto storage = MustOpen(folder);
      CHECK(storage->Recovered().founding_hosts == hosts);
      CHECK_FALSE(storage->Report().created);
      ++completed;
    }
    CHECK(completed > 10);
  }
  SUBCASE("in a folder that holds a file of another program") {
    const TemporaryFolder folder;
    fs::create_directories(folder.Data());
    WriteFile(folder.File("lost+found"), "");
    REQUIRE(LogStorage::Format(folder.Data(), "a", hosts).Ok());
    CHECK(MustOpen(folder)->Recovered().founding_hosts == hosts);
  }
  SUBCASE("but not if the identity is missing beside a vote") {
    const TemporaryFolder folder;
    REQUIRE(LogStorage::Format(folder.Data(), "a", hosts).Ok());
    MustCommit(*MustOpen(folder), {PersistHardState{{1, ReplicaId{"a", "1"}}}});
    fs::remove(folder.File("identity"));
    const auto again = LogStorage::Format(folder.Data(), "a", hosts);
    REQUIRE_FALSE(again.Ok());
    CHECK(again.error().code == StorageErrc::kCorrupt);
  }
}

// Guards against a host without a vote whose log does not tell whether its disk was lost or its
// first start was interrupted.
TEST_CASE("the origin of a data folder is known when it is opened") {
  const std::vector<std::string> hosts{"a", "b", "c"};
  const TemporaryFolder folder;
  const auto origin = [&folder](FolderHistory history) {
    auto storage = MustOpen(folder);
    history.created = storage->Report().created;
    history.has_founding_hosts = !storage->Recovered().founding_hosts.empty();
    return OriginOf(history);
  };
  const auto format = [&folder, &hosts] {
    FolderHistory history;
    history.creation_was_interrupted = LogStorage::IsCreationInterrupted(folder.Data());
    history.formatted = LogStorage::Format(folder.Data(), "a", hosts).Ok();
    return history;
  };

  SUBCASE("no folder") {
    CHECK_FALSE(LogStorage::IsCreationInterrupted(folder.Data()));
    SUBCASE("is formatted") {
      CHECK(origin(format()) == FolderOrigin::kFormattedNow);
      CHECK_FALSE(LogStorage::IsCreationInterrupted(folder.Data()));
      CHECK(origin(format()) == FolderOrigin::kFormattedEarlier);
      CHECK(origin({}) == FolderOrigin::kFormattedEarlier);
    }
    SUBCASE("is created for a learner") {
      CHECK(origin({}) == FolderOrigin::kLearnerCreated);
      CHECK_FALSE(LogStorage::IsCreationInterrupted(folder.Data()));
      CHECK(origin(format()) == FolderOrigin::kLearnerEarlier);
    }
  }
  SUBCASE("an empty folder, or one with a file of another program, is as none") {
    fs::create_directories(folder.Data());
    CHECK_FALSE(LogStorage::IsCreationInterrupted(folder.Data()));
    WriteFile(folder.File("lost+found"), "");
    CHECK_FALSE(LogStorage::IsCreationInterrupted(folder.Data()));
  }
  SUBCASE("a creation that was interrupted after any operation") {
    FaultyFiles files;
    bool succeeded = false;
    // The first operation creates the first file.
    for (int operations = 1; !succeeded; ++operations) {
      CAPTURE(operations);
      fs::remove_all(folder.Data());
      files.operations_left = operations;
      succeeded = LogStorage::Format(folder.Data(), "a", hosts, files).Ok();
      const bool has_identity = fs::exists(folder.File("identity"));
      CHECK(LogStorage::IsCreationInterrupted(folder.Data()) == !has_identity);
    }
    fs::remove(folder.File("identity"));
    REQUIRE(LogStorage::IsCreationInterrupted(folder.Data()));
    SUBCASE("is completed by a format") {
      CHECK(origin(format()) == FolderOrigin::kFormatCompleted);
    }
    SUBCASE("is completed by a start that formats nothing") {
      FolderHistory history;
      history.creation_was_interrupted = true;
      CHECK(origin(history) == FolderOrigin::kFormatCompleted);
    }
    SUBCASE("is completed for a learner if no format was recorded") {
      fs::remove(folder.File("format"));
      FolderHistory history;
      history.creation_was_interrupted = true;
      CHECK(origin(history) == FolderOrigin::kLearnerCompleted);
    }
  }
}

// Guards against acknowledged state that is lost in a restart.
TEST_CASE("all synced state survives a restart") {
  const TemporaryFolder folder;
  auto storage = MustOpen(folder);
  const HardState hard_state{7, ReplicaId{"b", "2"}};
  MustCommit(*storage, {PersistHardState{hard_state}, PersistEntries{Entries(1, 5, 3)}});

  SUBCASE("term, vote and entries") {
    storage.reset();
    storage = MustOpen(folder);
    CHECK(storage->Recovered().hard_state == hard_state);
    CHECK(storage->Recovered().entries == Entries(1, 5, 3));
  }
  SUBCASE("entries that overwrite a tail") {
    MustCommit(*storage, {PersistEntries{Entries(4, 4, 5)}});
    storage.reset();
    storage = MustOpen(folder);
    std::vector<LogEntry> expected = Entries(1, 3, 3);
    expected.push_back(Entry(4, 5));
    CHECK(storage->Recovered().entries == expected);
  }
  SUBCASE("a snapshot and the entries kept around it") {
    MustCommit(*storage, {SnapshotAt({4, 3}, {2, 3}), PersistEntries{Entries(6, 7, 3)}});
    storage.reset();
    storage = MustOpen(folder);
    CHECK(*storage->Recovered().snapshot->data == "state at 4");
    CHECK(storage->Recovered().snapshot->members.VoterCount() == 1);
    CHECK(storage->Recovered().log_base == LogPosition{2, 3});
    CHECK(storage->Recovered().entries == Entries(3, 7, 3));

    SUBCASE("also when it replaces the whole log") {
      MustCommit(*storage,
                 {SnapshotAt({20, 9}, {20, 9}, true), PersistEntries{Entries(21, 22, 9)}});
      storage.reset();
      storage = MustOpen(folder);
      CHECK(storage->Recovered().log_base == LogPosition{20, 9});
      CHECK(storage->Recovered().entries == Entries(21, 22, 9));
    }
  }
  SUBCASE("with one sync for all waiting batches") {
    const std::uint64_t before = storage->SyncCount();
    std::vector<ActionBatch> batches;
    for (std::uint64_t i = 6; i <= 25; ++i) {
      batches.push_back({i, true, {PersistEntries{Entries(i, i, 3)}}});
    }
    REQUIRE(storage->Commit(batches).Ok());
    CHECK(storage->SyncCount() == before + 1);
  }
}

// Guards against a torn write that keeps the replica from starting, and against corruption that is
// truncated as if it were a torn write.
TEST_CASE("recovery distinguishes corruption in the log from a torn last record") {
  const TemporaryFolder folder;
  {
    auto storage = MustOpen(folder);
    for (std::uint64_t index = 1; index <= 4; ++index) {
      MustCommit(*storage, {PersistEntries{Entries(index, index, 3)}});
    }
  }
  const std::string whole = ReadFile(folder.File("log"));
  const std::size_t record = EncodeLogRecord(Entry(1, 3), true).size();
  const std::size_t last = kLogHeaderBytes + 3 * record;
  REQUIRE(whole.size() == last + record);

  SUBCASE("a partial last record of any length is truncated and reported") {
    for (std::size_t size = last + 1; size < whole.size(); ++size) {
      CAPTURE(size);
      WriteFile(folder.File("log"), whole.substr(0, size));
      auto storage = MustOpen(folder);
      CHECK(storage->Recovered().entries == Entries(1, 3, 3));
      CHECK(storage->Report().truncated_at == last);
      CHECK(storage->Report().truncated_bytes == size - last);
      CHECK(fs::file_size(folder.File("log")) == last);
      MustCommit(*storage, {PersistEntries{Entries(4, 4, 3)}});
      CHECK(ReadFile(folder.File("log")) == whole);
    }
  }
  // Guards against the loss of acknowledged entries when a host is started with an older version.
  SUBCASE("an intact last record of an unknown kind is an error and is kept") {
    LogEntry newer = Entry(4, 3);
    newer.kind = static_cast<EntryKind>(9);
    const std::string bytes = whole.substr(0, last) + EncodeLogRecord(newer, true);
    WriteFile(folder.File("log"), bytes);
    const auto opened = LogStorage::Open(folder.Data(), "a");
    REQUIRE_FALSE(opened.Ok());
    CHECK(opened.error().code == StorageErrc::kNewerFormat);
    CHECK(opened.error().detail.find("offset " + std::to_string(last)) != std::string::npos);
    CHECK(ReadFile(folder.File("log")) == bytes);
  }
  SUBCASE("any damaged byte of a synced record before a valid one is an error with its offset") {
    for (std::size_t at = kLogHeaderBytes + record; at < kLogHeaderBytes + 2 * record; ++at) {
      CAPTURE(at);
      std::string bytes = whole;
      bytes[at] = static_cast<char>(bytes[at] ^ 0x41);
      WriteFile(folder.File("log"), bytes);
      const auto opened = LogStorage::Open(folder.Data(), "a");
      REQUIRE_FALSE(opened.Ok());
      CHECK(opened.error().code == StorageErrc::kCorrupt);
      const std::string place = "log at offset " + std::to_string(kLogHeaderBytes + record);
      CHECK(opened.error().detail.find(place) != std::string::npos);
      CHECK(ReadFile(folder.File("log")) == bytes);
    }
  }
  SUBCASE("a missing record is an error") {
    WriteFile(folder.File("log"),
              whole.substr(0, kLogHeaderBytes) + whole.substr(kLogHeaderBytes + record));
    CHECK(LogStorage::Open(folder.Data(), "a").error().code == StorageErrc::kCorrupt);
  }
  SUBCASE("any damaged byte of the other files is an error") {
    for (const char* name : {"identity", "hard_state"}) {
      const std::string good = ReadFile(folder.File(name));
      for (std::size_t at = 0; at < good.size(); ++at) {
        CAPTURE(name);
        CAPTURE(at);
        std::string bytes = good;
        bytes[at] = static_cast<char>(bytes[at] ^ 0x41);
        WriteFile(folder.File(name), bytes);
        const auto opened = LogStorage::Open(folder.Data(), "a");
        REQUIRE_FALSE(opened.Ok());
        CHECK(opened.error().code == StorageErrc::kCorrupt);
        CHECK(opened.error().detail.find(name) != std::string::npos);
      }
      WriteFile(folder.File(name), good);
    }
  }
}

// Guards against an acknowledgement of data that a full disk did not store, and against the loss of
// data stored before.
TEST_CASE("a failed write is reported and loses no synced record") {
  const TemporaryFolder folder;
  FaultyFiles files;
  auto storage = MustOpen(folder, files);
  MustCommit(*storage, {PersistEntries{Entries(1, 3, 2)}});

  struct Fault {
    const char* name;
    int bytes_left;
    int syncs_left;
    StorageErrc expected;
  };
  const Fault faults[] = {
      {"no byte fits", 0, -1, StorageErrc::kDiskFull},
      {"a part of a record fits", 30, -1, StorageErrc::kDiskFull},
      {"one of two records fits", 60, -1, StorageErrc::kDiskFull},
      {"the sync fails", -1, 0, StorageErrc::kWriteFailed},
  };
  for (const Fault& fault : faults) {
    CAPTURE(fault.name);
    files.bytes_left = fault.bytes_left;
    files.syncs_left = fault.syncs_left;
    const Status refused = storage->Commit({{2, true, {PersistEntries{Entries(4, 5, 2)}}}});
    REQUIRE_FALSE(refused.Ok());
    CHECK(refused.error().code == fault.expected);
    CHECK(refused.error().detail.find("log") != std::string::npos);

    // The content of the file is unknown, so later writes fail even when there is space again.
    files.bytes_left = files.syncs_left = -1;
    CHECK_FALSE(storage->Commit({{3, true, {PersistEntries{Entries(4, 4, 2)}}}}).Ok());
    CHECK_FALSE(storage->Commit({{4, true, {PersistHardState{{9, {}}}}}}).Ok());

    storage.reset();
    storage = MustOpen(folder, files);
    const auto& entries = storage->Recovered().entries;
    REQUIRE(entries.size() >= 3);
    CHECK(std::vector<LogEntry>(entries.begin(), entries.begin() + 3) == Entries(1, 3, 2));
    CHECK(storage->Recovered().hard_state.term == 0);
    MustCommit(*storage, {PersistEntries{Entries(4, 4, 2)}});
    storage.reset();
    storage = MustOpen(folder, files);
    CHECK(storage->Recovered().entries == Entries(1, 4, 2));
    // Truncates the log to three records for the next fault.
    MustCommit(*storage, {PersistEntries{{Entry(3, 2)}}});
  }
}

// Guards against a real write error that is handled differently from the simulated one.
TEST_CASE("the file size limit of the process is reported as a full disk") {
  const TemporaryFolder folder;
  auto storage = MustOpen(folder);
  MustCommit(*storage, {PersistEntries{Entries(1, 3, 2)}});
  rlimit before{};
  getrlimit(RLIMIT_FSIZE, &before);
  const auto old_handler = std::signal(SIGXFSZ, SIG_IGN);
  rlimit small = before;
  small.rlim_cur = fs::file_size(folder.File("log")) + 20;
  setrlimit(RLIMIT_FSIZE, &small);
  const Status refused = storage->Commit({{2, true, {PersistEntries{Entries(4, 4, 2)}}}});
  setrlimit(RLIMIT_FSIZE, &before);
  std::signal(SIGXFSZ, old_handler);
  REQUIRE_FALSE(refused.Ok());
  CHECK(refused.error().code == StorageErrc::kDiskFull);
  storage.reset();
  storage = MustOpen(folder);
  CHECK(storage->Recovered().entries == Entries(1, 3, 2));
  CHECK(storage->Report().truncated_bytes == 20);
}

// Guards against a crash during a sequence of writes that loses acknowledged state or keeps later
// writes without the earlier ones.
TEST_CASE("a crash at any file operation preserves acknowledged state") {
  const std::vector<std::vector<Action>> steps = {
      {PersistHardState{{2, ReplicaId{"a", "1"}}}, PersistEntries{Entries(1, 4, 2)}},
      {PersistEntries{Entries(3, 6, 3)}},
      {SnapshotAt({5, 3}, {3, 3}, false)},
      {PersistHardState{{4, {}}}, PersistEntries{Entries(7, 9, 4)}},
      {SnapshotAt({12, 6}, {12, 6}, true), PersistEntries{Entries(13, 14, 6)}},
      {PersistEntries{Entries(14, 15, 7)}},
  };
  const LogPosition last_after[] = {{0, 0}, {4, 2}, {6, 3}, {6, 3}, {9, 4}, {14, 6}, {15, 7}};
  const std::uint64_t term_after[] = {0, 2, 2, 2, 4, 4, 4};
  bool finished = false;
  int crash_points = 0;
  for (int operations = 0; !finished; ++operations) {
    CAPTURE(operations);
    const TemporaryFolder folder;
    FaultyFiles files;
    auto storage = MustOpen(folder, files);
    files.operations_left = operations;
    std::size_t acknowledged = 0;
    for (const auto& step : steps) {
      if (!storage->Commit({{acknowledged + 1, true, step}}).Ok()) break;
      ++acknowledged;
    }
    finished = acknowledged == steps.size();
    crash_points += finished ? 0 : 1;
    storage.reset();
    storage = MustOpen(folder);
    const PersistentState& state = storage->Recovered();
    CAPTURE(acknowledged);
    CHECK(state.hard_state.term >= term_after[acknowledged]);
    const LogPosition last =
        state.entries.empty() ? state.log_base
                              : LogPosition{state.entries.back().index, state.entries.back().term};
    // The interrupted step may have replaced the tail from its first new entry on.
    const bool overwrites = acknowledged < steps.size() && (acknowledged == 1 || acknowledged == 5);
    const std::uint64_t kept =
        overwrites ? (acknowledged == 1 ? 2 : 13) : last_after[acknowledged].index;
    CHECK(last.index >= kept);
    CHECK(last.term >= (overwrites && acknowledged == 1 ? 2 : last_after[acknowledged].term));
    if (acknowledged >= 3) CHECK(state.snapshot.has_value());
    if (state.snapshot) CHECK(state.log_base.index <= state.snapshot->last.index);
    if (state.snapshot) CHECK(last.index >= state.snapshot->last.index);
  }
  CHECK(crash_points > 30);
}

// Guards against a disk that was full for some seconds and is never written again, and against a
// retry that loses records or mixes old and new ones.
TEST_CASE("after a failed write the same actions can be written again") {
  const std::vector<std::vector<Action>> steps = {
      {PersistHardState{{2, ReplicaId{"a", "1"}}}, PersistEntries{Entries(1, 4, 2)}},
      {PersistEntries{Entries(3, 6, 3)}},
      {PersistEntries{Entries(7, 8, 3)}, SnapshotAt({5, 3}, {3, 3}, false)},
      {PersistHardState{{4, {}}}, PersistEntries{Entries(9, 10, 4)}},
      {SnapshotAt({12, 6}, {12, 6}, true), PersistEntries{Entries(13, 14, 6)}},
      {PersistEntries{Entries(14, 15, 7)}},
  };
  const TemporaryFolder folder;
  FaultyFiles files;

  SUBCASE("whichever file operation failed, and however often") {
    const auto write_all = [&](LogStorage& storage, int operations, int failures) {
      bool has_failed = false;
      files.operations_left = operations;
      for (const auto& step : steps) {
        Status status = storage.Commit({{1, true, step}});
        for (int i = 0; !status && i < failures; ++i) status = storage.Rewind();
        if (status) continue;
        has_failed = true;
        files.operations_left = -1;
        REQUIRE(storage.Rewind().Ok());
        REQUIRE(storage.Commit({{1, true, step}}).Ok());
      }
      return has_failed;
    };
    int fault_points = 0;
    for (const int failures : {0, 2}) {
      bool has_failed = true;
      for (int operations = 0; has_failed; ++operations) {
        CAPTURE(failures);
        CAPTURE(operations);
        fs::remove_all(folder.Data());
        files.operations_left = -1;
        auto storage = MustOpen(folder, files);
        has_failed = write_all(*storage, operations, failures);
        fault_points += has_failed ? 1 : 0;
        storage.reset();
        storage = MustOpen(folder);
        const PersistentState& state = storage->Recovered();
        CHECK(state.hard_state == HardState{4, {}});
        CHECK(*state.snapshot->data == "state at 12");
        CHECK(state.log_base == LogPosition{12, 6});
        CHECK(state.entries == std::vector<LogEntry>{Entry(13, 6), Entry(14, 7), Entry(15, 7)});
        CHECK(storage->Report().truncated_bytes == 0);
      }
    }
    CHECK(fault_points > 60);
  }
  SUBCASE("also when the failed sync has lost what was written") {
    auto storage = MustOpen(folder, files);
    MustCommit(*storage, {PersistEntries{Entries(1, 3, 2)}});
    files.syncs_left = 0;
    files.failed_sync_loses_writes = true;
    const std::vector<ActionBatch> batches = {{2, true, {PersistEntries{Entries(4, 5, 2)}}},
                                              {3, true, {PersistEntries{Entries(6, 6, 2)}}}};
    CHECK_FALSE(storage->Commit(batches).Ok());
    files.syncs_left = -1;
    REQUIRE(storage->Rewind().Ok());
    REQUIRE(storage->Commit(batches).Ok());
    storage.reset();
    CHECK(MustOpen(folder)->Recovered().entries == Entries(1, 6, 2));
  }
  SUBCASE("and nothing is written before the file has been restored") {
    auto storage = MustOpen(folder, files);
    MustCommit(*storage, {PersistEntries{Entries(1, 3, 2)}});
    files.bytes_left = 30;
    CHECK_FALSE(storage->Commit({{2, true, {PersistEntries{Entries(4, 4, 2)}}}}).Ok());
    files.bytes_left = -1;
    CHECK_FALSE(storage->Commit({{2, true, {PersistEntries{Entries(4, 4, 2)}}}}).Ok());
    REQUIRE(storage->Rewind().Ok());
    MustCommit(*storage, {PersistEntries{Entries(4, 4, 2)}});
  }
  SUBCASE("but a record that does not follow the last one is an error that no retry mends") {
    auto storage = MustOpen(folder, files);
    const Status refused = storage->Commit({{1, true, {PersistEntries{Entries(2, 2, 1)}}}});
    REQUIRE_FALSE(refused.Ok());
    CHECK(refused.error().code == StorageErrc::kOutOfOrder);
  }
}

}  // namespace
}  // namespace corneltray
