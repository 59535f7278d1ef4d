#include <xxhash.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

#include "membership_impl.h"

namespace corneltray {
namespace {

// Ten years; a greater time since the start of a sender is malformed.
constexpr std::int64_t kMaxUptimeMs = std::int64_t{10} * 365 * 24 * 3600 * 1000;

using nlohmann::json;
using Urgency = BroadcastQueue::Urgency;

constexpr std::size_t kKeyBytes = 8;       // of one member in a pull
constexpr std::size_t kShortKeyBytes = 4;  // of one member in a full list
constexpr std::size_t kMaxPullMembers = 120;
constexpr std::size_t kReplyHeaderBytes = 80;
constexpr std::chrono::milliseconds kNewsSlack{500};
// Group name of the hosts in a pull; no availability zone has an empty name.
constexpr char kHostsGroup[] = "";

std::string Text(const json& binary) {
  const auto& bytes = binary.get_binary();
  return std::string(bytes.begin(), bytes.end());
}

void AppendUint32(std::uint64_t value, std::string* out) {
  for (int i = 0; i < 4; ++i) out->push_back(static_cast<char>((value >> (8 * i)) & 0xff));
}

std::string ShortKey(const std::string& name) {
  std::string out;
  AppendUint32(XXH64(name.data(), name.size(), 2), &out);
  return out;
}

std::string MemberKey(const FreshnessGroup::Member& member) {
  const std::uint64_t parts[] = {member.incarnation, member.version, member.leaving ? 1U : 0U};
  std::string out = ShortKey(member.name);
  AppendUint32(XXH64(parts, sizeof(parts), 0), &out);
  return out;
}

std::unordered_set<std::string> SplitKeys(const std::string& text, std::size_t size) {
  std::unordered_set<std::string> keys;
  for (std::size_t at = 0; at + size <= text.size(); at += size) keys.insert(text.substr(at, size));
  return keys;
}

}  // namespace

MembershipOutput MembershipTable::Impl::HandleGossip(TimePoint now, const std::string& from,
                                                     const json& body) {
  MembershipOutput out;
  if (from == m_name) return out;
  try {
    const auto incarnation = body.at("i").get<std::uint64_t>();
    if (m_hosts.count(from) == 0 || m_hosts.at(from).info.incarnation < incarnation) {
      HostInfo info;
      if (m_hosts.count(from) != 0) info = m_hosts.at(from).info;
      info.name = from;
      info.incarnation = incarnation;
      info.state = HostState::kAlive;
      m_forgotten_hosts.erase(from);
      AddHost(info, 0, now, &out);
    }
    if (m_hosts.at(from).info.incarnation > incarnation) return out;
    Duration delay{};
    if (!CountMessage(now, &m_hosts.at(from), body, &delay)) return out;
    m_host_group.Refresh(from, now - delay);
    RefreshHost(now, from, &out);
    m_is_pulled = body.contains("a");
    for (const json& item : body.value("d", json::array())) {
      const auto record = DecodeRecord(item);
      if (!record) {
        ++m_malformed;
        continue;
      }
      std::visit([&](const auto& value) { Apply(now, value, &out); }, *record);
    }
    m_is_pulled = false;
    MergeMarks(now, from, body, delay, &out);
    if (body.contains("p")) {
      AnswerAll(now, from, body["p"], &out);
    }
    for (const json& full : body.value("f", json::array())) ApplyFullList(now, full, &out);
    if (body.contains("j")) out.messages.push_back(MakeHeartbeat(now, from));
  } catch (const json::exception&) {
    m_is_pulled = false;
    ++m_malformed;
  }
  return out;
}

// Returns false for a message that was taken in before, or whose time is malformed. Sets `delay` to
// the time that this message was on its way beyond the fastest message of the sender.
bool MembershipTable::Impl::CountMessage(TimePoint now, HostEntry* sender, const json& body,
                                         Duration* delay) {
  const auto counter = body.at("n").get<std::uint64_t>();
  const json& uptime = body.at("t");
  if (!uptime.is_number_integer() || uptime < 0 || uptime > kMaxUptimeMs) {
    ++m_malformed;
    return false;
  }
  const std::int64_t offset = Millis(now - m_started_at) - uptime.get<std::int64_t>();
  if (counter == sender->last_counter) return false;
  sender->last_counter = std::max(counter, sender->last_counter);
  if (!sender->has_offset || offset < sender->least_offset_ms) {
    sender->has_offset = true;
    sender->least_offset_ms = offset;
  }
  *delay = std::chrono::milliseconds(offset - sender->least_offset_ms);
  // Follows clocks that drift apart by up to 1 ms for each message.
  ++sender->least_offset_ms;
  return true;
}

void MembershipTable::Impl::MergeMarks(TimePoint now, const std::string& from, const json& body,
                                       Duration delay, MembershipOutput* out) {
  if (body.contains("h")) {
    FreshnessGroup::MergeResult result;
    if (!m_host_group.Merge(now, Text(body["h"]), delay, &result)) ++m_malformed;
    for (const std::string& name : result.refreshed) RefreshHost(now, name, out);
    Pull(now, from, kHostsGroup, m_host_group, std::move(result.mismatched), out);
  }
  if (body.contains("u") && InOwnZone(m_hosts.at(from).info)) {
    const std::string& zone = Self().info.availability_zone;
    FreshnessGroup& group = UpstreamGroup(zone);
    FreshnessGroup::MergeResult result;
    if (!group.Merge(now, Text(body["u"]), delay, &result)) ++m_malformed;
    for (const std::string& name : result.refreshed) RefreshUpstream(now, name, out);
    Pull(now, from, zone, group, std::move(result.mismatched), out);
  }
  if (body.contains("c")) {
    const auto zone = body["c"].at(0).get<std::string>();
    if (zone == Self().info.availability_zone || zone.empty()) return;
    FreshnessGroup& group = UpstreamGroup(zone);
    std::vector<std::size_t> mismatched;
    if (!group.Compare(Text(body["c"].at(1)), &mismatched)) ++m_malformed;
    Pull(now, from, zone, group, std::move(mismatched), out);
  }
}

// Asks the sender for the records of buckets that differ, within the allowance of this heartbeat.
void MembershipTable::Impl::Pull(TimePoint now, const std::string& from,
                                 const std::string& group_name, const FreshnessGroup& group,
                                 std::vector<std::size_t> buckets, MembershipOutput* out) {
  const bool other_zone = group_name != kHostsGroup && group_name != Self().info.availability_zone;
  std::shuffle(buckets.begin(), buckets.end(), *m_random);
  std::size_t* left = other_zone ? &m_other_pulls_left : &m_pulls_left;
  json pulls = json::array();
  std::size_t used = kReplyHeaderBytes;
  const auto send = [&] {
    if (pulls.empty() || *left == 0) return;
    --*left;
    json body = Header(now);
    body["p"] = std::move(pulls);
    pulls = json::array();
    used = kReplyHeaderBytes;
    out->messages.push_back({from, std::move(body)});
  };
  for (const std::size_t bucket : buckets) {
    std::string have;
    for (const FreshnessGroup::Member& member : group.MembersOf(bucket)) {
      if (have.size() >= kMaxPullMembers * kKeyBytes) break;
      have += MemberKey(member);
    }
    json pull = json::array({group_name, bucket, Binary(have)});
    const std::size_t bytes = json::to_cbor(pull).size();
    if (used + bytes > kMaxGossipBytes) send();
    used += bytes;
    pulls.push_back(std::move(pull));
  }
  send();
}

// Collects what answers a pull into messages that keep the size limit.
struct MembershipTable::Impl::AnswerMessages {
  // Adds an item to the list under a key.
  void Add(const char* key, json item) {
    const std::size_t bytes = json::to_cbor(item).size();
    if (bodies.empty() || used + bytes > kMaxGossipBytes) {
      bodies.push_back({{"a", 1}});
      used = kReplyHeaderBytes;
    }
    used += bytes;
    json& list = bodies.back()[key];
    if (list.is_null()) list = json::array();
    list.push_back(std::move(item));
  }

