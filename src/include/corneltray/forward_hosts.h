#ifndef CORNELTRAY_FORWARD_HOSTS_H_
#define CORNELTRAY_FORWARD_HOSTS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "corneltray/time.h"

namespace corneltray {

// An entry host that serves requests which others forward.
struct ForwardHost {
  std::string name;
  std::string address;  // IP:PORT at which it takes requests
};

// How long a host may be used after the control processes named it.
constexpr std::chrono::seconds kForwardHostLifetime{10};

// The entry hosts to which this one can forward requests. Of two hosts drawn at random it chooses
// the one with fewer requests of this host, since many hosts may share a few. Not thread safe.
class ForwardHosts {
 public:
  // `self` is the name of this host; `seed` differs between hosts.
  ForwardHosts(std::string self, std::uint64_t seed);

  // Adds hosts that the control processes named. Those that they name no more are used only if no
  // other is left: a new leader knows only some of them.
  void Update(TimePoint now, const std::vector<ForwardHost>& hosts);
  // Avoids a host that failed or refused a request.
  void Avoid(const std::string& address, TimePoint until);
  // Returns a host for a request. `excluded` lists addresses that have failed it.
  std::optional<ForwardHost> Choose(TimePoint now, const std::set<std::string>& excluded);
  bool HasHost(TimePoint now, const std::set<std::string>& excluded) const;
  // Count the start and the end of a request.
  void Begin(const std::string& address);
  void End(const std::string& address);

 private:
  struct Known {
    std::string name;
    TimePoint expires_at{};
    TimePoint avoided_until{};
    bool is_named = true;  // in the last list
    std::uint32_t in_flight = 0;
  };
  using Hosts = std::map<std::string, Known>;  // by address

  std::vector<Hosts::const_iterator> Usable(TimePoint now,
                                            const std::set<std::string>& excluded) const;

  std::string m_self;
  std::mt19937_64 m_random;
  Hosts m_hosts;
};

}  // namespace corneltray

#endif  // CORNELTRAY_FORWARD_HOSTS_H_
