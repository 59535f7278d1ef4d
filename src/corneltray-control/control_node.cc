#include "control_node.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <random>
#include <utility>

#include "corneltray/control_protocol.h"
#include "corneltray/fleet_messages.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

using nlohmann::json;

// A snapshot is taken after this many entries, or a quarter of the bookings held if that is more,
// so that the cost of a snapshot stays in proportion to the entries it replaces.
constexpr std::uint64_t kMinEntriesPerSnapshot = 4096;
// Bounds the log on a small disk when the commands are large.
constexpr std::uint64_t kMaxBytesPerSnapshot = std::uint64_t{8} * 1024 * 1024;
constexpr std::chrono::seconds kRetryReportLifetime{4};
constexpr std::chrono::seconds kMaxRequestTimeout{30};
constexpr std::chrono::milliseconds kStatusTimeout{1000};
constexpr std::chrono::milliseconds kHandOverPoll{10};
constexpr std::size_t kMaxHistoryRows = 1000;

ReplicaOptions MakeReplicaOptions() {
  ReplicaOptions options;
  options.seed = std::random_device{}();
  return options;
}

TimePoint DeadlineOf(const json& body) {
  const std::chrono::milliseconds timeout(body.at("timeout_ms").get<std::int64_t>());
  return Clock::now() + std::clamp<std::chrono::milliseconds>(timeout, {}, kMaxRequestTimeout);
}

bool IsPersist(const Action& action) {
  return std::holds_alternative<PersistHardState>(action) ||
         std::holds_alternative<PersistEntries>(action) ||
         std::holds_alternative<PersistSnapshot>(action);
}

// Completes a request once; later calls do nothing. Needed because a proposal is answered by its
// commit or by its deadline, whichever comes first.
ControlNode::Responder Once(ControlNode::Responder respond) {
  auto open = std::make_shared<bool>(true);
  return [open, respond = std::move(respond)](Result<json> result) {
    if (!std::exchange(*open, false)) return;
    respond(std::move(result));
  };
}

}  // namespace

ControlNode::ControlNode(ControlNodeOptions options, std::unique_ptr<LogStorage> storage)
    : m_options(std::move(options)),
      m_node(m_options.node),
      m_replica(MakeReplicaOptions(), std::move(storage->Recovered()), Clock::now()),
      m_storage(std::move(storage),
                [this](std::uint64_t sequence, const corneltray::Status& status) {
                  m_node->Post([this, sequence, status] { OnPersisted(sequence, status); });
                }) {}

void ControlNode::Register() {
  m_node->SetPushHandler(MessageType::kReplica, [this](const PeerIdentity& from, const json& body) {
    const auto message = ReplicaMessageFromJson(body);
    if (!message || from.program != kControlProgram) return;
    m_replica.Step(Clock::now(), from.host, message.value());
    Drain();
  });
  m_node->SetRequestHandler(MessageType::kPropose,
                            [this](const PeerIdentity&, const json& body,
                                   const Responder& respond) { Propose(body, respond); });
  m_node->SetRequestHandler(MessageType::kReadBooking,
                            [this](const PeerIdentity&, const json& body,
                                   const Responder& respond) { ReadBooking(body, respond); });
  m_node->SetRequestHandler(
      MessageType::kConfigurationFetch,
      [this](const PeerIdentity&, const json& body, const Responder& respond) {
        FetchConfiguration(body, respond);
      });
  m_node->SetRequestHandler(MessageType::kRouteTableFetch,
                            [this](const PeerIdentity&, const json& body,
                                   const Responder& respond) { FetchRouteTable(body, respond); });
}

void ControlNode::StartReplica() {
  m_recovered_index = m_replica.GetStatus().last.index;
  m_node->Post([this] {
    m_replica.Tick(Clock::now());
    Drain();
  });
}

void ControlNode::Drain() {
  while (true) {
    ActionBatch batch = m_replica.TakeActions();
    if (batch.actions.empty()) break;
    Execute(std::move(batch));
  }
  CheckCaughtUp();
  PublishConfiguration();
  PublishRouteTable();
  m_recovery_published = m_caught_up;
  CompactIfDue();
  PlanTick();
}

