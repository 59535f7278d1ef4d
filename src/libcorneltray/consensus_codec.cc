#include <nlohmann/json.hpp>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

#include "cbor.h"
#include "corneltray/consensus.h"

namespace corneltray {
namespace {

using Json = nlohmann::json;

class ConsensusCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "consensus"; }
  std::string message(int value) const override {
    switch (static_cast<ConsensusErrc>(value)) {
      case ConsensusErrc::kNotLeader:
        return "this replica is not the leader";
      case ConsensusErrc::kTransferring:
        return "leadership is being transferred";
      case ConsensusErrc::kChangeInProgress:
        return "an earlier member change is not committed";
      case ConsensusErrc::kInvalidChange:
        return "the member change does not apply to the current members";
      case ConsensusErrc::kPayloadTooLarge:
        return "the payload is larger than a log entry may be";
      case ConsensusErrc::kTooManyUncommitted:
        return "too many entries wait for a majority";
      case ConsensusErrc::kStorageFailed:
        return "the disk of this replica refused a write";
      case ConsensusErrc::kMalformedMessage:
        return "malformed replica message";
    }
    return "unknown consensus error";
  }
};

Error Malformed(const std::string& detail) { return {ConsensusErrc::kMalformedMessage, detail}; }

Json BytesToJson(const std::string& bytes) {
  return Json::binary(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

std::string BytesFromJson(const Json& value) {
  const auto& binary = value.get_binary();
  return std::string(binary.begin(), binary.end());
}

Json ToJson(const ReplicaId& id) { return {id.host, id.disk_identity}; }

ReplicaId ReplicaIdFromJson(const Json& value) {
  return {value.at(0).get<std::string>(), value.at(1).get<std::string>()};
}

Json ToJson(const LogPosition& position) { return {position.index, position.term}; }

LogPosition LogPositionFromJson(const Json& value) {
  return {value.at(0).get<std::uint64_t>(), value.at(1).get<std::uint64_t>()};
}

template <class E>
E EnumFromJson(const Json& value) {
  const auto parsed = ParseEnum<E>(value.get_ref<const std::string&>());
  if (!parsed) throw Json::other_error::create(501, "unknown name", &value);
  return *parsed;
}

Json ToJson(const MemberSet& set) {
  Json value = Json::array();
  for (const auto& [id, role] : set.members) {
    value.push_back({id.host, id.disk_identity, std::string(NameOf(role))});
  }
  return value;
}

MemberSet MemberSetFromJson(const Json& value) {
  MemberSet set;
  for (const Json& member : value) {
    set.members[ReplicaIdFromJson(member)] = EnumFromJson<MemberRole>(member.at(2));
  }
  return set;
}

Json ToJson(const LogEntry& entry) {
  return {entry.index, entry.term, std::string(NameOf(entry.kind)), entry.timestamp,
          BytesToJson(entry.payload)};
}

LogEntry LogEntryFromJson(const Json& value) {
  LogEntry entry;
  entry.index = value.at(0).get<std::uint64_t>();
  entry.term = value.at(1).get<std::uint64_t>();
  entry.kind = EnumFromJson<EntryKind>(value.at(2));
  entry.timestamp = value.at(3).get<UnixMs>();
  entry.payload = BytesFromJson(value.at(4));
  return entry;
}

// Wire names of the message types, in the order of MessageBody.
constexpr const char* kBodyNames[] = {"request_vote", "vote_reply",       "append_entries",
                                      "append_reply", "install_snapshot", "snapshot_reply",
                                      "timeout_now",  "identity_notice"};
static_assert(std::variant_size_v<MessageBody> == std::size(kBodyNames));

struct BodyWriter {
  Json& out;

  void operator()(const VoteRequest& body) const {
    out["pre_vote"] = body.pre_vote;
    out["transfer"] = body.transfer;
    out["last"] = ToJson(body.last);
  }
  void operator()(const VoteReply& body) const {
    out["pre_vote"] = body.pre_vote;
    out["granted"] = body.granted;
  }
  void operator()(const AppendRequest& body) const {
    out["previous"] = ToJson(body.previous);
    Json entries = Json::array();
    for (const LogEntry& entry : body.entries) entries.push_back(ToJson(entry));
    out["entries"] = std::move(entries);
    out["commit"] = body.commit_index;
    out["round"] = body.round;
  }
  void operator()(const AppendReply& body) const {
    out["accepted"] = body.accepted;
    out["match"] = body.match_index;
    out["rejected"] = body.rejected_previous;
    out["hint"] = ToJson(body.hint);
    out["round"] = body.round;
  }
  void operator()(const SnapshotPart& body) const {
    out["last"] = ToJson(body.last);
    out["timestamp"] = body.timestamp;
    out["members"] = ToJson(body.members);
    out["offset"] = body.offset;
    out["total"] = body.total_bytes;
    out["checksum"] = body.checksum;
    out["data"] = BytesToJson(body.data);
    out["round"] = body.round;
  }
  void operator()(const SnapshotReply& body) const {
    out["last"] = ToJson(body.last);
    out["received"] = body.received_bytes;
    out["installed"] = body.installed;
    out["round"] = body.round;
  }
  void operator()(const TimeoutNow&) const {}
  void operator()(const IdentityNotice& body) const { out["addressed"] = ToJson(body.addressed); }
};

struct BodyReader {
  const Json& in;

  void operator()(VoteRequest& body) const {
    in.at("pre_vote").get_to(body.pre_vote);
    in.at("transfer").get_to(body.transfer);
    body.last = LogPositionFromJson(in.at("last"));
  }
  void operator()(VoteReply& body) const {
    in.at("pre_vote").get_to(body.pre_vote);
    in.at("granted").get_to(body.granted);
  }
  void operator()(AppendRequest& body) const {
    body.previous = LogPositionFromJson(in.at("previous"));
    for (const Json& entry : in.at("entries")) body.entries.push_back(LogEntryFromJson(entry));
    in.at("commit").get_to(body.commit_index);
    in.at("round").get_to(body.round);
  }
  void operator()(AppendReply& body) const {
    in.at("accepted").get_to(body.accepted);
    in.at("match").get_to(body.match_index);
    in.at("rejected").get_to(body.rejected_previous);
    body.hint = LogPositionFromJson(in.at("hint"));
    in.at("round").get_to(body.round);
  }
  void operator()(SnapshotPart& body) const {
    body.last = LogPositionFromJson(in.at("last"));
    in.at("timestamp").get_to(body.timestamp);
    body.members = MemberSetFromJson(in.at("members"));
    in.at("offset").get_to(body.offset);
    in.at("total").get_to(body.total_bytes);
    in.at("checksum").get_to(body.checksum);
    body.data = BytesFromJson(in.at("data"));
    in.at("round").get_to(body.round);
  }
  void operator()(SnapshotReply& body) const {
    body.last = LogPositionFromJson(in.at("last"));
    in.at("received").get_to(body.received_bytes);
    in.at("installed").get_to(body.installed);
    in.at("round").get_to(body.round);
  }
  void operator()(TimeoutNow&) const {}
  void operator()(IdentityNotice& body) const {
    body.addressed = ReplicaIdFromJson(in.at("addressed"));
  }
};

// Default-constructs the alternative with this index.
template <std::size_t kIndex = 0>
MessageBody MakeBody(std::size_t index) {
  if constexpr (kIndex < std::variant_size_v<MessageBody>) {
    if (index == kIndex) return MessageBody(std::in_place_index<kIndex>);
    return MakeBody<kIndex + 1>(index);
  } else {
    return VoteRequest{};
  }
}

}  // namespace

std::error_code make_error_code(ConsensusErrc errc) {
  static const ConsensusCategory category;
  return {static_cast<int>(errc), category};
}

bool ReplicaId::operator==(const ReplicaId& other) const {
  return host == other.host && disk_identity == other.disk_identity;
}

bool ReplicaId::operator<(const ReplicaId& other) const {
  return std::tie(host, disk_identity) < std::tie(other.host, other.disk_identity);
}

bool MemberSet::IsVoter(const ReplicaId& id) const {
  const auto found = members.find(id);
  return found != members.end() && found->second == MemberRole::kVoter;
}

std::size_t MemberSet::VoterCount() const {
  std::size_t count = 0;
  for (const auto& [id, role] : members) count += role == MemberRole::kVoter ? 1 : 0;
  return count;
}

std::optional<ReplicaId> MemberSet::FindByHost(const std::string& host) const {
  for (const auto& [id, role] : members) {
    if (id.host == host) return id;
  }
  return std::nullopt;
}

bool LogEntry::operator==(const LogEntry& other) const {
  return index == other.index && term == other.term && kind == other.kind &&
         timestamp == other.timestamp && payload == other.payload;
}

Json ReplicaMessageToJson(const ReplicaMessage& message) {
  Json value = {{"kind", kBodyNames[message.body.index()]},
                {"from", ToJson(message.from)},
                {"to", ToJson(message.to)},
                {"term", message.term},
                {"founding_disk", message.from_founding_disk}};
  Json body = Json::object();
  std::visit(BodyWriter{body}, message.body);
  value["data"] = std::move(body);
  return value;
}

Result<ReplicaMessage> ReplicaMessageFromJson(const Json& value) {
  try {
    ReplicaMessage message;
    message.from = ReplicaIdFromJson(value.at("from"));
    message.to = ReplicaIdFromJson(value.at("to"));
    value.at("term").get_to(message.term);
    value.at("founding_disk").get_to(message.from_founding_disk);
    const auto& kind = value.at("kind").get_ref<const std::string&>();
    for (std::size_t index = 0; index < std::size(kBodyNames); ++index) {
      if (kind != kBodyNames[index]) continue;
      message.body = MakeBody(index);
      std::visit(BodyReader{value.at("data")}, message.body);
      return message;
    }
    return Malformed("unknown kind " + kind);
  } catch (const Json::exception& error) {
    return Malformed(error.what());
  }
}

std::string EncodeReplicaMessage(const ReplicaMessage& message) {
  std::string bytes;
  Json::to_cbor(ReplicaMessageToJson(message), bytes);
  return bytes;
}

Result<ReplicaMessage> DecodeReplicaMessage(const std::string& bytes) {
  const std::optional<Json> value = ParseCbor(bytes);
  if (!value) return Malformed("not CBOR");
  return ReplicaMessageFromJson(*value);
}

std::string EncodeMemberSet(const MemberSet& members) {
  std::string bytes;
  Json::to_cbor(ToJson(members), bytes);
  return bytes;
}

Result<MemberSet> DecodeMemberSet(const std::string& bytes) {
  const std::optional<Json> value = ParseCbor(bytes);
  if (!value || !value->is_array()) return Malformed("member set is not a CBOR array");
  try {
    return MemberSetFromJson(*value);
  } catch (const Json::exception& error) {
    return Malformed(error.what());
  }
}

}  // namespace corneltray
