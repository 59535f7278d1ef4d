#include "corneltray/admission_bucket.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace corneltray {
namespace {

// Depth of the bucket: a few requests, so that random arrivals at a host with few requests are not
// held back, and the tokens of a short time at a host with many.
constexpr double kDepthRequests = 4.0;
constexpr double kDepthSeconds = 0.5;
// Parts of the mean share that the most and the least urgent rank get at least. The more urgent
// rank has the higher one, so that ranks that live on it are not served alike.
constexpr double kMostUrgentFloor = 0.5;
constexpr double kLeastUrgentFloor = 0.35;
// Most credit that is kept, in usual requests.
constexpr double kMaxCreditRequests = 2.0;
// A request of a customer over its share needs a level this much higher, in steps of a rank: its
// rank stays ahead of the next one.
constexpr double kOverShareStep = 0.9;
// Time constant of the counts of recent tokens.
constexpr double kMemorySeconds = 5.0;
// Longest time that is filled at once, after a pause of the caller.
constexpr double kMaxFillSeconds = 10.0;

}  // namespace

void AdmissionBucket::Fill(TimePoint now, const BucketInflow& inflow) {
  const std::chrono::duration<double> since = now - m_filled_at;
  const double passed_s = std::clamp(since.count(), 0.0, kMaxFillSeconds);
  m_filled_at = now;
  m_steady_tokens_per_s = inflow.steady_tokens_per_s;
  m_depth =
      std::max(kDepthRequests * inflow.usual_tokens, kDepthSeconds * inflow.steady_tokens_per_s);
  if (!m_is_filled) m_level = m_depth;
  m_is_filled = true;
  const double tokens = inflow.tokens_per_s * passed_s;
  m_level = std::min(m_depth, m_level + tokens);
  AddCredit(tokens, inflow);
  const double kept = std::exp(-passed_s / kMemorySeconds);
  m_late_sent *= kept;
  for (auto& [rank, state] : m_ranks) state.offered *= kept;
}

void AdmissionBucket::AddCredit(double tokens, const BucketInflow& inflow) {
  const double max_credit = kMaxCreditRequests * inflow.usual_tokens;
  const double late_part = inflow.is_late_waiting ? kLatePart : 0.0;
  m_late_credit = std::min(max_credit, m_late_credit + late_part * tokens);
  double offered = 0.0;
  for (const auto& [rank, state] : m_ranks) offered += state.offered;
  if (offered <= 0.0) return;
  const double last = std::max(1.0, static_cast<double>(m_ranks.size()) - 1.0);
  double index = 0.0;
  for (auto& [rank, state] : m_ranks) {
    const double floor = kMostUrgentFloor - (kMostUrgentFloor - kLeastUrgentFloor) * index++ / last;
    const double part = (1.0 - late_part) * floor * state.offered / offered;
    state.credit = std::min(max_credit, state.credit + part * tokens);
  }
}

void AdmissionBucket::RecordOffered(std::uint32_t rank, double tokens) {
  m_ranks[rank].offered += tokens;
}

std::size_t AdmissionBucket::RankIndex(std::uint32_t rank) const {
  return static_cast<std::size_t>(std::distance(m_ranks.begin(), m_ranks.lower_bound(rank)));
}

// The levels of the ranks divide the depth evenly; the highest step is for late requests.
double AdmissionBucket::RankStep() const {
  return m_depth / static_cast<double>(m_ranks.size() + 1);
}

double AdmissionBucket::RequiredLevel(std::uint32_t rank, bool is_over_share) const {
  const double steps =
      static_cast<double>(RankIndex(rank)) + (is_over_share ? kOverShareStep : 0.0);
  return steps * RankStep();
}

bool AdmissionBucket::Allows(std::uint32_t rank, bool is_over_share) const {
  return m_level > RequiredLevel(rank, is_over_share);
}

bool AdmissionBucket::AllowsByCredit(std::uint32_t rank) const {
  const auto known = m_ranks.find(rank);
  return known != m_ranks.end() && known->second.credit > 0.0 && m_level > 0.0;
}

bool AdmissionBucket::AllowsLate() const { return m_level > m_depth - RankStep() / 2.0; }

void AdmissionBucket::Spend(const AdmissionRequest& request, ObjectiveState objective,
                            bool is_free) {
  // Without a bound, what a host sent while there was room for all would hold it back for seconds
  // when the room ends.
  const double lowest = is_free ? std::min(m_level, -RankStep()) : m_level - request.tokens;
  m_level = std::max(m_level - request.tokens, lowest);
  double& credit =
      objective == ObjectiveState::kLost ? m_late_credit : m_ranks[request.rank].credit;
  credit = std::max(credit - request.tokens, std::min(credit, -request.tokens));
  if (objective == ObjectiveState::kLost) m_late_sent += request.tokens;
}

void AdmissionBucket::Charge(double tokens) {
  m_level = std::max(m_level - tokens, std::min(m_level, -m_depth));
}

double AdmissionBucket::MissingTokens(std::uint32_t rank, bool is_over_share) const {
  return RequiredLevel(rank, is_over_share) - m_level;
}

double AdmissionBucket::MissingLateTokens() const {
  return std::max({0.0, -m_late_credit, -m_level});
}

double AdmissionBucket::LateTokensPerSecond() const {
  return std::max(kLatePart * m_steady_tokens_per_s, m_late_sent / kMemorySeconds);
}

}  // namespace corneltray
