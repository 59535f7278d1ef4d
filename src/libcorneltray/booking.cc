#include "corneltray/booking.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "booking_json.h"
#include "corneltray/control_state.h"

namespace corneltray {
namespace {

using nlohmann::json;

// The year 2200. Keeps the sums of a received time and a delay in range.
constexpr UnixMs kLatestTrialAt = 7'258'118'400'000;

std::string ToCbor(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

json Encode(const ClaimBooking& c) {
  return {{"command", "claim_booking"},     {"key", ToJson(c.key)},
          {"attempt", c.attempt},           {"entry_host", c.entry_host},
          {"request_hash", c.request_hash}, {"resolve_at", c.resolve_at}};
}

json Encode(const FinishBooking& c) {
  return {{"command", "finish_booking"}, {"key", ToJson(c.key)},
          {"attempt", c.attempt},        {"outcome", NameOf(c.outcome)},
          {"answer", ToJson(c.answer)},  {"from_lookup", c.from_lookup}};
}

json Encode(const MarkBookingUnknown& c) {
  return {{"command", "mark_booking_unknown"}, {"key", ToJson(c.key)}, {"attempt", c.attempt}};
}

json Encode(const RefuseBooking& c) {
  return {{"command", "refuse_booking"}, {"key", ToJson(c.key)}, {"request_hash", c.request_hash}};
}

json Encode(const ApplyConfiguration& c) {
  return {{"command", "apply_configuration"},
          {"change_id", c.change_id},
          {"expected_revision", c.expected_revision},
          {"author", c.author},
          {"document", ToJson(c.document)},
          {"problem", c.problem},
          {"retention_ms", c.retention_ms}};
}

json Encode(const ReplaceRouteTable& c) {
  return {{"command", "replace_route_table"},
          {"version", c.version},
          {"text", ToBinary(c.compressed_text)}};
}

json Encode(const RecordPartVerdicts& c) {
  return {{"command", "record_part_verdicts"}, {"verdicts", StoredVerdictsToJson(c.verdicts)}};
}

Command DecodeClaim(const json& v) {
  return ClaimBooking{BookingKeyFromJson(v.at("key")), v.at("attempt"), v.at("entry_host"),
                      v.at("request_hash"), v.at("resolve_at")};
}

Command DecodeFinish(const json& v) {
  FinishBooking finish{BookingKeyFromJson(v.at("key")), v.at("attempt"),
                       EnumFromJson<BookingState>(v.at("outcome")),
                       StoredAnswerFromJson(v.at("answer")), v.at("from_lookup")};
  if (finish.outcome != BookingState::kDone && finish.outcome != BookingState::kNotRun) {
    throw json::other_error::create(501, "an attempt ends as done or not_run", &v);
  }
  return finish;
}

Command DecodeMarkUnknown(const json& v) {
  return MarkBookingUnknown{BookingKeyFromJson(v.at("key")), v.at("attempt")};
}

Command DecodeRefuse(const json& v) {
  return RefuseBooking{BookingKeyFromJson(v.at("key")), v.at("request_hash")};
}

Command DecodeApply(const json& v) {
  return ApplyConfiguration{v.at("change_id"), v.at("expected_revision"),
                            v.at("author"),    DocumentFromJson(v.at("document")),
                            v.at("problem"),   v.at("retention_ms")};
}

Command DecodeReplaceRouteTable(const json& v) {
  return ReplaceRouteTable{v.at("version"), FromBinary(v.at("text"))};
}

Command DecodeRecordPartVerdicts(const json& v) {
  return RecordPartVerdicts{StoredVerdictsFromJson(v.at("verdicts"))};
}

struct CommandDecoder {
  std::string_view name;
  Command (*decode)(const json&);
};
constexpr CommandDecoder kDecoders[] = {
    {"claim_booking", DecodeClaim},
    {"finish_booking", DecodeFinish},
    {"mark_booking_unknown", DecodeMarkUnknown},
    {"refuse_booking", DecodeRefuse},
    {"apply_configuration", DecodeApply},
    {"replace_route_table", DecodeReplaceRouteTable},
    {"record_part_verdicts", DecodeRecordPartVerdicts},
};

json EncodeReply(const BookingReply& r) {
  json encoded = {{"reply", "booking"},         {"verdict", NameOf(r.verdict)},
                  {"state", NameOf(r.state)},   {"attempt", r.attempt},
                  {"entry_host", r.entry_host}, {"resolve_at", r.resolve_at},
                  {"log_time", r.log_time}};
  if (r.state == BookingState::kDone) encoded["answer"] = ToJson(r.answer);
  return encoded;
}

json EncodeReply(const ConfigurationReply& r) {
  return {{"reply", "configuration"},
          {"verdict", NameOf(r.verdict)},
          {"revision", r.revision},
          {"detail", r.detail}};
}

json EncodeReply(const RouteTableReply& r) {
  return {{"reply", "route_table"}, {"verdict", NameOf(r.verdict)}, {"version", r.version}};
}

json EncodeReply(const PartVerdictsReply& r) {
  return {{"reply", "part_verdicts"}, {"version", r.version}};
}

BookingReply DecodeBookingReply(const json& v) {
  BookingReply reply;
  reply.verdict = EnumFromJson<BookingVerdict>(v.at("verdict"));
  reply.state = EnumFromJson<BookingState>(v.at("state"));
  reply.attempt = v.at("attempt");
  reply.entry_host = v.at("entry_host");
  reply.resolve_at = v.at("resolve_at");
  reply.log_time = v.at("log_time");
  if (reply.state == BookingState::kDone) reply.answer = StoredAnswerFromJson(v.at("answer"));
  return reply;
}

ConfigurationReply DecodeConfigurationReply(const json& v) {
  return {EnumFromJson<ConfigurationVerdict>(v.at("verdict")), v.at("revision"), v.at("detail")};
}

RouteTableReply DecodeRouteTableReply(const json& v) {
  return {EnumFromJson<RouteTableVerdict>(v.at("verdict")), v.at("version")};
}

Error Malformed(const std::string& detail) { return {ControlStateErrc::kMalformedCommand, detail}; }

}  // namespace

bool BookingKey::operator==(const BookingKey& other) const {
  return customer == other.customer && service == other.service &&
         idempotency_key == other.idempotency_key;
}

bool BookingKey::operator<(const BookingKey& other) const {
  return std::tie(customer, service, idempotency_key) <
         std::tie(other.customer, other.service, other.idempotency_key);
}

json ToBinary(const std::string& bytes) { return json::binary({bytes.begin(), bytes.end()}); }

std::string FromBinary(const json& value) {
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

json ToJson(const BookingKey& key) { return {key.customer, key.service, key.idempotency_key}; }

BookingKey BookingKeyFromJson(const json& value) { return {value.at(0), value.at(1), value.at(2)}; }

json ToJson(const StoredAnswer& answer) {
  return {{"status", answer.status},
          {"content_type", answer.content_type},
          {"body", ToBinary(answer.body)},
          {"body_stored", answer.body_stored}};
}

StoredAnswer StoredAnswerFromJson(const json& value) {
  return {value.at("status"), value.at("content_type"), FromBinary(value.at("body")),
          value.at("body_stored")};
}

json ToJson(const ConfigurationDocument& document) {
  json overlays = json::array();
  for (const auto& [site, text] : document.overlays) overlays.push_back({site, text});
  return {{"base", document.base}, {"overlays", std::move(overlays)}};
}

ConfigurationDocument DocumentFromJson(const json& value) {
  ConfigurationDocument document;
  document.base = value.at("base");
  for (const json& overlay : value.at("overlays")) {
    document.overlays.emplace_back(overlay.at(0), overlay.at(1));
  }
  return document;
}

json StoredVerdictsToJson(const std::vector<StoredPartVerdict>& verdicts) {
  json list = json::array();
  for (const StoredPartVerdict& verdict : verdicts) {
    list.push_back({{"part", verdict.part},
                    {"state", NameOf(verdict.state)},
                    {"generation", verdict.generation},
                    {"begun_crashes", verdict.begun_crashes},
                    {"crashes", verdict.crashes},
                    {"trial_at", verdict.trial_at},
                    {"companions", verdict.companions}});
  }
  return list;
}

std::vector<StoredPartVerdict> StoredVerdictsFromJson(const json& value) {
  std::vector<StoredPartVerdict> verdicts;
  for (const json& item : value) {
    StoredPartVerdict verdict;
    verdict.part = item.at("part");
    verdict.state = EnumFromJson<PartState>(item.at("state"));
    verdict.generation = item.at("generation");
    verdict.begun_crashes = item.at("begun_crashes");
    verdict.crashes = item.at("crashes");
    verdict.trial_at = std::clamp<UnixMs>(item.at("trial_at"), 0, kLatestTrialAt);
    verdict.companions = item.at("companions").get<std::vector<std::string>>();
    verdicts.push_back(std::move(verdict));
  }
  return verdicts;
}

std::string EncodeCommand(const Command& command) {
  return ToCbor(std::visit([](const auto& c) { return Encode(c); }, command));
}

Result<Command> DecodeCommand(const std::string& bytes) {
  try {
    const json value = json::from_cbor(bytes);
    const std::string& name = value.at("command").get_ref<const std::string&>();
    for (const CommandDecoder& decoder : kDecoders) {
      if (decoder.name == name) return decoder.decode(value);
    }
    return Error{ControlStateErrc::kUnknownCommand, name};
  } catch (const json::exception& failure) {
    return Malformed(failure.what());
  }
}

std::string EncodeCommandReply(const CommandReply& reply) {
  return ToCbor(std::visit([](const auto& r) { return EncodeReply(r); }, reply));
}

Result<CommandReply> DecodeCommandReply(const std::string& bytes) {
  try {
    const json value = json::from_cbor(bytes);
    const std::string& kind = value.at("reply").get_ref<const std::string&>();
    if (kind == "booking") return CommandReply(DecodeBookingReply(value));
    if (kind == "configuration") return CommandReply(DecodeConfigurationReply(value));
    if (kind == "route_table") return CommandReply(DecodeRouteTableReply(value));
    if (kind == "part_verdicts") return CommandReply(PartVerdictsReply{value.at("version")});
    return Malformed("unknown reply " + kind);
  } catch (const json::exception& failure) {
    return Malformed(failure.what());
  }
}

}  // namespace corneltray
