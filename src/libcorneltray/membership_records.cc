#include "corneltray/membership_records.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace corneltray {
namespace {

using nlohmann::json;

enum class RecordType { kUpstream, kHost, kSuspicion, kDemand };

constexpr std::size_t kMaxHoldings = 64;
// An upstream whose record is larger is described by fewer holdings, so that a message can carry
// it.
constexpr std::size_t kMaxRecordBytes = 1000;
constexpr std::size_t kMaxDemands = 64;
constexpr std::size_t kMaxQueued = 256;
constexpr std::size_t kUpstreamFields = 18;
constexpr std::size_t kHostFields = 11;

// Bits of the flags field of an upstream record.
constexpr unsigned kServiceBit = 1;
constexpr unsigned kLeavingBit = 2;
constexpr unsigned kGoneBit = 4;
constexpr unsigned kChecksFenceBit = 8;

std::int64_t AgeMs(Duration age) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(age).count() + 1;
}

Duration ReadAge(const json& j) {
  constexpr std::int64_t kMaxAgeMs = 86'400'000;
  return std::chrono::milliseconds(std::clamp<std::int64_t>(j.get<std::int64_t>(), 0, kMaxAgeMs));
}

// Writes the age that a record has when it is sent.
void WriteAge(Duration age, json* record) {
  const auto type = static_cast<RecordType>((*record)[0].get<int>());
  if (type == RecordType::kUpstream) (*record)[13] = AgeMs(age);
  if (type == RecordType::kHost) (*record)[10][2] = AgeMs(age);
}

json Encode(const UpstreamRecord& record) {
  const Announcement& a = record.announcement;
  unsigned flags = 0;
  if (a.kind == UpstreamKind::kService) flags |= kServiceBit;
  if (a.state == UpstreamState::kLeaving) flags |= kLeavingBit;
  if (record.gone) flags |= kGoneBit;
  if (a.checks_fence) flags |= kChecksFenceBit;
  json holdings = json::array();
  std::size_t bytes = 200;  // of the other fields
  for (const Holding& h : a.holdings) {
    bytes += h.key.model.size() + h.key.version.size() + h.key.adapter.size() + 16;
    if (bytes > kMaxRecordBytes) break;
    holdings.push_back(json::array({h.key.model, h.key.version, h.key.adapter, h.first_layer,
                                    h.last_layer, h.state == HoldingState::kReady ? 1 : 0}));
  }
  return json::array({static_cast<int>(RecordType::kUpstream), a.name, a.incarnation,
                      record.version, flags, a.service, a.availability_zone, a.address, a.fence,
                      a.accelerator, a.memory_bytes, static_cast<float>(a.layers_per_s),
                      static_cast<float>(a.link_mbps), AgeMs(record.age), a.load.running,
                      a.load.waiting, static_cast<int>(std::lround(a.load.kv_used * 100)),
                      holdings});
}

json Encode(const HostRecord& record) {
  const HostInfo& h = record.info;
  return json::array({static_cast<int>(RecordType::kHost), h.name, h.incarnation, record.version,
                      h.state == HostState::kLeaving ? 1 : 0, h.program, h.region,
                      h.availability_zone, h.peer_address, h.http_address,
                      json::array({h.configuration_revision, h.fence, AgeMs(record.age)})});
}

json Encode(const SuspicionRecord& record) {
  return json::array(
      {static_cast<int>(RecordType::kSuspicion), record.host, record.incarnation, record.reporter});
}

json Encode(const DemandRecord& record) {
  json demand = json::array();
  for (const auto& [customer, rate] : record.demand) {
    demand.push_back(customer);
    demand.push_back(static_cast<float>(rate));
  }
  return json::array(
      {static_cast<int>(RecordType::kDemand), record.host, record.version, std::move(demand)});
}

// The readers throw json::exception on a wrong type; DecodeRecord turns that into no value.
MembershipRecord DecodeUpstream(const json& j) {
  UpstreamRecord record;
  Announcement& a = record.announcement;
  a.name = j.at(1).get<std::string>();
  a.incarnation = j.at(2).get<std::uint64_t>();
  record.version = j.at(3).get<std::uint64_t>();
  const auto flags = j.at(4).get<unsigned>();
  a.kind = (flags & kServiceBit) != 0 ? UpstreamKind::kService : UpstreamKind::kEngine;
  a.state = (flags & kLeavingBit) != 0 ? UpstreamState::kLeaving : UpstreamState::kReady;
  record.gone = (flags & kGoneBit) != 0;
  a.checks_fence = (flags & kChecksFenceBit) != 0;
  a.service = j.at(5).get<std::string>();
  a.availability_zone = j.at(6).get<std::string>();
  a.address = j.at(7).get<std::string>();
  a.fence = j.at(8).get<std::uint64_t>();
  a.accelerator = j.at(9).get<std::string>();
  a.memory_bytes = j.at(10).get<std::uint64_t>();
  a.layers_per_s = j.at(11).get<double>();
  a.link_mbps = j.at(12).get<double>();
  record.age = ReadAge(j.at(13));
  a.load.running = j.at(14).get<std::uint32_t>();
  a.load.waiting = j.at(15).get<std::uint32_t>();
  a.load.kv_used = j.at(16).get<int>() / 100.0;
  for (const json& item : j.at(17)) {
    if (a.holdings.size() >= kMaxHoldings) break;
    Holding h;
    h.key = {item.at(0).get<std::string>(), item.at(1).get<std::string>(),
             item.at(2).get<std::string>()};
    h.first_layer = item.at(3).get<std::uint32_t>();
    h.last_layer = item.at(4).get<std::uint32_t>();
    h.state = item.at(5).get<int>() != 0 ? HoldingState::kReady : HoldingState::kLoading;
    a.holdings.push_back(std::move(h));
  }
  return record;
}

