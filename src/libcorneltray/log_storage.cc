#include "corneltray/log_storage.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <random>
#include <utility>

#include "log_storage_codec.h"

namespace corneltray {
namespace {

constexpr char kIdentityName[] = "identity";
constexpr char kFormatName[] = "format";
constexpr char kHardStateName[] = "hard_state";
constexpr char kSnapshotName[] = "snapshot";
constexpr char kLogName[] = "log";
constexpr char kTemporarySuffix[] = ".new";

class StorageCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "storage"; }
  std::string message(int value) const override {
    switch (static_cast<StorageErrc>(value)) {
      case StorageErrc::kDiskFull:
        return "disk full";
      case StorageErrc::kWriteFailed:
        return "write failed";
      case StorageErrc::kReadFailed:
        return "read failed";
      case StorageErrc::kCorrupt:
        return "corrupt file";
      case StorageErrc::kAlreadyFormatted:
        return "the folder is formatted already";
      case StorageErrc::kWrongHost:
        return "the folder belongs to another host";
      case StorageErrc::kInUse:
        return "the folder is in use by another process";
      case StorageErrc::kOutOfOrder:
        return "record out of order";
      case StorageErrc::kNewerFormat:
        return "a newer version of the program wrote this file";
    }
    return "unknown storage error";
  }
};

Error WriteError(const std::string& path, int error) {
  // EFBIG means that the file size limit was reached, which is handled like a full disk.
  const bool full = error == ENOSPC || error == EDQUOT || error == EFBIG;
  const StorageErrc code = full ? StorageErrc::kDiskFull : StorageErrc::kWriteFailed;
  return {code, path + ": " + std::strerror(error)};
}

Error ReadError(const std::string& path, int error) {
  return {StorageErrc::kReadFailed, path + ": " + std::strerror(error)};
}

Error CorruptError(const std::string& path, std::uint64_t offset, const std::string& what) {
  return {StorageErrc::kCorrupt, path + " at offset " + std::to_string(offset) + ": " + what};
}

// Returns 128 random bits in hexadecimal.
std::string NewDiskIdentity() {
  std::random_device random;
  std::string text;
  for (int i = 0; i < 4; ++i) {
    char word[9];
    std::snprintf(word, sizeof word, "%08x", static_cast<unsigned>(random()));
    text += word;
  }
  return text;
}

// Writes a file under a temporary name, syncs it and renames it. Returns the open descriptor of the
// new file. The new name is durable once the folder has been synced.
Result<int> RenameIntoPlace(FileOperations& files, const std::string& path,
                            const std::string& bytes) {
  const std::string temporary = path + kTemporarySuffix;
  int descriptor = -1;
  if (const int error = files.Open(temporary, true, &descriptor)) return WriteError(path, error);
  int error = files.Truncate(descriptor, 0);
  if (error == 0) error = files.WriteAt(descriptor, 0, bytes);
  if (error == 0) error = files.Sync(descriptor);
  if (error == 0) error = files.Rename(temporary, path);
  if (error == 0) return descriptor;
  files.Close(descriptor);
  return WriteError(path, error);
}

// Replaces a file atomically. After a crash the file has either the old or the new content.
Status ReplaceFile(FileOperations& files, const std::string& folder, const std::string& name,
                   const std::string& bytes) {
  const std::string path = folder + '/' + name;
  const auto descriptor = RenameIntoPlace(files, path, bytes);
  if (!descriptor) return descriptor.error();
  files.Close(descriptor.value());
  if (const int error = files.SyncFolder(folder)) return WriteError(path, error);
  return {};
}

// Writes the files of an empty replica. The identity is written last and marks the folder as
// complete.
Status CreateFiles(FileOperations& files, const std::string& folder, const IdentityFile& identity) {
  if (const int error = files.CreateFolder(folder)) return WriteError(folder, error);
  if (Status s = ReplaceFile(files, folder, kLogName, EncodeLogHeader({})); !s) return s;
  if (Status s = ReplaceFile(files, folder, kHardStateName, EncodeHardStateFile({})); !s) return s;
  return ReplaceFile(files, folder, kIdentityName, EncodeIdentityFile(identity));
}

