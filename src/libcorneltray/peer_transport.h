#ifndef CORNELTRAY_PEER_TRANSPORT_H_
#define CORNELTRAY_PEER_TRANSPORT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "corneltray/result.h"
#include "corneltray/time.h"

namespace corneltray {

// Names one websocket connection of a process; 0 is none.
using LinkId = std::uint64_t;

// Called on the thread in Run. `on_close` is called once for each link that failed to open or was
// lost, and not for one that this side closed.
struct TransportEvents {
  std::function<void(LinkId link, bool opened_here)> on_open;
  std::function<void(LinkId link, const std::string& frame)> on_frame;
  std::function<void(LinkId link)> on_close;
};

// Websocket connections and timers on one Asio loop. Only Post, StartTimer and StopLoop may be
// called from other threads. The only user of websocketpp, which is slow to compile.
class PeerTransport {
 public:
  explicit PeerTransport(TransportEvents events);
  ~PeerTransport();
  PeerTransport(const PeerTransport&) = delete;
  PeerTransport& operator=(const PeerTransport&) = delete;

  // Binds IP:PORT. Fails with PeerErrc::kAddressInUse.
  Status Listen(const std::string& address);
  // The bound IP:PORT, after Listen.
  const std::string& BoundAddress() const;

  // Opens a connection; on_open or on_close follows. Returns 0 for an address that is not IP:PORT.
  LinkId Dial(const std::string& address);
  // Returns false when the link is gone or its peer does not read.
  bool Send(LinkId link, const std::string& frame);
  // Closes with a closing handshake, or at once for a link that may be silent.
  void Close(LinkId link, bool at_once);
  void CloseAll();
  // Connections of both directions that are open or opening.
  std::size_t LinkCount() const;

  // Runs the loop until StopLoop.
  void Run();
  void StopLoop();
  // Runs what was posted before and after StopLoop, without waiting. Call after Run returned.
  void RunPosted();

  void Post(std::function<void()> function);
  // Runs the function at a time unless the handle is destroyed first.
  std::shared_ptr<void> StartTimer(TimePoint when, std::function<void()> function);

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace corneltray

#endif  // CORNELTRAY_PEER_TRANSPORT_H_
