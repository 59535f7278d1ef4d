#ifndef CORNELTRAY_CONTROL_MESSAGES_H_
#define CORNELTRAY_CONTROL_MESSAGES_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <system_error>

#include "corneltray/result.h"

namespace corneltray {

enum class ControlMessageErrc {
  kMalformed = 1,
};

std::error_code make_error_code(ControlMessageErrc errc);

// An unparsed call to the control interface. Body of a control_call message.
struct ControlRequest {
  std::string method;
  std::string target;
  std::string body;
};

// The response to such a call. Body of the reply to control_call.
struct ControlResponse {
  int status = 0;
  std::string body = "{}";
};

// Returns a response with an error description as its JSON body.
ControlResponse MakeControlError(int status, const std::string& text);

nlohmann::json EncodeControlRequest(const ControlRequest& request);
// Fails with kMalformed or a CompressionErrc.
Result<ControlRequest> DecodeControlRequest(const nlohmann::json& message);

nlohmann::json EncodeControlResponse(const ControlResponse& response);
// Fails with kMalformed or a CompressionErrc.
Result<ControlResponse> DecodeControlResponse(const nlohmann::json& message);

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::ControlMessageErrc> : std::true_type {};

#endif  // CORNELTRAY_CONTROL_MESSAGES_H_
