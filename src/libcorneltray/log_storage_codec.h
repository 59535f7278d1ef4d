#ifndef CORNELTRAY_LOG_STORAGE_CODEC_H_
#define CORNELTRAY_LOG_STORAGE_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "corneltray/consensus.h"
#include "corneltray/result.h"

namespace corneltray {

// File formats of LogStorage. All numbers are little-endian.

constexpr std::size_t kLogHeaderBytes = 32;

// The log file starts with the position before its first record.
std::string EncodeLogHeader(LogPosition base);
std::optional<LogPosition> DecodeLogHeader(std::string_view bytes);

// A record: length (4 bytes, of what follows the checksum), xxh64 checksum (8 bytes, over the
// length and what follows), index, term, kind, timestamp, payload. The highest bit of the kind is
// set if everything before the record had been synced when it was written.
std::string EncodeLogRecord(const LogEntry& entry, bool follows_sync);

struct DecodedRecord {
  LogEntry entry;
  bool follows_sync = false;
  std::size_t size = 0;  // of the whole record
};
// Returns nullopt if no complete record with a valid checksum starts at the offset.
std::optional<DecodedRecord> DecodeLogRecord(std::string_view bytes, std::size_t offset);

// Returns whether an intact record starts at the offset whose kind this version does not know. It
// may have been acknowledged, so it must not be cut off as an interrupted write.
bool IsRecordOfNewerFormat(std::string_view bytes, std::size_t offset);

// Returns the offset of the first valid record after `offset`, or nullopt.
std::optional<std::size_t> FindRecordAfter(std::string_view bytes, std::size_t offset);

struct IdentityFile {
  ReplicaId self;
  std::vector<std::string> founding_hosts;
};

// The other files start with an xxh64 checksum of the remaining bytes, followed by CBOR; in the
// snapshot file the data follows the CBOR header. Decoding returns nullopt for damaged bytes.
std::string EncodeIdentityFile(const IdentityFile& identity);
std::optional<IdentityFile> DecodeIdentityFile(std::string_view bytes);
std::string EncodeHardStateFile(const HardState& state);
std::optional<HardState> DecodeHardStateFile(std::string_view bytes);
std::string EncodeSnapshotFile(const Snapshot& snapshot);
std::optional<Snapshot> DecodeSnapshotFile(std::string_view bytes);

}  // namespace corneltray

#endif  // CORNELTRAY_LOG_STORAGE_CODEC_H_
