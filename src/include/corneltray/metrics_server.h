#ifndef CORNELTRAY_METRICS_SERVER_H_
#define CORNELTRAY_METRICS_SERVER_H_

#include <asio/io_context.hpp>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "corneltray/http_listener.h"

namespace corneltray {

// Serves the metrics of one process as text at GET /metrics, and what it can explain to operators.
// Runs on one io_context.
class MetricsServer {
 public:
  // `text` is called for each request. If the address cannot be bound, the error is logged and the
  // process runs without metrics. `budget` is the part of this server in that of the process.
  MetricsServer(asio::io_context* io, const std::string& address, std::function<std::string()> text,
                std::shared_ptr<DoorBudget> budget = MakeDefaultDoorBudget());

  // Answers GET /admin/v1/explain with what `explain` returns for the head of a request, which the
  // field Explained-Request holds as JSON. Only for callers with the operator key.
  using Explain = std::function<nlohmann::json(const HttpHead& head)>;
  void ServeExplain(std::string operator_key, Explain explain);

  std::string Address() const { return m_listener.Address(); }

 private:
  void OnCall(const HttpCall& call) const;
  void OnExplain(const HttpCall& call) const;

  std::function<std::string()> m_text;
  std::string m_operator_key;
  Explain m_explain;  // empty: not served
  HttpListener m_listener;
};

}  // namespace corneltray

#endif  // CORNELTRAY_METRICS_SERVER_H_
