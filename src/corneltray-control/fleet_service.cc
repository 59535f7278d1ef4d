#include "fleet_service.h"

#include <algorithm>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "corneltray/address.h"
#include "corneltray/compression.h"
#include "corneltray/control_protocol.h"
#include "corneltray/engine_call.h"
#include "corneltray/key_lease.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kTickInterval{250};
constexpr std::chrono::milliseconds kPutTimeout{900};
constexpr std::chrono::milliseconds kGetTimeout{900};
constexpr std::chrono::milliseconds kOrderConnectTimeout{500};
// An engine may execute an order many seconds late, and may abandon it when the connection closes.
constexpr std::chrono::seconds kOrderAnswerTimeout{15};

constexpr int kOk = 200;
constexpr int kInvalid = 400;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

json LogFields(const Announcement& announcement) {
  json fields = {
      {"upstream", announcement.name},      {"incarnation", announcement.incarnation},
      {"sequence", announcement.sequence},  {"address", announcement.address},
      {"service", announcement.service},    {"upstream_zone", announcement.availability_zone},
      {"state", NameOf(announcement.state)}};
  if (!announcement.holdings.empty()) {
    fields["first_layer"] = announcement.holdings.front().first_layer;
    fields["last_layer"] = announcement.holdings.front().last_layer;
  }
  return fields;
}

}  // namespace

FleetService::FleetService(asio::io_context* io, FleetServiceOptions options)
    : m_io(io),
      m_options(std::move(options)),
      m_endpoint(io, m_options.dialect, &m_metrics,
                 [this](const ControlCall& call, const ControlRequest&,
                        const ControlResponder& respond) { OnCall(call, respond); }),
      m_pool(io),
      m_links(io, m_options.node,
              [this](const std::string& host, const UpstreamUpdates& fetched) {
                m_distributor.MergeFetched(host, fetched);
              }),
      m_discovery(io, m_options.node, m_options.host,
                  [this](const std::string& address) { m_options.node->Connect(address); }),
      m_distributor({io, m_options.node, &m_table, m_options.incarnation,
                     [this](const std::string& host) { m_quarantine.SendVerdicts(host); },
                     [this](const std::string& host) { m_links.FetchAgain(host); }}),
      m_health_checker({m_options.host, m_options.availability_zone, m_options.dialect, &m_pool,
                        m_options.node, &m_table, &m_distributor}),
      m_quarantine(io, {m_options.node, &m_table, &m_metrics, &m_distributor, &m_leadership,
                        [this](const RecordPartVerdicts& verdicts) { ProposeVerdicts(verdicts); }}),
      m_tick_timer(*io),
      m_member_controller(m_options.target_voters) {}

void FleetService::Register() {
  m_discovery.Register();
  m_quarantine.Register();
  m_distributor.Register();
  m_options.node->SetPushHandler(
      MessageType::kUpstreamSuspected, [this](const PeerIdentity& from, const json& body) {
        auto suspected = DecodeUpstreamUpdates(body);
        if (!suspected) return;
        asio::post(*m_io, [this, from, suspected = std::move(suspected).value()] {
          OnSuspected(from, suspected);
        });
      });
  m_options.node->SetRequestHandler(
      MessageType::kControlCall,
      [this](const PeerIdentity& from, const json& body, const PeerNode::Responder& respond) {
        auto request = DecodeControlRequest(body);
        if (!request) return respond(request.error());
        asio::post(*m_io, [this, host = from.host, request = std::move(request).value(), respond] {
          m_endpoint.HandleForwarded(request, host, [respond](const ControlResponse& answer) {
            respond(EncodeControlResponse(answer));
          });
        });
      });
  m_options.node->SetPushHandler(MessageType::kJoinRequest, [this](const PeerIdentity& from,
                                                                   const json& body) {
    if (from.program != kControlProgram) return;
    m_member_controller.AddJoinRequest(Clock::now(), {from.host, body.value("disk_identity", "")});
  });
}

Status FleetService::Start() {
  m_endpoint.SetBudget(m_options.budget);
  if (corneltray::Status listening = m_endpoint.Listen(m_options.address); !listening) {
    return listening;
  }
  ScheduleTick();
  return {};
}

void FleetService::Stop() {
  m_stopped = true;
  m_health_checker.Stop();
  m_tick_timer.cancel();
  m_distributor.Stop();
  m_endpoint.Close();
  m_pool.CloseAll();
}

