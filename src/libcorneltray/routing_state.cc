#include "corneltray/routing_state.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "corneltray/log.h"

namespace corneltray {
namespace {

// Requests admitted for each pipeline that is ready. Engines batch, so several requests share one
// pipeline before a queue costs more than it gains.
constexpr double kRequestsPerPipeline = 32.0;
// Floor of the concurrency limit: while engines are being placed, requests wait for them.
constexpr std::uint32_t kMinConcurrency = 16;

void LogEjections(const std::vector<Ejection>& ejections) {
  for (const Ejection& ejection : ejections) {
    LogEvent(LogLevel::kWarning, "upstream_ejected",
             {{"upstream", ejection.upstream}, {"cause", NameOf(ejection.cause)}});
  }
}

}  // namespace

RoutingState::RoutingState(std::string host, std::string availability_zone)
    : m_random(std::random_device{}()),
      m_outliers(0.3),
      m_retries(0.2, 3.0),
      m_limiter(std::move(host)),
      m_router({std::move(availability_zone), PrefixAffinity{}, true}, &m_load, &m_prefixes,
               &m_outliers, &m_random) {}

void RoutingState::SetConfiguration(const Configuration& configuration) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_models = configuration.models;
  m_limiter.SetCustomers(Clock::now(), configuration.customers);
  m_outliers.SetMaxEjectedRatio(configuration.routing.max_ejected_ratio);
  m_retries.Configure(configuration.routing.retry_budget_ratio,
                      configuration.routing.retry_budget_min_per_s);
  m_router.SetPolicy(PrefixAffinity{configuration.routing.affinity_load_factor});
  UpdateCapacity();
}

void RoutingState::SetUpstreams(const std::vector<UpstreamView>& upstreams) {
  std::map<std::string, std::set<std::string>> groups;
  for (const UpstreamView& upstream : upstreams) {
    const Announcement& a = upstream.announcement;
    if (a.kind == UpstreamKind::kService) groups[a.service].insert(a.name);
    for (const Holding& holding : a.holdings) groups[holding.key.model].insert(a.name);
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_router.SetUpstreams(upstreams);
  for (const auto& [group, members] : groups) m_outliers.SetGroupSize(group, members.size());
  UpdateCapacity();
}

// The limiter bounds the requests of all models together, so the capacities are summed.
void RoutingState::UpdateCapacity() {
  double pipelines = 0.0;
  for (const auto& [name, model] : m_models) {
    pipelines += m_router.ReadyPipelines({name, model.version, ""}, model.layers);
  }
  const auto limit = static_cast<std::uint32_t>(std::ceil(pipelines * kRequestsPerPipeline));
  m_limiter.SetConcurrencyLimit(std::max(limit, kMinConcurrency));
}

void RoutingState::SetHosts(const std::vector<HostView>& hosts) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_limiter.SetHosts(Clock::now(), hosts, 1.0);
}

void RoutingState::ForgetUpstream(const std::string& name) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_load.Forget(name);
  m_prefixes.Forget(name);
  m_outliers.Forget(name);
}

Admission RoutingState::Admit(const std::string& customer, Workload workload, TimePoint deadline,
                              Duration expected_wait) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_limiter.Admit(Clock::now(), customer, workload, deadline, expected_wait);
}

void RoutingState::FinishRequest(const std::string& customer) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_limiter.Finish(Clock::now(), customer);
}

std::map<std::string, double> RoutingState::Demand() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_limiter.Demand(Clock::now());
}

void RoutingState::RecordRequest() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_retries.RecordRequest(Clock::now());
}

bool RoutingState::TryRetry() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_retries.TryRetry(Clock::now());
}

Result<Route> RoutingState::ChooseChain(const ModelKey& key, std::uint32_t layers,
                                        std::uint64_t prefix_hash,
                                        const std::set<std::string>& excluded,
                                        std::uint32_t priority) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_router.ChooseChain(Clock::now(), key, layers, prefix_hash, excluded, priority);
}

Result<ReplicaRoute> RoutingState::ChooseReplica(const std::string& service,
                                                 const std::set<std::string>& excluded) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_router.ChooseReplica(Clock::now(), service, excluded);
}

void RoutingState::RecordPrefix(std::uint64_t prefix_hash, const std::string& engine) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_prefixes.Insert(Clock::now(), prefix_hash, engine);
}

void RoutingState::ReportLoad(const std::string& upstream, const LoadReport& load) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_load.Report(Clock::now(), upstream, load);
}

void RoutingState::BeginWork(const std::string& upstream) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_load.Begin(Clock::now(), upstream);
}

void RoutingState::EndWork(const std::string& upstream) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_load.End(Clock::now(), upstream);
}

void RoutingState::ReportSuccess(const std::string& group, const std::string& upstream,
                                 Duration latency) {
  std::vector<Ejection> ejections;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ejections = m_outliers.Success(Clock::now(), group, upstream, latency);
  }
  LogEjections(ejections);
}

void RoutingState::ReportFailure(const std::string& group, const std::string& upstream) {
  std::vector<Ejection> ejections;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ejections = m_outliers.Failure(Clock::now(), group, upstream);
  }
  LogEjections(ejections);
}

std::vector<Ejection> RoutingState::Ejected() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_outliers.Ejected(Clock::now());
}

WorkTicket::WorkTicket(RoutingState* routing, std::vector<std::string> upstreams)
    : m_routing(routing), m_upstreams(std::move(upstreams)) {
  for (const std::string& upstream : m_upstreams) m_routing->BeginWork(upstream);
}

WorkTicket::~WorkTicket() {
  for (const std::string& upstream : m_upstreams) m_routing->EndWork(upstream);
}

}  // namespace corneltray
