#ifndef CORNELTRAY_FRESHNESS_GROUP_H_
#define CORNELTRAY_FRESHNESS_GROUP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "corneltray/time.h"

namespace corneltray {

// Names with the time at which any process last heard from each, in hash buckets. Two processes
// whose buckets hold the same names exchange these times as ages of 4 bits, by position: 1,000
// upstreams cost 500 bytes. Ages are rounded up, so that news grows older with each hop and cannot
// circulate. (Sequences modulo 16 were tried: after a partition, hosts whose values lay around the
// ring refreshed each other for ever.) Each bucket also has a checksum over the record versions, by
// which missing records are found. Not thread safe.
class FreshnessGroup {
 public:
  struct Member {
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;  // of the record
    bool leaving = false;       // part of the content checksum
    TimePoint heard_at{};
  };

  struct MergeResult {
    std::vector<std::size_t> mismatched;  // buckets that differ in names or record versions
    std::vector<std::string> refreshed;   // members heard from later than was known
  };

  // `step` is the unit of the ages, which reach up to 14 steps.
  FreshnessGroup(std::size_t buckets, Duration step);

  std::size_t BucketCount() const { return m_buckets.size(); }
  std::size_t BucketOf(const std::string& name) const;
  const std::vector<Member>& MembersOf(std::size_t bucket) const;

  // The pointer is valid until the next Add or Remove. Null if the name is unknown.
  const Member* Find(const std::string& name) const;
  // Adds a member, or replaces the one with this name.
  void Put(const Member& member);
  void Remove(const std::string& name);
  // Notes that a member was heard from at a time. Returns whether that is later than was known.
  bool Refresh(const std::string& name, TimePoint heard_at);

  // Checksums and ages of all buckets.
  std::string EncodeMarks(TimePoint now) const;
  // Content checksums alone, 3 bytes a bucket.
  std::string EncodeContents() const;

  // Compares with another process's EncodeMarks, which was `delay` on its way, and takes in its
  // ages for the buckets that hold the same names. Returns false on a malformed text.
  bool Merge(TimePoint now, const std::string& marks, Duration delay, MergeResult* result);
  // Compares with another process's EncodeContents. Returns false on a malformed text.
  bool Compare(const std::string& contents, std::vector<std::size_t>* mismatched) const;

  // Returns for how long a member has certainly not been heard from. `has_peers` says whether other
  // processes hear of the members too. Then silence is evidence only up to the last time at which a
  // peer agreed on the names of the bucket; without agreement, as in a partition, the result stays
  // below kUpstreamRemoveAfter for kMaxHold.
  Duration Silence(TimePoint now, std::size_t bucket, const Member& member, bool has_peers) const;

 private:
  struct Bucket {
    std::vector<Member> members;  // sorted by name
    std::uint32_t names = 0;      // checksum over names and incarnations
    std::uint32_t contents = 0;   // checksum over names, versions and states
    TimePoint matched_at{};
    TimePoint counts_from{};
  };

  void UpdateChecksums(Bucket* bucket);

  Duration m_step;
  std::vector<Bucket> m_buckets;
};

}  // namespace corneltray

#endif  // CORNELTRAY_FRESHNESS_GROUP_H_
