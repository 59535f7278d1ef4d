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

// One call that is passed on. Shared by the replies, the timer and the control processes asked.
struct ControlRelay::Forwarding {
  Forwarding(asio::io_context* io, ForwardedCall forwarded)
      : call(std::move(forwarded)), timer(*io) {}

  ForwardedCall call;
  json message;
  ControlResponder respond;
  asio::steady_timer timer;
  std::set<std::string> unanswered;  // control processes that were asked
  // What the last of them said; the answer if all of them fail.
  ControlResponse failure = MakeControlError(kUnavailable, "no link to a control process");
  bool is_finished = false;

  void Finish(const ControlResponse& answer) {
    is_finished = true;
    timer.cancel();
    respond(answer);
  }
};

ControlRelay::ControlRelay(asio::io_context* io, PeerNode* node,
                           std::shared_ptr<const Dialect> dialect, Metrics* metrics,
                           std::string availability_zone)
    : m_io(io),
      m_node(node),
      m_availability_zone(std::move(availability_zone)),
      m_endpoint(io, std::move(dialect), metrics,
                 [this](const ControlCall&, const ControlRequest& request,
                        const ControlResponder& respond) { Forward(request, respond); }) {}

ControlRelay::~ControlRelay() { m_endpoint.Close(); }

std::vector<ControlCandidate> ControlRelay::Candidates() const {
  std::vector<ControlCandidate> candidates;
  for (const PeerStatus& peer : m_node->Peers()) {
    if (!peer.connected || peer.identity.program != kControlProgram) continue;
    candidates.push_back(
        {peer.identity.host, peer.identity.availability_zone == m_availability_zone});
  }
  return candidates;
}

void ControlRelay::Forward(const ControlRequest& request, const ControlResponder& respond) {
  const TimePoint now = Clock::now();
  const auto forwarding = std::make_shared<Forwarding>(
      m_io, ForwardedCall(now, m_choice.Order(now, Candidates()), request.body.size()));
  forwarding->message = EncodeControlRequest(request);
  forwarding->respond = respond;
  Continue(forwarding);
}

void ControlRelay::Continue(const std::shared_ptr<Forwarding>& forwarding) {
  const TimePoint now = Clock::now();
  if (const auto host = forwarding->call.NextHost(now)) Ask(forwarding, *host);
  if (forwarding->call.HasFailed(now)) return forwarding->Finish(forwarding->failure);
  forwarding->timer.expires_at(forwarding->call.NextWakeup());
  const std::weak_ptr<const bool> alive = m_alive;
  forwarding->timer.async_wait([this, alive, forwarding](const asio::error_code& cancelled) {
    if (cancelled || alive.expired() || forwarding->is_finished) return;
    // Those asked so far are slow; calls that come meanwhile begin with others.
    for (const std::string& host : forwarding->unanswered)
      m_choice.RecordFailure(Clock::now(), host);
    Continue(forwarding);
  });
}

void ControlRelay::Ask(const std::shared_ptr<Forwarding>& forwarding, const std::string& host) {
  forwarding->unanswered.insert(host);
  forwarding->failure = MakeControlError(kUnavailable, "control process " + host + " is silent");
  const std::weak_ptr<const bool> alive = m_alive;
  m_node->Request(host, MessageType::kControlCall, forwarding->message, forwarding->call.Deadline(),
                  [this, io = m_io, alive, forwarding, host](const Result<json>& reply) {
                    const Result<ControlResponse> answer =
                        reply ? DecodeControlResponse(reply.value())
                              : Result<ControlResponse>(reply.error());
                    asio::post(*io, [this, alive, forwarding, host, answer] {
                      if (alive.expired()) return;
                      OnAnswer(forwarding, host,
                               answer ? answer.value()
                                      : MakeControlError(kUnavailable, answer.error().ToString()));
                    });
                  });
}

void ControlRelay::OnAnswer(const std::shared_ptr<Forwarding>& forwarding, const std::string& host,
                            const ControlResponse& answer) {
  forwarding->unanswered.erase(host);
  const TimePoint now = Clock::now();
  const bool ends_call = forwarding->call.RecordAnswer(now, answer.status);
  if (ends_call) {
    m_choice.RecordAnswer(host);
  } else {
    m_choice.RecordFailure(now, host);
    LogEvent(LogLevel::kWarning, "control_call_failed_at",
             {{"control_host", host}, {"status", answer.status}, {"reason", answer.body}});
  }
  if (forwarding->is_finished) return;
  if (ends_call) return forwarding->Finish(answer);
  forwarding->failure = answer;
  Continue(forwarding);
}

}  // namespace corneltray
