#ifndef CORNELTRAY_ADMISSION_BUCKET_H_
#define CORNELTRAY_ADMISSION_BUCKET_H_

#include <cstdint>
#include <map>

#include "corneltray/admission_request.h"
#include "corneltray/time.h"

namespace corneltray {

// Part of the pace that is reserved for requests whose objective is lost, while some wait. It
// serves a returned caller within its deadline also while new requests alone exceed the pace.
constexpr double kLatePart = 0.1;

// What flows into a bucket.
struct BucketInflow {
  double tokens_per_s = 0.0;         // now
  double steady_tokens_per_s = 0.0;  // expected over longer times
  double usual_tokens = 1.0;         // of a request
  bool is_late_waiting = false;      // a request whose objective is lost waits
};

// Token bucket of one host for the requests of a service. A rank may only use what lies above a
// level of its own, so that more urgent ranks find tokens when less urgent ones press. Each rank
// earns credit at a part of the pace in proportion to its requests; with credit it goes ahead of
// more urgent ranks, which keeps it from starving. Requests may take more than is left, so that
// large ones are not held back longer than small ones. Not thread safe.
class AdmissionBucket {
 public:
  // Adds what has flowed in since the last call.
  void Fill(TimePoint now, const BucketInflow& inflow);
  // Counts a request that arrived and can meet its objective.
  void RecordOffered(std::uint32_t rank, double tokens);

  // Whether a request of the rank may be sent. `is_over_share`: its customer had more than its
  // share.
  bool Allows(std::uint32_t rank, bool is_over_share) const;
  // Whether the rank may be sent ahead of more urgent ranks.
  bool AllowsByCredit(std::uint32_t rank) const;
  // Whether a request whose objective is lost may be sent, from the part of the pace that is
  // reserved for it or from what other requests leave.
  bool AllowsLateByCredit() const { return m_late_credit > 0.0 && m_level > 0.0; }
  bool AllowsLate() const;

  // Takes the tokens of a request that is sent. `is_free`: nothing is held back, so that the level
  // sinks only slightly below 0.
  void Spend(const AdmissionRequest& request, ObjectiveState objective, bool is_free);
  // Takes tokens for an attempt that is sent in any case.
  void Charge(double tokens);

  // Tokens that must flow in before the rank may be sent.
  double MissingTokens(std::uint32_t rank, bool is_over_share) const;
  // Tokens that must flow in for requests whose objective is lost before one may be sent.
  double MissingLateTokens() const;
  // Expected rate of requests whose objective is lost.
  double LateTokensPerSecond() const;
  // Position of the rank among those known; 0 is the most urgent.
  std::size_t RankIndex(std::uint32_t rank) const;
  std::size_t RankCount() const { return m_ranks.size(); }
  double Level() const { return m_level; }

 private:
  struct Rank {
    double offered = 0.0;  // tokens of the last seconds, decayed
    double credit = 0.0;   // tokens
  };

  double RankStep() const;
  double RequiredLevel(std::uint32_t rank, bool is_over_share) const;
  void AddCredit(double tokens, const BucketInflow& inflow);

  std::map<std::uint32_t, Rank> m_ranks;
  double m_depth = 0.0;
  double m_level = 0.0;
  bool m_is_filled = false;
  TimePoint m_filled_at{};
  double m_steady_tokens_per_s = 0.0;
  double m_late_credit = 0.0;
  double m_late_sent = 0.0;  // tokens of the last seconds, decayed
};

}  // namespace corneltray

#endif  // CORNELTRAY_ADMISSION_BUCKET_H_
