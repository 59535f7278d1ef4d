#include "corneltray/gateway.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "corneltray/engine_call.h"
#include "corneltray/log.h"
#include "exchange.h"

namespace corneltray {
namespace {

// Timeouts are checked this often while requests are in progress; it bounds how late they act.
constexpr std::chrono::milliseconds kTickInterval{50};
constexpr std::chrono::milliseconds kReportTimeout{400};
// The lease on keys ends this long before the last moment at which a key may be honoured, for
// requests that are on their way to an upstream.
constexpr std::chrono::milliseconds kKeyLeaseMargin{300};
// Of a host with 112 MB, and no less than one answer of the greatest length.
constexpr std::size_t kMaxAnswerBytes = std::size_t{32} * 1024 * 1024;
// Requests that wait for a process to know routes and upstreams, after its start.
constexpr std::size_t kMaxParked = 500;
constexpr std::chrono::milliseconds kParkedFor{1600};
// Within this time every upstream has announced itself once.
constexpr std::chrono::milliseconds kAnnouncementInterval{1600};
// Some of the budget of second attempts is left for what other hosts count later.
constexpr double kBudgetShare = 0.75;

}  // namespace

Gateway::Gateway(asio::io_context* io, GatewayOptions options)
    : m_io(io),
      m_options(std::move(options)),
      m_listener(io, [this](const HttpCall& call) { OnCall(call); }),
      m_ready_listener(io, [this](const HttpCall& call) { OnReadyCall(call); }),
      m_pool(io),
      m_key_lease(m_options.key_lease, kKeyLeaseMargin),
      m_tick_timer(*io) {}

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
  // Callers reuse connections up to the idle timeout, so it ends a little later here.
  constexpr std::chrono::milliseconds kIdleMargin{1000};
  limits.head_timeout = table.limits.head_timeout;
  limits.idle_timeout = table.limits.idle_timeout + kIdleMargin;
  m_listener.SetLimits(limits);
  LogEvent(LogLevel::kInfo, "route_table_in_force",
           {{"version", table.version},
            {"previous_version", RouteVersion()},
            {"routes", table.routes.size()},
            {"customers", table.customers.size()}});
  for (const auto& [name, service] : table.services) {
    if (!service.engine || m_routers.count(name) > 0) continue;
    EngineRouter router(m_options.availability_zone, *service.engine, m_options.random_seed);
    router.SetEngines(name, m_upstreams);
    m_routers.emplace(name, std::move(router));
  }
  if (!m_warm_at) m_warm_at = Clock::now() + kAnnouncementInterval;
  m_routes = std::make_shared<const RouteIndex>(std::move(table));
}

void Gateway::ConfirmRouteTable(TimePoint asked_at) { m_key_lease.Extend(asked_at); }

void Gateway::UpdateUpstreams(const UpstreamUpdates& updates) {
  ApplyUpstreamUpdates(Clock::now(), updates, &m_upstreams);
  m_upstreams.Expire(Clock::now());
  RefreshUpstreams();
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
    LeaveLostEngine(now, record->announcement.address);
  }
}

// Requests that wait for an engine which is gone are sent elsewhere.
void Gateway::LeaveLostEngine(TimePoint now, const std::string& address) {
  const std::vector<std::shared_ptr<Exchange>> exchanges(m_exchanges.begin(), m_exchanges.end());
  for (const auto& exchange : exchanges) exchange->OnEngineLost(now, address);
}

void Gateway::RefreshUpstreams() {
  if (m_used_generation == m_upstreams.Generation()) return;
  m_used_generation = m_upstreams.Generation();
  for (auto& [service, router] : m_routers) router.SetEngines(service, m_upstreams);
  for (auto& [service, picker] : m_pickers) picker.SetReplicas(m_upstreams);
  for (const auto& [name, record] : m_upstreams.Records()) {
    if (!record.IsReady()) m_pool.Forget(record.announcement.address);
  }
}

ServiceRetryCounts Gateway::OwnRetryCounts() const {
  ServiceRetryCounts counts;
  const TimePoint now = Clock::now();
  for (const auto& [service, budget] : m_budgets) counts[service] = budget.Counts(now);
  return counts;
}

void Gateway::SetFleetRetryCounts(const ServiceRetryCounts& counts) {
  m_fleet_retries = counts;
  const TimePoint now = Clock::now();
  for (auto& [service, budget] : m_budgets) {
    const RetryCounts& fleet = m_fleet_retries[service];
    const double used_here = budget.Counts(now).retries;
    const double allowed = AllowedRetries(fleet);
    budget.SetWindowAllowance(ShareOfRetries(allowed, fleet, used_here),
                              ShareOfRetries(kRefusedShare * allowed, fleet, used_here));
  }
}

