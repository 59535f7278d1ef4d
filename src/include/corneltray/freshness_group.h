#ifndef CORNELTRAY_FRESHNESS_GROUP_H_
#define CORNELTRAY_FRESHNESS_GROUP_H_

#include <cstdint>
#include <string>
#include <vector>

#include "corneltray/time.h"

namespace corneltray {

// Names with a sequence that grows while the named process lives, in hash buckets. Two processes
// whose buckets hold the same names exchange liveness as 4 bits a name, by position: 1,000
// upstreams cost 500 bytes. Each bucket also has a checksum over the record versions, by which
// missing records are found. Not thread safe.
class FreshnessGroup {
 public:
  struct Member {
    std::string name;
    std::uint64_t incarnation = 0;
    std::uint64_t version = 0;   // of the record
    bool leaving = false;        // part of the content checksum
    std::uint64_t sequence = 0;  // greatest known; its low 4 bits are the mark
    TimePoint refreshed_at{};    // when a greater sequence last reached this process
  };

  struct MergeResult {
    std::vector<std::size_t> mismatched;  // buckets that differ in names or record versions
    std::vector<std::string> refreshed;   // members with a greater sequence than before
  };

  explicit FreshnessGroup(std::size_t buckets);

  std::size_t BucketCount() const { return m_buckets.size(); }
  std::size_t BucketOf(const std::string& name) const;
  const std::vector<Member>& MembersOf(std::size_t bucket) const;

  // The pointer is valid until the next Add or Remove. Null if the name is unknown.
  const Member* Find(const std::string& name) const;
  // Adds a member, or replaces the one with this name.
  void Put(const Member& member);
  void Remove(const std::string& name);
  // Takes in a sequence heard directly. Returns whether it was greater than the known one.
  bool Refresh(TimePoint now, const std::string& name, std::uint64_t sequence);

  // Checksums and marks of all buckets.
  std::string EncodeMarks() const;
  // Content checksums alone, 3 bytes a bucket.
  std::string EncodeContents() const;

  // Compares with another process's EncodeMarks and, if `use_marks`, takes in its marks for the
  // buckets that hold the same names. Returns false on a malformed text.
  bool Merge(TimePoint now, const std::string& marks, bool use_marks, MergeResult* result);
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

  std::vector<Bucket> m_buckets;
};

}  // namespace corneltray

#endif  // CORNELTRAY_FRESHNESS_GROUP_H_
