#include "corneltray/metrics_server.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "../libcorneltray/peer_frame.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
// Holds the request to explain. This listener keeps no bodies, since anybody can connect to it.
constexpr char kExplainedRequest[] = "Explained-Request";

void RespondJson(const HttpCall& call, int status, const json& body) {
  HttpHead head = MakeResponse(status);
  head.Add("Content-Type", "application/json");
  // Fields of the request may hold bytes that are not UTF-8.
  call.Respond(std::move(head), body.dump(-1, ' ', false, json::error_handler_t::replace));
}

void RespondError(const HttpCall& call, int status, const char* code, const char* message) {
  RespondJson(call, status, {{"error", {{"code", code}, {"message", message}}}});
}

// Reads the head of the request that is to be explained: method, target, and fields as pairs of
// name and value. Returns nullopt for anything else.
std::optional<HttpHead> ReadExplainedHead(std::string_view text) {
  try {
    const json body = json::parse(text);
    HttpHead head;
    head.method = body.at("method").get<std::string>();
    head.target = body.at("target").get<std::string>();
    for (const json& field : body.at("fields")) {
      head.Add(field.at(0).get<std::string>(), field.at(1).get<std::string>());
    }
    return head;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace

MetricsServer::MetricsServer(asio::io_context* io, const std::string& address,
                             std::function<std::string()> text, std::shared_ptr<DoorBudget> budget)
    : m_text(std::move(text)), m_listener(io, [this](const HttpCall& call) { OnCall(call); }) {
  HttpListenerLimits limits;
  limits.keeps_bodies = false;
  m_listener.SetLimits(limits);
  m_listener.SetBudget(Door::kMetrics, std::move(budget));
  const Status listening = m_listener.Listen(address);
  if (listening) return;
  LogEvent(LogLevel::kError, "metrics_not_served",
           {{"address", address}, {"error", listening.error().ToString()}});
}

void MetricsServer::ServeExplain(std::string operator_key, Explain explain) {
  m_operator_key = std::move(operator_key);
  m_explain = std::move(explain);
}

void MetricsServer::OnCall(const HttpCall& call) const {
  const HttpHead& request = call.Head();
  if (m_explain && request.method == "GET" && request.Path() == "/admin/v1/explain") {
    return OnExplain(call);
  }
  const bool found = request.Path() == "/metrics";
  HttpHead head = MakeResponse(found ? kOk : kNotFound);
  head.Add("Content-Type", "text/plain; version=0.0.4");
  call.Respond(std::move(head), found ? m_text() : "");
}

void MetricsServer::OnExplain(const HttpCall& call) const {
  const std::string expected = "Bearer " + m_operator_key;
  const std::string given(call.Head().Value("Authorization"));
  if (m_operator_key.empty() || !EqualInConstantTime(given, expected)) {
    return RespondError(call, kUnauthorized, "unauthorized",
                        "the operator key is missing or wrong");
  }
  const auto head = ReadExplainedHead(call.Head().Value(kExplainedRequest));
  if (!head) {
    return RespondError(call, kBadRequest, "malformed_request",
                        "Explained-Request must be an object with method, target and fields");
  }
  RespondJson(call, kOk, m_explain(*head));
}

}  // namespace corneltray
