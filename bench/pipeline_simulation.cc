#include "pipeline_simulation.h"

#include <algorithm>
#include <deque>
#include <map>

#include "fleet.h"
#include "report.h"

namespace corneltray::bench {
namespace {

using Seconds = std::chrono::duration<double>;

constexpr Duration kReportInterval = std::chrono::milliseconds(250);
constexpr double kHopSeconds = 0.0002;

Duration ToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(Seconds(seconds));
}

struct StageState {
  std::uint32_t engine = 0;
  double pass_s = 0.0;  // one token through this stage
  double hop_s = 0.0;
};

struct RequestState {
  std::size_t host = 0;
  std::size_t customer = 0;
  TimePoint arrived_at{};
  TimePoint last_token_at{};
  std::vector<StageState> stages;
  std::uint32_t stage = 0;
  int tokens = 0;  // so far
  bool counted = false;
};

struct Host {
  std::mt19937_64 random;
  LoadTable load;
  std::unique_ptr<Router> router;
  std::unique_ptr<Limiter> limiter;
};

class Simulation {
 public:
  Simulation(const std::vector<PlacementEngine>& engines, const PlacementRanges& ranges,
             const PlacementModel& model, const SimulationOptions& options)
      : m_options(options),
        m_engines(engines),
        m_model(model),
        m_random(options.seed),
        m_free_at(engines.size(), m_start),
        m_active(engines.size(), 0),
        m_now(m_start) {
    for (std::uint32_t i = 0; i < engines.size(); ++i) m_ids[engines[i].name] = i;
    const auto views = ToViews(engines, ranges);
    m_hosts.resize(options.entry_hosts);
    std::vector<HostView> host_views;
    std::map<std::string, CustomerConfig> customers;
    const std::size_t count = std::max<std::size_t>(1, options.customer_weights.size());
    for (std::size_t c = 0; c < count; ++c) {
      CustomerConfig customer;
      customer.name = "c" + std::to_string(c);
      customer.requests_per_s = options.customer_rate > 0.0 ? options.customer_rate : 1e9;
      customer.burst = customer.requests_per_s;
      customers[customer.name] = customer;
    }
    m_result.customers.resize(count);
    for (std::size_t h = 0; h < m_hosts.size(); ++h) {
      HostView view;
      view.info.name = "h" + std::to_string(h);
      view.info.program = "corneltray-entry";
      view.info.availability_zone = "z";
      host_views.push_back(view);
    }
    for (std::size_t h = 0; h < m_hosts.size(); ++h) {
      Host& host = m_hosts[h];
      host.random.seed(options.seed * 1000 + h);
      host.router = std::make_unique<Router>(RouterOptions{"z", options.policy, false}, &host.load,
                                             nullptr, nullptr, &host.random);
      host.router->SetUpstreams(views);
      host.limiter = std::make_unique<Limiter>(host_views[h].info.name);
      host.limiter->SetHosts(m_now, host_views, 1.0);
      host.limiter->SetCustomers(m_now, customers);
      host.limiter->SetConcurrencyLimit(options.concurrency_limit);
    }
  }

  SimulationResult Run() {
    const TimePoint end = m_start + m_options.warm_up + m_options.length;
    TimePoint next_arrival = m_now + NextGap();
    TimePoint next_report = m_now;
    while (true) {
      const TimePoint next_event = m_events.empty() ? TimePoint::max() : m_events.top().first;
      const TimePoint next = std::min({next_event, next_arrival, next_report});
      if (next > end) break;
      m_now = next;
      if (next == next_report) {
        Report();
        next_report += kReportInterval;
      } else if (next == next_arrival) {
        Arrive();
        next_arrival += NextGap();
      } else {
        const std::size_t request = m_events.top().second;
        m_events.pop();
        Advance(request);
      }
    }
    m_now = end;
    return Finish();
  }

 private:
  using Event = std::pair<TimePoint, std::size_t>;

  Duration NextGap() {
    return ToDuration(std::exponential_distribution<>(m_options.requests_per_s)(m_random));
  }

  bool IsCounted() const { return m_now >= m_start + m_options.warm_up; }

  void Report() {
    m_reports.emplace_back(m_now, m_active);
    while (m_reports.size() > 1 && m_reports[1].first + m_options.report_lag <= m_now) {
      m_reports.pop_front();
    }
    if (m_reports.front().first + m_options.report_lag > m_now) return;
    for (Host& host : m_hosts) {
      for (std::uint32_t e = 0; e < m_engines.size(); ++e) {
        host.load.Report(m_now, m_engines[e].name, {m_reports.front().second[e], 0, 0.0});
      }
    }
  }

