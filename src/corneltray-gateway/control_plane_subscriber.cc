#include "control_plane_subscriber.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "corneltray/address.h"
#include "corneltray/control_client.h"
#include "corneltray/forward_report.h"
#include "corneltray/log.h"
#include "corneltray/pace_messages.h"
#include "corneltray/prompt_messages.h"
#include "corneltray/rate_limit_report.h"
#include "corneltray/retry_messages.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kTickInterval{100};
constexpr std::chrono::milliseconds kFetchTimeout{800};
// The caller of the request that is to be tried waits for the answer.
constexpr std::chrono::milliseconds kTrialAnswerTimeout{400};
// A process that still has no table after this time, as in a network partition, accepts an
// unconfirmed one.
constexpr std::chrono::seconds kUnconfirmedTableDelay{4};

std::int64_t MillisecondsBetween(TimePoint start, TimePoint end) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(end - start).count();
}

}  // namespace

ControlPlaneSubscriber::ControlPlaneSubscriber(asio::io_context* io, PeerNode* node,
                                               Gateway* gateway, HostLocation self,
                                               std::vector<std::string> seeds)
    : m_io(io),
      m_self(std::move(self)),
      m_node(node),
      m_gateway(gateway),
      m_subscription(
          io, node, m_self,
          [gateway](const UpstreamUpdates& updates) { gateway->UpdateUpstreams(updates); }),
      m_discovery(io, node, m_self.name,
                  [this](const std::string& address) { m_subscription.AddDiscovered(address); }),
      m_timer(*io),
      m_fetches(m_self.name) {
  if (!seeds.empty()) m_peer_port = PortOf(seeds.front());
  m_subscription.SetSeeds(seeds);
}

void ControlPlaneSubscriber::Register() {
  m_discovery.Register();
  m_subscription.Register();
  m_node->SetPushHandler(MessageType::kEngineHealth, [this](const PeerIdentity&, const json& body) {
    auto engines = DecodeEngineHealth(body);
    if (!engines) return;
    asio::post(*m_io, [this, engines = std::move(engines).value()] {
      m_gateway->UpdateEngineHealth(engines);
    });
  });
  m_node->SetPushHandler(MessageType::kPromptVerdicts,
                         [this](const PeerIdentity& from, const json& body) {
                           auto verdicts = DecodePartVerdicts(body);
                           if (!verdicts) {
                             return LogEvent(LogLevel::kWarning, "message_refused",
                                             {{"of", from.host},
                                              {"type", NameOf(MessageType::kPromptVerdicts)},
                                              {"error", verdicts.error().ToString()}});
                           }
                           asio::post(*m_io, [this, verdicts = std::move(verdicts).value()] {
                             m_gateway->UpdatePromptVerdicts(verdicts);
                           });
                         });
  m_node->SetPushHandler(MessageType::kRouteTableChanged, [this](const PeerIdentity& from,
                                                                 const json& body) {
    const std::uint64_t version = body.value("version", std::uint64_t{0});
    asio::post(*m_io, [this, host = from.host, version] { OnRouteTableChanged(host, version); });
  });
}

void ControlPlaneSubscriber::Start() {
  m_gateway->SetSuspectHandler([this](const UpstreamRefresh& engine) {
    UpstreamUpdates suspected;
    suspected.refreshes.push_back(engine);
    m_subscription.SendToSource(MessageType::kUpstreamSuspected, EncodeUpstreamUpdates(suspected));
  });
  m_gateway->SetQuarantineHandler(
      [this](const QuarantineAction& action) { return SendQuarantineAction(action); });
  m_gateway->SetIsolationHandler([this] {
    m_fetches.Expedite();
    FetchIfDue();
  });
  m_started_at = Clock::now();
  ScheduleTick();
}

bool ControlPlaneSubscriber::SendQuarantineAction(const QuarantineAction& action) {
  if (!m_subscription.HasLinks()) return false;
  struct Visitor {
    ControlPlaneSubscriber& subscriber;
    void operator()(const CrashReport& report) const {
      subscriber.m_subscription.SendToAll(MessageType::kPromptCrash, EncodeCrashReport(report));
    }
    void operator()(const AnswerBegun& begun) const {
      subscriber.m_subscription.SendToAll(MessageType::kPromptBegun,
                                          EncodePromptParts(begun.parts));
    }
    void operator()(const TrialRequest& request) const { subscriber.RequestTrial(request); }
  };
  std::visit(Visitor{*this}, action);
  return true;
}

