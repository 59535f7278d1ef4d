#include "corneltray/configuration.h"

#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace corneltray {
namespace {

using nlohmann::json;

constexpr double kMaxNameBytes = 64;
constexpr double kMaxTextBytes = 256;
constexpr double kDayMs = 86'400'000;

// Returns the issues that involve more than one key of a merged document, or the format of a text.
std::vector<DocumentIssue> CheckReferences(const json& values, const std::string& file) {
  std::vector<DocumentIssue> issues;
  std::map<std::string, std::string> customer_of_key;
  for (const auto& [name, customer] : values["customer"].items()) {
    const std::string key = customer.value("key", "");
    const auto [other, inserted] = customer_of_key.emplace(key, name);
    if (!inserted) {
      issues.push_back({file, 0, "customer[" + name + "].key",
                        "is the same as the key of customer " + other->second});
    }
  }
  for (const auto& [name, service] : values["service"].items()) {
    const std::string lookup = service.value("lookup_path", "");
    if (!lookup.empty() && lookup.find("{key}") == std::string::npos) {
      issues.push_back({file, 0, "service[" + name + "].lookup_path", "must contain {key}"});
    }
    for (const auto& call : service.value("idempotent_calls", json::array())) {
      if (call.get<std::string>().find(" /") == std::string::npos) {
        issues.push_back({file, 0, "service[" + name + "].idempotent_calls",
                          "each entry must be METHOD /path, got " + call.get<std::string>()});
      }
    }
  }
  const json& limits = values["limits"];
  if (limits.value("default_deadline_ms", 0) > limits.value("max_deadline_ms", 0)) {
    issues.push_back({file, 0, "limits.default_deadline_ms", "is above limits.max_deadline_ms"});
  }
  return issues;
}

}  // namespace

const std::vector<KeySpec>& ConfigurationSchema() {
  using T = ValueType;
  static const std::vector<KeySpec> schema = {
      {"model[].name", T::kString, true, "", 1, kMaxNameBytes, "", "name that callers send"},
      {"model[].version", T::kString, true, "", 1, kMaxNameBytes, "", "version of the weights"},
      {"model[].adapters", T::kStringList, false, "[]", 0, 64, "",
       "adapters that may be asked for"},
      {"model[].layers", T::kInteger, true, "", 1, 1024, "layers", "number of layers"},
      {"model[].bytes_per_layer", T::kInteger, true, "", 1, 1e12, "bytes", "weights of one layer"},
      {"model[].max_prompt_bytes", T::kInteger, false, "65536", 1, 1e7, "bytes", "longest prompt"},
      {"model[].max_tokens", T::kInteger, false, "4096", 1, 1e6, "tokens", "longest answer"},
      {"model[].share", T::kNumber, false, "1.0", 0, 1e6, "weight",
       "part of a zone's engines, relative to the other models"},
      {"customer[].name", T::kString, true, "", 1, kMaxNameBytes, "", "name in logs and metrics"},
      {"customer[].key", T::kString, true, "", 16, kMaxTextBytes, "", "bearer key of its callers"},
      {"customer[].requests_per_s", T::kNumber, false, "50.0", 0.001, 1e6, "requests/s",
       "sustained rate over all entry hosts of a zone"},
      {"customer[].burst", T::kNumber, false, "100.0", 1, 1e6, "requests", "requests at once"},
      {"customer[].priority", T::kInteger, false, "0", 0, 9, "", "0 is the most urgent"},
      {"service[].name", T::kString, true, "", 1, kMaxNameBytes, "",
       "name in announcements and paths"},
      {"service[].lookup_path", T::kString, false, "\"\"", 0, kMaxTextBytes, "",
       "path of the idempotent lookup of a booking, with {key}"},
      {"service[].idempotent_calls", T::kStringList, false, "[]", 0, 64, "",
       "calls besides GET and HEAD that may be repeated, as METHOD /path-prefix"},
      {"routing.first_token_timeout_ms", T::kInteger, false, "5000", 10, 600'000, "ms",
       "an attempt without a first token by then is replaced"},
      {"routing.progress_timeout_ms", T::kInteger, false, "500", 10, 600'000, "ms",
       "an attempt without a further token by then is replaced"},
      {"routing.retry_budget_ratio", T::kNumber, false, "0.2", 0, 1, "ratio",
       "retries as a part of the requests of the last 10 s"},
      {"routing.retry_budget_min_per_s", T::kNumber, false, "3.0", 0, 1000, "retries/s",
       "retries that are always allowed"},
      {"routing.affinity_load_factor", T::kNumber, false, "1.25", 1, 100, "ratio",
       "load over the mean at which prefix affinity is given up"},
      {"routing.max_ejected_ratio", T::kNumber, false, "0.3", 0, 0.9, "ratio",
       "greatest part of a group that is ejected at once"},
      {"limits.max_body_bytes", T::kInteger, false, "1048576", 1024, 1e8, "bytes", "request body"},
      {"limits.default_deadline_ms", T::kInteger, false, "30000", 1, kDayMs, "ms",
       "deadline of a request that names none"},
      {"limits.max_deadline_ms", T::kInteger, false, "600000", 1, kDayMs, "ms",
       "greatest deadline; a later one is shortened to it"},
      {"bookings.retention_ms", T::kInteger, false, "172800000", 60'000, 30 * kDayMs, "ms",
       "how long outcomes and keys are kept"},
      {"bookings.max_stored_answer_bytes", T::kInteger, false, "65536", 0, 1e6, "bytes",
       "answers above this are not stored for repeats"},
      {"bookings.resolve_after_ms", T::kInteger, false, "2000", 100, 600'000, "ms",
       "time after a claim's deadline at which a repeat may resolve it"},
  };
  return schema;
}

