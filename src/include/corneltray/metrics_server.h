#ifndef CORNELTRAY_METRICS_SERVER_H_
#define CORNELTRAY_METRICS_SERVER_H_

#include <asio/io_context.hpp>
#include <functional>
#include <string>

#include "corneltray/http_listener.h"

namespace corneltray {

// Serves the metrics of one process as text at GET /metrics. Runs on one io_context.
class MetricsServer {
 public:
  // `text` is called for each request. If the address cannot be bound, the error is logged and the
  // process runs without metrics. `budget` is the part of this server in that of the process.
  MetricsServer(asio::io_context* io, const std::string& address, std::function<std::string()> text,
                std::shared_ptr<DoorBudget> budget = MakeDefaultDoorBudget());

  std::string Address() const { return m_listener.Address(); }

 private:
  std::function<std::string()> m_text;
  HttpListener m_listener;
};

}  // namespace corneltray

#endif  // CORNELTRAY_METRICS_SERVER_H_