void ControlNode::Execute(ActionBatch batch) {
  ActionBatch persist;
  persist.sequence = batch.sequence;
  persist.needs_sync = batch.needs_sync;
  std::vector<Action> others;
  for (Action& action : batch.actions) {
    (IsPersist(action) ? persist.actions : others).push_back(std::move(action));
  }
  if (batch.needs_sync) {
    m_submitted = batch.sequence;
    m_storage.Submit(std::move(persist));
  }
  struct Visitor {
    ControlNode& node;
    void operator()(PersistHardState&) const {}
    void operator()(PersistEntries&) const {}
    void operator()(PersistSnapshot&) const {}
    void operator()(SendMessage& send) const { node.SendWhenPersisted(std::move(send)); }
    void operator()(ApplyEntries& apply) const { node.Apply(apply.entries); }
    void operator()(RestoreSnapshot& restore) const { node.Restore(restore.snapshot); }
    void operator()(ReadBarrierConfirmed& read) const { node.FinishRead(read.id, true); }
    void operator()(ReadBarrierFailed& read) const { node.FinishRead(read.id, false); }
    void operator()(RoleChanged& change) const { node.OnRoleChanged(change); }
  };
  for (Action& action : others) std::visit(Visitor{*this}, action);
}

void ControlNode::SendWhenPersisted(SendMessage send) {
  if (send.after_persist && m_persisted < m_submitted) {
    if (m_storage_failed) return;  // it would promise what is not on disk
    m_unsent.emplace_back(m_submitted, std::move(send.message));
    return;
  }
  const std::string host = send.message.to.host;
  m_node->Send(host, MessageType::kReplica, ReplicaMessageToJson(send.message));
}

void ControlNode::OnPersisted(std::uint64_t sequence, const corneltray::Status& status) {
  const TimePoint now = Clock::now();
  if (!status) {
    m_storage_failed = true;
    m_unsent.clear();  // they promise what is not on disk
    LogEvent(LogLevel::kError, "storage_failed", {{"error", status.error().ToString()}});
    m_replica.StorageFailed(now, status.error());
    Drain();
    return;
  }
  m_persisted = std::max(m_persisted, sequence);
  while (!m_unsent.empty() && m_unsent.front().first <= m_persisted) {
    const ReplicaMessage message = std::move(m_unsent.front().second);
    m_unsent.pop_front();
    m_node->Send(message.to.host, MessageType::kReplica, ReplicaMessageToJson(message));
  }
  m_replica.Persisted(now, sequence);
  Drain();
}

void ControlNode::Apply(const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    m_applied = entry.index;
    m_applied_term = entry.term;
    json reply;
    m_applied_bytes += entry.payload.size();
    if (entry.kind == EntryKind::kCommand) {
      const auto command = DecodeCommand(entry.payload);
      if (command) {
        reply = ReplyBody(m_state.Apply(command.value(), entry.timestamp));
      } else {
        // The same bytes fail on every replica, so the states stay equal.
        LogEvent(LogLevel::kError, "log_command_refused",
                 {{"index", entry.index}, {"error", command.error().ToString()}});
        reply = ErrorBody(ControlErrc::kNotProposed, command.error().ToString());
      }
    }
    const auto [begin, end] = m_proposals.equal_range(entry.index);
    for (auto waiting = begin; waiting != end; ++waiting) {
      // Another record at this position: the proposal was never committed and never will be.
      waiting->second.respond(
          waiting->second.term == entry.term
              ? reply
              : ErrorBody(ControlErrc::kNotProposed, "replaced at a change of leader"));
    }
    m_proposals.erase(begin, end);
  }
}

void ControlNode::Restore(const Snapshot& snapshot) {
  const corneltray::Status restored = m_state.Restore(*snapshot.data);
  if (!restored) {
    m_options.on_fatal(restored.error().ToString());
    return;
  }
  m_applied = m_compacted = snapshot.last.index;
  m_applied_term = snapshot.last.term;
  LogEvent(LogLevel::kInfo, "snapshot_restored",
           {{"index", m_applied}, {"revision", m_state.GetConfiguration().Revision()}});
  // Whether their commands are part of the snapshot is not known here.
  const auto end = m_proposals.upper_bound(m_applied);
  for (auto waiting = m_proposals.begin(); waiting != end; ++waiting) {
    waiting->second.respond(ErrorBody(ControlErrc::kUnavailable, "covered by a snapshot"));
  }
  m_proposals.erase(m_proposals.begin(), end);
}

