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

// Text of a route table, as operators send it.
constexpr std::size_t kMaxRouteTableBytes = std::size_t{8} * 1024 * 1024;

// What may be done again with the calls of a route.
enum class CallKind {
  kIdempotent,     // may run any number of times
  kNonIdempotent,  // runs at most once
  kStream,         // a generation, answered by a series of numbered events
};

template <>
struct EnumNames<CallKind> {
  static constexpr EnumName<CallKind> kTable[] = {
      {CallKind::kIdempotent, "idempotent"},
      {CallKind::kNonIdempotent, "non_idempotent"},
      {CallKind::kStream, "stream"},
  };
};

// One of the services between which a route divides its calls.
struct RouteTarget {
  std::string service;
  std::uint32_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;    // of the request, without a port
  std::string prefix;  // of the path; begins and ends with a slash
  CallKind kind = CallKind::kIdempotent;
  std::chrono::milliseconds timeout{0};
  std::chrono::milliseconds objective{0};      // within which an answer has its full worth
  std::chrono::milliseconds gap_objective{0};  // longest pause between events that is in time
  std::uint32_t priority = 0;                  // 0 is the highest
  std::uint32_t max_upstreams = 1;             // that one request may be sent to
  bool is_public = false;                      // needs no customer key
  bool is_resumable = false;                   // a stream may go on at another upstream
  std::vector<RouteTarget> targets;
};

// A kind of accelerator that engines of a service run on.
struct AcceleratorKind {
  std::string name;
  double memory_mb = 0.0;
  double step_factor = 1.0;  // of the time of a step, against the profile
  double read_factor = 1.0;  // of the time to read a prompt, against the profile
};

// How the engines of a service work; times are those of the whole model on an accelerator with
// factors of 1.
struct EngineProfile {
  std::uint32_t layers = 0;
  double layer_mb = 0.0;
  std::uint32_t slots = 0;          // requests at once at the first stage of a chain
  double kv_token_bytes = 0.0;      // of all layers
  double kv_capacity_tokens = 0.0;  // that a whole copy of the model is meant to hold
  double step_ms = 0.0;
  double step_ms_per_request = 0.0;
  double read_tokens_per_s = 0.0;
  double tokens_per_event = 1.0;  // of a stream
  double usual_prompt_tokens = 0.0;
  double usual_answer_tokens = 0.0;
  double load_s = 0.0;            // of the whole model
  double activation_bytes = 0.0;  // of one token between two stages
  double pipe_mbps = 0.0;         // that transfers between two zones share
  std::uint32_t loads_at_once = 0;
  std::string model;
  std::map<std::string, AcceleratorKind> accelerators;  // by name
};

struct RouteService {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;  // to one upstream, of all hosts together
  std::optional<EngineProfile> engine;
};

struct CallerLimits {
  std::size_t max_head_bytes = 0;
  std::size_t max_body_bytes = 0;
  std::chrono::milliseconds head_timeout{0};
  std::chrono::milliseconds idle_timeout{0};
};

struct RouteCustomer {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::uint32_t> priority;  // goes before that of the route
};

// A complete configuration of what callers may reach. The highest version is in force. A value
// type: a process replaces it as a whole.
struct RouteTable {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, RouteService> services;
  std::vector<RouteCustomer> customers;
  CallerLimits limits;
};

enum class RouteTableErrc {
  kMalformed = 1,  // cannot be read in full
  kUnknownService,
  kDuplicateRoute,  // two routes of one host and prefix
  kNoWeight,        // the weights of a route add up to 0
  kNoTimeout,
  kSharedKey,  // two customers have the same key
};

std::error_code make_error_code(RouteTableErrc errc);

// Checks what every table must keep. The detail of an error names the route, service or customer.
Status ValidateRouteTable(const RouteTable& table);

// Finds routes and customers. Immutable; shared between requests that began under one version.
class RouteIndex {
 public:
  explicit RouteIndex(RouteTable table);

  const RouteTable& Table() const { return m_table; }
  // Returns the route of this host with the longest prefix of the path, or null.
  const Route* FindRoute(std::string_view host, std::string_view path) const;
  // Returns the customer that holds a key, or null.
  const RouteCustomer* FindCustomer(const std::string& key) const;
  const RouteService* FindService(const std::string& name) const;
  bool HasCustomers() const { return !m_table.customers.empty(); }

 private:
  RouteTable m_table;
  // By host and prefix, joined.
  std::unordered_map<std::string, const Route*> m_routes;
  std::unordered_map<std::string, const RouteCustomer*> m_customers;
};

// Returns the service that a request goes to: each target gets its share of the requests, and
// the same request id always gets the same target.
const std::string& ChooseTarget(const Route& route, std::string_view request_id);

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::RouteTableErrc> : std::true_type {};

#endif  // CORNELTRAY_ROUTE_TABLE_H_
