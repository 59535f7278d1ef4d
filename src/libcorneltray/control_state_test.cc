#include "corneltray/control_state.h"

#include <doctest/doctest.h>

#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

namespace corneltray {
namespace {

constexpr UnixMs kNow = 1'764'800'000'000;
constexpr std::int64_t kHourMs = 3'600'000;

// Returns a UUID version 7 with this timestamp. `number` distinguishes keys with the same
// timestamp.
std::string KeyAt(UnixMs time, int number = 0) {
  std::array<char, 40> text{};
  const auto high = static_cast<unsigned long long>(time) >> 16;    // NOLINT
  const auto low = static_cast<unsigned long long>(time) & 0xffff;  // NOLINT
  std::snprintf(text.data(), text.size(), "%08llx-%04llx-7000-8000-%012x", high, low,
                static_cast<unsigned>(number));
  return text.data();
}

BookingKey Key(UnixMs time, int number = 0) { return {"customer", "ledger", KeyAt(time, number)}; }

BookingReply Booking(const CommandReply& reply) { return std::get<BookingReply>(reply); }
ConfigurationReply Change(const CommandReply& reply) { return std::get<ConfigurationReply>(reply); }

constexpr char kAttempt[] = "attempt-1";
constexpr UnixMs kResolveAt = kNow + 5000;

Command ClaimOf(const BookingKey& key, const std::string& attempt, const std::string& hash = "h") {
  return ClaimBooking{key, attempt, "entry-1", hash, kResolveAt};
}
Command DoneOf(const BookingKey& key, const std::string& attempt, bool from_lookup = false) {
  return FinishBooking{
      key, attempt, BookingState::kDone, {201, "text", "pass 7", true}, from_lookup};
}
Command NotRunOf(const BookingKey& key, const std::string& attempt, bool from_lookup = false) {
  return FinishBooking{key, attempt, BookingState::kNotRun, {}, from_lookup};
}

std::string DocumentText(std::int64_t retention_ms) {
  return "[bookings]\nretention_ms = " + std::to_string(retention_ms) + "\n";
}
Command ApplyOf(const std::string& id, std::uint64_t expected, const std::string& base) {
  return PrepareChange({id, expected, "operator", {base, {}}, "", 0});
}

// Each row is one fault: the commands applied to the key before, the next command and the only
// permitted result. Guards against reporting `not_run` for a call that ran, and against booking a
// key more than once.
TEST_CASE("a booking key only takes the transitions of the state machine") {
  const BookingKey key = Key(kNow);
  const Command unknown = MarkBookingUnknown{key, kAttempt};
  const Command refuse = RefuseBooking{key, "h"};
  struct Row {
    std::string name;
    std::vector<Command> before;
    Command command;
    UnixMs at;
    BookingVerdict verdict;
    BookingState state;
  };
  using V = BookingVerdict;
  using S = BookingState;
  const Command claim = ClaimOf(key, kAttempt);
  const Command done = DoneOf(key, kAttempt);
  const Command not_run = NotRunOf(key, kAttempt);
  const UnixMs late = kResolveAt;
  const Row rows[] = {
      {"first claim", {}, claim, kNow, V::kGranted, S::kInProgress},
      {"claim reply lost and claim repeated", {claim}, claim, kNow, V::kGranted, S::kInProgress},
      {"another attempt", {claim}, ClaimOf(key, "b"), kNow, V::kExisting, S::kInProgress},
      {"another body", {claim}, ClaimOf(key, "b", "x"), kNow, V::kKeyReused, S::kInProgress},
      {"the claimer again after done", {claim, done}, claim, kNow, V::kExisting, S::kDone},
      {"a delayed claim after not_run", {claim, not_run}, claim, kNow, V::kExisting, S::kNotRun},
      {"a delayed claim after a refusal", {refuse}, claim, kNow, V::kExisting, S::kNotRun},
      {"another body after a refusal",
       {refuse},
       ClaimOf(key, "b", "x"),
       kNow,
       V::kKeyReused,
       S::kNotRun},
      {"a refusal after a claim", {claim}, refuse, kNow, V::kExisting, S::kInProgress},
      {"done", {claim}, done, kNow, V::kRecorded, S::kDone},
      {"done twice", {claim, done}, done, kNow, V::kExisting, S::kDone},
      {"not_run after done", {claim, done}, not_run, kNow, V::kExisting, S::kDone},
      {"done after not_run", {claim, not_run}, done, kNow, V::kExisting, S::kNotRun},
      {"done by another attempt", {claim}, DoneOf(key, "b"), kNow, V::kNotClaimer, S::kInProgress},
      {"done without a claim", {}, done, kNow, V::kNotClaimer, S::kAbsent},
      {"unknown before resolve_at", {claim}, unknown, late - 1, V::kTooEarly, S::kInProgress},
      {"unknown from resolve_at on", {claim}, unknown, late, V::kRecorded, S::kUnknown},
      {"unknown after done", {claim, done}, unknown, late, V::kExisting, S::kDone},
      {"the claimer claims again after unknown",
       {claim, unknown},
       claim,
       late,
       V::kExisting,
       S::kUnknown},
      {"another attempt after unknown",
       {claim, unknown},
       ClaimOf(key, "b"),
       late,
       V::kExisting,
       S::kUnknown},
      {"found by lookup",
       {claim, unknown},
       DoneOf(key, kAttempt, true),
       late,
       V::kRecorded,
       S::kDone},
      {"not found by lookup",
       {claim, unknown},
       NotRunOf(key, kAttempt, true),
       late,
       V::kNotClaimer,
       S::kUnknown},
      {"the claimer reports that it did not send",
       {claim, unknown},
       not_run,
       late,
       V::kRecorded,
       S::kNotRun},
      {"a refusal of a new key", {}, refuse, kNow, V::kRecorded, S::kNotRun},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    ControlState state;
    for (const Command& command : row.before) state.Apply(command, row.at);
    const BookingReply reply = Booking(state.Apply(row.command, row.at));
    CHECK(NameOf(reply.verdict) == NameOf(row.verdict));
    CHECK(NameOf(reply.state) == NameOf(row.state));
    CHECK(NameOf(state.ReadBooking(key).state) == NameOf(row.state));
  }
}

// Guards against a second booking of a key that has been removed from the log.
TEST_CASE("a key older than the retention or in the future is never granted") {
  ControlState state;
  const BookingKey key = Key(kNow);
  REQUIRE(Booking(state.Apply(ClaimOf(key, kAttempt), kNow)).verdict == BookingVerdict::kGranted);
  state.Apply(DoneOf(key, kAttempt), kNow);

  SUBCASE("it expires after the default of 48 hours") {
    const UnixMs last = kNow + 48 * kHourMs;
    CHECK(Booking(state.Apply(ClaimOf(key, "b"), last)).state == BookingState::kDone);
    const BookingReply reply = Booking(state.Apply(ClaimOf(key, "b"), last + 1));
    CHECK(reply.verdict == BookingVerdict::kKeyExpired);
    CHECK(reply.state == BookingState::kUnknown);
    CHECK(state.GetBookings().Size() == 0);
    CHECK(Booking(state.Apply(RefuseBooking{key, "h"}, last)).verdict ==
          BookingVerdict::kKeyExpired);
    CHECK(state.ReadBooking(key).verdict == BookingVerdict::kKeyExpired);
  }
  SUBCASE("it stays expired when the clock of a leader steps back") {
    const UnixMs later = kNow + 49 * kHourMs;
    state.Apply(RefuseBooking{Key(later), "h"}, later);
    CHECK(Booking(state.Apply(ClaimOf(key, "b"), kNow)).verdict == BookingVerdict::kKeyExpired);
    CHECK(state.LogTime() == later);
  }
  SUBCASE("it stays expired when the retention is shortened and then extended again") {
    const UnixMs later = kNow + 2 * kHourMs;
    REQUIRE(Change(state.Apply(ApplyOf("c1", 0, DocumentText(kHourMs)), later)).verdict ==
            ConfigurationVerdict::kApplied);
    CHECK(Booking(state.Apply(ClaimOf(key, "b"), later)).verdict == BookingVerdict::kKeyExpired);
    REQUIRE(Change(state.Apply(ApplyOf("c2", 1, DocumentText(48 * kHourMs)), later)).revision == 2);
    CHECK(Booking(state.Apply(ClaimOf(key, "b"), later)).verdict == BookingVerdict::kKeyExpired);
  }
  SUBCASE("a key too far in the future is rejected") {
    constexpr UnixMs kMaxFutureMs = 300'000;
    CHECK(Booking(state.Apply(ClaimOf(Key(kNow + kMaxFutureMs + 1), "b"), kNow)).verdict ==
          BookingVerdict::kKeyInFuture);
    CHECK(Booking(state.Apply(ClaimOf(Key(kNow + kMaxFutureMs), "b"), kNow)).verdict ==
          BookingVerdict::kGranted);
  }
}

// Guards against a configuration change that is lost or goes back: when a change is sent again
// after its reply was lost, and when two operators send changes with equal revision numbers.
TEST_CASE("a configuration change is applied by compare-and-set on the revision") {
  ControlState state;
  const std::string base = DocumentText(kHourMs);
  const std::string other = DocumentText(2 * kHourMs);
  REQUIRE(Change(state.Apply(ApplyOf("c1", 0, base), kNow)).revision == 1);

  SUBCASE("a change that is sent again gets the first reply") {
    state.Apply(ApplyOf("c2", 1, other), kNow);
    const ConfigurationReply reply = Change(state.Apply(ApplyOf("c1", 0, base), kNow));
    CHECK(reply.verdict == ConfigurationVerdict::kDuplicate);
    CHECK(reply.revision == 1);
    CHECK(state.GetConfiguration().Revision() == 2);
  }
  SUBCASE("the second of two changes with equal revisions is rejected") {
    CHECK(Change(state.Apply(ApplyOf("x", 1, base), kNow)).verdict ==
          ConfigurationVerdict::kApplied);
    const ConfigurationReply reply = Change(state.Apply(ApplyOf("y", 1, other), kNow));
    CHECK(reply.verdict == ConfigurationVerdict::kRevisionConflict);
    CHECK(reply.revision == 2);
    CHECK(state.GetConfiguration().Document().base == base);
  }
  SUBCASE("a change id cannot be reused for another document") {
    CHECK(Change(state.Apply(ApplyOf("c1", 1, other), kNow)).verdict ==
          ConfigurationVerdict::kInvalid);
  }
  SUBCASE("an invalid document is rejected with all of its issues") {
    const ConfigurationReply reply =
        Change(state.Apply(ApplyOf("c2", 1, "[limit]\n[bookings]\nretention_ms = 1\n"), kNow));
    CHECK(reply.verdict == ConfigurationVerdict::kInvalid);
    CHECK(reply.detail.find("base:1: limit") != std::string::npos);
    CHECK(reply.detail.find("base:3: bookings.retention_ms") != std::string::npos);
    CHECK(state.GetConfiguration().Revision() == 1);
  }
  // Guards against replicas that run different program versions and decide differently on one log
  // entry.
  SUBCASE("a replica uses the verdict and the retention of the leader") {
    ApplyConfiguration change = std::get<ApplyConfiguration>(ApplyOf("c2", 1, other));
    CHECK(change.retention_ms == 2 * kHourMs);
    SUBCASE("for a document that its own version would reject") {
      change.document.base = "[a-newer-table]\n";
      CHECK(Change(state.Apply(change, kNow)).verdict == ConfigurationVerdict::kApplied);
      CHECK(state.GetConfiguration().RetentionMs() == 2 * kHourMs);
    }
    SUBCASE("for a document that its own version would accept") {
      change.problem = "base:1: refused by the leader";
      CHECK(Change(state.Apply(change, kNow)).verdict == ConfigurationVerdict::kInvalid);
      CHECK(state.GetConfiguration().RetentionMs() == kHourMs);
    }
  }
  SUBCASE("the history and the change ids are bounded") {
    for (std::uint64_t revision = 1; revision < 1100; ++revision) {
      state.Apply(ApplyOf("n" + std::to_string(revision), revision, base), kNow);
    }
    CHECK(state.GetConfiguration().Revision() == 1100);
    CHECK(state.GetConfiguration().History().size() == 1000);
    CHECK(state.GetConfiguration().History().back().author == "operator");
    CHECK(state.GetConfiguration().History().back().time == kNow);
    CHECK(Change(state.Apply(ApplyOf("c1", 0, base), kNow)).revision == 1);
  }
}

// Guards against a replica whose state is half replaced by a damaged snapshot.
TEST_CASE("restoring a malformed snapshot leaves the state unchanged") {
  ControlState state;
  state.Apply(ClaimOf(Key(kNow), kAttempt), kNow);
  const std::string before = state.Snapshot();
  state.Apply(DoneOf(Key(kNow), kAttempt), kNow);
  const std::string good = state.Snapshot();
  REQUIRE(good != before);
  for (const std::string bad : {"", "x", "\xa0", "99999999999999999999\n", "5\n", "-1\n"}) {
    CHECK_FALSE(state.Restore(bad).Ok());
  }
  // Guards against accepting a truncated snapshot or one with trailing bytes.
  for (std::size_t size = 0; size < good.size(); ++size) {
    CAPTURE(size);
    CHECK_FALSE(state.Restore(good.substr(0, size)).Ok());
  }
  CHECK_FALSE(state.Restore(good + "x").Ok());
  CHECK(state.Snapshot() == good);
  REQUIRE(state.Restore(before).Ok());
  CHECK(state.Snapshot() == before);
}

// The outcomes that callers have seen for one key. Later replies must not contradict them.
struct ObservedOutcomes {
  std::set<std::string> granted;
  bool not_run = false;
  std::string answer;
};

// One randomized run: several claimers send commands for a few keys, in any order, delayed and
// repeated, while log time advances, also past the retention, and one replica is sometimes restored
// from a snapshot.
class RandomizedRun {
 public:
  explicit RandomizedRun(std::uint64_t seed) : m_random(seed) {}

