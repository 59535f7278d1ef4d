#include "commands.h"

#include <array>
#include <chrono>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "corneltray/configuration.h"
#include "corneltray/time.h"
#include "exit_codes.h"
#include "table.h"

namespace corneltray {
namespace {

using nlohmann::json;

int Fail(int code, const std::string& message, const std::string& next) {
  std::cerr << "corneltrayctl: " << message << "\n";
  if (!next.empty()) std::cerr << "Next: " << next << "\n";
  return code;
}

void PrintJson(const json& value) {
  std::cout << value.dump(2, ' ', false, json::error_handler_t::replace) << "\n";
}

// What an operator does after an error code of the servers.
struct Hint {
  const char* code;
  const char* next;
};
constexpr Hint kHints[] = {
    {"unauthorized", "give the operator key of this region with --key or CORNELTRAY_KEY"},
    {"revision_conflict",
     "somebody else changed the configuration; run 'corneltrayctl diff', then apply again with "
     "--expected-revision set to the current revision and without --change-id"},
    {"configuration_invalid", "correct the lines above; 'corneltrayctl validate' checks them"},
    {"body_too_large", "shorten the configuration files"},
    {"not_supported", "name a process that can be drained with --server"},
};

}  // namespace

int ReportRefusal(const ServerAnswer& answer) {
  for (const std::string& lost : answer.lost) std::cerr << "corneltrayctl: " << lost << "\n";
  if (answer.status == 0 || answer.status == 503) {
    return Fail(kExitUnanswered, "no server gave an answer",
                "check the addresses in --server and that the processes run");
  }
  const json error = answer.body.is_object() ? answer.body.value("error", json::object()) : json();
  if (!error.is_object() || !error.contains("code")) {
    return Fail(kExitRefused,
                answer.server + " answered with status " + std::to_string(answer.status),
                "check that --server names the HTTP address of a corneltray process");
  }
  const std::string code = error.value("code", "");
  std::string message = answer.server + ": " + code;
  if (error.contains("field")) message += " (" + error.value("field", "") + ")";
  message += ": " + error.value("message", "");
  if (error.contains("revision")) {
    message += " (current revision " + error["revision"].dump() + ")";
  }
  std::string next;
  for (const Hint& hint : kHints) {
    if (code == hint.code) next = hint.next;
  }
  return Fail(code == "configuration_invalid" ? kExitInvalid : kExitRefused, message, next);
}

namespace {

bool IsSuccess(const ServerAnswer& answer) { return answer.status == 200 || answer.status == 202; }

// Reads and checks the operator's files. Returns an exit code other than kExitOk on a problem.
int LoadDocument(const CommandArguments& arguments, ConfigurationDocument* document) {
  std::vector<DocumentIssue> issues;
  *document = ReadDocument(arguments.files, &issues);
  if (!issues.empty()) {
    for (const DocumentIssue& issue : issues) std::cerr << issue.ToString() << "\n";
    return Fail(kExitUsage, "a file cannot be read", "check the paths in --base and --overlay");
  }
  issues = ValidateConfiguration(*document);
  NameFiles(arguments.files, &issues);
  if (arguments.json && !issues.empty()) {
    json list = json::array();
    for (const DocumentIssue& issue : issues) {
      list.push_back({{"file", issue.file},
                      {"line", issue.line},
                      {"key", issue.key},
                      {"message", issue.message}});
    }
    PrintJson({{"valid", false}, {"issues", std::move(list)}});
  }
  for (const DocumentIssue& issue : issues) std::cerr << issue.ToString() << "\n";
  if (issues.empty()) return kExitOk;
  return Fail(kExitInvalid, std::to_string(issues.size()) + " mistakes in the configuration",
              "correct the lines above");
}

struct CurrentDocument {
  std::uint64_t revision = 0;
  ConfigurationDocument document;
  json body;
};

int FetchCurrent(const ServerClient& client, CurrentDocument* current) {
  const ServerAnswer answer = client.Get("/admin/v1/configuration");
  if (!IsSuccess(answer)) return ReportRefusal(answer);
  try {
    current->body = answer.body;
    current->revision = answer.body.at("revision");
    current->document.base = answer.body.at("base");
    for (const auto& [site, text] : answer.body.at("overlays").items()) {
      current->document.overlays.emplace_back(site, text.get<std::string>());
    }
    return kExitOk;
  } catch (const json::exception& failure) {
    return Fail(kExitRefused, answer.server + ": unexpected answer: " + failure.what(),
                "check that this tool has the version of the servers");
  }
}

std::string SiteText(const std::string& site) { return site.empty() ? "(all)" : site; }

// A random UUID version 4.
std::string NewChangeId() {
  std::random_device random;
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string id = "xxxxxxxx-xxxx-4xxx-8xxx-xxxxxxxxxxxx";
  for (char& c : id) {
    if (c == 'x') c = kDigits[random() % kDigits.size()];
  }
  return id;
}

}  // namespace

int RunValidate(const CommandArguments& arguments) {
  ConfigurationDocument document;
  if (const int code = LoadDocument(arguments, &document); code != kExitOk) return code;
  if (arguments.json) {
    PrintJson({{"valid", true}, {"issues", json::array()}});
  } else {
    std::cout << "valid: base and " << document.overlays.size() << " overlays\n";
  }
  return kExitOk;
}

int RunShow(const CommandArguments& arguments) {
  CurrentDocument current;
  const ServerClient client(arguments.servers, arguments.key);
  if (const int code = FetchCurrent(client, &current); code != kExitOk) return code;
  const bool merged = arguments.origins || !arguments.site.empty();
  if (!merged) {
    if (arguments.json) {
      PrintJson(current.body);
      return kExitOk;
    }
    std::cout << "# revision " << current.revision << "\n# base\n" << current.document.base;
    for (const auto& [site, text] : current.document.overlays) {
      std::cout << "# overlay " << site << "\n" << text;
    }
    return kExitOk;
  }
  std::vector<std::string> sites = SitesOf(current.document);
  if (!arguments.site.empty()) sites = {arguments.site};
  json result = {{"revision", current.revision}, {"sites", json::object()}};
  std::vector<std::vector<std::string>> rows;
  for (const std::string& site : sites) {
    const ParsedDocument parsed = ParseConfiguration(current.document, site);
    for (const auto& [key, value] : FlatValues(parsed)) {
      const auto origin = parsed.origins.find(key);
      const std::string from = origin == parsed.origins.end() ? "" : origin->second;
      result["sites"][site][key] = {{"value", value}, {"origin", from}};
      std::vector<std::string> row = {SiteText(site), key};
      if (arguments.origins) row.push_back(from);
      row.push_back(value);
      rows.push_back(std::move(row));
    }
  }
  if (arguments.json) {
    PrintJson(result);
    return kExitOk;
  }
  std::cout << "revision " << current.revision << "\n";
  std::vector<std::string> header = {"SITE", "KEY"};
  if (arguments.origins) header.emplace_back("ORIGIN");
  header.emplace_back("VALUE");
  WriteTable(std::cout, header, rows);
  return kExitOk;
}

int RunDiff(const CommandArguments& arguments) {
  ConfigurationDocument document;
  if (const int code = LoadDocument(arguments, &document); code != kExitOk) return code;
  CurrentDocument current;
  const ServerClient client(arguments.servers, arguments.key);
  if (const int code = FetchCurrent(client, &current); code != kExitOk) return code;
  std::map<std::string, int> sites;
  for (const std::string& site : SitesOf(document)) ++sites[site];
  for (const std::string& site : SitesOf(current.document)) ++sites[site];
  json differences = json::array();
  std::vector<std::vector<std::string>> rows;
  for (const auto& entry : sites) {
    const std::string& site = entry.first;
    const auto before = FlatValues(ParseConfiguration(current.document, site));
    const auto after = FlatValues(ParseConfiguration(document, site));
    std::map<std::string, int> keys;
    for (const auto& [key, value] : before) ++keys[key];
    for (const auto& [key, value] : after) ++keys[key];
    for (const auto& key_entry : keys) {
      const std::string& key = key_entry.first;
      const auto old_value = before.find(key);
      const auto new_value = after.find(key);
      const std::string from = old_value == before.end() ? "-" : old_value->second;
      const std::string to = new_value == after.end() ? "-" : new_value->second;
      if (from == to) continue;
      differences.push_back({{"site", site}, {"key", key}, {"current", from}, {"new", to}});
      rows.push_back({SiteText(site), key, from, to});
    }
  }
  const bool texts_differ =
      document.base != current.document.base || document.overlays != current.document.overlays;
  if (arguments.json) {
    PrintJson({{"revision", current.revision},
               {"differences", differences},
               {"texts_differ", texts_differ}});
  } else {
    std::cout << "compared with revision " << current.revision << "\n";
    if (!rows.empty()) WriteTable(std::cout, {"SITE", "KEY", "CURRENT", "NEW"}, rows);
    if (rows.empty()) {
      std::cout << (texts_differ ? "the texts differ, but no shown value does\n"
                                 : "no differences\n");
    }
  }
  return texts_differ ? kExitDifferent : kExitOk;
}

int RunApply(const CommandArguments& arguments) {
  ConfigurationDocument document;
  if (const int code = LoadDocument(arguments, &document); code != kExitOk) return code;
  const ServerClient client(arguments.servers, arguments.key);
  std::uint64_t expected = 0;
  if (arguments.expected_revision) {
    expected = *arguments.expected_revision;
  } else {
    CurrentDocument current;
    if (const int code = FetchCurrent(client, &current); code != kExitOk) return code;
    expected = current.revision;
  }
  const std::string change_id = arguments.change_id.empty() ? NewChangeId() : arguments.change_id;
  json overlays = json::object();
  for (const auto& [site, text] : document.overlays) overlays[site] = text;
  json body = {{"change_id", change_id},
               {"expected_revision", expected},
               {"base", document.base},
               {"overlays", std::move(overlays)}};
  if (!arguments.author.empty()) body["author"] = arguments.author;
  // The same change id makes it safe to send the change again after a lost reply.
  const ServerAnswer answer = client.PostUntil(
      "/admin/v1/configuration", body, Clock::now() + std::chrono::seconds(arguments.timeout_s));
  if (!IsSuccess(answer)) {
    const int code = ReportRefusal(answer);
    if (code == kExitUnanswered) {
      std::cerr << "The change may or may not be in force. Repeat it with --expected-revision "
                << expected << " --change-id " << change_id << "; it is applied at most once.\n";
    }
    return code;
  }
  if (arguments.json) {
    PrintJson(answer.body);
  } else {
    const bool duplicate = answer.body.value("verdict", "") == "duplicate";
    std::cout << "revision " << answer.body.value("revision", std::uint64_t{0})
              << (duplicate ? " (was applied before)" : " accepted") << ", change id " << change_id
              << "\n";
  }
  return kExitOk;
}

int RunHistory(const CommandArguments& arguments) {
  const ServerClient client(arguments.servers, arguments.key);
  const ServerAnswer answer =
      client.Get("/admin/v1/history?limit=" + std::to_string(arguments.limit));
  if (!IsSuccess(answer)) return ReportRefusal(answer);
  if (arguments.json) {
    PrintJson(answer.body);
    return kExitOk;
  }
  std::vector<std::vector<std::string>> rows;
  for (const json& change : answer.body.value("changes", json::array())) {
    rows.push_back({change.value("revision", json()).dump(),
                    UtcText(change.value("time_ms", std::int64_t{0})), change.value("author", ""),
                    change.value("change_id", "")});
  }
  WriteTable(std::cout, {"REVISION", "TIME", "AUTHOR", "CHANGE ID"}, rows);
  return kExitOk;
}

int RunStatus(const CommandArguments& arguments) {
  const ServerClient client(arguments.servers, arguments.key);
  json all = json::array();
  std::vector<std::vector<std::string>> rows;
  int code = kExitOk;
  for (const std::string& server : client.Servers()) {
    const ServerAnswer answer = client.GetFrom(server, "/admin/v1/status");
    if (!IsSuccess(answer)) {
      const int failed = ReportRefusal(answer);
      if (code == kExitOk) code = failed;
      continue;
    }
    const json& s = answer.body;
    all.push_back({{"server", server}, {"status", s}});
    rows.push_back({server, s.value("host", ""), s.value("program", ""),
                    s.value("availability_zone", ""), s.value("role", ""), s.value("leader", ""),
                    s.value("revision", json(0)).dump()});
  }
  if (arguments.json) {
    PrintJson(all);
  } else if (!rows.empty()) {
    WriteTable(std::cout, {"SERVER", "HOST", "PROGRAM", "ZONE", "ROLE", "LEADER", "REVISION"},
               rows);
  }
  return code;
}

int RunDrain(const CommandArguments& arguments) {
  if (arguments.servers.size() != 1) {
    return Fail(kExitUsage, "drain stops one process", "name it with a single --server");
  }
  const ServerClient client(arguments.servers, arguments.key);
  const ServerAnswer answer = client.PostUntil(
      "/admin/v1/drain", json::object(), Clock::now() + std::chrono::seconds(arguments.timeout_s));
  if (!IsSuccess(answer)) return ReportRefusal(answer);
  if (arguments.json) {
    PrintJson(answer.body);
  } else {
    std::cout << client.Servers().front() << " is draining and will exit\n";
  }
  return kExitOk;
}

}  // namespace corneltray
