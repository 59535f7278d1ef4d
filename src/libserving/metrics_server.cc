#include "corneltray/metrics_server.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "corneltray/log.h"

namespace corneltray {

MetricsServer::MetricsServer(asio::io_context* io, const std::string& address,
                             std::function<std::string()> text, std::shared_ptr<DoorBudget> budget)
    : m_text(std::move(text)), m_listener(io, [this](const HttpCall& call) {
        constexpr int kOk = 200;
        constexpr int kNotFound = 404;
        const bool found = call.Head().Path() == "/metrics";
        HttpHead head = MakeResponse(found ? kOk : kNotFound);
        head.Add("Content-Type", "text/plain; version=0.0.4");
        call.Respond(std::move(head), found ? m_text() : "");
      }) {
  HttpListenerLimits limits;
  limits.keeps_bodies = false;
  m_listener.SetLimits(limits);
  m_listener.SetBudget(Door::kMetrics, std::move(budget));
  const Status listening = m_listener.Listen(address);
  if (listening) return;
  LogEvent(LogLevel::kError, "metrics_not_served",
           {{"address", address}, {"error", listening.error().ToString()}});
}

}  // namespace corneltray
