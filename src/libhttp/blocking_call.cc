#include "corneltray/blocking_call.h"

#include <asio/dispatch.hpp>
#include <utility>

namespace corneltray {

BlockingCall::BlockingCall() : m_pool(&m_io) {
  m_pool.SetConnectObserver(
      [this](const std::string&, bool is_connected) { m_is_connected = is_connected; });
}

BlockingCallEnd BlockingCall::Run(UpstreamRequest request, const UpstreamCallbacks& callbacks) {
  request.fresh_connection = true;
  const auto end = [this](BlockingCallEnd how) {
    m_end = how;
    m_io.stop();
  };
  UpstreamCallbacks wrapped = callbacks;
  wrapped.on_end = [&callbacks, end] {
    end(BlockingCallEnd::kAnswered);
    if (callbacks.on_end) callbacks.on_end();
  };
  wrapped.on_failure = [&callbacks, end](UpstreamFailure failure) {
    const bool is_unsent = failure == UpstreamFailure::kNotConnected;
    end(is_unsent ? BlockingCallEnd::kNotConnected : BlockingCallEnd::kBroken);
    if (callbacks.on_failure) callbacks.on_failure(failure);
  };
  m_call = m_pool.Send(std::move(request), std::move(wrapped));
  m_io.run();
  const bool is_unsent = m_end == BlockingCallEnd::kStopped && !m_is_connected;
  return is_unsent ? BlockingCallEnd::kNotConnected : m_end;
}

void BlockingCall::Stop() {
  asio::dispatch(m_io, [this] {
    m_call.Cancel();
    m_io.stop();
  });
}

std::string FormatSingleRequest(const std::string& address, HttpHead head,
                                const std::string& body) {
  const bool has_body =
      !body.empty() || head.method == "POST" || head.method == "PUT" || head.method == "PATCH";
  head.Set("Host", address);
  head.Set("Connection", "close");
  if (has_body) head.Set("Content-Length", std::to_string(body.size()));
  return FormatRequestHead(head) + body;
}

}  // namespace corneltray