void FleetService::OnCall(const ControlCall& call, const ControlResponder& respond) {
  struct Visitor {
    FleetService& service;
    const ControlResponder& respond;
    void operator()(const AnnounceCall& announce) const { service.OnAnnounce(announce, respond); }
    void operator()(const LeaveCall& leave) const { service.OnLeave(leave, respond); }
    void operator()(const PutRouteTableCall& put) const { service.OnPut(put, respond); }
    void operator()(const GetRouteTableCall&) const { service.OnGet(respond); }
    void operator()(const RefusedCall& refused) const {
      respond(MakeControlError(refused.status, refused.reason));
    }
  };
  std::visit(Visitor{*this, respond}, call);
}

void FleetService::OnSuspected(const PeerIdentity& from, const UpstreamUpdates& suspected) {
  UpstreamUpdates relayed;
  for (const UpstreamRefresh& engine : suspected.refreshes) {
    const UpstreamTableEntry* known = m_table.Find(engine.name);
    // Many hosts suspect an engine at the same time; the other control processes need one of these
    // reports.
    if (known == nullptr || !known->is_suspected) relayed.refreshes.push_back(engine);
    m_table.Suspect(Clock::now(), engine.name, engine.incarnation, engine.sequence);
    m_health_checker.Suspect(engine, from.host);
  }
  if (from.program != kControlProgram && !relayed.refreshes.empty()) {
    m_distributor.RelayToControlHosts(MessageType::kUpstreamSuspected,
                                      EncodeUpstreamUpdates(relayed));
  }
  m_health_checker.Check();
}

void FleetService::OnAnnounce(const AnnounceCall& announce, const ControlResponder& respond) {
  const Announcement& announcement = announce.announcement;
  const UpdateResult result = m_distributor.Announce(Clock::now(), announcement);
  if (result == UpdateResult::kRefreshed || result == UpdateResult::kStale) return respond({kOk});
  json fields = LogFields(announcement);
  fields["verdict"] = NameOf(result);
  LogEvent(LogLevel::kInfo, "upstream_announced", fields);
  if (announcement.state != UpstreamState::kLeaving) return respond({kOk});
  m_distributor.Depart({announcement, false}, [respond] { respond({kOk}); });
}

void FleetService::OnLeave(const LeaveCall& leave, const ControlResponder& respond) {
  const auto update = m_table.MarkLeft(Clock::now(), leave.upstream, leave.incarnation);
  LogEvent(LogLevel::kInfo, "upstream_left",
           {{"upstream", leave.upstream},
            {"incarnation", leave.incarnation},
            {"known", update.has_value()}});
  if (!update) return respond({kOk});
  m_distributor.Depart(*update, [respond] { respond({kOk}); });
}

void FleetService::OnPut(const PutRouteTableCall& put, const ControlResponder& respond) {
  const auto refuse = [&](const Error& error) {
    LogEvent(LogLevel::kWarning, "route_table_refused", {{"error", error.ToString()}});
    respond(MakeControlError(kInvalid, error.ToString()));
  };
  const auto table = m_options.dialect->ReadRouteTable(put.text);
  if (!table) return refuse(table.error());
  if (const Status valid = ValidateRouteTable(table.value()); !valid) return refuse(valid.error());
  const std::uint64_t version = table.value().version;
  ReplaceRouteTable command{version, Compress(put.text)};
  const json body = ProposeBody(command, kPutTimeout.count());
  const auto finish = [this, respond, version](const Result<json>& result) {
    const auto reply =
        result ? ParseReplyBody(result.value()) : Result<CommandReply>(result.error());
    asio::post(*m_io, [respond, version, reply] {
      if (!reply) {
        LogEvent(LogLevel::kWarning, "route_table_not_acknowledged",
                 {{"version", version}, {"error", reply.error().ToString()}});
        return respond(MakeControlError(kUnavailable, reply.error().ToString()));
      }
      const auto* outcome = std::get_if<RouteTableReply>(&reply.value());
      const bool conflict = outcome == nullptr || outcome->verdict == RouteTableVerdict::kConflict;
      LogEvent(LogLevel::kInfo, "route_table_decided",
               {{"version", version},
                {"verdict", outcome == nullptr ? "unknown" : NameOf(outcome->verdict)},
                {"version_in_force", outcome == nullptr ? 0 : outcome->version}});
      if (conflict) {
        return respond(MakeControlError(kConflict, "another table is held under this version"));
      }
      respond({kOk});
    });
  };
  m_options.node->Post([this, body, finish] { m_options.control->Propose(body, finish); });
}

