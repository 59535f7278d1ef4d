#include "corneltray/control_client.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "control_protocol.h"
#include "corneltray/peer.h"

namespace corneltray {
namespace {

using nlohmann::json;

// A control process that has not answered by then is left for another one. Above the time of an
// election would wait out a dead leader; far below would send commands twice on a slow disk.
constexpr std::chrono::milliseconds kTryTimeout{1000};
// Pause while no control process can take the command, as during an election.
constexpr std::chrono::milliseconds kRetryPause{25};

std::int64_t MillisecondsUntil(TimePoint deadline) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now()).count();
  return std::max<std::int64_t>(left, 0);
}

void Pause(TimePoint deadline) {
  std::this_thread::sleep_until(std::min(deadline, Clock::now() + kRetryPause));
}

}  // namespace

Result<std::vector<ConfigurationHistoryRow>> ControlClient::ReadHistory(std::size_t,  // NOLINT
                                                                        TimePoint) {
  return Error{ControlErrc::kUnavailable, "no history here"};
}

PeerControlClient::PeerControlClient(PeerNode* node) : m_node(node) {}

std::string PeerControlClient::PickHost(const std::string& avoid) {
  std::vector<std::string> hosts;
  for (const PeerStatus& peer : m_node->Peers()) {
    if (peer.connected && peer.identity.program == kControlProgram) {
      hosts.push_back(peer.identity.host);
    }
  }
  if (hosts.empty()) return "";
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto preferred = std::find(hosts.begin(), hosts.end(), m_preferred);
  if (preferred != hosts.end() && *preferred != avoid) return *preferred;
  // The one after the one that failed, so that every control process is tried in turn.
  const auto next = std::upper_bound(hosts.begin(), hosts.end(), avoid);
  return next == hosts.end() ? hosts.front() : *next;
}

Result<json> PeerControlClient::Call(MessageType type, const json& body, TimePoint deadline) {
  bool may_be_proposed = false;
  std::string failed_host;
  std::string detail = "no control process is connected";
  while (Clock::now() < deadline) {
    const std::string host = PickHost(failed_host);
    if (host.empty()) {
      Pause(deadline);
      continue;
    }
    const TimePoint try_deadline = std::min(deadline, Clock::now() + kTryTimeout);
    json tried = body;
    tried["timeout_ms"] = MillisecondsUntil(try_deadline);
    auto promise = std::make_shared<std::promise<Result<json>>>();
    auto answer = promise->get_future();
    m_node->Request(host, type, std::move(tried), try_deadline,
                    [promise](Result<json> reply) { promise->set_value(std::move(reply)); });
    Result<json> reply = answer.get();
    if (reply && !reply.value().contains("error")) {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_preferred = host;
      return reply;
    }
    failed_host = host;
    if (reply) {
      if (reply.value().value("error", "") != kNotProposedName) may_be_proposed = true;
      detail = host + ": " + reply.value().value("detail", "");
    } else {
      may_be_proposed = true;
      detail = reply.error().ToString();
      if (reply.error().code == make_error_code(PeerErrc::kStopped)) break;
    }
    Pause(deadline);
  }
  return Error{may_be_proposed ? ControlErrc::kUnavailable : ControlErrc::kNotProposed, detail};
}

Result<CommandReply> PeerControlClient::Propose(const Command& command, TimePoint deadline) {
  const auto reply = Call(MessageType::kPropose, ProposeBody(command, 0), deadline);
  if (!reply) return reply.error();
  return ParseReplyBody(reply.value());
}

Result<BookingReply> PeerControlClient::ReadBooking(const BookingKey& key, TimePoint deadline) {
  const auto reply = Call(MessageType::kReadBooking, ReadBookingBody(key, 0), deadline);
  if (!reply) return Error{ControlErrc::kUnavailable, reply.error().ToString()};
  const auto parsed = ParseReplyBody(reply.value());
  if (!parsed) return parsed.error();
  const auto* booking = std::get_if<BookingReply>(&parsed.value());
  if (booking == nullptr) return Error{ControlErrc::kMalformedReply, "not a booking"};
  return *booking;
}

Result<std::vector<ConfigurationHistoryRow>> PeerControlClient::ReadHistory(std::size_t limit,
                                                                            TimePoint deadline) {
  const auto reply = Call(MessageType::kConfigurationFetch, HistoryBody(limit), deadline);
  if (!reply) return Error{ControlErrc::kUnavailable, reply.error().ToString()};
  const auto rows = reply.value().find("history");
  if (rows == reply.value().end()) return Error{ControlErrc::kMalformedReply, "no history"};
  return HistoryFromJson(*rows);
}

}  // namespace corneltray
