#ifndef CORNELTRAY_MEMBERSHIP_IMPL_H_
#define CORNELTRAY_MEMBERSHIP_IMPL_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "corneltray/freshness_group.h"
#include "corneltray/membership.h"
#include "corneltray/membership_records.h"

namespace corneltray {

constexpr std::size_t kHostBuckets = 8;
constexpr std::size_t kUpstreamBuckets = 16;
constexpr std::chrono::milliseconds kHostAgeStep{750};
constexpr std::chrono::milliseconds kUpstreamAgeStep{250};

// Requests for missing records, and answers to them, that one process sends between heartbeats.
constexpr std::size_t kPullsPerHeartbeat = 8;
constexpr std::size_t kOtherPullsPerHeartbeat = 2;  // for upstreams of other zones
constexpr std::size_t kAnswersPerHeartbeat = 24;

inline std::int64_t Millis(Duration d) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
}

inline nlohmann::json Binary(const std::string& text) {
  return nlohmann::json::binary(std::vector<std::uint8_t>(text.begin(), text.end()));
}

struct HostEntry {
  HostInfo info;
  std::uint64_t version = 0;
  std::uint64_t demand_version = 0;
  HostLiveness liveness = HostLiveness::kAlive;
  std::map<std::string, TimePoint> reporters;  // of silence, with the time of the report
  TimePoint failed_at{};
  std::uint64_t last_counter = 0;  // of gossip messages
  bool has_offset = false;
  std::int64_t least_offset_ms = 0;  // receive time minus send time, each by its own clock
};

struct UpstreamEntry {
  Announcement announcement;
  std::uint64_t version = 0;
  std::uint64_t direct_sequence = 0;  // greatest heard directly
  UpstreamStatus status = UpstreamStatus::kReady;
  TimePoint zone_silent_since{};  // for upstreams of other zones
};

// What stays known of a removed upstream.
struct Tombstone {
  std::uint64_t incarnation = 0;
  TimePoint heard_at{};
  bool leaving = false;
  TimePoint forget_at{};
};

// The state behind MembershipTable. membership.cc holds what the process says and its deadlines,
// membership_gossip.cc what it takes in.
class MembershipTable::Impl {
 public:
  Impl(TimePoint now, HostInfo self, std::mt19937_64* random);

  MembershipOutput HandlePeer(TimePoint now, const HostInfo& peer);
  MembershipOutput HandleGossip(TimePoint now, const std::string& from, const nlohmann::json& body);
  MembershipOutput HandleAnnouncement(TimePoint now, const Announcement& announcement);
  MembershipOutput Heartbeat(TimePoint now);
  MembershipOutput Tick(TimePoint now);
  MembershipOutput SetLeaving(TimePoint now);
  void ChangeSelf();
  void SetDemand(const std::map<std::string, double>& demand);
  std::vector<UpstreamView> Upstreams() const;
  std::optional<UpstreamView> FindUpstream(const std::string& name) const;
  std::vector<std::string> AnnounceTo() const;
  std::uint64_t GreatestRevision() const;
  std::uint64_t GreatestFence() const;

  std::string m_name;
  std::map<std::string, HostEntry> m_hosts;  // with this one
  std::uint64_t m_upstream_version = 0;
  std::uint64_t m_malformed = 0;

 private:
  HostEntry& Self() { return m_hosts.at(m_name); }
  const HostEntry& Self() const { return m_hosts.at(m_name); }
  bool InOwnZone(const HostInfo& info) const {
    return info.availability_zone == Self().info.availability_zone &&
           info.region == Self().info.region;
  }
  FreshnessGroup& UpstreamGroup(const std::string& zone) {
    return m_upstreams.try_emplace(zone, kUpstreamBuckets, kUpstreamAgeStep).first->second;
  }
  std::uint32_t Sends(BroadcastQueue::Urgency urgency) const;

