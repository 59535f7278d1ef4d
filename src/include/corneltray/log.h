#ifndef CORNELTRAY_LOG_H_
#define CORNELTRAY_LOG_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "corneltray/enum_names.h"

namespace corneltray {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

template <>
struct EnumNames<LogLevel> {
  static constexpr EnumName<LogLevel> kTable[] = {
      {LogLevel::kDebug, "debug"},
      {LogLevel::kInfo, "info"},
      {LogLevel::kWarning, "warning"},
      {LogLevel::kError, "error"},
  };
};

// Fields that every line of a process carries.
struct LogIdentity {
  std::string program;
  std::string host;
  std::string availability_zone;
};

// Starts logging to standard output, one JSON object a line. Lines below `level` are dropped.
// Called once, before any other thread starts.
void StartLogging(LogIdentity identity, LogLevel level);

// Writes the lines that wait and ends logging. Called once, at the end of the process. If nobody
// reads standard output the process ends here with the exit code.
void StopLogging(int exit_code);

// Writes one line with the event name and the given fields. Never waits for the reader of standard
// output: lines of one event beyond a rate are left out, and the next one tells how many. Prompt
// text and keys never go into the fields. May be called from any thread; does nothing before
// StartLogging.
void LogEvent(LogLevel level, std::string_view event, const nlohmann::json& fields);

// Returns whether a line of this level would be written, to skip building expensive fields.
bool IsLogged(LogLevel level);

}  // namespace corneltray

#endif  // CORNELTRAY_LOG_H_
