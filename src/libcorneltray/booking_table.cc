#include <algorithm>
#include <string_view>
#include <utility>

#include "corneltray/control_state.h"

namespace corneltray {
namespace {

// Clocks of callers may be ahead by this much.
constexpr std::int64_t kMaxKeyLeadMs = std::int64_t{5} * 60 * 1000;
// Upper bound of `bookings.max_stored_answer_bytes`. Entry processes apply the configured limit;
// this one keeps a faulty one from filling the log's state.
constexpr std::size_t kMaxAnswerBytes = 1'000'000;

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kUuidTimeDigits = 12;  // 48 bits of Unix milliseconds come first

// Returns the value of a lower-case hexadecimal digit, or -1.
int HexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}

// Numbers are 8 bytes, least significant first; texts are their length and their bytes.
void AppendNumber(std::string* bytes, std::int64_t number) {
  auto rest = static_cast<std::uint64_t>(number);
  for (std::size_t i = 0; i < sizeof rest; ++i) {
    bytes->push_back(static_cast<char>(rest & 0xff));
    rest >>= 8;
  }
}

void AppendText(std::string* bytes, std::string_view text) {
  AppendNumber(bytes, static_cast<std::int64_t>(text.size()));
  bytes->append(text);
}

// Reads what the functions above wrote. After the end of the bytes it gives zeros and empty texts,
// and Ok turns false.
class SnapshotReader {
 public:
  explicit SnapshotReader(std::string_view bytes) : m_rest(bytes) {}

  std::int64_t Number() {
    const std::string_view bytes = Take(sizeof(std::uint64_t));
    std::uint64_t number = 0;
    for (std::size_t i = bytes.size(); i > 0; --i) {
      number = (number << 8) | static_cast<unsigned char>(bytes[i - 1]);
    }
    return static_cast<std::int64_t>(number);
  }
  std::string Text() { return std::string(Take(static_cast<std::uint64_t>(Number()))); }

  bool Ok() const { return m_ok; }
  bool AtEnd() const { return m_rest.empty(); }

 private:
  std::string_view Take(std::uint64_t size) {
    if (size > m_rest.size()) {
      m_ok = false;
      m_rest = {};
      return {};
    }
    const std::string_view taken = m_rest.substr(0, size);
    m_rest.remove_prefix(size);
    return taken;
  }

  std::string_view m_rest;
  bool m_ok = true;
};

}  // namespace

std::optional<UnixMs> IdempotencyKeyTime(const std::string& key) {
  if (key.size() != kUuidLength) return std::nullopt;
  UnixMs time = 0;
  std::size_t digits = 0;
  for (std::size_t i = 0; i < kUuidLength; ++i) {
    if (i == 8 || i == 13 || i == 18 || i == 23) {
      if (key[i] != '-') return std::nullopt;
      continue;
    }
    const int value = HexValue(key[i]);
    if (value < 0) return std::nullopt;
    if (digits++ < kUuidTimeDigits) time = time * 16 + value;
  }
  const bool version_7 = key[14] == '7';
  const bool variant_rfc = key[19] == '8' || key[19] == '9' || key[19] == 'a' || key[19] == 'b';
  if (!version_7 || !variant_rfc) return std::nullopt;
  return time;
}

BookingReply BookingTable::ReplyFor(BookingVerdict verdict, const Entry& entry,
                                    UnixMs log_time) const {
  BookingReply reply;
  reply.verdict = verdict;
  reply.state = entry.state;
  reply.attempt = entry.attempt;
  reply.entry_host = entry.entry_host;
  reply.resolve_at = entry.resolve_at;
  reply.log_time = log_time;
  if (entry.state == BookingState::kDone) reply.answer = entry.answer;
  return reply;
}

