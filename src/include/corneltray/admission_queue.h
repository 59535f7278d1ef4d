#ifndef CORNELTRAY_ADMISSION_QUEUE_H_
#define CORNELTRAY_ADMISSION_QUEUE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "corneltray/admission_bucket.h"
#include "corneltray/admission_pace.h"
#include "corneltray/admission_request.h"
#include "corneltray/customer_shares.h"
#include "corneltray/enum_names.h"
#include "corneltray/return_schedule.h"
#include "corneltray/service_room.h"
#include "corneltray/time.h"
#include "corneltray/waiting_requests.h"

namespace corneltray {

// Limits of waiting requests at one host. They bound memory; under usual load the time that a
// request may wait is the tighter limit.
constexpr std::size_t kMaxWaitingRequests = 256;
constexpr std::size_t kMaxWaitingOfCustomer = 64;

enum class AdmissionRefusal {
  kNoRoom,         // could not be sent soon; its caller is told when to come back
  kTooLate,        // of a returned request: could not be served before its deadline
  kWaitedTooLong,  // was waiting and can no longer be served before its deadline
  kQueueFull,
  kCustomerQueueFull,
};

template <>
struct EnumNames<AdmissionRefusal> {
  static constexpr EnumName<AdmissionRefusal> kTable[] = {
      {AdmissionRefusal::kNoRoom, "no_room"},
      {AdmissionRefusal::kTooLate, "too_late"},
      {AdmissionRefusal::kWaitedTooLong, "waited_too_long"},
      {AdmissionRefusal::kQueueFull, "queue_full"},
      {AdmissionRefusal::kCustomerQueueFull, "customer_queue_full"},
  };
};

struct SendNow {};
// The request is kept by the queue until TakeDue returns it or it is removed.
struct Wait {
  Duration expected{};  // estimate
  ObjectiveState objective = ObjectiveState::kCanBeMet;
};
struct Reject {
  AdmissionRefusal reason = AdmissionRefusal::kNoRoom;
  std::chrono::milliseconds retry_after{0};
};
using AdmissionDecision = std::variant<SendNow, Wait, Reject>;

struct RejectedRequest {
  std::uint64_t id = 0;
  Reject reject;
};

// Requests that end their wait.
struct DueRequests {
  std::vector<std::uint64_t> to_send;
  std::vector<RejectedRequest> to_reject;
};

struct AdmissionSnapshot {
  bool is_room_known = false;
  double load = 0.0;                             // as last reported
  Duration load_age{};                           // since the reported load last changed
  double pace_tokens_per_s = 0.0;                // of this host
  std::map<std::uint32_t, std::size_t> waiting;  // by rank
  std::size_t waiting_late = 0;                  // of these, whose objective is lost
};

// Decides at one host which requests of a service with engines are sent, which wait and which are
// refused. While the reported load is low, all are sent. Above it, a request takes tokens from a
// bucket that fills at the pace of this host. One that finds the bucket too low waits while it can
// meet its objective. One that has lost its objective waits behind those that have not, but a part
// of the pace is reserved for it; there a returned request may wait longer than a new one, because
// its caller has no more tries. A request that cannot be served in time is refused at once. Not
// thread safe.
class AdmissionQueue {
 public:
  // `seed` must differ between hosts.
  explicit AdmissionQueue(std::uint64_t seed) : m_returns(seed) {}

  // Applies the room that the engines report. Called at each tick and before each Offer.
  void SetRoom(TimePoint now, const ServiceRoom& room);
  AdmissionDecision Offer(TimePoint now, const AdmissionRequest& request);
  // Returns the waiting requests whose wait is over. Called at each tick and when a request ends.
  DueRequests TakeDue(TimePoint now);
  // Removes a waiting request whose caller has left.
  void Remove(std::uint64_t id);
  // Takes tokens for an attempt that is not queued, such as one that resumes an answer.
  void Charge(double tokens) { m_bucket.Charge(tokens); }

  AdmissionSnapshot Snapshot(TimePoint now) const;
  std::size_t WaitingCount() const { return m_waiting.Count() + m_late.Count(); }

 private:
  bool IsHeldBack() const;
  // Whether the load is so low that no request of the rank is held back.
  bool IsFree(TimePoint now, std::uint32_t rank) const;
  bool IsOverShare(const AdmissionRequest& request) const;
  // Whether a request that can meet its objective may be sent now.
  bool MayBeSent(TimePoint now, const AdmissionRequest& request) const;
  bool MayLateBeSent() const;
  TimePoint LatestStart(TimePoint now, const AdmissionRequest& request) const;
  TimePoint LatestLateStart(const AdmissionRequest& request) const;
  Duration ExpectedWait(const AdmissionRequest& request) const;
  Duration ExpectedLateWait() const;

  void RecordOffered(TimePoint now, const AdmissionRequest& request);
  void Spend(TimePoint now, const AdmissionRequest& request, ObjectiveState objective);
  AdmissionDecision OfferLate(TimePoint now, const AdmissionRequest& request);
  std::optional<AdmissionRefusal> FullQueue(const AdmissionRequest& request) const;
  Reject MakeReject(TimePoint now, const AdmissionRequest& request, AdmissionRefusal reason);

  const AdmissionRequest* NextByCredit() const;
  const AdmissionRequest* NextByUrgency(TimePoint now) const;
  const AdmissionRequest* NextLate() const;
  // Sends one waiting request if the bucket allows one.
  bool SendNext(TimePoint now, DueRequests* due);
  void ExpireWaiting(TimePoint now, DueRequests* due);

  ServiceRoom m_room;
  AdmissionPace m_pace;
  AdmissionBucket m_bucket;
  CustomerShares m_shares;
  ReturnSchedule m_returns;
  WaitingRequests m_waiting;  // that can meet their objective
  WaitingRequests m_late;     // that have lost it
  TimePoint m_load_changed_at{};
  TimePoint m_binding_until{};  // the pace held a request back shortly before
};

}  // namespace corneltray

#endif  // CORNELTRAY_ADMISSION_QUEUE_H_
