#include "corneltray/gateway.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "corneltray/engine_call.h"
#include "corneltray/log.h"
#include "exchange.h"
#include "gateway_admission.h"

namespace corneltray {
namespace {

// Interval of timeout checks while requests are in progress. It bounds the delay of a timeout.
constexpr std::chrono::milliseconds kTickInterval{50};
constexpr std::chrono::milliseconds kReportTimeout{400};
// The lease on customer keys ends this long before the last moment at which a key may be accepted,
// because accepted requests are still on their way to an upstream.
constexpr std::chrono::milliseconds kKeyLeaseMargin{300};
// Limit for buffered responses, sized for a host with 112 MB of memory. It must hold at least one
// response of the maximum size.
constexpr std::size_t kMaxBufferedBytes = std::size_t{32} * 1024 * 1024;
// Limits for requests that arrive after the start of the process, before it has received routes
// and upstreams.
constexpr std::size_t kMaxDeferredRequests = 500;
constexpr std::chrono::milliseconds kMaxDeferTime{1600};
// Every upstream announces itself at least once within this time.
constexpr std::chrono::milliseconds kAnnouncementInterval{1600};
// The room of a service is computed anew after this time. Reports of the engines are older than
// that, and a request or a tick needs it every few milliseconds under load.
constexpr std::chrono::milliseconds kRoomLifetime{100};

}  // namespace

Gateway::Gateway(asio::io_context* io, GatewayOptions options)
    : m_io(io),
      m_options(std::move(options)),
      m_listener(io, [this](const HttpCall& call) { OnCall(call); }),
      m_ready_listener(io, [this](const HttpCall& call) { OnReadyCall(call); }),
      m_pool(io),
      m_backoff(m_options.random_seed),
      m_reach(m_options.availability_zone, m_options.random_seed),
      m_forward_hosts(m_options.host, m_options.random_seed),
      m_key_lease(m_options.key_lease, kKeyLeaseMargin),
      m_pace(m_options.pace_mode, m_options.random_seed),
      m_response_charge(m_options.caller_budget),
      m_tick_timer(*io),
      m_admission(MakeAdmission()) {
  m_listener.SetBudget(Door::kCallers, m_options.caller_budget);
  m_ready_listener.SetBudget(Door::kReadiness, m_options.readiness_budget);
  HttpListenerLimits ready_limits;
  ready_limits.keeps_bodies = false;
  m_ready_listener.SetLimits(ready_limits);
  m_pool.SetBudget(m_options.caller_budget, m_options.max_upstream_connections);
  m_pool.SetConnectObserver(
      [this](const std::string& address, bool is_connected) { OnConnect(address, is_connected); });
}

Gateway::~Gateway() { CloseAll(); }

Status Gateway::Listen(const std::string& address) { return m_listener.Listen(address); }
Status Gateway::ListenReady(const std::string& address) { return m_ready_listener.Listen(address); }

std::uint64_t Gateway::RouteVersion() const {
  return m_routes == nullptr ? 0 : m_routes->Table().version;
}

void Gateway::SetRouteTable(RouteTable table) {
  if (table.version <= RouteVersion()) return;
  HttpListenerLimits limits;
  limits.max_head_bytes = table.limits.max_head_bytes;
  limits.max_body_bytes = table.limits.max_body_bytes;
  // Callers reuse connections up to the idle timeout, so the gateway closes them slightly later.
  constexpr std::chrono::milliseconds kIdleMargin{1000};
  limits.head_timeout = table.limits.head_timeout;
  limits.idle_timeout = table.limits.idle_timeout + kIdleMargin;
  m_listener.SetLimits(limits);
  LogEvent(LogLevel::kInfo, "route_table_in_force",
           {{"version", table.version},
            {"previous_version", RouteVersion()},
            {"routes", table.routes.size()},
            {"access", NameOf(table.access)},
            {"customers", table.customers.size()}});
  for (const auto& [name, service] : table.services) {
    if (!service.engine || m_routers.count(name) > 0) continue;
    EngineRouter router(m_options.availability_zone, *service.engine, m_options.random_seed,
                        &m_pace);
    router.SetEngines(name, m_upstreams);
    m_routers.emplace(name, std::move(router));
  }
  // Only a service with a budget is reported, and granted retries before its first request.
  for (const auto& [name, service] : table.services) BudgetOf(name);
  m_admission->SetRouteTable(table);
  if (!m_warm_up_end) m_warm_up_end = Clock::now() + kAnnouncementInterval;
  m_routes = std::make_shared<const RouteIndex>(std::move(table));
}

void Gateway::ConfirmRouteTable(TimePoint asked_at) { m_key_lease.Extend(asked_at); }

void Gateway::UpdateUpstreams(const UpstreamUpdates& updates) {
  ApplyUpstreamUpdates(Clock::now(), updates, &m_upstreams);
  m_upstreams.Expire(Clock::now());
  RefreshUpstreams();
  LogPace();
}

void Gateway::UpdateEngineHealth(const std::vector<EngineHealth>& engines) {
  const TimePoint now = Clock::now();
  for (const EngineHealth& engine : engines) {
    bool is_newly_lost = false;
    for (auto& [service, router] : m_routers) {
      is_newly_lost = router.UpdateHealth(now, engine) || is_newly_lost;
    }
    const UpstreamTableEntry* record = m_upstreams.Find(engine.name);
    if (engine.answers || record == nullptr || !record->IsReady()) continue;
    if (record->announcement.incarnation != engine.incarnation) continue;
    if (is_newly_lost) {
      LogEvent(LogLevel::kWarning, "engine_told_lost",
               {{"upstream", engine.name}, {"address", record->announcement.address}});
    }
    FailOverFromEngine(now, {record->announcement.address, EngineLossReason::kToldByControlHost});
  }
}

// Fails over the requests that wait for a lost engine.
void Gateway::FailOverFromEngine(TimePoint now, const EngineLoss& loss) {
  const std::vector<std::shared_ptr<Exchange>> exchanges(m_exchanges.begin(), m_exchanges.end());
  for (const auto& exchange : exchanges) exchange->OnEngineLost(now, loss);
}

void Gateway::RefreshUpstreams() {
  if (m_applied_generation == m_upstreams.Generation()) return;
  m_applied_generation = m_upstreams.Generation();
  m_backoff.RemoveObsolete(m_upstreams);
  m_pace.SetServers(Clock::now(), m_upstreams);
  for (auto& [service, router] : m_routers) router.SetEngines(service, m_upstreams);
  for (auto& [service, picker] : m_pickers) picker.SetReplicas(m_upstreams);
  for (const auto& [name, record] : m_upstreams.Records()) {
    if (!record.IsReady()) m_pool.Forget(record.announcement.address);
  }
}

void Gateway::SetFleetPace(const FleetPace& fleet) {
  // Unlike the counts of retries, it counts hosts that have had no request for a service as well.
  UpdateHosts(fleet.hosts);
  m_pace.SetFleet(Clock::now(), fleet);
  LogPace();
}

void Gateway::LogPace() {
  for (const PaceEvent& event : m_pace.TakeEvents()) {
    const std::chrono::duration<double, std::milli> since = event.since_begin;
    LogEvent(LogLevel::kInfo, "server_pace",
             {{"upstream", event.server},
              {"step", NameOf(event.step)},
              {"reason", NameOf(event.reason)},
              {"window", event.window},
              {"answered_here", event.answered},
              {"took_ms", since.count()}});
  }
}

bool Gateway::IsReady() const {
  if (m_draining || m_routes == nullptr || m_upstreams.Records().empty()) return false;
  return !m_routes->RequiresKeys() || !m_key_lease.IsHalfElapsed(BootTimeNow());
}

void Gateway::BeginDrain() {
  m_draining = true;
  m_admission->StartAll();
  m_listener.BeginDrain();
  // The control processes are told at once, so that no other host forwards its requests here.
  if (m_isolation_handler) m_isolation_handler();
}

void Gateway::StopAccepting() {
  m_stopping = true;
  m_listener.CloseListener();
}

void Gateway::CloseIdle() { m_listener.CloseIdle(); }

void Gateway::CloseAll() {
  m_tick_timer.cancel();
  m_deferred.clear();
  m_admission->Clear();
  const auto exchanges = m_exchanges;
  for (const auto& exchange : exchanges) exchange->Abandon();
  m_listener.CloseAll();
  m_ready_listener.CloseAll();
  m_pool.CloseAll();
}

EngineRouter* Gateway::RouterOf(const RouteService& service) {
  const auto router = m_routers.find(service.name);
  return router == m_routers.end() ? nullptr : &router->second;
}

ServicePicker& Gateway::PickerOf(const std::string& service) {
  const auto known = m_pickers.find(service);
  if (known != m_pickers.end()) return known->second;
  auto& picker =
      m_pickers.emplace(service, ServicePicker(m_options.availability_zone, service, &m_pace))
          .first->second;
  picker.SetReplicas(m_upstreams);
  return picker;
}

void Gateway::OnCall(const HttpCall& call) {
  if (call.Head().Path() == m_options.dialect->ReadinessPath() &&
      m_ready_listener.Address().empty()) {
    return OnReadyCall(call);
  }
  if (m_deferred.size() < kMaxDeferredRequests && MustDefer(call)) {
    m_deferred.push_back(call);
    return ScheduleTick();
  }
  Admit(call);
}

// Returns whether a request must wait, because this process has just started and does not yet know
// the routes, whether keys are valid, or the upstreams, which announce themselves about every
// second.
bool Gateway::MustDefer(const HttpCall& call) {
  const TimePoint now = Clock::now();
  if (m_warm_up_end && now >= *m_warm_up_end) return false;
  GatewayRequest request = MakeRequest(call);
  const auto refusal = FilterRequest(MakeFilterContext(now), &request);
  const std::chrono::milliseconds max_wait =
      std::min(kMaxDeferTime, request.metadata.time_left.value_or(kMaxDeferTime * 3) / 3);
  if (now >= call.ReadAt() + max_wait) return false;
  if (refusal) {
    return *refusal == GatewayRefusal::kNoRouteTable || *refusal == GatewayRefusal::kKeyLeaseLapsed;
  }
  if (EngineRouter* router = RouterOf(*request.service)) {
    // While only some engines are known, a chain would be routed through other zones.
    return router->Choose(now, m_upstreams, {}).scope != ChainScope::kOwnZone;
  }
  const auto& records = m_upstreams.Records();
  return std::none_of(records.begin(), records.end(), [&request](const auto& record) {
    return record.second.announcement.service == request.service->name && record.second.IsReady();
  });
}

// Admits the deferred requests that need not wait any longer. They are deferred rather than refused
// because a refused caller may have no retry left.
void Gateway::AdmitDeferred() {
  const std::vector<HttpCall> deferred = std::move(m_deferred);
  m_deferred.clear();
  for (const HttpCall& call : deferred) {
    if (!call.IsOpen()) continue;
    if (MustDefer(call)) {
      m_deferred.push_back(call);
    } else {
      Admit(call);
    }
  }
}

GatewayRequest Gateway::MakeRequest(const HttpCall& call) const {
  GatewayRequest request;
  request.head = call.Head();
  request.read_at = call.ReadAt();
  request.routes = m_routes;
  const std::string id = m_options.dialect->ReadRequest(request.head).request_id;
  // No upstream sees the field, also if no host has signed it.
  request.forwarded = TakeForwardedRequest(m_options.shared_key, id, &request.head);
  return request;
}

FilterContext Gateway::MakeFilterContext(TimePoint now) const {
  FilterContext context;
  context.dialect = m_options.dialect.get();
  context.key_lease = &m_key_lease;
  context.is_stopping = m_stopping;
  context.is_isolated = IsIsolated();
  context.now = now;
  context.boot_now = BootTimeNow();
  return context;
}

void Gateway::Admit(const HttpCall& call) {
  GatewayRequest request = MakeRequest(call);
  const auto refusal = FilterRequest(MakeFilterContext(Clock::now()), &request);
  if (refusal) return Refuse(call, request, *refusal);
  if (!AdmitPrompt(call, request)) return;
  // The other host counts and admits it.
  if (!request.forwarded && IsForwarding(Clock::now())) {
    return StartExchange(call, std::move(request));
  }
  // Counted before admission: the counts tell which part of the demand arrives at this host, and a
  // part of what was sent would keep a host that is held back at its pace.
  // One that another host offers to several hosts is counted by the one that starts it.
  if (!request.forwarded) BudgetOf(request.service->name).RecordRequest(Clock::now());
  // A prompt part in quarantine is admitted only as a trial, which many hosts wait for.
  const bool is_trial = IsQuarantined(request.metadata.shared_prompt_parts);
  if (m_draining || is_trial || !m_admission->Controls(request.service->name)) {
    return StartExchange(call, std::move(request));
  }
  m_admission->Offer(Clock::now(), call, std::move(request));
  ScheduleTick();
}

ServiceRoom Gateway::RoomOf(TimePoint now, const std::string& service) {
  const auto router = m_routers.find(service);
  if (router == m_routers.end()) return {};
  KnownRoom& known = m_rooms[service];
  if (now >= known.expires_at) {
    known = {router->second.Room(now, m_upstreams, HostShare(service)), now + kRoomLifetime};
  }
  return known.room;
}

std::unique_ptr<GatewayAdmission> Gateway::MakeAdmission() {
  GatewayAdmission::Handlers handlers;
  handlers.room = [this](TimePoint now, const std::string& service) {
    return m_room_source ? m_room_source(now, service) : RoomOf(now, service);
  };
  handlers.start = [this](const HttpCall& call, GatewayRequest request) {
    if (IsQuarantined(request.metadata.shared_prompt_parts)) {
      return Refuse(call, request, GatewayRefusal::kQuarantinedPart);
    }
    StartExchange(call, std::move(request));
  };
  handlers.refuse = [this](const HttpCall& call, const GatewayRequest& request,
                           std::chrono::milliseconds retry_after) {
    Refuse(call, request, GatewayRefusal::kOverloaded, retry_after);
  };
  return std::make_unique<GatewayAdmission>(m_options.admission, m_options.random_seed, &m_metrics,
                                            std::move(handlers));
}

void Gateway::ChargeRepeat(const std::string& service, double tokens) {
  m_admission->ChargeRepeat(service, tokens);
}

std::size_t Gateway::InFlight() const { return m_exchanges.size() + m_admission->WaitingCount(); }

void Gateway::StartExchange(const HttpCall& call, GatewayRequest request) {
  if (request.forwarded) BudgetOf(request.service->name).RecordRequest(Clock::now());
  const auto exchange = std::make_shared<Exchange>(this, call, std::move(request));
  m_exchanges.insert(exchange);
  ScheduleTick();
  exchange->Start();
}

bool Gateway::AdmitPrompt(const HttpCall& call, const GatewayRequest& request) {
  const PromptDecision decision =
      m_quarantine.Admit(Clock::now(), request.metadata.shared_prompt_parts);
  if (decision.admission == PromptAdmission::kAllowed) return true;
  const bool can_wait = m_deferred.size() < kMaxDeferredRequests;
  if (decision.admission == PromptAdmission::kAwaitingTrial && can_wait) {
    m_deferred.push_back(call);
    ScheduleTick();
    SendQuarantineActions();
    return false;
  }
  LogEvent(LogLevel::kInfo, "prompt_refused",
           {{"request_id", request.metadata.request_id},
            {"part", decision.part},
            {"retry_after_ms", decision.retry_after.count()}});
  std::optional<std::chrono::milliseconds> retry_after;
  if (decision.retry_after > std::chrono::milliseconds(0)) retry_after = decision.retry_after;
  Refuse(call, request, GatewayRefusal::kQuarantinedPart, retry_after);
  return false;
}

void Gateway::SendQuarantineActions() {
  for (const QuarantineAction& action : m_quarantine.TakeActions()) {
    const bool is_sent = m_quarantine_handler && m_quarantine_handler(action);
    const auto* trial = std::get_if<TrialRequest>(&action);
    if (is_sent || trial == nullptr) continue;
    const TimePoint now = Clock::now();
    m_quarantine.OnTrialAnswered(now, trial->verdict.part, m_quarantine.GrantTrial(now, *trial));
  }
}

void Gateway::AnswerTrial(const std::string& part, bool is_granted) {
  m_quarantine.OnTrialAnswered(Clock::now(), part, is_granted);
  AdmitDeferred();
}

void Gateway::UpdatePromptVerdicts(const std::vector<PartVerdict>& verdicts) {
  m_quarantine.Merge(Clock::now(), verdicts);
  const bool has_quarantined = std::any_of(
      verdicts.begin(), verdicts.end(),
      [](const PartVerdict& verdict) { return verdict.state == PartState::kQuarantined; });
  if (!has_quarantined) return;
  const std::vector<std::shared_ptr<Exchange>> exchanges(m_exchanges.begin(), m_exchanges.end());
  for (const auto& exchange : exchanges) exchange->OnPromptVerdicts();
}

void Gateway::ReportCrash(const std::string& upstream, CrashPhase phase,
                          const std::vector<std::string>& prompt_parts) {
  if (prompt_parts.empty()) return;
  const UpstreamTableEntry* record = m_upstreams.Find(upstream);
  if (record == nullptr) return;
  const Announcement& announcement = record->announcement;
  m_held_crashes.push_back(
      {upstream, announcement.incarnation, announcement.sequence, phase, prompt_parts});
  if (!IsReachUnknown(Clock::now())) ReportHeld(IsIsolated());
}

void Gateway::ReportAnswerBegun(const std::vector<std::string>& prompt_parts) {
  if (prompt_parts.empty()) return;
  m_quarantine.OnAnswerBegun(Clock::now(), prompt_parts);
  SendQuarantineActions();
}

bool Gateway::IsQuarantined(const std::vector<std::string>& prompt_parts) const {
  return m_quarantine.IsQuarantined(Clock::now(), prompt_parts);
}

bool Gateway::IsToBeTakenBack(const std::vector<std::string>& prompt_parts) const {
  return m_quarantine.IsToBeTakenBack(Clock::now(), prompt_parts);
}

void Gateway::OnReadyCall(const HttpCall& call) {
  constexpr int kOk = 200;
  constexpr int kUnavailable = 503;
  call.Respond(MakeResponse(IsReady() ? kOk : kUnavailable), "");
}

void Gateway::Refuse(const HttpCall& call, const GatewayRequest& request, GatewayRefusal refusal,
                     std::optional<std::chrono::milliseconds> retry_after) {
  HttpHead head = RefusalHead(refusal, retry_after);
  if (request.forwarded) WriteForwardedAnswer({}, &head);
  call.Respond(std::move(head), "");
  m_metrics.Count("refusals", NameOf(refusal));
  LogEvent(LogLevel::kInfo, "request_refused",
           {{"request_id", request.metadata.request_id},
            {"reason", NameOf(refusal)},
            {"status", StatusOf(refusal)},
            {"route", request.route == nullptr ? "" : request.route->name},
            {"route_version", RouteVersion()}});
}

bool Gateway::ReserveResponseBytes(std::size_t bytes) {
  if (m_reserved_response_bytes + bytes > kMaxBufferedBytes) return false;
  m_reserved_response_bytes += bytes;
  m_response_charge.Update(m_reserved_response_bytes);
  return true;
}

void Gateway::RemoveExchange(const std::shared_ptr<Exchange>& exchange) {
  m_exchanges.erase(exchange);
}

void Gateway::ScheduleTick() {
  if (std::exchange(m_tick_planned, true)) return;
  m_tick_timer.expires_after(kTickInterval);
  const std::weak_ptr<const bool> alive = m_alive;
  m_tick_timer.async_wait([this, alive](const asio::error_code& cancelled) {
    if (alive.expired()) return;
    m_tick_planned = false;
    if (!cancelled) Tick();
  });
}

void Gateway::Tick() {
  const TimePoint now = Clock::now();
  CheckReach(now);
  if (!m_deferred.empty()) AdmitDeferred();
  m_admission->Tick(now);
  const std::vector<std::shared_ptr<Exchange>> exchanges(m_exchanges.begin(), m_exchanges.end());
  for (const auto& exchange : exchanges) exchange->Tick(now);
  if (InFlight() > 0 || !m_deferred.empty() || m_reach.IsActive()) ScheduleTick();
}

void Gateway::RequestReport(const std::string& address, EngineReportCallback done) {
  const auto [known, is_new] = m_pending_reports.try_emplace(address);
  known->second.push_back(std::move(done));
  if (!is_new) return;
  m_metrics.Count("probes", "report");
  RequestEngineReport(&m_pool, m_options.dialect, address, Clock::now() + kReportTimeout,
                      [this, address](const std::optional<EngineReport>& report) {
                        FinishReport(address, report);
                      });
}

void Gateway::FinishReport(const std::string& address, const std::optional<EngineReport>& report) {
  const std::vector<EngineReportCallback> waiting = std::move(m_pending_reports[address]);
  m_pending_reports.erase(address);
  LogEvent(LogLevel::kInfo, "engine_report",
           {{"address", address},
            {"answered", report.has_value()},
            {"running", report ? report->running : 0},
            {"waiting", report ? report->waiting : 0},
            {"slowness", report ? report->slowness : 0.0},
            {"kv_used", report ? report->kv_used : 0.0},
            {"kv_total", report ? report->kv_total : 0.0},
            {"stalled", report ? report->stalled_addresses : std::vector<std::string>()}});
  for (const EngineReportCallback& done : waiting) done(report ? &*report : nullptr);
}

void Gateway::ReportSuspectedEngine(const EngineLoss& loss) {
  const std::string& address = loss.address;
  const UpstreamTableEntry* record = m_upstreams.FindAddress(address);
  SuspectedProcess process;
  if (record != nullptr) {
    const Announcement& announced = record->announcement;
    process = {announced.name, announced.incarnation, announced.sequence};
  }
  const TimePoint now = Clock::now();
  for (auto& [service, router] : m_routers) router.Suspect(now, address, process);
  LogEvent(LogLevel::kWarning, "engine_suspected",
           {{"address", address},
            {"upstream", process.name},
            {"sequence", process.sequence},
            {"reason", NameOf(loss.reason)}});
  if (record != nullptr) {
    m_held_suspects.push_back({process.name, process.incarnation, process.sequence});
    if (!IsReachUnknown(now)) ReportHeld(IsIsolated());
  }
  FailOverFromEngine(now, loss);
}

void Gateway::RequestHealthCheck(const std::string& address) {
  constexpr std::chrono::milliseconds kHealthCheckInterval{400};
  const UpstreamTableEntry* record = m_upstreams.FindAddress(address);
  const TimePoint now = Clock::now();
  TimePoint& next = m_next_health_check[address];
  if (record == nullptr || !m_suspect_handler || now < next) return;
  next = now + kHealthCheckInterval;
  const Announcement& announcement = record->announcement;
  m_suspect_handler({announcement.name, announcement.incarnation, announcement.sequence});
}

std::string Gateway::MetricsText() const {
  const HttpListenerCounters callers = m_listener.Counters();
  const UpstreamPoolCounters pool = m_pool.Counters();
  std::map<std::string, double> gauges = {
      {"requests_in_progress", static_cast<double>(m_exchanges.size())},
      {"caller_connections", static_cast<double>(callers.open)},
      {"upstream_connections", static_cast<double>(pool.open)},
      {"upstream_connects", static_cast<double>(pool.connects)},
      {"upstream_connect_failures", static_cast<double>(pool.connect_failures)},
      {"route_table_version", static_cast<double>(RouteVersion())},
      {"prompt_parts_quarantined",
       static_cast<double>(m_quarantine.QuarantinedCount(Clock::now()))},
      {"servers_paced", static_cast<double>(m_pace.PacedServers())},
      {"pace_windows", m_pace.WindowSum()},
      {"paced_servers_failed", static_cast<double>(m_pace.RefusedInRamps())},
      {"ready", IsReady() ? 1.0 : 0.0},
      {"isolated", IsIsolated() ? 1.0 : 0.0},
  };
  m_admission->AddGauges(Clock::now(), &gauges);
  return m_metrics.Text(gauges);
}

}  // namespace corneltray
