#ifndef CORNELTRAY_GATEWAY_H_
#define CORNELTRAY_GATEWAY_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corneltray/admission_mode.h"
#include "corneltray/attempt_rules.h"
#include "corneltray/dialect.h"
#include "corneltray/engine_router.h"
#include "corneltray/fleet_messages.h"
#include "corneltray/forward_hosts.h"
#include "corneltray/forward_report.h"
#include "corneltray/gateway_request.h"
#include "corneltray/http_listener.h"
#include "corneltray/key_lease.h"
#include "corneltray/metrics.h"
#include "corneltray/prompt_quarantine.h"
#include "corneltray/rate_limit_report.h"
#include "corneltray/retry.h"
#include "corneltray/retry_quota.h"
#include "corneltray/route_table.h"
#include "corneltray/server_pace.h"
#include "corneltray/service_picker.h"
#include "corneltray/service_room.h"
#include "corneltray/upstream_backoff.h"
#include "corneltray/upstream_pool.h"
#include "corneltray/upstream_reach.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

class Exchange;
class GatewayAdmission;

using ServiceRetryCounts = std::map<std::string, RetryCounts>;

struct GatewayOptions {
  std::string availability_zone;
  std::shared_ptr<const Dialect> dialect;
  std::chrono::milliseconds key_lease{5000};
  double retry_ratio = 0.2;
  double retry_allowance = 100.0;  // retries per window beyond the ratio, over all entry hosts
  std::chrono::milliseconds retry_window{10'000};
  std::uint64_t random_seed = 1;  // differs between hosts
  std::uint64_t incarnation = 1;  // differs between processes of one host
  AdmissionMode admission = AdmissionMode::kAuto;
  // Parts of the memory of the process, for callers and for the readiness check.
  std::shared_ptr<DoorBudget> caller_budget = MakeDefaultDoorBudget();
  std::shared_ptr<DoorBudget> readiness_budget = MakeDefaultDoorBudget();
  std::size_t max_upstream_connections = std::numeric_limits<std::size_t>::max();
  PaceMode pace_mode = PaceMode::kOff;
  std::string host;             // name of this entry host
  std::string shared_key;       // of all hosts, by which they sign forwarded requests
  std::string forward_address;  // IP:PORT told to other hosts; empty: serves none of theirs
};

// The data path of one entry host: accepts requests of callers, sends them to upstreams and
// forwards the responses. Owns this host's view of routes, upstreams and their load. Runs on one
// io_context and has no thread of its own.
class Gateway {
 public:
  Gateway(asio::io_context* io, GatewayOptions options);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Start to serve callers, and the readiness check on a separate address.
  Status Listen(const std::string& address);
  Status ListenReady(const std::string& address);

  // Applies a route table from the replicated log. Ignored unless its version is higher than the
  // current one.
  void SetRouteTable(RouteTable table);
  std::uint64_t RouteVersion() const;
  // The replicated log confirmed, for a request sent at `asked_at`, that the current table is the
  // newest one. Extends the lease on customer keys.
  void ConfirmRouteTable(TimePoint asked_at);
  void UpdateUpstreams(const UpstreamUpdates& updates);
  // Applies the results of engine health checks by the control processes.
  void UpdateEngineHealth(const std::vector<EngineHealth>& engines);
  // Requests and retries in the last window: of this host, and the sum over all hosts that the
  // control processes compute.
  ServiceRetryCounts OwnRetryCounts() const;
  void SetFleetRetryCounts(const ServiceRetryCounts& counts);
  // What this host reports for its quotas of retries, or nothing if the last report, which was
  // answered a short time ago, says the same. Each report has a number of its own.
  std::optional<RetryReport> MakeRetryReport();
  // Applies the quotas that this host is granted.
  void ApplyRetryGrant(const RetryGrant& grant);
  // What this host has seen of the servers that it paces, and the sum over all hosts with their
  // number.
  ServerPaceCounts OwnPaceCounts() const { return m_pace.OwnCounts(); }
  void SetFleetPace(const FleetPace& fleet);
  // What upstreams with a limit of requests named last in answers to this host, and to others.
  RateLimitReports OwnRateLimits() const { return m_backoff.OwnRateLimits(Clock::now()); }
  void SetFleetRateLimits(const RateLimitReports& reports);

