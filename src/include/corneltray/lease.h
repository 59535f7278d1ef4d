#ifndef CORNELTRAY_LEASE_H_
#define CORNELTRAY_LEASE_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "corneltray/enum_names.h"
#include "corneltray/result.h"
#include "corneltray/time.h"

namespace corneltray {

constexpr std::chrono::milliseconds kLeaseDuration{3000};
constexpr std::chrono::milliseconds kLeaseRenewInterval{1000};
// The holder stops sending orders this long before its lease ends. An order's send timeout lies
// within it.
constexpr std::chrono::milliseconds kLeaseOrderMargin{500};
// Voters add 1% to the duration for clocks of different speed.
constexpr std::chrono::milliseconds kLeaseVoterDuration{3030};
// A round without a majority is given up after this time.
constexpr std::chrono::milliseconds kLeaseRoundTimeout{400};

// Asks a voter to grant or renew the lease. A renewal repeats the fence of the lease in force.
struct LeaseRequest {
  std::string candidate;  // unique for a process, with its incarnation
  std::uint64_t fence = 0;
  std::uint64_t round = 0;
};

struct LeaseReply {
  std::uint64_t round = 0;
  std::uint64_t fence = 0;
  bool granted = false;
  std::uint64_t highest_fence = 0;  // greatest fence this voter has seen
  std::int64_t retry_ms = 0;        // refused: when this voter may grant to somebody else
};

// The candidate no longer counts on grants under this fence.
struct LeaseRelease {
  std::string candidate;
  std::uint64_t fence = 0;
};

// JSON bodies of the peer messages lease_request, lease_reply (the reply to it) and lease_release.
// Decoding returns nothing for a malformed body.
nlohmann::json LeaseRequestToJson(const LeaseRequest& request);
nlohmann::json LeaseReplyToJson(const LeaseReply& reply);
nlohmann::json LeaseReleaseToJson(const LeaseRelease& release);
std::optional<LeaseRequest> LeaseRequestFromJson(const nlohmann::json& value);
std::optional<LeaseReply> LeaseReplyFromJson(const nlohmann::json& value);
std::optional<LeaseRelease> LeaseReleaseFromJson(const nlohmann::json& value);

// What a voter with a data folder keeps on disk.
struct LeaseVoterState {
  std::string holder;  // empty: released
  std::uint64_t fence = 0;
};

// Text form of the state for one small file, and back. Parsing returns nothing for damaged text.
std::string EncodeLeaseVoterState(const LeaseVoterState& state);
std::optional<LeaseVoterState> DecodeLeaseVoterState(const std::string& text);

// Grants the placement lease of an availability zone. Pure; not thread-safe.
class LeaseVoter {
 public:
  // `recovered` is the state on disk. A voter without a disk, or with an empty one, passes nothing
  // and grants nothing for one lease duration, because it may have granted a lease before it
  // started. A recovered grant counts as given at the start, as the time of the grant is not known.
  LeaseVoter(TimePoint now, std::optional<LeaseVoterState> recovered);

  struct Outcome {
    LeaseReply reply;
    // Set: a voter with a disk writes and syncs this before it sends the reply.
    std::optional<LeaseVoterState> persist;
  };
  Outcome OnRequest(TimePoint now, const LeaseRequest& request);

  // Returns the state to persist if the release ended the grant in force.
  std::optional<LeaseVoterState> OnRelease(const LeaseRelease& release);

  std::uint64_t HighestFence() const { return m_highest_fence; }

 private:
  std::string m_holder;
  std::uint64_t m_fence = 0;
  std::uint64_t m_highest_fence = 0;
  TimePoint m_expires_at;
  TimePoint m_abstains_until;
};

// --- Actions of a candidate ----------------------------------------------------------------------

struct SendLeaseRequest {
  std::string voter;
  LeaseRequest request;
};
struct SendLeaseRelease {
  std::string voter;
  LeaseRelease release;
};
// The lease is held; orders carry this fence.
struct LeaseAcquired {
  std::uint64_t fence = 0;
};
// No more orders. Emitted at the latest when LeaseCandidate::Fence becomes empty and Tick runs.
struct LeaseLost {
  std::uint64_t fence = 0;
};
using LeaseAction = std::variant<SendLeaseRequest, SendLeaseRelease, LeaseAcquired, LeaseLost>;

struct LeaseCandidateOptions {
  std::string candidate;            // host name and incarnation, unique for each process start
  std::vector<std::string> voters;  // names of the fixed voters of the availability zone
  std::uint64_t seed = 0;           // of the backoff
};

// Tries to become and stay holder of the placement lease. Pure; not thread-safe.
class LeaseCandidate {
 public:
  LeaseCandidate(LeaseCandidateOptions options, TimePoint now);

  // Runs what is due: a new round, a renewal, a lapse. `unix_now` is the wall clock, used only as a
  // lower bound of a new fence. To be called at NextDeadline.
  void Tick(TimePoint now, UnixMs unix_now);
  // TimePoint::max() after Release.
  TimePoint NextDeadline() const;

  void OnReply(TimePoint now, const std::string& voter, const LeaseReply& reply);

  // Reports a fence seen in gossip or in an engine's announcement or refusal.
  void ObserveFence(std::uint64_t fence);

  // Gives the lease up and stays out until Resume, as at a shutdown. To be called when no order is
  // on its way, because another candidate may take over at once.
  void Release(TimePoint now);
  void Resume(TimePoint now);

  // Returns the fence under which an order may be sent at this moment, or nothing. To be read
  // directly before each order with a fresh `now`.
  std::optional<std::uint64_t> Fence(TimePoint now) const;

  std::vector<LeaseAction> TakeActions();

 private:
  enum class Phase { kWaiting, kRequesting, kHolding };

  void StartRound(TimePoint now, std::uint64_t fence);
  void GiveUpRound(TimePoint now);
  void Lose(TimePoint now);
  std::uint64_t NewFence(UnixMs unix_now) const;
  Duration Backoff();

  LeaseCandidateOptions m_options;
  std::mt19937_64 m_random;
  Phase m_phase = Phase::kWaiting;
  bool m_released = false;
  std::uint64_t m_fence = 0;
  std::uint64_t m_highest_fence = 0;
  std::uint64_t m_round = 0;
  TimePoint m_round_started_at;
  TimePoint m_round_ends_at;
  bool m_round_open = false;
  std::set<std::string> m_granted_by;
  TimePoint m_orders_until;  // end of the lease less the margin
  TimePoint m_next_round_at;
  std::vector<LeaseAction> m_actions;
};

}  // namespace corneltray

#endif  // CORNELTRAY_LEASE_H_
