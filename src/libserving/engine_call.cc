#include "corneltray/engine_call.h"

#include <utility>

namespace corneltray {
namespace {

constexpr int kOk = 200;
// Responses to requests of corneltray itself are a few hundred bytes long.
constexpr std::size_t kMaxResponseBytes = std::size_t{64} * 1024;

}  // namespace

UpstreamRequest MakeEngineCall(const std::string& address, EngineRequest call) {
  call.head.Set("Host", address);
  if (!call.body.empty()) call.head.Set("Content-Length", std::to_string(call.body.size()));
  UpstreamRequest request;
  request.address = address;
  request.bytes = FormatRequestHead(call.head) + call.body;
  request.fresh_connection = true;
  request.max_body_bytes = kMaxResponseBytes;
  return request;
}

void RequestEngineReport(UpstreamPool* pool, std::shared_ptr<const Dialect> dialect,
                         const std::string& address, TimePoint deadline,
                         const ReportCallback& done) {
  struct Response {
    int status = 0;
    std::string body;
  };
  const auto response = std::make_shared<Response>();
  UpstreamRequest request = MakeEngineCall(address, dialect->WriteReportRequest());
  request.connect_deadline = deadline;
  request.answer_deadline = deadline;
  UpstreamCallbacks callbacks;
  callbacks.on_head = [response](const HttpHead& head) { response->status = head.status; };
  callbacks.on_body = [response](std::string_view bytes) { response->body.append(bytes); };
  callbacks.on_end = [response, dialect = std::move(dialect), done] {
    if (response->status != kOk) return done(std::nullopt);
    auto report = dialect->ReadReport(response->body);
    done(report ? std::optional<EngineReport>(std::move(report).value()) : std::nullopt);
  };
  callbacks.on_failure = [done](UpstreamFailure) { done(std::nullopt); };
  pool->Send(std::move(request), std::move(callbacks));
}

}  // namespace corneltray