void FleetService::OnGet(const ControlResponder& respond) {
  const json body = {{"have", 0}, {"confirmed", true}, {"timeout_ms", kGetTimeout.count()}};
  const auto finish = [this, respond](const Result<json>& result) {
    const bool found = result && result.value().contains("text");
    const std::string detail =
        !result ? result.error().ToString() : result.value().value("detail", "");
    std::string compressed;
    if (found) {
      const auto& bytes = result.value().at("text").get_binary();
      compressed.assign(bytes.begin(), bytes.end());
    }
    asio::post(*m_io, [respond, found, detail, compressed] {
      const auto text = Decompress(compressed, kMaxRouteTableBytes);
      if (!found || !text) return respond(MakeControlError(kUnavailable, detail));
      respond({kOk, text.value()});
    });
  };
  m_options.node->Post([this, body, finish] { m_options.control->FetchRouteTable(body, finish); });
}

void FleetService::ScheduleTick() {
  m_tick_timer.expires_after(kTickInterval);
  m_tick_timer.async_wait([this](const asio::error_code& cancelled) {
    if (cancelled || m_stopped) return;
    Tick();
    ScheduleTick();
  });
}

void FleetService::Tick() {
  const TimePoint now = Clock::now();
  m_table.Expire(now);
  m_distributor.Check(now);
  m_links.Check();
  PlaceLayers(now);
  m_health_checker.Check();
  m_quarantine.Check();
  m_options.node->Post([this] {
    ReadReplica();
    UpdateMembership();
  });
}

void FleetService::ReadReplica() {
  const ReplicaStatus status = m_options.control->GetReplicaStatus();
  ReplicaView view;
  view.read_at = BootTimeNow();
  if (status.role == ReplicaRole::kLeader && m_options.control->CaughtUp()) {
    view.leading_term = status.term;
  }
  if (status.leader) view.leader_host = status.leader->host;
  const RouteTableStore& store = m_options.control->GetRouteTable();
  view.route_version = store.Version();
  if (view.route_version != m_last_seen_route_version) {
    m_last_seen_route_version = view.route_version;
    view.compressed_routes = store.CompressedText();
  }
  const PartVerdictStore& verdicts = m_options.control->GetPartVerdicts();
  if (verdicts.Version() != m_last_seen_verdicts_version) {
    m_last_seen_verdicts_version = verdicts.Version();
    view.verdicts = verdicts.Verdicts();
  }
  asio::post(*m_io, [this, view = std::move(view)] { OnReplicaView(view); });
}

void FleetService::ProposeVerdicts(const RecordPartVerdicts& verdicts) {
  const json body = ProposeBody(verdicts, kPutTimeout.count());
  const auto finish = [](const Result<json>& result) {
    const auto reply =
        result ? ParseReplyBody(result.value()) : Result<CommandReply>(result.error());
    if (reply) return;
    // What the log lacks is proposed again.
    LogEvent(LogLevel::kWarning, "prompt_verdicts_not_recorded",
             {{"error", reply.error().ToString()}});
  };
  m_options.node->Post([this, body, finish] { m_options.control->Propose(body, finish); });
}

void FleetService::OnReplicaView(const ReplicaView& view) {
  if (view.leading_term != m_logged_term) {
    LogEvent(LogLevel::kInfo, view.leading_term ? "placement_begins" : "placement_ends",
             {{"term", view.leading_term.value_or(m_logged_term.value_or(0))}});
  }
  m_logged_term = view.leading_term;
  // Before this process may lead and grant trials.
  if (view.verdicts) m_quarantine.OnRecorded(*view.verdicts);
  m_leadership.Update(view.read_at, view.leading_term, view.leader_host);
  if (!view.compressed_routes.empty()) {
    m_route_version = view.route_version;
    m_compressed_routes = view.compressed_routes;
  }
  if (view.leading_term) DecodeRoutes();
}

void FleetService::DecodeRoutes() {
  if (m_compressed_routes.empty()) return;
  auto table = ReadCompressedRouteTable(*m_options.dialect, m_compressed_routes);
  m_compressed_routes.clear();
  if (!table) {
    LogEvent(LogLevel::kError, "route_table_unreadable",
             {{"version", m_route_version}, {"error", table.error().ToString()}});
    return;
  }
  m_routes = std::move(table).value();
}

void FleetService::UpdateMembership() {
  const ReplicaStatus status = m_options.control->GetReplicaStatus();
  const bool log_exists = status.last.index > 0;
  if (log_exists) {
    ConnectMembers(status.members);
  } else {
    ExcludeOtherPrograms();
  }
  const bool is_member = status.members.members.count(status.self) > 0;
  // A replica that was removed while it was disconnected gets no notice and knows no leader.
  if (!is_member || !status.leader) SendJoinRequests(status);
  if (status.role != ReplicaRole::kLeader) return;
  std::set<std::string> reachable{m_options.host};
  for (const PeerStatus& peer : m_options.node->Peers()) {
    if (peer.connected && peer.identity.program == kControlProgram) {
      reachable.insert(peer.identity.host);
    }
  }
  const auto change = m_member_controller.NextChange(Clock::now(), status.members, reachable);
  if (!change) return;
  const Status proposed = m_options.control->ChangeMembers(*change);
  LogEvent(LogLevel::kInfo, "member_change",
           {{"change", NameOf(change->kind)},
            {"replica", change->replica.host},
            {"disk_identity", change->replica.disk_identity},
            {"voters", status.members.VoterCount()},
            {"outcome", proposed ? "proposed" : proposed.error().ToString()}});
}