ParsedDocument ParseConfiguration(const ConfigurationDocument& document, const std::string& site) {
  std::vector<SourceText> layers = {{"base", document.base}};
  for (const auto& [name, text] : document.overlays) {
    if (name == site) layers.push_back({"overlay " + name, text});
  }
  ParsedDocument parsed = ParseDocument(layers, ConfigurationSchema());
  if (parsed.issues.empty()) parsed.issues = CheckReferences(parsed.values, layers.back().file);
  return parsed;
}

std::vector<DocumentIssue> ValidateConfiguration(const ConfigurationDocument& document) {
  std::vector<DocumentIssue> issues;
  std::set<std::string> reported;
  const auto add = [&](const std::string& site) {
    for (DocumentIssue& issue : ParseConfiguration(document, site).issues) {
      if (reported.insert(issue.ToString()).second) issues.push_back(std::move(issue));
    }
  };
  // Without overlays the base must be complete. With overlays, each site is checked as it will run,
  // so the base alone may be incomplete.
  if (document.overlays.empty()) add("");
  for (const auto& overlay : document.overlays) add(overlay.first);
  return issues;
}

Configuration MakeConfiguration(const json& values, const std::string& site,
                                std::uint64_t revision) {
  Configuration config;
  config.revision = revision;
  config.site = site;
  for (const auto& [name, v] : values["model"].items()) {
    config.models[name] = {name,
                           v["version"],
                           v["adapters"],
                           v["layers"],
                           v["bytes_per_layer"],
                           v["max_prompt_bytes"],
                           v["max_tokens"],
                           v["share"]};
  }
  for (const auto& [name, v] : values["customer"].items()) {
    config.customers[name] = {name, v["key"], v["requests_per_s"], v["burst"], v["priority"]};
  }
  for (const auto& [name, v] : values["service"].items()) {
    config.services[name] = {name, v["lookup_path"], v["idempotent_calls"]};
  }
  const json& routing = values["routing"];
  config.routing = {routing["first_token_timeout_ms"], routing["progress_timeout_ms"],
                    routing["retry_budget_ratio"],     routing["retry_budget_min_per_s"],
                    routing["affinity_load_factor"],   routing["max_ejected_ratio"]};
  const json& limits = values["limits"];
  config.limits = {limits["max_body_bytes"], limits["default_deadline_ms"],
                   limits["max_deadline_ms"]};
  const json& bookings = values["bookings"];
  config.bookings = {bookings["retention_ms"], bookings["max_stored_answer_bytes"],
                     bookings["resolve_after_ms"]};
  return config;
}

}  // namespace corneltray
