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

constexpr std::chrono::milliseconds kQueryInterval{500};
constexpr std::chrono::milliseconds kQueryTimeout{1000};

json EncodeControlHosts(const std::vector<PeerStatus>& peers) {
  json addresses = json::array();
  for (const PeerStatus& peer : peers) {
    const bool is_control = peer.connected && peer.identity.program == kControlProgram;
    if (is_control) addresses.push_back(peer.address);
  }
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

ControlDiscovery::ControlDiscovery(asio::io_context* io, PeerNode* node, AddressHandler on_address)
    : m_io(io), m_node(node), m_on_address(std::move(on_address)) {}

void ControlDiscovery::Register() {
  m_node->SetRequestHandler(
      MessageType::kControlHostFetch,
      [this](const PeerIdentity&, const json&, const PeerNode::Responder& respond) {
        respond(EncodeControlHosts(m_node->Peers()));
      });
}

void ControlDiscovery::Query(TimePoint now) {
  if (now < m_next_query) return;
  m_next_query = now + kQueryInterval;
  for (const PeerStatus& peer : m_node->Peers()) {
    if (peer.connected) QueryHost(peer.identity.host);
  }
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
