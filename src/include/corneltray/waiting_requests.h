#ifndef CORNELTRAY_WAITING_REQUESTS_H_
#define CORNELTRAY_WAITING_REQUESTS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "corneltray/admission_request.h"
#include "corneltray/customer_shares.h"

namespace corneltray {

struct WaitingRequest {
  AdmissionRequest request;
  TimePoint waits_since{};
  TimePoint latest_start{};  // it ends its wait here at the latest
};

// Waiting requests, by rank and customer. Within a rank the customer that got the least of its
// share is next, and within a customer the request that arrived first. Not thread safe.
class WaitingRequests {
 public:
  void Add(const WaitingRequest& waiting);
  // Removes a request and returns it, or nullopt if it does not wait here.
  std::optional<AdmissionRequest> Take(std::uint64_t id);
  // Removes the requests whose latest start has passed.
  std::vector<AdmissionRequest> TakeExpired(TimePoint now);

  // Returns the next request of a rank, or null.
  const AdmissionRequest* Next(std::uint32_t rank, const CustomerShares& shares) const;
  // Returns the request that has waited longest, or null. Each more urgent rank counts as if it had
  // waited for `head_start` longer.
  const AdmissionRequest* Oldest(Duration head_start) const;

  bool IsEmpty() const { return m_count == 0; }
  std::size_t Count() const { return m_count; }
  std::size_t CountOf(const std::string& customer) const;
  std::map<std::uint32_t, std::size_t> CountByRank() const;
  // Tokens of all requests that are at least as urgent as `rank`.
  double TokensUpTo(std::uint32_t rank) const;
  double Tokens() const { return m_tokens; }

 private:
  using Customers = std::map<std::string, std::deque<WaitingRequest>>;

  void RemoveEmpty(std::uint32_t rank, const std::string& customer);

  std::map<std::uint32_t, Customers> m_ranks;  // the most urgent first
  std::size_t m_count = 0;
  double m_tokens = 0.0;
};

}  // namespace corneltray

#endif  // CORNELTRAY_WAITING_REQUESTS_H_
