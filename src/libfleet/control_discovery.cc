#include "corneltray/control_discovery.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "corneltray/address.h"
#include "corneltray/control_client.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kQueryTimeout{1000};

json EncodeControlHosts(const std::vector<PeerStatus>& control_processes) {
  json addresses = json::array();
  for (const PeerStatus& process : control_processes) addresses.push_back(process.address);
  return {{"addresses", std::move(addresses)}};
}

// Skips entries that are not addresses, since the other entries may still be usable.
std::vector<std::string> DecodeControlHosts(const json& body) {
  std::vector<std::string> addresses;
  const auto list = body.find("addresses");
  if (list == body.end() || !list->is_array()) return addresses;
  for (const json& entry : *list) {
    if (!entry.is_string()) continue;
    const std::string address = entry.get<std::string>();
    if (!PortOf(address).empty()) addresses.push_back(address);
  }
  return addresses;
}

}  // namespace

ControlDiscovery::ControlDiscovery(asio::io_context* io, PeerNode* node,
                                   const std::string& own_host, AddressHandler on_address)
    : m_io(io), m_node(node), m_schedule(own_host), m_on_address(std::move(on_address)) {}

void ControlDiscovery::Register() {
  m_node->SetRequestHandler(
      MessageType::kControlHostFetch,
      [this](const PeerIdentity&, const json&, const PeerNode::Responder& respond) {
        respond(EncodeControlHosts(m_node->ConnectedPeers(kControlProgram)));
      });
}

void ControlDiscovery::Query(TimePoint now) {
  if (!m_schedule.IsDue(now)) return;
  std::vector<std::string> linked;
  for (const PeerStatus& peer : m_node->Peers()) {
    if (peer.connected) linked.push_back(peer.identity.host);
  }
  if (const auto host = m_schedule.Next(now, std::move(linked))) QueryHost(*host);
}

void ControlDiscovery::QueryHost(const std::string& host) {
  m_node->Request(
      host, MessageType::kControlHostFetch, json::object(), Clock::now() + kQueryTimeout,
      [this, host](const Result<json>& reply) {
        if (!reply) {
          LogEvent(LogLevel::kWarning, "control_hosts_unknown",
                   {{"asked", host}, {"reason", reply.error().ToString()}});
          return;
        }
        const std::vector<std::string> found = DecodeControlHosts(reply.value());
        LogEvent(LogLevel::kInfo, "control_hosts_told", {{"by", host}, {"addresses", found}});
        asio::post(*m_io, [this, found] {
          for (const std::string& address : found) m_on_address(address);
        });
      });
}

}  // namespace corneltray
