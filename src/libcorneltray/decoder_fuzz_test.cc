#include <doctest/doctest.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "corneltray/answer_stream.h"
#include "corneltray/booking.h"
#include "corneltray/configuration.h"
#include "corneltray/configuration_feed.h"
#include "corneltray/consensus.h"
#include "corneltray/control_messages.h"
#include "corneltray/control_state.h"
#include "corneltray/fleet_messages.h"
#include "corneltray/lease.h"
#include "corneltray/membership.h"
#include "corneltray/prompt_messages.h"
#include "corneltray/retry_messages.h"
#include "corneltray/settings.h"
#include "corneltray/upstream.h"
#include "log_storage_codec.h"
#include "peer_frame.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr std::uint64_t kSeed = 20261204;
constexpr int kInputsPerDecoder = 4000;

// Changes valid inputs the way that faulty or hostile senders do.
class Mutator {
 public:
  explicit Mutator(std::uint64_t seed) : m_random(seed) {}

  std::string Bytes(std::string bytes) {
    for (std::size_t changes = 1 + Below(3); changes > 0; --changes) {
      const std::size_t at = Below(bytes.size() + 1);
      switch (Below(4)) {
        case 0:
          bytes.resize(at);
          break;
        case 1:
          bytes.insert(at, 1 + Below(8), static_cast<char>(Below(256)));
          break;
        case 2:
          if (at < bytes.size()) bytes.erase(at, 1 + Below(8));
          break;
        default:
          if (at < bytes.size()) bytes[at] = static_cast<char>(Below(256));
      }
    }
    return bytes;
  }

  json Tree(json tree) {
    for (std::size_t changes = 1 + Below(3); changes > 0; --changes) Change(&tree);
    return tree;
  }

 private:
  std::size_t Below(std::size_t limit) { return limit == 0 ? 0 : m_random() % limit; }

  json OddValue() {
    static const std::vector<json> values = {nullptr,
                                             true,
                                             -1,
                                             0,
                                             18446744073709551615ULL,
                                             1e308,
                                             "",
                                             "\xff\xfe",
                                             json::array(),
                                             json::object(),
                                             std::string(3000, 'x'),
                                             {{"a", 1}},
                                             {1, "b", nullptr},
                                             json::binary({0xff, 0x00})};
    return values[Below(values.size())];
  }

  // Walks down to some node and replaces it, or adds or removes a child there.
  void Change(json* node) {
    while (node->is_structured() && !node->empty() && Below(4) != 0) {
      node = &*std::next(node->begin(), static_cast<std::ptrdiff_t>(Below(node->size())));
    }
    const bool has_child = node->is_structured() && !node->empty();
    if (has_child && Below(2) == 0) {
      node->erase(std::next(node->begin(), static_cast<std::ptrdiff_t>(Below(node->size()))));
    } else if (node->is_array() && Below(2) == 0) {
      node->push_back(OddValue());
    } else {
      *node = OddValue();
    }
  }

  std::mt19937_64 m_random;
};

// Feeds changed copies of the valid inputs. A decoder passes if it neither throws nor reads out of
// bounds; the sanitizer build checks the latter.
template <class Input, class Mutate>
void Fuzz(const std::vector<Input>& valid, Mutate mutate,
          const std::function<void(const Input&)>& decode) {
  REQUIRE_FALSE(valid.empty());
  for (const Input& input : valid) CHECK_NOTHROW(decode(input));
  for (int i = 0; i < kInputsPerDecoder; ++i) {
    CAPTURE(kSeed);
    CAPTURE(i);
    const Input input = mutate(valid[static_cast<std::size_t>(i) % valid.size()]);
    CHECK_NOTHROW(decode(input));
  }
}

Announcement ValidAnnouncement() {
  Announcement announcement;
  announcement.name = "engine-1";
  announcement.incarnation = 7;
  announcement.availability_zone = "dkr-a";
  announcement.address = "127.0.0.1:9";
  announcement.accelerator = "a";
  announcement.holdings = {{{"assistant", "1", "x"}, 0, 23, HoldingState::kReady}};
  return announcement;
}

std::vector<Command> ValidCommands() {
  const BookingKey key{"customer", "ledger", "01890a5d-ac96-774b-bcce-b302099a8057"};
  return {ClaimBooking{key, "attempt", "entry-1", "hash", 5},
          FinishBooking{key, "attempt", BookingState::kDone, {201, "text", "body", true}, false},
          RefuseBooking{key, "hash"},
          RecordPartVerdicts{
              {{"part", PartState::kQuarantined, 1, 2, 3, 1'700'000'000'000, {"companion"}}}},
          PrepareChange({"change", 1, "operator", {"[limits]\n", {{"dkr", ""}}}, "", 0})};
}

