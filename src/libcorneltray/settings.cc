#include "corneltray/settings.h"

#include <arpa/inet.h>

#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "corneltray/address.h"

namespace corneltray {
namespace {

constexpr double kMaxName = 64;
constexpr double kMaxText = 256;
constexpr double kHourMs = 3'600'000;

// Returns whether a text is IP:PORT with a port from 0 to 65535; an IPv6 address is in brackets.
bool IsAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  std::string ip = text.substr(0, colon);
  const bool is_v6 = ip.size() > 2 && ip.front() == '[' && ip.back() == ']';
  if (is_v6) ip = ip.substr(1, ip.size() - 2);
  in6_addr parsed{};
  if (inet_pton(is_v6 ? AF_INET6 : AF_INET, ip.c_str(), &parsed) != 1) return false;
  const char* begin = text.data() + colon + 1;
  const char* end = text.data() + text.size();
  std::uint16_t port = 0;
  const auto [rest, error] = std::from_chars(begin, end, port);
  return begin != end && rest == end && error == std::errc();
}

// Adds an issue for each address that cannot be used. `optional` ones may be empty.
void CheckAddresses(const HostSettings& settings, const ParsedDocument& document,
                    std::vector<DocumentIssue>* issues) {
  const auto check = [&](const std::string& key, const std::string& value, bool optional) {
    if ((optional && value.empty()) || IsAddress(value)) return;
    // The origin is "file:line"; a default is always valid.
    const std::string origin = document.origins.at(key);
    const std::size_t colon = origin.rfind(':');
    const auto line = static_cast<std::uint32_t>(std::stoul(origin.substr(colon + 1)));
    issues->push_back({origin.substr(0, colon), line, key, "must be IP:PORT, got " + value});
  };
  check("http.address", settings.http_address, false);
  check("peer.address", settings.peer_address, false);
  check("peer.advertise", settings.peer_advertise, true);
  check("http.ready_address", settings.ready_address, true);
  check("http.metrics_address", settings.metrics_address, true);
  check("fleet.address", settings.fleet_address, true);
  check("placement.weight_store", settings.weight_store, true);
  for (const std::string& seed : settings.seeds) check("peer.seeds", seed, false);
}

}  // namespace

const std::vector<KeySpec>& HostSettingsSchema() {
  using T = ValueType;
  static const std::vector<KeySpec> schema = {
      {"host.name", T::kString, true, "", 1, kMaxName, "", "unique name of this process"},
      {"host.region", T::kString, true, "", 1, kMaxName, "", "region of the replicated log"},
      {"host.site", T::kString, true, "", 1, kMaxName, "", "site whose overlay is in force here"},
      {"host.availability_zone", T::kString, true, "", 1, kMaxName, "", "zone of this host"},
      {"host.data_folder", T::kString, false, "\"\"", 0, 4096, "",
       "folder for durable state; empty on a host without a disk"},
      {"http.address", T::kString, false, "\"127.0.0.1:0\"", 3, kMaxText, "",
       "IP:PORT for callers, upstreams and operators; port 0 picks a free one"},
      {"http.threads", T::kInteger, false, "64", 2, 4096, "threads",
       "connections served at once, each on its own thread"},
      {"peer.address", T::kString, false, "\"127.0.0.1:0\"", 3, kMaxText, "",
       "IP:PORT for other corneltray processes"},
      {"http.ready_address", T::kString, false, "\"\"", 0, kMaxText, "",
       "IP:PORT of the readiness check of corneltray-gateway; empty: at http.address"},
      {"http.metrics_address", T::kString, false, "\"\"", 0, kMaxText, "",
       "IP:PORT of the metrics of corneltray-gateway, at /metrics; empty: not served"},
      {"peer.name", T::kString, false, "\"\"", 0, kMaxName, "",
       "name on links and in the replicated log; empty: host.name"},
      {"peer.seed_port", T::kInteger, false, "0", 0, 65535, "",
       "peer port of every seed, when seeds are given with another port; 0: as given"},
      {"peer.advertise", T::kString, false, "\"\"", 0, kMaxText, "",
       "IP:PORT that peers are told, when it differs from the bound one; empty: the bound one"},
      {"peer.seeds", T::kStringList, false, "[]", 0, 64, "", "peer addresses to join through"},
      {"peer.shared_key", T::kString, true, "", 16, kMaxText, "", "key that peers prove"},
      {"operator.key", T::kString, true, "", 16, kMaxText, "", "bearer key of operators"},
      {"control.hosts", T::kStringList, false, "[]", 0, 7, "",
       "names of the control replicas at the first start of the region"},
      {"control.found_from_seeds", T::kBoolean, false, "false", 0, 0, "",
       "the seeds are the replicas of the first start; their names are their IP addresses"},
      {"control.first_start", T::kBoolean, false, "false", 0, 0, "",
       "the region starts for the first time, with empty data folders"},
      {"control.tolerated_losses", T::kInteger, false, "1", 0, 3, "hosts",
       "control hosts that may be lost at once; twice as many and one more replicas vote"},
      {"fleet.address", T::kString, false, "\"\"", 0, kMaxText, "",
       "IP:PORT for upstreams and operators in the installation's dialect; an entry host passes "
       "their "
       "calls on to control hosts"},
      {"entry.key_lease_ms", T::kInteger, false, "5000", 100, kHourMs, "ms",
       "customer keys are honoured this long after the log confirmed the route table"},
      {"entry.retry_ratio", T::kNumber, false, "0.2", 0, 1, "",
       "second attempts allowed for each request of a service, over all entry hosts"},
      {"entry.retry_allowance", T::kNumber, false, "100", 0, 1000000, "attempts",
       "second attempts in a window that are allowed beside the ratio, over all entry hosts"},
      {"entry.retry_window_ms", T::kInteger, false, "10000", 1000, kHourMs, "ms",
       "window in which second attempts are counted"},
      {"admission.mode", T::kString, false, "\"auto\"", 1, 16, "",
       "requests for engines that are held back under load: of services whose routes "
       "have several priorities (auto), of all (on) or of none (off)"},
      {"pace.mode", T::kString, false, "\"auto\"", 1, 16, "",
       "auto: servers that are new, restarted or recovered get a share that grows with their "
       "answers; off: their full share at once"},
      {"placement.lease_voters", T::kStringList, false, "[]", 0, 7, "",
       "names of the placement processes of this zone"},
      {"placement.weight_store", T::kString, false, "\"\"", 0, kMaxText, "",
       "IP:PORT of the weight store, passed to engines with each order"},
      {"drain.grace_ms", T::kInteger, false, "1000", 0, kHourMs, "ms",
       "time for the balancer to see that this host is not ready"},
      {"drain.deadline_ms", T::kInteger, false, "60000", 0, kHourMs, "ms",
       "time for requests in progress to finish after a stop signal"},
      {"limits.memory_mb", T::kInteger, false, "0", 0, 1'000'000, "MB",
       "memory that this process may use; half of it is for connections; 0: that of the machine; "
       "less than 64 counts as 64"},
      {"limits.open_files", T::kInteger, false, "0", 0, 10'000'000, "descriptors",
       "descriptors that this process may open, which bound its connections; 0: by its limit in "
       "the "
       "system"},
      {"log.level", T::kString, false, "\"info\"", 1, 16, "", "debug, info, warning or error"},
  };
  return schema;
}

