#include "corneltray/forward_report.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

#include "corneltray/control_messages.h"

namespace corneltray {

using nlohmann::json;

void ForwardHostTable::Store(TimePoint now, const std::string& host, const ForwardReport& report) {
  m_hosts[host] = {report, now + kForwardReportLifetime};
  for (auto it = m_hosts.begin(); it != m_hosts.end();) {
    it = now >= it->second.expires_at ? m_hosts.erase(it) : std::next(it);
  }
}

std::vector<ForwardHost> ForwardHostTable::List(TimePoint now, const std::string& asking,
                                                std::size_t max_hosts) const {
  std::vector<std::pair<std::size_t, ForwardHost>> ranked;
  for (const auto& [name, entry] : m_hosts) {
    const bool serves = entry.report.state == ForwardState::kServing;
    if (!serves || entry.report.address.empty() || now >= entry.expires_at) continue;
    ranked.push_back({std::hash<std::string>()(asking + " " + name), {name, entry.report.address}});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first < b.first; });
  if (ranked.size() > max_hosts) ranked.resize(max_hosts);
  std::vector<ForwardHost> hosts;
  hosts.reserve(ranked.size());
  for (auto& [rank, host] : ranked) hosts.push_back(std::move(host));
  return hosts;
}

json EncodeForwardReport(const ForwardReport& report) {
  return {{"address", report.address}, {"state", NameOf(report.state)}};
}

Result<ForwardReport> DecodeForwardReport(const json& body) {
  try {
    const auto state = ParseEnum<ForwardState>(body.at("state").get<std::string>());
    if (!state) return Error{ControlMessageErrc::kMalformed, "unknown state of a host"};
    return ForwardReport{body.at("address").get<std::string>(), *state};
  } catch (const json::exception& error) {
    return Error{ControlMessageErrc::kMalformed, error.what()};
  }
}

json EncodeForwardHosts(const std::vector<ForwardHost>& hosts) {
  json list = json::array();
  for (const ForwardHost& host : hosts) list.push_back({host.name, host.address});
  return list;
}

Result<std::vector<ForwardHost>> DecodeForwardHosts(const json& body) {
  try {
    std::vector<ForwardHost> hosts;
    for (const json& host : body) {
      hosts.push_back({host.at(0).get<std::string>(), host.at(1).get<std::string>()});
    }
    return hosts;
  } catch (const json::exception& error) {
    return Error{ControlMessageErrc::kMalformed, error.what()};
  }
}

}  // namespace corneltray
