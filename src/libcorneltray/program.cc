#include "corneltray/program.h"

#include <CLI/CLI.hpp>
#include <iostream>

namespace corneltray {
namespace {

constexpr char kExitCodes[] =
    "Exit codes: 0 stopped or done, 2 wrong arguments or settings, 3 data folder cannot be used,\n"
    "4 an address cannot be bound, 5 failed while running.";

}  // namespace

std::variant<HostSettings, int> ParseProgramArguments(const ProgramSpec& spec, int argc,
                                                      char** argv, std::string* settings_path) {
  std::string path;
  bool check = false;
  CLI::App app(spec.description, spec.name);
  app.footer(kExitCodes);
  app.set_version_flag("--version", spec.name + " " + CORNELTRAY_VERSION);
  app.add_option("--settings", path, "TOML settings of this process")->required();
  CLI::Option* check_option = app.add_flag("--check", check, "check the settings and exit");
  for (const ProgramFlag& flag : spec.flags) {
    app.add_flag(flag.name, *flag.value, flag.help)->excludes(check_option);
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitUsage;
  }
  if (settings_path != nullptr) *settings_path = path;
  std::vector<DocumentIssue> issues;
  HostSettings settings = LoadHostSettings(path, &issues);
  if (issues.empty() && spec.check) spec.check(settings, path, &issues);
  for (const DocumentIssue& issue : issues) std::cerr << issue.ToString() << "\n";
  if (!issues.empty()) return kExitUsage;
  if (check) {
    std::cout << path << " is valid\n";
    return kExitOk;
  }
  return settings;
}

}  // namespace corneltray
