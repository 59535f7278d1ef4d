#include "log_storage_codec.h"

#include <xxhash.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace corneltray {
namespace {

using Json = nlohmann::json;

constexpr char kLogMagic[] = "CTLOG001";
constexpr std::size_t kMagicBytes = 8;
constexpr std::size_t kRecordPrefixBytes = 4 + 8;
constexpr std::size_t kRecordFixedBytes = 8 + 8 + 1 + 8;
constexpr std::size_t kRecordKindOffset = 8 + 8;
// Payloads are at most kMaxEntryBytes; a record with a greater length is damaged and not hashed.
constexpr std::size_t kMaxRecordBodyBytes = kMaxEntryBytes + kRecordFixedBytes + 4096;
constexpr std::size_t kChecksumBytes = 8;
constexpr std::uint8_t kFollowsSyncFlag = 0x80;  // in the byte of the kind

template <class T>
void PutNumber(std::string* out, T value) {
  const auto bits = static_cast<std::uint64_t>(value);
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    out->push_back(static_cast<char>((bits >> (8 * i)) & 0xFF));
  }
}

template <class T>
T GetNumber(std::string_view bytes, std::size_t offset) {
  std::uint64_t bits = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    bits |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
  }
  return static_cast<T>(bits);
}

std::uint64_t Checksum(std::string_view length, std::string_view body) {
  const std::uint64_t seed = XXH64(length.data(), length.size(), 0);
  return XXH64(body.data(), body.size(), seed);
}

std::string PrependChecksum(const std::string& body) {
  std::string bytes;
  PutNumber(&bytes, static_cast<std::uint64_t>(XXH64(body.data(), body.size(), 0)));
  return bytes + body;
}

std::optional<std::string_view> VerifyChecksum(std::string_view bytes) {
  if (bytes.size() < kChecksumBytes) return std::nullopt;
  const std::string_view body = bytes.substr(kChecksumBytes);
  if (GetNumber<std::uint64_t>(bytes, 0) != XXH64(body.data(), body.size(), 0)) return std::nullopt;
  return body;
}

// Returns what follows the checksum of a record, or nullopt if no complete record with a valid
// checksum starts at the offset.
std::optional<std::string_view> VerifiedRecordBody(std::string_view bytes, std::size_t offset) {
  if (bytes.size() < offset + kRecordPrefixBytes + kRecordFixedBytes) return std::nullopt;
  const std::size_t length = GetNumber<std::uint32_t>(bytes, offset);
  if (length < kRecordFixedBytes || length > kMaxRecordBodyBytes) return std::nullopt;
  if (bytes.size() - offset - kRecordPrefixBytes < length) return std::nullopt;
  const std::string_view body = bytes.substr(offset + kRecordPrefixBytes, length);
  if (GetNumber<std::uint64_t>(bytes, offset + 4) != Checksum(bytes.substr(offset, 4), body)) {
    return std::nullopt;
  }
  return body;
}

std::uint8_t RecordKind(std::string_view body) {
  const auto flagged_kind = GetNumber<std::uint8_t>(body, kRecordKindOffset);
  return static_cast<std::uint8_t>(flagged_kind & ~kFollowsSyncFlag);
}

bool IsKnownKind(std::uint8_t kind) {
  return kind <= static_cast<std::uint8_t>(EntryKind::kMembers);
}

Json ToJson(const ReplicaId& id) { return {id.host, id.disk_identity}; }

ReplicaId ReplicaIdFromJson(const Json& value) {
  return {value.at(0).get<std::string>(), value.at(1).get<std::string>()};
}

}  // namespace

std::string EncodeLogHeader(LogPosition base) {
  std::string bytes(kLogMagic, kMagicBytes);
  PutNumber(&bytes, base.index);
  PutNumber(&bytes, base.term);
  PutNumber(&bytes, static_cast<std::uint64_t>(XXH64(bytes.data(), bytes.size(), 0)));
  return bytes;
}

std::optional<LogPosition> DecodeLogHeader(std::string_view bytes) {
  if (bytes.size() < kLogHeaderBytes) return std::nullopt;
  constexpr std::size_t kChecked = kLogHeaderBytes - kChecksumBytes;
  if (bytes.substr(0, kMagicBytes) != std::string_view(kLogMagic, kMagicBytes)) return std::nullopt;
  if (GetNumber<std::uint64_t>(bytes, kChecked) != XXH64(bytes.data(), kChecked, 0)) {
    return std::nullopt;
  }
  return LogPosition{GetNumber<std::uint64_t>(bytes, 8), GetNumber<std::uint64_t>(bytes, 16)};
}

