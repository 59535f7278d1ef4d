// corneltray-entry: serves callers over HTTP and routes their requests to upstreams.
#include <csignal>
#include <variant>

#include "corneltray/log.h"
#include "corneltray/program.h"
#include "entry_process.h"

namespace corneltray {
namespace {

volatile std::sig_atomic_t g_stop = 0;  // NOLINT: set by the signal handler

void HandleStopSignal(int) { g_stop = 1; }

int Run(int argc, char** argv) {
  const ProgramSpec spec{
      "corneltray-entry", "Serves callers over HTTP and routes to upstreams.", {}, {}};
  auto parsed = ParseProgramArguments(spec, argc, argv);
  if (const int* exit_code = std::get_if<int>(&parsed)) return *exit_code;
  HostSettings settings = std::get<HostSettings>(std::move(parsed));
  std::signal(SIGTERM, HandleStopSignal);
  std::signal(SIGINT, HandleStopSignal);
  std::signal(SIGPIPE, SIG_IGN);
  StartLogging({spec.name, settings.name, settings.availability_zone}, settings.log_level);
  EntryProcess process(std::move(settings));
  if (const Status started = process.Start(); !started) {
    LogEvent(LogLevel::kError, "start_failed", {{"detail", started.error().ToString()}});
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
