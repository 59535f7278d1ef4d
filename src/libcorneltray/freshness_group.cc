#include "corneltray/freshness_group.h"

#include <xxhash.h>

#include <algorithm>

#include "corneltray/membership.h"

namespace corneltray {
namespace {

constexpr std::uint32_t kChecksumMask = 0xffffff;  // 3 bytes on the wire
constexpr std::size_t kChecksumBytes = 3;
constexpr std::size_t kMaxBucketMembers = 255;  // the count is one byte
constexpr std::int64_t kUnknownAge = 15;        // also the mask of a mark
// A bucket on which no peer agreed for this long is out of step.
constexpr std::chrono::milliseconds kOutOfStepAfter{1500};
constexpr std::chrono::seconds kMaxHold{30};
// For this long after a peer agreed on a bucket, silence of its members counts.
constexpr std::chrono::milliseconds kAgreementLasts{500};
// Without agreement for this long, members become suspect, but are not removed.
constexpr std::chrono::seconds kNoAgreementFor{4};
constexpr Duration kHeldSilence = kUpstreamRemoveAfter - std::chrono::milliseconds(1);

void AppendChecksum(std::uint32_t checksum, std::string* out) {
  for (std::size_t i = 0; i < kChecksumBytes; ++i) {
    out->push_back(static_cast<char>((checksum >> (8 * i)) & 0xff));
  }
}

std::uint32_t ReadChecksum(const std::string& text, std::size_t at) {
  std::uint32_t checksum = 0;
  for (std::size_t i = 0; i < kChecksumBytes; ++i) {
    checksum |= static_cast<std::uint32_t>(static_cast<unsigned char>(text[at + i])) << (8 * i);
  }
  return checksum;
}

auto LowerBound(const std::vector<FreshnessGroup::Member>& members, const std::string& name) {
  return std::lower_bound(members.begin(), members.end(), name,
                          [](const FreshnessGroup::Member& member, const std::string& text) {
                            return member.name < text;
                          });
}

}  // namespace

FreshnessGroup::FreshnessGroup(std::size_t buckets, Duration step)
    : m_step(step), m_buckets(buckets) {}

std::size_t FreshnessGroup::BucketOf(const std::string& name) const {
  return XXH64(name.data(), name.size(), 1) % m_buckets.size();
}

const std::vector<FreshnessGroup::Member>& FreshnessGroup::MembersOf(std::size_t bucket) const {
  return m_buckets[bucket].members;
}

const FreshnessGroup::Member* FreshnessGroup::Find(const std::string& name) const {
  const auto& members = m_buckets[BucketOf(name)].members;
  const auto it = LowerBound(members, name);
  return it != members.end() && it->name == name ? &*it : nullptr;
}

void FreshnessGroup::Put(const Member& member) {
  Bucket& bucket = m_buckets[BucketOf(member.name)];
  const auto at = LowerBound(bucket.members, member.name) - bucket.members.cbegin();
  const auto it = bucket.members.begin() + at;
  if (it != bucket.members.end() && it->name == member.name) {
    *it = member;
  } else {
    bucket.members.insert(it, member);
  }
  UpdateChecksums(&bucket);
}

void FreshnessGroup::Remove(const std::string& name) {
  Bucket& bucket = m_buckets[BucketOf(name)];
  const auto it = LowerBound(bucket.members, name);
  if (it == bucket.members.end() || it->name != name) return;
  bucket.members.erase(it);
  UpdateChecksums(&bucket);
}

bool FreshnessGroup::Refresh(const std::string& name, TimePoint heard_at) {
  Bucket& bucket = m_buckets[BucketOf(name)];
  const auto at = LowerBound(bucket.members, name) - bucket.members.cbegin();
  const auto it = bucket.members.begin() + at;
  if (it == bucket.members.end() || it->name != name || heard_at <= it->heard_at) return false;
  it->heard_at = heard_at;
  return true;
}

void FreshnessGroup::UpdateChecksums(Bucket* bucket) {
  bucket->names = 0;
  bucket->contents = 0;
  for (const Member& member : bucket->members) {
    const std::uint64_t name = XXH64(member.name.data(), member.name.size(), member.incarnation);
    const std::uint64_t parts[] = {name, member.version, member.leaving ? 1U : 0U};
    bucket->names = (bucket->names + static_cast<std::uint32_t>(name)) & kChecksumMask;
    bucket->contents =
        (bucket->contents + static_cast<std::uint32_t>(XXH64(parts, sizeof(parts), 0))) &
        kChecksumMask;
  }
}

std::string FreshnessGroup::EncodeMarks(TimePoint now) const {
  std::string out;
  const auto age = [&](const Member& member) {
    const auto steps = (now - member.heard_at + m_step - Duration(1)) / m_step;
    return static_cast<unsigned>(std::clamp<std::int64_t>(steps, 0, kUnknownAge));
  };
  for (const Bucket& bucket : m_buckets) {
    const std::size_t count = std::min(bucket.members.size(), kMaxBucketMembers);
    out.push_back(static_cast<char>(count));
    AppendChecksum(bucket.names, &out);
    AppendChecksum(bucket.contents, &out);
    for (std::size_t i = 0; i < count; i += 2) {
      unsigned pair = age(bucket.members[i]);
      if (i + 1 < count) pair |= age(bucket.members[i + 1]) << 4;
      out.push_back(static_cast<char>(pair));
    }
  }
  return out;
}

std::string FreshnessGroup::EncodeContents() const {
  std::string out;
  for (const Bucket& bucket : m_buckets) AppendChecksum(bucket.contents, &out);
  return out;
}

bool FreshnessGroup::Merge(TimePoint now, const std::string& marks, Duration delay,
                           MergeResult* result) {
  std::size_t at = 0;
  for (std::size_t b = 0; b < m_buckets.size(); ++b) {
    Bucket& bucket = m_buckets[b];
    if (at + 1 + 2 * kChecksumBytes > marks.size()) return false;
    const std::size_t count = static_cast<unsigned char>(marks[at]);
    const std::uint32_t names = ReadChecksum(marks, at + 1);
    const std::uint32_t contents = ReadChecksum(marks, at + 1 + kChecksumBytes);
    at += 1 + 2 * kChecksumBytes;
    const std::size_t first_mark = at;
    at += (count + 1) / 2;
    if (at > marks.size()) return false;
    const bool same_names =
        names == bucket.names && count == std::min(bucket.members.size(), kMaxBucketMembers);
    if (!same_names || contents != bucket.contents) result->mismatched.push_back(b);
    if (!same_names) continue;
    if (now - bucket.matched_at > kOutOfStepAfter) bucket.counts_from = now;
    bucket.matched_at = now;
    for (std::size_t i = 0; i < count; ++i) {
      const auto pair = static_cast<unsigned char>(marks[first_mark + i / 2]);
      const std::int64_t age = (i % 2 == 0 ? pair : pair >> 4) & kUnknownAge;
      if (age == kUnknownAge) continue;
      Member& member = bucket.members[i];
      const TimePoint heard_at = now - delay - age * m_step;
      if (heard_at <= member.heard_at) continue;
      member.heard_at = heard_at;
      result->refreshed.push_back(member.name);
    }
  }
  return at == marks.size();
}

bool FreshnessGroup::Compare(const std::string& contents,
                             std::vector<std::size_t>* mismatched) const {
  if (contents.size() != kChecksumBytes * m_buckets.size()) return false;
  for (std::size_t b = 0; b < m_buckets.size(); ++b) {
    if (ReadChecksum(contents, b * kChecksumBytes) != m_buckets[b].contents) {
      mismatched->push_back(b);
    }
  }
  return true;
}

Duration FreshnessGroup::Silence(TimePoint now, std::size_t bucket, const Member& member,
                                 bool has_peers) const {
  const Duration plain = now - member.heard_at;
  if (!has_peers || plain >= kMaxHold) return plain;
  const Bucket& state = m_buckets[bucket];
  const Duration counted = now - std::max(member.heard_at, state.counts_from);
  const Duration lag = now - state.matched_at - kAgreementLasts;
  if (lag <= Duration::zero()) return counted;
  if (lag <= kNoAgreementFor) return counted - lag;
  return std::min<Duration>(plain, kHeldSilence);
}

}  // namespace corneltray
