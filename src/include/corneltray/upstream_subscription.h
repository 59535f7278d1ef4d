#ifndef CORNELTRAY_UPSTREAM_SUBSCRIPTION_H_
#define CORNELTRAY_UPSTREAM_SUBSCRIPTION_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corneltray/control_host_selector.h"
#include "corneltray/control_source_selector.h"
#include "corneltray/peer.h"
#include "corneltray/upstream_feed.h"

namespace corneltray {

struct HostLocation {
  std::string name;
  std::string availability_zone;
};

// Links of one entry host to control processes, and its subscription to the upstream feed of one of
// them, the source. Moves to another control process when the source is lost, silent or cut off,
// and fetches everything again when a message is missing. Runs on one io_context; PeerNode calls
// its handlers on another thread, so they post their work to that io_context.
class UpstreamSubscription {
 public:
  using UpdateHandler = std::function<void(const UpstreamUpdates& updates)>;

  // `on_updates` is called on the io_context. Both pointers must outlive the object.
  UpstreamSubscription(asio::io_context* io, PeerNode* node, HostLocation self,
                       UpdateHandler on_updates);

  // Registers the message handlers. Must be called before PeerNode::Start.
  void Register();
  // Replaces the seeds.
  void SetSeeds(const std::vector<std::string>& seeds);
  // Replaces the members of the replicated log. Their zones may be unknown.
  void SetMembers(const std::vector<ControlHost>& members);
  // Adds an address that another host named as that of a control process, until the next
  // SetMembers.
  void AddDiscovered(const std::string& address);

  // Opens and closes links and follows a control process. Called several times a second.
  void Check(TimePoint now);

  // A control process has confirmed a read of the log, or failed to.
  void OnConfirmed(TimePoint now, const std::string& host);
  void OnReadFailed(TimePoint now, const std::string& host);
  // Returns a control process that is cut off and is to be asked for a read now, if there is one.
  std::optional<std::string> NextProbe(TimePoint now);

  // Returns the linked control processes, with those of the own zone marked as local.
  std::vector<ControlCandidate> Candidates() const;
  bool IsCutOff(const std::string& host) const { return m_selector.IsCutOff(host); }
  bool HasLinks() const { return !m_linked.empty(); }
  // The control process that this host follows; empty if there is none.
  const std::string& Source() const { return m_selector.Source(); }
  // Sends a push message to the source. Returns false if there is none.
  bool SendToSource(MessageType type, const nlohmann::json& body) const;
  // Sends a push message to every linked control process, so that it survives the loss of one.
  void SendToAll(MessageType type, const nlohmann::json& body) const;

 private:
  void OnMessage(const std::string& from, UpstreamUpdates updates);
  void UpdateCandidates();
  // Reads which links are up.
  void UpdateLinks(TimePoint now);
  // Opens the links that are wanted and closes the others.
  void UpdateConnections(TimePoint now);
  void Follow(const std::string& host);
  void OnFetched(const std::string& host, const Result<UpstreamUpdates>& fetched);
  void Unfollow(const std::string& host) const;

  asio::io_context* m_io;
  PeerNode* m_node;
  HostLocation m_self;
  UpdateHandler m_on_updates;
  ControlSourceSelector m_selector;
  FeedCursor m_cursor;
  std::vector<LinkedControlHost> m_linked;
  std::map<std::string, std::uint64_t> m_incarnations;  // of the linked control processes
  std::set<std::string> m_seeds;
  std::vector<ControlHost> m_members;
  std::set<std::string> m_discovered;
  std::set<std::string> m_known_cut_off;  // control processes, for the log
  std::size_t m_needed_links = kControlLinksPerHost;
  std::set<std::string> m_connected_addresses;  // that PeerNode keeps links to
  bool m_is_fetching = false;
  bool m_needs_fetch = false;  // a message of the source is missing
  TimePoint m_next_fetch_at{};
};

}  // namespace corneltray

#endif  // CORNELTRAY_UPSTREAM_SUBSCRIPTION_H_
