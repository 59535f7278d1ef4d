// corneltray-control: one replica of the replicated log of a region.
#include <signal.h>  // NOLINT(modernize-deprecated-headers): sigtimedwait is POSIX

#include <algorithm>
#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <atomic>
#include <chrono>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>

#include "control_http.h"
#include "control_node.h"
#include "corneltray/address.h"
#include "corneltray/log.h"
#include "corneltray/log_storage.h"
#include "corneltray/memory_budget.h"
#include "corneltray/program.h"
#include "corneltray/settings_watcher.h"
#include "fleet_service.h"
#include "platform_dialect.h"

namespace corneltray {
namespace {

constexpr std::chrono::milliseconds kSignalPoll{100};
constexpr std::chrono::milliseconds kFormatRetryInterval{1000};
// A leadership transfer takes one election. A longer timeout would delay the shutdown of a host
// without another voter.
constexpr std::chrono::milliseconds kLeadershipTransferTimeout{2000};
constexpr std::chrono::milliseconds kIdleGrace{200};

int Fail(int code, const std::string& message) {
  std::cerr << "corneltray-control: " << message << "\n";
  return code;
}

// Checks the settings that only this program requires.
void CheckSettings(const HostSettings& settings, const std::string& file,
                   std::vector<DocumentIssue>* issues) {
  if (settings.data_folder.empty()) {
    issues->push_back({file, 0, "host.data_folder", "is required for a control process"});
  }
}

int FormatDataFolder(const HostSettings& settings) {
  if (settings.control_found_from_seeds) {
    return Fail(kExitUsage,
                "control.found_from_seeds is set, so the first start formats the data folder");
  }
  bool is_initial_member = false;
  for (const std::string& host : settings.control_hosts) is_initial_member |= host == settings.name;
  if (!is_initial_member) {
    return Fail(kExitUsage, "host.name " + settings.name +
                                " is not in control.hosts; --format applies only to the initial "
                                "members; start any other host with an empty data folder");
  }
  const auto identity =
      LogStorage::Format(settings.data_folder, settings.name, settings.control_hosts);
  if (!identity) return Fail(kExitDataFolder, identity.error().ToString());
  std::cout << "formatted " << settings.data_folder << " for " << identity.value().host
            << " with disk identity " << identity.value().disk_identity << "\n";
  return kExitOk;
}

// The operator may run --format again by mistake. control.first_start, which formats the hosts of
// the seeds, is set only while the whole region starts for the first time.
FoundingQuorum FoundingQuorumOf(const HostSettings& settings) {
  return settings.control_found_from_seeds ? FoundingQuorum::kMajority : FoundingQuorum::kAll;
}

nlohmann::json ReplicaFields(const ReplicaId& id) {
  return {{"host", id.host}, {"disk_identity", id.disk_identity}};
}

// What the disk holds, before the replica changes anything of it.
void LogDataFolder(const PersistentState& state, FolderOrigin origin, bool is_first_start) {
  const auto& vote = state.hard_state.voted_for;
  const bool has_entries = !state.entries.empty();
  LogEvent(LogLevel::kInfo, "data_folder_opened",
           {{"replica", state.self.host},
            {"disk_identity", state.self.disk_identity},
            {"origin", NameOf(origin)},
            {"first_start", is_first_start},
            {"founding_hosts", state.founding_hosts},
            {"term", state.hard_state.term},
            {"vote", vote ? ReplicaFields(*vote) : nlohmann::json()},
            {"first_index", has_entries ? state.entries.front().index : 0},
            {"last_index", has_entries ? state.entries.back().index : state.log_base.index},
            {"snapshot_index", state.snapshot ? state.snapshot->last.index : 0}});
}

// Owns the components of a running control process. Members are destroyed in the reverse order of
// their declaration.
class Program {
 public:
  Program(HostSettings settings, std::string settings_path)
      : m_settings(std::move(settings)),
        m_budget(ReadProcessLimits(m_settings.memory_mb, m_settings.open_files),
                 {Door::kOperators}),
        m_watcher(&m_io, std::move(settings_path),
                  [this](const HostSettings& changed) { Reload(changed); }) {}

