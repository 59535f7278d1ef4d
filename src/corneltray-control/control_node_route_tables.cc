// Route tables that gateways fetch, and the reads of the log that confirm them.
#include <algorithm>
#include <chrono>
#include <utility>

#include "control_node.h"
#include "corneltray/control_protocol.h"
#include "corneltray/fleet_messages.h"
#include "corneltray/forward_report.h"
#include "corneltray/log.h"
#include "corneltray/pace_messages.h"
#include "corneltray/rate_limit_report.h"
#include "corneltray/retry_messages.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr std::chrono::seconds kHostReportLifetime{4};
// An entry host that is cut off for a shorter time still hears that a limit has ended.
constexpr std::chrono::seconds kRateLimitLifetime{60};
// Hosts that the leader names to another control process, for all isolated hosts that ask it.
constexpr std::size_t kMaxListedForwardHosts = 64;
// Many hosts wait for the same read and get the same reply. Only the members and the counts of
// retries in it may be as old as this.
constexpr std::chrono::milliseconds kReplyLifetime{100};
// Nobody waits longer for a read than this. A late confirmation is as good as an early one, so a
// busy leader is not asked again and again for what it has nearly done.
constexpr std::chrono::milliseconds kReadIndexTimeout{900};

constexpr std::chrono::seconds kReadCounterLogInterval{5};

}  // namespace

void ControlNode::FetchRouteTable(const json& body, const Responder& respond) {
  const std::uint64_t have = body.at("have");
  if (!body.value("confirmed", false)) {
    if (m_caught_up) {
      respond(RouteTableSince(have));
    } else {
      respond(ErrorBody(ControlErrc::kNotProposed, m_options.host + " is still recovering"));
    }
    return;
  }
  if (body.contains("retries_of")) {
    const std::string host = body.at("retries_of").get<std::string>();
    const json pace = body.value("pace", json::object());
    StoreHostReports({{host, body.at("retries")}}, {{host, pace}});
    if (body.contains("retry_report")) StoreRetryReport(host, body.at("retry_report"));
  }
  if (body.contains("rate_limits")) StoreRateLimits(body.at("rate_limits"));
  if (body.contains("forward_report")) {
    StoreForwardReports({{body.value("retries_of", ""), body.at("forward_report")}});
  }
  const bool has_newer = have > 0 && m_caught_up && m_state.GetRouteTable().Version() > have;
  if (has_newer && body.value("accepts_unconfirmed", false)) {
    json reply = RouteTableSince(have);
    reply["is_confirmed"] = false;
    respond(std::move(reply));
    return;
  }
  const bool has_report = body.contains("retry_report");
  const std::string host = has_report ? body.value("retries_of", "") : "";
  const bool is_isolated = body.value("needs_forward_hosts", false);
  if (is_isolated) m_needs_forward_hosts = true;
  const std::string asking = body.value("retries_of", "");
  const auto answer = [this, have, host, is_isolated, asking](std::uint64_t) {
    json reply = RouteTableSince(have);
    const auto grant = m_retry_grants.find(host);
    if (grant != m_retry_grants.end()) reply["retry_grant"] = grant->second;
    if (is_isolated) {
      reply["forward_hosts"] = EncodeForwardHosts(ListForwardHosts(asking, kMaxForwardHosts));
    }
    return reply;
  };
  AddBatchedRead(answer, respond, DeadlineOf(body), asking);
}

void ControlNode::ReadIndex(const json& body, const Responder& respond) {
  if (m_replica.GetStatus().role != ReplicaRole::kLeader) {
    respond(ErrorBody(ControlErrc::kNotProposed, m_options.host + " is not the leader"));
    return;
  }
  StoreHostReports(body.at("retry_reports"), body.value("pace_reports", json::object()));
  json grants = json::object();
  if (body.contains("rate_limits")) StoreRateLimits(body.at("rate_limits"));
  StoreForwardReports(body.value("forward_reports", json::object()));
  json forward_hosts;
  if (body.contains("forward_hosts_of")) {
    const auto asking = body.at("forward_hosts_of").get<std::string>();
    forward_hosts = EncodeForwardHosts(ListForwardHosts(asking, kMaxListedForwardHosts));
  }
  const json reports = body.value("quota_reports", json::object());
  for (const auto& [host, report] : reports.items()) {
    StoreRetryReport(host, report);
    if (m_retry_grants.count(host) > 0) grants[host] = m_retry_grants.at(host);
  }
  const auto answer = [this, grants, forward_hosts](std::uint64_t index) {
    const ScopedTime timed(&m_read_counters.sum_time);
    ++m_read_counters.sums_made;
    json reply = {{"index", index},
                  {"retries", EncodeRetryCounts(FleetRetryCounts())},
                  {"retry_grants", grants},
                  {"pace", EncodeFleetPace(SumOfPace())},
                  {"rate_limits", EncodeRateLimitReports(Clock::now(), FleetRateLimits())}};
    if (!forward_hosts.is_null()) reply["forward_hosts"] = forward_hosts;
    return reply;
  };
  AddBatchedRead(answer, respond, DeadlineOf(body), "");
}