// Returns the identity that an interrupted format of this host was to create, if any. A later start
// completes it, also one that is no first start any more.
std::optional<IdentityFile> BegunFormat(FileOperations& files, const std::string& folder,
                                        const std::string& host) {
  std::string bytes;
  if (files.Read(folder + '/' + kFormatName, &bytes) != 0) return std::nullopt;
  auto identity = DecodeIdentityFile(bytes);
  if (!identity || identity->self.host != host) return std::nullopt;
  return identity;
}

// A folder without an identity is new, or its creation was interrupted before anything was stored.
// Records or a vote without an identity are corruption: a new identity would hide the loss.
Status CheckIncompleteCreation(FileOperations& files, const std::string& folder) {
  const std::string identity = folder + '/' + kIdentityName;
  std::string bytes;
  if (files.Read(folder + '/' + kLogName, &bytes) == 0 && bytes.size() > kLogHeaderBytes) {
    return CorruptError(identity, 0, "file is missing, but the log has records");
  }
  if (files.Read(folder + '/' + kSnapshotName, &bytes) == 0) {
    return CorruptError(identity, 0, "file is missing, but there is a snapshot");
  }
  if (files.Read(folder + '/' + kHardStateName, &bytes) == 0) {
    const auto hard_state = DecodeHardStateFile(bytes);
    if (hard_state && hard_state->term > 0) {
      return CorruptError(identity, 0, "file is missing, but there is a term");
    }
  }
  return {};
}

class FileLogStorage : public LogStorage {
 public:
  FileLogStorage(std::string folder, FileOperations& files)
      : m_folder(std::move(folder)), m_files(files) {}
  ~FileLogStorage() override {
    if (m_log_descriptor >= 0) m_files.Close(m_log_descriptor);
    if (m_lock_descriptor >= 0) m_files.Close(m_lock_descriptor);
  }
  FileLogStorage(const FileLogStorage&) = delete;
  FileLogStorage& operator=(const FileLogStorage&) = delete;

  Status Recover(const std::string& host);

  PersistentState& Recovered() override { return m_recovered; }
  const StorageReport& Report() const override { return m_report; }
  Status Write(const Action& action) override;
  Status Sync() override;
  Status Rewind() override;
  std::uint64_t SyncCount() const override { return m_sync_count; }

 private:
  std::string PathOf(const std::string& name) const { return m_folder + '/' + name; }
  Status OpenIdentity(const std::string& host);
  Status RecoverHardStateAndSnapshot();
  Status RecoverLog();
  Status ReadRecords(const std::string& bytes);
  Status TruncateTornTail(const std::string& bytes, std::uint64_t offset);
  Status ReconcileLogWithSnapshot();
  Status SyncRecovered();

  Status WriteEntries(const std::vector<LogEntry>& entries);
  Status WriteSnapshot(const PersistSnapshot& action);
  Status ReplaceLog(LogPosition base, const std::string& records);
  Status SyncLogName();
  Status TruncateLog(std::uint64_t last_index);
  std::uint64_t LastIndex() const { return m_base_index + m_offsets.size(); }
  Status RecordFailure(Status status);

  std::string m_folder;
  FileOperations& m_files;
  PersistentState m_recovered;
  StorageReport m_report;
  int m_lock_descriptor = -1;
  int m_log_descriptor = -1;
  std::uint64_t m_base_index = 0;
  std::vector<std::uint64_t> m_offsets;  // element i: of index m_base_index + 1 + i
  std::uint64_t m_log_bytes = 0;
  std::uint64_t m_synced_index = 0;  // last record that is durable
  bool m_unsynced = false;
  bool m_folder_unsynced = false;  // the log was renamed into place, but its name may be lost
  std::uint64_t m_sync_count = 0;
  std::optional<Error> m_write_error;
};

