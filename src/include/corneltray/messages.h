#ifndef CORNELTRAY_MESSAGES_H_
#define CORNELTRAY_MESSAGES_H_

#include "corneltray/enum_names.h"

namespace corneltray {

// Types of messages between corneltray processes. See docs/design.md section 6.3.
enum class MessageType {
  kHello,
  kHeartbeat,
  kGossip,
  kReplica,               // one message of the replicated log, body is an encoded ReplicaMessage
  kPropose,               // request: a command for the log
  kReadIndex,             // request: log index of a linearizable read, from the leader
  kHostReports,           // request: what entry hosts reported to the sender, for the leader
  kReadBooking,           // request: state of one key, read through the leader
  kConfigurationFetch,    // request: the document, or a difference from a revision
  kConfigurationChanged,  // push: a new revision is committed
  kRouteTableFetch,       // request: the route table, if it is newer than a version
  kRouteTableChanged,     // push: a route table of this version is committed
  kUpstreamUpdates,       // push: what upstreams have said to the sender
  kUpstreamFetch,      // request: everything the receiver knows of upstreams, and updates from then
  kUpstreamUnfollow,   // push: the sender gets its updates elsewhere
  kUpstreamSuspected,  // push: an upstream does not answer the sender
  kEngineHealth,       // push: what engines answered to the sender
  kPromptCrash,        // push: an upstream crashed when it began an answer to a prompt
  kPromptBegun,        // push: an answer began with prompt parts that are suspected
  kPromptVerdicts,     // push: prompt parts that are suspected, quarantined or sound again
  kPromptTrial,        // request: may one request with a quarantined prompt part be sent
  kControlCall,        // request: a call to the control interface that an entry host passes on
  kControlHostFetch,   // request: addresses of the control processes that the receiver is linked to
  kJoinRequest,        // push: a control process that is no member wants to become one
  kLeaseRequest,       // request: grant or renew the placement lease
  kLeaseRelease,       // push: the holder gives the lease up
  kReply,              // answers a request that succeeded
  kError,              // answers a request that was refused
  kUnknown,            // any type that this version does not know; never sent
};

template <>
struct EnumNames<MessageType> {
  static constexpr EnumName<MessageType> kTable[] = {
      {MessageType::kHello, "hello"},
      {MessageType::kHeartbeat, "heartbeat"},
      {MessageType::kGossip, "gossip"},
      {MessageType::kReplica, "replica"},
      {MessageType::kPropose, "propose"},
      {MessageType::kReadIndex, "read_index"},
      {MessageType::kHostReports, "host_reports"},
      {MessageType::kReadBooking, "read_booking"},
      {MessageType::kConfigurationFetch, "configuration_fetch"},
      {MessageType::kConfigurationChanged, "configuration_changed"},
      {MessageType::kRouteTableFetch, "route_table_fetch"},
      {MessageType::kRouteTableChanged, "route_table_changed"},
      {MessageType::kUpstreamUpdates, "upstream_updates"},
      {MessageType::kUpstreamFetch, "upstream_fetch"},
      {MessageType::kUpstreamUnfollow, "upstream_unfollow"},
      {MessageType::kUpstreamSuspected, "upstream_suspected"},
      {MessageType::kEngineHealth, "engine_health"},
      {MessageType::kPromptCrash, "prompt_crash"},
      {MessageType::kPromptBegun, "prompt_begun"},
      {MessageType::kPromptVerdicts, "prompt_verdicts"},
      {MessageType::kPromptTrial, "prompt_trial"},
      {MessageType::kControlCall, "control_call"},
      {MessageType::kControlHostFetch, "control_host_fetch"},
      {MessageType::kJoinRequest, "join_request"},
      {MessageType::kLeaseRequest, "lease_request"},
      {MessageType::kLeaseRelease, "lease_release"},
      {MessageType::kReply, "reply"},
      {MessageType::kError, "error"},
      {MessageType::kUnknown, "unknown"},
  };
};

}  // namespace corneltray

#endif  // CORNELTRAY_MESSAGES_H_
