#ifndef CORNELTRAY_UPSTREAM_FEED_H_
#define CORNELTRAY_UPSTREAM_FEED_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corneltray/fleet_messages.h"
#include "corneltray/time.h"

namespace corneltray {

// Changes within this time are sent in one message.
constexpr std::chrono::milliseconds kFeedFlushDelay{20};
// Interval of refreshes to other control processes. Hosts get them at the next
// kHostRefreshInterval, so that an announcement reaches every host well within kSilenceTimeout.
constexpr std::chrono::milliseconds kControlRefreshInterval{250};
// Interval of refreshes to the hosts that follow this process. Also sent when there is nothing to
// refresh, because a host takes a silent source for lost.
constexpr std::chrono::milliseconds kHostRefreshInterval{1000};

// Messages about upstreams that are due.
struct UpstreamFeedMessages {
  std::optional<UpstreamUpdates> to_followers;
  std::optional<UpstreamUpdates> to_control_hosts;
};

// What a control process sends about upstreams, and to whom. Each entry host follows one control
// process; control processes pass what they learn to each other, so that every host gets each
// change once. Messages to followers and those to control processes are numbered; a receiver that
// misses one fetches everything again. Not thread safe.
class UpstreamFeed {
 public:
  // `epoch` distinguishes the processes that run one after the other on this host.
  explicit UpstreamFeed(std::uint64_t epoch);

  // Queues a change, or a repeated announcement, that is new to this process.
  void AddChange(TimePoint now, const UpstreamUpdate& change);
  void AddRefresh(const UpstreamRefresh& refresh);

  // Returns the messages that are due now.
  UpstreamFeedMessages TakeDue(TimePoint now);
  // Returns the queued changes, whether due or not.
  UpstreamFeedMessages TakeQueued();
  // Numbers one change that is sent to followers, or to control hosts, at once. Queued changes have
  // to be taken before.
  UpstreamUpdates TakeForFollowers(const UpstreamUpdate& change);
  UpstreamUpdates TakeForControlHosts(const UpstreamUpdate& change);
  // Returns when queued changes are to be sent, if there are any.
  std::optional<TimePoint> FlushAt() const { return m_flush_at; }

  // Positions of the last messages. A process that fetches all upstreams follows from here.
  FeedPosition FollowerPosition() const { return m_followers_feed.position; }
  FeedPosition ControlHostPosition() const { return m_control_feed.position; }

  void AddFollower(const std::string& host) { m_followers.insert(host); }
  void RemoveFollower(const std::string& host) { m_followers.erase(host); }
  // Removes the followers that are not connected.
  void RetainFollowers(const std::vector<std::string>& connected);
  std::vector<std::string> Followers() const { return {m_followers.begin(), m_followers.end()}; }

 private:
  // Numbered messages to one kind of receivers.
  struct Feed {
    FeedPosition position;
    std::vector<UpstreamRefresh> refreshes;
    TimePoint refresh_at{};

    UpstreamUpdates Number(std::vector<UpstreamUpdate> changes);
    // Adds the refreshes to the message that is due, or to a new one.
    void AddRefreshesTo(std::optional<UpstreamUpdates>* message);
  };

  Feed m_followers_feed;
  Feed m_control_feed;
  std::vector<UpstreamUpdate> m_changes;
  std::optional<TimePoint> m_flush_at;
  std::set<std::string> m_followers;
};

// How a message fits to what a host has received from its source.
enum class FeedOrder {
  kInOrder,
  kGap,      // a message is missing; everything has to be fetched again
  kForeign,  // not from the process whose feed is followed
};

template <>
struct EnumNames<FeedOrder> {
  static constexpr EnumName<FeedOrder> kTable[] = {
      {FeedOrder::kInOrder, "in_order"},
      {FeedOrder::kGap, "gap"},
      {FeedOrder::kForeign, "foreign"},
  };
};

// Tracks the position in the feed of one control process. Changes are applied whatever their order
// is, because updates may arrive late and more than once. Refreshes are applied only if the message
// is in order: otherwise the sequence of a change that is missing would be taken over without its
// content, and the change be taken for stale when it arrives. Not thread safe.
class FeedCursor {
 public:
  // All upstreams were fetched from `source` at this position.
  void Follow(const std::string& source, FeedPosition position);
  // Checks a message and removes the refreshes that must not be applied.
  FeedOrder Accept(const std::string& from, UpstreamUpdates* updates);

 private:
  FeedOrder OrderOf(const std::string& from, const UpstreamUpdates& updates);

  std::string m_source;
  FeedPosition m_position;
};

}  // namespace corneltray

#endif  // CORNELTRAY_UPSTREAM_FEED_H_
