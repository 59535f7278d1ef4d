#include "placement_process.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "corneltray/log.h"
#include "corneltray/upstream.h"

namespace corneltray {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr char kProgram[] = "corneltray-placement";
constexpr std::int64_t kAnnounceIntervalMs = 1000;
constexpr milliseconds kLeaseTick{20};
constexpr milliseconds kPlaceInterval{200};
constexpr milliseconds kIdleGrace{200};

PeerOptions MakePeerOptions(const HostSettings& settings, std::uint64_t incarnation) {
  PeerOptions options;
  options.identity = {settings.name, kProgram, settings.region, settings.availability_zone,
                      incarnation};
  options.listen_address = settings.peer_address;
  options.advertise_address = settings.peer_advertise;
  options.shared_key = settings.shared_key;
  return options;
}

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

json Ranges(const PlacementRanges& ranges) {
  json out = json::object();
  for (const auto& [engine, range] : ranges) {
    out[engine] = {{"model", range.key.model},
                   {"version", range.key.version},
                   {"first_layer", range.first_layer},
                   {"last_layer", range.last_layer}};
  }
  return out;
}

}  // namespace

PlacementProcess::PlacementProcess(HostSettings settings)
    : m_settings(std::move(settings)),
      m_incarnation(static_cast<std::uint64_t>(UnixNow())),
      m_node(MakePeerOptions(m_settings, m_incarnation)),
      m_feed(&m_node, m_settings.site),
      m_membership(&m_node),
      m_lease(m_settings, m_incarnation, &m_node),
      m_controller(m_settings.availability_zone) {}

PlacementProcess::~PlacementProcess() {
  if (m_orders) m_orders->Stop();
  m_node.Stop();
}

Status PlacementProcess::Start() {
  m_membership.Register();
  m_membership.SetChangeCallback([this](const std::vector<MembershipEvent>&) {
    m_feed.NoteRevision(m_membership.GreatestRevision());
  });
  m_feed.SetChangeCallback([this](const std::shared_ptr<const Configuration>& configuration) {
    m_membership.SetConfigurationRevision(configuration->revision);
  });
  m_feed.Start();
  if (Status registered = m_lease.Register(); !registered) return registered;
  if (Status started = m_node.Start(); !started) return started;
  HttpServerOptions options;
  options.address = m_settings.http_address;
  options.threads = m_settings.http_threads;
  m_http = std::make_unique<HttpServer>(
      options, [this](const HttpRequest& request) { return Handle(request); },
      [](int status) {
        return ErrorResponse(status, status == 413 ? "body_too_large" : "malformed_request",
                             "the request was refused before it was read");
      });
  if (Status started = m_http->Start(); !started) {
    m_node.Stop();
    return started;
  }
  m_orders = std::make_unique<OrderSender>(
      m_settings.weight_store, [this] { return m_lease.Fence(); },
      [this](std::uint64_t fence) { m_lease.ObserveFence(fence); });
  LogEvent(LogLevel::kInfo, "listening",
           {{"http_address", m_http->Address()}, {"peer_address", m_node.ListenAddress()}});
  HostInfo self;
  self.name = m_settings.name;
  self.program = kProgram;
  self.region = m_settings.region;
  self.availability_zone = m_settings.availability_zone;
  self.peer_address =
      m_settings.peer_advertise.empty() ? m_node.ListenAddress() : m_settings.peer_advertise;
  self.http_address = m_http->Address();
  self.incarnation = m_incarnation;
  m_membership.Start(std::move(self), m_settings.seeds);
  return {};
}

void PlacementProcess::Run(const std::function<bool()>& stop_requested) {
  TimePoint place_at = Clock::now();
  while (!stop_requested() && !m_drain_requested) {
    m_lease.Tick();
    if (const TimePoint now = Clock::now(); now >= place_at) {
      place_at = now + kPlaceInterval;
      Place();
    }
    std::this_thread::sleep_for(kLeaseTick);
  }
  ShutDown();
}

void PlacementProcess::Place() {
  // The lease service needs every fence that was seen anywhere, so that its next one is greater.
  const std::uint64_t seen = m_membership.GreatestFence();
  if (seen > m_reported_fence) {
    m_reported_fence = seen;
    m_lease.ObserveFence(seen);
  }
  const auto fence = m_lease.Fence();
  if (fence) m_membership.SetFence(*fence);
  const auto upstreams = m_membership.Upstreams();
  std::vector<PlacementAction> actions;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const TimePoint now = Clock::now();
    const auto configuration = m_feed.Current();
    if (configuration && configuration->revision != m_revision) {
      m_revision = configuration->revision;
      m_controller.SetConfiguration(now, *configuration);
    }
    actions = m_controller.Tick(now, fence, upstreams);
  }
  for (const PlacementAction& action : actions) Perform(action);
}

