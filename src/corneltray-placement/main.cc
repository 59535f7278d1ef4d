// corneltray-placement: a candidate for the placement lease of its availability zone.
#include <csignal>
#include <iostream>
#include <string>
#include <variant>
#include <vector>

#include "corneltray/log.h"
#include "corneltray/program.h"
#include "placement_process.h"

namespace corneltray {
namespace {

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
  const ProgramSpec spec{"corneltray-placement",
                         "A candidate for the placement lease of its availability zone; the holder "
                         "orders engines to load layer ranges.",
                         {},
                         CheckSettings};
  auto parsed = ParseProgramArguments(spec, argc, argv);
  if (const int* exit_code = std::get_if<int>(&parsed)) return *exit_code;
  HostSettings settings = std::get<HostSettings>(std::move(parsed));
  std::signal(SIGTERM, HandleStopSignal);
  std::signal(SIGINT, HandleStopSignal);
  std::signal(SIGPIPE, SIG_IGN);
  StartLogging({spec.name, settings.name, settings.availability_zone}, settings.log_level);
  PlacementProcess process(std::move(settings));
  if (const Status started = process.Start(); !started) {
    LogEvent(LogLevel::kError, "start_failed", {{"detail", started.error().ToString()}});
    std::cerr << "corneltray-placement: " << started.error().ToString() << "\n";
    StopLogging(kExitAddress);
    return kExitAddress;
  }
  process.Run([] { return g_stop != 0; });
  StopLogging(kExitOk);
  return kExitOk;
}

}  // namespace
}  // namespace corneltray

int main(int argc, char** argv) { return corneltray::Run(argc, argv); }
