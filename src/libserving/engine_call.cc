#include "corneltray/engine_call.h"

#include <utility>

namespace corneltray {
namespace {

constexpr int kOk = 200;
// Answers to calls of corneltray itself are a few hundred bytes.
constexpr std::size_t kMaxAnswerBytes = std::size_t{64} * 1024;

}  // namespace

UpstreamRequest MakeEngineCall(const std::string& address, EngineRequest call) {
  call.head.Set("Host", address);
  if (!call.body.empty()) call.head.Set("Content-Length", std::to_string(call.body.size()));
  UpstreamRequest request;
  request.address = address;
  request.bytes = FormatRequestHead(call.head) + call.body;
  request.fresh_connection = true;
  request.max_body_bytes = kMaxAnswerBytes;
  return request;
}

void RequestEngineReport(UpstreamPool* pool, std::shared_ptr<const Dialect> dialect,
                         const std::string& address, TimePoint deadline,
                         const ReportCallback& done) {
  struct Answer {
    int status = 0;
    std::string body;
  };
  const auto answer = std::make_shared<Answer>();
  UpstreamRequest request = MakeEngineCall(address, dialect->WriteReportRequest());
  request.connect_deadline = deadline;
  request.answer_deadline = deadline;
  UpstreamCallbacks callbacks;
  callbacks.on_head = [answer](const HttpHead& head) { answer->status = head.status; };
  callbacks.on_body = [answer](std::string_view bytes) { answer->body.append(bytes); };
  callbacks.on_end = [answer, dialect = std::move(dialect), done] {
    if (answer->status != kOk) return done(std::nullopt);
    auto report = dialect->ReadReport(answer->body);
    done(report ? std::optional<EngineReport>(std::move(report).value()) : std::nullopt);
  };
  callbacks.on_failure = [done](UpstreamFailure) { done(std::nullopt); };
  pool->Send(std::move(request), std::move(callbacks));
}

}  // namespace corneltray
