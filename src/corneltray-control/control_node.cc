#include "control_node.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <random>
#include <utility>
#include <vector>

#include "corneltray/control_protocol.h"
#include "corneltray/fleet_messages.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

using nlohmann::json;

// A snapshot is taken after this many entries, or after a quarter of the number of bookings if that
// is greater, so that the cost of a snapshot stays proportional to the entries that it replaces.
constexpr std::uint64_t kMinEntriesPerSnapshot = 4096;
// Bounds the size of the log on a small disk when the commands are large.
constexpr std::uint64_t kMaxBytesPerSnapshot = std::uint64_t{8} * 1024 * 1024;
// Bounds the memory for entries that wait for a disk that refuses writes.
constexpr std::size_t kMaxStorageBacklogBytes = std::size_t{32} * 1024 * 1024;
constexpr std::chrono::seconds kMaxRequestTimeout{30};
constexpr std::chrono::milliseconds kStatusTimeout{1000};
constexpr std::chrono::milliseconds kLeadershipPollInterval{10};
constexpr std::size_t kMaxHistoryRows = 1000;

ReplicaOptions MakeReplicaOptions(FoundingQuorum founding_quorum) {
  ReplicaOptions options;
  options.founding_quorum = founding_quorum;
  options.seed = std::random_device{}();
  return options;
}

bool IsPersist(const Action& action) {
  return std::holds_alternative<PersistHardState>(action) ||
         std::holds_alternative<PersistEntries>(action) ||
         std::holds_alternative<PersistSnapshot>(action);
}

// Wraps a responder so that only the first call has an effect. A proposal is answered by its commit
// or by its deadline, whichever comes first.
ControlNode::Responder RespondOnce(ControlNode::Responder respond) {
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
      m_replica(MakeReplicaOptions(m_options.founding_quorum), std::move(storage->Recovered()),
                Clock::now()),
      m_member_log_versions(m_options.host),
      m_storage(std::move(storage),
                [this](std::uint64_t sequence, const corneltray::Status& status) {
                  m_node->Post([this, sequence, status] { OnPersisted(sequence, status); });
                }) {}

void ControlNode::Register() {
  m_node->SetPushHandler(MessageType::kReplica, [this](const PeerIdentity& from, const json& body) {
    const auto message = ReplicaMessageFromJson(body);
    if (!message || from.program != kControlProgram) return;
    m_replica.Step(Clock::now(), from.host, message.value());
    ProcessActions();
  });
  m_node->SetRequestHandler(MessageType::kPropose,
                            [this](const PeerIdentity&, const json& body,
                                   const Responder& respond) { Propose(body, respond); });
  m_node->SetRequestHandler(MessageType::kReadIndex,
                            [this](const PeerIdentity&, const json& body,
                                   const Responder& respond) { ReadIndex(body, respond); });
  m_node->SetRequestHandler(MessageType::kHostReports,
                            [this](const PeerIdentity&, const json& body,
                                   const Responder& respond) { AnswerReports(body, respond); });
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
    ProcessActions();
    LogReadCounters();
  });
}

void ControlNode::ProcessActions() {
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
  ScheduleTick();
  RunReadBatches();
}

void ControlNode::Execute(ActionBatch batch) {
  ActionBatch persist;
  persist.sequence = batch.sequence;
  persist.needs_sync = batch.needs_sync;
  std::vector<Action> other_actions;
  for (Action& action : batch.actions) {
    (IsPersist(action) ? persist.actions : other_actions).push_back(std::move(action));
  }
  if (batch.needs_sync) {
    m_submitted_sequence = batch.sequence;
    m_storage.Submit(std::move(persist));
    CheckStorageBacklog();
  }
  struct Visitor {
    ControlNode& node;
    void operator()(PersistHardState&) const {}
    void operator()(PersistEntries&) const {}
    void operator()(PersistSnapshot&) const {}
    void operator()(SendMessage& send) const { node.SendWhenPersisted(std::move(send)); }
    void operator()(ApplyEntries& apply) const { node.Apply(apply.entries); }
    void operator()(RestoreSnapshot& restore) const { node.Restore(restore.snapshot); }
    void operator()(ReadBarrierConfirmed& read) const { node.FinishRead(read.id, read.index); }
    void operator()(ReadBarrierFailed& read) const { node.FinishRead(read.id, std::nullopt); }
    void operator()(RoleChanged& change) const { node.OnRoleChanged(change); }
    void operator()(VoteRefused& refused) const { node.OnVoteRefused(refused); }
  };
  for (Action& action : other_actions) std::visit(Visitor{*this}, action);
}

