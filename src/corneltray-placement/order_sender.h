#ifndef CORNELTRAY_PLACEMENT_ORDER_SENDER_H_
#define CORNELTRAY_PLACEMENT_ORDER_SENDER_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "corneltray/placement_controller.h"

namespace corneltray {

// Sends orders to engines over HTTP from a few threads. The fence is read directly before each
// send, and an order whose fence is no longer in force is dropped.
class OrderSender {
 public:
  using ReadFence = std::function<std::optional<std::uint64_t>()>;
  // Reports the fence that an engine named when it refused an order as old.
  using ReportFence = std::function<void(std::uint64_t)>;

  OrderSender(std::string weight_store, ReadFence read_fence, ReportFence report_fence);
  ~OrderSender();
  OrderSender(const OrderSender&) = delete;
  OrderSender& operator=(const OrderSender&) = delete;

  // Queues an order in place of an earlier one for the same engine that is not sent yet.
  void Submit(SendOrder order);
  // Drops what is queued and waits for the orders being sent.
  void Stop();

 private:
  void Work();
  void Send(const SendOrder& order);

  const std::string m_weight_store;
  const ReadFence m_read_fence;
  const ReportFence m_report_fence;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::deque<SendOrder> m_queue;
  bool m_stopped = false;
  std::vector<std::thread> m_threads;
};

}  // namespace corneltray

#endif  // CORNELTRAY_PLACEMENT_ORDER_SENDER_H_
