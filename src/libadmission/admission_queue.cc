#include "corneltray/admission_queue.h"

#include <algorithm>
#include <utility>

namespace corneltray {
namespace {

// Below this load no request is refused.
constexpr double kNoRefusalLoad = 0.5;
// While the pace is binding, requests are paced down to this load. Otherwise all hosts would send
// whatever arrives as soon as the load is a little lower, and overfill the engines before the next
// report.
constexpr double kUnpacedLoad = 0.5;
// Requests whose objective is lost use what others leave only below this load. Engines that they
// fill further would delay the requests that can meet their objective.
constexpr double kLateLoad = 0.6;
// A customer may exceed its share by this many usual requests before it is held back more than
// others. Shares are counted over few requests at each host.
constexpr double kShareToleranceRequests = 2.0;
// A request may wait for at most this part of its objective; the rest is for its first event, also
// if that takes longer than usual.
constexpr int kObjectivePartsOfWait = 2;
// Callers honour a Retry-After of up to a third of the time they have left. A new request waits
// without its objective for at most as long, so that it is served sooner than if it came back.
constexpr int kTimePartsOfReturn = 3;
// After the pace held a request back, it counts as binding for this time.
constexpr std::chrono::seconds kBindingTime{2};
// Requests whose objective is lost are sent in the order of arrival, but more urgent ranks may
// overtake by this time. Strict order of ranks would let the least urgent ones pass their deadline.
constexpr std::chrono::seconds kLateHeadStart{2};
constexpr double kMinTokensPerSecond = 1e-3;
constexpr Duration kLongestWait = std::chrono::hours(1);

Duration Seconds(double seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Duration TimeFor(double tokens, double tokens_per_s) {
  const double seconds = std::max(0.0, tokens) / std::max(kMinTokensPerSecond, tokens_per_s);
  if (seconds > std::chrono::duration<double>(kLongestWait).count()) return kLongestWait;
  return Seconds(seconds);
}

}  // namespace

void AdmissionQueue::SetRoom(TimePoint now, const ServiceRoom& room) {
  if (room.load != m_room.load) m_load_changed_at = now;
  m_room = room;
  if (!IsHeldBack()) return;
  m_pace.SetRoom(now, room, now < m_binding_until);
  BucketInflow inflow;
  inflow.tokens_per_s = m_pace.TokensPerSecond();
  inflow.steady_tokens_per_s = m_pace.SteadyTokensPerSecond();
  inflow.usual_tokens = room.usual_tokens;
  inflow.is_late_waiting = !m_late.IsEmpty();
  m_bucket.Fill(now, inflow);
}

// Without a known room, or without any engine, requests are sent and answered by the router.
bool AdmissionQueue::IsHeldBack() const { return m_room.is_known && m_room.capacity_tokens > 0.0; }

bool AdmissionQueue::IsFree(TimePoint now, std::uint32_t rank) const {
  if (!IsHeldBack() || m_room.load < kUnpacedLoad) return true;
  if (now < m_binding_until) return false;
  // The less urgent a rank, the lower the load from which it is held back.
  const double ranks = static_cast<double>(std::max<std::size_t>(1, m_bucket.RankCount()));
  const double more_urgent = static_cast<double>(m_bucket.RankIndex(rank));
  const double part = (ranks - 1.0 - more_urgent) / ranks;
  // A host that has sent little expects a low load, which the report contradicts.
  const double load = std::max(m_room.load, m_pace.ExpectedLoad());
  return load < kHoldLoad + (kTargetLoad - kHoldLoad) * part;
}

bool AdmissionQueue::IsOverShare(const AdmissionRequest& request) const {
  return m_shares.IsOverShare(request.customer, kShareToleranceRequests * m_room.usual_tokens);
}

bool AdmissionQueue::MayBeSent(TimePoint now, const AdmissionRequest& request) const {
  return IsFree(now, request.rank) || m_bucket.Allows(request.rank, IsOverShare(request));
}

bool AdmissionQueue::MayLateBeSent() const {
  if (!IsHeldBack() || m_bucket.AllowsLateByCredit()) return true;
  return m_bucket.AllowsLate() && m_pace.ExpectedLoad() < kLateLoad;
}

TimePoint AdmissionQueue::LatestStart(TimePoint now, const AdmissionRequest& request) const {
  const TimePoint part_of_objective = now + (request.objective_at - now) / kObjectivePartsOfWait;
  return std::min(part_of_objective, request.objective_at - Seconds(m_room.first_event_s));
}

TimePoint AdmissionQueue::LatestLateStart(const AdmissionRequest& request) const {
  return request.deadline - Seconds(m_room.usual_stay_s);
}

Duration AdmissionQueue::ExpectedWait(const AdmissionRequest& request) const {
  const double ahead = m_waiting.TokensUpTo(request.rank) +
                       m_bucket.MissingTokens(request.rank, IsOverShare(request));
  const double part = m_late.IsEmpty() ? 1.0 : 1.0 - kLatePart;
  return TimeFor(ahead, part * m_pace.SteadyTokensPerSecond());
}

Duration AdmissionQueue::ExpectedLateWait() const {
  return TimeFor(m_late.Tokens() + m_bucket.MissingLateTokens(), m_bucket.LateTokensPerSecond());
}

void AdmissionQueue::RecordOffered(TimePoint now, const AdmissionRequest& request) {
  if (now < request.objective_at) m_bucket.RecordOffered(request.rank, request.tokens);
  // Repeats do not raise what a customer is entitled to.
  if (!request.is_return) m_shares.RecordOffered(now, request.customer, request.tokens);
}

void AdmissionQueue::Spend(TimePoint now, const AdmissionRequest& request,
                           ObjectiveState objective) {
  m_shares.RecordSent(now, request.customer, request.tokens);
  m_pace.RecordSent(request.tokens);
  m_bucket.Spend(request, objective, IsFree(now, request.rank));
}

AdmissionDecision AdmissionQueue::Offer(TimePoint now, const AdmissionRequest& request) {
  RecordOffered(now, request);
  if (now >= request.objective_at) return OfferLate(now, request);
  const bool is_first = m_waiting.TokensUpTo(request.rank) <= 0.0;
  if (is_first && MayBeSent(now, request)) {
    Spend(now, request, ObjectiveState::kCanBeMet);
    return SendNow{};
  }
  m_binding_until = now + kBindingTime;
  const Duration expected = ExpectedWait(request);
  const TimePoint latest = LatestStart(now, request);
  if (now + expected > latest || FullQueue(request)) return OfferLate(now, request);
  m_waiting.Add({request, now, latest});
  return Wait{expected, ObjectiveState::kCanBeMet};
}

AdmissionDecision AdmissionQueue::OfferLate(TimePoint now, const AdmissionRequest& request) {
  if (m_late.IsEmpty() && MayLateBeSent()) {
    Spend(now, request, ObjectiveState::kLost);
    return SendNow{};
  }
  m_binding_until = now + kBindingTime;
  if (const auto full = FullQueue(request)) return MakeReject(now, request, *full);
  const Duration expected = ExpectedLateWait();
  const TimePoint latest = LatestLateStart(request);
  const TimePoint acceptable =
      request.is_return ? latest
                        : std::min(latest, now + (request.deadline - now) / kTimePartsOfReturn);
  if (now + expected > acceptable && m_room.load >= kNoRefusalLoad) {
    return MakeReject(now, request,
                      request.is_return ? AdmissionRefusal::kTooLate : AdmissionRefusal::kNoRoom);
  }
  m_late.Add({request, now, latest});
  return Wait{expected, ObjectiveState::kLost};
}

std::optional<AdmissionRefusal> AdmissionQueue::FullQueue(const AdmissionRequest& request) const {
  if (WaitingCount() >= kMaxWaitingRequests) return AdmissionRefusal::kQueueFull;
  const std::size_t of_customer =
      m_waiting.CountOf(request.customer) + m_late.CountOf(request.customer);
  if (of_customer >= kMaxWaitingOfCustomer) return AdmissionRefusal::kCustomerQueueFull;
  return std::nullopt;
}

Reject AdmissionQueue::MakeReject(TimePoint now, const AdmissionRequest& request,
                                  AdmissionRefusal reason) {
  const Duration left = std::max(Duration::zero(), request.deadline - now);
  const Duration latest = left / kTimePartsOfReturn;
  // What runs now releases its tokens by then.
  const Duration earliest = std::min(Seconds(m_room.usual_stay_s), latest / 2);
  const Duration slot = TimeFor(request.tokens, m_bucket.LateTokensPerSecond());
  return {reason, m_returns.Take(now, earliest, latest, slot)};
}

DueRequests AdmissionQueue::TakeDue(TimePoint now) {
  DueRequests due;
  while (SendNext(now, &due)) {
  }
  ExpireWaiting(now, &due);
  if (WaitingCount() > 0) m_binding_until = now + kBindingTime;
  return due;
}

bool AdmissionQueue::SendNext(TimePoint now, DueRequests* due) {
  ObjectiveState objective = ObjectiveState::kCanBeMet;
  const AdmissionRequest* next = NextByCredit();
  if (next == nullptr) next = NextByUrgency(now);
  if (next == nullptr) {
    objective = ObjectiveState::kLost;
    next = NextLate();
  }
  if (next == nullptr) return false;
  WaitingRequests& queue = objective == ObjectiveState::kLost ? m_late : m_waiting;
  const AdmissionRequest request = *queue.Take(next->id);
  Spend(now, request, objective);
  due->to_send.push_back(request.id);
  return true;
}

const AdmissionRequest* AdmissionQueue::NextByCredit() const {
  for (const auto& [rank, count] : m_waiting.CountByRank()) {
    if (!m_bucket.AllowsByCredit(rank)) continue;
    const AdmissionRequest* next = m_waiting.Next(rank, m_shares);
    if (!IsOverShare(*next)) return next;
  }
  return nullptr;
}

const AdmissionRequest* AdmissionQueue::NextByUrgency(TimePoint now) const {
  for (const auto& [rank, count] : m_waiting.CountByRank()) {
    const AdmissionRequest* next = m_waiting.Next(rank, m_shares);
    if (MayBeSent(now, *next)) return next;
  }
  return nullptr;
}

const AdmissionRequest* AdmissionQueue::NextLate() const {
  if (!MayLateBeSent()) return nullptr;
  return m_late.Oldest(kLateHeadStart);
}

void AdmissionQueue::ExpireWaiting(TimePoint now, DueRequests* due) {
  for (const AdmissionRequest& request : m_waiting.TakeExpired(now)) {
    const AdmissionDecision decision = OfferLate(now, request);
    if (std::holds_alternative<SendNow>(decision)) due->to_send.push_back(request.id);
    if (const auto* reject = std::get_if<Reject>(&decision)) {
      due->to_reject.push_back({request.id, *reject});
    }
  }
  for (const AdmissionRequest& request : m_late.TakeExpired(now)) {
    due->to_reject.push_back(
        {request.id, MakeReject(now, request, AdmissionRefusal::kWaitedTooLong)});
  }
}

void AdmissionQueue::Remove(std::uint64_t id) {
  if (!m_waiting.Take(id)) m_late.Take(id);
}

AdmissionSnapshot AdmissionQueue::Snapshot(TimePoint now) const {
  AdmissionSnapshot snapshot;
  snapshot.is_room_known = m_room.is_known;
  snapshot.load = m_room.load;
  snapshot.load_age = now - m_load_changed_at;
  snapshot.pace_tokens_per_s = m_pace.TokensPerSecond();
  snapshot.waiting = m_waiting.CountByRank();
  for (const auto& [rank, count] : m_late.CountByRank()) snapshot.waiting[rank] += count;
  snapshot.waiting_late = m_late.Count();
  return snapshot;
}

}  // namespace corneltray
