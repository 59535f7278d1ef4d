#include "corneltray/waiting_requests.h"

#include <algorithm>
#include <utility>

namespace corneltray {

void WaitingRequests::Add(const WaitingRequest& waiting) {
  const AdmissionRequest& request = waiting.request;
  m_ranks[request.rank][request.customer].push_back(waiting);
  m_tokens += request.tokens;
  ++m_count;
}

std::optional<AdmissionRequest> WaitingRequests::Take(std::uint64_t id) {
  for (auto& [rank, customers] : m_ranks) {
    for (auto& [customer, entries] : customers) {
      const auto found =
          std::find_if(entries.begin(), entries.end(),
                       [id](const WaitingRequest& entry) { return entry.request.id == id; });
      if (found == entries.end()) continue;
      AdmissionRequest request = std::move(found->request);
      entries.erase(found);
      m_tokens -= request.tokens;
      --m_count;
      RemoveEmpty(request.rank, request.customer);
      return request;
    }
  }
  return std::nullopt;
}

void WaitingRequests::RemoveEmpty(std::uint32_t rank, const std::string& customer) {
  Customers& customers = m_ranks[rank];
  if (customers[customer].empty()) customers.erase(customer);
  if (customers.empty()) m_ranks.erase(rank);
  if (m_count == 0) m_tokens = 0.0;  // without what rounding left
}

std::vector<AdmissionRequest> WaitingRequests::TakeExpired(TimePoint now) {
  std::vector<std::uint64_t> ids;
  for (const auto& [rank, customers] : m_ranks) {
    for (const auto& [customer, entries] : customers) {
      for (const WaitingRequest& entry : entries) {
        if (now >= entry.latest_start) ids.push_back(entry.request.id);
      }
    }
  }
  std::vector<AdmissionRequest> expired;
  for (const std::uint64_t id : ids) expired.push_back(*Take(id));
  return expired;
}

const AdmissionRequest* WaitingRequests::Next(std::uint32_t rank,
                                              const CustomerShares& shares) const {
  const auto customers = m_ranks.find(rank);
  if (customers == m_ranks.end()) return nullptr;
  const AdmissionRequest* next = nullptr;
  double least = 0.0;
  for (const auto& [customer, entries] : customers->second) {
    const double used = shares.UsedShare(customer);
    if (next != nullptr && used >= least) continue;
    next = &entries.front().request;
    least = used;
  }
  return next;
}

const AdmissionRequest* WaitingRequests::Oldest(Duration head_start) const {
  const AdmissionRequest* oldest = nullptr;
  TimePoint least{};
  Duration handicap{};
  for (const auto& [rank, customers] : m_ranks) {
    for (const auto& [customer, entries] : customers) {
      const TimePoint since = entries.front().waits_since + handicap;
      if (oldest != nullptr && since >= least) continue;
      oldest = &entries.front().request;
      least = since;
    }
    handicap += head_start;
  }
  return oldest;
}

std::size_t WaitingRequests::CountOf(const std::string& customer) const {
  std::size_t count = 0;
  for (const auto& [rank, customers] : m_ranks) {
    const auto entries = customers.find(customer);
    if (entries != customers.end()) count += entries->second.size();
  }
  return count;
}

std::map<std::uint32_t, std::size_t> WaitingRequests::CountByRank() const {
  std::map<std::uint32_t, std::size_t> counts;
  for (const auto& [rank, customers] : m_ranks) {
    for (const auto& [customer, entries] : customers) counts[rank] += entries.size();
  }
  return counts;
}

double WaitingRequests::TokensUpTo(std::uint32_t rank) const {
  double tokens = 0.0;
  for (const auto& [other, customers] : m_ranks) {
    if (other > rank) break;
    for (const auto& [customer, entries] : customers) {
      for (const WaitingRequest& entry : entries) tokens += entry.request.tokens;
    }
  }
  return tokens;
}

}  // namespace corneltray