Status FileLogStorage::Recover(const std::string& host) {
  if (Status s = OpenIdentity(host); !s) return s;
  if (Status s = RecoverHardStateAndSnapshot(); !s) return s;
  if (Status s = RecoverLog(); !s) return s;
  if (Status s = ReconcileLogWithSnapshot(); !s) return s;
  return SyncRecovered();
}

Status FileLogStorage::OpenIdentity(const std::string& host) {
  std::string bytes;
  const std::string path = PathOf(kIdentityName);
  int error = m_files.Read(path, &bytes);
  if (error == ENOENT) {
    if (Status s = CheckIncompleteCreation(m_files, m_folder); !s) return s;
    const auto begun = BegunFormat(m_files, m_folder, host);
    const IdentityFile fresh{{host, NewDiskIdentity()}, {}};
    if (Status s = CreateFiles(m_files, m_folder, begun.value_or(fresh)); !s) return s;
    m_report.created = !begun;
    error = m_files.Read(path, &bytes);
  }
  if (error != 0) return ReadError(path, error);
  const auto identity = DecodeIdentityFile(bytes);
  if (!identity) return CorruptError(path, 0, "checksum does not match");
  if (identity->self.host != host) {
    return Error{StorageErrc::kWrongHost, path + " belongs to host " + identity->self.host};
  }
  m_recovered.self = identity->self;
  m_recovered.founding_hosts = identity->founding_hosts;
  error = m_files.Open(path, false, &m_lock_descriptor);
  if (error != 0) return ReadError(path, error);
  if (m_files.Lock(m_lock_descriptor) != 0) return Error{StorageErrc::kInUse, m_folder};
  return {};
}

Status FileLogStorage::RecoverHardStateAndSnapshot() {
  std::string bytes;
  if (const int error = m_files.Read(PathOf(kHardStateName), &bytes)) {
    return ReadError(PathOf(kHardStateName), error);
  }
  const auto hard_state = DecodeHardStateFile(bytes);
  if (!hard_state) return CorruptError(PathOf(kHardStateName), 0, "checksum does not match");
  m_recovered.hard_state = *hard_state;

  const int error = m_files.Read(PathOf(kSnapshotName), &bytes);
  if (error == ENOENT) return {};
  if (error != 0) return ReadError(PathOf(kSnapshotName), error);
  m_recovered.snapshot = DecodeSnapshotFile(bytes);
  if (!m_recovered.snapshot) {
    return CorruptError(PathOf(kSnapshotName), 0, "checksum does not match");
  }
  return {};
}

Status FileLogStorage::RecoverLog() {
  std::string bytes;
  const std::string path = PathOf(kLogName);
  if (const int error = m_files.Read(path, &bytes)) return ReadError(path, error);
  const auto base = DecodeLogHeader(bytes);
  if (!base) return CorruptError(path, 0, "invalid log header");
  if (const int error = m_files.Open(path, false, &m_log_descriptor)) return ReadError(path, error);
  m_recovered.log_base = *base;
  m_base_index = base->index;
  return ReadRecords(bytes);
}

Status FileLogStorage::ReadRecords(const std::string& bytes) {
  std::size_t offset = kLogHeaderBytes;
  while (offset < bytes.size()) {
    auto record = DecodeLogRecord(bytes, offset);
    if (!record && IsRecordOfNewerFormat(bytes, offset)) {
      return Error{StorageErrc::kNewerFormat,
                   PathOf(kLogName) + " at offset " + std::to_string(offset)};
    }
    if (!record) return TruncateTornTail(bytes, offset);
    if (record->entry.index != LastIndex() + 1) {
      return CorruptError(PathOf(kLogName), offset,
                          "record " + std::to_string(record->entry.index) + " follows record " +
                              std::to_string(LastIndex()));
    }
    m_offsets.push_back(offset);
    offset += record->size;
    m_recovered.entries.push_back(std::move(record->entry));
  }
  m_log_bytes = offset;
  m_synced_index = LastIndex();
  return {};
}

