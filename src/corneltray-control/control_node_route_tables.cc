// Route tables that gateways fetch, and the reads of the log that confirm them.
#include <algorithm>
#include <chrono>
#include <utility>

#include "control_node.h"
#include "corneltray/control_protocol.h"
#include "corneltray/forward_report.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

using nlohmann::json;

// Hosts that the leader names to another control process, for all isolated hosts that ask it.
constexpr std::size_t kMaxListedForwardHosts = 64;
// Many hosts wait for the same read and get the same reply. Only the members and the counts of
// retries in it may be as old as this.
constexpr std::chrono::milliseconds kReplyLifetime{100};
// Nobody waits longer for a read than this. A late confirmation is as good as an early one, so a
// busy leader is not asked again and again for what it has nearly done.
constexpr std::chrono::milliseconds kReadIndexTimeout{900};
constexpr std::chrono::milliseconds kReportTimeout{900};
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
  m_reports.StoreFetch(Clock::now(), body);
  const bool has_newer = have > 0 && m_caught_up && m_state.GetRouteTable().Version() > have;
  const bool accepts_unconfirmed = body.value("accepts_unconfirmed", false);
  if (has_newer && accepts_unconfirmed) return respond(UnconfirmedRouteTableSince(have));
  const std::string host = body.value("retries_of", "");
  const bool is_isolated = body.value("needs_forward_hosts", false);
  if (is_isolated) m_needs_forward_hosts = true;
  const auto answer = [this, have, host, is_isolated](std::uint64_t) {
    json reply = RouteTableSince(have);
    json grant = m_reports.RetryGrantOf(host);
    if (!grant.is_null()) reply["retry_grant"] = std::move(grant);
    if (is_isolated) {
      reply["forward_hosts"] =
          EncodeForwardHosts(m_reports.ListForwardHosts(Clock::now(), host, kMaxForwardHosts));
    }
    return reply;
  };
  const ReadBatcher::Id id = AddBatchedRead({answer, respond, have}, DeadlineOf(body), host);
  if (accepts_unconfirmed && have > 0) m_read_batcher.SetHeldVersion(id, have);
}

// The table of a newer version is committed, and needs no confirmation.
json ControlNode::UnconfirmedRouteTableSince(std::uint64_t have) {
  json reply = RouteTableSince(have);
  reply["is_confirmed"] = false;
  return reply;
}

void ControlNode::SendNewerRouteTable() {
  const std::uint64_t version = m_state.GetRouteTable().Version();
  for (const ReadBatcher::Id id : m_read_batcher.TakeOutdated(version)) {
    const auto read = m_batched_reads.extract(id);
    read.mapped().respond(UnconfirmedRouteTableSince(read.mapped().held_version));
  }
}

void ControlNode::ReadIndex(const json& body, const Responder& respond) {
  if (m_replica.GetStatus().role != ReplicaRole::kLeader) {
    respond(ErrorBody(ControlErrc::kNotProposed, m_options.host + " is not the leader"));
    return;
  }
  // Older builds send the reports of their hosts with each read.
  const bool has_reports = body.contains("quota_reports");
  json reply = has_reports ? m_reports.AnswerBatch(Clock::now(), body) : json::object();
  if (body.contains("forward_hosts_of")) {
    const auto asking = body.at("forward_hosts_of").get<std::string>();
    reply["forward_hosts"] = EncodeForwardHosts(
        m_reports.ListForwardHosts(Clock::now(), asking, kMaxListedForwardHosts));
  }
  const auto answer = [reply = std::move(reply)](std::uint64_t index) {
    json confirmed = reply;
    confirmed["index"] = index;
    return confirmed;
  };
  AddBatchedRead({answer, respond, 0}, DeadlineOf(body), "");
}

ReadBatcher::Id ControlNode::AddBatchedRead(PendingRead read, TimePoint deadline,
                                            const std::string& host) {
  ++m_read_counters.reads_added;
  const ReadBatcher::Id id = m_read_batcher.Add(deadline, host);
  m_batched_reads[id] = std::move(read);
  RunReadBatches();
  return id;
}