void ControlNode::SendWhenPersisted(SendMessage send) {
  if (send.after_persist && m_persisted_sequence < m_submitted_sequence) {
    if (m_storage_failed) return;  // the message would acknowledge entries that are not on disk
    m_unsent.emplace_back(m_submitted_sequence, std::move(send.message));
    return;
  }
  const std::string host = send.message.to.host;
  m_node->Send(host, MessageType::kReplica, ReplicaMessageToJson(send.message));
}

void ControlNode::OnPersisted(std::uint64_t sequence, const corneltray::Status& status) {
  const TimePoint now = Clock::now();
  if (!status) {
    OnStorageFailed(now, status.error());
    return;
  }
  m_persisted_sequence = std::max(m_persisted_sequence, sequence);
  while (!m_unsent.empty() && m_unsent.front().first <= m_persisted_sequence) {
    const ReplicaMessage message = std::move(m_unsent.front().second);
    m_unsent.pop_front();
    m_node->Send(message.to.host, MessageType::kReplica, ReplicaMessageToJson(message));
  }
  m_replica.Persisted(now, sequence);
  if (m_storage_failed.exchange(false)) {
    LogEvent(LogLevel::kInfo, "storage_recovered", {{"sequence", sequence}});
    m_replica.StorageRecovered(now);
  }
  ProcessActions();
}

void ControlNode::OnStorageFailed(TimePoint now, const Error& error) {
  m_storage_failed = true;
  m_unsent.clear();  // the messages would acknowledge entries that are not on disk
  LogEvent(LogLevel::kError, "storage_failed", {{"error", error.ToString()}});
  if (error.code == StorageErrc::kOutOfOrder) m_options.on_fatal(error.ToString());
  m_replica.StorageFailed(now, error);
  ProcessActions();
}

// A process that follows the log without a disk for long would run out of memory. After a restart
// it has what is on the disk and gets the rest from the leader.
void ControlNode::CheckStorageBacklog() {
  if (!m_storage_failed || m_storage.BacklogBytes() <= kMaxStorageBacklogBytes) return;
  m_options.on_fatal("the disk refuses writes and " + std::to_string(m_storage.BacklogBytes()) +
                     " bytes wait for it");
}

void ControlNode::Apply(const std::vector<LogEntry>& entries) {
  for (const LogEntry& entry : entries) {
    if (m_stops_applying) return;
    json reply;
    if (entry.kind == EntryKind::kCommand) {
      const auto command = DecodeCommand(entry.payload);
      if (!command && command.error().code == ControlStateErrc::kUnknownCommand) {
        return RefuseUnknownCommand(entry, command.error());
      }
      if (command) {
        reply = ReplyBody(m_state.Apply(command.value(), entry.timestamp));
      } else {
        // A known command is malformed for every replica, so the states stay equal.
        LogEvent(LogLevel::kError, "log_command_refused",
                 {{"index", entry.index}, {"error", command.error().ToString()}});
        reply = ErrorBody(ControlErrc::kNotProposed, command.error().ToString());
      }
    }
    m_applied_index = entry.index;
    m_applied_term = entry.term;
    m_applied_bytes += entry.payload.size();
    const auto [begin, end] = m_proposals.equal_range(entry.index);
    for (auto waiting = begin; waiting != end; ++waiting) {
      // With another term, an entry of another leader has taken this index: the proposal was not
      // committed and never will be.
      waiting->second.respond(
          waiting->second.term == entry.term
              ? reply
              : ErrorBody(ControlErrc::kNotProposed, "replaced at a change of leader"));
    }
    m_proposals.erase(begin, end);
  }
}

