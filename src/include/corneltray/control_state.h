#ifndef CORNELTRAY_CONTROL_STATE_H_
#define CORNELTRAY_CONTROL_STATE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "corneltray/booking.h"
#include "corneltray/log_version.h"
#include "corneltray/part_verdict_store.h"
#include "corneltray/result.h"
#include "corneltray/time.h"

namespace corneltray {

// Error codes of the replicated state.
enum class ControlStateErrc {
  kMalformedSnapshot = 1,
  kMalformedCommand,
  kUnknownCommand,  // only other versions of the program read it
};

std::error_code make_error_code(ControlStateErrc errc);

// Maximum size of a configuration document. A whole document has to fit into one log entry of 512
// KiB and one frame of 1 MiB.
inline constexpr std::size_t kMaxDocumentBytes = 262'144;

// Returns the timestamp of a UUID version 7 in canonical lower-case form, or nothing if the text is
// not one.
std::optional<UnixMs> IdempotencyKeyTime(const std::string& key);

// Outcomes of calls with an idempotency key, one entry for each key younger than the retention.
// Deterministic: the content depends only on the commands applied and their log times. Not
// thread-safe.
class BookingTable {
 public:
  BookingReply Claim(const ClaimBooking& command, UnixMs log_time);
  BookingReply Finish(const FinishBooking& command, UnixMs log_time);
  BookingReply MarkUnknown(const MarkBookingUnknown& command, UnixMs log_time);
  BookingReply Refuse(const RefuseBooking& command, UnixMs log_time);

  // Returns the state of a key, or kAbsent for a key that was never claimed.
  BookingReply Read(const BookingKey& key, UnixMs log_time) const;

  // Removes keys older than the retention. The cutoff never moves back: if the retention is
  // extended again, keys that were already removed must not be accepted as absent.
  void Expire(UnixMs log_time, std::int64_t retention_ms);

  std::size_t Size() const { return m_entries.size(); }
  // Keys with a timestamp before this time are rejected as expired.
  UnixMs Cutoff() const { return m_cutoff; }

  // Appends the content in binary form. A JSON value of the whole table would need several times
  // its memory and, at 100,000 keys, more time than an election timeout.
  void AppendSnapshot(std::string* bytes) const;
  // Replaces the content. Returns false and leaves it unchanged on a malformed snapshot.
  bool Restore(std::string_view snapshot);

 private:
  struct Entry {
    BookingState state = BookingState::kInProgress;
    std::string attempt;
    std::string entry_host;
    std::string request_hash;
    UnixMs resolve_at = 0;
    StoredAnswer answer;
  };

  std::optional<BookingReply> CheckKeyTime(const BookingKey& key, UnixMs log_time) const;
  std::optional<BookingReply> CheckClaimer(const BookingKey& key, const std::string& attempt,
                                           UnixMs log_time) const;
  BookingReply ReplyFor(BookingVerdict verdict, const Entry& entry, UnixMs log_time) const;

  std::map<BookingKey, Entry> m_entries;
  // Keys ordered by their timestamp, so that Expire visits only the keys that it removes.
  std::multimap<UnixMs, BookingKey> m_by_time;
  UnixMs m_cutoff = 0;
};

// An accepted change of the configuration.
struct ConfigurationHistoryRow {
  std::uint64_t revision = 0;
  std::string change_id;
  std::string author;
  UnixMs time = 0;  // log time of the change
};

// Validates a change and stores the verdict and the retention in it, so that every replica uses the
// same ones. The leader calls it before it proposes the change. ConfigurationStore does not
// validate: it accepts a change without a recorded problem.
ApplyConfiguration PrepareChange(ApplyConfiguration change);

// The configuration document, its revision and the history of changes. Deterministic. Not
// thread-safe.
class ConfigurationStore {
 public:
  ConfigurationStore();

  ConfigurationReply Apply(const ApplyConfiguration& command, UnixMs log_time);

  std::uint64_t Revision() const { return m_revision; }
  const ConfigurationDocument& Document() const { return m_document; }
  const std::deque<ConfigurationHistoryRow>& History() const { return m_history; }
  // Greatest retention of any site, so that the keys of no site are removed early.
  std::int64_t RetentionMs() const { return m_retention_ms; }

  // Returns the document at an earlier or the current revision, or nothing if it is no longer kept.
  std::optional<ConfigurationDocument> DocumentAt(std::uint64_t revision) const;

  nlohmann::json Snapshot() const;
  // Replaces the content. Throws nlohmann::json::exception on a malformed snapshot.
  void Restore(const nlohmann::json& snapshot);

 private:
  // The result of an accepted change, by change ID.
  struct AcceptedChange {
    std::uint64_t revision = 0;
    std::uint64_t document_hash = 0;  // a change ID must not be reused for another document
  };

  std::uint64_t m_revision = 0;
  ConfigurationDocument m_document;
  std::deque<ConfigurationHistoryRow> m_history;
  std::map<std::string, AcceptedChange> m_changes;
  std::deque<std::string> m_change_order;  // oldest first
  // Earlier documents by revision, used to compute patches. Not part of the snapshot.
  std::map<std::uint64_t, ConfigurationDocument> m_earlier;
  std::int64_t m_retention_ms;
};

// Holds the compressed text of the route table with the highest version. Deterministic. Not
// thread-safe.
class RouteTableStore {
 public:
  RouteTableReply Apply(const ReplaceRouteTable& command);

  // Returns 0 before the first table.
  std::uint64_t Version() const { return m_version; }
  const std::string& CompressedText() const { return m_compressed_text; }

  nlohmann::json Snapshot() const;
  // Replaces the content. Throws nlohmann::json::exception on a malformed snapshot.
  void Restore(const nlohmann::json& snapshot);

 private:
  std::uint64_t m_version = 0;
  std::string m_compressed_text;
};

// The state machine of the replicated log. Applying the same commands in the same order gives the
// same state and replies on every replica. Not thread-safe.
class ControlState {
 public:
  // Applies a committed command. `leader_time` is the wall clock of the leader when it appended the
  // command.
  CommandReply Apply(const Command& command, UnixMs leader_time);

  BookingReply ReadBooking(const BookingKey& key) const;
  const ConfigurationStore& GetConfiguration() const { return m_configuration; }
  const BookingTable& GetBookings() const { return m_bookings; }
  const RouteTableStore& GetRouteTable() const { return m_route_table; }
  const PartVerdictStore& GetPartVerdicts() const { return m_part_verdicts; }
  // Returns the highest version of any applied command.
  LogVersion GetLogVersion() const { return m_log_version; }
  // Returns the latest leader timestamp of any applied command.
  UnixMs LogTime() const { return m_log_time; }

  // Serializes the whole state for a snapshot of the log.
  std::string Snapshot() const;
  // Replaces the state. On failure returns kMalformedSnapshot and leaves the state unchanged.
  Status Restore(const std::string& bytes);

 private:
  BookingTable m_bookings;
  ConfigurationStore m_configuration;
  RouteTableStore m_route_table;
  PartVerdictStore m_part_verdicts;
  LogVersion m_log_version = kFirstLogVersion;
  UnixMs m_log_time = 0;
};

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::ControlStateErrc> : std::true_type {};

#endif  // CORNELTRAY_CONTROL_STATE_H_