  // Whether this host reaches no upstream, so that others have to serve its requests.
  bool IsIsolated() const { return m_reach.IsIsolated(); }
  // Whether connections fail, and it is not known yet whether this host is isolated, or which hosts
  // serve its requests.
  bool IsReachUnknown(TimePoint now) const;
  // The handler is called when this host becomes isolated or reaches upstreams again.
  void SetIsolationHandler(std::function<void()> handler) {
    m_isolation_handler = std::move(handler);
  }
  // What this host tells about itself, or nothing if a recent report says the same.
  std::optional<ForwardReport> MakeForwardReport();
  // Applies the hosts that the control processes name to an isolated host.
  void SetForwardHosts(const std::vector<ForwardHost>& hosts);

  // The handler is called for each engine that does not respond and for each that needs a health
  // check, with its last announcement.
  using SuspectHandler = std::function<void(const UpstreamRefresh& engine)>;
  void SetSuspectHandler(SuspectHandler handler) { m_suspect_handler = std::move(handler); }

  // The source tells how much work the engines of a service can take. It is asked for each request
  // and each tick while requests wait.
  using RoomSource = std::function<ServiceRoom(TimePoint now, const std::string& service)>;
  void SetRoomSource(RoomSource source) { m_room_source = std::move(source); }

  // Applies verdicts of the control processes about prompt parts.
  void UpdatePromptVerdicts(const std::vector<PartVerdict>& verdicts);
  // The handler sends evidence and trial requests to the control processes. It returns whether it
  // could: without a control process this host decides about trials by itself.
  using QuarantineHandler = std::function<bool(const QuarantineAction& action)>;
  void SetQuarantineHandler(QuarantineHandler handler) {
    m_quarantine_handler = std::move(handler);
  }
  // Ends a TrialRequest of the handler.
  void AnswerTrial(const std::string& part, bool is_granted);

  // Whether the load balancer should route callers to this host.
  bool IsReady() const;
  // Reports the host as not ready and closes connections after their current response.
  void BeginDrain();
  void CloseIdle();
  // Refuses new connections and requests; requests in progress continue.
  void StopAccepting();
  void CloseAll();
  // Requests that run at upstreams or wait for the engines.
  std::size_t InFlight() const;
  // Whether no request is in progress or on a connection, and every answer is sent.
  bool IsFinished() const { return m_exchanges.empty() && m_listener.Counters().unfinished == 0; }
  std::string MetricsText() const;
  // Says what would happen to a request with this head now, for operators: route, customer,
  // admission, the upstream that it would go to, and the others with the reason against them. Sends
  // nothing and changes no state.
  nlohmann::json Explain(const HttpHead& head) const;
  HttpListenerCounters ListenerCounters() const { return m_listener.Counters(); }
  // Bound addresses as IP:PORT, for tests.
  std::string Address() const { return m_listener.Address(); }
  std::string ReadyAddress() const { return m_ready_listener.Address(); }

