#ifndef CORNELTRAY_CONTROL_RELAY_H_
#define CORNELTRAY_CONTROL_RELAY_H_

#include <asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "corneltray/control_endpoint.h"
#include "corneltray/control_host_selector.h"
#include "corneltray/peer.h"

namespace corneltray {

// The control interface of an entry host. Forwards calls of upstreams and operators to control
// processes over the existing peer links, so that callers can use any host and an unresponsive
// control process delays a call only briefly. Does not interpret calls and caches no responses.
// Runs on one io_context.
class ControlRelay {
 public:
  // `name` is that of this host. The pointers must outlive the relay.
  ControlRelay(asio::io_context* io, PeerNode* node, std::shared_ptr<const Dialect> dialect,
               Metrics* metrics, const std::string& name, std::string availability_zone);
  ~ControlRelay();
  ControlRelay(const ControlRelay&) = delete;
  ControlRelay& operator=(const ControlRelay&) = delete;

  // Control processes for which `is_cut_off` returns true receive calls last. Called on the
  // io_context.
  void SetCutOffCheck(std::function<bool(const std::string& host)> is_cut_off) {
    m_is_cut_off = std::move(is_cut_off);
  }
  // Fails when the address IP:PORT cannot be bound.
  void SetBudget(std::shared_ptr<DoorBudget> budget) { m_endpoint.SetBudget(std::move(budget)); }
  Status Listen(const std::string& address) { return m_endpoint.Listen(address); }
  std::string Address() const { return m_endpoint.Address(); }

 private:
  struct Forwarding;

  void Forward(const ControlRequest& request, const ControlResponder& respond);
  void Continue(const std::shared_ptr<Forwarding>& forwarding);
  void SendTo(const std::shared_ptr<Forwarding>& forwarding, const std::string& host);
  void OnResponse(const std::shared_ptr<Forwarding>& forwarding, const std::string& host,
                  const ControlResponse& response);
  std::vector<ControlCandidate> Candidates() const;

  asio::io_context* m_io;
  PeerNode* m_node;
  std::string m_availability_zone;
  ControlHostSelector m_ranking;
  std::function<bool(const std::string& host)> m_is_cut_off;  // empty: none is
  // Expires with the object. Handlers of replies and timers may run later and check it first.
  std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
  ControlEndpoint m_endpoint;
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONTROL_RELAY_H_
