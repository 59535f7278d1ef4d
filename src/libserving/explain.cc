// What an operator is told about a request that is not sent.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "corneltray/gateway.h"
#include "gateway_admission.h"

namespace corneltray {
namespace {

using nlohmann::json;

double Milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

json RefusalJson(GatewayRefusal refusal, std::optional<std::chrono::milliseconds> retry_after) {
  json refused = {
      {"decision", "refuse"}, {"reason", NameOf(refusal)}, {"status", StatusOf(refusal)}};
  if (!retry_after) retry_after = RetryAfter(refusal);
  if (retry_after) refused["retry_after_ms"] = retry_after->count();
  return refused;
}

json CandidateJson(const CandidateView& view, const std::vector<std::string>& chosen) {
  const bool is_chosen = std::find(chosen.begin(), chosen.end(), view.upstream) != chosen.end();
  // Those without a reason of their own were compared and another one was better, or was drawn.
  const std::string_view reason = is_chosen                               ? "chosen"
                                  : view.reason == CandidateReason::kNone ? "another_one_preferred"
                                                                          : NameOf(view.reason);
  json candidate = {{"upstream", view.upstream},
                    {"address", view.address},
                    {"availability_zone", view.availability_zone},
                    {"reason", reason},
                    {"load", view.load},
                    {"score", view.score},
                    {"room", view.room},
                    {"pace_share", view.share},
                    {"report_age_ms", nullptr}};
  if (view.report_age) candidate["report_age_ms"] = Milliseconds(*view.report_age);
  if (view.first_layer < view.end_layer) {
    candidate["layers"] = {view.first_layer, view.end_layer - 1};
  }
  return candidate;
}

json CandidatesJson(const std::vector<CandidateView>& views,
                    const std::vector<std::string>& chosen) {
  json candidates = json::array();
  for (const CandidateView& view : views) candidates.push_back(CandidateJson(view, chosen));
  return candidates;
}

}  // namespace

json Gateway::Explain(const HttpHead& head) const {
  const TimePoint now = Clock::now();
  GatewayRequest request;
  request.head = head;
  request.read_at = now;
  request.routes = m_routes;
  json answer = {{"route_version", RouteVersion()}, {"upstreams", m_upstreams.Generation()}};
  const auto refusal = FilterRequest(MakeFilterContext(now), &request);
  if (request.route != nullptr) {
    answer["route"] = request.route->name;
    answer["kind"] = NameOf(request.route->kind);
    answer["priority"] = request.priority;
  }
  if (request.customer != nullptr) answer["customer"] = request.customer->name;
  if (refusal) {
    answer["admission"] = RefusalJson(*refusal, std::nullopt);
    return answer;
  }
  answer["service"] = request.service->name;
  answer["time_left_ms"] = Milliseconds(request.deadline - now);
  if (IsQuarantined(request.metadata.shared_prompt_parts)) {
    answer["admission"] = RefusalJson(GatewayRefusal::kQuarantinedPart, std::nullopt);
    return answer;
  }
  ExplainAdmission(now, request, &answer);
  ExplainChoice(now, request, &answer);
  return answer;
}

void Gateway::ExplainAdmission(TimePoint now, const GatewayRequest& request, json* answer) const {
  const std::string& service = request.service->name;
  json& admission = (*answer)["admission"];
  admission = {{"decision", "send"}};
  const auto router = m_routers.find(service);
  if (router == m_routers.end() || m_draining || !m_admission->Controls(service)) return;
  const ServiceRoom room = router->second.PreviewRoom(now, m_upstreams, HostShare(service));
  const AdmissionDecision decision = m_admission->Preview(now, request, room);
  if (const auto* reject = std::get_if<Reject>(&decision)) {
    admission = RefusalJson(GatewayRefusal::kOverloaded, reject->retry_after);
    admission["detail"] = NameOf(reject->reason);
  } else if (const auto* wait = std::get_if<Wait>(&decision)) {
    admission = {{"decision", "wait"}, {"expected_ms", Milliseconds(wait->expected)}};
  }
  admission["room_known"] = room.is_known;
  admission["load"] = room.load;
  admission["capacity_tokens"] = room.capacity_tokens;
}

void Gateway::ExplainChoice(TimePoint now, const GatewayRequest& request, json* explained) const {
  const RouteService& service = *request.service;
  json& answer = *explained;
  std::set<std::string> blocked;
  AddBlocked(now, &blocked);
  answer["choice"] = nullptr;
  std::vector<std::string> chosen;
  const auto router = m_routers.find(service.name);
  if (router != m_routers.end()) {
    const ChainChoice choice = router->second.Preview(now, m_upstreams, blocked,
                                                      request.read_at + request.route->objective);
    for (const ChainStage& stage : choice.stages) chosen.push_back(stage.upstream);
    if (!chosen.empty()) {
      answer["choice"] = {{"chain", chosen},
                          {"scope", NameOf(choice.scope)},
                          {"load", choice.load},
                          {"expected_ms", Milliseconds(std::chrono::duration_cast<Duration>(
                                              std::chrono::duration<double>(choice.cost_s)))},
                          {"held_back_by_pace", choice.limited}};
    }
    answer["candidates"] =
        CandidatesJson(router->second.Describe(now, m_upstreams, blocked), chosen);
  } else {
    // Without a call yet, there is no picker: one that knows the replicas only.
    const auto known = m_pickers.find(service.name);
    ServicePicker fresh(m_options.availability_zone, service.name);
    fresh.SetReplicas(m_upstreams);
    const ServicePicker& picker = known == m_pickers.end() ? fresh : known->second;
    const auto choice = picker.Preview(now, m_upstreams, blocked);
    if (choice) {
      chosen = {choice->upstream};
      answer["choice"] = {{"upstream", choice->upstream},
                          {"address", choice->address},
                          {"is_own_zone", choice->is_own_zone},
                          {"score", choice->load},
                          {"held_back_by_pace", choice->limited}};
    }
    answer["candidates"] = CandidatesJson(picker.Describe(now, m_upstreams, blocked), chosen);
  }
  const bool is_sent = answer["admission"]["decision"] == "send";
  if (!chosen.empty() || !is_sent) return;
  answer["admission"] = RefusalJson(GatewayRefusal::kNoUpstream, RemainingPause(now, service.name));
}

}  // namespace corneltray
