#ifndef CORNELTRAY_PLACEMENT_LEASE_SERVICE_H_
#define CORNELTRAY_PLACEMENT_LEASE_SERVICE_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "corneltray/lease.h"
#include "corneltray/peer.h"
#include "corneltray/settings.h"

namespace corneltray {

// Runs the lease voter and candidate of this process over PeerNode. All functions may be called
// from any thread. A voter with a data folder syncs its grant before it answers.
class LeaseService {
 public:
  // `node` outlives the service; it is stopped before the service is destroyed.
  LeaseService(const HostSettings& settings, std::uint64_t incarnation, PeerNode* node);

  // Reads the voter's state and registers the handlers. Call before PeerNode::Start. Fails when the
  // data folder cannot be read or written.
  Status Register();

  // Runs what is due. Called about every 20 ms.
  void Tick();

  // Returns the fence under which an order may be sent at this moment.
  std::optional<std::uint64_t> Fence() const;

  // Reports a fence seen elsewhere. A holder whose fence is smaller gives its lease up and asks for
  // one with a greater fence.
  void ObserveFence(std::uint64_t fence);

  // Gives the lease up for good.
  void Release();

 private:
  nlohmann::json Vote(const LeaseRequest& request);
  Status Persist(const LeaseVoterState& state) const;
  std::string StatePath() const;
  void Execute(std::vector<LeaseAction> actions);
  void HandleReply(const std::string& voter, const Result<nlohmann::json>& reply);

  const HostSettings m_settings;
  const bool m_votes;  // this process is one of the voters
  PeerNode* m_node;
  mutable std::mutex m_mutex;
  std::optional<LeaseVoter> m_voter;
  LeaseCandidate m_candidate;
  bool m_released = false;
};

}  // namespace corneltray

#endif  // CORNELTRAY_PLACEMENT_LEASE_SERVICE_H_