void ControlNode::OnRoleChanged(const RoleChanged& change) {
  LogEvent(LogLevel::kInfo, "role_changed",
           {{"role", NameOf(change.role)},
            {"reason", NameOf(change.reason)},
            {"term", change.term},
            {"leader", change.leader ? change.leader->host : ""}});
  m_has_leader = change.leader.has_value();
  if (m_has_leader && !std::exchange(m_leader_reported, true)) m_options.on_leader_known();
}

void ControlNode::FinishRead(std::uint64_t id, bool confirmed) {
  const auto read = m_reads.extract(id);
  if (read.empty()) return;
  const WaitingRead& waiting = read.mapped();
  waiting.respond(confirmed ? waiting.answer()
                            : ErrorBody(ControlErrc::kUnavailable, "leadership was lost"));
}

void ControlNode::CheckCaughtUp() {
  if (m_caught_up || !m_has_leader) return;
  // A leader starts its term with an entry after everything that was committed before. Entries on
  // the own disk are waited for as well, unless the leader has replaced them.
  const ReplicaStatus status = m_replica.GetStatus();
  if (m_applied_term != status.term) return;
  if (m_applied < std::min(m_recovered_index, status.last.index)) return;
  m_caught_up = true;
}

void ControlNode::PublishConfiguration() {
  if (!m_caught_up) return;
  const ConfigurationStore& store = m_state.GetConfiguration();
  const std::uint64_t revision = store.Revision();
  if (revision == m_published) return;
  const RevisedDocument current{revision, store.Document()};
  std::optional<RevisedDocument> previous;
  if (const auto document = store.DocumentAt(revision - 1); document && revision > 1) {
    previous = RevisedDocument{revision - 1, *document};
  }
  m_published = revision;
  m_options.feed->Activate(current);
  m_options.on_revision(revision);
  const json update = MakeConfigurationUpdate(previous, current);
  for (const PeerStatus& peer : m_node->Peers()) {
    // Control processes get the document through the log.
    if (!peer.connected || peer.identity.program == kControlProgram) continue;
    m_node->Send(peer.identity.host, MessageType::kConfigurationChanged, update);
  }
}

void ControlNode::PublishRouteTable() {
  if (!m_caught_up) return;
  const std::uint64_t version = m_state.GetRouteTable().Version();
  if (version == m_published_route_table) return;
  m_published_route_table = version;
  if (m_options.on_route_table) m_options.on_route_table(version);
  for (const PeerStatus& peer : m_node->Peers()) {
    if (!peer.connected || peer.identity.program == kControlProgram) continue;
    m_node->Send(peer.identity.host, MessageType::kRouteTableChanged, {{"version", version}});
  }
}

void ControlNode::CompactIfDue() {
  const std::uint64_t due =
      std::max<std::uint64_t>(kMinEntriesPerSnapshot, m_state.GetBookings().Size() / 4);
  const bool is_due = m_applied >= m_compacted + due || m_applied_bytes >= kMaxBytesPerSnapshot;
  if (!is_due || m_storage_failed) return;
  m_compacted = m_applied;
  m_applied_bytes = 0;
  std::string data = m_state.Snapshot();
  LogEvent(LogLevel::kInfo, "snapshot_taken", {{"index", m_applied}, {"bytes", data.size()}});
  m_replica.Compact(m_applied, std::move(data));
  Drain();
}

void ControlNode::PlanTick() {
  const TimePoint next = m_replica.NextDeadline();
  if (m_next_tick && *m_next_tick <= next) return;
  m_next_tick = next;
  m_node->RunAt(next, [this, next] {
    // A later call may have planned an earlier tick; that one plans on.
    if (m_next_tick != next) return;
    m_next_tick.reset();
    m_replica.Tick(Clock::now());
    Drain();
  });
}

bool ControlNode::Forward(MessageType type, const json& body, const Responder& respond) {
  const ReplicaStatus status = m_replica.GetStatus();
  if (status.role == ReplicaRole::kLeader) return false;
  if (body.value("forwarded", false) || !status.leader) {
    respond(ErrorBody(ControlErrc::kNotProposed, m_options.host + " knows no leader"));
    return true;
  }
  const std::string leader = status.leader->host;
  const auto peers = m_node->Peers();
  const bool connected = std::any_of(peers.begin(), peers.end(), [&](const PeerStatus& peer) {
    return peer.connected && peer.identity.host == leader;
  });
  if (!connected) {
    respond(ErrorBody(ControlErrc::kNotProposed, "no link to the leader " + leader));
    return true;
  }
  json forwarded = body;
  forwarded["forwarded"] = true;
  m_node->Request(
      leader, type, std::move(forwarded), DeadlineOf(body), [respond](const Result<json>& reply) {
        respond(reply
                    ? reply
                    : Result<json>(ErrorBody(ControlErrc::kUnavailable, reply.error().ToString())));
      });
  return true;
}

