#ifndef CORNELTRAY_ROUTE_TABLE_H_
#define CORNELTRAY_ROUTE_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "corneltray/enum_names.h"
#include "corneltray/result.h"

namespace corneltray {

// Maximum size of the text of a route table submitted by an operator.
constexpr std::size_t kMaxRouteTableBytes = std::size_t{8} * 1024 * 1024;

// Whether the calls of a route may be executed again.
enum class CallKind {
  kIdempotent,     // may be executed any number of times
  kNonIdempotent,  // is executed at most once
  kStream,         // a generation, whose response is a stream of numbered events
};

template <>
struct EnumNames<CallKind> {
  static constexpr EnumName<CallKind> kTable[] = {
      {CallKind::kIdempotent, "idempotent"},
      {CallKind::kNonIdempotent, "non_idempotent"},
      {CallKind::kStream, "stream"},
  };
};

// One of the services among which a route distributes its calls.
struct RouteTarget {
  std::string service;
  std::uint32_t weight = 1;
};

struct RouteEntry {
  std::string name;
  std::string host;    // of the request, without the port
  std::string prefix;  // of the path; begins and ends with a slash
  CallKind kind = CallKind::kIdempotent;
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds objective{0};      // response time for full value
  std::chrono::milliseconds gap_objective{0};  // longest acceptable interval between events
  std::uint32_t priority = 0;                  // 0 is the highest
  std::uint32_t max_upstreams = 1;             // to which one request may be sent
  bool is_public = false;                      // requires no customer key
  bool is_resumable = false;                   // a stream may be resumed at another upstream
  std::vector<RouteTarget> targets;
};

// A type of accelerator on which engines of a service run.
struct AcceleratorKind {
  std::string name;
  double memory_mb = 0.0;
  double step_factor = 1.0;  // duration of a decode step relative to the profile
  double read_factor = 1.0;  // duration of prompt processing relative to the profile
};

// Performance model of the engines of a service. Times are for the whole model on an accelerator
// whose factors are 1.
struct EngineProfile {
  std::uint32_t layers = 0;
  double layer_mb = 0.0;
  std::uint32_t slots = 0;          // concurrent requests at the first stage of a chain
  double kv_token_bytes = 0.0;      // KV cache of one token in all layers
  double kv_capacity_tokens = 0.0;  // intended KV cache capacity of one copy of the model
  double step_ms = 0.0;             // duration of a decode step
  double step_ms_per_request = 0.0;
  double read_tokens_per_s = 0.0;  // prompt processing (prefill) rate
  double tokens_per_event = 1.0;   // of a stream
  double usual_prompt_tokens = 0.0;
  double usual_answer_tokens = 0.0;
  double load_s = 0.0;              // time to load the whole model
  double activation_bytes = 0.0;    // of one token between two stages
  double pipe_mbps = 0.0;           // bandwidth shared by transfers between two zones
  std::uint32_t loads_at_once = 0;  // maximum number of concurrent model loads
  std::string model;
  std::map<std::string, AcceleratorKind> accelerators;  // by name
};

struct RouteService {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;  // to one upstream, over all hosts
  std::optional<EngineProfile> engine;
};

struct CallerLimits {
  std::size_t max_head_bytes = 0;
  std::size_t max_body_bytes = 0;
  std::chrono::milliseconds head_timeout{0};
  std::chrono::milliseconds idle_timeout{0};
};

// Who may call the routes that are not public.
enum class RouteAccess {
  kCustomers,  // callers with a key of a customer; without any customer nobody
  kEveryone,   // the installation has no customers, so keys are not checked
};

template <>
struct EnumNames<RouteAccess> {
  static constexpr EnumName<RouteAccess> kTable[] = {
      {RouteAccess::kCustomers, "customers"},
      {RouteAccess::kEveryone, "everyone"},
  };
};

struct RouteCustomer {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;  // overrides that of the route
};

// The complete routing configuration. The highest version is in force. A value type that a process
// always replaces as a whole.
struct RouteTable {
  std::uint64_t version = 0;
  std::vector<RouteEntry> routes;
  std::map<std::string, RouteService> services;
  // Stated by the table. An empty list of customers must not open the routes: it is what is left
  // when the last customer is removed.
  RouteAccess access = RouteAccess::kCustomers;
  std::vector<RouteCustomer> customers;
  CallerLimits limits;
};

enum class RouteTableErrc {
  kMalformed = 1,  // cannot be parsed completely
  kUnknownService,
  kDuplicateRoute,  // two routes have the same host and prefix
  kNoWeight,        // the weights of a route add up to 0
  kNoTimeout,
  kSharedKey,  // two customers have the same key
};

std::error_code make_error_code(RouteTableErrc errc);

// Checks the constraints on a route table. The detail of an error names the route, service or
// customer concerned.
Status ValidateRouteTable(const RouteTable& table);

// Lookup of routes and customers. Immutable; shared by the requests that began under one version.
class RouteIndex {
 public:
  explicit RouteIndex(RouteTable table);

  const RouteTable& Table() const { return m_table; }
  // Returns the route of this host whose prefix is the longest match for the path, or null.
  const RouteEntry* FindRoute(std::string_view host, std::string_view path) const;
  // Returns the customer that owns a key, or null. A request without a key has no customer.
  const RouteCustomer* FindCustomer(const std::string& key) const;
  const RouteService* FindService(const std::string& name) const;
  // Whether a request on this route needs the key of a customer.
  bool RequiresKey(const RouteEntry& route) const { return RequiresKeys() && !route.is_public; }
  // Whether routes that are not public need the key of a customer.
  bool RequiresKeys() const { return m_table.access == RouteAccess::kCustomers; }

 private:
  RouteTable m_table;
  // Keyed by the combined host and prefix.
  std::unordered_map<std::string, const RouteEntry*> m_routes;
  std::unordered_map<std::string, const RouteCustomer*> m_customers;
};

// Returns the service for a request. Requests are distributed over the targets by weight, and the
// same request id always maps to the same target.
const std::string& ChooseTarget(const RouteEntry& route, std::string_view request_id);

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::RouteTableErrc> : std::true_type {};

#endif  // CORNELTRAY_ROUTE_TABLE_H_