// Connects to each member, whose host name is its IP address, and disconnects from removed members.
void FleetService::ConnectMembers(const MemberSet& members) {
  std::set<std::string> wanted;
  for (const auto& [id, role] : members.members) {
    if (id.host != m_options.host) wanted.insert(id.host + ":" + m_options.peer_port);
  }
  for (const std::string& address : wanted) {
    if (m_connected_members.count(address) == 0) m_options.node->Connect(address);
  }
  for (const std::string& address : m_connected_members) {
    if (wanted.count(address) == 0) m_options.node->Forget(address);
  }
  m_connected_members = std::move(wanted);
}

// The seeds are the initial members of the log. Those that serve the control interface but run
// another program are excluded. The whole address is compared, because one host may run two
// programs.
void FleetService::ExcludeOtherPrograms() {
  const std::vector<std::string>& seeds = m_options.seeds;
  for (const PeerStatus& peer : m_options.node->Peers()) {
    if (!peer.connected || peer.identity.program == kControlProgram) continue;
    if (std::find(seeds.begin(), seeds.end(), peer.address) == seeds.end()) continue;
    m_options.control->ExcludeFoundingHost(IpOf(peer.address));
  }
}

void FleetService::SendJoinRequests(const ReplicaStatus& status) {
  asio::post(*m_io, [this] { m_discovery.Query(Clock::now()); });
  for (const PeerStatus& peer : m_options.node->Peers()) {
    if (!peer.connected || peer.identity.program != kControlProgram) continue;
    m_options.node->Send(peer.identity.host, MessageType::kJoinRequest,
                         {{"disk_identity", status.self.disk_identity}});
  }
}

void FleetService::PlaceLayers(TimePoint now) {
  const std::vector<PlacementDecision> decisions =
      m_layers.Tick(now, m_leadership.LeadingTerm(BootTimeNow()), m_routes, m_table);
  for (const PlannedLayout& layout : m_layers.TakePlannedLayouts()) {
    LogEvent(LogLevel::kInfo, "layout_planned",
             {{"service", layout.service},
              {"availability_zone", layout.zone},
              {"reason", NameOf(layout.reason)},
              {"engines", layout.engines},
              {"copies", layout.copies},
              {"requests_per_s", layout.requests_per_s},
              {"kv_tokens", layout.kv_tokens}});
  }
  for (const PlacementDecision& decision : decisions) {
    LogEvent(LogLevel::kInfo, "layers_ordered",
             {{"service", decision.service},
              {"upstream", decision.upstream},
              {"address", decision.address},
              {"first_layer", decision.range.first},
              {"end_layer", decision.range.end},
              {"fence", decision.fence},
              {"reason", NameOf(decision.reason)},
              {"route_version", m_route_version}});
    SendOrder(decision);
  }
}

void FleetService::SendOrder(const PlacementDecision& decision) {
  PlacementOrder order;
  order.upstream = decision.upstream;
  order.first = decision.range.first;
  order.end = decision.range.end;
  order.fence = decision.fence;
  UpstreamRequest request =
      MakeEngineCall(decision.address, m_options.dialect->WritePlacementOrder(order));
  request.connect_deadline = Clock::now() + kOrderConnectTimeout;
  request.answer_deadline = Clock::now() + kOrderAnswerTimeout;
  const auto log = [decision](const std::string& outcome) {
    LogEvent(LogLevel::kInfo, "layers_order_answered",
             {{"upstream", decision.upstream}, {"fence", decision.fence}, {"outcome", outcome}});
  };
  UpstreamCallbacks callbacks;
  callbacks.on_head = [this, decision, log](const HttpHead& head) {
    constexpr int kFirstFailure = 300;
    log(std::to_string(head.status));
    if (head.status >= kFirstFailure) m_layers.OrderFailed(decision.upstream, decision.fence);
  };
  callbacks.on_failure = [this, decision, log](UpstreamFailure failure) {
    log(std::string(NameOf(failure)));
    if (failure == UpstreamFailure::kNotConnected) {
      m_layers.OrderFailed(decision.upstream, decision.fence);
    }
  };
  m_pool.Send(std::move(request), std::move(callbacks));
}

}  // namespace corneltray
