#include "corneltray/control_messages.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "corneltray/compression.h"
#include "corneltray/route_table.h"

namespace corneltray {
namespace {

using nlohmann::json;

// Larger bodies are compressed, since the size of a frame between processes is limited and a route
// table with thousands of routes comes close to the limit.
constexpr std::size_t kCompressAboveBytes = std::size_t{64} * 1024;
constexpr int kLowestStatus = 200;
constexpr int kHighestStatus = 599;

class ControlMessageCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "corneltray.control_message"; }
  std::string message(int) const override { return "malformed call to the control interface"; }
};

void WriteBody(const std::string& body, json* message) {
  const bool is_compressed = body.size() > kCompressAboveBytes;
  const std::string bytes = is_compressed ? Compress(body) : body;
  (*message)["is_compressed"] = is_compressed;
  (*message)["body"] = json::binary({bytes.begin(), bytes.end()});
}

Result<std::string> ReadBody(const json& message) {
  const auto& bytes = message.at("body").get_binary();
  std::string body(bytes.begin(), bytes.end());
  if (message.at("is_compressed").get<bool>()) return Decompress(body, kMaxRouteTableBytes);
  return body;
}

}  // namespace

std::error_code make_error_code(ControlMessageErrc errc) {
  static const ControlMessageCategory category;
  return {static_cast<int>(errc), category};
}

ControlResponse MakeControlError(int status, const std::string& text) {
  return {status, json{{"error", text}}.dump(-1, ' ', false, json::error_handler_t::replace)};
}

json EncodeControlRequest(const ControlRequest& request) {
  json message = {{"method", request.method}, {"target", request.target}};
  WriteBody(request.body, &message);
  return message;
}

Result<ControlRequest> DecodeControlRequest(const json& message) {
  try {
    auto body = ReadBody(message);
    if (!body) return body.error();
    return ControlRequest{message.at("method").get<std::string>(),
                          message.at("target").get<std::string>(), std::move(body).value()};
  } catch (const json::exception& error) {
    return Error{ControlMessageErrc::kMalformed, error.what()};
  }
}

json EncodeControlResponse(const ControlResponse& response) {
  json message = {{"status", response.status}};
  WriteBody(response.body, &message);
  return message;
}

Result<ControlResponse> DecodeControlResponse(const json& message) {
  try {
    auto body = ReadBody(message);
    if (!body) return body.error();
    const auto status = message.at("status").get<std::int64_t>();
    if (status < kLowestStatus || status > kHighestStatus) {
      return Error{ControlMessageErrc::kMalformed, "status " + std::to_string(status)};
    }
    return ControlResponse{static_cast<int>(status), std::move(body).value()};
  } catch (const json::exception& error) {
    return Error{ControlMessageErrc::kMalformed, error.what()};
  }
}

}  // namespace corneltray