void ControlNode::Propose(const json& body, const Responder& respond) {
  if (Forward(MessageType::kPropose, body, respond)) return;
  const TimePoint deadline = DeadlineOf(body);
  const auto& bytes = body.at("command").get_binary();
  std::string command(bytes.begin(), bytes.end());
  const auto decoded = DecodeCommand(command);
  if (!decoded) {
    respond(decoded.error());
    return;
  }
  if (const auto* change = std::get_if<ApplyConfiguration>(&decoded.value())) {
    command = EncodeCommand(PrepareChange(*change));
  }
  const auto position = m_replica.Propose(Clock::now(), UnixNow(), std::move(command));
  if (!position) {
    respond(ErrorBody(ControlErrc::kNotProposed, position.error().ToString()));
    Drain();
    return;
  }
  const Responder once = Once(respond);
  m_proposals.emplace(position.value().index, WaitingProposal{position.value().term, once});
  m_node->RunAt(deadline, [once] {
    once(ErrorBody(ControlErrc::kUnavailable, "not committed before the deadline"));
  });
  Drain();
}

void ControlNode::ReadBooking(const json& body, const Responder& respond) {
  if (Forward(MessageType::kReadBooking, body, respond)) return;
  const json& parts = body.at("key");
  const BookingKey key{parts.at(0), parts.at(1), parts.at(2)};
  StartRead([this, key] { return ReplyBody(m_state.ReadBooking(key)); }, respond, DeadlineOf(body));
}

void ControlNode::StartRead(std::function<json()> answer, const Responder& respond,
                            TimePoint deadline) {
  const std::uint64_t id = ++m_last_read;
  m_reads[id] = {std::move(answer), Once(respond)};
  const corneltray::Status started = m_replica.ReadBarrier(Clock::now(), id);
  if (!started) {
    m_reads.erase(id);
    respond(ErrorBody(ControlErrc::kNotProposed, started.error().ToString()));
  } else {
    m_node->RunAt(deadline, [this, id] {
      const auto read = m_reads.extract(id);
      if (read.empty()) return;
      read.mapped().respond(ErrorBody(ControlErrc::kUnavailable, "no majority answered"));
    });
  }
  Drain();
}

void ControlNode::FetchConfiguration(const json& body, const Responder& respond) {
  if (!m_caught_up) {
    respond(ErrorBody(ControlErrc::kNotProposed, m_options.host + " is still recovering"));
    return;
  }
  // A process without a configuration may have had the latest one before its restart, so it is
  // answered through the leader and never with what this replica has not applied yet. Without a
  // leader in reach, as in a partition, the local state is the best there is.
  const bool first = body.value("have", std::uint64_t{1}) == 0;
  if (first && m_replica.GetStatus().leader) {
    if (Forward(MessageType::kConfigurationFetch, body, respond)) return;
    StartRead([this, body] { return ConfigurationSince(body); }, respond, DeadlineOf(body));
    return;
  }
  respond(ConfigurationSince(body));
}

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
  if (Forward(MessageType::kRouteTableFetch, body, respond)) return;
  if (body.contains("retries_of")) {
    auto counts = DecodeRetryCounts(body.at("retries"));
    if (counts) {
      m_retry_reports[body.at("retries_of")] = {std::move(counts).value(),
                                                Clock::now() + kRetryReportLifetime};
    }
  }
  StartRead([this, have] { return RouteTableSince(have); }, respond, DeadlineOf(body));
}

