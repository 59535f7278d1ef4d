#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "entry_process.h"

// corneltray-entry: serves callers over HTTP. Exit codes: 0 after a graceful stop or a good check,
// 1 if an address cannot be bound, 2 for a wrong command line or faulty settings.

namespace corneltray {
namespace {

constexpr int kExitAddress = 1;
constexpr int kExitUsage = 2;

volatile std::sig_atomic_t g_stop = 0;  // NOLINT: set by the signal handler

void HandleStopSignal(int) { g_stop = 1; }

int Run(int argc, char** argv) {
  CLI::App app{"corneltray-entry: serves callers and routes to upstreams"};
  std::string settings_path;
  bool check = false;
  app.add_option("--settings", settings_path, "settings file (TOML)")->required();
  app.add_flag("--check", check, "check the settings and exit");
  app.set_version_flag("--version", std::string("corneltray-entry ") + CORNELTRAY_VERSION);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : kExitUsage;
  }
  std::vector<DocumentIssue> issues;
  HostSettings settings = LoadHostSettings(settings_path, &issues);
  for (const DocumentIssue& issue : issues) std::cerr << issue.ToString() << "\n";
  if (!issues.empty()) return kExitUsage;
  if (check) {
    std::cout << settings_path << ": ok\n";
    return 0;
  }
  std::signal(SIGTERM, HandleStopSignal);
  std::signal(SIGINT, HandleStopSignal);
  std::signal(SIGPIPE, SIG_IGN);
  StartLogging({"corneltray-entry", settings.name, settings.availability_zone}, settings.log_level);
  EntryProcess process(std::move(settings));
  if (const Status started = process.Start(); !started) {
    LogEvent(LogLevel::kError, "start_failed", {{"detail", started.error().ToString()}});
    return kExitAddress;
  }
  process.Run([] { return g_stop != 0; });
  return 0;
}

}  // namespace
}  // namespace corneltray

int main(int argc, char** argv) { return corneltray::Run(argc, argv); }
