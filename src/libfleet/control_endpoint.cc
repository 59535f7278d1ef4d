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
constexpr int kFirstFailure = 300;
// The status under which a call is counted whose caller left before the answer.
constexpr int kCallerLeft = 0;

// Upstreams repeat what they say every second or so; these calls are logged only when they fail.
bool IsRoutine(const ControlCall& call) {
  const auto* announce = std::get_if<AnnounceCall>(&call);
  return announce != nullptr && announce->announcement.state != UpstreamState::kLeaving;
}

std::int64_t MillisecondsSince(TimePoint begin) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - begin).count();
}

// One call from its arrival to its answer. Shared by the responder and the watch on the caller.
struct OpenCall {
  std::uint64_t number = 0;
  ControlCallKind kind = ControlCallKind::kRefused;
  bool is_routine = false;
  bool is_answered = false;
  bool caller_left = false;

  json Fields() const { return {{"call", number}, {"kind", NameOf(kind)}}; }
};

void LogReceived(const OpenCall& open, const HttpCall& http) {
  if (open.is_routine) return;
  json fields = open.Fields();
  fields["bytes"] = http.Body().size();
  LogEvent(LogLevel::kInfo, "control_call_received", fields);
}

void LogAnswered(const OpenCall& open, const ControlAnswer& answer, std::int64_t took_ms) {
  if (open.is_routine && answer.status < kFirstFailure) return;
  json fields = open.Fields();
  fields["status"] = answer.status;
  fields["took_ms"] = took_ms;
  fields["caller_left"] = open.caller_left;
  LogEvent(LogLevel::kInfo, "control_call_answered", fields);
}

void LogCallerLeft(const OpenCall& open, std::int64_t waited_ms) {
  json fields = open.Fields();
  fields["waited_ms"] = waited_ms;
  LogEvent(LogLevel::kWarning, "control_caller_left", fields);
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

ControlCallKind KindOf(const ControlCall& call) { return std::visit(KindVisitor{}, call); }

ControlAnswer MakeControlError(int status, const std::string& text) {
  return {status, json{{"error", text}}.dump(-1, ' ', false, json::error_handler_t::replace)};
}

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
  const ControlCall call = m_dialect->ReadControlCall(http.Head(), http.Body());
  const auto open = std::make_shared<OpenCall>();
  open->number = ++m_last_call;
  open->kind = KindOf(call);
  open->is_routine = IsRoutine(call);
  LogReceived(*open, http);
  const TimePoint read_at = http.ReadAt();
  http.OnCallerGone([this, open, read_at] {
    open->caller_left = true;
    const std::int64_t waited_ms = MillisecondsSince(read_at);
    LogCallerLeft(*open, waited_ms);
    m_metrics->RecordResponse(NameOf(open->kind), kCallerLeft, Clock::now() - read_at);
  });
  const ControlResponder respond = [this, http, open, read_at](const ControlAnswer& answer) {
    if (std::exchange(open->is_answered, true)) return;
    LogAnswered(*open, answer, MillisecondsSince(read_at));
    if (open->caller_left) return;
    m_metrics->RecordResponse(NameOf(open->kind), answer.status, Clock::now() - read_at);
    HttpHead head = MakeResponse(answer.status);
    head.Add("Content-Type", "application/json");
    http.Respond(std::move(head), answer.body);
  };
  if (const auto* refused = std::get_if<RefusedCall>(&call)) {
    LogEvent(LogLevel::kWarning, "control_call_refused",
             {{"method", http.Head().method},
              {"target", http.Head().target},
              {"status", refused->status},
              {"reason", refused->reason}});
    return respond(MakeControlError(refused->status, refused->reason));
  }
  m_handler(call, {http.Head().method, http.Head().target, http.Body()}, respond);
}

}  // namespace corneltray