// Returns the refusal of a key that is absent and may not be added, or nothing.
std::optional<BookingReply> BookingTable::CheckKeyTime(const BookingKey& key,
                                                       UnixMs log_time) const {
  BookingReply refusal;
  refusal.log_time = log_time;
  const auto time = IdempotencyKeyTime(key.idempotency_key);
  if (!time || *time < m_cutoff) {
    // The key may have run and been forgotten since.
    refusal.verdict = BookingVerdict::kKeyExpired;
    refusal.state = BookingState::kUnknown;
    return refusal;
  }
  if (*time > log_time + kMaxKeyLeadMs) {
    refusal.verdict = BookingVerdict::kKeyInFuture;
    return refusal;
  }
  return std::nullopt;
}

// Returns the refusal of an attempt that does not hold the claim of the key, or nothing.
std::optional<BookingReply> BookingTable::CheckClaimer(const BookingKey& key,
                                                       const std::string& attempt,
                                                       UnixMs log_time) const {
  const auto found = m_entries.find(key);
  if (found == m_entries.end()) {
    if (auto refusal = CheckKeyTime(key, log_time)) return refusal;
    BookingReply reply;
    reply.verdict = BookingVerdict::kNotClaimer;
    reply.log_time = log_time;
    return reply;
  }
  if (found->second.attempt == attempt) return std::nullopt;
  return ReplyFor(BookingVerdict::kNotClaimer, found->second, log_time);
}

BookingReply BookingTable::Claim(const ClaimBooking& command, UnixMs log_time) {
  const auto found = m_entries.find(command.key);
  if (found != m_entries.end()) {
    const Entry& entry = found->second;
    if (entry.request_hash != command.request_hash) {
      return ReplyFor(BookingVerdict::kKeyReused, entry, log_time);
    }
    const bool same = entry.attempt == command.attempt && entry.entry_host == command.entry_host;
    const bool granted = same && entry.state == BookingState::kInProgress;
    return ReplyFor(granted ? BookingVerdict::kGranted : BookingVerdict::kExisting, entry,
                    log_time);
  }
  if (auto refusal = CheckKeyTime(command.key, log_time)) return *refusal;
  Entry& entry = m_entries[command.key];
  entry.attempt = command.attempt;
  entry.entry_host = command.entry_host;
  entry.request_hash = command.request_hash;
  entry.resolve_at = command.resolve_at;
  m_by_time.emplace(*IdempotencyKeyTime(command.key.idempotency_key), command.key);
  return ReplyFor(BookingVerdict::kGranted, entry, log_time);
}

BookingReply BookingTable::Finish(const FinishBooking& command, UnixMs log_time) {
  if (auto refusal = CheckClaimer(command.key, command.attempt, log_time)) return *refusal;
  Entry& entry = m_entries.find(command.key)->second;
  if (entry.state == BookingState::kDone || entry.state == BookingState::kNotRun) {
    return ReplyFor(BookingVerdict::kExisting, entry, log_time);
  }
  if (command.outcome == BookingState::kDone) {
    entry.state = BookingState::kDone;
    entry.answer = command.answer;
    if (entry.answer.body.size() > kMaxAnswerBytes) {
      entry.answer.body.clear();
      entry.answer.body_stored = false;
    }
    return ReplyFor(BookingVerdict::kRecorded, entry, log_time);
  }
  // A lookup that finds nothing proves nothing: a frozen claimer may still send. Only the claimer
  // knows that no byte was sent.
  if (command.outcome != BookingState::kNotRun || command.from_lookup) {
    return ReplyFor(BookingVerdict::kNotClaimer, entry, log_time);
  }
  entry.state = BookingState::kNotRun;
  return ReplyFor(BookingVerdict::kRecorded, entry, log_time);
}

BookingReply BookingTable::MarkUnknown(const MarkBookingUnknown& command, UnixMs log_time) {
  if (auto refusal = CheckClaimer(command.key, command.attempt, log_time)) return *refusal;
  Entry& entry = m_entries.find(command.key)->second;
  if (entry.state != BookingState::kInProgress) {
    return ReplyFor(BookingVerdict::kExisting, entry, log_time);
  }
  if (log_time < entry.resolve_at) return ReplyFor(BookingVerdict::kTooEarly, entry, log_time);
  entry.state = BookingState::kUnknown;
  return ReplyFor(BookingVerdict::kRecorded, entry, log_time);
}