// Retries of all hosts in a window of RetryBudget.
double Gateway::AllowedRetries(const RetryCounts& fleet) const {
  const std::chrono::duration<double> window = m_options.retry_window;
  const std::chrono::duration<double> counted = RetryBudget::kWindow;
  const double beside_ratio = m_options.retry_allowance * std::min(1.0, counted / window);
  return kBudgetShare * (m_options.retry_ratio * fleet.requests + beside_ratio);
}

bool Gateway::IsReady() const {
  if (m_draining || m_routes == nullptr || m_upstreams.Records().empty()) return false;
  return !m_routes->HasCustomers() || !m_key_lease.IsHalfElapsed(BootTimeNow());
}

void Gateway::BeginDrain() {
  m_draining = true;
  m_listener.BeginDrain();
}

void Gateway::StopTaking() {
  m_stopping = true;
  m_listener.CloseListener();
}

void Gateway::CloseIdle() { m_listener.CloseIdle(); }

void Gateway::CloseAll() {
  m_tick_timer.cancel();
  m_parked.clear();
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
      m_pickers.emplace(service, ServicePicker(m_options.availability_zone, service)).first->second;
  picker.SetReplicas(m_upstreams);
  return picker;
}

RetryBudget& Gateway::BudgetOf(const std::string& service) {
  const auto known = m_budgets.find(service);
  if (known != m_budgets.end()) return known->second;
  RetryBudget& budget = m_budgets.emplace(service, RetryBudget(0.0, 0.0)).first->second;
  SetFleetRetryCounts(m_fleet_retries);
  return budget;
}

void Gateway::OnCall(const HttpCall& call) {
  if (call.Head().Path() == m_options.dialect->ReadinessPath() &&
      m_ready_listener.Address().empty()) {
    return OnReadyCall(call);
  }
  if (m_parked.size() < kMaxParked && MustWait(call)) {
    m_parked.push_back(call);
    return PlanTick();
  }
  Admit(call);
}

// Whether a request cannot be judged yet, because this process has just started and does not know
// the routes, whether keys hold, or the upstreams, which announce themselves every second or so.
bool Gateway::MustWait(const HttpCall& call) {
  const TimePoint now = Clock::now();
  if (m_warm_at && now >= *m_warm_at) return false;
  GatewayRequest request = MakeRequest(call);
  const auto refusal = FilterRequest(View(now), &request);
  const std::chrono::milliseconds patience =
      std::min(kParkedFor, request.facts.time_left.value_or(kParkedFor * 3) / 3);
  if (now >= call.ReadAt() + patience) return false;
  if (refusal) {
    return *refusal == GatewayRefusal::kNoRouteTable || *refusal == GatewayRefusal::kKeyLeaseLapsed;
  }
  if (EngineRouter* router = RouterOf(*request.service)) {
    // While only part of the engines is known, a chain would take the long way over other zones.
    return router->Choose(now, m_upstreams, {}).scope != ChainScope::kOwnZone;
  }
  const auto& records = m_upstreams.Records();
  return std::none_of(records.begin(), records.end(), [&request](const auto& record) {
    return record.second.announcement.service == request.service->name && record.second.IsReady();
  });
}