void ControlNode::LogReadCounters() {
  m_read_counters.reports_stored = m_reports.ReportsStored();
  m_read_counters.sums_made = m_reports.SumsMade();
  m_read_counters.sum_time = m_reports.SumTime();
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
    StartRead([](std::uint64_t index) -> json { return {{"index", index}}; }, finish, deadline);
    return;
  }
  if (!status.leader) {
    ++m_read_counters.rounds_failed;
    m_read_batcher.Fail(round);
    return;
  }
  SendReports(status.leader->host);
  // Older builds expect the field.
  json body = {{"retry_reports", json::object()}, {"timeout_ms", kReadIndexTimeout.count()}};
  if (!m_leader_takes_reports) AddReports(&body);
  if (std::exchange(m_needs_forward_hosts, false)) body["forward_hosts_of"] = m_options.host;
  m_node->Request(status.leader->host, MessageType::kReadIndex, std::move(body), deadline, finish);
}

void ControlNode::OnReadIndex(ReadBatcher::Round round, TimePoint began_at,
                              const Result<json>& reply) {
  const bool is_confirmed = reply && reply.value().contains("index");
  if (is_confirmed) {
    const json& body = reply.value();
    m_read_counters.AddRound(Clock::now() - began_at);
    m_read_batcher.Confirm(round, body.at("index").get<std::uint64_t>());
    if (body.contains("retries")) m_reports.StoreAnswer(Clock::now(), body);
    const auto hosts = body.find("forward_hosts");
    if (hosts != body.end()) m_reports.StoreForwardHosts(Clock::now(), *hosts);
  } else {
    const std::string why = reply ? reply.value().value("detail", "") : reply.error().ToString();
    ++m_read_counters.rounds_failed;
    LogEvent(LogLevel::kWarning, "read_not_confirmed", {{"reason", why}});
    m_read_batcher.Fail(round);
    if (!m_leader_takes_reports) m_reports.OnBatchFailed(Clock::now());
  }
  RunReadBatches();
}

// Sends the reports of entry hosts to the leader, apart from the reads, so that no read waits for
// them.
void ControlNode::SendReports(const std::string& leader) {
  if (!m_leader_takes_reports) return;
  const TimePoint now = Clock::now();
  auto batch = m_reports.TakeBatch(now);
  if (!batch) return;
  m_node->Request(leader, MessageType::kHostReports, std::move(*batch), now + kReportTimeout,
                  [this, leader](const Result<json>& reply) { OnReportsAnswered(leader, reply); });
}

void ControlNode::OnReportsAnswered(const std::string& leader, const Result<json>& reply) {
  const TimePoint now = Clock::now();
  if (reply && reply.value().contains("retry_grants")) {
    m_reports.StoreAnswer(now, reply.value());
    return;
  }
  m_reports.OnBatchFailed(now);
  // The leader is of a build that takes reports with reads only.
  const auto& status = m_replica.GetStatus();
  const bool is_leader = status.leader && status.leader->host == leader;
  if (!reply && reply.error().code == PeerErrc::kRefused && is_leader) {
    m_leader_takes_reports = false;
  }
}

void ControlNode::AddReports(json* body) {
  const auto batch = m_reports.TakeBatch(Clock::now());
  (*body)["quota_reports"] = json::object();
  if (batch) body->update(*batch);
}

void ControlNode::AnswerReports(const json& body, const Responder& respond) {
  if (m_replica.GetStatus().role != ReplicaRole::kLeader) {
    respond(ErrorBody(ControlErrc::kNotProposed, m_options.host + " is not the leader"));
    return;
  }
  const ScopedTime timed(&m_read_counters.report_time);
  respond(m_reports.AnswerBatch(Clock::now(), body));
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
  const RouteTableStore& store = m_state.GetRouteTable();
  json members = json::array();
  for (const auto& [id, role] : m_replica.GetStatus().members.members) members.push_back(id.host);
  json reply = {{"version", store.Version()},
                {"members", std::move(members)},
                {"member_zones", MemberZones()}};
  m_reports.AddSums(Clock::now(), &reply);
  if (store.Version() > have) {
    const std::string& text = store.CompressedText();
    reply["text"] = json::binary({text.begin(), text.end()});
  }
  return reply;
}

}  // namespace corneltray
