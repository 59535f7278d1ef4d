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

// Kind of a call to the control interface, used as a label in metrics and log lines.
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

// Responds to one call. Only the first invocation has an effect.
using ControlResponder = std::function<void(const ControlResponse& response)>;

// The control interface of one process. Receives calls of upstreams and operators, either directly
// or forwarded by another process, rejects malformed ones, and records the outcome of each call in
// the log and the metrics. Runs on one io_context.
class ControlEndpoint {
 public:
  using Handler = std::function<void(const ControlCall& call, const ControlRequest& request,
                                     const ControlResponder& respond)>;

  // `metrics` must outlive the endpoint.
  ControlEndpoint(asio::io_context* io, std::shared_ptr<const Dialect> dialect, Metrics* metrics,
                  Handler handler);

  // The part of this interface in the budget of the process. Call before Listen.
  void SetBudget(std::shared_ptr<DoorBudget> budget) {
    m_listener.SetBudget(Door::kOperators, std::move(budget));
  }
  // Fails when the address IP:PORT cannot be bound.
  Status Listen(const std::string& address);
  std::string Address() const { return m_listener.Address(); }
  void Close() { m_listener.CloseAll(); }

  // Handles a call that the process `forwarder` forwarded.
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
