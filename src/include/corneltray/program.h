#ifndef CORNELTRAY_PROGRAM_H_
#define CORNELTRAY_PROGRAM_H_

#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "corneltray/settings.h"

namespace corneltray {

// Exit codes of the server programs, as their --help names them.
constexpr int kExitOk = 0;          // stopped gracefully, or the check passed
constexpr int kExitUsage = 2;       // wrong arguments or faulty settings
constexpr int kExitDataFolder = 3;  // the data folder cannot be used
constexpr int kExitAddress = 4;     // an address cannot be bound
constexpr int kExitFailed = 5;      // failed while running

// A switch that only one program has. `value` is set when it is given.
struct ProgramFlag {
  std::string name;  // with its dashes
  std::string help;
  bool* value = nullptr;
};

// What the command line of a server program is built from.
struct ProgramSpec {
  std::string name;
  std::string description;
  std::vector<ProgramFlag> flags;
  // Adds issues about settings that only this program needs; may be empty.
  std::function<void(const HostSettings& settings, const std::string& file,
                     std::vector<DocumentIssue>* issues)>
      check;
};

// Parses the command line and the settings file, and reports their mistakes on standard error.
// Returns the settings to run with, or the exit code when the program is done: after --help,
// --version, --check or a mistake.
// `settings_path`, if given, gets the path of the settings file.
std::variant<HostSettings, int> ParseProgramArguments(const ProgramSpec& spec, int argc,
                                                      char** argv,
                                                      std::string* settings_path = nullptr);

}  // namespace corneltray

#endif  // CORNELTRAY_PROGRAM_H_
