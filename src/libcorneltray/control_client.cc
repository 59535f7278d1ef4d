#include "corneltray/control_client.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "corneltray/control_protocol.h"
#include "corneltray/peer.h"

namespace corneltray {
namespace {

using nlohmann::json;

// Time after which the next control process is asked. A longer timeout than an election would wait
// for a failed leader; a much shorter one would send commands twice when the disk is slow.
constexpr std::chrono::milliseconds kAttemptTimeout{1000};
// Delay between attempts while no control process can accept the command, as during an election.
constexpr std::chrono::milliseconds kRetryDelay{25};

std::int64_t MillisecondsUntil(TimePoint deadline) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
  return std::max<std::int64_t>(left, 0);
}

void WaitBeforeRetry(TimePoint deadline) {
  std::this_thread::sleep_until(std::min(deadline, Clock::now() + kRetryDelay));
}

}  // namespace

Result<std::vector<ConfigurationHistoryRow>> ControlClient::ReadHistory(std::size_t,  // NOLINT
                                                                        TimePoint) {
  return Error{ControlErrc::kUnavailable, "no history here"};
}

Result<json> RetryingControlClient::Call(MessageType type, const json& body, TimePoint deadline) {
  bool may_be_proposed = false;
  std::string detail = "no control process is connected";
  while (Clock::now() < deadline) {
    const TimePoint attempt_deadline = std::min(deadline, Clock::now() + kAttemptTimeout);
    json attempt_body = body;
    attempt_body["timeout_ms"] = MillisecondsUntil(attempt_deadline);
    std::optional<Result<json>> reply = TryOnce(type, attempt_body, attempt_deadline);
    if (reply && *reply) {
      const json& answer = reply->value();
      if (!answer.contains("error")) return *std::move(reply);
      if (answer.value("error", "") != kNotProposedName) may_be_proposed = true;
      detail = answer.value("detail", "");
    } else if (reply) {
      may_be_proposed = true;
      detail = reply->error().ToString();
      if (reply->error().code == make_error_code(PeerErrc::kStopped)) break;
    }
    WaitBeforeRetry(deadline);
  }
  return Error{may_be_proposed ? ControlErrc::kUnavailable : ControlErrc::kNotProposed, detail};
}

PeerControlClient::PeerControlClient(PeerNode* node) : m_node(node) {}

std::string PeerControlClient::SelectHost() {
  std::vector<std::string> hosts;
  for (const PeerStatus& peer : m_node->Peers()) {
    if (peer.connected && peer.identity.program == kControlProgram) {
      hosts.push_back(peer.identity.host);
    }
  }
  if (hosts.empty()) return "";
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto preferred = std::find(hosts.begin(), hosts.end(), m_preferred_host);
  if (preferred != hosts.end()) return *preferred;
  // Continue after the host that failed, so that every control process is tried in turn.
  const auto next = std::upper_bound(hosts.begin(), hosts.end(), m_failed_host);
  return next == hosts.end() ? hosts.front() : *next;
}

std::optional<Result<json>> PeerControlClient::TryOnce(MessageType type, const json& body,
                                                       TimePoint deadline) {
  const std::string host = SelectHost();
  if (host.empty()) return std::nullopt;
  auto promise = std::make_shared<std::promise<Result<json>>>();
  auto answer = promise->get_future();
  m_node->Request(host, type, body, deadline,
                  [promise](Result<json> reply) { promise->set_value(std::move(reply)); });
  Result<json> reply = answer.get();
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (reply && !reply.value().contains("error")) {
    m_preferred_host = host;
  } else {
    m_failed_host = host;
    if (m_preferred_host == host) m_preferred_host.clear();
  }
  return reply;
}

Result<CommandReply> RetryingControlClient::Propose(const Command& command, TimePoint deadline) {
  const auto reply = Call(MessageType::kPropose, ProposeBody(command, 0), deadline);
  if (!reply) return reply.error();
  return ParseReplyBody(reply.value());
}

Result<BookingReply> RetryingControlClient::ReadBooking(const BookingKey& key, TimePoint deadline) {
  const auto reply = Call(MessageType::kReadBooking, ReadBookingBody(key, 0), deadline);
  if (!reply) return Error{ControlErrc::kUnavailable, reply.error().ToString()};
  const auto parsed = ParseReplyBody(reply.value());
  if (!parsed) return parsed.error();
  const auto* booking = std::get_if<BookingReply>(&parsed.value());
  if (booking == nullptr) return Error{ControlErrc::kMalformedReply, "not a booking"};
  return *booking;
}

Result<std::vector<ConfigurationHistoryRow>> RetryingControlClient::ReadHistory(
    std::size_t limit, TimePoint deadline) {
  const auto reply = Call(MessageType::kConfigurationFetch, HistoryBody(limit), deadline);
  if (!reply) return Error{ControlErrc::kUnavailable, reply.error().ToString()};
  const auto rows = reply.value().find("history");
  if (rows == reply.value().end()) return Error{ControlErrc::kMalformedReply, "no history"};
  return HistoryFromJson(*rows);
}

}  // namespace corneltray
