#include "corneltray/control_relay.h"

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "corneltray/control_client.h"
#include "corneltray/control_messages.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr int kUnavailable = 503;

}  // namespace

// One forwarded call. Shared by the handlers of its replies and of its timer.
struct ControlRelay::Forwarding {
  Forwarding(asio::io_context* io, ForwardedCall forwarded)
      : call(std::move(forwarded)), timer(*io) {}

  ForwardedCall call;
  json message;
  ControlResponder respond;
  asio::steady_timer timer;
  std::set<std::string> pending;  // control processes that received the call
  // The last error, which is the response if all control processes fail.
  ControlResponse failure = MakeControlError(kUnavailable, "no link to a control process");
  bool is_finished = false;

  void Finish(const ControlResponse& response) {
    is_finished = true;
    timer.cancel();
    respond(response);
  }
};

ControlRelay::ControlRelay(asio::io_context* io, PeerNode* node,
                           std::shared_ptr<const Dialect> dialect, Metrics* metrics,
                           const std::string& name, std::string availability_zone)
    : m_io(io),
      m_node(node),
      m_availability_zone(std::move(availability_zone)),
      m_ranking(name),
      m_endpoint(io, std::move(dialect), metrics,
                 [this](const ControlCall&, const ControlRequest& request,
                        const ControlResponder& respond) { Forward(request, respond); }) {}

ControlRelay::~ControlRelay() { m_endpoint.Close(); }

std::vector<ControlCandidate> ControlRelay::Candidates() const {
  std::vector<ControlCandidate> candidates;
  for (const PeerStatus& peer : m_node->Peers()) {
    if (!peer.connected || peer.identity.program != kControlProgram) continue;
    ControlCandidate candidate;
    candidate.host = peer.identity.host;
    candidate.is_local = peer.identity.availability_zone == m_availability_zone;
    candidate.is_cut_off = m_is_cut_off && m_is_cut_off(candidate.host);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

void ControlRelay::Forward(const ControlRequest& request, const ControlResponder& respond) {
  const TimePoint now = Clock::now();
  const auto forwarding = std::make_shared<Forwarding>(
      m_io, ForwardedCall(now, m_ranking.Order(now, Candidates()), request.body.size()));
  forwarding->message = EncodeControlRequest(request);
  forwarding->respond = respond;
  Continue(forwarding);
}

void ControlRelay::Continue(const std::shared_ptr<Forwarding>& forwarding) {
  const TimePoint now = Clock::now();
  if (const auto host = forwarding->call.NextHost(now)) SendTo(forwarding, *host);
  if (forwarding->call.HasFailed(now)) return forwarding->Finish(forwarding->failure);
  forwarding->timer.expires_at(forwarding->call.NextWakeup());
  const std::weak_ptr<const bool> alive = m_alive;
  forwarding->timer.async_wait([this, alive, forwarding](const asio::error_code& cancelled) {
    if (cancelled || alive.expired() || forwarding->is_finished) return;
    // The control processes that have not responded are slow; new calls start with other ones.
    for (const std::string& host : forwarding->pending) m_ranking.RecordFailure(Clock::now(), host);
    Continue(forwarding);
  });
}

void ControlRelay::SendTo(const std::shared_ptr<Forwarding>& forwarding, const std::string& host) {
  forwarding->pending.insert(host);
  forwarding->failure = MakeControlError(kUnavailable, "control process " + host + " is silent");
  const std::weak_ptr<const bool> alive = m_alive;
  m_node->Request(
      host, MessageType::kControlCall, forwarding->message, forwarding->call.Deadline(),
      [this, io = m_io, alive, forwarding, host](const Result<json>& reply) {
        const Result<ControlResponse> response =
            reply ? DecodeControlResponse(reply.value()) : Result<ControlResponse>(reply.error());
        asio::post(*io, [this, alive, forwarding, host, response] {
          if (alive.expired()) return;
          OnResponse(forwarding, host,
                     response ? response.value()
                              : MakeControlError(kUnavailable, response.error().ToString()));
        });
      });
}

void ControlRelay::OnResponse(const std::shared_ptr<Forwarding>& forwarding,
                              const std::string& host, const ControlResponse& response) {
  forwarding->pending.erase(host);
  const TimePoint now = Clock::now();
  const bool ends_call = forwarding->call.RecordAnswer(now, response.status);
  if (ends_call) {
    m_ranking.RecordAnswer(host);
  } else {
    m_ranking.RecordFailure(now, host);
    LogEvent(LogLevel::kWarning, "control_call_failed_at",
             {{"control_host", host}, {"status", response.status}, {"reason", response.body}});
  }
  if (forwarding->is_finished) return;
  if (ends_call) return forwarding->Finish(response);
  forwarding->failure = response;
  Continue(forwarding);
}

}  // namespace corneltray