std::string EncodeLogRecord(const LogEntry& entry, bool follows_sync) {
  std::string body;
  body.reserve(kRecordFixedBytes + entry.payload.size());
  PutNumber(&body, entry.index);
  PutNumber(&body, entry.term);
  const auto kind = static_cast<std::uint8_t>(entry.kind);
  PutNumber(&body, static_cast<std::uint8_t>(follows_sync ? kind | kFollowsSyncFlag : kind));
  PutNumber(&body, entry.timestamp);
  body += entry.payload;
  std::string record;
  record.reserve(kRecordPrefixBytes + body.size());
  PutNumber(&record, static_cast<std::uint32_t>(body.size()));
  const std::uint64_t checksum = Checksum(record, body);
  PutNumber(&record, checksum);
  return record + body;
}

std::optional<DecodedRecord> DecodeLogRecord(std::string_view bytes, std::size_t offset) {
  const auto body = VerifiedRecordBody(bytes, offset);
  if (!body) return std::nullopt;
  const std::uint8_t kind = RecordKind(*body);
  if (!IsKnownKind(kind)) return std::nullopt;
  DecodedRecord record;
  record.follows_sync = (GetNumber<std::uint8_t>(*body, kRecordKindOffset) & kFollowsSyncFlag) != 0;
  record.entry.index = GetNumber<std::uint64_t>(*body, 0);
  record.entry.term = GetNumber<std::uint64_t>(*body, 8);
  record.entry.kind = static_cast<EntryKind>(kind);
  record.entry.timestamp = GetNumber<UnixMs>(*body, 17);
  record.entry.payload = std::string(body->substr(kRecordFixedBytes));
  record.size = kRecordPrefixBytes + body->size();
  return record;
}

bool IsRecordOfNewerFormat(std::string_view bytes, std::size_t offset) {
  const auto body = VerifiedRecordBody(bytes, offset);
  return body && !IsKnownKind(RecordKind(*body));
}

std::optional<std::size_t> FindRecordAfter(std::string_view bytes, std::size_t offset) {
  for (std::size_t at = offset + 1; at < bytes.size(); ++at) {
    if (DecodeLogRecord(bytes, at)) return at;
  }
  return std::nullopt;
}

std::string EncodeIdentityFile(const IdentityFile& identity) {
  std::string body;
  Json::to_cbor({{"self", ToJson(identity.self)}, {"founding_hosts", identity.founding_hosts}},
                body);
  return PrependChecksum(body);
}

std::optional<IdentityFile> DecodeIdentityFile(std::string_view bytes) {
  const auto body = VerifyChecksum(bytes);
  if (!body) return std::nullopt;
  try {
    const Json value = Json::from_cbor(*body);
    return IdentityFile{ReplicaIdFromJson(value.at("self")),
                        value.at("founding_hosts").get<std::vector<std::string>>()};
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeHardStateFile(const HardState& state) {
  Json value = {{"term", state.term}};
  if (state.voted_for) value["voted_for"] = ToJson(*state.voted_for);
  std::string body;
  Json::to_cbor(value, body);
  return PrependChecksum(body);
}

std::optional<HardState> DecodeHardStateFile(std::string_view bytes) {
  const auto body = VerifyChecksum(bytes);
  if (!body) return std::nullopt;
  try {
    const Json value = Json::from_cbor(*body);
    HardState state;
    value.at("term").get_to(state.term);
    if (value.contains("voted_for")) state.voted_for = ReplicaIdFromJson(value.at("voted_for"));
    return state;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::string EncodeSnapshotFile(const Snapshot& snapshot) {
  Json header = {{"index", snapshot.last.index},
                 {"term", snapshot.last.term},
                 {"timestamp", snapshot.timestamp}};
  const std::string members = EncodeMemberSet(snapshot.members);
  header["members"] = Json::binary(std::vector<std::uint8_t>(members.begin(), members.end()));
  std::string cbor;
  Json::to_cbor(header, cbor);
  std::string body;
  PutNumber(&body, static_cast<std::uint32_t>(cbor.size()));
  body += cbor;
  body += *snapshot.data;
  return PrependChecksum(body);
}

std::optional<Snapshot> DecodeSnapshotFile(std::string_view bytes) {
  const auto body = VerifyChecksum(bytes);
  if (!body || body->size() < 4) return std::nullopt;
  const std::size_t header_bytes = GetNumber<std::uint32_t>(*body, 0);
  if (body->size() - 4 < header_bytes) return std::nullopt;
  try {
    const Json header = Json::from_cbor(body->substr(4, header_bytes));
    const auto& binary = header.at("members").get_binary();
    Result<MemberSet> members = DecodeMemberSet(std::string(binary.begin(), binary.end()));
    if (!members) return std::nullopt;
    Snapshot snapshot;
    header.at("index").get_to(snapshot.last.index);
    header.at("term").get_to(snapshot.last.term);
    header.at("timestamp").get_to(snapshot.timestamp);
    snapshot.members = std::move(members).value();
    snapshot.data = std::make_shared<const std::string>(body->substr(4 + header_bytes));
    return snapshot;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

}  // namespace corneltray
