#ifndef CORNELTRAY_CONTROL_ENDPOINT_H_
#define CORNELTRAY_CONTROL_ENDPOINT_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "corneltray/control_messages.h"
#include "corneltray/dialect.h"
#include "corneltray/enum_names.h"
#include "corneltray/http_listener.h"
#include "corneltray/metrics.h"

namespace corneltray {

// What a call to the control interface asks for; the label of its metrics and log lines.
enum class ControlCallKind { kAnnounce, kLeave, kPutRouteTable, kGetRouteTable, kRefused };

template <>
struct EnumNames<ControlCallKind> {
  static constexpr EnumName<ControlCallKind> kTable[] = {
      {ControlCallKind::kAnnounce, "announce"},
      {ControlCallKind::kLeave, "leave"},
      {ControlCallKind::kPutRouteTable, "put_route_table"},
      {ControlCallKind::kGetRouteTable, "get_route_table"},
      {ControlCallKind::kRefused, "refused"},
  };
};

ControlCallKind KindOf(const ControlCall& call);

// Answers one call. Later calls have no effect.
using ControlResponder = std::function<void(const ControlResponse& answer)>;

// The control interface of one process: takes the calls of upstreams and operators, from themselves
// or passed on by another process, refuses what cannot be read, and logs and counts how each call
// ended. Lives on one io_context.
class ControlEndpoint {
 public:
  using Handler = std::function<void(const ControlCall& call, const ControlRequest& request,
                                     const ControlResponder& respond)>;

  // `metrics` outlives the endpoint.
  ControlEndpoint(asio::io_context* io, std::shared_ptr<const Dialect> dialect, Metrics* metrics,
                  Handler handler);

  // Fails when the address IP:PORT cannot be bound.
  Status Listen(const std::string& address);
  std::string Address() const { return m_listener.Address(); }
  void Close() { m_listener.CloseAll(); }

  // Takes a call that a process of this name passes on.
  void HandleForwarded(const ControlRequest& request, const std::string& forwarder,
                       const ControlResponder& respond);

 private:
  struct OpenCall;

  void OnCall(const HttpCall& http);
  void Handle(const std::shared_ptr<OpenCall>& open, const ControlRequest& request,
              const ControlResponder& respond);
  void OnCallerLeft(OpenCall* open);

  std::shared_ptr<const Dialect> m_dialect;
  Metrics* m_metrics;
  Handler m_handler;
  std::uint64_t m_last_call = 0;
  HttpListener m_listener;
};

}  // namespace corneltray

#endif  // CORNELTRAY_CONTROL_ENDPOINT_H_
