// The command that explains a route.
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "commands.h"
#include "exit_codes.h"
#include "table.h"

namespace corneltray {
namespace {

using nlohmann::json;

std::string Text(const json& value) {
  if (value.is_null()) return "-";
  if (value.is_string()) return value.get<std::string>();
  if (!value.is_number_float()) return value.dump();
  std::ostringstream text;
  text << std::fixed << std::setprecision(2) << value.get<double>();
  return text.str();
}

// Splits "Name: value". Returns null if there is no colon.
json ParseField(const std::string& text) {
  const std::size_t colon = text.find(':');
  if (colon == std::string::npos || colon == 0) return nullptr;
  const std::size_t value = text.find_first_not_of(' ', colon + 1);
  return {text.substr(0, colon), value == std::string::npos ? "" : text.substr(value)};
}

void PrintExplanation(const json& answer) {
  for (const char* key :
       {"route", "kind", "customer", "priority", "service", "time_left_ms", "route_version"}) {
    if (answer.contains(key)) std::cout << key << ": " << Text(answer[key]) << "\n";
  }
  const json admission = answer.value("admission", json::object());
  std::cout << "admission:";
  for (const auto& [key, value] : admission.items()) {
    std::cout << " " << key << "=" << Text(value);
  }
  std::cout << "\n";
  if (answer.contains("choice") && answer["choice"].is_object()) {
    std::cout << "choice:";
    for (const auto& [key, value] : answer["choice"].items()) {
      std::cout << " " << key << "=" << Text(value);
    }
    std::cout << "\n";
  }
  std::vector<std::vector<std::string>> rows;
  for (const json& candidate : answer.value("candidates", json::array())) {
    std::vector<std::string> row;
    for (const char* key : {"upstream", "availability_zone", "layers", "load", "room", "score",
                            "pace_share", "report_age_ms", "reason"}) {
      row.push_back(Text(candidate.value(key, json())));
    }
    rows.push_back(std::move(row));
  }
  if (rows.empty()) return;
  WriteTable(std::cout,
             {"UPSTREAM", "ZONE", "LAYERS", "LOAD", "ROOM", "SCORE", "PACE SHARE", "REPORT AGE MS",
              "REASON"},
             rows);
}

}  // namespace

int RunExplain(const CommandArguments& arguments) {
  json fields = json::array();
  for (const std::string& text : arguments.fields) {
    json field = ParseField(text);
    if (field.is_null()) {
      std::cerr << "corneltrayctl: --header must be 'Name: value', got " << text << "\n";
      return kExitUsage;
    }
    fields.push_back(std::move(field));
  }
  const json body = {
      {"method", arguments.method}, {"target", arguments.target}, {"fields", fields}};
  const ServerClient client(arguments.servers, arguments.key);
  // Escapes all but ASCII, so that the text is one line of a header field.
  constexpr bool kAsciiOnly = true;
  const ServerAnswer answer =
      client.GetWith("/admin/v1/explain", {"Explained-Request", body.dump(-1, ' ', kAsciiOnly)});
  if (answer.status != 200) return ReportRefusal(answer);
  if (arguments.json) {
    std::cout << answer.body.dump(2) << "\n";
  } else {
    PrintExplanation(answer.body);
  }
  return kExitOk;
}

}  // namespace corneltray
