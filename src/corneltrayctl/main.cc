// corneltrayctl: the operator's command line.
#include <CLI/CLI.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "commands.h"
#include "exit_codes.h"

namespace {

using corneltray::CommandArguments;

constexpr char kFooter[] =
    "Exit codes: 0 done, 1 diff found differences, 2 wrong arguments or unreadable file,\n"
    "3 mistakes in the configuration, 4 refused by a server, 5 no server answered.\n"
    "Each region has its own configuration: apply a change to every region, with one --change-id.";

struct Subcommand {
  const char* name;
  const char* help;
  int (*run)(const CommandArguments&);
  bool files;
  bool server;
};

constexpr Subcommand kSubcommands[] = {
    {"validate", "check configuration files without a server", corneltray::RunValidate, true,
     false},
    {"show", "show the configuration in force", corneltray::RunShow, false, true},
    {"diff", "compare files with the configuration in force", corneltray::RunDiff, true, true},
    {"apply", "change the configuration to the files", corneltray::RunApply, true, true},
    {"history", "list the last changes", corneltray::RunHistory, false, true},
    {"status", "show the state of each server", corneltray::RunStatus, false, true},
    {"drain", "stop one process gracefully", corneltray::RunDrain, false, true},
    {"explain", "tell where an entry host would send a request now, without sending it",
     corneltray::RunExplain, false, true},
};

void AddOptions(CLI::App* command, const Subcommand& kind, CommandArguments* arguments,
                std::vector<std::string>* overlays) {
  command->add_flag("--json", arguments->json, "write JSON instead of tables");
  if (kind.files) {
    command->add_option("--base", arguments->files.base_file, "TOML file shared by all sites")
        ->required();
    command->add_option("--overlay", *overlays, "SITE=FILE, repeatable")
        ->check([](const std::string& text) {
          corneltray::DocumentFiles parsed;
          return corneltray::ParseOverlayArgument(text, &parsed) ? "" : "must be SITE=FILE";
        });
  }
  if (kind.server) {
    command
        ->add_option("--server", arguments->servers,
                     "http://IP:PORT of a corneltray process, repeatable; the next is tried "
                     "when one does not answer")
        ->required();
    command->add_option("--key", arguments->key, "operator key")
        ->envname("CORNELTRAY_KEY")
        ->required();
  }
  const std::string name = kind.name;
  if (name == "show") {
    command->add_flag("--origins", arguments->origins, "show where each value comes from");
    command->add_option("--site", arguments->site, "show the merged values of one site");
  }
  if (name == "apply") {
    command->add_option("--expected-revision", arguments->expected_revision,
                        "refuse the change if the current revision is another one; default: the "
                        "revision that the server shows now");
    command->add_option("--change-id", arguments->change_id,
                        "name of the change; sent again it is applied once; default: a random one");
    command->add_option("--author", arguments->author, "name for the history")->envname("USER");
  }
  if (name == "apply" || name == "drain") {
    command->add_option("--timeout-s", arguments->timeout_s, "time for all tries, in seconds")
        ->check(CLI::Range(1, 3600));
  }
  if (name == "explain") {
    command->add_option("--target", arguments->target, "path and query of the request")->required();
    command->add_option("--method", arguments->method, "method of the request");
    command->add_option("--header", arguments->fields,
                        "header field of the request as 'Name: value', repeatable; as its caller "
                        "sends them, with the host, the request id and the customer's key");
  }
  if (name == "history") {
    command->add_option("--limit", arguments->limit, "number of changes")
        ->check(CLI::Range(1, 1000));
  }
}

}  // namespace

int main(int argc, char** argv) {
  CommandArguments arguments;
  std::vector<std::string> overlays;
  CLI::App app("Configuration and state of corneltray.");
  app.footer(kFooter);
  app.set_version_flag("--version", std::string("corneltrayctl ") + CORNELTRAY_VERSION);
  app.require_subcommand(1);
  for (const Subcommand& kind : kSubcommands) {
    AddOptions(app.add_subcommand(kind.name, kind.help), kind, &arguments, &overlays);
  }
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? corneltray::kExitOk : corneltray::kExitUsage;
  }
  for (const std::string& overlay : overlays) {
    corneltray::ParseOverlayArgument(overlay, &arguments.files);
  }
  for (const Subcommand& kind : kSubcommands) {
    if (app.got_subcommand(kind.name)) return kind.run(arguments);
  }
  return corneltray::kExitUsage;
}