void ControlNode::RefuseUnknownCommand(const LogEntry& entry, const Error& error) {
  m_stops_applying = true;
  m_options.on_fatal("entry " + std::to_string(entry.index) +
                     " of the log was written by a newer version: " + error.ToString());
}

void ControlNode::Restore(const Snapshot& snapshot) {
  const corneltray::Status restored = m_state.Restore(*snapshot.data);
  if (!restored) {
    // The entries behind the snapshot must not be applied to a state without it.
    m_stops_applying = true;
    m_options.on_fatal(restored.error().ToString());
    return;
  }
  m_applied_index = m_compacted_index = snapshot.last.index;
  m_applied_term = snapshot.last.term;
  LogEvent(LogLevel::kInfo, "snapshot_restored",
           {{"index", m_applied_index}, {"revision", m_state.GetConfiguration().Revision()}});
  // The snapshot does not tell whether it includes the commands of these proposals.
  const auto end = m_proposals.upper_bound(m_applied_index);
  for (auto waiting = m_proposals.begin(); waiting != end; ++waiting) {
    waiting->second.respond(ErrorBody(ControlErrc::kUnavailable, "covered by a snapshot"));
  }
  m_proposals.erase(m_proposals.begin(), end);
}

void ControlNode::FinishRead(std::uint64_t id, std::optional<std::uint64_t> index) {
  const auto read = m_reads.extract(id);
  if (read.empty()) return;
  const PendingRead& waiting = read.mapped();
  if (m_stops_applying) {
    waiting.respond(ErrorBody(ControlErrc::kUnavailable, "the state does not follow the log"));
    return;
  }
  waiting.respond(index ? waiting.answer(*index)
                        : ErrorBody(ControlErrc::kUnavailable, "leadership was lost"));
}

void ControlNode::CheckCaughtUp() {
  if (m_caught_up || !m_has_leader) return;
  // A leader appends an entry at the start of its term, after everything that was committed before.
  // Also wait for the recovered entries, unless the leader has replaced them.
  const ReplicaStatus status = m_replica.GetStatus();
  if (m_applied_term != status.term) return;
  if (m_applied_index < std::min(m_recovered_index, status.last.index)) return;
  m_caught_up = true;
}

void ControlNode::PublishConfiguration() {
  if (!m_caught_up) return;
  const ConfigurationStore& store = m_state.GetConfiguration();
  const std::uint64_t revision = store.Revision();
  if (revision == m_published_revision) return;
  const RevisedDocument current{revision, store.Document()};
  std::optional<RevisedDocument> previous;
  if (const auto document = store.DocumentAt(revision - 1); document && revision > 1) {
    previous = RevisedDocument{revision - 1, *document};
  }
  m_published_revision = revision;
  m_options.feed->Activate(current);
  m_options.on_revision(revision);
  // Control processes receive the document through the log.
  m_node->Broadcast(ConnectedHosts(m_node->Peers(), kControlProgram),
                    MessageType::kConfigurationChanged, MakeConfigurationUpdate(previous, current));
}

void ControlNode::PublishRouteTable() {
  if (!m_caught_up) return;
  const std::uint64_t version = m_state.GetRouteTable().Version();
  if (version == m_published_route_version) return;
  m_published_route_version = version;
  if (m_options.on_route_table) m_options.on_route_table(version);
  m_node->Broadcast(ConnectedHosts(m_node->Peers(), kControlProgram),
                    MessageType::kRouteTableChanged, {{"version", version}});
  SendNewerRouteTable();
}

