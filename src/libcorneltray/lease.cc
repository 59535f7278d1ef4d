#include "corneltray/lease.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

namespace corneltray {
namespace {

using Json = nlohmann::json;

// A candidate that was refused waits this long at least, and up to twice as long, so that two
// candidates do not keep refusing each other.
constexpr std::chrono::milliseconds kBackoff{200};
// A round that cannot succeed is not tried again later than this, so that a released lease is taken
// up soon.
constexpr std::chrono::milliseconds kMaxWait{1000};
constexpr int kFenceSecondsShift = 16;
constexpr std::int64_t kMsPerSecond = 1000;
constexpr char kStateMagic[] = "corneltray-lease-1";

template <class T, class Read>
std::optional<T> Decode(const Json& value, Read read) {
  try {
    T decoded;
    read(value, decoded);
    return decoded;
  } catch (const Json::exception&) {
    return std::nullopt;
  }
}

std::int64_t MsUntil(TimePoint now, TimePoint at) {
  if (at <= now) return 0;
  return std::chrono::ceil<std::chrono::milliseconds>(at - now).count();
}

}  // namespace

Json LeaseRequestToJson(const LeaseRequest& request) {
  return {{"candidate", request.candidate}, {"fence", request.fence}, {"round", request.round}};
}

Json LeaseReplyToJson(const LeaseReply& reply) {
  return {{"round", reply.round},
          {"fence", reply.fence},
          {"granted", reply.granted},
          {"highest_fence", reply.highest_fence},
          {"retry_ms", reply.retry_ms}};
}

Json LeaseReleaseToJson(const LeaseRelease& release) {
  return {{"candidate", release.candidate}, {"fence", release.fence}};
}

std::optional<LeaseRequest> LeaseRequestFromJson(const Json& value) {
  return Decode<LeaseRequest>(value, [](const Json& in, LeaseRequest& out) {
    in.at("candidate").get_to(out.candidate);
    in.at("fence").get_to(out.fence);
    in.at("round").get_to(out.round);
  });
}

std::optional<LeaseReply> LeaseReplyFromJson(const Json& value) {
  return Decode<LeaseReply>(value, [](const Json& in, LeaseReply& out) {
    in.at("round").get_to(out.round);
    in.at("fence").get_to(out.fence);
    in.at("granted").get_to(out.granted);
    in.at("highest_fence").get_to(out.highest_fence);
    in.at("retry_ms").get_to(out.retry_ms);
  });
}

std::optional<LeaseRelease> LeaseReleaseFromJson(const Json& value) {
  return Decode<LeaseRelease>(value, [](const Json& in, LeaseRelease& out) {
    in.at("candidate").get_to(out.candidate);
    in.at("fence").get_to(out.fence);
  });
}

std::string EncodeLeaseVoterState(const LeaseVoterState& state) {
  std::ostringstream text;
  text << kStateMagic << '\n' << state.fence << '\n' << state.holder << "\nend\n";
  return text.str();
}

std::optional<LeaseVoterState> DecodeLeaseVoterState(const std::string& text) {
  std::istringstream in(text);
  std::string magic;
  std::string fence;
  std::string end;
  LeaseVoterState state;
  if (!std::getline(in, magic) || magic != kStateMagic) return std::nullopt;
  if (!std::getline(in, fence) || !std::getline(in, state.holder)) return std::nullopt;
  if (!std::getline(in, end) || end != "end") return std::nullopt;
  if (fence.empty() || fence.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  state.fence = std::strtoull(fence.c_str(), nullptr, 10);
  return state;
}

// --- LeaseVoter ----------------------------------------------------------------------------------

LeaseVoter::LeaseVoter(TimePoint now, std::optional<LeaseVoterState> recovered)
    : m_expires_at(now), m_abstains_until(now) {
  if (!recovered) {
    m_abstains_until = now + kLeaseVoterDuration;
    return;
  }
  m_highest_fence = recovered->fence;
  if (recovered->holder.empty()) return;
  m_holder = recovered->holder;
  m_fence = recovered->fence;
  m_expires_at = now + kLeaseVoterDuration;
}

LeaseVoter::Outcome LeaseVoter::OnRequest(TimePoint now, const LeaseRequest& request) {
  Outcome outcome;
  outcome.reply.round = request.round;
  outcome.reply.fence = request.fence;
  if (now >= m_expires_at) m_holder.clear();
  const bool renews = m_holder == request.candidate && m_fence == request.fence;
  // A holder that asks under a greater fence has given up the lower one.
  const bool is_free = m_holder.empty() || m_holder == request.candidate;
  const bool is_new = is_free && request.fence > m_highest_fence;
  const bool abstains = now < m_abstains_until;
  if (!request.candidate.empty() && !abstains && (renews || is_new)) {
    if (is_new) {
      m_holder = request.candidate;
      m_fence = request.fence;
      m_highest_fence = request.fence;
      outcome.persist = LeaseVoterState{m_holder, m_fence};
    }
    m_expires_at = now + kLeaseVoterDuration;
    outcome.reply.granted = true;
  } else {
    const TimePoint free_at = m_holder.empty() ? now : m_expires_at;
    outcome.reply.retry_ms = MsUntil(now, std::max(free_at, m_abstains_until));
  }
  outcome.reply.highest_fence = m_highest_fence;
  return outcome;
}

std::optional<LeaseVoterState> LeaseVoter::OnRelease(const LeaseRelease& release) {
  if (m_holder.empty() || m_holder != release.candidate || m_fence != release.fence) {
    return std::nullopt;
  }
  m_holder.clear();
  return LeaseVoterState{"", m_highest_fence};
}

// --- LeaseCandidate ------------------------------------------------------------------------------

LeaseCandidate::LeaseCandidate(LeaseCandidateOptions options, TimePoint now)
    : m_options(std::move(options)),
      m_random(m_options.seed),
      m_round_started_at(now),
      m_round_ends_at(now),
      m_orders_until(now),
      m_next_round_at(now) {}

Duration LeaseCandidate::Backoff() {
  std::uniform_int_distribution<Duration::rep> spread(0, Duration(kBackoff).count());
  return kBackoff + Duration(spread(m_random));
}

std::uint64_t LeaseCandidate::NewFence(UnixMs unix_now) const {
  const std::int64_t seconds = std::max<std::int64_t>(unix_now / kMsPerSecond, 0);
  const std::uint64_t by_clock = static_cast<std::uint64_t>(seconds) << kFenceSecondsShift;
  return std::max(by_clock, std::max(m_highest_fence, m_fence) + 1);
}

void LeaseCandidate::StartRound(TimePoint now, std::uint64_t fence) {
  m_fence = fence;
  ++m_round;
  m_round_open = true;
  m_round_started_at = now;
  m_round_ends_at = now + kLeaseRoundTimeout;
  m_granted_by.clear();
  for (const std::string& voter : m_options.voters) {
    m_actions.push_back(SendLeaseRequest{voter, {m_options.candidate, fence, m_round}});
  }
}

// Frees the voters that granted a round without a majority, so that another candidate need not wait
// for them. The fence is not used again: a reply that is still on its way counts for nothing.
void LeaseCandidate::GiveUpRound(TimePoint now) {
  m_round_open = false;
  if (m_phase == Phase::kHolding) return;
  m_phase = Phase::kWaiting;
  m_highest_fence = std::max(m_highest_fence, m_fence);
  for (const std::string& voter : m_options.voters) {
    m_actions.push_back(SendLeaseRelease{voter, {m_options.candidate, m_fence}});
  }
  m_next_round_at = std::max(m_next_round_at, now + Backoff());
}

void LeaseCandidate::Lose(TimePoint now) {
  m_actions.push_back(LeaseLost{m_fence});
  m_phase = Phase::kWaiting;
  m_round_open = false;
  m_highest_fence = std::max(m_highest_fence, m_fence);
  m_next_round_at = now + Backoff();
}

void LeaseCandidate::Tick(TimePoint now, UnixMs unix_now) {
  if (m_released) return;
  if (m_phase == Phase::kHolding && now >= m_orders_until) Lose(now);
  if (m_round_open && now >= m_round_ends_at) GiveUpRound(now);
  if (m_round_open || now < m_next_round_at) return;
  if (m_phase == Phase::kHolding) {
    StartRound(now, m_fence);
    m_next_round_at = now + kLeaseRoundTimeout;  // sooner than the interval if the round fails
  } else {
    m_phase = Phase::kRequesting;
    StartRound(now, NewFence(unix_now));
  }
}

TimePoint LeaseCandidate::NextDeadline() const {
  if (m_released) return TimePoint::max();
  TimePoint at = m_round_open ? m_round_ends_at : m_next_round_at;
  if (m_phase == Phase::kHolding) at = std::min(at, m_orders_until);
  return at;
}

void LeaseCandidate::OnReply(TimePoint now, const std::string& voter, const LeaseReply& reply) {
  m_highest_fence = std::max(m_highest_fence, reply.highest_fence);
  if (!m_round_open || reply.round != m_round || reply.fence != m_fence) return;
  const auto& voters = m_options.voters;
  if (std::find(voters.begin(), voters.end(), voter) == voters.end()) return;
  if (!reply.granted) {
    const auto wait =
        std::min(std::chrono::milliseconds(std::max<std::int64_t>(reply.retry_ms, 0)), kMaxWait);
    if (m_phase == Phase::kRequesting) m_next_round_at = std::max(m_next_round_at, now + wait);
    return;
  }
  m_granted_by.insert(voter);
  if (m_granted_by.size() < voters.size() / 2 + 1) return;
  // The lease is measured from before the requests were sent, so it ends before any voter's grant.
  const TimePoint until = m_round_started_at + kLeaseDuration - kLeaseOrderMargin;
  if (now >= until) {
    if (m_phase == Phase::kHolding) Lose(now);
    GiveUpRound(now);
    return;
  }
  m_round_open = false;
  m_orders_until = until;
  m_next_round_at = m_round_started_at + kLeaseRenewInterval;
  if (m_phase == Phase::kHolding) return;
  m_phase = Phase::kHolding;
  m_actions.push_back(LeaseAcquired{m_fence});
}

void LeaseCandidate::ObserveFence(std::uint64_t fence) {
  m_highest_fence = std::max(m_highest_fence, fence);
}

void LeaseCandidate::Release(TimePoint now) {
  if (m_released) return;
  if (m_phase == Phase::kHolding) Lose(now);
  m_phase = Phase::kWaiting;
  GiveUpRound(now);
  m_released = true;
}

void LeaseCandidate::Resume(TimePoint now) {
  m_released = false;
  m_next_round_at = now;
}

std::optional<std::uint64_t> LeaseCandidate::Fence(TimePoint now) const {
  if (m_phase != Phase::kHolding || now >= m_orders_until) return std::nullopt;
  return m_fence;
}

std::vector<LeaseAction> LeaseCandidate::TakeActions() { return std::exchange(m_actions, {}); }

}  // namespace corneltray
