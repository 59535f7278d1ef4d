#include "corneltray/upstream_client.h"

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

#include "corneltray/blocking_call.h"
#include "corneltray/http_head.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr std::chrono::milliseconds kCancelTimeout{500};

std::chrono::milliseconds TimeLeft(TimePoint deadline) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
}

// The deadline bounds the connect as well, so that no request is written after it.
std::chrono::milliseconds ConnectTimeout(TimePoint deadline) {
  return std::clamp(TimeLeft(deadline), std::chrono::milliseconds(1), kConnectTimeout);
}

UpstreamRequest MakeRequest(const std::string& address, const HttpHead& head,
                            const std::string& body, TimePoint connect_deadline) {
  UpstreamRequest request;
  request.address = address;
  request.bytes = FormatSingleRequest(address, head, body);
  request.without_body = head.method == "HEAD";
  request.connect_deadline = connect_deadline;
  return request;
}

HttpHead MakeJsonPost(const std::string& target) {
  HttpHead head;
  head.method = "POST";
  head.target = target;
  head.Add("Content-Type", "application/json");
  return head;
}

HttpHead HeadOf(const ServiceCall& call) {
  HttpHead head;
  head.method = call.method;
  head.target = call.target;
  for (const auto& [name, value] : call.headers) head.Add(name, value);
  head.Add("Accept-Encoding", "identity");
  if (!call.content_type.empty()) head.Add("Content-Type", call.content_type);
  return head;
}

// Returns whether a response says where its body ends.
bool IsFramed(bool is_head_request, const HttpHead& head) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return is_head_request || head.status == kNoContent || head.status == kNotModified ||
         head.Find("Content-Length") != nullptr || head.Find("Transfer-Encoding") != nullptr;
}

}  // namespace

bool EventStreamParser::Feed(const char* bytes, std::size_t size,
                             const std::function<bool(const std::string&)>& on_data) {
  for (std::size_t i = 0; i < size; ++i) {
    const char c = bytes[i];
    const bool second_half_of_crlf = c == '\n' && m_after_cr;
    m_after_cr = c == '\r';
    if (second_half_of_crlf) continue;
    if (c == '\n' || c == '\r') {
      if (!HandleLine(on_data)) return false;
      continue;
    }
    if (m_line.size() + m_data.size() >= kMaxEventBytes) return false;
    m_line.push_back(c);
  }
  return true;
}

bool EventStreamParser::HandleLine(const std::function<bool(const std::string&)>& on_data) {
  if (m_line.empty()) {
    if (!m_has_data) return true;
    const std::string data = std::move(m_data);
    m_data.clear();
    m_has_data = false;
    return on_data(data);
  }
  // Other fields and comments of the format carry nothing here.
  if (m_line.compare(0, 5, "data:") == 0) {
    if (m_has_data) m_data.push_back('\n');
    m_data.append(m_line, m_line.size() > 5 && m_line[5] == ' ' ? 6 : 5, std::string::npos);
    m_has_data = true;
  }
  m_line.clear();
  return true;
}

class CallWatchdog::Watch {
 public:
  Watch(std::function<bool(TimePoint)> is_expired, std::function<void()> stop)
      : m_is_expired(std::move(is_expired)), m_stop(std::move(stop)) {}

  // Ends the watch. Once it returns, neither function runs any more.
  void Forget() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_forgotten = true;
  }

  // Returns false once the watch can be dropped.
  bool Check(TimePoint now) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_forgotten) return false;
    if (!m_expired) m_expired = m_is_expired(now);
    if (m_expired) m_stop();
    return true;
  }

  bool HasExpired() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_expired;
  }

 private:
  std::mutex m_mutex;
  std::function<bool(TimePoint)> m_is_expired;
  std::function<void()> m_stop;
  bool m_expired = false;
  bool m_forgotten = false;
};

class CallWatchdog::Impl {
 public:
  Impl() : m_thread([this] { Run(); }) {}

  ~Impl() {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_stopping = true;
    }
    m_wake.notify_all();
    m_thread.join();
  }

  void Add(std::shared_ptr<Watch> watch) {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_added.push_back(std::move(watch));
    }
    m_wake.notify_all();
  }

 private:
  void Run() {
    std::vector<std::shared_ptr<Watch>> watches;
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
      if (watches.empty()) {
        m_wake.wait(lock, [this] { return m_stopping || !m_added.empty(); });
      } else {
        m_wake.wait_for(lock, kWatchInterval, [this] { return m_stopping; });
      }
      watches.insert(watches.end(), m_added.begin(), m_added.end());
      m_added.clear();
      lock.unlock();
      const TimePoint now = Clock::now();
      watches.erase(std::remove_if(watches.begin(), watches.end(),
                                   [now](const auto& watch) { return !watch->Check(now); }),
                    watches.end());
      lock.lock();
    }
  }

  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::vector<std::shared_ptr<Watch>> m_added;
  bool m_stopping = false;
  std::thread m_thread;
};

CallWatchdog::CallWatchdog() : m_impl(std::make_unique<Impl>()) {}
CallWatchdog::~CallWatchdog() = default;

std::shared_ptr<CallWatchdog::Watch> CallWatchdog::Add(std::function<bool(TimePoint)> is_expired,
                                                       std::function<void()> stop) {
  auto watch = std::make_shared<Watch>(std::move(is_expired), std::move(stop));
  m_impl->Add(watch);
  return watch;
}

