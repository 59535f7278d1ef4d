#ifndef CORNELTRAY_UPSTREAM_CLIENT_H_
#define CORNELTRAY_UPSTREAM_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <utility>
#include <vector>

#include "corneltray/answer_stream.h"
#include "corneltray/enum_names.h"
#include "corneltray/router.h"
#include "corneltray/time.h"

namespace corneltray {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

// Greatest answer of a service and greatest single event of an engine that are taken in.
constexpr std::size_t kMaxServiceAnswerBytes = 64U << 20;
constexpr std::size_t kMaxEventBytes = 1U << 20;
// An upstream in the same region accepts a connection within milliseconds; a longer wait means that
// its host is down.
constexpr std::chrono::milliseconds kConnectTimeout{500};

// Splits a text/event-stream into the data of its events. Not thread safe.
class EventStreamParser {
 public:
  // Returns false if an event exceeds kMaxEventBytes; the stream is then unusable. `on_data` gets
  // the data of each complete event and returns false to stop.
  bool Feed(const char* bytes, std::size_t size,
            const std::function<bool(const std::string&)>& on_data);

 private:
  bool HandleLine(const std::function<bool(const std::string&)>& on_data);

  std::string m_line;
  std::string m_data;
  bool m_has_data = false;
  bool m_after_cr = false;
};

// Body of POST /v1/pipeline/generate, apart from the accepted tokens and the attempt.
struct GenerateRequest {
  std::string request_id;
  std::uint32_t attempt = 0;
  std::uint32_t priority = 0;
  std::string prompt;
  std::vector<std::int64_t> accepted;
  std::uint32_t max_tokens = 0;
  UnixMs deadline_unix_ms = 0;
  Chain chain;
};

enum class CallEnd {
  kComplete,       // the whole response was received
  kStopped,        // the receiver asked to stop
  kCancelled,      // the caller hung up or the deadline passed
  kConnectFailed,  // no byte of the request was sent
  kRefused,        // an error status
  kBroken,         // a byte may have been sent, and there is no complete response
};

template <>
struct EnumNames<CallEnd> {
  static constexpr EnumName<CallEnd> kTable[] = {
      {CallEnd::kComplete, "complete"},   {CallEnd::kStopped, "stopped"},
      {CallEnd::kCancelled, "cancelled"}, {CallEnd::kConnectFailed, "connect_failed"},
      {CallEnd::kRefused, "refused"},     {CallEnd::kBroken, "broken"},
  };
};

// Watches running calls from one thread: closes the connection of a call when its deadline passes
// or its caller hangs up, even if the peer is silent. One per process; outlives the clients.
class CallWatchdog {
 public:
  CallWatchdog();
  ~CallWatchdog();
  CallWatchdog(const CallWatchdog&) = delete;
  CallWatchdog& operator=(const CallWatchdog&) = delete;

  // One watched call. `is_expired` is asked every kWatchInterval on the watchdog's thread; once it
  // returns true `stop` is called, and repeated until the call is forgotten, because a connection
  // that is being opened at that moment cannot be stopped yet.
  class Watch;
  std::shared_ptr<Watch> Add(std::function<bool(TimePoint)> is_expired, std::function<void()> stop);

  static constexpr std::chrono::milliseconds kWatchInterval{20};

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// HTTP towards engines. Thread safe; every call opens a connection of its own, so that no idle
// connection is reused.
class EngineClient {
 public:
  explicit EngineClient(CallWatchdog* watchdog);

  // Runs one attempt on the first stage of the request's chain and blocks until it ends.
  // `on_event` gets the data of each event in order, on the calling thread, and returns false to
  // stop. `is_expired` is asked from the watchdog's thread. `status` gets the HTTP status when the
  // result is kRefused.
  CallEnd Generate(const GenerateRequest& request,
                   const std::function<bool(const std::string& data)>& on_event,
                   std::function<bool(TimePoint)> is_expired, int* status);

  // Tells an engine to stop an attempt; best effort, waits at most for a short time.
  void Cancel(const std::string& address, const std::string& request_id, std::uint32_t attempt);

 private:
  CallWatchdog* m_watchdog;
};

nlohmann::json EncodeGenerateRequest(const GenerateRequest& request);

// One call of a plain service.
struct ServiceCall {
  std::string method;
  std::string target;  // path and query as the service gets them
  HeaderList headers;
  std::string content_type;
  std::string body;
};

struct ServiceResponse {
  CallEnd end = CallEnd::kBroken;
  int status = 0;
  std::string content_type;
  HeaderList headers;
  std::string body;
};

// HTTP towards plain services. Thread safe. Sends each call once, on a connection of its own, and
// never repeats or redirects it.
class ServiceClient {
 public:
  explicit ServiceClient(CallWatchdog* watchdog);

  // Blocks until the response is complete or the deadline has passed. `end` is kComplete for any
  // complete response whatever its status, kConnectFailed only if no byte was sent, and else
  // kBroken. A response whose end is marked only by the close of the connection counts as broken,
  // because a lost connection looks the same. `is_cancelled` may be empty.
  ServiceResponse Call(const std::string& address, const ServiceCall& call, TimePoint deadline,
                       const std::function<bool()>& is_cancelled);

 private:
  CallWatchdog* m_watchdog;
};

}  // namespace corneltray

#endif  // CORNELTRAY_UPSTREAM_CLIENT_H_
