#ifndef CORNELTRAY_CONTROL_DISCOVERY_H_
#define CORNELTRAY_CONTROL_DISCOVERY_H_

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "corneltray/discovery_schedule.h"
#include "corneltray/peer.h"
#include "corneltray/time.h"

namespace corneltray {

// Discovers control processes through other hosts. All configured seeds may be entry hosts, since
// these serve the control interface too. Each process therefore reports on request which control
// processes it is linked to. Runs on one io_context; PeerNode handlers run on other threads.
class ControlDiscovery {
 public:
  // Receives the peer address IP:PORT of a control process.
  using AddressHandler = std::function<void(const std::string& address)>;

  // `on_address` is called on the io_context. `node` must outlive the object.
  ControlDiscovery(asio::io_context* io, PeerNode* node, const std::string& own_host,
                   AddressHandler on_address);

  // Registers the request handler. Must be called before PeerNode::Start.
  void Register();
  // Queries a linked host if a query is due. Called several times a second while the process
  // has no link to a control process that knows a leader.
  void Query(TimePoint now);

 private:
  void QueryHost(const std::string& host);

  asio::io_context* m_io;
  PeerNode* m_node;
  DiscoverySchedule m_schedule;
  AddressHandler m_on_address;
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONTROL_DISCOVERY_H_
