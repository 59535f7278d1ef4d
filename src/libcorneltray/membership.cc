#include "corneltray/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "membership_impl.h"

namespace corneltray {
namespace {

using nlohmann::json;
using Urgency = BroadcastQueue::Urgency;

// Bytes of a heartbeat that demand may take, so that the mean stays under 3 KB/s for each host.
constexpr std::size_t kDemandBytes = 250;
constexpr std::size_t kMaxDirectTargets = 64;
constexpr std::size_t kAnnounceTargets = 16;
constexpr std::size_t kDemandCustomers = 8;
constexpr double kAllowancePerRoundMs = 500.0;
constexpr std::chrono::seconds kLeavingMemory{24 * 3600};
constexpr std::chrono::hours kHostMemory{2};        // an hour's partition, doubled
constexpr std::chrono::seconds kZoneGoneAfter{60};  // no host of that zone was heard from
// A confirmation cannot come when no other peer is left; silence alone decides then.
constexpr std::chrono::seconds kUnconfirmedFailAfter{30};
constexpr std::chrono::seconds kReportLasts{25};
constexpr std::uint64_t kFailedProbeEvery = 4;  // heartbeats

}  // namespace

MembershipTable::Impl::Impl(TimePoint now, HostInfo self, std::mt19937_64* random)
    : m_name(self.name), m_random(random), m_started_at(now) {
  HostEntry entry;
  entry.info = std::move(self);
  entry.version = 1;
  PutHostMember(m_hosts.emplace(m_name, std::move(entry)).first->second, now);
  QueueHost(Self());
}

// How often this process passes a record on. News that must be everywhere at once is sent more
// often than an epidemic needs, as messages may be lost; for the rest, checksums find what was
// missed.
std::uint32_t MembershipTable::Impl::Sends(Urgency urgency) const {
  if (urgency == Urgency::kState || urgency == Urgency::kDemand) return 3;
  return 4 + static_cast<std::uint32_t>(std::log2(static_cast<double>(m_hosts.size()) + 1.0));
}

void MembershipTable::Impl::PutHostMember(const HostEntry& entry, TimePoint heard_at) {
  const HostInfo& info = entry.info;
  const FreshnessGroup::Member* old = m_host_group.Find(info.name);
  if (old != nullptr) heard_at = std::max(heard_at, old->heard_at);
  m_host_group.Put(
      {info.name, info.incarnation, entry.version, info.state == HostState::kLeaving, heard_at});
}

void MembershipTable::Impl::PutUpstreamMember(const UpstreamEntry& entry, TimePoint heard_at) {
  const Announcement& a = entry.announcement;
  FreshnessGroup& group = UpstreamGroup(a.availability_zone);
  const FreshnessGroup::Member* old = group.Find(a.name);
  if (old != nullptr) heard_at = std::max(heard_at, old->heard_at);
  group.Put({a.name, a.incarnation, entry.version, a.state == UpstreamState::kLeaving, heard_at});
}

void MembershipTable::Impl::QueueUpstream(const UpstreamEntry& entry) {
  const Announcement& a = entry.announcement;
  const bool leaving = a.state == UpstreamState::kLeaving;
  // Other zones get service replicas and the end of an engine at once; other changes of engines
  // reach them when they compare checksums, which costs less.
  const bool other_zones = a.kind == UpstreamKind::kService || leaving;
  if (m_is_pulled) return;
  const Urgency urgency = leaving ? Urgency::kLeaving : Urgency::kState;
  m_queue.Put("u/" + a.name, urgency, other_zones, Sends(urgency),
              UpstreamRecord{a, entry.version, false, {}},
              UpstreamGroup(a.availability_zone).Find(a.name)->heard_at);
}

void MembershipTable::Impl::QueueHost(const HostEntry& entry) {
  const bool leaving = entry.info.state == HostState::kLeaving;
  if (m_is_pulled) return;
  const Urgency urgency = leaving ? Urgency::kLeaving : Urgency::kState;
  m_queue.Put("h/" + entry.info.name, urgency, true, Sends(urgency),
              HostRecord{entry.info, entry.version, {}},
              m_host_group.Find(entry.info.name)->heard_at);
}

void MembershipTable::Impl::ChangeSelf() {
  ++Self().version;
  PutHostMember(Self(), TimePoint::min());
  QueueHost(Self());
}

void MembershipTable::Impl::SetDemand(const std::map<std::string, double>& demand) {
  std::vector<std::pair<double, std::string>> largest;
  largest.reserve(demand.size());
  for (const auto& [customer, rate] : demand) largest.emplace_back(rate, customer);
  std::sort(largest.rbegin(), largest.rend());
  if (largest.size() > kDemandCustomers) largest.resize(kDemandCustomers);
  HostEntry& self = Self();
  bool changed = largest.size() != self.info.demand.size();
  for (const auto& [rate, customer] : largest) {
    const auto it = self.info.demand.find(customer);
    const double before = it == self.info.demand.end() ? 0.0 : it->second;
    if (std::abs(rate - before) > 0.25 * std::max(rate, before) + 0.05) changed = true;
  }
  // Every host of the zone receives every other host's demand, so the interval grows with their
  // number to keep within the byte budget.
  const std::uint64_t interval =
      std::max<std::uint64_t>(2, Names(true, HostLiveness::kSuspect).size() * 6 / 10);
  if (!changed || m_heartbeats < m_demand_sent_at + interval) return;
  m_demand_sent_at = m_heartbeats;
  self.info.demand.clear();
  for (const auto& [rate, customer] : largest) self.info.demand[customer] = rate;
  ++self.demand_version;
  m_queue.Put("d/" + m_name, Urgency::kDemand, false, Sends(Urgency::kDemand),
              DemandRecord{m_name, self.demand_version, self.info.demand}, {});
}

std::vector<std::string> MembershipTable::Impl::Names(bool own_zone, HostLiveness up_to) const {
  std::vector<std::string> names;
  for (const auto& [name, entry] : m_hosts) {
    if (name == m_name || entry.liveness > up_to || InOwnZone(entry.info) != own_zone) continue;
    names.push_back(name);
  }
  return names;
}

// The hosts of other zones in random order, but for the first one: the zones have their turn there,
// so that each is heard from within a few heartbeats.
std::vector<std::string> MembershipTable::Impl::PickOtherZones() {
  std::vector<std::string> names = Names(false, HostLiveness::kSuspect);
  std::shuffle(names.begin(), names.end(), *m_random);
  const auto zone_of = [this](const std::string& name) {
    return m_hosts.at(name).info.availability_zone;
  };
  std::set<std::string> zones;
  for (const std::string& name : names) zones.insert(zone_of(name));
  if (zones.size() < 2) return names;
  const auto next = zones.upper_bound(m_last_other_zone);
  m_last_other_zone = next == zones.end() ? *zones.begin() : *next;
  const auto first = std::find_if(names.begin(), names.end(), [&](const std::string& name) {
    return zone_of(name) == m_last_other_zone;
  });
  std::iter_swap(names.begin(), first);
  return names;
}

// Mostly peers of the own zone, which need the marks, and one in the other zones in every second
// heartbeat. A failed host is tried now and then, so that a healed partition is noticed.
std::vector<std::string> MembershipTable::Impl::PickTargets() {
  std::vector<std::string> own = Names(true, HostLiveness::kSuspect);
  std::shuffle(own.begin(), own.end(), *m_random);
  // The next host of the zone in the order of names hears from this one in each heartbeat, so that
  // no live host goes without marks for a second, as happens with random choice alone.
  const std::vector<std::string> sorted = Names(true, HostLiveness::kAlive);
  if (!sorted.empty()) {
    const auto next = std::upper_bound(sorted.begin(), sorted.end(), m_name);
    const std::string& successor = next == sorted.end() ? sorted.front() : *next;
    std::iter_swap(own.begin(), std::find(own.begin(), own.end(), successor));
  }
  std::vector<std::string> targets;
  if (m_heartbeats % kFailedProbeEvery == 0) {
    std::vector<std::string> failed;
    for (const auto& [name, entry] : m_hosts) {
      if (entry.liveness == HostLiveness::kFailed) failed.push_back(name);
    }
    if (!failed.empty()) targets.push_back(failed[(*m_random)() % failed.size()]);
  }
  const std::size_t want_other = own.size() < kHeartbeatPeers ? 1 : m_heartbeats % 2;
  const std::vector<std::string> other =
      want_other > 0 ? PickOtherZones() : std::vector<std::string>();
  for (std::size_t i = 0; i < want_other && i < other.size(); ++i) targets.push_back(other[i]);
  for (std::size_t i = 0; i < own.size() && targets.size() < kHeartbeatPeers; ++i) {
    targets.push_back(own[i]);
  }
  for (std::size_t i = want_other; i < other.size() && targets.size() < kHeartbeatPeers; ++i) {
    targets.push_back(other[i]);
  }
  return targets;
}

json MembershipTable::Impl::Header(TimePoint now) {
  return {{"n", ++m_counter}, {"t", Millis(now - m_started_at)}, {"i", Self().info.incarnation}};
}

GossipMessage MembershipTable::Impl::MakeHeartbeat(TimePoint now, const std::string& target) {
  const HostInfo& peer = m_hosts.at(target).info;
  const std::string& zone = Self().info.availability_zone;
  json body = Header(now);
  m_host_group.Refresh(m_name, now);
  body["h"] = Binary(m_host_group.EncodeMarks(now));
  const bool own_zone = InOwnZone(peer);
  if (own_zone) {
    body["u"] = Binary(UpstreamGroup(zone).EncodeMarks(now));
  } else if (peer.region == Self().info.region) {
    body["c"] = json::array({zone, Binary(UpstreamGroup(zone).EncodeContents())});
  }
  const std::size_t used = json::to_cbor(body).size() + 8;
  const std::size_t left = used < kMaxGossipBytes ? kMaxGossipBytes - used : 0;
  json records = m_queue.Take(now, left, std::min(left, kDemandBytes), !own_zone);
  if (!records.empty()) body["d"] = std::move(records);
  return {target, std::move(body)};
}

GossipMessage MembershipTable::Impl::MakeHeartbeatRequest(TimePoint now,
                                                          const std::string& target) {
  GossipMessage message = MakeHeartbeat(now, target);
  message.body["j"] = 1;
  return message;
}

MembershipOutput MembershipTable::Impl::Heartbeat(TimePoint now) {
  MembershipOutput out;
  ++m_heartbeats;
  m_pulls_left = kPullsPerHeartbeat;
  m_other_pulls_left = kOtherPullsPerHeartbeat;
  m_answers_left = kAnswersPerHeartbeat;
  m_targets = PickTargets();
  m_next_message_at = now;
  SendDue(now, &out);
  return out;
}

// The messages of one heartbeat are spread over the interval: marks then travel a hop in a third of
// the time, which keeps live upstreams from looking silent.
void MembershipTable::Impl::SendDue(TimePoint now, MembershipOutput* out) {
  while (!m_targets.empty() && m_next_message_at <= now) {
    m_next_message_at += kHeartbeatInterval / kHeartbeatPeers;
    const std::string target = m_targets.front();
    m_targets.erase(m_targets.begin());
    const auto host = m_hosts.find(target);
    if (host == m_hosts.end()) continue;
    // The reply of a host in another zone holds the checksums of that zone. To wait for one of its
    // hosts to choose this one can take very long.
    out->messages.push_back(InOwnZone(host->second.info) ? MakeHeartbeat(now, target)
                                                         : MakeHeartbeatRequest(now, target));
  }
}

// News comes through several processes, the more of them there are. The allowance covers the
// greatest delay of news in the simulated schedules without faults.
Duration MembershipTable::Impl::GossipAllowance(std::size_t processes) const {
  const double rounds = std::log(static_cast<double>(std::max<std::size_t>(processes, 1)));
  return std::chrono::milliseconds(static_cast<std::int64_t>(kAllowancePerRoundMs * rounds));
}

// Sends one urgent record at once: to every host of the zone from the process that heard the news
// first, and to a few from each process that hears it by gossip.
void MembershipTable::Impl::SpreadNow(TimePoint now, const MembershipRecord& record, bool to_all,
                                      MembershipOutput* out) {
  std::vector<std::string> own = Names(true, HostLiveness::kSuspect);
  std::vector<std::string> other = Names(false, HostLiveness::kSuspect);
  std::shuffle(own.begin(), own.end(), *m_random);
  std::shuffle(other.begin(), other.end(), *m_random);
  own.resize(std::min(own.size(), to_all ? kMaxDirectTargets : kHeartbeatPeers));
  other.resize(std::min(other.size(), to_all ? 2 * kHeartbeatPeers : 0));
  own.insert(own.end(), other.begin(), other.end());
  const json records = json::array({EncodeRecord(record)});
  for (const std::string& target : own) {
    json body = Header(now);
    body["d"] = records;
    out->messages.push_back({target, std::move(body)});
  }
}

MembershipOutput MembershipTable::Impl::SetLeaving(TimePoint now) {
  MembershipOutput out;
  if (Self().info.state == HostState::kLeaving) return out;
  Self().info.state = HostState::kLeaving;
  ChangeSelf();
  SpreadNow(now, HostRecord{Self().info, Self().version, {}}, true, &out);
  return out;
}

MembershipOutput MembershipTable::Impl::HandlePeer(TimePoint now, const HostInfo& peer) {
  MembershipOutput out;
  if (peer.name.empty() || peer.name == m_name) return out;
  const auto it = m_hosts.find(peer.name);
  if (it == m_hosts.end() || it->second.info.incarnation < peer.incarnation) {
    m_forgotten_hosts.erase(peer.name);
    AddHost(peer, 0, now, &out);
  }
  // A new process learns the members within one round trip.
  out.messages.push_back(MakeHeartbeatRequest(now, peer.name));
  return out;
}

MembershipOutput MembershipTable::Impl::HandleAnnouncement(TimePoint now,
                                                           const Announcement& announcement) {
  MembershipOutput out;
  const auto tombstone = m_tombstones.find(announcement.name);
  if (tombstone != m_tombstones.end()) {
    const Tombstone& t = tombstone->second;
    if (announcement.incarnation < t.incarnation) return out;
    if (announcement.incarnation == t.incarnation && t.leaving &&
        announcement.state == UpstreamState::kReady) {
      return out;
    }
  }
  const auto it = m_entries.find(announcement.name);
  if (it != m_entries.end()) {
    const Announcement& known = it->second.announcement;
    if (announcement.incarnation < known.incarnation) return out;
    if (announcement.incarnation == known.incarnation &&
        announcement.sequence <= it->second.direct_sequence) {
      return out;
    }
  }
  Store(now, announcement, announcement.sequence, now, true, &out);
  return out;
}

void MembershipTable::Impl::SetStatus(UpstreamEntry* entry, UpstreamStatus status,
                                      MembershipOutput* out) {
  if (entry->status == status) return;
  entry->status = status;
  ++m_upstream_version;
  const auto type = status == UpstreamStatus::kSuspect ? MembershipEventType::kUpstreamSuspect
                    : status == UpstreamStatus::kReady ? MembershipEventType::kUpstreamReady
                                                       : MembershipEventType::kUpstreamLeaving;
  out->events.push_back({type, entry->announcement.name, entry->announcement.incarnation});
}

void MembershipTable::Impl::Remove(TimePoint now, const std::string& name, MembershipOutput* out) {
  const auto it = m_entries.find(name);
  if (it == m_entries.end()) return;
  const Announcement& a = it->second.announcement;
  FreshnessGroup& group = UpstreamGroup(a.availability_zone);
  const TimePoint heard_at = group.Find(name)->heard_at;
  m_tombstones[name] = {a.incarnation, heard_at, a.state == UpstreamState::kLeaving,
                        now + kLeavingMemory};
  if (a.availability_zone == Self().info.availability_zone) {
    m_queue.Put("u/" + name, Urgency::kState, true, Sends(Urgency::kState),
                UpstreamRecord{a, it->second.version, true, {}}, heard_at);
  }
  group.Remove(name);
  out->events.push_back({MembershipEventType::kUpstreamRemoved, name, a.incarnation});
  ++m_upstream_version;
  m_entries.erase(it);
}

MembershipOutput MembershipTable::Impl::Tick(TimePoint now) {
  MembershipOutput out;
  SendDue(now, &out);
  TickHosts(now, &out);
  TickOwnZone(now, &out);
  if (now < m_other_zones_at) return out;
  m_other_zones_at = now + kHeartbeatInterval;
  TickOtherZones(now, &out);
  for (auto it = m_tombstones.begin(); it != m_tombstones.end();) {
    it = it->second.forget_at <= now ? m_tombstones.erase(it) : std::next(it);
  }
  return out;
}

void MembershipTable::Impl::TickHosts(TimePoint now, MembershipOutput* out) {
  std::size_t others = 0;
  for (const auto& [name, entry] : m_hosts) {
    others += name != m_name && entry.liveness != HostLiveness::kFailed;
  }
  const Duration allowance = GossipAllowance(others + 1);
  std::vector<std::string> forgotten;
  for (auto& [name, entry] : m_hosts) {
    if (name == m_name) continue;
    const FreshnessGroup::Member* member = m_host_group.Find(name);
    const Duration silence = now - member->heard_at;
    if (entry.liveness == HostLiveness::kAlive && silence >= kHostSuspectAfter + allowance) {
      entry.liveness = HostLiveness::kSuspect;
      entry.reporters[m_name] = now;
      m_queue.Put("s/" + name, Urgency::kSuspicion, true, Sends(Urgency::kSuspicion),
                  SuspicionRecord{name, entry.info.incarnation, m_name}, {});
      out->events.push_back({MembershipEventType::kHostSuspect, name, entry.info.incarnation});
    }
    for (auto it = entry.reporters.begin(); it != entry.reporters.end();) {
      it = now - it->second >= kReportLasts ? entry.reporters.erase(it) : std::next(it);
    }
    const bool confirmed = entry.reporters.size() >= 2 || others < 2;
    if (entry.liveness == HostLiveness::kSuspect &&
        ((confirmed && silence >= kHostFailAfter + allowance) ||
         silence >= kUnconfirmedFailAfter)) {
      entry.liveness = HostLiveness::kFailed;
      entry.failed_at = now;
      out->events.push_back({MembershipEventType::kHostFailed, name, entry.info.incarnation});
    }
    if (entry.liveness == HostLiveness::kFailed && now - entry.failed_at >= kHostMemory) {
      forgotten.push_back(name);
    }
  }
  for (const std::string& name : forgotten) {
    m_hosts.erase(name);
    m_host_group.Remove(name);
    m_forgotten_hosts[name] = now + kHostMemory;
  }
  for (auto it = m_forgotten_hosts.begin(); it != m_forgotten_hosts.end();) {
    it = it->second <= now ? m_forgotten_hosts.erase(it) : std::next(it);
  }
}

void MembershipTable::Impl::TickOwnZone(TimePoint now, MembershipOutput* out) {
  FreshnessGroup& group = UpstreamGroup(Self().info.availability_zone);
  const std::size_t peers = Names(true, HostLiveness::kSuspect).size();
  const Duration allowance = GossipAllowance(peers + 1);
  std::vector<std::string> removed;
  for (std::size_t b = 0; b < group.BucketCount(); ++b) {
    for (const FreshnessGroup::Member& member : group.MembersOf(b)) {
      const Duration silence = group.Silence(now, b, member, peers > 0);
      if (silence < kUpstreamSuspectAfter + allowance) continue;
      UpstreamEntry& entry = m_entries.at(member.name);
      if (silence >= kUpstreamRemoveAfter + allowance) {
        removed.push_back(member.name);
      } else if (entry.status == UpstreamStatus::kReady) {
        SetStatus(&entry, UpstreamStatus::kSuspect, out);
      }
    }
  }
  for (const std::string& name : removed) Remove(now, name, out);
}

// Other zones are believed as long as any of their hosts is heard from.
void MembershipTable::Impl::TickOtherZones(TimePoint now, MembershipOutput* out) {
  std::set<std::string> live_zones;
  for (const auto& [name, entry] : m_hosts) {
    if (entry.liveness == HostLiveness::kAlive) live_zones.insert(entry.info.availability_zone);
  }
  std::vector<std::string> removed;
  for (auto& [name, entry] : m_entries) {
    const std::string& zone = entry.announcement.availability_zone;
    if (zone == Self().info.availability_zone) continue;
    if (live_zones.count(zone) != 0) {
      entry.zone_silent_since = now;
      if (entry.status == UpstreamStatus::kSuspect) SetStatus(&entry, UpstreamStatus::kReady, out);
    } else if (now - entry.zone_silent_since >= kZoneGoneAfter) {
      removed.push_back(name);
    } else if (entry.status == UpstreamStatus::kReady) {
      SetStatus(&entry, UpstreamStatus::kSuspect, out);
    }
  }
  for (const std::string& name : removed) Remove(now, name, out);
}

std::vector<UpstreamView> MembershipTable::Impl::Upstreams() const {
  std::vector<UpstreamView> views;
  views.reserve(m_entries.size());
  for (const auto& [name, entry] : m_entries) views.push_back({entry.announcement, entry.status});
  return views;
}

std::optional<UpstreamView> MembershipTable::Impl::FindUpstream(const std::string& name) const {
  const auto it = m_entries.find(name);
  if (it == m_entries.end()) return std::nullopt;
  return UpstreamView{it->second.announcement, it->second.status};
}

std::vector<std::string> MembershipTable::Impl::AnnounceTo() const {
  std::vector<std::string> addresses;
  for (const auto& [name, entry] : m_hosts) {
    const HostInfo& h = entry.info;
    const bool listens = h.program == "corneltray-entry" || h.program == "corneltray-placement";
    if (InOwnZone(h) && listens && entry.liveness == HostLiveness::kAlive &&
        h.state == HostState::kAlive && !h.http_address.empty()) {
      addresses.push_back(h.http_address);
    }
  }
  std::shuffle(addresses.begin(), addresses.end(), *m_random);
  if (addresses.size() > kAnnounceTargets) addresses.resize(kAnnounceTargets);
  return addresses;
}

std::uint64_t MembershipTable::Impl::GreatestRevision() const {
  std::uint64_t greatest = 0;
  for (const auto& [name, entry] : m_hosts) {
    greatest = std::max(greatest, entry.info.configuration_revision);
  }
  return greatest;
}

std::uint64_t MembershipTable::Impl::GreatestFence() const {
  std::uint64_t greatest = 0;
  for (const auto& [name, entry] : m_hosts) greatest = std::max(greatest, entry.info.fence);
  for (const auto& [name, entry] : m_entries) {
    greatest = std::max(greatest, entry.announcement.fence);
  }
  return greatest;
}

MembershipTable::MembershipTable(TimePoint now, HostInfo self, std::mt19937_64* random)
    : m_impl(std::make_unique<Impl>(now, std::move(self), random)) {}
MembershipTable::~MembershipTable() = default;
MembershipTable::MembershipTable(MembershipTable&&) noexcept = default;
MembershipTable& MembershipTable::operator=(MembershipTable&&) noexcept = default;

MembershipOutput MembershipTable::HandlePeer(TimePoint now, const HostInfo& peer) {
  return m_impl->HandlePeer(now, peer);
}
MembershipOutput MembershipTable::HandleGossip(TimePoint now, const std::string& from,
                                               const json& body) {
  return m_impl->HandleGossip(now, from, body);
}
MembershipOutput MembershipTable::HandleAnnouncement(TimePoint now,
                                                     const Announcement& announcement) {
  return m_impl->HandleAnnouncement(now, announcement);
}
MembershipOutput MembershipTable::Heartbeat(TimePoint now) { return m_impl->Heartbeat(now); }
MembershipOutput MembershipTable::Tick(TimePoint now) { return m_impl->Tick(now); }
MembershipOutput MembershipTable::SetLeaving(TimePoint now) { return m_impl->SetLeaving(now); }

void MembershipTable::SetConfigurationRevision(std::uint64_t revision) {
  HostInfo& self = m_impl->m_hosts.at(m_impl->m_name).info;
  if (revision <= self.configuration_revision) return;
  self.configuration_revision = revision;
  m_impl->ChangeSelf();
}
void MembershipTable::SetFence(std::uint64_t fence) {
  HostInfo& self = m_impl->m_hosts.at(m_impl->m_name).info;
  if (fence <= self.fence) return;
  self.fence = fence;
  m_impl->ChangeSelf();
}
void MembershipTable::SetDemand(const std::map<std::string, double>& requests_per_s) {
  m_impl->SetDemand(requests_per_s);
}
const HostInfo& MembershipTable::Self() const { return m_impl->m_hosts.at(m_impl->m_name).info; }
std::vector<HostView> MembershipTable::Hosts() const {
  std::vector<HostView> views;
  for (const auto& [name, entry] : m_impl->m_hosts) views.push_back({entry.info, entry.liveness});
  return views;
}
std::vector<UpstreamView> MembershipTable::Upstreams(TimePoint /*now*/) const {
  return m_impl->Upstreams();
}
std::optional<UpstreamView> MembershipTable::FindUpstream(const std::string& name) const {
  return m_impl->FindUpstream(name);
}
std::uint64_t MembershipTable::UpstreamVersion() const { return m_impl->m_upstream_version; }
std::uint64_t MembershipTable::GreatestRevision() const { return m_impl->GreatestRevision(); }
std::uint64_t MembershipTable::GreatestFence() const { return m_impl->GreatestFence(); }
std::vector<std::string> MembershipTable::AnnounceTo() const { return m_impl->AnnounceTo(); }
std::uint64_t MembershipTable::MalformedCount() const { return m_impl->m_malformed; }

}  // namespace corneltray