void ControlPlaneSubscriber::RequestTrial(const TrialRequest& request) {
  const std::string host = m_fetches.Preferred(Clock::now(), m_subscription.Candidates());
  const auto finish = [this, part = request.verdict.part](const Result<json>& reply) {
    const bool is_granted = reply && IsTrialGranted(reply.value());
    asio::post(*m_io, [this, part, is_granted] { m_gateway->AnswerTrial(part, is_granted); });
  };
  m_node->Request(host, MessageType::kPromptTrial, EncodeTrialRequest(request),
                  Clock::now() + kTrialAnswerTimeout, finish);
}

void ControlPlaneSubscriber::Stop() {
  m_stopped = true;
  m_timer.cancel();
}

void ControlPlaneSubscriber::SetSeeds(const std::vector<std::string>& seeds) {
  m_subscription.SetSeeds(seeds);
}

void ControlPlaneSubscriber::ScheduleTick() {
  m_timer.expires_after(kTickInterval);
  m_timer.async_wait([this](const asio::error_code& cancelled) {
    if (cancelled || m_stopped) return;
    Tick();
    ScheduleTick();
  });
}

void ControlPlaneSubscriber::Tick() {
  const TimePoint now = Clock::now();
  m_subscription.Check(now);
  if (!m_subscription.HasLinks()) m_discovery.Query(now);
  FetchIfDue();
  ProbeIfDue(now);
}

void ControlPlaneSubscriber::OnRouteTableChanged(const std::string& host, std::uint64_t version) {
  m_fetches.OnVersionCommitted(Clock::now(), host, version);
  const std::uint64_t held = m_gateway->RouteVersion();
  if (version <= held) return;
  LogEvent(LogLevel::kInfo, "route_table_told",
           {{"control_host", host}, {"version", version}, {"version_in_force", held}});
  FetchIfDue();
}

void ControlPlaneSubscriber::FetchIfDue() {
  if (m_stopped) return;
  while (const auto host = m_fetches.NextFetch(Clock::now(), m_subscription.Candidates(),
                                               m_gateway->RouteVersion())) {
    FetchRouteTable(*host);
  }
}

void ControlPlaneSubscriber::ProbeIfDue(TimePoint now) {
  while (const auto host = m_subscription.NextProbe(now)) Probe(*host);
}

// A probe does not count as a fetch, so that fetches never wait for a control process that is cut
// off.
void ControlPlaneSubscriber::Probe(const std::string& host) {
  const json body = {{"have", m_gateway->RouteVersion()},
                     {"confirmed", true},
                     {"timeout_ms", kFetchTimeout.count()}};
  m_node->Request(host, MessageType::kRouteTableFetch, body, Clock::now() + kFetchTimeout,
                  [this, host](const Result<json>& reply) {
                    if (!reply || !reply.value().contains("version")) return;
                    asio::post(*m_io, [this, host] {
                      if (!m_stopped) m_subscription.OnConfirmed(Clock::now(), host);
                    });
                  });
}

void ControlPlaneSubscriber::FetchRouteTable(const std::string& host) {
  const TimePoint asked_at = BootTimeNow();
  const std::uint64_t held = m_gateway->RouteVersion();
  const bool confirmed = held > 0 || Clock::now() - m_started_at <= kUnconfirmedTableDelay;
  json body = {{"have", held},
               {"confirmed", confirmed},
               {"accepts_unconfirmed", true},
               {"retries_of", m_self.name},
               {"retries", EncodeRetryCounts(m_gateway->OwnRetryCounts())},
               {"pace", EncodePaceCounts(m_gateway->OwnPaceCounts())},
               {"timeout_ms", kFetchTimeout.count()}};
  const auto retry_report = m_gateway->MakeRetryReport();
  if (retry_report) body["retry_report"] = EncodeRetryReport(*retry_report);
  const RateLimitReports limits = m_gateway->OwnRateLimits();
  if (!limits.empty()) body["rate_limits"] = EncodeRateLimitReports(Clock::now(), limits);
  const auto forward_report = m_gateway->MakeForwardReport();
  if (forward_report) body["forward_report"] = EncodeForwardReport(*forward_report);
  if (m_gateway->IsIsolated()) body["needs_forward_hosts"] = true;
  m_node->Request(host, MessageType::kRouteTableFetch, std::move(body),
                  Clock::now() + kFetchTimeout,
                  [this, host, confirmed, asked_at](const Result<json>& reply) {
                    asio::post(*m_io, [this, host, confirmed, asked_at, reply] {
                      OnRouteTable(host, confirmed, asked_at, reply);
                      FetchIfDue();
                    });
                  });
}

