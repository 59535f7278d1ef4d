#ifndef CORNELTRAY_BOOKING_H_
#define CORNELTRAY_BOOKING_H_

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <variant>
#include <vector>

#include "corneltray/enum_names.h"
#include "corneltray/part_state.h"
#include "corneltray/result.h"
#include "corneltray/time.h"

namespace corneltray {

// State of one idempotency key in the replicated log. See docs/design.md section 5.3.
enum class BookingState { kAbsent, kInProgress, kDone, kNotRun, kUnknown };

template <>
struct EnumNames<BookingState> {
  static constexpr EnumName<BookingState> kTable[] = {
      {BookingState::kAbsent, "absent"},   {BookingState::kInProgress, "in_progress"},
      {BookingState::kDone, "done"},       {BookingState::kNotRun, "not_run"},
      {BookingState::kUnknown, "unknown"},
  };
};

// Names one booking. A key is unique for a customer and a service.
struct BookingKey {
  std::string customer;
  std::string service;
  std::string idempotency_key;  // UUID version 7 in canonical lower-case text

  bool operator==(const BookingKey& other) const;
  bool operator<(const BookingKey& other) const;
};

// The answer of a service as the first caller received it, repeated byte for byte.
struct StoredAnswer {
  std::uint32_t status = 0;
  std::string content_type;
  std::string body;
  bool body_stored = true;  // false when the body was over the size limit
};

// Asks for the right to send one booking. Granted only if the key is absent, or if the same attempt
// asks again.
struct ClaimBooking {
  BookingKey key;
  std::string attempt;       // random 128-bit id in hexadecimal
  std::string entry_host;    // process that may send
  std::string request_hash;  // of method, path and body
  UnixMs resolve_at = 0;     // from then on a repeat may mark the booking unknown
};

// Records how an attempt ended: done with the answer, or not run.
struct FinishBooking {
  BookingKey key;
  std::string attempt;
  BookingState outcome = BookingState::kDone;  // kDone or kNotRun
  StoredAnswer answer;                         // used when done
  bool from_lookup = false;                    // found through the service's idempotent lookup
};

// Marks an attempt as unknown after its `resolve_at`. Changes nothing if it has ended meanwhile.
struct MarkBookingUnknown {
  BookingKey key;
  std::string attempt;
};

// Records that a key will never run. Changes nothing if the key is already present.
struct RefuseBooking {
  BookingKey key;
  std::string request_hash;
};

// A change of the whole configuration document. See docs/design.md section 5.5.
struct ConfigurationDocument {
  std::string base;                                           // TOML text shared by all sites
  std::vector<std::pair<std::string, std::string>> overlays;  // site name and TOML text, sorted
};

struct ApplyConfiguration {
  std::string change_id;
  std::uint64_t expected_revision = 0;
  std::string author;
  ConfigurationDocument document;
  // Filled in by the leader (PrepareChange): why the document cannot be accepted, and the greatest
  // retention of its sites. Replicas take both as they are, because replicas of different program
  // versions may know different keys and would otherwise disagree.
  std::string problem{};  // NOLINT(readability-redundant-string-init)
  std::int64_t retention_ms = 0;
};

// A complete route table. It is in force if its version is higher than the one held. The leader
// has validated it; replicas keep the text as it was sent.
struct ReplaceRouteTable {
  std::uint64_t version = 0;
  std::string compressed_text;
};

// What is held of a prompt part on which upstreams may crash.
struct StoredPartVerdict {
  std::string part;
  PartState state = PartState::kSound;
  std::uint64_t generation = 0;     // number of changes into and out of quarantine
  std::uint32_t begun_crashes = 0;  // just after an answer with the part had begun
  std::uint32_t crashes = 0;        // with those before an answer had begun
  // When one request with the quarantined part may be tried; in the other states, when the verdict
  // was recorded.
  UnixMs trial_at = 0;
  // Parts that were present whenever this one was; only requests with all of them are refused.
  std::vector<std::string> companions;
};

// Records verdicts on prompt parts. A verdict that is older than the one held changes nothing.
struct RecordPartVerdicts {
  std::vector<StoredPartVerdict> verdicts;
};

// A command of the replicated log that changes ControlState.
using Command = std::variant<ClaimBooking, FinishBooking, MarkBookingUnknown, RefuseBooking,
                             ApplyConfiguration, ReplaceRouteTable, RecordPartVerdicts>;

enum class BookingVerdict {
  kGranted,      // the attempt holds the claim and may send
  kRecorded,     // the state in the reply was written by this command
  kExisting,     // the key had the state in the reply before; nothing was changed
  kKeyReused,    // same key with another request hash
  kKeyExpired,   // key older than the retention
  kKeyInFuture,  // key time ahead of the log time by more than the allowance
  kNotClaimer,   // the attempt does not hold the claim
  kTooEarly,     // MarkBookingUnknown before resolve_at
};

template <>
struct EnumNames<BookingVerdict> {
  static constexpr EnumName<BookingVerdict> kTable[] = {
      {BookingVerdict::kGranted, "granted"},        {BookingVerdict::kRecorded, "recorded"},
      {BookingVerdict::kExisting, "existing"},      {BookingVerdict::kKeyReused, "key_reused"},
      {BookingVerdict::kKeyExpired, "key_expired"}, {BookingVerdict::kKeyInFuture, "key_in_future"},
      {BookingVerdict::kNotClaimer, "not_claimer"}, {BookingVerdict::kTooEarly, "too_early"},
  };
};

struct BookingReply {
  BookingVerdict verdict = BookingVerdict::kExisting;
  BookingState state = BookingState::kAbsent;
  std::string attempt;     // of the claim in force
  std::string entry_host;  // of the claim in force
  UnixMs resolve_at = 0;   // of the claim in force
  UnixMs log_time = 0;     // greatest committed leader timestamp
  StoredAnswer answer;     // when state is kDone
};

enum class ConfigurationVerdict { kApplied, kDuplicate, kRevisionConflict, kInvalid };

template <>
struct EnumNames<ConfigurationVerdict> {
  static constexpr EnumName<ConfigurationVerdict> kTable[] = {
      {ConfigurationVerdict::kApplied, "applied"},
      {ConfigurationVerdict::kDuplicate, "duplicate"},
      {ConfigurationVerdict::kRevisionConflict, "revision_conflict"},
      {ConfigurationVerdict::kInvalid, "invalid"},
  };
};

// `revision` is the revision that the change got (also for a duplicate), or the current one when
// the change was refused.
struct ConfigurationReply {
  ConfigurationVerdict verdict = ConfigurationVerdict::kApplied;
  std::uint64_t revision = 0;
  std::string detail;
};

enum class RouteTableVerdict {
  kApplied,
  kHeld,      // the same table is held already
  kOutdated,  // a higher version is held; nothing was changed
  kConflict,  // another table is held under this version; nothing was changed
};

template <>
struct EnumNames<RouteTableVerdict> {
  static constexpr EnumName<RouteTableVerdict> kTable[] = {
      {RouteTableVerdict::kApplied, "applied"},
      {RouteTableVerdict::kHeld, "held"},
      {RouteTableVerdict::kOutdated, "outdated"},
      {RouteTableVerdict::kConflict, "conflict"},
  };
};

struct RouteTableReply {
  RouteTableVerdict verdict = RouteTableVerdict::kApplied;
  std::uint64_t version = 0;  // in force
};

struct PartVerdictsReply {
  std::uint64_t version = 0;  // of the verdicts held
};

using CommandReply =
    std::variant<BookingReply, ConfigurationReply, RouteTableReply, PartVerdictsReply>;

// Encodes for the log and for the wire (CBOR). Decoding fails on a malformed or unknown command.
std::string EncodeCommand(const Command& command);
Result<Command> DecodeCommand(const std::string& bytes);
// JSON encoding of verdicts, for commands and snapshots. Decoding throws nlohmann::json::exception.
nlohmann::json StoredVerdictsToJson(const std::vector<StoredPartVerdict>& verdicts);
std::vector<StoredPartVerdict> StoredVerdictsFromJson(const nlohmann::json& value);
std::string EncodeCommandReply(const CommandReply& reply);
Result<CommandReply> DecodeCommandReply(const std::string& bytes);

}  // namespace corneltray

#endif  // CORNELTRAY_BOOKING_H_