  void Run(int steps) {
    for (int step = 0; step < steps; ++step) {
      if (Chance(3)) m_time += RandomBelow(4000);
      if (Chance(60)) m_time += 40 * kHourMs;
      const Command command = Next();
      const UnixMs time = Chance(10) ? m_time - RandomBelow(10'000) : m_time;
      const CommandReply reply = m_leader.Apply(command, time);
      REQUIRE(EncodeCommandReply(m_follower.Apply(command, time)) == EncodeCommandReply(reply));
      if (Chance(40)) {
        ControlState restored;
        REQUIRE(restored.Restore(m_follower.Snapshot()).Ok());
        m_follower = restored;
      }
      Check(command, reply);
    }
    CHECK(m_leader.Snapshot() == m_follower.Snapshot());
  }

 private:
  bool Chance(std::uint64_t one_in) { return RandomBelow(one_in) == 0; }
  UnixMs RandomBelow(std::uint64_t bound) { return static_cast<UnixMs>(m_random() % bound); }

  // Returns a new command, or one that was sent before and arrives again.
  Command Next() {
    if (!m_sent.empty() && Chance(3)) return m_sent[m_random() % m_sent.size()];
    if (m_keys.empty() || Chance(25)) {
      m_keys.push_back(Key(m_time, static_cast<int>(m_keys.size())));
    }
    const BookingKey key =
        m_keys[m_keys.size() - 1 - m_random() % std::min<std::size_t>(m_keys.size(), 3)];
    const std::string attempt = "attempt-" + std::to_string(RandomBelow(3));
    const std::string hash = Chance(8) ? "other" : "h";
    switch (RandomBelow(7)) {
      case 0:
      case 1:
        m_sent.push_back(ClaimBooking{key, attempt, "entry", hash, m_time + RandomBelow(6000)});
        break;
      case 2:
        m_sent.push_back(FinishBooking{key,
                                       attempt,
                                       BookingState::kDone,
                                       {200, "t", std::to_string(m_random()), true},
                                       Chance(2)});
        break;
      case 3:
        m_sent.push_back(NotRunOf(key, attempt, Chance(2)));
        break;
      case 4:
        m_sent.push_back(MarkBookingUnknown{key, attempt});
        break;
      case 5:
        m_sent.push_back(RefuseBooking{key, hash});
        break;
      default:
        m_sent.push_back(ApplyOf("change-" + std::to_string(RandomBelow(200)),
                                 m_revision - RandomBelow(2),
                                 DocumentText((1 + RandomBelow(48)) * kHourMs)));
    }
    return m_sent.back();
  }

  void Check(const Command& command, const CommandReply& reply) {
    if (const auto* change = std::get_if<ConfigurationReply>(&reply)) {
      CheckChange(std::get<ApplyConfiguration>(command), *change);
      return;
    }
    const BookingReply& booking = std::get<BookingReply>(reply);
    const BookingKey key = std::visit(
        [](const auto& c) {
          using C = std::decay_t<decltype(c)>;
          if constexpr (std::is_same_v<C, ApplyConfiguration> ||
                        std::is_same_v<C, ReplaceRouteTable> ||
                        std::is_same_v<C, RecordPartVerdicts>) {
            return BookingKey{};
          } else {
            return c.key;
          }
        },
        command);
    ObservedOutcomes& observed = m_observed[key];
    if (booking.verdict == BookingVerdict::kGranted) {
      observed.granted.insert(std::get<ClaimBooking>(command).attempt);
      CHECK(observed.granted.size() == 1);
      CHECK_FALSE(observed.not_run);
      CHECK(observed.answer.empty());
    }
    if (booking.state == BookingState::kNotRun) observed.not_run = true;
    if (observed.not_run && booking.verdict != BookingVerdict::kKeyExpired) {
      CHECK(NameOf(booking.state) == NameOf(BookingState::kNotRun));
    }
    if (booking.state == BookingState::kDone) {
      if (observed.answer.empty()) observed.answer = booking.answer.body;
      CHECK(booking.answer.body == observed.answer);
    } else if (!observed.answer.empty()) {
      CHECK(NameOf(booking.verdict) == NameOf(BookingVerdict::kKeyExpired));
    }
  }

  void CheckChange(const ApplyConfiguration& command, const ConfigurationReply& reply) {
    const std::uint64_t now = m_leader.GetConfiguration().Revision();
    CHECK(now >= m_revision);
    if (reply.verdict == ConfigurationVerdict::kApplied) {
      CHECK(reply.revision == command.expected_revision + 1);
      CHECK(m_applied.emplace(reply.revision, command.change_id).second);
      m_change_revision[command.change_id] = reply.revision;
    }
    if (reply.verdict == ConfigurationVerdict::kDuplicate) {
      CHECK(m_change_revision.at(command.change_id) == reply.revision);
    }
    m_revision = now;
  }

  std::mt19937_64 m_random;
  ControlState m_leader;
  ControlState m_follower;
  UnixMs m_time = kNow;
  std::uint64_t m_revision = 0;
  std::vector<BookingKey> m_keys;
  std::vector<Command> m_sent;
  std::map<BookingKey, ObservedOutcomes> m_observed;
  std::map<std::uint64_t, std::string> m_applied;
  std::map<std::string, std::uint64_t> m_change_revision;
};

// Guards against an order or a repetition of commands that breaks an invariant: at most one attempt
// is granted for a key, `not_run` and `done` are final, and a revision is assigned once and never
// decreases.
TEST_CASE("booking and revision invariants hold for any order of commands") {
  for (std::uint64_t seed = 1; seed <= 150; ++seed) {
    CAPTURE(seed);
    RandomizedRun(seed).Run(400);
  }
}

// Guards against an older route table that becomes active again, and against two tables with one
// version.
TEST_CASE("only a route table with a higher version replaces the current one") {
  ControlState state;
  const auto put = [&state](std::uint64_t version, const std::string& text) {
    return std::get<RouteTableReply>(state.Apply(ReplaceRouteTable{version, text}, 1));
  };
  CHECK(put(7, "seven").verdict == RouteTableVerdict::kApplied);

  SUBCASE("the same table again is reported as held") {
    CHECK(put(7, "seven").verdict == RouteTableVerdict::kHeld);
  }
  SUBCASE("another table with the same version is rejected") {
    CHECK(put(7, "other").verdict == RouteTableVerdict::kConflict);
    CHECK(state.GetRouteTable().CompressedText() == "seven");
  }
  SUBCASE("a table with a lower version is rejected") {
    const RouteTableReply reply = put(6, "six");
    CHECK(reply.verdict == RouteTableVerdict::kOutdated);
    CHECK(reply.version == 7);
    CHECK(state.GetRouteTable().CompressedText() == "seven");
  }
  SUBCASE("snapshots and the codec preserve the table") {
    ControlState restored;
    REQUIRE(restored.Restore(state.Snapshot()).Ok());
    CHECK(restored.GetRouteTable().Version() == 7);
    CHECK(restored.GetRouteTable().CompressedText() == "seven");
    const auto command = DecodeCommand(EncodeCommand(ReplaceRouteTable{9, "nine"}));
    REQUIRE(command.Ok());
    CHECK(std::get<ReplaceRouteTable>(command.value()).compressed_text == "nine");
    const auto reply =
        DecodeCommandReply(EncodeCommandReply(RouteTableReply{RouteTableVerdict::kHeld, 9}));
    REQUIRE(reply.Ok());
    CHECK(std::get<RouteTableReply>(reply.value()).version == 9);
  }
}

}  // namespace
}  // namespace corneltray
