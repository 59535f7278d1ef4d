#ifndef CORNELTRAY_LOG_STORAGE_H_
#define CORNELTRAY_LOG_STORAGE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "corneltray/consensus.h"
#include "corneltray/enum_names.h"
#include "corneltray/result.h"

namespace corneltray {

enum class StorageErrc {
  kDiskFull = 1,
  kWriteFailed,
  kReadFailed,
  kCorrupt,           // the detail names the file and the offset
  kAlreadyFormatted,  // Format was called on a folder that holds files
  kWrongHost,         // the folder belongs to a host of another name
  kInUse,             // another process has the folder open
  kOutOfOrder,        // a record does not follow the last one; writing it again cannot succeed
  kNewerFormat,       // a newer version wrote the file; the detail names the file and the offset
};

std::error_code make_error_code(StorageErrc errc);

// File system calls of LogStorage. Tests replace it to simulate a full disk, a failed sync and the
// loss of unsynced data. Every call returns 0 or a positive errno value.
class FileOperations {
 public:
  virtual ~FileOperations() = default;

  // Opens a file for reading and writing; `create` creates it if absent.
  virtual int Open(const std::string& path, bool create, int* descriptor) = 0;
  virtual void Close(int descriptor) = 0;
  // Writes all bytes at the offset. After an error any part of them may have been written.
  virtual int WriteAt(int descriptor, std::uint64_t offset, const std::string& bytes) = 0;
  // Acquires an exclusive lock on the file without waiting. Returns EWOULDBLOCK if it is held.
  virtual int Lock(int descriptor) = 0;
  virtual int Truncate(int descriptor, std::uint64_t size) = 0;
  virtual int Sync(int descriptor) = 0;
  virtual int Rename(const std::string& from, const std::string& to) = 0;
  virtual int SyncFolder(const std::string& folder) = 0;
  // Creates a folder and its parents; no error if it exists.
  virtual int CreateFolder(const std::string& folder) = 0;
  // Reads a whole file. Returns ENOENT if it does not exist.
  virtual int Read(const std::string& path, std::string* bytes) = 0;
};

// Returns the operations on the real file system.
FileOperations& PosixFileOperations();

// How the data folder of a process came about. An interrupted creation leaves files without an
// identity.
enum class FolderOrigin {
  kFormattedNow,      // by this process
  kFormatCompleted,   // by this process, after an interrupted format
  kFormattedEarlier,  // by an earlier process
  kLearnerCreated,    // by this process, without founding hosts
  kLearnerCompleted,  // as kLearnerCreated, after an interrupted creation
  kLearnerEarlier,    // by an earlier process, without founding hosts
};

template <>
struct EnumNames<FolderOrigin> {
  static constexpr EnumName<FolderOrigin> kTable[] = {
      {FolderOrigin::kFormattedNow, "formatted_now"},
      {FolderOrigin::kFormatCompleted, "format_completed"},
      {FolderOrigin::kFormattedEarlier, "formatted_earlier"},
      {FolderOrigin::kLearnerCreated, "learner_created"},
      {FolderOrigin::kLearnerCompleted, "learner_completed"},
      {FolderOrigin::kLearnerEarlier, "learner_earlier"},
  };
};

// What a process found and did on the way to an open data folder.
struct FolderHistory {
  bool creation_was_interrupted = false;  // LogStorage::IsCreationInterrupted before the first call
  bool formatted = false;                 // LogStorage::Format succeeded
  bool created = false;                   // StorageReport::created
  bool has_founding_hosts = false;
};

FolderOrigin OriginOf(const FolderHistory& history);

// Repairs made by Open, for the log of the program.
struct StorageReport {
  bool created = false;  // the folder was empty and got a new disk identity
  std::uint64_t truncated_bytes = 0;
  std::uint64_t truncated_at = 0;  // offset in `truncated_file`
  std::string truncated_file;
};

// The files of one replica in its data folder:
//   identity    host name, disk identity and founding hosts
//   format      the same, written first by Format, so that any later start completes it
//   hard_state  term and vote
//   snapshot    latest snapshot
//   log         records: length, xxh64 checksum, index, term, payload
// After a failed write every later write fails with the same error, because the content of the file
// is unknown, until Rewind or a new Open restores it. Not thread-safe.
class LogStorage {
 public:
  // Creates the files of a founding voter, with a new random disk identity, or completes a creation
  // that was interrupted. All founding hosts are formatted with the same list. Returns the
  // identity. Fails with kAlreadyFormatted if the folder has one, and with kCorrupt if it has none
  // but holds a log, a snapshot or a vote.
  static Result<ReplicaId> Format(const std::string& folder, const std::string& host,
                                  const std::vector<std::string>& founding_hosts,
                                  FileOperations& files = PosixFileOperations());

  // Returns whether the folder has no identity, but a file that its creation writes before.
  static bool IsCreationInterrupted(const std::string& folder,
                                    FileOperations& files = PosixFileOperations());

  // Opens the folder and recovers its state. An interrupted format is completed. Any other folder
  // without an identity gets a new one without founding hosts, so the replica starts as a learner.
  // A torn last record is truncated and reported. Fails with kCorrupt, kInUse, kWrongHost,
  // kReadFailed, kWriteFailed or kDiskFull.
  static Result<std::unique_ptr<LogStorage>> Open(const std::string& folder,
                                                  const std::string& host,
                                                  FileOperations& files = PosixFileOperations());

  virtual ~LogStorage() = default;

  // The state found by Open. May be moved from once.
  virtual PersistentState& Recovered() = 0;
  virtual const StorageReport& Report() const = 0;

  // Writes one persist action; any other action is ignored. Records are durable only after Sync.
  // Fails with kDiskFull, kWriteFailed, kReadFailed or kOutOfOrder; nothing synced before is lost.
  virtual Status Write(const Action& action) = 0;

  // Makes everything written so far durable with one sync. Several batches may share one call.
  virtual Status Sync() = 0;

  // After a failed write, discards the records that were not synced, so that writing is possible
  // again. The caller then repeats, in order, all actions since the last successful Sync; some of
  // them may be stored already. Fails like Write, and may be called again.
  virtual Status Rewind() = 0;

  // Writes and syncs all persist actions of some batches (group commit).
  Status Commit(const std::vector<ActionBatch>& batches);

  // Number of syncs of the log file, for metrics and tests.
  virtual std::uint64_t SyncCount() const = 0;
};

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::StorageErrc> : std::true_type {};

#endif  // CORNELTRAY_LOG_STORAGE_H_
