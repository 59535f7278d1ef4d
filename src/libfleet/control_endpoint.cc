#include "corneltray/control_endpoint.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "corneltray/log.h"
#include "corneltray/route_table.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kHeadTimeout{10};
constexpr std::chrono::seconds kIdleTimeout{30};
constexpr int kFirstNonSuccessStatus = 300;
// Status that metrics record for a call whose caller disconnected before the response.
constexpr int kCallerLeftStatus = 0;

// Upstreams repeat their announcements about once a second; these calls are logged only on failure.
bool IsRoutine(const ControlCall& call) {
  const auto* announce = std::get_if<AnnounceCall>(&call);
  return announce != nullptr && announce->announcement.state != UpstreamState::kLeaving;
}

struct KindVisitor {
  ControlCallKind operator()(const AnnounceCall&) const { return ControlCallKind::kAnnounce; }
  ControlCallKind operator()(const LeaveCall&) const { return ControlCallKind::kLeave; }
  ControlCallKind operator()(const PutRouteTableCall&) const {
    return ControlCallKind::kPutRouteTable;
  }
  ControlCallKind operator()(const GetRouteTableCall&) const {
    return ControlCallKind::kGetRouteTable;
  }
  ControlCallKind operator()(const RefusedCall&) const { return ControlCallKind::kRefused; }
};

}  // namespace

// One call from its arrival to its response. Shared by the responder and the disconnect handler.
struct ControlEndpoint::OpenCall {
  std::uint64_t number = 0;
  std::string forwarder;  // process that forwarded the call; empty for a direct call
  TimePoint read_at{};
  ControlCallKind kind = ControlCallKind::kRefused;
  bool is_routine = false;
  bool is_answered = false;
  bool caller_left = false;

  json Fields() const {
    json fields = {{"call", number}, {"kind", NameOf(kind)}};
    if (!forwarder.empty()) fields["forwarder"] = forwarder;
    return fields;
  }

  std::int64_t AgeMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - read_at).count();
  }

  void LogReceived(std::size_t bytes) const {
    if (is_routine) return;
    json fields = Fields();
    fields["bytes"] = bytes;
    LogEvent(LogLevel::kInfo, "control_call_received", fields);
  }

  void LogAnswered(int status) const {
    if (is_routine && status < kFirstNonSuccessStatus) return;
    json fields = Fields();
    fields["status"] = status;
    fields["took_ms"] = AgeMs();
    fields["caller_left"] = caller_left;
    LogEvent(LogLevel::kInfo, "control_call_answered", fields);
  }

  void LogCallerLeft() const {
    json fields = Fields();
    fields["waited_ms"] = AgeMs();
    LogEvent(LogLevel::kWarning, "control_caller_left", fields);
  }
};

ControlCallKind KindOf(const ControlCall& call) { return std::visit(KindVisitor{}, call); }

ControlEndpoint::ControlEndpoint(asio::io_context* io, std::shared_ptr<const Dialect> dialect,
                                 Metrics* metrics, Handler handler)
    : m_dialect(std::move(dialect)),
      m_metrics(metrics),
      m_handler(std::move(handler)),
      m_listener(io, [this](const HttpCall& http) { OnCall(http); }) {
  HttpListenerLimits limits;
  limits.max_body_bytes = kMaxRouteTableBytes;
  limits.head_timeout = kHeadTimeout;
  limits.idle_timeout = kIdleTimeout;
  m_listener.SetLimits(limits);
}

Status ControlEndpoint::Listen(const std::string& address) { return m_listener.Listen(address); }

void ControlEndpoint::OnCall(const HttpCall& http) {
  const auto open = std::make_shared<OpenCall>();
  open->read_at = http.ReadAt();
  http.OnCallerGone([this, open] { OnCallerLeft(open.get()); });
  Handle(open, {http.Head().method, http.Head().target, http.Body()},
         [http](const ControlResponse& response) {
           HttpHead head = MakeResponse(response.status);
           head.Add("Content-Type", "application/json");
           http.Respond(std::move(head), response.body);
         });
}

void ControlEndpoint::HandleForwarded(const ControlRequest& request, const std::string& forwarder,
                                      const ControlResponder& respond) {
  const auto open = std::make_shared<OpenCall>();
  open->forwarder = forwarder;
  open->read_at = Clock::now();
  Handle(open, request, respond);
}

void ControlEndpoint::OnCallerLeft(OpenCall* open) {
  open->caller_left = true;
  open->LogCallerLeft();
  m_metrics->RecordResponse(NameOf(open->kind), kCallerLeftStatus, Clock::now() - open->read_at);
}

void ControlEndpoint::Handle(const std::shared_ptr<OpenCall>& open, const ControlRequest& request,
                             const ControlResponder& respond) {
  HttpHead head;
  head.method = request.method;
  head.target = request.target;
  const ControlCall call = m_dialect->ReadControlCall(head, request.body);
  open->number = ++m_last_call;
  open->kind = KindOf(call);
  open->is_routine = IsRoutine(call);
  open->LogReceived(request.body.size());
  const ControlResponder finish = [this, open, respond](const ControlResponse& response) {
    if (std::exchange(open->is_answered, true)) return;
    open->LogAnswered(response.status);
    if (open->caller_left) return;
    m_metrics->RecordResponse(NameOf(open->kind), response.status, Clock::now() - open->read_at);
    respond(response);
  };
  if (const auto* refused = std::get_if<RefusedCall>(&call)) {
    LogEvent(LogLevel::kWarning, "control_call_refused",
             {{"method", request.method},
              {"target", request.target},
              {"status", refused->status},
              {"reason", refused->reason}});
    return finish(MakeControlError(refused->status, refused->reason));
  }
  m_handler(call, request, finish);
}

}  // namespace corneltray