BookingReply BookingTable::Refuse(const RefuseBooking& command, UnixMs log_time) {
  const auto found = m_entries.find(command.key);
  if (found != m_entries.end()) {
    const bool reused = found->second.request_hash != command.request_hash;
    return ReplyFor(reused ? BookingVerdict::kKeyReused : BookingVerdict::kExisting, found->second,
                    log_time);
  }
  if (auto refusal = CheckKeyTime(command.key, log_time)) return *refusal;
  Entry& entry = m_entries[command.key];
  entry.state = BookingState::kNotRun;
  entry.request_hash = command.request_hash;
  m_by_time.emplace(*IdempotencyKeyTime(command.key.idempotency_key), command.key);
  return ReplyFor(BookingVerdict::kRecorded, entry, log_time);
}

BookingReply BookingTable::Read(const BookingKey& key, UnixMs log_time) const {
  const auto found = m_entries.find(key);
  if (found != m_entries.end()) {
    return ReplyFor(BookingVerdict::kExisting, found->second, log_time);
  }
  if (auto refusal = CheckKeyTime(key, log_time)) return *refusal;
  BookingReply reply;
  reply.log_time = log_time;
  return reply;
}

void BookingTable::Expire(UnixMs log_time, std::int64_t retention_ms) {
  m_cutoff = std::max(m_cutoff, log_time - retention_ms);
  const auto end = m_by_time.lower_bound(m_cutoff);
  for (auto it = m_by_time.begin(); it != end; ++it) m_entries.erase(it->second);
  m_by_time.erase(m_by_time.begin(), end);
}

void BookingTable::AppendSnapshot(std::string* bytes) const {
  AppendNumber(bytes, m_cutoff);
  AppendNumber(bytes, static_cast<std::int64_t>(m_entries.size()));
  for (const auto& [key, entry] : m_entries) {
    for (const std::string* text : {&key.customer, &key.service, &key.idempotency_key,
                                    &entry.attempt, &entry.entry_host, &entry.request_hash}) {
      AppendText(bytes, *text);
    }
    AppendText(bytes, NameOf(entry.state));
    AppendNumber(bytes, entry.resolve_at);
    if (entry.state != BookingState::kDone) continue;
    AppendNumber(bytes, entry.answer.status);
    AppendText(bytes, entry.answer.content_type);
    AppendText(bytes, entry.answer.body);
    AppendNumber(bytes, entry.answer.body_stored ? 1 : 0);
  }
}

bool BookingTable::Restore(std::string_view snapshot) {
  SnapshotReader reader(snapshot);
  BookingTable restored;
  restored.m_cutoff = reader.Number();
  const std::int64_t count = reader.Number();
  for (std::int64_t i = 0; i < count && reader.Ok(); ++i) {
    BookingKey key;
    Entry entry;
    for (std::string* text : {&key.customer, &key.service, &key.idempotency_key, &entry.attempt,
                              &entry.entry_host, &entry.request_hash}) {
      *text = reader.Text();
    }
    const auto state = ParseEnum<BookingState>(reader.Text());
    const auto time = IdempotencyKeyTime(key.idempotency_key);
    if (!state || !time) return false;
    entry.state = *state;
    entry.resolve_at = reader.Number();
    if (entry.state == BookingState::kDone) {
      entry.answer.status = static_cast<std::uint32_t>(reader.Number());
      entry.answer.content_type = reader.Text();
      entry.answer.body = reader.Text();
      entry.answer.body_stored = reader.Number() != 0;
    }
    restored.m_by_time.emplace(*time, key);
    restored.m_entries.emplace_hint(restored.m_entries.end(), std::move(key), std::move(entry));
  }
  if (!reader.Ok() || !reader.AtEnd()) return false;
  *this = std::move(restored);
  return true;
}

}  // namespace corneltray
