// LogStorage on a file system that loses power: what was not synced is kept or lost part by part.
#include <doctest/doctest.h>

#include <algorithm>
#include <cerrno>
#include <map>
#include <memory>
#include <random>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "corneltray/log_storage.h"

namespace corneltray {
namespace {

constexpr char kFolder[] = "/data";
constexpr std::size_t kSectorBytes = 512;
constexpr int kSeeds = 40;

// Which of the unsynced changes are on the disk after a loss of power.
enum class Survival {
  kNone,       // all of them are gone
  kPrefix,     // the first ones, and a part of the next one
  kAnyWrites,  // each one is present, missing or cut short, also a later one without an earlier one
  kAnySectors,  // the same for each sector of a write
};

// A file system in memory that distinguishes what was synced from what was not.
class PowerLossFiles : public FileOperations {
 public:
  int operations_left = -1;  // after these modifying calls every call fails until LosePower

  int Open(const std::string& path, bool create, int* descriptor) override {
    if (HasStopped(create)) return EIO;
    auto found = m_names.find(path);
    if (found == m_names.end()) {
      if (!create) return ENOENT;
      found = m_names.emplace(path, std::make_shared<File>()).first;
      m_name_changes.push_back({"", path, found->second});
    }
    *descriptor = ++m_last_descriptor;
    m_open[*descriptor] = found->second;
    return 0;
  }
  void Close(int descriptor) override { m_open.erase(descriptor); }
  int WriteAt(int descriptor, std::uint64_t offset, const std::string& bytes) override {
    File& file = *m_open.at(descriptor);
    if (!HasStopped(true)) return Change(&file, {offset, bytes, false});
    // The loss of power interrupts this write.
    if (!std::exchange(m_interrupted, true)) Change(&file, {offset, bytes, false});
    return EIO;
  }
  int Lock(int) override { return 0; }
  int Truncate(int descriptor, std::uint64_t size) override {
    if (HasStopped(true)) return EIO;
    return Change(m_open.at(descriptor).get(), {size, "", true});
  }
  int Sync(int descriptor) override {
    if (HasStopped(true)) return EIO;
    File& file = *m_open.at(descriptor);
    file.synced = file.content;
    file.unsynced.clear();
    return 0;
  }
  int Rename(const std::string& from, const std::string& to) override {
    if (HasStopped(true)) return EIO;
    const auto file = m_names.extract(from);
    if (file.empty()) return ENOENT;
    m_names[to] = file.mapped();
    m_name_changes.push_back({from, to, file.mapped()});
    return 0;
  }
  int SyncFolder(const std::string&) override {
    if (HasStopped(true)) return EIO;
    m_synced_names = m_names;
    m_name_changes.clear();
    return 0;
  }
  int CreateFolder(const std::string&) override { return HasStopped(true) ? EIO : 0; }
  int Read(const std::string& path, std::string* bytes) override {
    if (HasStopped(false)) return EIO;
    const auto found = m_names.find(path);
    if (found == m_names.end()) return ENOENT;
    *bytes = found->second->content;
    return 0;
  }

  // Lets later calls succeed, as after a restart of the process alone.
  void Resume() {
    m_open.clear();
    operations_left = -1;
    m_interrupted = false;
  }

  // Drops unsynced changes of files and of names, and lets later calls succeed.
  void LosePower(Survival survival, std::mt19937* random) {
    std::map<std::string, std::shared_ptr<File>> names = m_synced_names;
    for (const NameChange& change : m_name_changes) {
      if (survival == Survival::kNone || (*random)() % 2 == 0) continue;
      if (!change.from.empty()) names.erase(change.from);
      names[change.to] = change.file;
    }
    m_names = m_synced_names = std::move(names);
    m_name_changes.clear();
    for (const auto& [name, file] : m_names) RevertFile(file.get(), survival, random);
    Resume();
  }

 private:
  struct FileChange {
    std::uint64_t offset = 0;  // or the new size
    std::string bytes;
    bool truncates = false;
  };
  struct File {
    std::string synced;
    std::string content;
    std::vector<FileChange> unsynced;
  };
  struct NameChange {
    std::string from;  // empty for a new file
    std::string to;
    std::shared_ptr<File> file;
  };