// A caller that is refused may have no second try, so a request waits for a short time.
void Gateway::AdmitParked() {
  const std::vector<HttpCall> parked = std::move(m_parked);
  m_parked.clear();
  for (const HttpCall& call : parked) {
    if (!call.IsOpen()) continue;
    if (MustWait(call)) {
      m_parked.push_back(call);
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
  return request;
}

GatewayView Gateway::View(TimePoint now) const {
  GatewayView view;
  view.dialect = m_options.dialect.get();
  view.key_lease = &m_key_lease;
  view.is_stopping = m_stopping;
  view.now = now;
  view.boot_now = BootTimeNow();
  return view;
}

void Gateway::Admit(const HttpCall& call) {
  GatewayRequest request = MakeRequest(call);
  const auto refusal = FilterRequest(View(Clock::now()), &request);
  if (refusal) return Refuse(call, request, *refusal);
  const auto exchange = std::make_shared<Exchange>(this, call, std::move(request));
  m_exchanges.insert(exchange);
  PlanTick();
  exchange->Start();
}

void Gateway::OnReadyCall(const HttpCall& call) {
  constexpr int kOk = 200;
  constexpr int kUnavailable = 503;
  call.Respond(MakeResponse(IsReady() ? kOk : kUnavailable), "");
}

void Gateway::Refuse(const HttpCall& call, const GatewayRequest& request, GatewayRefusal refusal) {
  call.Respond(RefusalHead(refusal), "");
  m_metrics.Count("refusals", NameOf(refusal));
  LogEvent(LogLevel::kInfo, "request_refused",
           {{"request_id", request.facts.request_id},
            {"reason", NameOf(refusal)},
            {"status", StatusOf(refusal)},
            {"route", request.route == nullptr ? "" : request.route->name},
            {"route_version", RouteVersion()}});
}

bool Gateway::TakeAnswerBytes(std::size_t bytes) {
  if (m_answer_bytes + bytes > kMaxAnswerBytes) return false;
  m_answer_bytes += bytes;
  return true;
}

void Gateway::Finished(const std::shared_ptr<Exchange>& exchange) { m_exchanges.erase(exchange); }

void Gateway::PlanTick() {
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
  if (!m_parked.empty()) AdmitParked();
  const std::vector<std::shared_ptr<Exchange>> exchanges(m_exchanges.begin(), m_exchanges.end());
  for (const auto& exchange : exchanges) exchange->Tick(now);
  if (!m_exchanges.empty() || !m_parked.empty()) PlanTick();
}

void Gateway::AskReport(const std::string& address, StalledCallback done) {
  const auto [known, is_new] = m_reports.try_emplace(address);
  known->second.push_back(std::move(done));
  if (!is_new) return;
  m_metrics.Count("probes", "report");
  AskForReport(&m_pool, m_options.dialect, address, Clock::now() + kReportTimeout,
               [this, address](const std::optional<EngineReport>& report) {
                 FinishReport(address, report);
               });
}

void Gateway::FinishReport(const std::string& address, const std::optional<EngineReport>& report) {
  const std::vector<StalledCallback> waiting = std::move(m_reports[address]);
  m_reports.erase(address);
  LogEvent(LogLevel::kInfo, "engine_report",
           {{"address", address},
            {"answered", report.has_value()},
            {"running", report ? report->running : 0},
            {"waiting", report ? report->waiting : 0},
            {"slowness", report ? report->slowness : 0.0},
            {"kv_used", report ? report->kv_used : 0.0},
            {"kv_total", report ? report->kv_total : 0.0},
            {"stalled", report ? report->stalled_addresses : std::vector<std::string>()}});
  for (const StalledCallback& done : waiting) done(report ? &*report : nullptr);
}

void Gateway::Suspect(const std::string& address, const std::string& why) {
  const UpstreamTableEntry* record = m_upstreams.FindAddress(address);
  const std::uint64_t sequence = record == nullptr ? 0 : record->announcement.sequence;
  const TimePoint now = Clock::now();
  for (auto& [service, router] : m_routers) router.Suspect(now, address, sequence);
  LogEvent(LogLevel::kWarning, "engine_suspected",
           {{"address", address},
            {"upstream", record == nullptr ? "" : record->announcement.name},
            {"sequence", sequence},
            {"reason", why}});
  if (record != nullptr && m_on_suspect) {
    m_on_suspect({record->announcement.name, record->announcement.incarnation, sequence});
  }
  LeaveLostEngine(now, address);
}

void Gateway::Doubt(const std::string& address) {
  constexpr std::chrono::milliseconds kDoubtInterval{400};
  const UpstreamTableEntry* record = m_upstreams.FindAddress(address);
  const TimePoint now = Clock::now();
  TimePoint& next = m_next_doubt[address];
  if (record == nullptr || !m_on_suspect || now < next) return;
  next = now + kDoubtInterval;
  const Announcement& said = record->announcement;
  m_on_suspect({said.name, said.incarnation, said.sequence});
}

std::string Gateway::MetricsText() const {
  const HttpListenerCounters callers = m_listener.Counters();
  const UpstreamPoolCounters pool = m_pool.Counters();
  return m_metrics.Text({
      {"requests_in_progress", static_cast<double>(m_exchanges.size())},
      {"caller_connections", static_cast<double>(callers.open)},
      {"upstream_connections", static_cast<double>(pool.open)},
      {"upstream_connects", static_cast<double>(pool.connects)},
      {"upstream_connect_failures", static_cast<double>(pool.connect_failures)},
      {"route_table_version", static_cast<double>(RouteVersion())},
      {"ready", IsReady() ? 1.0 : 0.0},
  });
}

}  // namespace corneltray
