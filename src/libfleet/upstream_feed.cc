#include "corneltray/upstream_feed.h"

#include <utility>

namespace corneltray {

UpstreamFeed::UpstreamFeed(std::uint64_t epoch) {
  m_followers_feed.position.epoch = epoch;
  m_control_feed.position.epoch = epoch;
}

UpstreamUpdates UpstreamFeed::Feed::Number(std::vector<UpstreamUpdate> changes) {
  ++position.batch;
  return {std::move(changes), {}, position};
}

void UpstreamFeed::Feed::AddRefreshesTo(std::optional<UpstreamUpdates>* message) {
  if (!*message) *message = UpstreamUpdates{{}, {}, position};
  (*message)->refreshes = std::exchange(refreshes, {});
}

void UpstreamFeed::AddChange(TimePoint now, const UpstreamUpdate& change) {
  m_changes.push_back(change);
  if (!m_flush_at) m_flush_at = now + kFeedFlushDelay;
}

void UpstreamFeed::AddRefresh(const UpstreamRefresh& refresh) {
  m_followers_feed.refreshes.push_back(refresh);
  m_control_feed.refreshes.push_back(refresh);
}

UpstreamFeedMessages UpstreamFeed::TakeQueued() {
  m_flush_at.reset();
  if (m_changes.empty()) return {};
  UpstreamFeedMessages queued;
  queued.to_followers = m_followers_feed.Number(m_changes);
  queued.to_control_hosts = m_control_feed.Number(std::exchange(m_changes, {}));
  return queued;
}

UpstreamFeedMessages UpstreamFeed::TakeDue(TimePoint now) {
  UpstreamFeedMessages due;
  if (m_flush_at && now >= *m_flush_at) due = TakeQueued();
  // A refresh must not overtake a queued change of the same upstream.
  if (m_flush_at) return due;
  if (now >= m_followers_feed.refresh_at) {
    m_followers_feed.refresh_at = now + kHostRefreshInterval;
    m_followers_feed.AddRefreshesTo(&due.to_followers);
  }
  if (now >= m_control_feed.refresh_at && !m_control_feed.refreshes.empty()) {
    m_control_feed.refresh_at = now + kControlRefreshInterval;
    m_control_feed.AddRefreshesTo(&due.to_control_hosts);
  }
  return due;
}

UpstreamUpdates UpstreamFeed::TakeForFollowers(const UpstreamUpdate& change) {
  return m_followers_feed.Number({change});
}

UpstreamUpdates UpstreamFeed::TakeForControlHosts(const UpstreamUpdate& change) {
  return m_control_feed.Number({change});
}

void UpstreamFeed::RetainFollowers(const std::vector<std::string>& connected) {
  const std::set<std::string> present(connected.begin(), connected.end());
  for (auto follower = m_followers.begin(); follower != m_followers.end();) {
    follower = present.count(*follower) > 0 ? std::next(follower) : m_followers.erase(follower);
  }
}

void FeedCursor::Follow(const std::string& source, FeedPosition position) {
  m_source = source;
  m_position = position;
}

FeedOrder FeedCursor::Accept(const std::string& from, UpstreamUpdates* updates) {
  const FeedOrder order = OrderOf(from, *updates);
  if (order != FeedOrder::kInOrder) updates->refreshes.clear();
  return order;
}

FeedOrder FeedCursor::OrderOf(const std::string& from, const UpstreamUpdates& updates) {
  if (from != m_source || !updates.position) return FeedOrder::kForeign;
  const FeedPosition& received = *updates.position;
  if (received.epoch != m_position.epoch) return FeedOrder::kGap;
  // A message that was on its way when everything was fetched.
  if (received.batch <= m_position.batch) return FeedOrder::kInOrder;
  const bool is_next = received.batch == m_position.batch + 1 && !updates.updates.empty();
  if (!is_next) return FeedOrder::kGap;
  m_position = received;
  return FeedOrder::kInOrder;
}

}  // namespace corneltray
