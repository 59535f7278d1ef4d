#include "entry_process.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "corneltray/admin_api.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr char kProgram[] = "corneltray-entry";
constexpr char kAdminPrefix[] = "/admin/";
// Period of the tasks that no event triggers.
constexpr milliseconds kTickInterval{50};
// Period in which the limits follow the hosts of the zone and their demand.
constexpr milliseconds kLimitsInterval{1000};
constexpr std::size_t kBackgroundThreads = 8;
constexpr std::size_t kMaxBackgroundWork = 4096;
// Upper bound of the body limit before a configuration is in force.
constexpr std::size_t kInitialBodyLimit = 1U << 20;
constexpr std::int64_t kAnnounceIntervalMs = 1000;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

HttpResponse JsonResponse(int status, const json& body) {
  HttpResponse response;
  response.status = status;
  response.body = Dump(body);
  return response;
}

// Answers requests that the server refuses before they reach the filters.
HttpResponse MakeServerError(int status) {
  ApiError error{ApiCode::kMalformedBody,
                 "the request is malformed or incomplete",
                 "",
                 BookingState::kNotRun,
                 0,
                 0};
  if (status == 413) {
    error = {ApiCode::kBodyTooLarge, "the body is too large", "", BookingState::kNotRun, 0, 0};
  } else if (status == 503) {
    error = {ApiCode::kOverloaded, "too many connections", "", BookingState::kNotRun, 1000, 0};
  } else if (status >= 500) {
    error = {ApiCode::kUpstreamFailed, "internal error", "", BookingState::kUnknown, 0, 0};
  }
  if (HttpServer::IsKeyedRequest()) error.outcome = BookingState::kUnknown;
  return MakeErrorResponse(error, RandomId());
}

PeerOptions PeerOptionsOf(const HostSettings& settings, UnixMs incarnation) {
  return {{settings.name, kProgram, settings.region, settings.availability_zone,
           static_cast<std::uint64_t>(incarnation)},
          settings.peer_address,
          settings.peer_advertise,
          settings.shared_key};
}

}  // namespace

EntryProcess::EntryProcess(HostSettings settings)
    : m_settings(std::move(settings)),
      m_incarnation(UnixNow()),
      m_node(PeerOptionsOf(m_settings, m_incarnation)),
      m_feed(&m_node, m_settings.site),
      m_membership(&m_node),
      m_control(&m_node),
      m_routing(m_settings.name, m_settings.availability_zone),
      m_engines(&m_watchdog),
      m_services(&m_watchdog),
      m_background(std::make_unique<BackgroundQueue>(kBackgroundThreads, kMaxBackgroundWork)) {
  m_context.host = m_settings.name;
  m_context.configuration = [this] { return IsServing() ? m_feed.Current() : nullptr; };
  m_context.is_draining = [this] { return m_draining.load(); };
  m_context.routing = &m_routing;
  m_context.engines = &m_engines;
  m_context.services = &m_services;
  m_context.control = &m_control;
  m_context.background = m_background.get();
  m_context.metrics = &m_metrics;

  HttpServerOptions options;
  options.address = m_settings.http_address;
  options.threads = m_settings.http_threads;
  options.max_body_bytes = [this] {
    const auto configuration = m_feed.Current();
    return configuration ? static_cast<std::size_t>(configuration->limits.max_body_bytes)
                         : kInitialBodyLimit;
  };
  m_http = std::make_unique<HttpServer>(
      options, [this](const HttpRequest& request) { return Handle(request); }, MakeServerError);
  m_http->SetLibraryPrefix(kAdminPrefix);
  AdminOptions admin;
  admin.operator_key = m_settings.operator_key;
  admin.control = &m_control;
  admin.feed = &m_feed;
  admin.status = [this] { return StatusDocument(); };
  admin.drain = [this] { m_drain_requested = true; };
  RegisterAdminApi(m_http->Library(), std::move(admin));
}

EntryProcess::~EntryProcess() {
  m_http->Stop(Clock::now());
  m_background.reset();
  m_node.Stop();
}