  // --- For Exchange ---
  const Dialect& GetDialect() const { return *m_options.dialect; }
  UpstreamPool& Pool() { return m_pool; }
  const UpstreamTable& Upstreams() const { return m_upstreams; }
  // Null if the service has no engines.
  EngineRouter* RouterOf(const RouteService& service);
  ServicePicker& PickerOf(const std::string& service);
  SharedRetryBudget& BudgetOf(const std::string& service);
  // Returns whether a retry may be sent now, and counts it.
  bool TryRetry(const std::string& service, RetryPurpose purpose);
  // Counts an attempt after the first one of a request in what the engines of a service were sent.
  void ChargeRepeat(const std::string& service, double tokens);
  ServerPace& Pace() { return m_pace; }
  Metrics& GetMetrics() { return m_metrics; }
  // Requests the report of the first stage of a chain, which names the stages that block its
  // requests. Concurrent calls for one address share one request; `done` gets null if there is no
  // response.
  using EngineReportCallback = std::function<void(const EngineReport* report)>;
  void RequestReport(const std::string& address, EngineReportCallback done);
  // An upstream said in a response that it is shutting down. This host sends it no more requests,
  // even if the control processes have not heard of it.
  void ReportLeaving(const std::string& upstream, std::uint64_t incarnation);
  // An upstream refused a request and wants no others from this host for this time.
  void ReportPause(const std::string& upstream, std::uint64_t incarnation,
                   std::chrono::milliseconds pause);
  // An upstream answered a request and named how many a second it takes from all hosts together, or
  // names no limit.
  void ReportRateLimit(const std::string& upstream, std::uint64_t incarnation, TimePoint sent_at,
                       std::optional<double> requests_per_s);
  // Counts a request against the limit of an upstream.
  void RecordRequestTo(const std::string& upstream);
  // If upstreams of a service take no request now for their limits alone, returns when the first of
  // them takes one.
  std::optional<TimePoint> EndOfRateInterval(TimePoint now, const std::string& service) const;
  // Adds the addresses of the upstreams that asked this host for no requests now.
  void AddBlocked(TimePoint now, std::set<std::string>* addresses) const;
  // If all upstreams of a service asked for no requests now, or some for fewer, returns the time
  // until one takes them again.
  std::optional<std::chrono::milliseconds> RemainingPause(TimePoint now,
                                                          const std::string& service) const;
  // An attempt failed in a way that a cut between this host and all upstreams would explain.
  void SuspectIsolation();
  // The hosts that serve requests of this one while it is isolated.
  ForwardHosts& GetForwardHosts() { return m_forward_hosts; }
  // Whether a request is to be forwarded now: this host is isolated and knows a host that serves.
  bool IsForwarding(TimePoint now) const;
  const std::string& SharedKey() const { return m_options.shared_key; }
  const std::string& HostName() const { return m_options.host; }
  // Marks an engine as suspected, notifies the control processes and fails over the requests that
  // wait for it.
  void ReportSuspectedEngine(const EngineLoss& loss);
  // Asks the control processes to check an engine that refused a request although its load leaves
  // room.
  void RequestHealthCheck(const std::string& address);
  // An upstream closed the connection of a request before the first event of its answer.
  void ReportCrash(const std::string& upstream, CrashPhase phase,
                   const std::vector<std::string>& prompt_parts);
  // An upstream has begun an answer to a prompt with these parts.
  void ReportAnswerBegun(const std::vector<std::string>& prompt_parts);
  bool IsQuarantined(const std::vector<std::string>& prompt_parts) const;
  // Whether a request with these parts is to be taken back from its upstream.
  bool IsToBeTakenBack(const std::vector<std::string>& prompt_parts) const;
  void RemoveExchange(const std::shared_ptr<Exchange>& exchange);
  // Reserve memory for response bodies that are buffered until they are complete. The limit applies
  // to the sum over all requests; returns false if it would be exceeded.
  bool ReserveResponseBytes(std::size_t bytes);
  void ReleaseResponseBytes(std::size_t bytes) {
    m_reserved_response_bytes -= bytes;
    m_response_charge.Update(m_reserved_response_bytes);
  }