  static int Change(File* file, FileChange change) {
    Apply(change, &file->content);
    file->unsynced.push_back(std::move(change));
    return 0;
  }
  static void Apply(const FileChange& change, std::string* content) {
    if (change.truncates) {
      content->resize(change.offset);
    } else {
      content->resize(std::max<std::size_t>(content->size(), change.offset + change.bytes.size()));
      content->replace(change.offset, change.bytes.size(), change.bytes);
    }
  }
  static void RevertFile(File* file, Survival survival, std::mt19937* random) {
    std::size_t whole = 0;
    if (survival == Survival::kPrefix) whole = (*random)() % (file->unsynced.size() + 1);
    file->content = file->synced;
    for (std::size_t i = 0; i < file->unsynced.size(); ++i) {
      const FileChange& change = file->unsynced[i];
      if (survival == Survival::kPrefix) {
        if (i < whole) Apply(change, &file->content);
        if (i == whole) ApplyStart(change, random, &file->content);
      } else if (survival != Survival::kNone) {
        const auto fate = (*random)() % 3;
        if (fate == 1) Apply(change, &file->content);
        if (fate == 2 && survival == Survival::kAnyWrites) {
          ApplyStart(change, random, &file->content);
        }
        if (fate == 2 && survival == Survival::kAnySectors) {
          ApplySectors(change, random, &file->content);
        }
      }
    }
    file->synced = file->content;
    file->unsynced.clear();
  }
  static void ApplyStart(FileChange change, std::mt19937* random, std::string* content) {
    change.bytes.resize((*random)() % (change.bytes.size() + 1));
    if (!change.bytes.empty()) Apply(change, content);
  }
  static void ApplySectors(const FileChange& change, std::mt19937* random, std::string* content) {
    for (std::size_t at = 0; at < change.bytes.size(); at += kSectorBytes) {
      if ((*random)() % 2 == 0) continue;
      Apply({change.offset + at, change.bytes.substr(at, kSectorBytes), false}, content);
    }
  }

  bool HasStopped(bool changes) {
    if (operations_left == 0) return true;
    if (changes && operations_left > 0) --operations_left;
    return false;
  }

  std::map<std::string, std::shared_ptr<File>> m_names;
  std::map<std::string, std::shared_ptr<File>> m_synced_names;
  std::vector<NameChange> m_name_changes;  // since the last sync of the folder
  std::map<int, std::shared_ptr<File>> m_open;
  int m_last_descriptor = 0;
  bool m_interrupted = false;  // the write that the loss of power interrupts was seen
};

const std::vector<std::string> kHosts{"a", "b", "c"};

std::vector<LogEntry> Entries(std::uint64_t first, std::uint64_t last, std::uint64_t term) {
  std::vector<LogEntry> entries;
  for (std::uint64_t i = first; i <= last; ++i) {
    // Records of several sectors, so that a torn write may lose a part of one.
    const std::string payload = std::to_string(i) + ' ' + std::string(700, 'x');
    entries.push_back({i, term, EntryKind::kCommand, static_cast<UnixMs>(1000 + i), payload});
  }
  return entries;
}

PersistSnapshot SnapshotAt(LogPosition last, LogPosition keep_after, bool reset) {
  Snapshot snapshot;
  snapshot.last = last;
  snapshot.timestamp = 7;
  snapshot.members.members[{"a", "1"}] = MemberRole::kVoter;
  snapshot.data = std::make_shared<const std::string>("state at " + std::to_string(last.index));
  return {snapshot, keep_after, reset};
}

// The batches of one element are on the disk before any of the next one. Their writes share a sync,
// as those that wait for the storage thread do.
using Step = std::vector<ActionBatch>;

ActionBatch Batch(std::vector<Action> actions) { return {1, true, std::move(actions)}; }

std::vector<Step> Steps() {
  return {
      {Batch({PersistHardState{{2, ReplicaId{"a", "1"}}}, PersistEntries{Entries(1, 2, 2)}})},
      {Batch({PersistEntries{Entries(3, 3, 2)}}), Batch({PersistEntries{Entries(4, 4, 2)}}),
       Batch({PersistEntries{Entries(5, 6, 2)}})},
      {Batch({PersistEntries{Entries(5, 7, 3)}}), Batch({PersistEntries{Entries(8, 8, 3)}})},
      {Batch({SnapshotAt({7, 3}, {4, 2}, false)})},
      {Batch({PersistHardState{{4, {}}}, PersistEntries{Entries(9, 10, 4)}}),
       Batch({PersistEntries{Entries(11, 11, 4)}})},
      {Batch({SnapshotAt({14, 6}, {14, 6}, true), PersistEntries{Entries(15, 16, 6)}})},
      {Batch({PersistEntries{Entries(17, 17, 6)}}), Batch({PersistEntries{Entries(18, 18, 6)}})},
  };
}

// What the completed steps have stored, as far as no later step may have replaced it.
struct Acknowledged {
  HardState hard_state;
  std::map<std::uint64_t, LogEntry> entries;  // by index
  std::uint64_t snapshot_index = 0;