  void Arrive() {
    const std::size_t h = m_random() % m_hosts.size();
    Host& host = m_hosts[h];
    std::size_t customer = 0;
    if (!m_options.customer_weights.empty()) {
      std::discrete_distribution<std::size_t> pick(m_options.customer_weights.begin(),
                                                   m_options.customer_weights.end());
      customer = pick(m_random);
    }
    const bool counted = IsCounted();
    if (counted) ++m_result.customers[customer].offered;
    const auto route = host.router->ChooseChain(m_now, m_model.key, m_model.layers, 0, {}, 0);
    if (!route) return;
    const std::string name = "c" + std::to_string(customer);
    const TimePoint deadline =
        m_options.deadline_s > 0.0 ? m_now + ToDuration(m_options.deadline_s) : TimePoint::max();
    if (std::holds_alternative<Refused>(
            host.limiter->Admit(m_now, name, Workload::kGeneration, deadline, {}))) {
      if (counted) ++m_result.refused;
      return;
    }
    RequestState request;
    request.host = h;
    request.customer = customer;
    request.arrived_at = m_now;
    request.counted = counted;
    for (const Stage& stage : route.value().chain.stages) {
      const std::uint32_t id = m_ids.at(stage.name);
      const PlacementEngine& engine = m_engines[id];
      request.stages.push_back({id,
                                (stage.last_layer - stage.first_layer + 1) / engine.layers_per_s,
                                kHopSeconds + kActivationMegabits / engine.link_mbps});
      ++m_active[id];
      host.load.Begin(m_now, stage.name);
    }
    m_requests.push_back(std::move(request));
    m_events.emplace(m_now + ToDuration(m_requests.back().stages[0].hop_s), m_requests.size() - 1);
  }

  // The request's pass has reached a stage: takes its place in the engine's queue.
  void Advance(std::size_t index) {
    RequestState& request = m_requests[index];
    const StageState& stage = request.stages[request.stage];
    const double passes = request.tokens == 0 ? kPromptPasses : 1;
    const TimePoint start = std::max(m_now, m_free_at[stage.engine]);
    const TimePoint done = start + ToDuration(stage.pass_s * passes);
    m_free_at[stage.engine] = done;
    if (++request.stage < request.stages.size()) {
      m_events.emplace(done + ToDuration(request.stages[request.stage].hop_s), index);
      return;
    }
    request.stage = 0;
    if (request.counted && request.tokens == 0) {
      m_first.push_back(Seconds(done - request.arrived_at).count());
    } else if (request.counted) {
      m_between.push_back(Seconds(done - request.last_token_at).count());
    }
    request.last_token_at = done;
    if (++request.tokens < kTokens) {
      m_events.emplace(done + ToDuration(request.stages[0].hop_s), index);
      return;
    }
    Complete(&request, done);
  }

  void Complete(RequestState* request, TimePoint done) {
    Host& host = m_hosts[request->host];
    for (const StageState& stage : request->stages) {
      --m_active[stage.engine];
      host.load.End(m_now, m_engines[stage.engine].name);
    }
    host.limiter->Finish(m_now, "c" + std::to_string(request->customer));
    if (IsCounted()) ++m_completed;
    const double took = Seconds(done - request->arrived_at).count();
    if (request->counted && (m_options.deadline_s <= 0.0 || took <= m_options.deadline_s)) {
      ++m_result.customers[request->customer].good;
    }
    request->stages.clear();
  }

  SimulationResult Finish() {
    // A request that still waits counts with the time that it has waited so far.
    for (const RequestState& request : m_requests) {
      if (request.counted && request.tokens == 0) {
        m_first.push_back(Seconds(m_now - request.arrived_at).count());
      }
    }
    const double length = Seconds(m_options.length).count();
    m_result.completed_per_s = static_cast<double>(m_completed) / length;
    for (const CustomerResult& customer : m_result.customers) {
      m_result.good_per_s += static_cast<double>(customer.good) / length;
    }
    m_result.first_token_p95_s = Quantile(&m_first, 0.95);
    m_result.first_token_p99_s = Quantile(&m_first, 0.99);
    m_result.between_tokens_p95_s = Quantile(&m_between, 0.95);
    m_result.between_tokens_p99_s = Quantile(&m_between, 0.99);
    return std::move(m_result);
  }

  SimulationOptions m_options;
  const std::vector<PlacementEngine>& m_engines;
  PlacementModel m_model;
  std::mt19937_64 m_random;
  const TimePoint m_start{std::chrono::hours(1000)};
  std::vector<TimePoint> m_free_at;
  std::vector<std::uint32_t> m_active;
  TimePoint m_now;
  std::map<std::string, std::uint32_t> m_ids;
  std::vector<Host> m_hosts;
  std::deque<std::pair<TimePoint, std::vector<std::uint32_t>>> m_reports;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::vector<RequestState> m_requests;
  std::vector<double> m_first;
  std::vector<double> m_between;
  std::size_t m_completed = 0;
  SimulationResult m_result;
};

}  // namespace

SimulationResult Simulate(const std::vector<PlacementEngine>& engines,
                          const PlacementRanges& ranges, const PlacementModel& model,
                          const SimulationOptions& options) {
  return Simulation(engines, ranges, model, options).Run();
}

}  // namespace corneltray::bench
