#ifndef CORNELTRAY_MEMBERSHIP_RECORDS_H_
#define CORNELTRAY_MEMBERSHIP_RECORDS_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "corneltray/membership.h"
#include "corneltray/upstream.h"

namespace corneltray {

// One upstream as gossip carries it: the described fields without the load.
struct UpstreamRecord {
  Announcement announcement;  // without `sequence`
  std::uint64_t version =
      0;              // sequence of the announcement in which a described field last changed
  bool gone = false;  // removed in its own availability zone
  Duration age{};     // since any process heard from it
};

// One host as gossip carries it, without demand.
struct HostRecord {
  HostInfo info;
  std::uint64_t version = 0;
  Duration age{};  // since any process heard from it
};

// One process's report that it has not heard of a host for too long.
struct SuspicionRecord {
  std::string host;
  std::uint64_t incarnation = 0;
  std::string reporter;
};

// The largest demands at one host.
struct DemandRecord {
  std::string host;
  std::uint64_t version = 0;
  std::map<std::string, double> demand;
};

using MembershipRecord = std::variant<UpstreamRecord, HostRecord, SuspicionRecord, DemandRecord>;

// Converts to and from the compact array form. Decoding returns nothing for a malformed record.
nlohmann::json EncodeRecord(const MembershipRecord& record);
std::optional<MembershipRecord> DecodeRecord(const nlohmann::json& json);

// Returns whether two announcements describe the same upstream apart from load and sequence.
bool SameDescription(const Announcement& a, const Announcement& b);

// Records waiting to be passed on. A record is sent a bounded number of times, the most urgent and
// least often sent first; a newer record of the same name replaces an older one.
class BroadcastQueue {
 public:
  enum class Urgency { kLeaving, kSuspicion, kState, kDemand };

  struct Item {
    std::string key;  // a newer item with the same key replaces this one
    Urgency urgency = Urgency::kState;
    bool to_other_zones = false;
    std::uint32_t sends_left = 0;
    nlohmann::json record;
    std::size_t bytes = 0;
    TimePoint heard_at{};  // from which the age in the record is written when it is sent
  };

  BroadcastQueue();
  ~BroadcastQueue();

  void Put(const std::string& key, Urgency urgency, bool to_other_zones, std::uint32_t sends,
           const MembershipRecord& record, TimePoint heard_at);
  // Returns records of at most `bytes` in total, and counts them as sent. Demand takes at most
  // `demand_bytes`.
  nlohmann::json Take(TimePoint now, std::size_t bytes, std::size_t demand_bytes, bool other_zone);

 private:
  std::vector<Item> m_items;
};

}  // namespace corneltray

#endif  // CORNELTRAY_MEMBERSHIP_RECORDS_H_
