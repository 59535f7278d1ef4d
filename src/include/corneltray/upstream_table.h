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

// State of an upstream, as exchanged between processes.
struct UpstreamUpdate {
  Announcement announcement;
  bool has_left = false;  // it has departed, or another upstream has replaced it at its address
};

// How a table handled an update.
enum class UpdateResult {
  kNew,        // previously unknown, or a new incarnation
  kChanged,    // a field that routing or placement depends on has changed
  kRefreshed,  // newer, without a relevant change
  kStale,      // older than the record
  kReplaced,   // an upstream that started later holds its address
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

// An upstream without an announcement for this long is used only if no other can take its requests.
// Announcements are sent about once per second.
constexpr std::chrono::milliseconds kSilenceTimeout{4000};
// The same timeout for a suspected upstream; it has then missed one announcement.
constexpr std::chrono::milliseconds kSuspectSilenceTimeout{1500};
// How long a record is kept after its last announcement, so that announcements delayed in transit
// are recognised as stale.
constexpr std::chrono::seconds kRecordRetention{120};

struct UpstreamTableEntry {
  Announcement announcement;
  bool has_left = false;
  TimePoint heard_at{};       // when the latest announcement arrived at this process
  bool is_suspected = false;  // a host got no response, and no announcement has arrived since

  bool IsReady() const { return !has_left && announcement.state == UpstreamState::kReady; }
  // Whether its announcements have not timed out. An upstream that has left sends none.
  bool IsHeard(TimePoint now) const {
    return now - heard_at < (is_suspected ? kSuspectSilenceTimeout : kSilenceTimeout);
  }
  // Whether it is ready and its announcements have not timed out.
  bool IsAlive(TimePoint now) const { return IsReady() && IsHeard(now); }
};

// The latest announcements of all upstreams. Updates may arrive out of order, late and more than
// once. For one name the higher incarnation and then the higher sequence wins, a departure is final
// for its incarnation, and of two upstreams at one address the one that started later wins. Tables
// that have received the same updates hold the same records. Not thread safe.
class UpstreamTable {
 public:
  UpdateResult Apply(TimePoint now, const UpstreamUpdate& update);

  // Marks the current incarnation of an upstream as departed. Returns the update to forward to
  // other processes, or nullopt if the upstream is unknown or `incarnation` is neither 0 nor the
  // current one.
  std::optional<UpstreamUpdate> MarkLeft(TimePoint now, const std::string& name,
                                         std::uint64_t incarnation);

  // Records that an upstream was heard from, at this sequence or a later one. Has no effect and
  // returns false if `incarnation` is not the current one or `sequence` is not newer.
  bool Refresh(TimePoint now, const std::string& name, std::uint64_t incarnation,
               std::uint64_t sequence);

  // Marks an upstream as suspected because a host got no response from it. `sequence` is the last
  // announcement that the host had received.
  void Suspect(TimePoint now, const std::string& name, std::uint64_t incarnation,
               std::uint64_t sequence);

  // Removes records without an announcement for kRecordRetention.
  void Expire(TimePoint now);

  const std::map<std::string, UpstreamTableEntry>& Records() const { return m_records; }
  const UpstreamTableEntry* Find(const std::string& name) const;
  // Returns the record that holds this address, or null.
  const UpstreamTableEntry* FindAddress(const std::string& address) const;
  // Increases when Apply() returns kNew or kChanged, and when a record is marked as departed or
  // removed.
  std::uint64_t Generation() const { return m_generation; }

 private:
  std::map<std::string, UpstreamTableEntry> m_records;  // by name
  std::map<std::string, std::string> m_by_address;  // name of the latest upstream at the address
  std::uint64_t m_generation = 0;
};

}  // namespace corneltray

#endif  // CORNELTRAY_UPSTREAM_TABLE_H_
