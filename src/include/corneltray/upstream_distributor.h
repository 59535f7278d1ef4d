#ifndef CORNELTRAY_UPSTREAM_DISTRIBUTOR_H_
#define CORNELTRAY_UPSTREAM_DISTRIBUTOR_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "corneltray/departure_tracker.h"
#include "corneltray/peer.h"
#include "corneltray/upstream_feed.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// Distributes what upstreams announce: to the entry hosts that follow this control process, and to
// the other control processes, which pass it on to their followers. Runs on one io_context.
class UpstreamDistributor {
 public:
  struct Options {
    asio::io_context* io = nullptr;      // must outlive this object
    PeerNode* node = nullptr;            // must outlive this object
    UpstreamTable* upstreams = nullptr;  // must outlive this object
    std::uint64_t epoch = 0;             // incarnation of this process
    // A process has fetched all upstreams, and needs what else it may have missed.
    std::function<void(const std::string& host)> on_fetched;
    // A message of this control process is missing: all its upstreams have to be fetched.
    std::function<void(const std::string& control_host)> on_gap;
  };

  explicit UpstreamDistributor(Options options);

  // Registers the handlers of peer messages. Call before PeerNode::Start.
  void Register();
  void Stop();
  // Sends what is due. Called several times per second.
  void Check(TimePoint now);

  // Applies an announcement that arrived at this process. The caller acknowledges a departure with
  // Depart; any other change is distributed from here.
  UpdateResult Announce(TimePoint now, const Announcement& announcement);
  // Distributes a departure and calls `done` once all hosts have it, or at a deadline.
  void Depart(const UpstreamUpdate& update, const std::function<void()>& done);
  // Applies all upstreams of another control process, and passes on what is new.
  void MergeFetched(const std::string& control_host, const UpstreamUpdates& fetched);

  // Sends a message to all followers and to all other control processes, which relay it.
  void Broadcast(MessageType type, nlohmann::json body);
  // Sends the health of engines that this process has probed to all control processes and all
  // followers.
  void DistributeHealth(const std::vector<EngineHealth>& engines);
  // Relays a message of another control process to the followers of this one.
  void RelayToFollowers(MessageType type, nlohmann::json body);
  // Relays a message of an entry host to the other control processes.
  void RelayToControlHosts(MessageType type, nlohmann::json body);

 private:
  // Requests that have to be answered before `done` is called.
  struct Acknowledgements;

  void OnMessage(const std::string& control_host, UpstreamUpdates updates);
  // Applies updates and passes on what is new.
  void Merge(TimePoint now, const UpstreamUpdates& updates);
  void OnFetch(const PeerIdentity& from, bool follows, const PeerNode::Responder& respond);
  // Applies a departure that another control process was told, and acknowledges it once all
  // followers have it.
  void OnDeparture(const std::string& control_host, const UpstreamUpdates& updates,
                   const std::function<void()>& done);
  // Send a departure and call `done` once all receivers have it, or at the deadline.
  void SendToFollowers(const UpstreamUpdate& departure, TimePoint deadline,
                       const std::function<void()>& done);
  void SendToControlHosts(const UpstreamUpdate& departure, TimePoint deadline,
                          const std::function<void()>& done);
  // Calls `done` with whether all hosts have acknowledged the message before the deadline.
  void RequestAcknowledgements(const std::vector<std::string>& hosts,
                               const UpstreamUpdates& message, TimePoint deadline,
                               const std::function<void(bool all)>& done);
  void ScheduleFlush();
  void Send(const UpstreamFeedMessages& messages);
  void SendHealthDue(TimePoint now);
  std::vector<std::string> ControlHosts() const;
  // The reply to a fetch, encoded again only when the table has changed.
  const nlohmann::json& EncodedTable(TimePoint now);

  Options m_options;
  UpstreamFeed m_feed;
  std::map<std::string, FeedCursor> m_cursors;  // by control process
  DepartureTracker m_follower_departures;
  DepartureTracker m_control_departures;
  EngineHealthBatch m_health;
  asio::steady_timer m_flush_timer;
  bool m_is_flush_scheduled = false;
  nlohmann::json m_encoded_table;
  std::uint64_t m_encoded_generation = 0;
  TimePoint m_encoded_until{};
};

}  // namespace corneltray

#endif  // CORNELTRAY_UPSTREAM_DISTRIBUTOR_H_
