#ifndef CORNELTRAY_CONTROL_LINKS_H_
#define CORNELTRAY_CONTROL_LINKS_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "corneltray/fleet_messages.h"
#include "corneltray/peer.h"

namespace corneltray {

// The links of one process to control processes. Over each new link it asks for what upstreams told
// the control process meanwhile. Lives on one io_context; replies of PeerNode change threads.
class ControlLinks {
 public:
  using UpdateHandler = std::function<void(const UpstreamUpdates& updates)>;

  // `take` is called on the io_context. Both pointers outlive the object.
  ControlLinks(asio::io_context* io, PeerNode* node, UpdateHandler take);

  // Looks for links that came up or were lost. Called several times a second.
  void Check();

  bool IsEmpty() const { return m_links.empty(); }
  bool Has(const std::string& host) const { return m_links.count(host) > 0; }
  // The linked host after this one in a round; empty if there is none.
  std::string NextHost(const std::string& host) const;
  // Sends a push to every linked control process.
  void Broadcast(MessageType type, const nlohmann::json& body) const;

 private:
  struct Link {
    std::uint64_t incarnation = 0;
    bool is_fetched = false;  // or a fetch is in progress
  };

  void Fetch(const std::string& host);

  asio::io_context* m_io;
  PeerNode* m_node;
  UpdateHandler m_take;
  std::map<std::string, Link> m_links;  // by host
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONTROL_LINKS_H_
