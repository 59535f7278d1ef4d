// corneltray-gateway: the event-driven entry host, for installations with their own dialect.
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "control_plane_subscriber.h"
#include "corneltray/control_relay.h"
#include "corneltray/gateway.h"
#include "corneltray/log.h"
#include "corneltray/memory_budget.h"
#include "corneltray/metrics_server.h"
#include "corneltray/peer.h"
#include "corneltray/program.h"
#include "corneltray/settings_watcher.h"
#include "platform_dialect.h"

namespace corneltray {
namespace {

constexpr char kProgram[] = "corneltray-gateway";
constexpr std::chrono::milliseconds kDrainTickInterval{100};
// Within this time after the signal, the load balancer detects that the host is not ready.
constexpr std::chrono::milliseconds kUnreadyDetectionTime{2500};
// New requests are accepted up to this time after the signal, which leaves time to finish them.
constexpr std::chrono::milliseconds kAcceptAfterSignal{2900};
// The process stops this long before the end of the drain period, at which it is killed.
constexpr std::chrono::milliseconds kStopMargin{200};

int Fail(int code, const std::string& message) {
  std::cerr << kProgram << ": " << message << "\n";
  return code;
}

// Returns the address if other hosts can connect to it, else nothing: a wildcard names no host.
std::string ReachableAddress(const std::string& address) {
  const bool is_wildcard = address.rfind("0.0.0.0:", 0) == 0 || address.rfind("[::]:", 0) == 0;
  return is_wildcard ? "" : address;
}

// Owns all components of a running gateway process and shuts them down in order.
class Program {
 public:
  Program(HostSettings settings, std::string settings_path)
      : m_settings(std::move(settings)),
        m_budget(ReadProcessLimits(m_settings.memory_mb, m_settings.open_files),
                 {Door::kCallers, Door::kReadiness, Door::kMetrics, Door::kOperators}),
        m_signals(m_io, SIGTERM, SIGINT, SIGHUP),
        m_drain_timer(m_io),
        m_watcher(&m_io, std::move(settings_path),
                  [this](HostSettings changed) { Reload(std::move(changed)); }) {}

  int Run() {
    std::signal(SIGPIPE, SIG_IGN);
    ReturnFreedMemory();
    StartLogging({kProgram, m_settings.name, m_settings.availability_zone}, m_settings.log_level);
    if (const int code = Start(); code != kExitOk) {
      StopLogging(code);
      return code;
    }
    WaitForSignal();
    m_io.run();
    m_subscriber->Stop();
    m_gateway->CloseAll();
    m_node->Stop();
    LogEvent(LogLevel::kInfo, "stopped", nlohmann::json::object());
    StopLogging(kExitOk);
    return kExitOk;
  }

 private:
  int Start() {
    GatewayOptions options;
    options.availability_zone = m_settings.availability_zone;
    options.dialect = platform::MakePlatformDialect();
    options.random_seed = std::hash<std::string>()(m_settings.name);
    options.incarnation = static_cast<std::uint64_t>(UnixNow());
    options.key_lease = std::chrono::milliseconds(m_settings.key_lease_ms);
    options.retry_ratio = m_settings.retry_ratio;
    options.retry_allowance = m_settings.retry_allowance;
    options.admission = m_settings.admission;
    options.retry_window = std::chrono::milliseconds(m_settings.retry_window_ms);
    options.caller_budget = m_budget.Part(Door::kCallers);
    options.readiness_budget = m_budget.Part(Door::kReadiness);
    options.max_upstream_connections = m_budget.MaxUpstreamConnections();
    options.pace_mode = m_settings.pace_mode;
    options.host = m_settings.name;
    options.shared_key = m_settings.shared_key;
    options.forward_address = ReachableAddress(m_settings.http_address);
    m_gateway = std::make_unique<Gateway>(&m_io, std::move(options));
    PeerOptions peer;
    peer.identity = {m_settings.peer_name, kProgram, m_settings.region,
                     m_settings.availability_zone, static_cast<std::uint64_t>(UnixNow())};
    peer.listen_address = m_settings.peer_address;
    peer.advertise_address = m_settings.peer_advertise;
    peer.shared_key = m_settings.shared_key;
    m_node = std::make_unique<PeerNode>(std::move(peer));
    m_subscriber = std::make_unique<ControlPlaneSubscriber>(
        &m_io, m_node.get(), m_gateway.get(),
        HostLocation{m_settings.name, m_settings.availability_zone}, m_settings.seeds);
    m_subscriber->Register();
    if (const Status started = m_node->Start(); !started) {
      return Fail(kExitAddress, started.error().ToString());
    }
    Status listening = m_gateway->Listen(m_settings.http_address);
    if (listening && !m_settings.ready_address.empty()) {
      listening = m_gateway->ListenReady(m_settings.ready_address);
    }
    if (listening && !m_settings.fleet_address.empty()) listening = StartRelay();
    if (!listening) {
      m_node->Stop();
      return Fail(kExitAddress, listening.error().ToString());
    }
    if (!m_settings.metrics_address.empty()) {
      const auto text = [this] {
        return m_gateway->MetricsText() + m_budget.MetricsText() +
               PeerMetricsText(m_node->Counters()) +
               PeerMessageMetricsText(m_node->MessageCounters());
      };
      m_metrics = std::make_unique<MetricsServer>(&m_io, m_settings.metrics_address, text,
                                                  m_budget.Part(Door::kMetrics));
      m_metrics->ServeExplain(m_settings.operator_key,
                              [this](const HttpHead& head) { return m_gateway->Explain(head); });
    }
    LogEvent(LogLevel::kInfo, "listening",
             {{"http_address", m_gateway->Address()},
              {"ready_address", m_settings.ready_address},
              {"peer_address", m_node->ListenAddress()}});
    m_subscriber->Start();
    m_watcher.Start();
    return kExitOk;
  }

