#include "corneltray/booking_client.h"

#include <doctest/doctest.h>

#include <map>
#include <random>

#include "corneltray/control_state.h"

namespace corneltray {
namespace {

constexpr UnixMs kNow = 1'800'000'000'000;
constexpr UnixMs kDeadline = kNow + 10'000;
constexpr std::int64_t kResolveAfter = 2000;

// A UUID version 7 whose embedded time is kNow.
BookingKey TestKey() { return {"committee", "ledger", "01a3185c-5000-7000-8000-000000000001"}; }

BookingRequest Request(const std::string& attempt, bool has_lookup = true) {
  return {TestKey(), "hash", "entry-1", attempt, has_lookup, kDeadline, kResolveAfter, 100};
}

BookingReply Reply(BookingVerdict verdict, BookingState state, const std::string& attempt = "a1",
                   const std::string& body = "") {
  return {verdict,
          state,
          attempt,
          "entry-1",
          kDeadline + kResolveAfter,
          kNow,
          {201, "application/json", body, true}};
}

const BookingOutcome* OutcomeOf(const BookingAction& action) {
  const auto* answer = std::get_if<AnswerBooking>(&action);
  return answer != nullptr ? &answer->outcome : nullptr;
}

template <class T>
const T* CommandOf(const BookingAction& action) {
  const auto* propose = std::get_if<ProposeBooking>(&action);
  return propose != nullptr ? std::get_if<T>(&propose->command) : nullptr;
}

TEST_CASE("a booking is claimed, sent and recorded") {
  BookingFlow flow(Request("a1"));
  BookingAction action = flow.Start(kNow);
  REQUIRE(CommandOf<ClaimBooking>(action) != nullptr);
  CHECK(CommandOf<ClaimBooking>(action)->resolve_at == kDeadline + kResolveAfter);
  action = flow.HandleReply(Reply(BookingVerdict::kGranted, BookingState::kInProgress), kNow);
  REQUIRE(std::holds_alternative<SendBooking>(action));
  CHECK(std::get<SendBooking>(action).send_before == kDeadline);

  SUBCASE("with the answer of the service") {
    action = flow.HandleSend(AnswerComplete{{201, "application/json", "{}", true}}, kNow);
    const auto* finish = CommandOf<FinishBooking>(action);
    REQUIRE(finish != nullptr);
    CHECK(finish->outcome == BookingState::kDone);
    action =
        flow.HandleReply(Reply(BookingVerdict::kRecorded, BookingState::kDone, "a1", "{}"), kNow);
    REQUIRE(OutcomeOf(action) != nullptr);
    CHECK(OutcomeOf(action)->outcome == BookingState::kDone);
    CHECK_FALSE(OutcomeOf(action)->replayed);
    CHECK_FALSE(flow.ContinueAfterAnswer(kNow, kNow + 60'000).has_value());
  }
  SUBCASE("with a large answer, which only the first caller gets") {
    const std::string large(101, 'x');
    action = flow.HandleSend(AnswerComplete{{201, "text/plain", large, true}}, kNow);
    REQUIRE(CommandOf<FinishBooking>(action) != nullptr);
    CHECK_FALSE(CommandOf<FinishBooking>(action)->answer.body_stored);
    BookingReply reply = Reply(BookingVerdict::kRecorded, BookingState::kDone);
    reply.answer.body_stored = false;
    CHECK(OutcomeOf(flow.HandleReply(reply, kNow))->answer.body == large);

    BookingFlow repeat(Request("a2"));
    repeat.Start(kNow);
    reply.verdict = BookingVerdict::kExisting;
    const BookingAction again = repeat.HandleReply(reply, kNow);
    CHECK(OutcomeOf(again)->code == BookingCode::kAnswerNotStored);
    CHECK(OutcomeOf(again)->outcome == BookingState::kDone);
  }
  // Guards against a second send after a byte may have been sent.
  SUBCASE("and after a broken reply it is looked up, never sent again") {
    action = flow.HandleSend(AnswerBroken{}, kNow);
    REQUIRE(std::holds_alternative<LookUpBooking>(action));
    action = flow.HandleLookup(LookupNotFound{}, kNow);
    REQUIRE(std::holds_alternative<LookUpBooking>(action));
    CHECK(std::get<LookUpBooking>(action).not_before > kNow);

    SUBCASE("until it is found") {
      action = flow.HandleLookup(LookupFound{{200, "", "{}", true}}, kNow);
      REQUIRE(CommandOf<FinishBooking>(action) != nullptr);
      CHECK(CommandOf<FinishBooking>(action)->from_lookup);
    }
    SUBCASE("or the deadline passes") {
      action = flow.HandleLookup(LookupNotFound{}, kDeadline);
      CHECK(OutcomeOf(action)->outcome == BookingState::kUnknown);
    }
  }
  SUBCASE("and without a lookup a broken reply stays unknown") {
    BookingFlow other(Request("a1", false));
    other.Start(kNow);
    other.HandleReply(Reply(BookingVerdict::kGranted, BookingState::kInProgress), kNow);
    action = other.HandleSend(AnswerBroken{}, kNow);
    CHECK(OutcomeOf(action)->outcome == BookingState::kUnknown);
  }
  SUBCASE("and may go to another replica when no byte was sent") {
    CHECK(std::holds_alternative<SendBooking>(flow.HandleSend(NotSent{true}, kNow)));
    action = flow.HandleSend(NotSent{false}, kNow);
    REQUIRE(CommandOf<FinishBooking>(action) != nullptr);
    CHECK(CommandOf<FinishBooking>(action)->outcome == BookingState::kNotRun);

    // Guards against "not run" told before it is committed.
    SUBCASE("but is told as not run only after the commit") {
      action = flow.HandleControlFailure(ControlErrc::kUnavailable, kNow);
      CHECK(CommandOf<FinishBooking>(action) != nullptr);
      action = flow.HandleControlFailure(ControlErrc::kUnavailable, kNow + kBookingStoreWaitMs);
      CHECK(OutcomeOf(action)->outcome == BookingState::kUnknown);
      CHECK(OutcomeOf(action)->code == BookingCode::kStoreUnavailable);

      const auto background = flow.ContinueAfterAnswer(kDeadline, kDeadline + 60'000);
      REQUIRE(background);
      CHECK(CommandOf<FinishBooking>(*background) != nullptr);
    }
  }
}

// Guards against a process that was frozen between the claim and the send.
TEST_CASE("a claim that is granted after the deadline is not sent") {
  BookingFlow flow(Request("a1"));
  flow.Start(kNow);
  const BookingAction action =
      flow.HandleReply(Reply(BookingVerdict::kGranted, BookingState::kInProgress), kDeadline);
  REQUIRE(CommandOf<FinishBooking>(action) != nullptr);
  CHECK(CommandOf<FinishBooking>(action)->outcome == BookingState::kNotRun);
}

// Guards against a send under a claim whose reply was lost, after the caller was told "unknown".
TEST_CASE("a claim that is granted after the answer is recorded as not run") {
  BookingFlow flow(Request("a1"));
  flow.Start(kNow);
  flow.HandleControlFailure(ControlErrc::kUnavailable, kNow);
  BookingAction action =
      flow.HandleControlFailure(ControlErrc::kUnavailable, kNow + kBookingStoreWaitMs);
  REQUIRE(OutcomeOf(action) != nullptr);
  CHECK(OutcomeOf(action)->outcome == BookingState::kUnknown);
  const auto background = flow.ContinueAfterAnswer(kNow, kNow + 60'000);
  REQUIRE(background);
  CHECK(CommandOf<ClaimBooking>(*background) != nullptr);
  action =
      flow.HandleReply(Reply(BookingVerdict::kGranted, BookingState::kInProgress), kNow + 6000);
  REQUIRE(CommandOf<FinishBooking>(action) != nullptr);
  CHECK(CommandOf<FinishBooking>(action)->outcome == BookingState::kNotRun);
}

// Moment x fault -> outcome to the caller.
TEST_CASE("a repeat of a key gets what the log says about it") {
  struct Case {
    BookingVerdict verdict;
    BookingState state;
    UnixMs now;
    const char* next;  // a command or "wait", "look up", else an outcome
    BookingCode code;
  };
  using V = BookingVerdict;
  using S = BookingState;
  const UnixMs resolve_at = kDeadline + kResolveAfter;
  const Case cases[] = {
      {V::kExisting, S::kDone, kNow, "done", BookingCode::kNone},
      {V::kExisting, S::kNotRun, kNow, "not_run", BookingCode::kNotRun},
      {V::kExisting, S::kInProgress, kNow, "wait", BookingCode::kNone},
      {V::kExisting, S::kInProgress, kDeadline, "in_progress", BookingCode::kInProgress},
      {V::kExisting, S::kInProgress, resolve_at, "mark", BookingCode::kNone},
      {V::kExisting, S::kUnknown, kNow, "look up", BookingCode::kNone},
      {V::kKeyReused, S::kDone, kNow, "done", BookingCode::kKeyReused},
      {V::kKeyReused, S::kInProgress, kNow, "in_progress", BookingCode::kKeyReused},
      {V::kKeyReused, S::kUnknown, kNow, "unknown", BookingCode::kKeyReused},
      {V::kKeyExpired, S::kAbsent, kNow, "unknown", BookingCode::kKeyExpired},
      {V::kKeyInFuture, S::kAbsent, kNow, "unknown", BookingCode::kKeyInvalid},
  };
  for (const Case& c : cases) {
    CAPTURE(NameOf(c.verdict));
    CAPTURE(NameOf(c.state));
    BookingFlow flow(Request("a2"));
    flow.Start(c.now);
    const BookingAction action = flow.HandleReply(Reply(c.verdict, c.state, "a1", "{}"), c.now);
    const std::string next = c.next;
    if (next == "wait") {
      CHECK(std::holds_alternative<ReadBookingState>(action));
    } else if (next == "look up") {
      CHECK(std::holds_alternative<LookUpBooking>(action));
    } else if (next == "mark") {
      REQUIRE(CommandOf<MarkBookingUnknown>(action) != nullptr);
      CHECK(CommandOf<MarkBookingUnknown>(action)->attempt == "a1");
    } else {
      REQUIRE(OutcomeOf(action) != nullptr);
      CHECK(NameOf(OutcomeOf(action)->outcome) == next);
      CHECK(OutcomeOf(action)->code == c.code);
    }
  }
}

TEST_CASE("a refused call is recorded before it is told as not run") {
  BookingFlow flow(Request("a1"));
  REQUIRE(CommandOf<RefuseBooking>(flow.StartRefused(kNow)) != nullptr);

  SUBCASE("which holds for a new key") {
    const BookingAction action =
        flow.HandleReply(Reply(BookingVerdict::kRecorded, BookingState::kNotRun), kNow);
    CHECK(OutcomeOf(action)->outcome == BookingState::kNotRun);
    CHECK(OutcomeOf(action)->code == BookingCode::kRefused);
  }
  // Guards against a refused repeat hiding that the booking exists.
  SUBCASE("and a key that is done gets its stored answer") {
    const BookingAction action =
        flow.HandleReply(Reply(BookingVerdict::kExisting, BookingState::kDone, "a0", "{}"), kNow);
    CHECK(OutcomeOf(action)->outcome == BookingState::kDone);
    CHECK(OutcomeOf(action)->answer.body == "{}");
  }
  SUBCASE("and without the log the outcome is unknown") {
    flow.HandleControlFailure(ControlErrc::kNotProposed, kNow);
    const BookingAction action =
        flow.HandleControlFailure(ControlErrc::kNotProposed, kNow + kBookingStoreWaitMs);
    CHECK(OutcomeOf(action)->outcome == BookingState::kUnknown);
  }
}

// A world with one key, a booking table, a service and several flows whose steps interleave at
// random. Commands and requests may be lost, delayed or have their replies lost; flows crash or
// freeze.
class World {
 public:
  explicit World(unsigned seed) : m_random(seed) {}

  void Run() {
    for (int step = 0; step < 200; ++step) {
      m_now += Chance(10) ? static_cast<UnixMs>(m_random() % 8000) : 20;
      if (m_actors.size() < 6 && Chance(15)) AddActor();
      if (Chance(20)) DeliverLate();
      if (m_actors.empty()) continue;
      Step(&m_actors[m_random() % m_actors.size()]);
    }
    while (!m_late_commands.empty() || !m_late_sends.empty()) DeliverLate();
  }

  int Executed() const { return m_executed; }
  int SendsAfterAnswer() const { return m_sends_after_answer; }
  int NotRunTold() const { return m_not_run_told; }
  const std::map<std::string, int>& DoneBodies() const { return m_done_bodies; }

 private:
  struct Actor {
    BookingFlow flow;
    BookingAction pending;
    std::string attempt;
    bool gone = false;
  };

  bool Chance(unsigned percent) { return m_random() % 100 < percent; }

  void AddActor() {
    const std::string attempt = "a" + std::to_string(++m_attempts);
    BookingRequest request = Request(attempt);
    request.deadline = m_now + 500 + static_cast<UnixMs>(m_random() % 5000);
    request.resolve_after_ms = 500;
    BookingFlow flow(request);
    const BookingAction first = Chance(10) ? flow.StartRefused(m_now) : flow.Start(m_now);
    m_actors.push_back({flow, first, attempt, false});
  }

  BookingReply Apply(const Command& command) {
    if (const auto* c = std::get_if<ClaimBooking>(&command)) return m_table.Claim(*c, m_now);
    if (const auto* c = std::get_if<FinishBooking>(&command)) return m_table.Finish(*c, m_now);
    if (const auto* c = std::get_if<MarkBookingUnknown>(&command)) {
      return m_table.MarkUnknown(*c, m_now);
    }
    return m_table.Refuse(std::get<RefuseBooking>(command), m_now);
  }

  void DeliverLate() {
    if (!m_late_commands.empty()) {
      Apply(m_late_commands.back());
      m_late_commands.pop_back();
    }
    if (!m_late_sends.empty()) {
      m_late_sends.pop_back();
      ++m_executed;
    }
  }

  void Step(Actor* actor) {
    if (actor->gone) return;
    if (Chance(3)) {
      actor->gone = true;  // crash before the action
      return;
    }
    if (Chance(5)) m_now += static_cast<UnixMs>(m_random() % 10'000);  // freeze
    std::visit([&](const auto& action) { Do(actor, action); }, BookingAction(actor->pending));
    if (Chance(3)) actor->gone = true;  // crash after the action
  }

  void Do(Actor* actor, const ProposeBooking& action) {
    m_now = std::max(m_now, action.not_before);
    switch (m_random() % 6) {
      case 0:  // lost on the way
        actor->pending = actor->flow.HandleControlFailure(ControlErrc::kNotProposed, m_now);
        return;
      case 1:  // committed, the reply is lost
        Apply(action.command);
        actor->pending = actor->flow.HandleControlFailure(ControlErrc::kUnavailable, m_now);
        return;
      case 2:  // commits later
        m_late_commands.push_back(action.command);
        actor->pending = actor->flow.HandleControlFailure(ControlErrc::kUnavailable, m_now);
        return;
      default:
        actor->pending = actor->flow.HandleReply(Apply(action.command), m_now);
    }
  }

  void Do(Actor* actor, const ReadBookingState& action) {
    m_now = std::max(m_now, action.not_before);
    actor->pending = Chance(20) ? actor->flow.HandleControlFailure(ControlErrc::kUnavailable, m_now)
                                : actor->flow.HandleReply(m_table.Read(TestKey(), m_now), m_now);
  }

  void Do(Actor* actor, const SendBooking& action) {
    if (m_answered[actor->attempt]) ++m_sends_after_answer;
    if (m_now >= action.send_before) {
      actor->pending = actor->flow.HandleSend(NotSent{false}, m_now);
      return;
    }
    if (Chance(20)) m_now += static_cast<UnixMs>(m_random() % 10'000);  // frozen after the check
    const StoredAnswer answer{201, "application/json", "booked by " + actor->attempt, true};
    switch (m_random() % 6) {
      case 0:
        actor->pending = actor->flow.HandleSend(NotSent{Chance(50)}, m_now);
        return;
      case 1:  // executed, the reply is lost
        ++m_executed;
        actor->pending = actor->flow.HandleSend(AnswerBroken{}, m_now);
        return;
      case 2:  // executes later
        m_late_sends.push_back(actor->attempt);
        actor->pending = actor->flow.HandleSend(AnswerBroken{}, m_now);
        return;
      case 3:  // lost
        actor->pending = actor->flow.HandleSend(AnswerBroken{}, m_now);
        return;
      default:
        ++m_executed;
        actor->pending = actor->flow.HandleSend(AnswerComplete{answer}, m_now);
    }
  }

  void Do(Actor* actor, const LookUpBooking& action) {
    m_now = std::max(m_now, action.not_before);
    if (Chance(20)) {
      actor->pending = actor->flow.HandleLookup(LookupFailed{}, m_now);
    } else if (m_executed > 0) {
      const StoredAnswer found{200, "application/json", "found", true};
      actor->pending = actor->flow.HandleLookup(LookupFound{found}, m_now);
    } else {
      actor->pending = actor->flow.HandleLookup(LookupNotFound{}, m_now);
    }
  }

  void Do(Actor* actor, const AnswerBooking& action) {
    if (!m_answered[actor->attempt]) {
      m_answered[actor->attempt] = true;
      if (action.outcome.outcome == BookingState::kNotRun) ++m_not_run_told;
      if (action.outcome.outcome == BookingState::kDone) {
        ++m_done_bodies[action.outcome.answer.body];
      }
    }
    const auto next = actor->flow.ContinueAfterAnswer(m_now, m_now + 20'000);
    if (next) {
      actor->pending = *next;
    } else {
      actor->gone = true;
    }
  }

  std::mt19937_64 m_random;
  UnixMs m_now = kNow;
  BookingTable m_table;
  std::vector<Actor> m_actors;
  std::vector<Command> m_late_commands;
  std::vector<std::string> m_late_sends;
  std::map<std::string, bool> m_answered;
  std::map<std::string, int> m_done_bodies;
  int m_attempts = 0;
  int m_executed = 0;
  int m_not_run_told = 0;
  int m_sends_after_answer = 0;
};

// Guards against a wrong outcome and a second send for one key over random interleavings with lost
// and late messages, crashes and freezes.
TEST_CASE("flows for one key send at most once and agree on the outcome") {
  int runs_with_done = 0;
  int runs_with_not_run = 0;
  for (unsigned seed = 1; seed <= 3000; ++seed) {
    CAPTURE(seed);
    World world(seed);
    world.Run();
    REQUIRE(world.Executed() <= 1);
    REQUIRE(world.SendsAfterAnswer() == 0);
    if (world.NotRunTold() > 0) REQUIRE(world.Executed() == 0);
    REQUIRE(world.DoneBodies().size() <= 1);
    if (!world.DoneBodies().empty()) REQUIRE(world.Executed() == 1);
    runs_with_done += world.DoneBodies().empty() ? 0 : 1;
    runs_with_not_run += world.NotRunTold() > 0 ? 1 : 0;
  }
  // Guards against a model in which nothing ever happens.
  CHECK(runs_with_done > 100);
  CHECK(runs_with_not_run > 100);
}

}  // namespace
}  // namespace corneltray