void ControlPlaneSubscriber::OnRouteTable(const std::string& host, bool confirmed,
                                          TimePoint asked_at, const Result<json>& reply) {
  if (!reply) return OnFetchFailed(host, reply.error().ToString());
  const json& body = reply.value();
  if (!body.contains("version")) return OnFetchFailed(host, body.value("detail", ""));
  const bool is_confirmed = confirmed && body.value("is_confirmed", true);
  m_fetches.OnAnswered(host, is_confirmed);
  ApplyRouteTable(host, asked_at, body);
  ApplyMembers(body);
  const auto retries = DecodeRetryCounts(body.at("retries"));
  if (retries) m_gateway->SetFleetRetryCounts(retries.value());
  // A control process of an older version sends neither of the following.
  const auto grant = DecodeRetryGrant(body.value("retry_grant", json::object()));
  if (grant) m_gateway->ApplyRetryGrant(grant.value());
  const auto pace = DecodeFleetPace(body.value("pace", json::object()));
  if (pace) m_gateway->SetFleetPace(pace.value());
  ApplyRateLimits(asked_at, body);
  const auto hosts = DecodeForwardHosts(body.value("forward_hosts", json::array()));
  if (hosts) m_gateway->SetForwardHosts(hosts.value());
  if (is_confirmed && m_gateway->RouteVersion() >= body.at("version").get<std::uint64_t>()) {
    m_gateway->ConfirmRouteTable(asked_at);
    m_subscription.OnConfirmed(Clock::now(), host);
  }
}

void ControlPlaneSubscriber::OnFetchFailed(const std::string& host, const std::string& reason) {
  LogEvent(LogLevel::kWarning, "route_table_unconfirmed",
           {{"control_host", host}, {"reason", reason}});
  const TimePoint now = Clock::now();
  m_fetches.OnFailed(now, host);
  m_subscription.OnReadFailed(now, host);
  // The linked control hosts may have left the replicated log but know its current members.
  m_discovery.Query(now);
}

void ControlPlaneSubscriber::ApplyRouteTable(const std::string& host, TimePoint asked_at,
                                             const json& reply) {
  // The same table may be fetched from two control processes; the second copy is not decoded.
  const bool is_newer = reply.at("version").get<std::uint64_t>() > m_gateway->RouteVersion();
  if (!is_newer || !reply.contains("text")) return;
  const auto& bytes = reply.at("text").get_binary();
  const TimePoint decode_start = Clock::now();
  const auto table =
      ReadCompressedRouteTable(m_gateway->GetDialect(), {bytes.begin(), bytes.end()});
  if (!table) {
    LogEvent(LogLevel::kError, "route_table_unreadable",
             {{"version", reply.at("version").get<std::uint64_t>()},
              {"error", table.error().ToString()}});
    return;
  }
  LogEvent(LogLevel::kInfo, "route_table_fetched",
           {{"control_host", host},
            {"version", table.value().version},
            {"bytes", bytes.size()},
            {"took_ms", MillisecondsBetween(asked_at, BootTimeNow())},
            {"decoding_ms", MillisecondsBetween(decode_start, Clock::now())}});
  m_gateway->SetRouteTable(table.value());
}

void ControlPlaneSubscriber::ApplyRateLimits(TimePoint asked_at, const json& reply) {
  const auto body = reply.find("rate_limits");
  if (body == reply.end()) return;
  // The ages were taken after the request was sent: as of then, no report appears too new.
  const auto limits = DecodeRateLimitReports(Clock::now() - (BootTimeNow() - asked_at), *body);
  if (limits) m_gateway->SetFleetRateLimits(limits.value());
}

void ControlPlaneSubscriber::ApplyMembers(const json& reply) {
  const auto zones = reply.find("member_zones");
  std::vector<ControlHost> members;
  for (const json& member : reply.at("members")) {
    const std::string host = member.get<std::string>();
    const std::string zone = zones == reply.end() ? "" : zones->value(host, "");
    members.push_back({host + ":" + m_peer_port, zone});
  }
  m_subscription.SetMembers(members);
}

}  // namespace corneltray