void PlacementProcess::Perform(const PlacementAction& action) {
  if (const auto* order = std::get_if<SendOrder>(&action)) {
    m_orders->Submit(*order);
  } else if (const auto* plan = std::get_if<PlanMade>(&action)) {
    json throughput = json::object();
    for (const ModelThroughput& model : plan->throughput) {
      throughput[model.key.model] = model.tokens_per_s;
    }
    LogEvent(LogLevel::kInfo, "placement_planned",
             {{"cause", NameOf(plan->cause)},
              {"fence", plan->fence},
              {"engines", plan->engines},
              {"engines_changed", plan->changed},
              {"bytes_to_load", plan->bytes_to_load},
              {"tokens_per_s", std::move(throughput)}});
  } else if (const auto* held = std::get_if<OrderHeldBack>(&action)) {
    LogEvent(LogLevel::kInfo, "order_held_back",
             {{"engine", held->engine}, {"reason", "sole_holder_of_a_served_layer"}});
  }
}

HttpResponse PlacementProcess::Handle(const HttpRequest& request) {
  const std::string path = request.Path();
  if (path == "/v1/announce") {
    if (request.method != "POST") return ErrorResponse(405, "method_not_allowed", "use POST");
    return HandleAnnouncement(request);
  }
  if (path == "/admin/v1/drain" && request.method == "POST") {
    const bool authorized = !m_settings.operator_key.empty() &&
                            request.Header("authorization") == "Bearer " + m_settings.operator_key;
    if (!authorized) return ErrorResponse(401, "unauthorized", "the operator key is required");
    m_drain_requested = true;
    return JsonResponse(202, {{"draining", true}});
  }
  if (request.method != "GET") return ErrorResponse(404, "not_found", "no such path");
  if (path == "/healthz") return JsonResponse(200, {{"healthy", true}});
  if (path == "/readyz") {
    const bool ready = !m_leaving && m_feed.Ready();
    return JsonResponse(ready ? 200 : 503, {{"ready", ready}, {"leaving", m_leaving.load()}});
  }
  if (path == "/v1/status") return JsonResponse(200, StatusDocument());
  return ErrorResponse(404, "not_found", "no such path at a placement process");
}

HttpResponse PlacementProcess::HandleAnnouncement(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return ErrorResponse(400, "malformed_body", "the body must be a JSON object");
  }
  const Result<Announcement> announcement = DecodeAnnouncement(body);
  if (!announcement) {
    return ErrorResponse(400, "invalid_field", announcement.error().ToString());
  }
  m_membership.Announce(announcement.value());
  return JsonResponse(
      200, {{"next_ms", kAnnounceIntervalMs}, {"announce_to", m_membership.AnnounceTo()}});
}

json PlacementProcess::StatusDocument() const {
  const auto fence = m_lease.Fence();
  const auto configuration = m_feed.Current();
  json hosts = json::array();
  for (const HostView& host : m_membership.Hosts()) {
    hosts.push_back({{"name", host.info.name},
                     {"program", host.info.program},
                     {"availability_zone", host.info.availability_zone},
                     {"liveness", NameOf(host.liveness)}});
  }
  const std::lock_guard<std::mutex> lock(m_mutex);
  return {{"program", kProgram},
          {"host", m_settings.name},
          {"availability_zone", m_settings.availability_zone},
          {"leaving", m_leaving.load()},
          {"revision", configuration ? configuration->revision : 0},
          {"holds_lease", fence.has_value()},
          {"fence", fence.value_or(0)},
          {"agrees", m_controller.Agrees()},
          {"plan", Ranges(m_controller.Plan())},
          {"hosts", std::move(hosts)}};
}

void PlacementProcess::ShutDown() {
  m_leaving = true;
  LogEvent(LogLevel::kInfo, "draining", json::object());
  m_orders->Stop();
  m_lease.Release();
  m_membership.SetLeaving();
  m_http->BeginDrain(kIdleGrace);
  m_http->Stop(Clock::now() + milliseconds(m_settings.drain_deadline_ms));
  m_node.Stop();
  LogEvent(LogLevel::kInfo, "stopped", json::object());
}

}  // namespace corneltray