// A damaged record that was not synced is a write that a loss of power interrupted; it was never
// acknowledged. The disk may have stored later writes without it. Damage before a record that was
// written after a sync is corruption of stored data and must not be truncated.
Status FileLogStorage::TruncateTornTail(const std::string& bytes, std::uint64_t offset) {
  for (auto at = FindRecordAfter(bytes, offset); at; at = FindRecordAfter(bytes, *at)) {
    if (!DecodeLogRecord(bytes, *at)->follows_sync) continue;
    return CorruptError(PathOf(kLogName), offset,
                        "damaged record before the one at offset " + std::to_string(*at) +
                            ", which was written after a sync of it");
  }
  m_report.truncated_bytes = bytes.size() - offset;
  m_report.truncated_at = offset;
  m_report.truncated_file = PathOf(kLogName);
  m_log_bytes = offset;
  m_synced_index = LastIndex();
  int error = m_files.Truncate(m_log_descriptor, offset);
  if (error == 0) error = m_files.Sync(m_log_descriptor);
  if (error != 0) return WriteError(PathOf(kLogName), error);
  return {};
}

// A crash between writing a snapshot and replacing the log leaves a log that ends before the
// snapshot or conflicts with it. The snapshot is the newer of the two and replaces the log.
Status FileLogStorage::ReconcileLogWithSnapshot() {
  PersistentState& state = m_recovered;
  if (!state.snapshot) {
    if (state.log_base.index == 0) return {};
    return CorruptError(
        PathOf(kSnapshotName), 0,
        "file is missing, but the log starts after record " + std::to_string(state.log_base.index));
  }
  const LogPosition last = state.snapshot->last;
  if (last == state.log_base) return {};
  if (last.index > state.log_base.index && last.index <= LastIndex()) {
    const LogEntry& entry = state.entries[last.index - state.log_base.index - 1];
    if (entry.term == last.term) return {};
  }
  if (last.index < state.log_base.index) {
    return CorruptError(PathOf(kSnapshotName), 0, "older than the first record of the log");
  }
  state.entries.clear();
  state.log_base = last;
  return ReplaceLog(last, "");
}

// A process that was killed may have left writes that no sync covers. The replica acts on what was
// recovered, so a later loss of power must not take it back.
Status FileLogStorage::SyncRecovered() {
  if (const int error = m_files.Sync(m_log_descriptor)) return WriteError(PathOf(kLogName), error);
  if (const int error = m_files.SyncFolder(m_folder)) return WriteError(m_folder, error);
  return {};
}

Status FileLogStorage::RecordFailure(Status status) {
  if (!status) m_write_error = status.error();
  return status;
}

Status FileLogStorage::Write(const Action& action) {
  if (m_write_error) return *m_write_error;
  if (const auto* hard = std::get_if<PersistHardState>(&action)) {
    return RecordFailure(
        ReplaceFile(m_files, m_folder, kHardStateName, EncodeHardStateFile(hard->hard_state)));
  }
  if (const auto* entries = std::get_if<PersistEntries>(&action)) {
    return RecordFailure(WriteEntries(entries->entries));
  }
  if (const auto* snapshot = std::get_if<PersistSnapshot>(&action)) {
    return RecordFailure(WriteSnapshot(*snapshot));
  }
  return {};
}

