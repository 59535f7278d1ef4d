#ifndef CORNELTRAY_UPSTREAM_TABLE_H_
#define CORNELTRAY_UPSTREAM_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "corneltray/enum_names.h"
#include "corneltray/time.h"
#include "corneltray/upstream.h"

namespace corneltray {

// One fact about an upstream, as processes pass it on to each other.
struct UpstreamUpdate {
  Announcement announcement;
  bool has_left = false;  // it said that it leaves for good, or was replaced at its address
};

// What a table did with an update.
enum class UpdateResult {
  kNew,        // unknown before, or a new incarnation
  kChanged,    // something that routing or placement depends on is different
  kRefreshed,  // only newer
  kStale,      // older than what is known
  kReplaced,   // a later upstream has its address
};

template <>
struct EnumNames<UpdateResult> {
  static constexpr EnumName<UpdateResult> kTable[] = {
      {UpdateResult::kNew, "new"},
      {UpdateResult::kChanged, "changed"},
      {UpdateResult::kRefreshed, "refreshed"},
      {UpdateResult::kStale, "stale"},
      {UpdateResult::kReplaced, "replaced"},
  };
};

// A silent upstream is avoided while others can do its work, because its announcements come every
// second or so.
constexpr std::chrono::milliseconds kSilenceTimeout{4000};
// A suspected upstream that has missed an announcement is taken for lost.
constexpr std::chrono::milliseconds kSuspectSilenceTimeout{1500};
// Records are kept this long after the last announcement, so that an announcement which was delayed
// on its way is seen to be old.
constexpr std::chrono::seconds kRecordRetention{120};

struct UpstreamRecord {
  Announcement announcement;
  bool has_left = false;
  TimePoint heard_at{};       // when the newest announcement arrived here
  bool is_suspected = false;  // a host got no answer, and no announcement has come since

  bool IsReady() const { return !has_left && announcement.state == UpstreamState::kReady; }
  // Whether it is ready and not taken for lost.
  bool IsAlive(TimePoint now) const {
    return IsReady() && now - heard_at < (is_suspected ? kSuspectSilenceTimeout : kSilenceTimeout);
  }
};

// What upstreams have said about themselves. Updates may arrive in any order, late and more than
// once: for one name the higher incarnation and then the higher sequence wins, a departure is
// final for its incarnation, and of two upstreams at one address the one that started later wins.
// Tables that have seen the same updates hold the same records. Not thread safe.
class UpstreamTable {
 public:
  UpdateResult Apply(TimePoint now, const UpstreamUpdate& update);

  // Marks the present incarnation of an upstream as gone. Returns the update to pass on, or nothing
  // if it is unknown, or if `incarnation` is given and is not the present one.
  std::optional<UpstreamUpdate> MarkLeft(TimePoint now, const std::string& name,
                                         std::uint64_t incarnation);

  // An upstream was heard from again, at this sequence or a later one.
  void Refresh(TimePoint now, const std::string& name, std::uint64_t incarnation,
               std::uint64_t sequence);

  // A host got no answer from an upstream whose last announcement there was `sequence`.
  void Suspect(TimePoint now, const std::string& name, std::uint64_t incarnation,
               std::uint64_t sequence);

  // Drops what was not heard for kRecordRetention.
  void Expire(TimePoint now);

  const std::map<std::string, UpstreamRecord>& Records() const { return m_records; }
  const UpstreamRecord* Find(const std::string& name) const;
  // Returns the record that holds this address, or null.
  const UpstreamRecord* FindAddress(const std::string& address) const;
  // Grows with each verdict of kNew, kChanged or kReplaced.
  std::uint64_t Generation() const { return m_generation; }

 private:
  std::map<std::string, UpstreamRecord> m_records;  // by name
  std::map<std::string, std::string> m_by_address;  // name of the latest upstream there
  std::uint64_t m_generation = 0;
};

}  // namespace corneltray

#endif  // CORNELTRAY_UPSTREAM_TABLE_H_
