#include "service_runner.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <set>
#include <string_view>
#include <thread>
#include <utility>

#include "corneltray/log.h"
#include "corneltray/metrics.h"
#include "corneltray/routing_state.h"
#include "route_log.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

// Time for the first try of a call. A replica that is frozen or silent is left after it if the call
// can go on at another one; each further try gets twice the time, so that a slow service still gets
// an answer through.
constexpr milliseconds kFirstTry{1000};
constexpr milliseconds kRetryPoll{20};

bool IsOneOf(const std::string& name, const std::string_view* begin, const std::string_view* end) {
  return std::any_of(begin, end, [&name](std::string_view other) {
    return name.size() == other.size() &&
           std::equal(name.begin(), name.end(), other.begin(), [](char a, char b) {
             return std::tolower(static_cast<unsigned char>(a)) == b;
           });
  });
}

// Headers that concern one connection, or that the sender sets itself.
constexpr std::array<std::string_view, 13> kConnectionHeaders = {
    "connection",       "keep-alive", "proxy-authenticate", "proxy-authorization", "te",
    "trailer",          "upgrade",    "transfer-encoding",  "content-length",      "host",
    "content-encoding", "expect",     "content-type"};
// Headers that corneltray itself reads or sets.
constexpr std::array<std::string_view, 5> kOwnHeaders = {"authorization", "accept-encoding",
                                                         "x-request-id", "corneltray-outcome",
                                                         "corneltray-replayed"};

bool IsEndToEnd(const std::string& name) {
  return !IsOneOf(name, kConnectionHeaders.begin(), kConnectionHeaders.end()) &&
         !IsOneOf(name, kOwnHeaders.begin(), kOwnHeaders.end());
}

// A status with which a replica says that it cannot serve now.
bool IsUnavailable(int status) { return status == 502 || status == 503 || status == 504; }

HttpResponse Forward(const ServiceResponse& answer, const RequestContext& context) {
  HttpResponse response;
  response.status = answer.status;
  response.content_type = answer.content_type;
  response.body = answer.body;
  for (const auto& [name, value] : answer.headers) {
    if (IsEndToEnd(name)) response.headers.emplace_back(name, value);
  }
  response.headers.emplace_back("X-Request-Id", context.request_id);
  response.headers.emplace_back("Corneltray-Outcome", "done");
  return response;
}

// One idempotent call over several tries.
class IdempotentCall {
 public:
  IdempotentCall(const EntryContext& entry, const RequestContext& context)
      : m_entry(entry),
        m_context(context),
        m_request(std::get<ServiceCallRequest>(context.call)),
        m_call(MakeServiceCall(context)) {}

  HttpResponse Run() {
    while (Clock::now() < m_context.deadline && !m_context.http.has_hung_up()) {
      const Result<ReplicaRoute> route =
          m_entry.routing->ChooseReplica(m_request.service, m_excluded);
      if (!route) {
        if (m_tries == 0 || (m_excluded.empty() && m_last.status == 0)) return Fail();
        if (m_last.status != 0) return Forward(m_last, m_context);
        // All replicas have failed; the failure may have passed.
        m_excluded.clear();
        std::this_thread::sleep_for(kRetryPoll);
        continue;
      }
      if (m_tries > 0 && !std::exchange(m_has_retry, false) && !m_entry.routing->TryRetry()) {
        std::this_thread::sleep_for(kRetryPoll);
        continue;
      }
      if (Try(route.value())) return Forward(m_last, m_context);
    }
    return Fail();
  }

 private:
  bool Try(const ReplicaRoute& route) {
    LogReplica(m_context, route, ++m_tries);
    const TimePoint begin = Clock::now();
    const TimePoint leave_at = begin + kFirstTry * (1 << std::min(m_tries - 1, 10U));
    const WorkTicket work(m_entry.routing, {route.replica.name});
    ServiceResponse answer =
        m_entry.services->Call(route.replica.address, m_call, m_context.deadline, [&] {
          if (m_context.http.has_hung_up()) return true;
          return Clock::now() >= leave_at && TakeRetry(route.replica.name);
        });
    const CallEnd end = answer.end;
    if (end == CallEnd::kComplete) m_last = std::move(answer);
    if (m_last.status != 0 && !IsUnavailable(m_last.status)) {
      m_entry.routing->ReportSuccess(m_request.service, route.replica.name, Clock::now() - begin);
      return true;
    }
    m_sent = m_sent || end != CallEnd::kConnectFailed;
    m_excluded.insert(route.replica.name);
    if (!m_context.http.has_hung_up()) {
      m_entry.routing->ReportFailure(m_request.service, route.replica.name);
    }
    m_entry.metrics->Count("lookup_failures", NameOf(end));
    LogEvent(LogLevel::kWarning, "lookup_failed",
             {{"request_id", m_context.request_id},
              {"attempt", m_tries},
              {"replica", route.replica.name},
              {"end", NameOf(end)}});
    return false;
  }

  // Takes a retry for this call, if another replica than a silent one is there for it. The silent
  // one may go on a moment later, so it is not left before.
  bool TakeRetry(const std::string& silent) {
    if (m_has_retry) return true;
    std::set<std::string> excluded = m_excluded;
    excluded.insert(silent);
    if (!m_entry.routing->ChooseReplica(m_request.service, excluded)) return false;
    m_has_retry = m_entry.routing->TryRetry();
    return m_has_retry;
  }

  HttpResponse Fail() const {
    const BookingState outcome = m_sent ? BookingState::kUnknown : BookingState::kNotRun;
    if (m_tries == 0) {
      return MakeErrorResponse(
          {ApiCode::kNoReplica, "no replica of the service is known", "", outcome, 1000, 0},
          m_context.request_id);
    }
    const bool late = Clock::now() >= m_context.deadline;
    return MakeErrorResponse(
        {late ? ApiCode::kDeadlineExceeded : ApiCode::kUpstreamFailed,
         late ? "no replica answered before the deadline" : "no replica answered", "", outcome, 0,
         0},
        m_context.request_id);
  }

  const EntryContext& m_entry;
  const RequestContext& m_context;
  const ServiceCallRequest& m_request;
  const ServiceCall m_call;
  std::set<std::string> m_excluded;
  ServiceResponse m_last;  // last complete answer
  std::uint32_t m_tries = 0;
  bool m_has_retry = false;  // a retry was granted and not used yet
  bool m_sent = false;
};

}  // namespace

ServiceCall MakeServiceCall(const RequestContext& context) {
  ServiceCall call;
  call.method = context.http.method;
  call.target = std::get<ServiceCallRequest>(context.call).target;
  call.content_type = context.http.Header("content-type");
  call.body = context.http.body;
  for (const auto& [name, value] : context.http.headers) {
    if (IsEndToEnd(name)) call.headers.emplace_back(name, value);
  }
  call.headers.emplace_back("X-Request-Id", context.request_id);
  return call;
}

HttpResponse RunIdempotentCall(const EntryContext& entry, const RequestContext& context) {
  return IdempotentCall(entry, context).Run();
}

}  // namespace corneltray
