#include "control_http.h"

#include <nlohmann/json.hpp>
#include <string>

#include "corneltray/admin_api.h"
#include "corneltray/metrics.h"

namespace corneltray {
namespace {

using nlohmann::json;

HttpResponse JsonResponse(int status, const json& body) {
  HttpResponse response;
  response.status = status;
  response.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
  return response;
}

HttpResponse ErrorResponse(int status, const std::string& code, const std::string& message) {
  return JsonResponse(status,
                      {{"error", {{"code", code}, {"message", message}, {"outcome", "not_run"}}}});
}

json MakeStatus(const ControlHttpOptions& options) {
  json status = options.control->Status();
  if (status.is_null()) status = json::object();
  status["program"] = kControlProgram;
  status["host"] = options.settings->name;
  status["region"] = options.settings->region;
  status["availability_zone"] = options.settings->availability_zone;
  status["draining"] = options.draining->load();
  json hosts = json::array();
  const auto views =
      options.membership == nullptr ? std::vector<HostView>() : options.membership->Hosts();
  for (const HostView& view : views) {
    hosts.push_back({{"name", view.info.name},
                     {"program", view.info.program},
                     {"availability_zone", view.info.availability_zone},
                     {"liveness", NameOf(view.liveness)},
                     {"revision", view.info.configuration_revision}});
  }
  status["hosts"] = std::move(hosts);
  return status;
}

HttpResponse ReadinessResponse(const ControlHttpOptions& options) {
  const char* reason = *options.draining                  ? "draining"
                       : options.control->StorageFailed() ? "storage_failed"
                       : !options.control->HasLeader()    ? "no_leader"
                       : !options.control->CaughtUp()     ? "recovering"
                                                          : nullptr;
  if (reason != nullptr) return JsonResponse(503, {{"ready", false}, {"reason", reason}});
  return JsonResponse(200, {{"ready", true}});
}

// Metrics that tell why no leader is known.
std::string LeadershipMetricsText(const json& status) {
  std::uint64_t voters = 0;
  std::uint64_t unnamed_disks = 0;
  for (const json& member : status["members"]) {
    if (member["voter"].get<bool>()) ++voters;
    if (member["disk_identity"].get<std::string>().empty()) ++unnamed_disks;
  }
  std::string text;
  const auto add_gauge = [&text](const std::string& name, std::uint64_t value) {
    const std::string metric = "corneltray_control_" + name;
    text += "# TYPE " + metric + " gauge\n" + metric + " " + std::to_string(value) + "\n";
  };
  add_gauge("leader_known", status["leader"].get<std::string>().empty() ? 0 : 1);
  add_gauge("voters", voters);
  add_gauge("members_without_disk_identity", unnamed_disks);
  const std::string refusals = "corneltray_control_vote_refusals_total";
  text += "# TYPE " + refusals + " counter\n";
  for (const auto& [reason, number] : status["vote_refusals"].items()) {
    text += refusals + "{reason=\"" + reason + "\"} " +
            std::to_string(number.get<std::uint64_t>()) + "\n";
  }
  return text;
}

HttpResponse MetricsResponse(const ControlHttpOptions& options) {
  const json status = options.control->Status();
  std::string text;
  const auto add = [&text](const std::string& name, const char* type, std::uint64_t value) {
    text += "# TYPE corneltray_" + name + " " + type + "\n";
    text += "corneltray_" + name + " " + std::to_string(value) + "\n";
  };
  if (status.is_object()) {
    add("control_is_leader", "gauge", status["role"] == NameOf(ReplicaRole::kLeader) ? 1 : 0);
    add("control_storage_failed", "gauge", status["storage_failed"].get<bool>() ? 1 : 0);
    add("control_term", "gauge", status["term"]);
    add("control_last_index", "gauge", status["last_index"]);
    add("control_commit_index", "gauge", status["commit_index"]);
    add("control_bookings", "gauge", status["bookings"]);
    add("control_log_syncs_total", "counter", status["syncs"]);
    text += LeadershipMetricsText(status);
  }
  add("configuration_revision", "gauge", options.feed->Document().revision);
  text += PeerMetricsText(options.node->Counters());
  text += PeerMessageMetricsText(options.node->MessageCounters());
  if (options.fleet_metrics) text += options.fleet_metrics();
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  response.body = std::move(text);
  return response;
}

}  // namespace

std::unique_ptr<HttpServer> MakeControlHttpServer(const ControlHttpOptions& options) {
  HttpServerOptions server_options;
  server_options.address = options.settings->http_address;
  server_options.threads = options.settings->http_threads;
  const auto handle = [options](const HttpRequest& request) {
    const std::string path = request.Path();
    if (request.method != "GET") return ErrorResponse(405, "method_not_allowed", "use GET");
    if (path == "/healthz") return JsonResponse(200, {{"alive", true}});
    if (path == "/readyz") return ReadinessResponse(options);
    if (path == "/metrics") return MetricsResponse(options);
    if (path == "/v1/status") return JsonResponse(200, MakeStatus(options));
    return ErrorResponse(404, "not_found", "no such path at a control process");
  };
  const auto refuse = [](int status) {
    return ErrorResponse(status, status == 413 ? "body_too_large" : "malformed_request",
                         "the request was refused before it was read");
  };
  auto server = std::make_unique<HttpServer>(server_options, handle, refuse);
  server->SetLibraryPrefix("/admin/");
  AdminOptions admin;
  admin.operator_key = options.settings->operator_key;
  admin.control = options.client;
  admin.feed = options.feed;
  admin.status = [options] { return MakeStatus(options); };
  admin.recovered = [options] { return options.control->CaughtUp(); };
  admin.drain = options.drain;
  RegisterAdminApi(server->Library(), std::move(admin));
  return server;
}

}  // namespace corneltray