void ControlNode::AddBatchedRead(std::function<json(std::uint64_t index)> answer,
                                 const Responder& respond, TimePoint deadline,
                                 const std::string& host) {
  ++m_read_counters.reads_added;
  m_batched_reads[m_read_batcher.Add(deadline, host)] = {std::move(answer), respond};
  RunReadBatches();
}

void ControlNode::LogReadCounters() {
  LogEvent(LogLevel::kInfo, "log_reads", {{"since_start", m_read_counters.ToJson()}});
  m_node->RunAt(Clock::now() + kReadCounterLogInterval, [this] { LogReadCounters(); });
}

void ControlNode::RunReadBatches() {
  const TimePoint now = Clock::now();
  for (const ReadBatcher::CompleteRead& complete : m_read_batcher.TakeComplete(m_applied_index)) {
    const auto read = m_batched_reads.extract(complete.id);
    ++m_read_counters.reads_answered;
    read.mapped().respond(read.mapped().answer(complete.index));
  }
  for (const ReadBatcher::Id id : m_read_batcher.TakeExpired(now)) {
    ++m_read_counters.reads_expired;
    RefuseRead(id, m_has_leader ? "the leader did not confirm the read"
                                : m_options.host + " knows no leader");
  }
  for (const ReadBatcher::Id id : m_read_batcher.TakeReplaced()) {
    ++m_read_counters.reads_replaced;
    RefuseRead(id, "replaced by a later read of the host");
  }
  if (const auto round = m_read_batcher.Begin(now)) BeginReadBatch(*round);
  const auto next = m_read_batcher.NextWakeup();
  if (!next || (m_next_read_wakeup && *m_next_read_wakeup <= *next)) return;
  m_next_read_wakeup = next;
  m_node->RunAt(*next, [this, next] {
    if (m_next_read_wakeup != next) return;  // an earlier wakeup was scheduled since
    m_next_read_wakeup.reset();
    RunReadBatches();
  });
}

void ControlNode::RefuseRead(ReadBatcher::Id id, const std::string& why) {
  const auto read = m_batched_reads.extract(id);
  read.mapped().respond(ErrorBody(ControlErrc::kUnavailable, why));
}

void ControlNode::BeginReadBatch(ReadBatcher::Round round) {
  ++m_read_counters.rounds_begun;
  const ReplicaStatus status = m_replica.GetStatus();
  const auto finish = [this, round, began_at = Clock::now()](const Result<json>& reply) {
    OnReadIndex(round, began_at, reply);
  };
  const TimePoint deadline = Clock::now() + kReadIndexTimeout;
  if (status.role == ReplicaRole::kLeader) {
    m_unsent_retry_reports = json::object();
    m_unsent_pace_reports = json::object();
    m_unsent_quota_reports = json::object();
    m_unsent_rate_limits.clear();
    m_unsent_forward_reports = json::object();
    StartRead([](std::uint64_t index) -> json { return {{"index", index}}; }, finish, deadline);
    return;
  }
  if (!status.leader) {
    ++m_read_counters.rounds_failed;
    m_read_batcher.Fail(round);
    return;
  }
  json body = {{"retry_reports", std::exchange(m_unsent_retry_reports, json::object())},
               {"pace_reports", std::exchange(m_unsent_pace_reports, json::object())},
               {"quota_reports", std::exchange(m_unsent_quota_reports, json::object())},
               {"timeout_ms", kReadIndexTimeout.count()}};
  const RateLimitReports limits = std::exchange(m_unsent_rate_limits, {});
  if (!limits.empty()) body["rate_limits"] = EncodeRateLimitReports(Clock::now(), limits);
  if (!m_unsent_forward_reports.empty()) {
    body["forward_reports"] = std::exchange(m_unsent_forward_reports, json::object());
  }
  if (std::exchange(m_needs_forward_hosts, false)) body["forward_hosts_of"] = m_options.host;
  m_node->Request(status.leader->host, MessageType::kReadIndex, std::move(body), deadline, finish);
}

