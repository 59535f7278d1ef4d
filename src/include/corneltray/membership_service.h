#ifndef CORNELTRAY_MEMBERSHIP_SERVICE_H_
#define CORNELTRAY_MEMBERSHIP_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "corneltray/membership.h"
#include "corneltray/time.h"

namespace corneltray {

class PeerNode;

// Runs a MembershipTable over PeerNode: sends its gossip, applies its deadlines, and opens links to
// hosts that it names. One for each process. All functions may be called from any thread.
class MembershipService {
 public:
  // Called after each change, on the thread that caused it, without a lock held: the I/O thread of
  // PeerNode or the caller of Announce. Must not block.
  using ChangeCallback = std::function<void(const std::vector<MembershipEvent>&)>;

  // `node` outlives the service; stop it before the service is destroyed.
  explicit MembershipService(PeerNode* node);
  ~MembershipService();
  MembershipService(const MembershipService&) = delete;
  MembershipService& operator=(const MembershipService&) = delete;

  void SetChangeCallback(ChangeCallback callback);

  // Registers the gossip handler. Call before PeerNode::Start.
  void Register();
  // Starts to gossip as `self`, whose addresses are known by now, and connects to the seeds. Call
  // after PeerNode::Start.
  void Start(HostInfo self, const std::vector<std::string>& seeds);

  // Takes in an announcement heard over HTTP.
  void Announce(const Announcement& announcement);

  // Update what this process says about itself.
  void SetConfigurationRevision(std::uint64_t revision);
  void SetFence(std::uint64_t fence);
  void SetDemand(const std::map<std::string, double>& requests_per_s);
  void SetLeaving();

  std::vector<HostView> Hosts() const;
  std::vector<UpstreamView> Upstreams() const;
  std::uint64_t UpstreamVersion() const;
  std::uint64_t GreatestRevision() const;
  std::uint64_t GreatestFence() const;
  std::vector<std::string> AnnounceTo() const;
  std::uint64_t MalformedCount() const;

 private:
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace corneltray

#endif  // CORNELTRAY_MEMBERSHIP_SERVICE_H_
