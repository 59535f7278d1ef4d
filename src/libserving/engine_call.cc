#include "corneltray/engine_call.h"

namespace corneltray {

UpstreamRequest MakeEngineCall(const std::string& address, EngineRequest call) {
  call.head.Set("Host", address);
  if (!call.body.empty()) call.head.Set("Content-Length", std::to_string(call.body.size()));
  UpstreamRequest request;
  request.address = address;
  request.bytes = FormatRequestHead(call.head) + call.body;
  request.fresh_connection = true;
  return request;
}

}  // namespace corneltray