std::vector<std::string> ValidReplicaMessages() {
  const ReplicaId a{"a", "disk-a"};
  const ReplicaId b{"b", "disk-b"};
  AppendRequest append;
  append.entries = {{1, 1, EntryKind::kCommand, 5, "payload"}};
  SnapshotPart part;
  part.members.members[a] = MemberRole::kVoter;
  part.data = "data";
  std::vector<std::string> messages;
  for (const MessageBody& body :
       std::vector<MessageBody>{append, part, VoteRequest{}, VoteReply{}, AppendReply{}}) {
    messages.push_back(EncodeReplicaMessage({a, b, 3, body}));
  }
  return messages;
}

// Guards against an input from outside that ends a process.
TEST_CASE("no decoder fails on changed inputs") {
  Mutator mutator(kSeed);
  const auto bytes = [&](const std::string& input) { return mutator.Bytes(input); };
  const auto tree = [&](const json& input) { return mutator.Tree(input); };

  SUBCASE("of upstreams") {
    Fuzz<json>({EncodeAnnouncement(ValidAnnouncement())}, tree, [](const json& input) {
      const auto decoded = DecodeAnnouncement(input);
      // Between processes an announcement travels as CBOR.
      if (decoded) json::to_cbor(EncodeAnnouncement(decoded.value()));
    });
    Fuzz<std::string>({R"({"request_id":"r","attempt":1,"index":0,"token":5,"text":"a",)"
                       R"("version":"1","load":{"running":1,"waiting":0,"kv_used":0.5}})",
                       R"({"request_id":"r","attempt":1,"done":true,"finish_reason":"stop",)"
                       R"("count":3})"},
                      bytes, [](const std::string& input) { (void)DecodeEngineEvent(input); });
  }
  SUBCASE("of the replicated log") {
    std::vector<std::string> commands;
    for (const Command& command : ValidCommands()) commands.push_back(EncodeCommand(command));
    Fuzz<std::string>(commands, bytes, [](const std::string& input) {
      const auto decoded = DecodeCommand(input);
      if (decoded) EncodeCommand(decoded.value());
    });
    Fuzz<std::string>(ValidReplicaMessages(), bytes, [](const std::string& input) {
      const auto decoded = DecodeReplicaMessage(input);
      if (decoded) EncodeReplicaMessage(decoded.value());
    });
  }
  SUBCASE("of other processes") {
    const std::string frame = EncodePeerMessage({MessageType::kPropose, 7, 0, {{"command", "x"}}});
    Fuzz<std::string>({frame}, bytes, [](const std::string& input) { DecodePeerMessage(input); });
    const RevisedDocument before{1, {"[limits]\nmax_body_bytes = 5000\n", {}}};
    const RevisedDocument after{2, {"[limits]\nmax_body_bytes = 6000\n", {}}};
    Fuzz<json>(
        {MakeConfigurationUpdate(before, after), MakeConfigurationUpdate(std::nullopt, after)},
        tree, [&](const json& input) { (void)ApplyConfigurationUpdate(before, input); });
    const json lease = {{"candidate", "a"}, {"fence", 7}, {"number", 1}};
    Fuzz<json>({lease}, tree, [](const json& input) {
      LeaseRequestFromJson(input);
      LeaseReplyFromJson(input);
      LeaseReleaseFromJson(input);
    });
  }
  SUBCASE("of control processes, about upstreams") {
    UpstreamUpdates updates;
    updates.updates.push_back({ValidAnnouncement(), false});
    updates.refreshes.push_back({"engine-1", 1, 7});
    Fuzz<json>({EncodeUpstreamUpdates(updates)}, tree, [](const json& input) {
      const auto decoded = DecodeUpstreamUpdates(input);
      if (decoded) EncodeUpstreamUpdates(decoded.value());
    });
    Fuzz<json>({EncodeEngineHealth({{"engine-1", 1, true, 0.5, 1.0}})}, tree,
               [](const json& input) {
                 const auto decoded = DecodeEngineHealth(input);
                 if (decoded) EncodeEngineHealth(decoded.value());
               });
    Fuzz<json>({EncodeControlRequest({"POST", "/a/b", "{}"}),
                EncodeControlRequest({"POST", "/a/b", std::string(100'000, 'x')})},
               tree, [](const json& input) {
                 const auto decoded = DecodeControlRequest(input);
                 if (decoded) EncodeControlRequest(decoded.value());
               });
    Fuzz<json>({EncodeControlResponse({200, "{}"})}, tree, [](const json& input) {
      const auto decoded = DecodeControlResponse(input);
      if (decoded) EncodeControlResponse(decoded.value());
    });
    Fuzz<json>({EncodeRetryCounts({{"assistant", {100, 5, 3}}})}, tree, [](const json& input) {
      const auto decoded = DecodeRetryCounts(input);
      if (decoded) EncodeRetryCounts(decoded.value());
    });
    Fuzz<json>({EncodeRetryReport({7, 3, 2, {0.2, 424.0}, {{"assistant", {100, 5, 20.0}}}})}, tree,
               [](const json& input) {
                 const auto decoded = DecodeRetryReport(input);
                 if (decoded) EncodeRetryReport(decoded.value());
               });
    Fuzz<json>({EncodeRetryGrant({3, {{"assistant", {20.0, 8.0}}}})}, tree, [](const json& input) {
      const auto decoded = DecodeRetryGrant(input);
      if (decoded) EncodeRetryGrant(decoded.value());
    });
  }
  SUBCASE("of control processes, about prompts") {
    Fuzz<json>({EncodeCrashReport({"engine-1", 7, 3, CrashPhase::kBeforeHead, {"a", "b"}})}, tree,
               [](const json& input) {
                 const auto decoded = DecodeCrashReport(input);
                 if (decoded) EncodeCrashReport(decoded.value());
               });
    Fuzz<json>({EncodePromptParts({"a", "b"})}, tree, [](const json& input) {
      const auto decoded = DecodePromptParts(input);
      if (decoded) EncodePromptParts(decoded.value());
    });
    Fuzz<json>({EncodeTrialReply(true)}, tree, [](const json& input) { IsTrialGranted(input); });
    const PartVerdict verdict{"a",    PartState::kQuarantined,         3,
                              {1, 2}, std::chrono::milliseconds(5000), {"b"}};
    Fuzz<json>({EncodeTrialRequest({verdict, TrialReason::kBegunBefore})}, tree,
               [](const json& input) {
                 const auto decoded = DecodeTrialRequest(input);
                 if (decoded) EncodeTrialRequest(decoded.value());
               });
    Fuzz<json>({EncodePartVerdicts({verdict})}, tree, [](const json& input) {
      const auto decoded = DecodePartVerdicts(input);
      if (!decoded) return;
      CrashAttribution attribution;
      attribution.Merge(TimePoint(std::chrono::hours(1)), decoded.value());
      EncodePartVerdicts(attribution.Verdicts(TimePoint(std::chrono::hours(1))));
    });
  }
  SUBCASE("of gossip") {
    std::mt19937_64 random(kSeed);
    TimePoint now{std::chrono::hours(1000)};
    const auto info = [](const std::string& name) {
      HostInfo host;
      host.name = name;
      host.program = "corneltray-entry";
      host.region = "dkr";
      host.availability_zone = "dkr-a";
      host.peer_address = "127.0.0.1:9";
      host.incarnation = 1;
      return host;
    };
    MembershipTable sender(now, info("a"), &random);
    MembershipTable receiver(now, info("b"), &random);
    sender.HandlePeer(now, info("b"));
    sender.HandleAnnouncement(now, ValidAnnouncement());
    std::vector<json> bodies;
    for (int second = 0; second < 10; ++second) {
      for (auto& message : sender.Heartbeat(now).messages) bodies.push_back(message.body);
      now += std::chrono::milliseconds(200);
      for (auto& message : sender.Tick(now).messages) bodies.push_back(message.body);
      now += std::chrono::milliseconds(800);
    }
    Fuzz<json>(bodies, tree, [&](const json& input) {
      receiver.HandleGossip(now, "a", input);
      receiver.Upstreams(now);
    });
  }
  SUBCASE("of operators") {
    const std::string text =
        "[[model]]\nname = \"assistant\"\nversion = \"1\"\nlayers = 24\nbytes_per_layer = 1000\n"
        "[limits]\nmax_body_bytes = 5000\n";
    Fuzz<std::string>({text}, bytes, [](const std::string& input) {
      const ParsedDocument parsed = ParseConfiguration({input, {{"dkr", input}}}, "dkr");
      if (parsed.issues.empty()) MakeConfiguration(parsed.values, "dkr", 1);
      std::vector<DocumentIssue> issues;
      ParseHostSettings({"settings", input}, &issues);
    });
  }
  SUBCASE("of files") {
    ControlState state;
    for (const Command& command : ValidCommands()) state.Apply(command, 1'700'000'000'000);
    Fuzz<std::string>({state.Snapshot()}, bytes, [](const std::string& input) {
      ControlState restored;
      (void)restored.Restore(input);
    });
    Fuzz<std::string>({std::string(64, '\0')}, bytes, [](const std::string& input) {
      DecodeLogHeader(input);
      DecodeLogRecord(input, 0);
      DecodeIdentityFile(input);
      DecodeHardStateFile(input);
      DecodeSnapshotFile(input);
    });
  }
}

}  // namespace
}  // namespace corneltray