MembershipRecord DecodeHost(const json& j) {
  HostRecord record;
  HostInfo& h = record.info;
  h.name = j.at(1).get<std::string>();
  h.incarnation = j.at(2).get<std::uint64_t>();
  record.version = j.at(3).get<std::uint64_t>();
  h.state = j.at(4).get<int>() != 0 ? HostState::kLeaving : HostState::kAlive;
  h.program = j.at(5).get<std::string>();
  h.region = j.at(6).get<std::string>();
  h.availability_zone = j.at(7).get<std::string>();
  h.peer_address = j.at(8).get<std::string>();
  h.http_address = j.at(9).get<std::string>();
  h.configuration_revision = j.at(10).at(0).get<std::uint64_t>();
  h.fence = j.at(10).at(1).get<std::uint64_t>();
  record.age = ReadAge(j.at(10).at(2));
  return record;
}

MembershipRecord DecodeSuspicion(const json& j) {
  return SuspicionRecord{j.at(1).get<std::string>(), j.at(2).get<std::uint64_t>(),
                         j.at(3).get<std::string>()};
}

MembershipRecord DecodeDemand(const json& j) {
  DemandRecord record{j.at(1).get<std::string>(), j.at(2).get<std::uint64_t>(), {}};
  const json& list = j.at(3);
  for (std::size_t i = 0; i + 1 < list.size() && record.demand.size() < kMaxDemands; i += 2) {
    const double rate = list.at(i + 1).get<double>();
    if (std::isfinite(rate) && rate >= 0.0) record.demand[list.at(i).get<std::string>()] = rate;
  }
  return record;
}

bool SameHoldings(const std::vector<Holding>& a, const std::vector<Holding>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const Holding& x, const Holding& y) {
    return x.key == y.key && x.first_layer == y.first_layer && x.last_layer == y.last_layer &&
           x.state == y.state;
  });
}

// Measured values differ a little in each announcement; only a difference over 10% is a change.
bool Near(double a, double b) {
  return std::abs(a - b) <= 0.1 * std::max(std::abs(a), std::abs(b));
}

}  // namespace

json EncodeRecord(const MembershipRecord& record) {
  return std::visit([](const auto& value) { return Encode(value); }, record);
}

std::optional<MembershipRecord> DecodeRecord(const json& j) {
  if (!j.is_array() || j.size() < 4 || !j[0].is_number_integer()) return std::nullopt;
  try {
    switch (static_cast<RecordType>(j[0].get<int>())) {
      case RecordType::kUpstream:
        if (j.size() != kUpstreamFields) return std::nullopt;
        return DecodeUpstream(j);
      case RecordType::kHost:
        if (j.size() != kHostFields) return std::nullopt;
        return DecodeHost(j);
      case RecordType::kSuspicion:
        return DecodeSuspicion(j);
      case RecordType::kDemand:
        return DecodeDemand(j);
    }
  } catch (const json::exception&) {
    return std::nullopt;
  }
  return std::nullopt;
}

bool SameDescription(const Announcement& a, const Announcement& b) {
  return a.kind == b.kind && a.service == b.service && a.name == b.name &&
         a.incarnation == b.incarnation && a.availability_zone == b.availability_zone &&
         a.address == b.address && a.state == b.state && a.checks_fence == b.checks_fence &&
         a.fence == b.fence && a.accelerator == b.accelerator && a.memory_bytes == b.memory_bytes &&
         Near(a.layers_per_s, b.layers_per_s) && Near(a.link_mbps, b.link_mbps) &&
         SameHoldings(a.holdings, b.holdings);
}

BroadcastQueue::BroadcastQueue() = default;
BroadcastQueue::~BroadcastQueue() = default;

void BroadcastQueue::Put(const std::string& key, Urgency urgency, bool to_other_zones,
                         std::uint32_t sends, const MembershipRecord& record, TimePoint heard_at) {
  m_items.erase(std::remove_if(m_items.begin(), m_items.end(),
                               [&](const Item& item) { return item.key == key; }),
                m_items.end());
  Item item{key, urgency, to_other_zones, sends, EncodeRecord(record), 0};
  item.heard_at = heard_at;
  item.bytes = json::to_cbor(item.record).size() + 4;  // the age may grow
  if (m_items.size() >= kMaxQueued) {
    // The least urgent goes. Processes that miss it find that by checksum.
    m_items.erase(
        std::max_element(m_items.begin(), m_items.end(),
                         [](const Item& a, const Item& b) { return a.urgency < b.urgency; }));
  }
  m_items.push_back(std::move(item));
}

json BroadcastQueue::Take(TimePoint now, std::size_t bytes, std::size_t demand_bytes,
                          bool other_zone) {
  std::stable_sort(m_items.begin(), m_items.end(), [](const Item& a, const Item& b) {
    if (a.urgency != b.urgency) return a.urgency < b.urgency;
    return a.sends_left > b.sends_left;
  });
  json taken = json::array();
  for (Item& item : m_items) {
    if (other_zone && !item.to_other_zones) continue;
    const bool demand = item.urgency == Urgency::kDemand;
    if (item.bytes > bytes || (demand && item.bytes > demand_bytes)) continue;
    bytes -= item.bytes;
    if (demand) demand_bytes -= item.bytes;
    WriteAge(now - item.heard_at, &item.record);
    taken.push_back(item.record);
    --item.sends_left;
  }
  m_items.erase(std::remove_if(m_items.begin(), m_items.end(),
                               [](const Item& item) { return item.sends_left == 0; }),
                m_items.end());
  return taken;
}

}  // namespace corneltray
