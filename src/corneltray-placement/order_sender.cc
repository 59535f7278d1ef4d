#include "order_sender.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "corneltray/blocking_call.h"
#include "corneltray/lease.h"
#include "corneltray/log.h"

namespace corneltray {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kOk = 200;
constexpr std::size_t kThreads = 8;
// Replies are a few hundred bytes long.
constexpr std::size_t kMaxReplyBytes = std::size_t{64} * 1024;
// An order must not be written after the lease has ended, so connecting and writing together stay
// within the margin between the last permitted send and that end. The reply may come later: the
// engine has the order by then.
constexpr milliseconds kConnectTimeout{200};
constexpr milliseconds kWriteTimeout{200};
constexpr milliseconds kReadTimeout{500};
static_assert(kConnectTimeout + kWriteTimeout < kLeaseOrderMargin);

json Body(const SendOrder& order, const std::string& weight_store) {
  json holdings = json::array();
  for (const Holding& h : order.holdings) {
    holdings.push_back({{"model", h.key.model},
                        {"version", h.key.version},
                        {"adapter", h.key.adapter},
                        {"first_layer", h.first_layer},
                        {"last_layer", h.last_layer}});
  }
  return {{"fence", order.fence},
          {"order_id", order.order_id},
          {"weight_store", weight_store},
          {"holdings", std::move(holdings)}};
}

UpstreamRequest MakeRequest(const SendOrder& order, const std::string& body) {
  HttpHead head;
  head.method = "POST";
  head.target = "/v1/orders";
  head.Add("Content-Type", "application/json");
  UpstreamRequest request;
  request.address = order.address;
  request.bytes = FormatSingleRequest(order.address, std::move(head), body);
  request.connect_deadline = Clock::now() + kConnectTimeout;
  request.write_deadline = request.connect_deadline + kWriteTimeout;
  request.answer_deadline = *request.write_deadline + kReadTimeout;
  request.max_body_bytes = kMaxReplyBytes;
  return request;
}

}  // namespace

OrderSender::OrderSender(std::string weight_store, ReadFence read_fence, ReportFence report_fence)
    : m_weight_store(std::move(weight_store)),
      m_read_fence(std::move(read_fence)),
      m_report_fence(std::move(report_fence)) {
  for (std::size_t i = 0; i < kThreads; ++i) m_threads.emplace_back([this] { Work(); });
}

OrderSender::~OrderSender() { Stop(); }

void OrderSender::Submit(SendOrder order) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_stopped) return;
  const auto waiting = std::find_if(m_queue.begin(), m_queue.end(), [&](const SendOrder& other) {
    return other.engine == order.engine;
  });
  if (waiting != m_queue.end()) {
    *waiting = std::move(order);
  } else {
    m_queue.push_back(std::move(order));
  }
  m_changed.notify_one();
}

void OrderSender::Stop() {
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_stopped = true;
    m_queue.clear();
    m_changed.notify_all();
  }
  for (std::thread& thread : m_threads) {
    if (thread.joinable()) thread.join();
  }
}

void OrderSender::Work() {
  while (true) {
    SendOrder order;
    {
      std::unique_lock<std::mutex> lock(m_mutex);
      m_changed.wait(lock, [this] { return m_stopped || !m_queue.empty(); });
      if (m_stopped) return;
      order = std::move(m_queue.front());
      m_queue.pop_front();
    }
    Send(order);
  }
}

void OrderSender::Send(const SendOrder& order) {
  const std::string body = Body(order, m_weight_store).dump();
  if (m_read_fence() != order.fence) {
    LogEvent(LogLevel::kInfo, "order_dropped",
             {{"engine", order.engine}, {"fence", order.fence}, {"reason", "lease_not_held"}});
    return;
  }
  int status = 0;
  std::string reply;
  std::string failure;
  UpstreamCallbacks callbacks;
  callbacks.on_head = [&status](const HttpHead& head) { status = head.status; };
  callbacks.on_body = [&reply](std::string_view bytes) { reply.append(bytes); };
  callbacks.on_failure = [&failure](UpstreamFailure how) { failure = NameOf(how); };
  BlockingCall().Run(MakeRequest(order, body), callbacks);
  json fields = {{"engine", order.engine}, {"fence", order.fence}, {"order_id", order.order_id}};
  if (!failure.empty()) {
    fields["error"] = failure;
    LogEvent(LogLevel::kWarning, "order_failed", fields);
    return;
  }
  fields["status"] = status;
  if (status == kOk) {
    LogEvent(LogLevel::kInfo, "order_accepted", fields);
    return;
  }
  const json answer = json::parse(reply, nullptr, false);
  if (answer.is_object() && answer.contains("error") && answer["error"].is_object()) {
    fields["code"] = answer["error"].value("code", json());
  }
  const bool has_fence =
      answer.is_object() && answer.contains("fence") && answer["fence"].is_number_unsigned();
  if (has_fence) fields["engine_fence"] = answer["fence"];
  LogEvent(LogLevel::kWarning, "order_refused", fields);
  if (has_fence) m_report_fence(answer["fence"].get<std::uint64_t>());
}

}  // namespace corneltray
