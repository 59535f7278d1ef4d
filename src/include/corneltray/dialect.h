#ifndef CORNELTRAY_DIALECT_H_
#define CORNELTRAY_DIALECT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "corneltray/http_head.h"
#include "corneltray/result.h"
#include "corneltray/route_table.h"
#include "corneltray/upstream.h"

namespace corneltray {

// Metadata that a caller sends in the header fields of a request.
struct RequestMetadata {
  std::string request_id;  // identifies the caller's attempt; empty: missing
  std::optional<std::chrono::milliseconds> time_left;  // until the caller times out
  std::string customer_key;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_answer_tokens = 0;
  std::string last_event_id;  // a stream resumes after this event; empty: from the start
  // Identifiers of the parts of the prompt that other requests may hold as well, in their order.
  std::vector<std::string> shared_prompt_parts;
};

// One stage of a pipeline chain: an engine that runs the layers [first, end).
struct ChainStage {
  std::string upstream;  // name
  std::string address;
  std::uint32_t first = 0;
  std::uint32_t end = 0;
};

// Metadata that the gateway adds to the caller's request for one attempt at an upstream.
struct AttemptMetadata {
  std::string upstream;  // the only upstream that may run the request
  std::chrono::milliseconds time_left{0};
  std::string customer;                  // empty: the route is public
  std::vector<ChainStage> chain;         // empty: a single upstream
  std::optional<std::uint32_t> urgency;  // 0 is the highest urgency, 9 the lowest
  std::string last_event_id;             // replaces the caller's; empty: keeps it
};

// Metadata that the gateway replaces in a request that it forwards to another entry host.
struct ForwardMetadata {
  std::chrono::milliseconds time_left{0};
  std::string last_event_id;  // replaces the caller's; empty: keeps it
};

// Metadata in the header fields of a response.
struct ResponseMetadata {
  std::string request_id;     // of the request that it belongs to
  bool is_authentic = false;  // carries the upstream's signature
  bool is_not_run = false;    // the upstream has not run the request and will not run it
  bool is_encoded = false;    // has a content coding, so the body is not the upstream's original
  bool is_leaving = false;    // the upstream is shutting down
  // The upstream refused the request and wants no other one from this host for this time.
  std::optional<std::chrono::milliseconds> retry_after;
  // Requests a second that the upstream takes from all hosts together, for as long as it says so.
  std::optional<double> rate_limit;
  std::string faulty_address;  // failed stage of a chain; empty: not named
  std::optional<LoadReport> load;
  std::optional<std::uint32_t> slots;  // capacity of the upstream, sent with the load
};

// --- Calls to the control processes ---

// An upstream announces its address, state and layers.
struct AnnounceCall {
  Announcement announcement;
};
// An upstream deregisters. Incarnation 0 means that the call names none.
struct LeaveCall {
  std::string upstream;
  std::uint64_t incarnation = 0;
};
struct PutRouteTableCall {
  std::string text;  // stored and returned to readers unchanged
};
struct GetRouteTableCall {};
// A call that is unknown or whose content is invalid.
struct RefusedCall {
  int status = 404;
  std::string reason;
};

using ControlCall =
    std::variant<AnnounceCall, LeaveCall, PutRouteTableCall, GetRouteTableCall, RefusedCall>;

// --- Calls to engines ---

// Orders an engine to hold exactly the layers [first, end).
struct PlacementOrder {
  std::string upstream;  // the only upstream that may accept the order
  std::uint32_t first = 0;
  std::uint32_t end = 0;
  std::uint64_t fence = 0;  // fencing token of the sender
};

// Status report of an engine.
struct EngineReport {
  std::uint64_t orders_taken = 0;
  bool is_busy = false;  // an order is in progress
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double kv_used = 0.0;  // in tokens times layers
  double kv_total = 0.0;
  double slowness = 1.0;                       // above 1: slower than the accelerator's profile
  std::vector<std::string> stalled_addresses;  // stages that block this engine's requests
};

struct EngineRequest {
  HttpHead head;
  std::string body;
};

// Translates between the protocol of an installation (header names, formats and calls) and the
// types of corneltray. Makes no routing decisions. Thread safe.
class Dialect {
 public:
  virtual ~Dialect() = default;

  virtual RequestMetadata ReadRequest(const HttpHead& head) const = 0;
  // Turns the caller's head into the head of an attempt: removes the customer's key and sets the
  // fields of the attempt.
  virtual void WriteAttempt(const AttemptMetadata& metadata, HttpHead* head) const = 0;
  // Turns the caller's head into that of a request to another entry host, which gets the customer's
  // key as well.
  virtual void WriteForward(const ForwardMetadata& metadata, HttpHead* head) const = 0;
  virtual ResponseMetadata ReadResponse(const HttpHead& head) const = 0;

  // Path of the readiness check of the load balancer.
  virtual std::string_view ReadinessPath() const = 0;

  virtual Result<RouteTable> ReadRouteTable(const std::string& text) const = 0;
  virtual ControlCall ReadControlCall(const HttpHead& head, const std::string& body) const = 0;

  virtual EngineRequest WritePlacementOrder(const PlacementOrder& order) const = 0;
  virtual EngineRequest WriteReportRequest() const = 0;
  virtual Result<EngineReport> ReadReport(const std::string& body) const = 0;
};

// Decompresses and parses a route table from the replicated log. Fails with CompressionErrc or
// RouteTableErrc.
Result<RouteTable> ReadCompressedRouteTable(const Dialect& dialect, const std::string& bytes);

}  // namespace corneltray

#endif  // CORNELTRAY_DIALECT_H_
