#include "gateway_admission.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "corneltray/log.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

// A caller whose time left is shorter than the timeout of the route by more than this came back
// after a refusal. The margin covers the way of the request.
constexpr milliseconds kReturnMargin{20};

milliseconds ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<milliseconds>(duration);
}

AdmissionRequest MakeAdmissionRequest(std::uint64_t id, const GatewayRequest& request) {
  const RouteEntry& route = *request.route;
  const milliseconds left = request.metadata.time_left.value_or(route.timeout);
  // What the caller has used before this attempt is lost for its objective as well.
  const milliseconds used = std::max(milliseconds(0), route.timeout - left);
  AdmissionRequest admission;
  admission.id = id;
  admission.rank = request.priority;
  if (request.customer != nullptr) admission.customer = request.customer->name;
  admission.tokens = std::max(1.0, HeldTokens(request));
  admission.objective_at = request.read_at + route.objective - used;
  admission.deadline = request.deadline;
  admission.is_return = used > kReturnMargin;
  return admission;
}

// Returns the ranks of the routes of each service.
std::map<std::string, std::set<std::uint32_t>> RanksOfServices(const RouteTable& table) {
  std::map<std::string, std::set<std::uint32_t>> ranks;
  for (const RouteEntry& route : table.routes) {
    for (const RouteTarget& target : route.targets) {
      if (target.weight > 0) ranks[target.service].insert(route.priority);
    }
  }
  return ranks;
}

}  // namespace

GatewayAdmission::GatewayAdmission(AdmissionMode mode, std::uint64_t seed, Metrics* metrics,
                                   Handlers handlers)
    : m_mode(mode), m_seed(seed), m_metrics(metrics), m_handlers(std::move(handlers)) {}

void GatewayAdmission::SetRouteTable(const RouteTable& table) {
  m_services.clear();
  if (m_mode == AdmissionMode::kOff) return;
  for (const auto& [service, ranks] : RanksOfServices(table)) {
    const auto known = table.services.find(service);
    if (known == table.services.end() || !known->second.engine) continue;
    if (m_mode == AdmissionMode::kOn || ranks.size() > 1) m_services.insert(service);
  }
}

AdmissionQueue& GatewayAdmission::QueueOf(const std::string& service) {
  return m_queues.try_emplace(service, m_seed).first->second;
}

void GatewayAdmission::UpdateRoom(TimePoint now, const std::string& service,
                                  AdmissionQueue* queue) {
  queue->SetRoom(now, m_handlers.room(now, service));
}

void GatewayAdmission::Offer(TimePoint now, const HttpCall& call, GatewayRequest request) {
  AdmissionQueue& queue = QueueOf(request.service->name);
  UpdateRoom(now, request.service->name, &queue);
  const std::uint64_t id = m_next_id++;
  const AdmissionDecision decision = queue.Offer(now, MakeAdmissionRequest(id, request));
  if (const auto* reject = std::get_if<corneltray::Reject>(&decision)) {
    return Reject(now, call, request, *reject);
  }
  if (const auto* wait = std::get_if<Wait>(&decision)) {
    Log(now, request,
        {"held", wait->objective == ObjectiveState::kLost ? "objective_lost" : "pace",
         ToMilliseconds(wait->expected)});
    m_calls.emplace(id, WaitingCall{call, std::move(request), now});
    return;
  }
  m_metrics->Count("admissions", "sent");
  m_handlers.start(call, std::move(request));
}

AdmissionDecision GatewayAdmission::Preview(TimePoint now, const GatewayRequest& request,
                                            const ServiceRoom& room) const {
  const auto known = m_queues.find(request.service->name);
  AdmissionQueue queue = known == m_queues.end() ? AdmissionQueue(m_seed) : known->second;
  queue.SetRoom(now, room);
  return queue.Offer(now, MakeAdmissionRequest(m_next_id, request));
}

