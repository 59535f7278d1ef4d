#include "corneltray/control_links.h"

#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "corneltray/control_client.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kFetchTimeout{2000};

}  // namespace

ControlLinks::ControlLinks(asio::io_context* io, PeerNode* node, UpdateHandler on_updates)
    : m_io(io), m_node(node), m_on_updates(std::move(on_updates)) {}

void ControlLinks::Check() {
  for (const PeerStatus& peer : m_node->Peers()) {
    if (peer.identity.program != kControlProgram) continue;
    const std::string& host = peer.identity.host;
    if (!peer.connected) {
      if (m_links.erase(host) == 0) continue;
      LogEvent(LogLevel::kWarning, "control_link_lost", {{"control_host", host}});
      continue;
    }
    Link& link = m_links[host];
    if (link.incarnation != peer.identity.incarnation) {
      link = {peer.identity.incarnation, peer.identity.availability_zone, false};
      LogEvent(LogLevel::kInfo, "control_link_up",
               {{"control_host", host}, {"incarnation", link.incarnation}});
    }
    if (!std::exchange(link.is_fetch_started, true)) Fetch(host);
  }
}

std::vector<ControlCandidate> ControlLinks::Candidates(const std::string& availability_zone) const {
  std::vector<ControlCandidate> candidates;
  candidates.reserve(m_links.size());
  for (const auto& [host, link] : m_links) {
    candidates.push_back({host, link.availability_zone == availability_zone});
  }
  return candidates;
}

void ControlLinks::Broadcast(MessageType type, const json& body) const {
  std::vector<std::string> hosts;
  hosts.reserve(m_links.size());
  for (const auto& [host, link] : m_links) hosts.push_back(host);
  m_node->Broadcast(std::move(hosts), type, body);
}

void ControlLinks::FetchAgain(const std::string& host) {
  const auto link = m_links.find(host);
  if (link != m_links.end()) link->second.is_fetch_started = false;
}

void ControlLinks::Fetch(const std::string& host) {
  m_node->Request(host, MessageType::kUpstreamFetch, json::object(), Clock::now() + kFetchTimeout,
                  [this, host](const Result<json>& reply) {
                    auto updates = reply ? DecodeUpstreamUpdates(reply.value())
                                         : Result<UpstreamUpdates>(reply.error());
                    asio::post(*m_io, [this, host, updates] {
                      if (updates) return m_on_updates(host, updates.value());
                      LogEvent(LogLevel::kWarning, "upstream_fetch_failed",
                               {{"control_host", host}, {"reason", updates.error().ToString()}});
                      FetchAgain(host);
                    });
                  });
}

}  // namespace corneltray