Status EntryProcess::Start() {
  m_feed.SetChangeCallback([this](const std::shared_ptr<const Configuration>& configuration) {
    HandleConfiguration(configuration);
  });
  m_membership.SetChangeCallback(
      [this](const std::vector<MembershipEvent>& events) { HandleMembership(events); });
  m_feed.Start();
  m_membership.Register();
  if (Status started = m_node.Start(); !started) return started;
  if (Status started = m_http->Start(); !started) return started;
  const std::string peer_address =
      m_settings.peer_advertise.empty() ? m_node.ListenAddress() : m_settings.peer_advertise;
  HostInfo self;
  self.name = m_settings.name;
  self.program = kProgram;
  self.region = m_settings.region;
  self.availability_zone = m_settings.availability_zone;
  self.peer_address = peer_address;
  self.http_address = m_http->Address();
  self.incarnation = static_cast<std::uint64_t>(m_incarnation);
  m_membership.Start(self, m_settings.seeds);
  LogEvent(LogLevel::kInfo, "listening",
           {{"http_address", m_http->Address()}, {"peer_address", m_node.ListenAddress()}});
  return {};
}

void EntryProcess::Run(const std::function<bool()>& stop_requested) {
  while (!stop_requested() && !m_drain_requested) {
    Tick();
    std::this_thread::sleep_for(kTickInterval);
  }
  ShutDown();
}

void EntryProcess::Tick() {
  m_feed.NoteRevision(m_membership.GreatestRevision());
  if (!m_reported_ready && IsReady()) {
    m_reported_ready = true;
    LogEvent(LogLevel::kInfo, "ready", {{"revision", m_feed.Current()->revision}});
  }
  // Not every change of the list comes with an event.
  UpdateUpstreams();
  const TimePoint now = Clock::now();
  if (now < m_limits_at) return;
  m_limits_at = now + kLimitsInterval;
  m_routing.SetHosts(m_membership.Hosts());
  m_membership.SetDemand(m_routing.Demand());
}

void EntryProcess::ShutDown() {
  m_leaving = true;
  m_membership.SetLeaving();
  const milliseconds grace(m_settings.drain_grace_ms);
  const TimePoint grace_end = Clock::now() + grace;
  const TimePoint deadline = grace_end + milliseconds(m_settings.drain_deadline_ms);
  LogEvent(LogLevel::kInfo, "draining", {{"grace_ms", grace.count()}});
  m_http->BeginDrain(grace);
  while (Clock::now() < grace_end) {
    Tick();
    std::this_thread::sleep_for(kTickInterval);
  }
  m_http->CloseListener();
  m_draining = true;
  while (Clock::now() < deadline && !m_http->WaitIdle(Clock::now() + kTickInterval)) Tick();
  const std::uint32_t left = m_http->Counters().busy;
  m_http->Stop(deadline);
  LogEvent(left == 0 ? LogLevel::kInfo : LogLevel::kWarning, "stopped", {{"requests_cut", left}});
}

void EntryProcess::HandleConfiguration(const std::shared_ptr<const Configuration>& configuration) {
  m_routing.SetConfiguration(*configuration);
  m_membership.SetConfigurationRevision(configuration->revision);
}

void EntryProcess::HandleMembership(const std::vector<MembershipEvent>& events) {
  for (const MembershipEvent& event : events) {
    LogEvent(
        LogLevel::kInfo, "membership",
        {{"change", NameOf(event.type)}, {"name", event.name}, {"incarnation", event.incarnation}});
    if (event.type == MembershipEventType::kUpstreamRemoved) m_routing.ForgetUpstream(event.name);
  }
  UpdateUpstreams();
}

void EntryProcess::UpdateUpstreams() {
  const std::lock_guard<std::mutex> lock(m_upstreams_mutex);
  // Read first: a change between the two reads is then taken in by the next update.
  const std::uint64_t version = m_membership.UpstreamVersion();
  if (version == m_upstream_version) return;
  m_upstream_version = version;
  m_routing.SetUpstreams(m_membership.Upstreams());
}

bool EntryProcess::IsServing() const {
  if (!m_serving && m_feed.Ready()) m_serving = true;
  return m_serving;
}

bool EntryProcess::IsReady() const { return !m_leaving && IsServing(); }

HttpResponse EntryProcess::Handle(const HttpRequest& request) {
  const std::string path = request.Path();
  const bool is_get = request.method == "GET" || request.method == "HEAD";
  if (path == "/v1/announce" && request.method == "POST") return HandleAnnouncement(request);
  if (is_get && path == "/healthz") return JsonResponse(200, {{"healthy", true}});
  if (is_get && path == "/readyz") return HandleReady();
  if (is_get && path == "/metrics") return HandleMetrics();
  if (is_get && path == "/v1/status") return HandleStatus(request);
  return HandleApiRequest(m_context, request);
}