json EncodeGenerateRequest(const GenerateRequest& request) {
  json stages = json::array();
  for (const Stage& stage : request.chain.stages) {
    stages.push_back({{"name", stage.name},
                      {"address", stage.address},
                      {"first_layer", stage.first_layer},
                      {"last_layer", stage.last_layer}});
  }
  return {{"request_id", request.request_id},
          {"attempt", request.attempt},
          {"model", request.chain.key.model},
          {"version", request.chain.key.version},
          {"adapter", request.chain.key.adapter},
          {"priority", request.priority},
          {"prompt", request.prompt},
          {"accepted", request.accepted},
          {"max_tokens", request.max_tokens},
          {"deadline_unix_ms", request.deadline_unix_ms},
          {"stages", std::move(stages)}};
}

EngineClient::EngineClient(CallWatchdog* watchdog) : m_watchdog(watchdog) {}

CallEnd EngineClient::Generate(const GenerateRequest& request,
                               const std::function<bool(const std::string& data)>& on_event,
                               std::function<bool(TimePoint)> is_expired, int* status) {
  BlockingCall call;
  const auto watch = m_watchdog->Add(std::move(is_expired), [&call] { call.Stop(); });
  EventStreamParser parser;
  bool stopped = false;
  bool is_broken = false;
  UpstreamCallbacks callbacks;
  callbacks.on_head = [&](const HttpHead& head) {
    *status = head.status;
    if (head.status != kOk) call.Stop();
  };
  callbacks.on_body = [&](std::string_view bytes) {
    const bool goes_on = parser.Feed(bytes.data(), bytes.size(), [&](const std::string& event) {
      stopped = !on_event(event);
      return !stopped;
    });
    is_broken = !goes_on && !stopped;
    if (!goes_on) call.Stop();
  };
  const std::string& address = request.chain.stages.front().address;
  HttpHead head = MakeJsonPost("/v1/pipeline/generate");
  head.Add("Accept", "text/event-stream");
  head.Add("Accept-Encoding", "identity");
  const std::string body =
      EncodeGenerateRequest(request).dump(-1, ' ', false, json::error_handler_t::replace);
  const BlockingCallEnd end =
      call.Run(MakeRequest(address, head, body, Clock::now() + kConnectTimeout), callbacks);
  watch->Forget();
  if (stopped) return CallEnd::kStopped;
  if (end == BlockingCallEnd::kNotConnected) return CallEnd::kConnectFailed;
  if (is_broken) return CallEnd::kBroken;
  if (watch->HasExpired()) return CallEnd::kCancelled;
  if (*status != 0 && *status != kOk) return CallEnd::kRefused;
  return end == BlockingCallEnd::kAnswered ? CallEnd::kComplete : CallEnd::kBroken;
}

void EngineClient::Cancel(const std::string& address, const std::string& request_id,
                          std::uint32_t attempt) {
  const json body = {{"request_id", request_id}, {"attempt", attempt}};
  const TimePoint now = Clock::now();
  UpstreamRequest request =
      MakeRequest(address, MakeJsonPost("/v1/pipeline/cancel"), body.dump(), now + kCancelTimeout);
  request.answer_deadline = now + 2 * kCancelTimeout;
  BlockingCall().Run(std::move(request), {});
}

ServiceClient::ServiceClient(CallWatchdog* watchdog) : m_watchdog(watchdog) {}

ServiceResponse ServiceClient::Call(const std::string& address, const ServiceCall& call,
                                    TimePoint deadline, const std::function<bool()>& is_cancelled) {
  ServiceResponse response;
  // After the deadline nothing is sent at all; the check and the connect timeout keep the write
  // from starting late.
  if (TimeLeft(deadline).count() <= 0) {
    response.end = CallEnd::kConnectFailed;
    return response;
  }
  BlockingCall blocking;
  const auto watch = m_watchdog->Add(
      [deadline, is_cancelled](TimePoint now) {
        return now >= deadline || (is_cancelled && is_cancelled());
      },
      [&blocking] { blocking.Stop(); });
  HttpHead answer;
  UpstreamCallbacks callbacks;
  callbacks.on_head = [&answer](HttpHead head) { answer = std::move(head); };
  callbacks.on_body = [&response](std::string_view bytes) { response.body.append(bytes); };
  UpstreamRequest request =
      MakeRequest(address, HeadOf(call), call.body, Clock::now() + ConnectTimeout(deadline));
  request.max_body_bytes = kMaxServiceAnswerBytes;
  const BlockingCallEnd end = blocking.Run(std::move(request), callbacks);
  watch->Forget();
  if (end != BlockingCallEnd::kAnswered) {
    const bool is_unsent = end == BlockingCallEnd::kNotConnected;
    response.end = is_unsent ? CallEnd::kConnectFailed : CallEnd::kBroken;
    response.body.clear();
    return response;
  }
  response.status = answer.status;
  response.content_type = answer.Value("Content-Type");
  const bool is_whole = IsFramed(call.method == "HEAD", answer);
  response.end = is_whole ? CallEnd::kComplete : CallEnd::kBroken;
  for (HttpField& field : answer.fields) {
    response.headers.emplace_back(std::move(field.name), std::move(field.value));
  }
  return response;
}

}  // namespace corneltray
