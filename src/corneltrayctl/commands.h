#ifndef CORNELTRAY_COMMANDS_H_
#define CORNELTRAY_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "document_files.h"
#include "server_client.h"

namespace corneltray {

// Arguments of all commands, as parsed from the command line.
struct CommandArguments {
  std::vector<std::string> servers;
  std::string key;
  bool json = false;
  DocumentFiles files;
  std::string site;
  bool origins = false;
  std::optional<std::uint64_t> expected_revision;
  std::string change_id;
  std::string author;
  std::uint32_t timeout_s = 30;
  std::uint32_t limit = 20;
  std::string method = "POST";
  std::string target;
  std::vector<std::string> fields;  // of the request to explain, as "Name: value"
};

// Reports an answer that is not a success to standard error. Returns an exit code of exit_codes.h.
int ReportRefusal(const ServerAnswer& answer);

// Each writes its result to standard output and errors, with what to do next, to standard error,
// and returns an exit code of exit_codes.h.
int RunValidate(const CommandArguments& arguments);
int RunShow(const CommandArguments& arguments);
int RunDiff(const CommandArguments& arguments);
int RunApply(const CommandArguments& arguments);
int RunHistory(const CommandArguments& arguments);
int RunStatus(const CommandArguments& arguments);
int RunDrain(const CommandArguments& arguments);
int RunExplain(const CommandArguments& arguments);

}  // namespace corneltray

#endif  // CORNELTRAY_COMMANDS_H_