void ControlNode::CompactIfDue() {
  if (m_stops_applying) return;
  const std::uint64_t due =
      std::max<std::uint64_t>(kMinEntriesPerSnapshot, m_state.GetBookings().Size() / 4);
  const bool is_due =
      m_applied_index >= m_compacted_index + due || m_applied_bytes >= kMaxBytesPerSnapshot;
  if (!is_due || m_storage_failed) return;
  m_compacted_index = m_applied_index;
  m_applied_bytes = 0;
  std::string data = m_state.Snapshot();
  LogEvent(LogLevel::kInfo, "snapshot_taken", {{"index", m_applied_index}, {"bytes", data.size()}});
  m_replica.Compact(m_applied_index, std::move(data));
  ProcessActions();
}

void ControlNode::ScheduleTick() {
  const TimePoint next = m_replica.NextDeadline();
  if (m_next_tick && *m_next_tick <= next) return;
  m_next_tick = next;
  m_node->RunAt(next, [this, next] {
    // A later call may have scheduled an earlier tick, which then schedules the next one.
    if (m_next_tick != next) return;
    m_next_tick.reset();
    m_replica.Tick(Clock::now());
    ProcessActions();
  });
}

bool ControlNode::ForwardToLeader(MessageType type, const json& body, const Responder& respond) {
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

LogVersion ControlNode::ReadByAllMembers() {
  for (const PeerStatus& peer : m_node->Peers()) {
    if (peer.identity.program != kControlProgram) continue;
    m_member_log_versions.SetVersion(peer.identity.host, peer.identity.log_version);
  }
  return m_member_log_versions.ReadByAll(m_replica.GetStatus().members);
}

void ControlNode::Propose(const json& body, const Responder& respond) {
  if (ForwardToLeader(MessageType::kPropose, body, respond)) return;
  const TimePoint deadline = DeadlineOf(body);
  const auto& bytes = body.at("command").get_binary();
  std::string command(bytes.begin(), bytes.end());
  const auto decoded = DecodeCommand(command);
  if (!decoded) {
    respond(decoded.error());
    return;
  }
  // A leader of this build or a later one used a version only once all members read it.
  const LogVersion version = LogVersionOf(decoded.value());
  if (version > m_state.GetLogVersion() && version > ReadByAllMembers()) {
    respond(ErrorBody(ControlErrc::kNotProposed,
                      "not all members read log version " + std::to_string(version)));
    return;
  }
  if (const auto* change = std::get_if<ApplyConfiguration>(&decoded.value())) {
    command = EncodeCommand(PrepareChange(*change));
  }
  const auto position = m_replica.Propose(Clock::now(), UnixNow(), std::move(command));
  if (!position) {
    respond(ErrorBody(ControlErrc::kNotProposed, position.error().ToString()));
    ProcessActions();
    return;
  }
  const Responder once = RespondOnce(respond);
  m_proposals.emplace(position.value().index, PendingProposal{position.value().term, once});
  m_node->RunAt(deadline, [once] {
    once(ErrorBody(ControlErrc::kUnavailable, "not committed before the deadline"));
  });
  ProcessActions();
}

TimePoint ControlNode::DeadlineOf(const json& body) {
  const std::chrono::milliseconds timeout(body.at("timeout_ms").get<std::int64_t>());
  return Clock::now() + std::clamp<std::chrono::milliseconds>(timeout, {}, kMaxRequestTimeout);
}

void ControlNode::ReadBooking(const json& body, const Responder& respond) {
  if (ForwardToLeader(MessageType::kReadBooking, body, respond)) return;
  const json& parts = body.at("key");
  const BookingKey key{parts.at(0), parts.at(1), parts.at(2)};
  StartRead([this, key](std::uint64_t) { return ReplyBody(m_state.ReadBooking(key)); }, respond,
            DeadlineOf(body));
}

void ControlNode::StartRead(std::function<json(std::uint64_t index)> answer,
                            const Responder& respond, TimePoint deadline) {
  const std::uint64_t id = ++m_last_read_id;
  m_reads[id] = {std::move(answer), RespondOnce(respond), 0};
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
  ProcessActions();
}

void ControlNode::FetchConfiguration(const json& body, const Responder& respond) {
  if (!m_caught_up) {
    respond(ErrorBody(ControlErrc::kNotProposed, m_options.host + " is still recovering"));
    return;
  }
  // A process without a configuration may have had the latest one before its restart, so the fetch
  // goes through the leader and does not return an older revision that this replica has applied. If
  // no leader is known, as in a partition, the local state is used.
  const bool first = body.value("have", std::uint64_t{1}) == 0;
  if (first && m_replica.GetStatus().leader) {
    if (ForwardToLeader(MessageType::kConfigurationFetch, body, respond)) return;
    StartRead([this, body](std::uint64_t) { return ConfigurationSince(body); }, respond,
              DeadlineOf(body));
    return;
  }
  respond(ConfigurationSince(body));
}

corneltray::Status ControlNode::ChangeMembers(const MemberChange& change) {
  const auto position = m_replica.ProposeMembers(Clock::now(), change);
  ProcessActions();
  if (!position) return position.error();
  return {};
}

void ControlNode::ExcludeFoundingHost(const std::string& host) {
  m_replica.ExcludeFoundingHost(host);
  ProcessActions();
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

json ControlNode::MakeStatus() const {
  const ReplicaStatus status = m_replica.GetStatus();
  json members = json::array();
  for (const auto& [id, role] : status.members.members) {
    members.push_back({{"host", id.host},
                       {"disk_identity", id.disk_identity},
                       {"role", NameOf(role)},
                       {"voter", role == MemberRole::kVoter}});
  }
  json vote_refusals = json::object();
  for (const auto& reason : EnumNames<VoteRefusal>::kTable) {
    const auto counted = m_vote_refusals.find(reason.value);
    vote_refusals[std::string(reason.name)] =
        counted == m_vote_refusals.end() ? 0 : counted->second;
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
          {"vote_refusals", std::move(vote_refusals)},
          {"log_time_ms", m_state.LogTime()},
          {"bookings", m_state.GetBookings().Size()},
          {"syncs", m_storage.SyncCount()}};
}

json ControlNode::Status() {
  auto promise = std::make_shared<std::promise<json>>();
  auto answer = promise->get_future();
  m_node->Post([this, promise] { promise->set_value(MakeStatus()); });
  if (answer.wait_for(kStatusTimeout) != std::future_status::ready) return nullptr;
  return answer.get();
}

void ControlNode::TransferLeadership(TimePoint deadline) {
  auto promise = std::make_shared<std::promise<bool>>();
  auto started = promise->get_future();
  m_node->Post([this, promise] {
    // Fails on a follower and if there is no other voter.
    const bool ok = m_replica.TransferLeadership(Clock::now()).Ok();
    if (ok) ProcessActions();
    promise->set_value(ok);
  });
  if (started.wait_until(deadline) != std::future_status::ready || !started.get()) return;
  while (Clock::now() < deadline) {
    const json status = Status();
    if (status.is_null() || status["role"] != NameOf(ReplicaRole::kLeader)) return;
    std::this_thread::sleep_for(kLeadershipPollInterval);
  }
}

std::optional<Result<json>> LocalControlClient::TryOnce(MessageType type, const json& body,
                                                        TimePoint deadline) {
  auto promise = std::make_shared<std::promise<Result<json>>>();
  auto answer = promise->get_future();
  m_node->Post([this, type, body, promise] {
    const ControlNode::Responder respond =
        RespondOnce([promise](Result<json> result) { promise->set_value(std::move(result)); });
    if (type == MessageType::kPropose) {
      m_control->Propose(body, respond);
    } else if (type == MessageType::kReadBooking) {
      m_control->ReadBooking(body, respond);
    } else {
      m_control->FetchConfiguration(body, respond);
    }
  });
  // The request is answered by its deadline. The margin lets that answer, which states the reason,
  // arrive before this wait ends.
  if (answer.wait_until(deadline + kLeadershipPollInterval * 10) != std::future_status::ready) {
    return Result<json>(Error{PeerErrc::kDeadlineExceeded, "no answer of the own process"});
  }
  return answer.get();
}

}  // namespace corneltray