HttpResponse EntryProcess::HandleReady() const {
  const bool ready = IsReady();
  return JsonResponse(ready ? 200 : 503, {{"ready", ready}, {"leaving", m_leaving.load()}});
}

HttpResponse EntryProcess::HandleAnnouncement(const HttpRequest& request) {
  const json body = json::parse(request.body, nullptr, false);
  ApiError error{
      ApiCode::kMalformedBody, "the body must be a JSON object", "", BookingState::kNotRun, 0, 0};
  if (!body.is_object()) return MakeErrorResponse(error, RandomId());
  const Result<Announcement> announcement = DecodeAnnouncement(body);
  if (!announcement) {
    error.code = ApiCode::kInvalidField;
    error.field = announcement.error().detail;
    error.message = announcement.error().ToString();
    return MakeErrorResponse(error, RandomId());
  }
  m_routing.ReportLoad(announcement.value().name, announcement.value().load);
  m_membership.Announce(announcement.value());
  return JsonResponse(
      200, {{"next_ms", kAnnounceIntervalMs}, {"announce_to", m_membership.AnnounceTo()}});
}

HttpResponse EntryProcess::HandleStatus(const HttpRequest& request) const {
  (void)request;
  return JsonResponse(200, StatusDocument());
}

json EntryProcess::StatusDocument() const {
  json hosts = json::array();
  for (const HostView& host : m_membership.Hosts()) {
    hosts.push_back({{"name", host.info.name},
                     {"program", host.info.program},
                     {"availability_zone", host.info.availability_zone},
                     {"state", NameOf(host.info.state)},
                     {"liveness", NameOf(host.liveness)},
                     {"revision", host.info.configuration_revision}});
  }
  json upstreams = json::array();
  for (const UpstreamView& upstream : m_membership.Upstreams()) {
    json entry = EncodeAnnouncement(upstream.announcement);
    entry["status"] = NameOf(upstream.status);
    upstreams.push_back(std::move(entry));
  }
  const auto configuration = m_feed.Current();
  return {{"host", m_settings.name},     {"ready", IsReady()},
          {"leaving", m_leaving.load()}, {"revision", configuration ? configuration->revision : 0},
          {"hosts", std::move(hosts)},   {"upstreams", std::move(upstreams)},
          {"chains", ChainsDocument()}};
}

// For each model the chain that a request would get now, without its adapter.
json EntryProcess::ChainsDocument() const {
  json chains = json::array();
  const auto configuration = m_feed.Current();
  if (!configuration) return chains;
  for (const auto& [name, model] : configuration->models) {
    const ModelKey key{name, model.version, ""};
    json stages = json::array();
    const Result<Route> route = m_routing.ChooseChain(key, model.layers, 0, {}, 0);
    if (route) {
      for (const Stage& stage : route.value().chain.stages) {
        stages.push_back({{"name", stage.name},
                          {"first_layer", stage.first_layer},
                          {"last_layer", stage.last_layer}});
      }
    }
    chains.push_back({{"model", name}, {"version", model.version}, {"stages", std::move(stages)}});
  }
  return chains;
}

HttpResponse EntryProcess::HandleMetrics() const {
  const HttpServerCounters http = m_http->Counters();
  const auto configuration = m_feed.Current();
  HttpResponse response;
  response.content_type = "text/plain; version=0.0.4";
  response.body =
      m_metrics.Text({{"connections_open", http.open},
                      {"requests_in_progress", http.busy},
                      {"connections_accepted", static_cast<double>(http.accepted)},
                      {"connections_refused", static_cast<double>(http.refused)},
                      {"configuration_revision",
                       configuration ? static_cast<double>(configuration->revision) : 0.0},
                      {"upstreams", static_cast<double>(m_membership.Upstreams().size())},
                      {"upstreams_ejected", static_cast<double>(m_routing.Ejected().size())},
                      {"gossip_malformed", static_cast<double>(m_membership.MalformedCount())}});
  response.body += PeerMetricsText(m_node.Counters());
  response.body += PeerMessageMetricsText(m_node.MessageCounters());
  return response;
}

}  // namespace corneltray