// Removes the records after an index. The file is truncated and synced immediately: after a crash
// it must not mix new records with the old tail.
Status FileLogStorage::TruncateLog(std::uint64_t last_index) {
  const std::uint64_t kept = last_index - m_base_index;
  if (kept < m_offsets.size()) {
    m_log_bytes = m_offsets[kept];
    m_offsets.resize(kept);
  }
  m_synced_index = std::min(m_synced_index, last_index);
  int error = m_files.Truncate(m_log_descriptor, m_log_bytes);
  if (error == 0) error = m_files.Sync(m_log_descriptor);
  if (error != 0) return WriteError(PathOf(kLogName), error);
  return {};
}

Status FileLogStorage::WriteEntries(const std::vector<LogEntry>& entries) {
  // A snapshot that was stored before a Rewind covers the entries up to its base.
  const auto begin = std::find_if(entries.begin(), entries.end(), [this](const LogEntry& entry) {
    return entry.index > m_base_index;
  });
  if (begin == entries.end()) return {};
  const std::string path = PathOf(kLogName);
  const std::uint64_t first = begin->index;
  if (first > LastIndex() + 1) {
    return Error{StorageErrc::kOutOfOrder, path + ": record " + std::to_string(first) +
                                               " does not follow " + std::to_string(LastIndex())};
  }
  if (first <= LastIndex()) {
    if (Status s = TruncateLog(first - 1); !s) return s;
  }
  std::string bytes;
  std::vector<std::uint64_t> offsets;
  for (auto entry = begin; entry != entries.end(); ++entry) {
    offsets.push_back(m_log_bytes + bytes.size());
    const bool follows_sync = !m_unsynced && entry == begin;
    bytes += EncodeLogRecord(*entry, follows_sync);
  }
  if (const int error = m_files.WriteAt(m_log_descriptor, m_log_bytes, bytes)) {
    return WriteError(path, error);
  }
  m_offsets.insert(m_offsets.end(), offsets.begin(), offsets.end());
  m_log_bytes += bytes.size();
  m_unsynced = true;
  return {};
}

Status FileLogStorage::WriteSnapshot(const PersistSnapshot& action) {
  if (Status s = ReplaceFile(m_files, m_folder, kSnapshotName, EncodeSnapshotFile(action.snapshot));
      !s) {
    return s;
  }
  const std::uint64_t keep_after = action.keep_after.index;
  if (action.reset_log) return ReplaceLog(action.keep_after, "");
  if (keep_after <= m_base_index) return {};
  std::string bytes;
  if (keep_after < LastIndex()) {
    if (const int error = m_files.Read(PathOf(kLogName), &bytes)) {
      return ReadError(PathOf(kLogName), error);
    }
    bytes = bytes.substr(m_offsets[keep_after - m_base_index], m_log_bytes);
  }
  return ReplaceLog(action.keep_after, bytes);
}

// Replaces the log file with one that holds the given encoded records, which follow the base.
Status FileLogStorage::ReplaceLog(LogPosition base, const std::string& records) {
  const std::string bytes = EncodeLogHeader(base) + records;
  const auto descriptor = RenameIntoPlace(m_files, PathOf(kLogName), bytes);
  if (!descriptor) return descriptor.error();
  // From here on the old file has no name, so that nothing may be written to it any more.
  m_files.Close(m_log_descriptor);
  m_log_descriptor = descriptor.value();
  const std::uint64_t first_kept = records.empty() ? m_offsets.size() : base.index - m_base_index;
  const std::uint64_t first_offset = records.empty() ? 0 : m_offsets[first_kept];
  std::vector<std::uint64_t> offsets;
  for (std::uint64_t i = first_kept; i < m_offsets.size(); ++i) {
    offsets.push_back(m_offsets[i] - first_offset + kLogHeaderBytes);
  }
  m_offsets = std::move(offsets);
  m_base_index = base.index;
  m_log_bytes = bytes.size();
  m_synced_index = LastIndex();
  m_unsynced = false;
  m_folder_unsynced = true;
  return SyncLogName();
}

Status FileLogStorage::SyncLogName() {
  if (!m_folder_unsynced) return {};
  if (const int error = m_files.SyncFolder(m_folder)) return WriteError(PathOf(kLogName), error);
  m_folder_unsynced = false;
  return {};
}

