#ifndef CORNELTRAY_CONTROL_DISCOVERY_H_
#define CORNELTRAY_CONTROL_DISCOVERY_H_

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "corneltray/peer.h"
#include "corneltray/time.h"

namespace corneltray {

// Finds control processes through other hosts. The seeds that a process is told may all be entry
// hosts, which serve the control interface too; each process tells those linked to it which control
// processes it has links to. Lives on one io_context; handlers of PeerNode change threads.
class ControlDiscovery {
 public:
  // Takes the peer address IP:PORT of a control process.
  using AddressHandler = std::function<void(const std::string& address)>;

  // `take` is called on the io_context. `node` outlives the object.
  ControlDiscovery(asio::io_context* io, PeerNode* node, AddressHandler take);

  // Registers the handler. Call before PeerNode::Start.
  void Register();
  // Asks the linked hosts, unless they were asked a moment ago. Called several times a second while
  // the process has no link to a control process that knows a leader.
  void Query(TimePoint now);

 private:
  void QueryHost(const std::string& host);

  asio::io_context* m_io;
  PeerNode* m_node;
  AddressHandler m_take;
  TimePoint m_next_ask{};
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONTROL_DISCOVERY_H_