// Requests and retries of all entry hosts by service, from the reports that they send with each
// fetch.
std::map<std::string, RetryCounts> ControlNode::FleetRetryCounts() const {
  std::map<std::string, RetryCounts> sum;
  const TimePoint now = Clock::now();
  for (const auto& [host, report] : m_retry_reports) {
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

json ControlNode::RouteTableSince(std::uint64_t have) const {
  const RouteTableStore& store = m_state.GetRouteTable();
  json members = json::array();
  for (const auto& [id, role] : m_replica.GetStatus().members.members) members.push_back(id.host);
  json reply = {{"version", store.Version()},
                {"members", std::move(members)},
                {"retries", EncodeRetryCounts(FleetRetryCounts())}};
  if (store.Version() > have) {
    const std::string& text = store.CompressedText();
    reply["text"] = json::binary({text.begin(), text.end()});
  }
  return reply;
}

corneltray::Status ControlNode::ChangeMembers(const MemberChange& change) {
  const auto position = m_replica.ProposeMembers(Clock::now(), change);
  Drain();
  if (!position) return position.error();
  return {};
}

void ControlNode::ExcludeFoundingHost(const std::string& host) {
  m_replica.ExcludeFoundingHost(host);
  Drain();
}

json ControlNode::ConfigurationSince(const json& body) const {
  const ConfigurationStore& store = m_state.GetConfiguration();
  if (body.contains("history")) {
    const std::size_t limit =
        std::min<std::size_t>(body.at("history").get<std::size_t>(), kMaxHistoryRows);
    std::vector<ConfigurationHistoryRow> rows(store.History().rbegin(), store.History().rend());
    if (rows.size() > limit) rows.resize(limit);
    return {{"history", HistoryToJson(rows)}};
  }
  const std::uint64_t have = body.at("have");
  if (have >= store.Revision()) {
    return {{"revision", store.Revision()}, {"unchanged", true}};
  }
  std::optional<RevisedDocument> from;
  if (have > 0) {
    if (const auto document = store.DocumentAt(have)) from = RevisedDocument{have, *document};
  }
  return MakeConfigurationUpdate(from, {store.Revision(), store.Document()});
}

json ControlNode::StatusNow() const {
  const ReplicaStatus status = m_replica.GetStatus();
  json members = json::array();
  for (const auto& [id, role] : status.members.members) {
    members.push_back({{"host", id.host},
                       {"disk_identity", id.disk_identity},
                       {"role", NameOf(role)},
                       {"voter", role == MemberRole::kVoter}});
  }
  return {{"role", NameOf(status.role)},
          {"term", status.term},
          {"leader", status.leader ? status.leader->host : ""},
          {"disk_identity", status.self.disk_identity},
          {"last_index", status.last.index},
          {"commit_index", status.commit_index},
          {"snapshot_index", status.snapshot_index},
          {"storage_failed", status.storage_failed},
          {"members", std::move(members)},
          {"log_time_ms", m_state.LogTime()},
          {"bookings", m_state.GetBookings().Size()},
          {"syncs", m_storage.SyncCount()}};
}

json ControlNode::Status() {
  auto promise = std::make_shared<std::promise<json>>();
  auto answer = promise->get_future();
  m_node->Post([this, promise] { promise->set_value(StatusNow()); });
  if (answer.wait_for(kStatusTimeout) != std::future_status::ready) return nullptr;
  return answer.get();
}

void ControlNode::TransferLeadership(TimePoint deadline) {
  auto promise = std::make_shared<std::promise<bool>>();
  auto started = promise->get_future();
  m_node->Post([this, promise] {
    // Fails at a follower, and without another voter to hand over to.
    const bool ok = m_replica.TransferLeadership(Clock::now()).Ok();
    if (ok) Drain();
    promise->set_value(ok);
  });
  if (started.wait_until(deadline) != std::future_status::ready || !started.get()) return;
  while (Clock::now() < deadline) {
    const json status = Status();
    if (status.is_null() || status["role"] != NameOf(ReplicaRole::kLeader)) return;
    std::this_thread::sleep_for(kHandOverPoll);
  }
}

std::optional<Result<json>> LocalControlClient::TryOnce(MessageType type, const json& body,
                                                        TimePoint deadline) {
  auto promise = std::make_shared<std::promise<Result<json>>>();
  auto answer = promise->get_future();
  m_node->Post([this, type, body, promise] {
    const ControlNode::Responder respond =
        Once([promise](Result<json> result) { promise->set_value(std::move(result)); });
    if (type == MessageType::kPropose) {
      m_control->Propose(body, respond);
    } else if (type == MessageType::kReadBooking) {
      m_control->ReadBooking(body, respond);
    } else {
      m_control->FetchConfiguration(body, respond);
    }
  });
  // The answer comes at the deadline at the latest; the margin lets it name the reason.
  if (answer.wait_until(deadline + kHandOverPoll * 10) != std::future_status::ready) {
    return Result<json>(Error{PeerErrc::kDeadlineExceeded, "no answer of the own process"});
  }
  return answer.get();
}

}  // namespace corneltray
