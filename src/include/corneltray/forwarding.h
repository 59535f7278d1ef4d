#ifndef CORNELTRAY_FORWARDING_H_
#define CORNELTRAY_FORWARDING_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "corneltray/http_head.h"

namespace corneltray {

// An entry host that reaches no upstream forwards requests to another entry host. Both add one
// field to the messages between them, which no caller and no upstream sees.

// What the host that forwards a request says about it.
struct ForwardedRequest {
  std::string host;                 // that forwards it
  std::uint64_t route_version = 0;  // of the table by which that host has admitted it
  std::uint32_t max_upstreams = 1;  // at which it may still run
};

// What the host that serves a forwarded request says with its answer.
struct ForwardedAnswer {
  std::uint32_t attempts = 0;     // that it has sent to upstreams
  std::string upstream;           // that gave the answer; empty: the host itself
  std::uint64_t incarnation = 0;  // of the upstream
};

// Adds the field of a forwarded request, which is signed with the key that all hosts share.
void WriteForwardedRequest(std::string_view shared_key, const std::string& request_id,
                           const ForwardedRequest& request, HttpHead* head);
// Removes the field. Returns nothing if there is none, or if no host of the region has written it.
std::optional<ForwardedRequest> TakeForwardedRequest(std::string_view shared_key,
                                                     const std::string& request_id, HttpHead* head);

void WriteForwardedAnswer(const ForwardedAnswer& answer, HttpHead* head);
// Removes the field. Returns nothing without one, as from a host that does not know of forwarding.
std::optional<ForwardedAnswer> TakeForwardedAnswer(HttpHead* head);

}  // namespace corneltray

#endif  // CORNELTRAY_FORWARDING_H_