  Status StartRelay() {
    m_relay = std::make_unique<ControlRelay>(&m_io, m_node.get(), platform::MakePlatformDialect(),
                                             &m_gateway->GetMetrics(), m_settings.name,
                                             m_settings.availability_zone);
    m_relay->SetBudget(m_budget.Part(Door::kOperators));
    m_relay->SetCutOffCheck(
        [this](const std::string& host) { return m_subscriber->IsCutOff(host); });
    return m_relay->Listen(m_settings.fleet_address);
  }

  void WaitForSignal() {
    m_signals.async_wait([this](const asio::error_code& cancelled, int signal) {
      if (cancelled) return;
      if (signal == SIGHUP) {
        m_watcher.Check(true);
      } else if (!m_stop_at) {
        BeginStop();
      }
      WaitForSignal();
    });
  }

  void Reload(HostSettings changed) {
    LogEvent(LogLevel::kInfo, "settings_reloaded", {{"seeds", changed.seeds}});
    m_subscriber->SetSeeds(changed.seeds);
    m_settings = std::move(changed);
  }

  void BeginStop() {
    m_stop_at = Clock::now();
    LogEvent(LogLevel::kInfo, "draining", {{"requests", m_gateway->InFlight()}});
    m_gateway->BeginDrain();
    ScheduleDrainTick();
  }

  void ScheduleDrainTick() {
    m_drain_timer.expires_after(kDrainTickInterval);
    m_drain_timer.async_wait([this](const asio::error_code& cancelled) {
      if (!cancelled) DrainTick();
    });
  }

  // Stops the process when no request is in progress, at the latest kStopMargin before it is
  // killed.
  void DrainTick() {
    const Duration since = Clock::now() - *m_stop_at;
    const std::chrono::milliseconds grace(m_settings.drain_deadline_ms);
    if (since >= kUnreadyDetectionTime) m_gateway->CloseIdle();
    if (since >= kAcceptAfterSignal) m_gateway->StopAccepting();
    const bool idle = since >= kAcceptAfterSignal && m_gateway->IsFinished();
    if (idle || since >= grace - kStopMargin) {
      LogEvent(LogLevel::kInfo, "drained", {{"cut_off", m_gateway->InFlight()}});
      m_io.stop();
      return;
    }
    ScheduleDrainTick();
  }

  HostSettings m_settings;
  MemoryBudget m_budget;
  asio::io_context m_io{1};
  asio::signal_set m_signals;
  asio::steady_timer m_drain_timer;
  std::optional<TimePoint> m_stop_at;
  SettingsWatcher m_watcher;
  std::unique_ptr<Gateway> m_gateway;
  std::unique_ptr<PeerNode> m_node;
  std::unique_ptr<ControlPlaneSubscriber> m_subscriber;
  std::unique_ptr<ControlRelay> m_relay;  // null: this host relays no calls to control processes
  std::unique_ptr<MetricsServer> m_metrics;
};

int Main(int argc, char** argv) {
  const ProgramSpec spec{
      kProgram, "Entry host: takes requests of callers and sends them to upstreams.", {}, nullptr};
  std::string path;
  auto parsed = ParseProgramArguments(spec, argc, argv, &path);
  if (const int* exit_code = std::get_if<int>(&parsed)) return *exit_code;
  return Program(std::get<HostSettings>(std::move(parsed)), std::move(path)).Run();
}

}  // namespace
}  // namespace corneltray

int main(int argc, char** argv) { return corneltray::Main(argc, argv); }
