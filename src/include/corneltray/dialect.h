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

// What a request says in its fields, apart from method, target and body.
struct RequestMetadata {
  std::string request_id;  // of this attempt of the caller; empty: none was given
  std::optional<std::chrono::milliseconds> time_left;  // that the caller will wait
  std::string customer_key;
  std::uint32_t prompt_tokens = 0;
  std::uint32_t max_answer_tokens = 0;
  std::string last_event_id;  // a stream goes on after this event; empty: from its start
};

// One stage of a chain: an engine and the layers from `first` up to `end` that it runs.
struct ChainStage {
  std::string upstream;  // name
  std::string address;
  std::uint32_t first = 0;
  std::uint32_t end = 0;
};

// What an attempt at an upstream says beyond the caller's own fields.
struct AttemptMetadata {
  std::string upstream;  // the only one that may run it
  std::chrono::milliseconds time_left{0};
  std::string customer;                  // empty: the route needs none
  std::vector<ChainStage> chain;         // empty: the upstream alone
  std::optional<std::uint32_t> urgency;  // 0 goes first, 9 last
  std::string last_event_id;             // replaces the caller's; empty: leaves it
};

// What the head of an answer says beyond its status.
struct ResponseMetadata {
  std::string request_id;      // that it answers
  bool is_authentic = false;   // carries the upstream's own mark
  bool is_not_run = false;     // the upstream did not run the request and will not
  bool is_encoded = false;     // the body is not the one that the upstream made
  std::string faulty_address;  // stage at fault in a chain; empty: none named
  std::optional<LoadReport> load;
  std::optional<std::uint32_t> slots;  // of the upstream, told together with the load
};

// --- Calls to the control processes ---

// An upstream says what it is and does.
struct AnnounceCall {
  Announcement announcement;
};
// An upstream leaves. Zero: it does not say which incarnation.
struct LeaveCall {
  std::string upstream;
  std::uint64_t incarnation = 0;
};
struct PutRouteTableCall {
  std::string text;  // as sent, which is also what a reader gets
};
struct GetRouteTableCall {};
// A call that this interface does not have, or whose content cannot be read.
struct RefusedCall {
  int status = 404;
  std::string reason;
};

using ControlCall =
    std::variant<AnnounceCall, LeaveCall, PutRouteTableCall, GetRouteTableCall, RefusedCall>;

// --- Calls to engines ---

// Tells an engine to hold the layers from `first` up to `end` and no others.
struct PlacementOrder {
  std::string upstream;  // the only one that may take the order
  std::uint32_t first = 0;
  std::uint32_t end = 0;
  std::uint64_t fence = 0;  // fencing number of the sender
};

// What an engine says of itself when asked.
struct EngineReport {
  std::uint64_t orders_taken = 0;
  bool is_busy = false;  // an order is being carried out
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  double kv_used = 0.0;  // tokens times layers
  double kv_total = 0.0;
  double slowness = 1.0;                       // over 1: slower than its kind
  std::vector<std::string> stalled_addresses;  // stages that requests of this engine wait for
};

struct EngineRequest {
  HttpHead head;
  std::string body;
};

// Translates between what an installation speaks and the types of corneltray: names, formats and
// calls. Decides nothing. Thread safe.
class Dialect {
 public:
  virtual ~Dialect() = default;

  virtual RequestMetadata ReadRequest(const HttpHead& head) const = 0;
  // Turns the caller's head into that of an attempt: takes off the key, sets the attempt's fields.
  virtual void WriteAttempt(const AttemptMetadata& metadata, HttpHead* head) const = 0;
  virtual ResponseMetadata ReadResponse(const HttpHead& head) const = 0;

  // Path at which the balancer asks whether a host is ready.
  virtual std::string_view ReadinessPath() const = 0;

  virtual Result<RouteTable> ReadRouteTable(const std::string& text) const = 0;
  virtual ControlCall ReadControlCall(const HttpHead& head, const std::string& body) const = 0;

  virtual EngineRequest WritePlacementOrder(const PlacementOrder& order) const = 0;
  virtual EngineRequest WriteReportRequest() const = 0;
  virtual Result<EngineReport> ReadReport(const std::string& body) const = 0;
};

// Decompresses and reads the text of a route table from the log. Fails with CompressionErrc or
// RouteTableErrc.
Result<RouteTable> ReadCompressedRouteTable(const Dialect& dialect, const std::string& bytes);

}  // namespace corneltray

#endif  // CORNELTRAY_DIALECT_H_
