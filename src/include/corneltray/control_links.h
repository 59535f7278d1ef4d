#ifndef CORNELTRAY_CONTROL_LINKS_H_
#define CORNELTRAY_CONTROL_LINKS_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "corneltray/control_host_selector.h"
#include "corneltray/fleet_messages.h"
#include "corneltray/peer.h"

namespace corneltray {

// Links of one process to control processes. Fetches over each new link the upstream state that the
// control process has received. Runs on one io_context; PeerNode delivers replies on other threads.
class ControlLinks {
 public:
  using UpdateHandler =
      std::function<void(const std::string& host, const UpstreamUpdates& updates)>;

  // `on_updates` is called on the io_context. Both pointers must outlive the object.
  ControlLinks(asio::io_context* io, PeerNode* node, UpdateHandler on_updates);

  // Detects links that came up or were lost. Called several times a second.
  void Check();

  bool IsEmpty() const { return m_links.empty(); }
  // Returns the linked control processes, as seen from a process in this availability zone.
  std::vector<ControlCandidate> Candidates(const std::string& availability_zone) const;
  // Sends a push message to every linked control process.
  void Broadcast(MessageType type, const nlohmann::json& body) const;
  // Fetches the upstream state from this control process again, at the next check.
  void FetchAgain(const std::string& host);

 private:
  struct Link {
    std::uint64_t incarnation = 0;
    std::string availability_zone;
    bool is_fetch_started = false;  // in progress or done
  };

  void Fetch(const std::string& host);

  asio::io_context* m_io;
  PeerNode* m_node;
  UpdateHandler m_on_updates;
  std::map<std::string, Link> m_links;  // by host
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONTROL_LINKS_H_
