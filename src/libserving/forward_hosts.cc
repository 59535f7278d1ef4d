#include "corneltray/forward_hosts.h"

#include <algorithm>
#include <utility>

namespace corneltray {

ForwardHosts::ForwardHosts(std::string self, std::uint64_t seed)
    : m_self(std::move(self)), m_random(seed) {}

void ForwardHosts::Update(TimePoint now, const std::vector<ForwardHost>& hosts) {
  if (!hosts.empty()) {
    for (auto& [address, known] : m_hosts) known.is_named = false;
  }
  for (const ForwardHost& host : hosts) {
    if (host.name == m_self) continue;
    Known& known = m_hosts[host.address];
    known.name = host.name;
    known.is_named = true;
    known.expires_at = now + kForwardHostLifetime;
  }
  for (auto it = m_hosts.begin(); it != m_hosts.end();) {
    const bool is_unused = now >= it->second.expires_at && it->second.in_flight == 0;
    it = is_unused ? m_hosts.erase(it) : std::next(it);
  }
}

void ForwardHosts::Avoid(const std::string& address, TimePoint until) {
  const auto host = m_hosts.find(address);
  if (host != m_hosts.end()) host->second.avoided_until = until;
}

// Others than the preferred ones count only if there is none of those.
std::vector<ForwardHosts::Hosts::const_iterator> ForwardHosts::Usable(
    TimePoint now, const std::set<std::string>& excluded) const {
  std::vector<Hosts::const_iterator> preferred;
  std::vector<Hosts::const_iterator> others;
  for (auto it = m_hosts.begin(); it != m_hosts.end(); ++it) {
    const Known& host = it->second;
    if (now >= host.expires_at || excluded.count(it->first) > 0) continue;
    const bool is_preferred = host.is_named && now >= host.avoided_until;
    (is_preferred ? preferred : others).push_back(it);
  }
  return preferred.empty() ? others : preferred;
}

std::optional<ForwardHost> ForwardHosts::Choose(TimePoint now,
                                                const std::set<std::string>& excluded) {
  const auto usable = Usable(now, excluded);
  if (usable.empty()) return std::nullopt;
  std::uniform_int_distribution<std::size_t> draw(0, usable.size() - 1);
  const auto first = usable[draw(m_random)];
  const auto second = usable[draw(m_random)];
  const auto chosen = second->second.in_flight < first->second.in_flight ? second : first;
  return ForwardHost{chosen->second.name, chosen->first};
}

bool ForwardHosts::HasHost(TimePoint now, const std::set<std::string>& excluded) const {
  return !Usable(now, excluded).empty();
}

void ForwardHosts::Begin(const std::string& address) {
  const auto host = m_hosts.find(address);
  if (host != m_hosts.end()) ++host->second.in_flight;
}

void ForwardHosts::End(const std::string& address) {
  const auto host = m_hosts.find(address);
  if (host != m_hosts.end() && host->second.in_flight > 0) --host->second.in_flight;
}

}  // namespace corneltray