  void Apply(TimePoint now, const UpstreamRecord& record, MembershipOutput* out);
  void Apply(TimePoint now, const HostRecord& record, MembershipOutput* out);
  void Apply(TimePoint now, const SuspicionRecord& record, MembershipOutput* out);
  void Apply(TimePoint now, const DemandRecord& record, MembershipOutput* out);
  void Store(TimePoint now, const Announcement& announcement, std::uint64_t version,
             TimePoint heard_at, bool direct, MembershipOutput* out);
  void Remove(TimePoint now, const std::string& name, MembershipOutput* out);
  void PutUpstreamMember(const UpstreamEntry& entry, TimePoint heard_at);
  void PutHostMember(const HostEntry& entry, TimePoint heard_at);
  void QueueUpstream(const UpstreamEntry& entry);
  void QueueHost(const HostEntry& entry);
  void RefreshHost(TimePoint now, const std::string& name, MembershipOutput* out);
  void RefreshUpstream(TimePoint now, const std::string& name, MembershipOutput* out);
  void AddHost(const HostInfo& info, std::uint64_t version, TimePoint heard_at,
               MembershipOutput* out);
  void SpreadNow(TimePoint now, const MembershipRecord& record, bool to_all, MembershipOutput* out);

  bool CountMessage(TimePoint now, HostEntry* sender, const nlohmann::json& body, Duration* delay);
  void MergeMarks(TimePoint now, const std::string& from, const nlohmann::json& body,
                  Duration delay, MembershipOutput* out);
  void Pull(TimePoint now, const std::string& from, const std::string& group_name,
            const FreshnessGroup& group, std::vector<std::size_t> buckets, MembershipOutput* out);
  struct AnswerMessages;
  void AnswerAll(TimePoint now, const std::string& from, const nlohmann::json& pulls,
                 MembershipOutput* out);
  void Answer(TimePoint now, const std::string& from, const nlohmann::json& pull,
              AnswerMessages* messages);
  void ApplyFullList(TimePoint now, const nlohmann::json& full, MembershipOutput* out);

  nlohmann::json Header(TimePoint now);
  GossipMessage MakeHeartbeat(TimePoint now, const std::string& target);
  // A heartbeat that asks for one in return.
  GossipMessage MakeHeartbeatRequest(TimePoint now, const std::string& target);
  std::vector<std::string> PickTargets();
  std::vector<std::string> PickOtherZones();
  void SendDue(TimePoint now, MembershipOutput* out);
  Duration GossipAllowance(std::size_t processes) const;
  std::vector<std::string> Names(bool own_zone, HostLiveness up_to) const;
  void TickHosts(TimePoint now, MembershipOutput* out);
  void TickOwnZone(TimePoint now, MembershipOutput* out);
  void TickOtherZones(TimePoint now, MembershipOutput* out);
  void SetStatus(UpstreamEntry* entry, UpstreamStatus status, MembershipOutput* out);

  std::mt19937_64* m_random;
  TimePoint m_started_at;
  std::uint64_t m_counter = 0;  // of messages sent
  std::uint64_t m_heartbeats = 0;
  std::string m_last_other_zone;       // that a heartbeat went to
  std::vector<std::string> m_targets;  // of this heartbeat, not yet sent to
  TimePoint m_next_message_at{};
  TimePoint m_other_zones_at{};
  std::size_t m_pulls_left = kPullsPerHeartbeat;
  std::size_t m_other_pulls_left = kOtherPullsPerHeartbeat;
  bool m_is_pulled = false;  // the records being taken in were asked for, so others have them too
  std::size_t m_answers_left = kAnswersPerHeartbeat;
  std::uint64_t m_demand_sent_at = 0;  // heartbeat
  BroadcastQueue m_queue;
  FreshnessGroup m_host_group{kHostBuckets, kHostAgeStep};
  std::map<std::string, FreshnessGroup> m_upstreams;  // by availability zone
  std::map<std::string, UpstreamEntry> m_entries;
  std::map<std::string, Tombstone> m_tombstones;
  std::map<std::string, TimePoint> m_forgotten_hosts;
};

}  // namespace corneltray

#endif  // CORNELTRAY_MEMBERSHIP_IMPL_H_
