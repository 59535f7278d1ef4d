#ifndef CORNELTRAY_CONTROL_RELAY_H_
#define CORNELTRAY_CONTROL_RELAY_H_

#include <asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "corneltray/control_endpoint.h"
#include "corneltray/control_host_selector.h"
#include "corneltray/peer.h"

namespace corneltray {

// The control interface of an entry host: passes calls of upstreams and operators on to control
// processes over the links that the host has anyway. With it a caller has as many hosts to choose
// from as there are, and one control process that stands still costs it little. Decides nothing on
// the content of a call and answers nothing from memory. Lives on one io_context.
class ControlRelay {
 public:
  // The pointers outlive the relay.
  ControlRelay(asio::io_context* io, PeerNode* node, std::shared_ptr<const Dialect> dialect,
               Metrics* metrics, std::string availability_zone);
  ~ControlRelay();
  ControlRelay(const ControlRelay&) = delete;
  ControlRelay& operator=(const ControlRelay&) = delete;

  // Fails when the address IP:PORT cannot be bound.
  Status Listen(const std::string& address) { return m_endpoint.Listen(address); }
  std::string Address() const { return m_endpoint.Address(); }

 private:
  struct Forwarding;

  void Forward(const ControlRequest& request, const ControlResponder& respond);
  void Continue(const std::shared_ptr<Forwarding>& forwarding);
  void Ask(const std::shared_ptr<Forwarding>& forwarding, const std::string& host);
  void OnAnswer(const std::shared_ptr<Forwarding>& forwarding, const std::string& host,
                const ControlResponse& answer);
  std::vector<ControlCandidate> Candidates() const;

  asio::io_context* m_io;
  PeerNode* m_node;
  std::string m_availability_zone;
  ControlHostSelector m_choice;
  // Goes with the object. Replies and timers may come after it and look here first.
  std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
  ControlEndpoint m_endpoint;
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONTROL_RELAY_H_
