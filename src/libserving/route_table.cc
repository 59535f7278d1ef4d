#include "corneltray/route_table.h"

#include <xxhash.h>

#include <numeric>
#include <set>
#include <utility>

namespace corneltray {
namespace {

class RouteTableCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "corneltray.route_table"; }
  std::string message(int value) const override {
    switch (static_cast<RouteTableErrc>(value)) {
      case RouteTableErrc::kMalformed:
        return "the route table cannot be read";
      case RouteTableErrc::kUnknownService:
        return "a route names an unknown service";
      case RouteTableErrc::kDuplicateRoute:
        return "two routes have the same host and prefix";
      case RouteTableErrc::kNoWeight:
        return "the weights of a route add up to 0";
      case RouteTableErrc::kNoTimeout:
        return "the timeout of a route is 0";
      case RouteTableErrc::kSharedKey:
        return "two customers share a key";
    }
    return "unknown error of the route table";
  }
};

std::uint64_t TotalWeight(const RouteEntry& route) {
  return std::accumulate(
      route.targets.begin(), route.targets.end(), std::uint64_t{0},
      [](std::uint64_t sum, const RouteTarget& target) { return sum + target.weight; });
}

// Separates host and path in the key of a route; it occurs in neither.
constexpr char kRouteKeySeparator = '\n';

std::string RouteKey(std::string_view host, std::string_view path) {
  std::string key(host);
  key += kRouteKeySeparator;
  key += path;
  return key;
}

std::string WithoutPort(std::string_view host) {
  return std::string(host.substr(0, host.find(':')));
}

}  // namespace

std::error_code make_error_code(RouteTableErrc errc) {
  static const RouteTableCategory category;
  return {static_cast<int>(errc), category};
}

Status ValidateRouteTable(const RouteTable& table) {
  std::set<std::string> route_keys;
  for (const RouteEntry& route : table.routes) {
    if (!route_keys.insert(RouteKey(route.host, route.prefix)).second) {
      return Error{RouteTableErrc::kDuplicateRoute, route.name};
    }
    if (route.timeout <= std::chrono::milliseconds(0)) {
      return Error{RouteTableErrc::kNoTimeout, route.name};
    }
    for (const RouteTarget& target : route.targets) {
      if (table.services.count(target.service) == 0) {
        return Error{RouteTableErrc::kUnknownService, route.name + ": " + target.service};
      }
    }
    if (TotalWeight(route) == 0) return Error{RouteTableErrc::kNoWeight, route.name};
  }
  std::map<std::string, std::string> owners;
  for (const RouteCustomer& customer : table.customers) {
    for (const std::string& key : customer.keys) {
      const auto [owner, is_new] = owners.emplace(key, customer.name);
      if (!is_new) {
        return Error{RouteTableErrc::kSharedKey, customer.name + " and " + owner->second};
      }
    }
  }
  return {};
}

RouteIndex::RouteIndex(RouteTable table) : m_table(std::move(table)) {
  for (const RouteEntry& route : m_table.routes) {
    m_routes[RouteKey(route.host, route.prefix)] = &route;
  }
  for (const RouteCustomer& customer : m_table.customers) {
    for (const std::string& key : customer.keys) m_customers[key] = &customer;
  }
}

const RouteEntry* RouteIndex::FindRoute(std::string_view host, std::string_view path) const {
  const std::string name = WithoutPort(host);
  const std::size_t path_at = name.size() + 1;
  std::string key = RouteKey(name, path.substr(0, path.find('?')));
  // Prefixes end with a slash, so only the parts of the path up to a slash are tried, longest
  // first.
  std::size_t slash = key.rfind('/');
  while (slash != std::string::npos && slash >= path_at) {
    key.resize(slash + 1);
    const auto found = m_routes.find(key);
    if (found != m_routes.end()) return found->second;
    slash = key.rfind('/', slash - 1);
  }
  return nullptr;
}

const RouteCustomer* RouteIndex::FindCustomer(const std::string& key) const {
  if (key.empty()) return nullptr;
  const auto found = m_customers.find(key);
  return found == m_customers.end() ? nullptr : found->second;
}

const RouteService* RouteIndex::FindService(const std::string& name) const {
  const auto found = m_table.services.find(name);
  return found == m_table.services.end() ? nullptr : &found->second;
}

const std::string& ChooseTarget(const RouteEntry& route, std::string_view request_id) {
  const std::uint64_t hash = XXH64(request_id.data(), request_id.size(), 0);
  std::uint64_t remaining = hash % TotalWeight(route);
  for (const RouteTarget& target : route.targets) {
    if (remaining < target.weight) return target.service;
    remaining -= target.weight;
  }
  return route.targets.back().service;
}

}  // namespace corneltray