void GatewayAdmission::Tick(TimePoint now) {
  if (m_calls.empty()) return;
  DropLeft();
  // A request that is started may fail at once, but no queue changes until the next tick or offer.
  for (auto& [service, queue] : m_queues) {
    UpdateRoom(now, service, &queue);
    const DueRequests due = queue.TakeDue(now);
    for (const std::uint64_t id : due.to_send) Start(now, id);
    for (const RejectedRequest& rejected : due.to_reject) {
      const auto waiting = m_calls.extract(rejected.id);
      if (waiting.empty()) continue;
      Reject(now, waiting.mapped().call, waiting.mapped().request, rejected.reject);
    }
  }
}

void GatewayAdmission::DropLeft() {
  for (auto it = m_calls.begin(); it != m_calls.end();) {
    if (it->second.call.IsOpen()) {
      ++it;
      continue;
    }
    QueueOf(it->second.request.service->name).Remove(it->first);
    m_metrics->Count("admissions", "caller_left");
    it = m_calls.erase(it);
  }
}

void GatewayAdmission::Start(TimePoint now, std::uint64_t id) {
  auto waiting = m_calls.extract(id);
  if (waiting.empty()) return;
  WaitingCall& held = waiting.mapped();
  Log(now, held.request, {"sent_after_wait", "", ToMilliseconds(now - held.since)});
  m_handlers.start(held.call, std::move(held.request));
}

void GatewayAdmission::Reject(TimePoint now, const HttpCall& call, const GatewayRequest& request,
                              const corneltray::Reject& reject) {
  Log(now, request, {"refused", NameOf(reject.reason), reject.retry_after});
  m_metrics->Count("admission_refusals", NameOf(reject.reason));
  m_handlers.refuse(call, request, reject.retry_after);
}

void GatewayAdmission::Log(TimePoint now, const GatewayRequest& request,
                           const LoggedDecision& decision) {
  m_metrics->Count("admissions", decision.outcome);
  const AdmissionSnapshot snapshot = QueueOf(request.service->name).Snapshot(now);
  LogEvent(LogLevel::kInfo, "admission",
           {{"request_id", request.metadata.request_id},
            {"route", request.route->name},
            {"rank", request.priority},
            {"customer", request.customer == nullptr ? "" : request.customer->name},
            {"load", snapshot.load},
            {"load_age_ms", ToMilliseconds(snapshot.load_age).count()},
            {"pace_tokens_per_s", snapshot.pace_tokens_per_s},
            {"waiting", m_calls.size()},
            {"outcome", decision.outcome},
            {"reason", decision.reason},
            {"time_ms", decision.time.count()}});
}

void GatewayAdmission::ChargeRepeat(const std::string& service, double tokens) {
  const auto queue = m_queues.find(service);
  if (queue != m_queues.end()) queue->second.Charge(tokens);
}

void GatewayAdmission::StartAll() {
  DropLeft();
  std::vector<std::uint64_t> ids;
  for (const auto& [id, waiting] : m_calls) ids.push_back(id);
  for (const std::uint64_t id : ids) {
    const auto known = m_calls.find(id);
    if (known == m_calls.end()) continue;
    QueueOf(known->second.request.service->name).Remove(id);
    Start(Clock::now(), id);
  }
}

void GatewayAdmission::Clear() {
  m_calls.clear();
  m_queues.clear();
}

void GatewayAdmission::AddGauges(TimePoint now, std::map<std::string, double>* gauges) const {
  std::map<std::uint32_t, std::size_t> waiting;
  double pace = 0.0;
  std::size_t late = 0;
  for (const auto& [service, queue] : m_queues) {
    const AdmissionSnapshot snapshot = queue.Snapshot(now);
    for (const auto& [rank, count] : snapshot.waiting) waiting[rank] += count;
    pace += snapshot.pace_tokens_per_s;
    late += snapshot.waiting_late;
  }
  (*gauges)["admission_pace_tokens_per_second"] = pace;
  (*gauges)["admission_waiting"] = static_cast<double>(m_calls.size());
  (*gauges)["admission_waiting_late"] = static_cast<double>(late);
  for (const auto& [rank, count] : waiting) {
    (*gauges)["admission_waiting_rank_" + std::to_string(rank)] = static_cast<double>(count);
  }
}

}  // namespace corneltray