// Writes the records after the last durable one again rather than syncing them again: once a sync
// has failed, a later one may succeed without having stored them.
Status FileLogStorage::Rewind() {
  if (!m_write_error) return {};
  if (Status s = SyncLogName(); !s) return s;
  if (Status s = TruncateLog(m_synced_index); !s) return s;
  m_unsynced = false;
  m_write_error.reset();
  return {};
}

Status FileLogStorage::Sync() {
  if (m_write_error) return *m_write_error;
  if (!m_unsynced) return {};
  ++m_sync_count;
  if (const int error = m_files.Sync(m_log_descriptor)) {
    return RecordFailure(WriteError(PathOf(kLogName), error));
  }
  m_unsynced = false;
  m_synced_index = LastIndex();
  return {};
}

}  // namespace

std::error_code make_error_code(StorageErrc errc) {
  static const StorageCategory category;
  return {static_cast<int>(errc), category};
}

FolderOrigin OriginOf(const FolderHistory& history) {
  const bool interrupted = history.creation_was_interrupted;
  if (history.formatted) {
    return interrupted ? FolderOrigin::kFormatCompleted : FolderOrigin::kFormattedNow;
  }
  if (history.created) {
    return interrupted ? FolderOrigin::kLearnerCompleted : FolderOrigin::kLearnerCreated;
  }
  if (interrupted && history.has_founding_hosts) return FolderOrigin::kFormatCompleted;
  return history.has_founding_hosts ? FolderOrigin::kFormattedEarlier
                                    : FolderOrigin::kLearnerEarlier;
}

bool LogStorage::IsCreationInterrupted(const std::string& folder, FileOperations& files) {
  std::string bytes;
  const auto is_absent = [&](const std::string& name) {
    return files.Read(folder + '/' + name, &bytes) == ENOENT;
  };
  if (!is_absent(kIdentityName)) return false;
  for (const std::string name : {kFormatName, kLogName, kHardStateName, kIdentityName}) {
    if (!is_absent(name) || !is_absent(name + kTemporarySuffix)) return true;
  }
  return false;
}

Result<ReplicaId> LogStorage::Format(const std::string& folder, const std::string& host,
                                     const std::vector<std::string>& founding_hosts,
                                     FileOperations& files) {
  std::string bytes;
  const int error = files.Read(folder + '/' + kIdentityName, &bytes);
  if (error == 0) return Error{StorageErrc::kAlreadyFormatted, folder};
  if (error != ENOENT) return ReadError(folder, error);
  if (Status s = CheckIncompleteCreation(files, folder); !s) return s.error();
  const auto begun = BegunFormat(files, folder, host);
  const IdentityFile fresh{{host, NewDiskIdentity()}, founding_hosts};
  const IdentityFile& identity = begun ? *begun : fresh;
  if (const int failed = files.CreateFolder(folder)) return WriteError(folder, failed);
  if (Status s = ReplaceFile(files, folder, kFormatName, EncodeIdentityFile(identity)); !s) {
    return s.error();
  }
  if (Status s = CreateFiles(files, folder, identity); !s) return s.error();
  return identity.self;
}

Result<std::unique_ptr<LogStorage>> LogStorage::Open(const std::string& folder,
                                                     const std::string& host,
                                                     FileOperations& files) {
  auto storage = std::make_unique<FileLogStorage>(folder, files);
  if (Status s = storage->Recover(host); !s) return s.error();
  return std::unique_ptr<LogStorage>(std::move(storage));
}

Status LogStorage::Commit(const std::vector<ActionBatch>& batches) {
  for (const ActionBatch& batch : batches) {
    for (const Action& action : batch.actions) {
      if (Status s = Write(action); !s) return s;
    }
  }
  return Sync();
}

}  // namespace corneltray