void ControlNode::OnReadIndex(ReadBatcher::Round round, TimePoint began_at,
                              const Result<json>& reply) {
  const bool is_confirmed = reply && reply.value().contains("index");
  if (is_confirmed) {
    m_read_counters.AddRound(Clock::now() - began_at);
    m_read_batcher.Confirm(round, reply.value().at("index").get<std::uint64_t>());
    if (reply.value().contains("retries")) {
      const auto counts = DecodeRetryCounts(reply.value().at("retries"));
      if (counts) m_leader_retry_counts = counts.value();
    }
    const json grants = reply.value().value("retry_grants", json::object());
    for (const auto& [host, grant] : grants.items()) m_retry_grants[host] = grant;
    if (reply.value().contains("pace")) {
      auto pace = DecodeFleetPace(reply.value().at("pace"));
      if (pace) m_leader_pace = std::move(pace).value();
    }
    const json limits = reply.value().value("rate_limits", json::object());
    auto rate_limits = DecodeRateLimitReports(Clock::now(), limits);
    if (rate_limits) m_leader_rate_limits = std::move(rate_limits).value();
    const json hosts = reply.value().value("forward_hosts", json::array());
    const auto forward_hosts = DecodeForwardHosts(hosts);
    if (forward_hosts && !forward_hosts.value().empty()) {
      m_leader_forward_hosts = {};
      for (const ForwardHost& host : forward_hosts.value()) {
        m_leader_forward_hosts.Store(Clock::now(), host.name,
                                     {host.address, ForwardState::kServing});
      }
    }
  } else {
    const std::string why = reply ? reply.value().value("detail", "") : reply.error().ToString();
    ++m_read_counters.rounds_failed;
    LogEvent(LogLevel::kWarning, "read_not_confirmed", {{"reason", why}});
    m_read_batcher.Fail(round);
  }
  RunReadBatches();
}

// Keeps the counts that entry hosts reported, and passes them on with the next read of the leader.
void ControlNode::StoreHostReports(const json& retry_reports, const json& pace_reports) {
  const ScopedTime timed(&m_read_counters.report_time);
  m_read_counters.reports_stored += retry_reports.size();
  for (const auto& [host, report] : retry_reports.items()) {
    const json pace_report = pace_reports.value(host, json::object());
    auto counts = DecodeRetryCounts(report);
    auto pace = DecodePaceCounts(pace_report);
    if (!counts || !pace) {
      const Error& error = counts ? pace.error() : counts.error();
      LogEvent(LogLevel::kWarning, "retry_report_refused",
               {{"of", host}, {"error", error.ToString()}});
      continue;
    }
    m_host_reports[host] = {std::move(counts).value(), std::move(pace).value(),
                            Clock::now() + kHostReportLifetime};
    m_unsent_retry_reports[host] = report;
    m_unsent_pace_reports.erase(host);
    if (!pace_report.empty()) m_unsent_pace_reports[host] = pace_report;
  }
}

void ControlNode::StoreRateLimits(const json& body) {
  const TimePoint now = Clock::now();
  const auto reports = DecodeRateLimitReports(now, body);
  if (!reports) {
    LogEvent(LogLevel::kWarning, "rate_limit_report_refused",
             {{"error", reports.error().ToString()}});
    return;
  }
  MergeRateLimitReports(reports.value(), &m_rate_limits);
  RemoveRateLimitReportsBefore(now - kRateLimitLifetime, &m_rate_limits);
  MergeRateLimitReports(reports.value(), &m_unsent_rate_limits);
}

// Keeps what entry hosts reported about themselves, and passes it on with the next read.
void ControlNode::StoreForwardReports(const json& reports) {
  for (const auto& [host, body] : reports.items()) {
    const auto report = DecodeForwardReport(body);
    if (!report) {
      LogEvent(LogLevel::kWarning, "forward_report_refused",
               {{"of", host}, {"error", report.error().ToString()}});
      continue;
    }
    m_forward_hosts.Store(Clock::now(), host, report.value());
    m_unsent_forward_reports[host] = body;
  }
}

// Returns entry hosts that serve requests of others: at the leader as they reported, elsewhere what
// the leader told last.
std::vector<ForwardHost> ControlNode::ListForwardHosts(const std::string& asking,
                                                       std::size_t max_hosts) const {
  const bool is_leader = m_replica.GetStatus().role == ReplicaRole::kLeader;
  const ForwardHostTable& table = is_leader ? m_forward_hosts : m_leader_forward_hosts;
  return table.List(Clock::now(), asking, max_hosts);
}