  void Add(const Action& action) {
    if (const auto* hard = std::get_if<PersistHardState>(&action)) hard_state = hard->hard_state;
    if (const auto* snapshot = std::get_if<PersistSnapshot>(&action)) {
      snapshot_index = snapshot->snapshot.last.index;
      if (snapshot->reset_log) entries.clear();
    }
    if (const auto* added = std::get_if<PersistEntries>(&action)) {
      Overwrite(*added);
      for (const LogEntry& entry : added->entries) entries[entry.index] = entry;
    }
  }
  void Overwrite(const PersistEntries& added) {
    entries.erase(entries.lower_bound(added.entries.front().index), entries.end());
  }
  // A step that was interrupted may have removed what it was to replace.
  void Interrupt(const Step& step) {
    for (const ActionBatch& batch : step) {
      for (const Action& action : batch.actions) {
        if (const auto* added = std::get_if<PersistEntries>(&action)) Overwrite(*added);
        const auto* snapshot = std::get_if<PersistSnapshot>(&action);
        if (snapshot != nullptr && snapshot->reset_log) entries.clear();
      }
    }
  }
};

void CheckState(const PersistentState& state, const Acknowledged& acknowledged) {
  CHECK(state.hard_state.term >= acknowledged.hard_state.term);
  if (state.hard_state.term == acknowledged.hard_state.term) {
    CHECK(state.hard_state == acknowledged.hard_state);
  }
  const std::uint64_t snapshot_index = state.snapshot ? state.snapshot->last.index : 0;
  CHECK(snapshot_index >= acknowledged.snapshot_index);
  CHECK(state.log_base.index <= snapshot_index);
  for (const auto& row : acknowledged.entries) {
    const std::uint64_t index = row.first;
    CAPTURE(index);
    if (index <= state.log_base.index) continue;  // covered by the snapshot
    REQUIRE(index - state.log_base.index <= state.entries.size());
    CHECK(state.entries[index - state.log_base.index - 1] == row.second);
  }
  // Nothing is recovered that was not written.
  for (const LogEntry& entry : state.entries) {
    CHECK(entry == Entries(entry.index, entry.index, entry.term).front());
  }
}

// Runs all steps until the power is lost. Returns whether it was lost before the end.
bool RunSteps(PowerLossFiles* files, int operations, Acknowledged* acknowledged) {
  REQUIRE(LogStorage::Format(kFolder, "a", kHosts, *files).Ok());
  auto opened = LogStorage::Open(kFolder, "a", *files);
  REQUIRE(opened.Ok());
  files->operations_left = operations;
  for (const Step& step : Steps()) {
    if (!opened.value()->Commit(step).Ok()) {
      acknowledged->Interrupt(step);
      return true;
    }
    for (const ActionBatch& batch : step) {
      for (const Action& action : batch.actions) acknowledged->Add(action);
    }
  }
  return false;
}

// Loses power at each file operation in turn, and checks what the next start finds.
void CheckLossAtAnyOperation(Survival survival, int losses_during_recovery) {
  int starts = 0;
  bool interrupted = true;
  for (int operations = 0; interrupted; ++operations) {
    for (int seed = 0; seed < kSeeds; ++seed) {
      CAPTURE(operations);
      CAPTURE(seed);
      std::mt19937 random(static_cast<unsigned>(seed));
      PowerLossFiles files;
      Acknowledged acknowledged;
      interrupted = RunSteps(&files, operations, &acknowledged);
      files.LosePower(survival, &random);
      for (int i = 0; i < losses_during_recovery; ++i) {
        files.operations_left = static_cast<int>(random() % 6);
        static_cast<void>(LogStorage::Open(kFolder, "a", files));
        files.LosePower(survival, &random);
      }
      const auto opened = LogStorage::Open(kFolder, "a", files);
      INFO((opened ? "" : opened.error().ToString()));
      CHECK(opened.Ok());
      if (!opened) return;  // the other subcases run too
      CHECK_FALSE(opened.value()->Report().created);
      CHECK(opened.value()->Recovered().founding_hosts == kHosts);
      CheckState(opened.value()->Recovered(), acknowledged);
      ++starts;
    }
  }
  CHECK(starts > 30 * kSeeds);
}

// Guards against a host that no longer starts, or starts without acknowledged state or with records
// that were never written, after a loss of power.
TEST_CASE("acknowledged state survives a loss of power at any file operation") {
  SUBCASE("that keeps no change without a sync") { CheckLossAtAnyOperation(Survival::kNone, 0); }
  SUBCASE("that keeps the first changes and a part of the next one") {
    CheckLossAtAnyOperation(Survival::kPrefix, 0);
    SUBCASE("also when the power is lost again twice during the recovery") {
      CheckLossAtAnyOperation(Survival::kPrefix, 2);
    }
  }
}

// Guards against a host that no longer starts because the disk stored unsynced writes in another
// order: a later record is valid and an earlier one is damaged, and none of them was acknowledged.
TEST_CASE("acknowledged state survives a loss of power that keeps any subset of unsynced writes") {
  SUBCASE("in whole writes") { CheckLossAtAnyOperation(Survival::kAnyWrites, 0); }
  SUBCASE("in sectors of a write") { CheckLossAtAnyOperation(Survival::kAnySectors, 0); }
  SUBCASE("and again twice during the recovery") {
    CheckLossAtAnyOperation(Survival::kAnyWrites, 2);
  }
}

// Guards against a vote or an entry that a replica acts on after its process was killed, and that a
// later loss of power takes back, because the killed process had not synced it.
TEST_CASE("what a start has recovered survives a loss of power") {
  bool interrupted = true;
  for (int operations = 0; interrupted; ++operations) {
    CAPTURE(operations);
    std::mt19937 random(1);
    PowerLossFiles files;
    Acknowledged acknowledged;
    interrupted = RunSteps(&files, operations, &acknowledged);
    files.Resume();
    auto opened = LogStorage::Open(kFolder, "a", files);
    REQUIRE(opened.Ok());
    const PersistentState recovered = opened.value()->Recovered();
    files.LosePower(Survival::kNone, &random);
    opened = LogStorage::Open(kFolder, "a", files);
    REQUIRE(opened.Ok());
    const PersistentState& after = opened.value()->Recovered();
    CHECK(after.hard_state == recovered.hard_state);
    CHECK(after.entries == recovered.entries);
    CHECK(after.snapshot.has_value() == recovered.snapshot.has_value());
    if (after.snapshot) CHECK(after.snapshot->last == recovered.snapshot->last);
  }
}

// Guards against a founding host that becomes a learner, or no longer starts, because it lost power
// during its first start, and against a second identity of a disk that already has one.
TEST_CASE("a format survives a loss of power at any file operation") {
  for (const Survival survival :
       {Survival::kNone, Survival::kPrefix, Survival::kAnyWrites, Survival::kAnySectors}) {
    bool formatted = false;
    for (int operations = 0; !formatted; ++operations) {
      for (int seed = 0; seed < kSeeds; ++seed) {
        CAPTURE(operations);
        CAPTURE(seed);
        std::mt19937 random(static_cast<unsigned>(seed));
        PowerLossFiles files;
        files.operations_left = operations;
        const auto first = LogStorage::Format(kFolder, "a", kHosts, files);
        formatted = first.Ok();
        files.LosePower(survival, &random);

        const auto second = LogStorage::Format(kFolder, "a", kHosts, files);
        if (formatted) {
          REQUIRE_FALSE(second.Ok());
          CHECK(second.error().code == StorageErrc::kAlreadyFormatted);
        } else {
          const bool complete = second || second.error().code == StorageErrc::kAlreadyFormatted;
          CHECK(complete);
        }
        const auto opened = LogStorage::Open(kFolder, "a", files);
        INFO((opened ? "" : opened.error().ToString()));
        REQUIRE(opened.Ok());
        CHECK(opened.value()->Recovered().founding_hosts == kHosts);
        if (formatted) CHECK(opened.value()->Recovered().self == first.value());
      }
    }
  }
}

}  // namespace
}  // namespace corneltray