  int Run() {
    // Blocked before any thread starts, so that only sigtimedwait below receives them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    ReturnFreedMemory();
    signal(SIGXFSZ, SIG_IGN);  // the file size limit is reported like a full disk

    StartLogging({kControlProgram, m_settings.name, m_settings.availability_zone},
                 m_settings.log_level);
    m_folder_history.creation_was_interrupted =
        LogStorage::IsCreationInterrupted(m_settings.data_folder);
    if (!FormatAtFirstStart(signals)) {
      StopLogging(kExitOk);
      return kExitOk;
    }
    auto storage = LogStorage::Open(m_settings.data_folder, m_settings.peer_name);
    if (!storage) return Fail(kExitDataFolder, storage.error().ToString());
    LogRecoveryReport(storage.value()->Report());
    m_folder_history.created = storage.value()->Report().created;
    m_folder_history.has_founding_hosts = !storage.value()->Recovered().founding_hosts.empty();
    LogDataFolder(storage.value()->Recovered(), OriginOf(m_folder_history),
                  m_settings.control_first_start);
    if (const int code = Start(std::move(storage).value()); code != kExitOk) return code;
    std::thread fleet;
    if (m_fleet) fleet = std::thread([this] { m_io.run(); });
    m_watcher.Start();
    while (!m_stop) {
      const timespec poll{0, std::chrono::nanoseconds(kSignalPoll).count()};
      const int signal = sigtimedwait(&signals, nullptr, &poll);
      if (signal == SIGTERM || signal == SIGINT) break;
      if (signal == SIGHUP) asio::post(m_io, [this] { m_watcher.Check(true); });
    }
    if (fleet.joinable()) {
      asio::post(m_io, [this] { m_fleet->Stop(); });
      m_io.stop();
      fleet.join();
    }
    Stop();
    StopLogging(m_exit_code);
    return m_exit_code;
  }

 private:
  // Formats the data folder, which makes this replica a voter, when the region starts for the first
  // time and this host is an initial member. A folder that is formatted is left unchanged. While
  // the disk refuses writes it tries again: the next start may not be a first one any more, and
  // would create a learner. Returns false if the process was told to stop meanwhile.
  bool FormatAtFirstStart(const sigset_t& signals) {
    const auto& hosts = m_settings.control_hosts;
    const bool is_initial_member =
        std::find(hosts.begin(), hosts.end(), m_settings.peer_name) != hosts.end();
    if (!m_settings.control_first_start || !is_initial_member) return true;
    while (true) {
      const auto identity = LogStorage::Format(m_settings.data_folder, m_settings.peer_name, hosts);
      m_folder_history.formatted = identity.Ok();
      if (identity || identity.error().code == StorageErrc::kAlreadyFormatted) return true;
      LogEvent(LogLevel::kError, "format_failed", {{"error", identity.error().ToString()}});
      const bool may_recover = identity.error().code == StorageErrc::kDiskFull ||
                               identity.error().code == StorageErrc::kWriteFailed;
      if (!may_recover) return true;  // opening the folder fails in the same way
      const timespec pause{0, std::chrono::nanoseconds(kFormatRetryInterval).count()};
      const int signal = sigtimedwait(&signals, nullptr, &pause);
      if (signal == SIGTERM || signal == SIGINT) return false;
    }
  }

  static void LogRecoveryReport(const StorageReport& report) {
    if (report.created) LogEvent(LogLevel::kWarning, "data_folder_created", {{"role", "learner"}});
    if (report.truncated_bytes == 0) return;
    LogEvent(LogLevel::kWarning, "log_tail_truncated",
             {{"file", report.truncated_file},
              {"offset", report.truncated_at},
              {"bytes", report.truncated_bytes}});
  }

  int Start(std::unique_ptr<LogStorage> storage) {
    const auto incarnation = static_cast<std::uint64_t>(UnixNow());
    PeerOptions peer;
    peer.identity = {m_settings.peer_name,         kControlProgram, m_settings.region,
                     m_settings.availability_zone, incarnation,     kOwnLogVersion};
    peer.listen_address = m_settings.peer_address;
    peer.advertise_address = m_settings.peer_advertise;
    peer.shared_key = m_settings.shared_key;
    peer.urgent_program = kControlProgram;
    m_node = std::make_unique<PeerNode>(std::move(peer));
    m_feed = std::make_unique<ConfigurationFeed>(nullptr, m_settings.site);
    if (!HasFleetService()) {
      m_membership = std::make_unique<MembershipService>(m_node.get());
      m_membership->SetChangeCallback([this](const std::vector<MembershipEvent>&) {
        m_feed->NoteRevision(m_membership->GreatestRevision());
      });
      m_membership->Register();
    }

    ControlNodeOptions options;
    options.host = m_settings.peer_name;
    options.availability_zone = m_settings.availability_zone;
    options.founding_quorum = FoundingQuorumOf(m_settings);
    options.node = m_node.get();
    options.feed = m_feed.get();
    options.on_revision = [this](std::uint64_t revision) {
      if (m_membership) m_membership->SetConfigurationRevision(revision);
    };
    options.on_route_table = [](std::uint64_t version) {
      LogEvent(LogLevel::kInfo, "route_table_applied", {{"version", version}});
    };
    options.on_leader_known = [] { LogEvent(LogLevel::kInfo, "ready", json::object()); };
    options.on_fatal = [this](const std::string& reason) {
      LogEvent(LogLevel::kError, "failed", {{"error", reason}});
      m_exit_code = kExitFailed;
      m_stop = true;
    };
    m_control = std::make_unique<ControlNode>(std::move(options), std::move(storage));
    m_control->Register();
    m_client = std::make_unique<LocalControlClient>(m_node.get(), m_control.get());
    if (HasFleetService()) MakeFleetService(incarnation);

    if (const corneltray::Status started = m_node->Start(); !started) {
      return Fail(kExitAddress, started.error().ToString());
    }
    if (m_fleet) {
      if (const corneltray::Status started = m_fleet->Start(); !started) {
        m_node->Stop();
        return Fail(kExitAddress, started.error().ToString());
      }
    }
    ControlHttpOptions http;
    http.settings = &m_settings;
    http.node = m_node.get();
    http.control = m_control.get();
    http.feed = m_feed.get();
    http.membership = m_membership.get();
    http.client = m_client.get();
    http.draining = &m_draining;
    http.drain = [this] { m_stop = true; };
    if (m_fleet) {
      http.fleet_metrics = [this] { return m_fleet->MetricsText() + m_budget.MetricsText(); };
    }
    m_http = MakeControlHttpServer(http);
    if (const corneltray::Status started = m_http->Start(); !started) {
      m_node->Stop();
      return Fail(kExitAddress, started.error().ToString());
    }
    const std::string advertised =
        m_settings.peer_advertise.empty() ? m_node->ListenAddress() : m_settings.peer_advertise;
    LogEvent(LogLevel::kInfo, "listening",
             {{"http_address", m_http->Address()}, {"peer_address", m_node->ListenAddress()}});
    HostInfo self;
    self.name = m_settings.name;
    self.program = kControlProgram;
    self.region = m_settings.region;
    self.availability_zone = m_settings.availability_zone;
    self.peer_address = advertised;
    self.http_address = m_http->Address();
    self.incarnation = incarnation;
    if (m_membership) m_membership->Start(std::move(self), m_settings.seeds);
    for (const std::string& seed : m_settings.seeds) m_node->Connect(seed);
    m_control->StartReplica();
    return kExitOk;
  }