HostSettings ParseHostSettings(const SourceText& source, std::vector<DocumentIssue>* issues) {
  ParsedDocument document = ParseDocument({source}, HostSettingsSchema());
  if (!document.issues.empty()) {
    *issues = std::move(document.issues);
    return {};
  }
  const nlohmann::json& v = document.values;
  HostSettings settings;
  settings.name = v["host"]["name"];
  settings.region = v["host"]["region"];
  settings.site = v["host"]["site"];
  settings.availability_zone = v["host"]["availability_zone"];
  settings.data_folder = v["host"]["data_folder"];
  settings.http_address = v["http"]["address"];
  settings.http_threads = v["http"]["threads"];
  settings.peer_address = v["peer"]["address"];
  settings.ready_address = v["http"]["ready_address"];
  settings.metrics_address = v["http"]["metrics_address"];
  settings.peer_name = v["peer"]["name"];
  if (settings.peer_name.empty()) settings.peer_name = settings.name;
  settings.peer_advertise = v["peer"]["advertise"];
  settings.seeds = v["peer"]["seeds"].get<std::vector<std::string>>();
  if (const int port = v["peer"]["seed_port"]; port != 0) {
    for (std::string& seed : settings.seeds) {
      seed = IpOf(seed) + ":" + std::to_string(port);
    }
  }
  settings.shared_key = v["peer"]["shared_key"];
  settings.operator_key = v["operator"]["key"];
  settings.control_hosts = v["control"]["hosts"].get<std::vector<std::string>>();
  settings.control_found_from_seeds = v["control"]["found_from_seeds"];
  if (settings.control_found_from_seeds) {
    settings.control_hosts.clear();
    for (const std::string& seed : settings.seeds) {
      settings.control_hosts.push_back(IpOf(seed));
    }
  }
  settings.control_first_start = v["control"]["first_start"];
  settings.control_voters = 2 * v["control"]["tolerated_losses"].get<std::uint32_t>() + 1;
  settings.fleet_address = v["fleet"]["address"];
  settings.key_lease_ms = v["entry"]["key_lease_ms"];
  settings.retry_ratio = v["entry"]["retry_ratio"];
  settings.retry_allowance = v["entry"]["retry_allowance"];
  settings.retry_window_ms = v["entry"]["retry_window_ms"];
  settings.lease_voters = v["placement"]["lease_voters"].get<std::vector<std::string>>();
  settings.weight_store = v["placement"]["weight_store"];
  settings.drain_grace_ms = v["drain"]["grace_ms"];
  settings.drain_deadline_ms = v["drain"]["deadline_ms"];
  CheckAddresses(settings, document, issues);
  settings.memory_mb = v["limits"]["memory_mb"];
  settings.open_files = v["limits"]["open_files"];
  if (const auto mode = ParseEnum<PaceMode>(v["pace"]["mode"].get<std::string>())) {
    settings.pace_mode = *mode;
  } else {
    issues->push_back({source.file, 0, "pace.mode", "must be auto or off"});
  }
  const auto level = ParseEnum<LogLevel>(v["log"]["level"].get<std::string>());
  if (!level) {
    issues->push_back({source.file, 0, "log.level", "must be debug, info, warning or error"});
    return settings;
  }
  settings.log_level = *level;
  const auto admission = ParseEnum<AdmissionMode>(v["admission"]["mode"].get<std::string>());
  if (!admission) {
    issues->push_back({source.file, 0, "admission.mode", "must be auto, on or off"});
    return settings;
  }
  settings.admission = *admission;
  return settings;
}

HostSettings LoadHostSettings(const std::string& path, std::vector<DocumentIssue>* issues) {
  std::ifstream file(path);
  if (!file) {
    issues->push_back({path, 0, "", "cannot read the settings file"});
    return {};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseHostSettings({path, text.str()}, issues);
}

}  // namespace corneltray