RateLimitReports ControlNode::FleetRateLimits() const {
  const bool is_leader = m_replica.GetStatus().role == ReplicaRole::kLeader;
  RateLimitReports reports = is_leader ? m_rate_limits : m_leader_rate_limits;
  RemoveRateLimitReportsBefore(Clock::now() - kRateLimitLifetime, &reports);
  return reports;
}

void ControlNode::StoreRetryReport(const std::string& host, const json& body) {
  if (m_replica.GetStatus().role != ReplicaRole::kLeader) {
    m_unsent_quota_reports[host] = body;
    return;
  }
  const TimePoint now = Clock::now();
  if (!m_retry_quotas) m_retry_quotas.emplace(now, KnownEntryHosts());
  const auto report = DecodeRetryReport(body);
  if (!report) {
    LogEvent(LogLevel::kWarning, "retry_report_refused",
             {{"of", host}, {"error", report.error().ToString()}});
    return;
  }
  const auto grant = m_retry_quotas->Allocate(now, host, report.value());
  if (grant) m_retry_grants[host] = EncodeRetryGrant(*grant);
}

std::uint32_t ControlNode::KnownEntryHosts() const {
  std::uint32_t hosts = 0;
  for (const auto& [service, counts] : m_leader_retry_counts) hosts = std::max(hosts, counts.hosts);
  return hosts;
}

// Returns the requests and retries of all entry hosts by service: at the leader the sum of their
// reports, elsewhere what the leader told last.
std::map<std::string, RetryCounts> ControlNode::FleetRetryCounts() const {
  if (m_replica.GetStatus().role != ReplicaRole::kLeader) return m_leader_retry_counts;
  std::map<std::string, RetryCounts> sum;
  const TimePoint now = Clock::now();
  for (const auto& [host, report] : m_host_reports) {
    if (now >= report.expires_at) continue;
    for (const auto& [service, counts] : report.by_service) {
      RetryCounts& total = sum[service];
      total.requests += counts.requests;
      total.retries += counts.retries;
      ++total.hosts;
    }
  }
  return sum;
}

// Returns what all entry hosts have seen of the servers that they pace: at the leader the sum of
// their reports, elsewhere what the leader told last.
FleetPace ControlNode::SumOfPace() const {
  if (m_replica.GetStatus().role != ReplicaRole::kLeader) return m_leader_pace;
  FleetPace sum;
  const TimePoint now = Clock::now();
  for (const auto& [host, report] : m_host_reports) {
    if (now >= report.expires_at) continue;
    ++sum.hosts;
    AddPaceCounts(report.by_server, &sum.servers);
  }
  return sum;
}

// Returns the availability zones of the control processes that this one is linked to, by host, and
// its own.
json ControlNode::MemberZones() const {
  json zones = {{m_options.host, m_options.availability_zone}};
  for (const PeerStatus& peer : m_node->ConnectedPeers(kControlProgram)) {
    zones[peer.identity.host] = peer.identity.availability_zone;
  }
  return zones;
}

const json& ControlNode::RouteTableSince(std::uint64_t have) {
  const std::uint64_t version = m_state.GetRouteTable().Version();
  const TimePoint now = Clock::now();
  CachedFetchReply& reply = m_route_table_reply;
  if (reply.have != have || reply.version != version || now >= reply.expires_at) {
    reply = {have, version, now + kReplyLifetime, MakeRouteTableReply(have)};
  }
  return reply.body;
}

json ControlNode::MakeRouteTableReply(std::uint64_t have) {
  const ScopedTime timed(&m_read_counters.sum_time);
  ++m_read_counters.sums_made;
  const RouteTableStore& store = m_state.GetRouteTable();
  json members = json::array();
  for (const auto& [id, role] : m_replica.GetStatus().members.members) members.push_back(id.host);
  json reply = {{"version", store.Version()},
                {"members", std::move(members)},
                {"member_zones", MemberZones()},
                {"retries", EncodeRetryCounts(FleetRetryCounts())},
                {"pace", EncodeFleetPace(SumOfPace())}};
  const RateLimitReports limits = FleetRateLimits();
  if (!limits.empty()) reply["rate_limits"] = EncodeRateLimitReports(Clock::now(), limits);
  if (store.Version() > have) {
    const std::string& text = store.CompressedText();
    reply["text"] = json::binary({text.begin(), text.end()});
  }
  return reply;
}

}  // namespace corneltray
