#ifndef CORNELTRAY_GATEWAY_H_
#define CORNELTRAY_GATEWAY_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corneltray/dialect.h"
#include "corneltray/engine_router.h"
#include "corneltray/fleet_messages.h"
#include "corneltray/gateway_request.h"
#include "corneltray/http_listener.h"
#include "corneltray/key_lease.h"
#include "corneltray/metrics.h"
#include "corneltray/retry.h"
#include "corneltray/route_table.h"
#include "corneltray/service_picker.h"
#include "corneltray/upstream_pool.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

class Exchange;

using ServiceRetryCounts = std::map<std::string, RetryCounts>;

struct GatewayOptions {
  std::string availability_zone;
  std::shared_ptr<const Dialect> dialect;
  std::chrono::milliseconds key_lease{5000};
  double retry_ratio = 0.2;
  double retry_allowance = 100.0;  // second attempts in a window, over all entry hosts
  std::chrono::milliseconds retry_window{10'000};
  std::uint64_t random_seed = 1;  // differs between hosts
};

// The data path of one entry host: takes requests of callers, sends them to upstreams and passes
// the answers on. Owns what this host knows of routes, upstreams and their load. Lives on one
// io_context and has no thread of its own.
class Gateway {
 public:
  Gateway(asio::io_context* io, GatewayOptions options);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Start to serve callers, and the readiness check at an address of its own.
  Status Listen(const std::string& address);
  Status ListenReady(const std::string& address);

  // A route table from the log. Ignored unless its version is higher than the one in force.
  void SetRouteTable(RouteTable table);
  std::uint64_t RouteVersion() const;
  // The log confirmed that no table is newer than the one held, when asked at this time.
  void ConfirmRouteTable(TimePoint asked_at);
  void UpdateUpstreams(const UpstreamUpdates& updates);
  // What control processes learned from engines.
  void UpdateEngineHealth(const std::vector<EngineHealth>& engines);
  // Requests and second attempts of the last window: of this host, and of all hosts as the control
  // processes have added them up.
  ServiceRetryCounts OwnRetryCounts() const;
  void SetFleetRetryCounts(const ServiceRetryCounts& counts);

  // Called for each engine that does not answer, with its last announcement.
  using SuspectHandler = std::function<void(const UpstreamRefresh& engine)>;
  void SetSuspectHandler(SuspectHandler handler) { m_suspect_handler = std::move(handler); }

  // Whether the balancer should send callers here.
  bool IsReady() const;
  // From now on not ready; answers end their connections.
  void BeginDrain();
  void CloseIdle();
  // From now on no connection and no request is taken; those in progress go on.
  void StopAccepting();
  void CloseAll();
  std::size_t InFlight() const { return m_exchanges.size(); }
  std::string MetricsText() const;
  HttpListenerCounters ListenerCounters() const { return m_listener.Counters(); }
  // Bound addresses IP:PORT, for tests.
  std::string Address() const { return m_listener.Address(); }
  std::string ReadyAddress() const { return m_ready_listener.Address(); }

  // --- For Exchange ---
  const Dialect& GetDialect() const { return *m_options.dialect; }
  UpstreamPool& Pool() { return m_pool; }
  const UpstreamTable& Upstreams() const { return m_upstreams; }
  // Null if the service has no engines.
  EngineRouter* RouterOf(const RouteService& service);
  ServicePicker& PickerOf(const std::string& service);
  RetryBudget& BudgetOf(const std::string& service);
  Metrics& GetMetrics() { return m_metrics; }
  // Asks the first stage of a chain which stages its requests wait for. Requests that ask at the
  // same time share one question; `done` gets nothing if there is no answer.
  using EngineReportCallback = std::function<void(const EngineReport* report)>;
  void RequestReport(const std::string& address, EngineReportCallback done);
  void ReportSuspectedEngine(const std::string& address, const std::string& why);
  // Has the control processes ask an engine whose refusal its load does not explain.
  void RequestHealthCheck(const std::string& address);
  void RemoveExchange(const std::shared_ptr<Exchange>& exchange);
  // Bodies of answers that are held until they are whole, over all requests. A longer one than
  // there is room for is not taken.
  bool ReserveResponseBytes(std::size_t bytes);
  void ReleaseResponseBytes(std::size_t bytes) { m_reserved_response_bytes -= bytes; }

 private:
  void OnCall(const HttpCall& call);
  void Admit(const HttpCall& call);
  bool MustDefer(const HttpCall& call);
  void AdmitDeferred();
  GatewayRequest MakeRequest(const HttpCall& call) const;
  FilterContext MakeFilterContext(TimePoint now) const;
  double AllowedRetries(const RetryCounts& fleet) const;
  void OnReadyCall(const HttpCall& call);
  void Refuse(const HttpCall& call, const GatewayRequest& request, GatewayRefusal refusal);
  void RefreshUpstreams();
  void FailOverFromEngine(TimePoint now, const std::string& address);
  void ScheduleTick();
  void Tick();
  void FinishReport(const std::string& address, const std::optional<EngineReport>& report);

  asio::io_context* m_io;
  GatewayOptions m_options;
  HttpListener m_listener;
  HttpListener m_ready_listener;
  UpstreamPool m_pool;
  UpstreamTable m_upstreams;
  std::uint64_t m_applied_generation = 0;  // of m_upstreams in the routers
  std::shared_ptr<const RouteIndex> m_routes;
  KeyLease m_key_lease;
  std::map<std::string, EngineRouter> m_routers;   // by service
  std::map<std::string, ServicePicker> m_pickers;  // by service
  std::map<std::string, RetryBudget> m_budgets;    // by service
  std::map<std::string, std::vector<EngineReportCallback>>
      m_pending_reports;                                 // who waits, by address
  std::map<std::string, TimePoint> m_next_health_check;  // by address
  SuspectHandler m_suspect_handler;
  std::set<std::shared_ptr<Exchange>> m_exchanges;
  ServiceRetryCounts m_fleet_retries;
  std::size_t m_reserved_response_bytes = 0;  // of answers that are not whole yet
  asio::steady_timer m_tick_timer;
  bool m_tick_planned = false;
  // Goes with the object. A handler of the timer may run after it and looks here first.
  std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
  // Requests that arrived before this process knew routes and upstreams.
  std::vector<HttpCall> m_deferred;
  std::optional<TimePoint> m_warm_up_end;  // no request waits from then on
  bool m_draining = false;
  bool m_stopping = false;
  Metrics m_metrics;
};

}  // namespace corneltray

#endif  // CORNELTRAY_GATEWAY_H_
