#include <CLI/CLI.hpp>
#include <algorithm>
#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "corneltray/log.h"
#include "corneltray/settings.h"
#include "placement_process.h"

// corneltray-placement: a candidate for the placement lease of its availability zone. Exit codes: 0
// after a graceful stop or a good check, 1 if an address or the data folder cannot be used, 2 for a
// wrong command line or faulty settings.

namespace corneltray {
namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

volatile std::sig_atomic_t g_stop = 0;  // NOLINT: set by the signal handler

void HandleStopSignal(int) { g_stop = 1; }

void CheckSettings(const HostSettings& settings, const std::string& file,
                   std::vector<DocumentIssue>* issues) {
  if (settings.lease_voters.empty()) {
    issues->push_back({file, 0, "placement.lease_voters", "is required for a placement process"});
  }
  if (settings.weight_store.empty()) {
    issues->push_back({file, 0, "placement.weight_store", "is required for a placement process"});
  }
}

int Run(int argc, char** argv) {
  CLI::App app{"corneltray-placement: orders engines to load layer ranges"};
  std::string settings_path;
  bool check = false;
  app.add_option("--settings", settings_path, "settings file (TOML)")->required();
  app.add_flag("--check", check, "check the settings and exit");
  app.set_version_flag("--version", std::string("corneltray-placement ") + CORNELTRAY_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUsage;
  }
  std::vector<DocumentIssue> issues;
  HostSettings settings = LoadHostSettings(settings_path, &issues);
  if (issues.empty()) CheckSettings(settings, settings_path, &issues);
  for (const DocumentIssue& issue : issues) std::cerr << issue.ToString() << "\n";
  if (!issues.empty()) return kExitUsage;
  if (check) {
    std::cout << settings_path << ": ok\n";
    return 0;
  }
  std::signal(SIGTERM, HandleStopSignal);
  std::signal(SIGINT, HandleStopSignal);
  std::signal(SIGPIPE, SIG_IGN);
  StartLogging({"corneltray-placement", settings.name, settings.availability_zone},
               settings.log_level);
  PlacementProcess process(std::move(settings));
  if (const Status started = process.Start(); !started) {
    LogEvent(LogLevel::kError, "start_failed", {{"detail", started.error().ToString()}});
    std::cerr << "corneltray-placement: " << started.error().ToString() << "\n";
    return kExitFailed;
  }
  process.Run([] { return g_stop != 0; });
  return 0;
}

}  // namespace
}  // namespace corneltray

int main(int argc, char** argv) { return corneltray::Run(argc, argv); }