  std::vector<json> bodies;
  std::size_t used = 0;
};

void MembershipTable::Impl::AnswerAll(TimePoint now, const std::string& from, const json& pulls,
                                      MembershipOutput* out) {
  AnswerMessages messages;
  for (const json& pull : pulls) Answer(now, from, pull, &messages);
  for (json& body : messages.bodies) {
    if (m_answers_left == 0) return;
    --m_answers_left;
    body.update(Header(now));
    out->messages.push_back({from, std::move(body)});
  }
}

void MembershipTable::Impl::Answer(TimePoint now, const std::string& from, const json& pull,
                                   AnswerMessages* messages) {
  const auto group_name = pull.at(0).get<std::string>();
  const auto bucket = pull.at(1).get<std::size_t>();
  const auto have = SplitKeys(Text(pull.at(2)), kKeyBytes);
  const bool hosts = group_name == kHostsGroup;
  // Only a process of the zone itself can say what the zone has.
  if (!hosts && group_name != Self().info.availability_zone) return;
  const FreshnessGroup& group = hosts ? m_host_group : UpstreamGroup(group_name);
  if (bucket >= group.BucketCount()) return;
  std::string names;
  for (const FreshnessGroup::Member& member : group.MembersOf(bucket)) {
    names += ShortKey(member.name);
    if (have.count(MemberKey(member)) != 0) continue;
    const Duration age = now - member.heard_at;
    if (hosts) {
      const HostEntry& entry = m_hosts.at(member.name);
      messages->Add("d", EncodeRecord(HostRecord{entry.info, entry.version, age}));
    } else {
      const UpstreamEntry& entry = m_entries.at(member.name);
      messages->Add("d",
                    EncodeRecord(UpstreamRecord{entry.announcement, entry.version, false, age}));
    }
  }
  const auto sender = m_hosts.find(from);
  if (!hosts && sender != m_hosts.end() && !InOwnZone(sender->second.info)) {
    messages->Add("f", json::array({group_name, bucket, Binary(names)}));
  }
}

// Drops upstreams of another zone that the zone's own process no longer has. One that was heard
// from lately may not have reached that process yet: it would have dropped only one that was silent
// for kUpstreamRemoveAfter.
void MembershipTable::Impl::ApplyFullList(TimePoint now, const json& full, MembershipOutput* out) {
  const auto zone = full.at(0).get<std::string>();
  const auto bucket = full.at(1).get<std::size_t>();
  if (zone == Self().info.availability_zone || zone.empty()) return;
  FreshnessGroup& group = UpstreamGroup(zone);
  if (bucket >= group.BucketCount()) return;
  const auto names = SplitKeys(Text(full.at(2)), kShortKeyBytes);
  std::vector<std::string> gone;
  for (const FreshnessGroup::Member& member : group.MembersOf(bucket)) {
    const bool is_recent = now - member.heard_at < kUpstreamRemoveAfter - kNewsSlack;
    if (names.count(ShortKey(member.name)) == 0 && !is_recent) gone.push_back(member.name);
  }
  for (const std::string& name : gone) Remove(now, name, out);
}

void MembershipTable::Impl::AddHost(const HostInfo& info, std::uint64_t version, TimePoint heard_at,
                                    MembershipOutput* out) {
  HostEntry entry;
  entry.info = info;
  entry.version = version;
  const bool known = m_hosts.count(info.name) != 0;
  m_hosts[info.name] = std::move(entry);
  PutHostMember(m_hosts.at(info.name), heard_at);
  out->events.push_back(
      {known ? MembershipEventType::kHostChanged : MembershipEventType::kHostJoined, info.name,
       info.incarnation});
}

void MembershipTable::Impl::RefreshHost(TimePoint now, const std::string& name,
                                        MembershipOutput* out) {
  HostEntry& entry = m_hosts.at(name);
  if (entry.liveness == HostLiveness::kAlive) return;
  // Later news that is itself too old does not end a suspicion, nor drop the reports behind it.
  if (now - m_host_group.Find(name)->heard_at >= kHostSuspectAfter) return;
  entry.reporters.clear();
  entry.liveness = HostLiveness::kAlive;
  out->events.push_back({MembershipEventType::kHostAlive, name, entry.info.incarnation});
}

void MembershipTable::Impl::RefreshUpstream(TimePoint now, const std::string& name,
                                            MembershipOutput* out) {
  UpstreamEntry& entry = m_entries.at(name);
  if (entry.status != UpstreamStatus::kSuspect) return;
  const FreshnessGroup& group = UpstreamGroup(entry.announcement.availability_zone);
  if (now - group.Find(name)->heard_at >= kUpstreamSuspectAfter) return;
  SetStatus(&entry, UpstreamStatus::kReady, out);
}

void MembershipTable::Impl::Apply(TimePoint now, const HostRecord& record, MembershipOutput* out) {
  const HostInfo& info = record.info;
  if (info.name == m_name) {
    // Another life of this process with a later start time: the clock was set back since then.
    if (info.incarnation > Self().info.incarnation) {
      Self().info.incarnation = info.incarnation + 1;
      ChangeSelf();
    }
    return;
  }
  const auto it = m_hosts.find(info.name);
  if (it == m_hosts.end()) {
    if (info.name.empty() || m_forgotten_hosts.count(info.name) != 0) return;
    AddHost(info, record.version, now - record.age, out);
  } else {
    HostEntry& known = it->second;
    const bool newer =
        info.incarnation > known.info.incarnation ||
        (info.incarnation == known.info.incarnation && record.version > known.version);
    if (!newer) return;
    const bool restarted = info.incarnation > known.info.incarnation;
    const bool was_leaving = known.info.state == HostState::kLeaving && !restarted;
    if (restarted) {
      AddHost(info, record.version, now - record.age, out);
    } else {
      std::map<std::string, double> demand = std::move(known.info.demand);
      known.info = info;
      known.info.demand = std::move(demand);
      known.version = record.version;
      if (was_leaving) known.info.state = HostState::kLeaving;
      PutHostMember(known, now - record.age);
      out->events.push_back({MembershipEventType::kHostChanged, info.name, info.incarnation});
    }
    if (info.state == HostState::kLeaving && !was_leaving) {
      out->events.push_back({MembershipEventType::kHostLeaving, info.name, info.incarnation});
      SpreadNow(now, record, false, out);
    }
  }
  QueueHost(m_hosts.at(info.name));
}

void MembershipTable::Impl::Apply(TimePoint now, const SuspicionRecord& record,
                                  MembershipOutput* /*out*/) {
  const auto it = m_hosts.find(record.host);
  if (it == m_hosts.end() || record.host == m_name || record.reporter == m_name) return;
  HostEntry& entry = it->second;
  if (entry.info.incarnation != record.incarnation) return;
  if (!entry.reporters.emplace(record.reporter, now).second || entry.reporters.size() > 2) return;
  m_queue.Put("s/" + record.host + "/" + record.reporter, Urgency::kSuspicion, true,
              Sends(Urgency::kSuspicion), record, {});
}

void MembershipTable::Impl::Apply(TimePoint /*now*/, const DemandRecord& record,
                                  MembershipOutput* /*out*/) {
  const auto it = m_hosts.find(record.host);
  if (it == m_hosts.end() || record.host == m_name) return;
  if (record.version <= it->second.demand_version) return;
  it->second.demand_version = record.version;
  it->second.info.demand = record.demand;
  m_queue.Put("d/" + record.host, Urgency::kDemand, false, Sends(Urgency::kDemand), record, {});
}

void MembershipTable::Impl::Apply(TimePoint now, const UpstreamRecord& record,
                                  MembershipOutput* out) {
  const Announcement& a = record.announcement;
  const bool own_zone = a.availability_zone == Self().info.availability_zone;
  if (a.name.empty() || a.availability_zone.empty()) return;
  const TimePoint heard_at = now - record.age;
  const auto it = m_entries.find(a.name);
  if (record.gone) {
    if (it == m_entries.end()) return;
    const Announcement& known = it->second.announcement;
    const TimePoint known_at = UpstreamGroup(known.availability_zone).Find(a.name)->heard_at;
    // Within the zone a process removes by its own evidence, but follows the first one that did:
    // until all have, their buckets differ and no ages can be read.
    const bool newer = own_zone ? heard_at + kNewsSlack >= known_at &&
                                      now - known_at >= kUpstreamRemoveAfter - kNewsSlack
                                : heard_at >= known_at;
    if (a.incarnation < known.incarnation || (a.incarnation == known.incarnation && !newer)) return;
    Remove(now, a.name, out);
    m_tombstones[a.name].heard_at = heard_at;
    m_queue.Put("u/" + a.name, Urgency::kState, true, Sends(Urgency::kState), record, heard_at);
    return;
  }
  const auto tombstone = m_tombstones.find(a.name);
  if (tombstone != m_tombstones.end()) {
    const Tombstone& t = tombstone->second;
    const bool same = a.incarnation == t.incarnation;
    const bool leaving = a.state == UpstreamState::kLeaving;
    // Ages on the way here differ by the delay of the messages.
    const bool no_news = heard_at <= t.heard_at + kNewsSlack;
    if (a.incarnation < t.incarnation || (same && no_news) || (same && t.leaving && !leaving)) {
      return;
    }
  }
  if (own_zone && it == m_entries.end() && record.age >= kUpstreamRemoveAfter) return;
  if (it != m_entries.end()) {
    UpstreamEntry& known = it->second;
    if (a.incarnation < known.announcement.incarnation) return;
    if (a.incarnation == known.announcement.incarnation) {
      const bool starts_leaving =
          a.state == UpstreamState::kLeaving && known.announcement.state == UpstreamState::kReady;
      if (record.version <= known.version && !starts_leaving) return;
      // This process has heard a later announcement itself, so what it knows is newer.
      if (record.version <= known.direct_sequence && !starts_leaving) {
        if (SameDescription(a, known.announcement)) {
          known.version = record.version;
        } else {
          known.version = known.direct_sequence;
          QueueUpstream(known);
        }
        PutUpstreamMember(known, heard_at);
        return;
      }
    }
  }
  Store(now, a, record.version, heard_at, false, out);
}

// Takes in an announcement that is newer than what is known, or that says that a known incarnation
// is leaving. `version` is the sequence at which its description last changed, as far as the sender
// knows.
void MembershipTable::Impl::Store(TimePoint now, const Announcement& announcement,
                                  std::uint64_t version, TimePoint heard_at, bool direct,
                                  MembershipOutput* out) {
  const auto it = m_entries.find(announcement.name);
  const bool known = it != m_entries.end();
  const bool same_life = known && it->second.announcement.incarnation == announcement.incarnation;
  // An upstream that moved to another zone leaves the group of its former zone.
  if (known && it->second.announcement.availability_zone != announcement.availability_zone) {
    UpstreamGroup(it->second.announcement.availability_zone).Remove(announcement.name);
  }
  UpstreamEntry& entry = m_entries[announcement.name];
  const bool was_leaving = same_life && entry.announcement.state == UpstreamState::kLeaving;
  Announcement stored = announcement;
  if (was_leaving) stored.state = UpstreamState::kLeaving;
  const bool described = same_life && SameDescription(stored, entry.announcement);
  if (same_life && !direct) {
    stored.load = entry.announcement.load;
  }
  if (!same_life) entry = UpstreamEntry{};
  entry.announcement = std::move(stored);
  entry.zone_silent_since = now;
  if (direct) entry.direct_sequence = announcement.sequence;
  const bool changed = !described || !known;
  if (changed || !direct) entry.version = std::max(version, same_life ? entry.version : 0);
  const bool leaving = entry.announcement.state == UpstreamState::kLeaving;
  PutUpstreamMember(entry, heard_at);
  m_tombstones.erase(announcement.name);
  if (!known || !same_life) {
    ++m_upstream_version;
    out->events.push_back(
        {MembershipEventType::kUpstreamAdded, announcement.name, announcement.incarnation});
  } else if (changed) {
    ++m_upstream_version;
    out->events.push_back(
        {MembershipEventType::kUpstreamChanged, announcement.name, announcement.incarnation});
  }
  if (leaving) {
    SetStatus(&entry, UpstreamStatus::kLeaving, out);
  } else if (direct) {
    RefreshUpstream(now, announcement.name, out);
  }
  if (!changed) return;
  QueueUpstream(entry);
  if (leaving && !was_leaving) {
    SpreadNow(now, UpstreamRecord{entry.announcement, entry.version, false, now - heard_at}, direct,
              out);
  }
}

}  // namespace corneltray