  // In a running process only added seeds take effect.
  void Reload(const HostSettings& changed) {
    LogEvent(LogLevel::kInfo, "settings_reloaded", {{"seeds", changed.seeds}});
    for (const std::string& seed : changed.seeds) m_node->Connect(seed);
  }

  bool HasFleetService() const { return !m_settings.fleet_address.empty(); }

  void MakeFleetService(std::uint64_t incarnation) {
    FleetServiceOptions options;
    options.address = m_settings.fleet_address;
    options.dialect = platform::MakePlatformDialect();
    options.node = m_node.get();
    options.control = m_control.get();
    options.host = m_settings.peer_name;
    options.availability_zone = m_settings.availability_zone;
    options.incarnation = incarnation;
    options.target_voters = m_settings.control_voters;
    options.peer_port = PortOf(m_settings.peer_address);
    options.seeds = m_settings.seeds;
    options.budget = m_budget.Part(Door::kOperators);
    m_fleet = std::make_unique<FleetService>(&m_io, std::move(options));
    m_fleet->Register();
  }

  void Stop() {
    m_draining = true;
    LogEvent(LogLevel::kInfo, "draining", json::object());
    if (m_membership) m_membership->SetLeaving();
    m_control->TransferLeadership(Clock::now() + kLeadershipTransferTimeout);
    m_http->BeginDrain(kIdleGrace);
    m_http->Stop(Clock::now() + std::chrono::milliseconds(m_settings.drain_deadline_ms));
    m_node->Stop();
    LogEvent(LogLevel::kInfo, "stopped", json::object());
  }

  using json = nlohmann::json;

  HostSettings m_settings;
  MemoryBudget m_budget;
  FolderHistory m_folder_history;
  std::atomic<bool> m_stop{false};
  std::atomic<bool> m_draining{false};
  std::atomic<int> m_exit_code{kExitOk};
  asio::io_context m_io{1};
  SettingsWatcher m_watcher;  // on m_io, which runs only with a FleetService
  std::unique_ptr<PeerNode> m_node;
  std::unique_ptr<ConfigurationFeed> m_feed;
  std::unique_ptr<MembershipService> m_membership;
  std::unique_ptr<ControlNode> m_control;
  std::unique_ptr<LocalControlClient> m_client;
  std::unique_ptr<FleetService> m_fleet;
  std::unique_ptr<HttpServer> m_http;
};

int Main(int argc, char** argv) {
  bool format = false;
  const ProgramSpec spec{
      kControlProgram,
      "One replica of the replicated log of a region: bookings and configuration.",
      {{"--format", "create the data folder of a founding replica, once, and exit", &format}},
      CheckSettings};
  std::string path;
  auto parsed = ParseProgramArguments(spec, argc, argv, &path);
  if (const int* exit_code = std::get_if<int>(&parsed)) return *exit_code;
  HostSettings settings = std::get<HostSettings>(std::move(parsed));
  if (format) return FormatDataFolder(settings);
  return Program(std::move(settings), std::move(path)).Run();
}

}  // namespace
}  // namespace corneltray

int main(int argc, char** argv) { return corneltray::Main(argc, argv); }
