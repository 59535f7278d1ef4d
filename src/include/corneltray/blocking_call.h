#ifndef CORNELTRAY_BLOCKING_CALL_H_
#define CORNELTRAY_BLOCKING_CALL_H_

#include <asio/io_context.hpp>

#include "corneltray/upstream_pool.h"

namespace corneltray {

enum class BlockingCallEnd {
  kAnswered,      // the whole answer was received
  kStopped,       // by Stop, after the connection was made
  kNotConnected,  // no connection was made, so nothing was sent
  kBroken,        // a byte may have been sent, and there is no whole answer
};

// One request on a connection of its own, for a thread that waits for the answer. It reads answers
// as UpstreamPool does. Used once. Takes four descriptors: the socket and those of its event loop.
class BlockingCall {
 public:
  BlockingCall();
  BlockingCall(const BlockingCall&) = delete;
  BlockingCall& operator=(const BlockingCall&) = delete;

  // Sends the request and blocks until it has ended. The callbacks run on the calling thread.
  BlockingCallEnd Run(UpstreamRequest request, const UpstreamCallbacks& callbacks);

  // Closes the connection; no callback follows. Thread safe, and may be repeated and called from a
  // callback.
  void Stop();

 private:
  asio::io_context m_io{1};
  UpstreamPool m_pool;
  UpstreamCall m_call;
  bool m_is_connected = false;
  BlockingCallEnd m_end = BlockingCallEnd::kStopped;
};

// Returns the bytes of a request that is the only one on its connection. Adds the fields Host,
// Connection and Content-Length.
std::string FormatSingleRequest(const std::string& address, HttpHead head, const std::string& body);

}  // namespace corneltray

#endif  // CORNELTRAY_BLOCKING_CALL_H_
