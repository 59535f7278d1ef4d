#ifndef CORNELTRAY_MEMBERSHIP_H_
#define CORNELTRAY_MEMBERSHIP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "corneltray/enum_names.h"
#include "corneltray/time.h"
#include "corneltray/upstream.h"

namespace corneltray {

// Intervals and bounds of failure detection and gossip. See docs/design.md section 5.6.
constexpr std::chrono::milliseconds kHeartbeatInterval{1000};
constexpr std::chrono::milliseconds kUpstreamSuspectAfter{2500};
constexpr std::chrono::milliseconds kUpstreamRemoveAfter{5000};
constexpr std::chrono::milliseconds kHostSuspectAfter{6000};
constexpr std::chrono::milliseconds kHostFailAfter{10000};
constexpr std::size_t kMaxGossipBytes = 1200;
constexpr std::size_t kHeartbeatPeers = 3;

enum class HostState { kAlive, kLeaving };

template <>
struct EnumNames<HostState> {
  static constexpr EnumName<HostState> kTable[] = {
      {HostState::kAlive, "alive"},
      {HostState::kLeaving, "leaving"},
  };
};

// What this process believes about a host. Failed hosts stay listed for a while, so that a healed
// partition is noticed.
enum class HostLiveness { kAlive, kSuspect, kFailed };

template <>
struct EnumNames<HostLiveness> {
  static constexpr EnumName<HostLiveness> kTable[] = {
      {HostLiveness::kAlive, "alive"},
      {HostLiveness::kSuspect, "suspect"},
      {HostLiveness::kFailed, "failed"},
  };
};

// One process of corneltray, as it describes itself.
struct HostInfo {
  std::string name;
  std::string program;
  std::string region;
  std::string availability_zone;
  std::string peer_address;
  std::string http_address;
  std::uint64_t incarnation = 0;  // start time in Unix milliseconds
  HostState state = HostState::kAlive;
  std::uint64_t configuration_revision = 0;
  std::uint64_t fence = 0;               // greatest fencing number this process has seen
  std::map<std::string, double> demand;  // offered requests/s by customer, the largest ones only
};

struct HostView {
  HostInfo info;
  HostLiveness liveness = HostLiveness::kAlive;
};

enum class UpstreamStatus { kReady, kSuspect, kLeaving };

template <>
struct EnumNames<UpstreamStatus> {
  static constexpr EnumName<UpstreamStatus> kTable[] = {
      {UpstreamStatus::kReady, "ready"},
      {UpstreamStatus::kSuspect, "suspect"},
      {UpstreamStatus::kLeaving, "leaving"},
  };
};

// An upstream with what this process believes about it. The load in `announcement` is the last one
// heard directly; the other fields may have come by gossip.
struct UpstreamView {
  Announcement announcement;
  UpstreamStatus status = UpstreamStatus::kReady;
};

enum class MembershipEventType {
  kUpstreamAdded,
  kUpstreamChanged,  // holdings, address or another described field
  kUpstreamSuspect,
  kUpstreamReady,  // heard from again while suspect
  kUpstreamLeaving,
  kUpstreamRemoved,
  kHostJoined,
  kHostChanged,
  kHostSuspect,
  kHostAlive,  // heard from again while suspect or failed
  kHostLeaving,
  kHostFailed,
};

template <>
struct EnumNames<MembershipEventType> {
  static constexpr EnumName<MembershipEventType> kTable[] = {
      {MembershipEventType::kUpstreamAdded, "upstream_added"},
      {MembershipEventType::kUpstreamChanged, "upstream_changed"},
      {MembershipEventType::kUpstreamSuspect, "upstream_suspect"},
      {MembershipEventType::kUpstreamReady, "upstream_ready"},
      {MembershipEventType::kUpstreamLeaving, "upstream_leaving"},
      {MembershipEventType::kUpstreamRemoved, "upstream_removed"},
      {MembershipEventType::kHostJoined, "host_joined"},
      {MembershipEventType::kHostChanged, "host_changed"},
      {MembershipEventType::kHostSuspect, "host_suspect"},
      {MembershipEventType::kHostAlive, "host_alive"},
      {MembershipEventType::kHostLeaving, "host_leaving"},
      {MembershipEventType::kHostFailed, "host_failed"},
  };
};

struct MembershipEvent {
  MembershipEventType type = MembershipEventType::kUpstreamAdded;
  std::string name;  // of the host or the upstream
  std::uint64_t incarnation = 0;
};

// One gossip body for one host; at most kMaxGossipBytes as CBOR. Sent without a reply; loss,
// duplication and delay are tolerated.
struct GossipMessage {
  std::string target_host;
  nlohmann::json body;
};

// What the owner does after a call: send the messages, act on the events.
struct MembershipOutput {
  std::vector<GossipMessage> messages;
  std::vector<MembershipEvent> events;
};

// Hosts and upstreams as this process knows them; the only writer of that state. Pure: no clock, no
// socket. Not thread safe.
class MembershipTable {
 public:
  // `random` must outlive the table.
  MembershipTable(TimePoint now, HostInfo self, std::mt19937_64* random);
  ~MembershipTable();
  MembershipTable(MembershipTable&&) noexcept;
  MembershipTable& operator=(MembershipTable&&) noexcept;

  // Makes a host known that was reached through a seed address or that connected to this process.
  // Needs name, incarnation and, if known, the peer address; gossip supplies the rest.
  MembershipOutput HandlePeer(TimePoint now, const HostInfo& peer);

  // Takes in a gossip body. A malformed body is dropped and counted. The output may hold replies,
  // which are sent at once.
  MembershipOutput HandleGossip(TimePoint now, const std::string& from, const nlohmann::json& body);

  // Takes in an announcement that this process heard directly. An announcement of an older
  // incarnation or sequence changes nothing.
  MembershipOutput HandleAnnouncement(TimePoint now, const Announcement& announcement);

  // Returns the first of the heartbeat's messages; Tick returns the others, spread over the
  // interval. Called every kHeartbeatInterval.
  MembershipOutput Heartbeat(TimePoint now);

  // Applies the deadlines and sends what is due. Called at least five times a second.
  MembershipOutput Tick(TimePoint now);

  // Update what this process says about itself. SetLeaving is final; its output is sent at once.
  void SetConfigurationRevision(std::uint64_t revision);
  void SetFence(std::uint64_t fence);
  void SetDemand(const std::map<std::string, double>& requests_per_s);
  MembershipOutput SetLeaving(TimePoint now);

  const HostInfo& Self() const;
  // All known hosts, this one included, sorted by name.
  std::vector<HostView> Hosts() const;
  // All known upstreams, sorted by name.
  std::vector<UpstreamView> Upstreams(TimePoint now) const;
  // One upstream by name.
  std::optional<UpstreamView> FindUpstream(const std::string& name) const;
  // Grows whenever Upstreams() would return something new apart from load.
  std::uint64_t UpstreamVersion() const;
  // Greatest configuration revision and fencing number that any host or engine has reported.
  std::uint64_t GreatestRevision() const;
  std::uint64_t GreatestFence() const;
  // HTTP addresses to which the upstreams of this availability zone may announce themselves.
  std::vector<std::string> AnnounceTo() const;
  std::uint64_t MalformedCount() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace corneltray

#endif  // CORNELTRAY_MEMBERSHIP_H_