 private:
  void OnCall(const HttpCall& call);
  void Admit(const HttpCall& call);
  bool MustDefer(const HttpCall& call);
  void AdmitDeferred();
  // Returns whether a request may be sent as far as its prompt parts are concerned. Otherwise it is
  // refused or waits for the decision about a trial.
  bool AdmitPrompt(const HttpCall& call, const GatewayRequest& request);
  void SendQuarantineActions();
  std::unique_ptr<GatewayAdmission> MakeAdmission();
  void StartExchange(const HttpCall& call, GatewayRequest request);
  GatewayRequest MakeRequest(const HttpCall& call) const;
  FilterContext MakeFilterContext(TimePoint now) const;
  // Both add to an explanation.
  void ExplainAdmission(TimePoint now, const GatewayRequest& request, nlohmann::json* answer) const;
  void ExplainChoice(TimePoint now, const GatewayRequest& request, nlohmann::json* answer) const;
  RetryLimit SharedRetryLimit() const;
  // Applies the number of entry hosts, which share the limits of retries and of upstreams.
  void UpdateHosts(std::uint32_t told);
  // Part of the requests of all hosts for a service that arrive at this host.
  double HostShare(const std::string& service) const;
  // Returns how much work the engines of a service can take, as computed at most a short time ago.
  ServiceRoom RoomOf(TimePoint now, const std::string& service);
  void OnReadyCall(const HttpCall& call);
  void Refuse(const HttpCall& call, const GatewayRequest& request, GatewayRefusal refusal,
              std::optional<std::chrono::milliseconds> retry_after = std::nullopt);
  void RefreshUpstreams();
  void LogPace();
  void FailOverFromEngine(TimePoint now, const EngineLoss& loss);
  void ScheduleTick();
  void Tick();
  // Sends the probes that are due, and tells of a change of the isolation.
  void CheckReach(TimePoint now);
  void OnConnect(const std::string& address, bool is_connected);
  void PostTick();
  // Reports the crashes and the suspected engines that were held back, unless a cut explains them.
  void ReportHeld(bool is_cut);
  void Probe(const std::string& address);
  void FinishReport(const std::string& address, const std::optional<EngineReport>& report);

  asio::io_context* m_io;
  GatewayOptions m_options;
  HttpListener m_listener;
  HttpListener m_ready_listener;
  UpstreamPool m_pool;
  UpstreamTable m_upstreams;
  UpstreamBackoff m_backoff;
  UpstreamReach m_reach;
  bool m_was_isolated = false;
  std::function<void()> m_isolation_handler;
  ForwardHosts m_forward_hosts;
  TimePoint m_forward_hosts_due_at{};             // after the begin of the isolation
  std::optional<ForwardReport> m_forward_report;  // the last one
  TimePoint m_next_forward_report{};
  std::uint64_t m_applied_generation = 0;  // of m_upstreams, last given to the routers
  std::shared_ptr<const RouteIndex> m_routes;
  KeyLease m_key_lease;
  ServerPace m_pace;
  std::map<std::string, EngineRouter> m_routers;  // by service
  struct KnownRoom {
    ServiceRoom room;
    TimePoint expires_at{};
  };
  std::map<std::string, KnownRoom> m_rooms;            // by service
  std::map<std::string, ServicePicker> m_pickers;      // by service
  std::map<std::string, SharedRetryBudget> m_budgets;  // by service
  std::map<std::string, std::vector<EngineReportCallback>>
      m_pending_reports;                                 // callbacks, by address
  std::map<std::string, TimePoint> m_next_health_check;  // by address
  SuspectHandler m_suspect_handler;
  PromptQuarantine m_quarantine;
  // Both until it is known whether this host is cut off.
  std::vector<CrashReport> m_held_crashes;
  std::vector<UpstreamRefresh> m_held_suspects;
  QuarantineHandler m_quarantine_handler;
  std::set<std::shared_ptr<Exchange>> m_exchanges;
  ServiceRetryCounts m_fleet_retries;
  SharingHosts m_hosts;                                     // entry hosts that report
  std::uint64_t m_retry_reports = 0;                        // made since the start
  std::map<std::string, std::uint32_t> m_reported_retries;  // by service, in the last report
  bool m_retry_was_refused = false;                         // since the last report
  TimePoint m_next_retry_report{};
  std::uint64_t m_applied_grant = 0;          // number of the report that it answers
  std::size_t m_reserved_response_bytes = 0;  // for buffered responses
  MemoryCharge m_response_charge;
  asio::steady_timer m_tick_timer;
  bool m_tick_planned = false;
  // Expires with this object. A timer handler may run after destruction, so it checks this first.
  std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
  // Requests that arrived before this process received routes and upstreams, or that wait for the
  // decision about a trial of their prompt.
  std::vector<HttpCall> m_deferred;
  std::optional<TimePoint> m_warm_up_end;  // no request is deferred after this time
  bool m_draining = false;
  bool m_stopping = false;
  Metrics m_metrics;
  RoomSource m_room_source;
  std::unique_ptr<GatewayAdmission> m_admission;
};

}  // namespace corneltray

#endif  // CORNELTRAY_GATEWAY_H_
