#include <cstdlib>

#include "engine.h"

// What tests set and read: the faults of the stand-in and its counts.

namespace corneltray::fake {

using nlohmann::json;
using std::chrono::milliseconds;

HttpReply FakeEngine::SetFault(const HttpRequest& request) {
  const auto body = ParseObject(request.body);
  if (!body) return ErrorReply(400, "malformed_body", "expected a JSON object");
  const std::string fault = body->value("fault", "");
  const std::lock_guard<std::mutex> lock(m_mutex);
  const bool can_wait = fault == "die" || fault == "freeze" || fault == "silent";
  if (can_wait && body->contains("after_tokens")) {
    m_fault_after_tokens = fault;
    m_tokens_until_fault = body->at("after_tokens");
  } else if (fault == "die") {
    std::_Exit(1);
  } else if (fault == "freeze") {
    m_server->SetFrozen(true);
  } else if (fault == "silent") {
    m_server->SilenceOpenConnections();
  } else if (fault == "slow") {
    m_slow_factor = body->value("factor", 10.0);
  } else if (fault == "late") {
    m_late = milliseconds(body->value("delay_ms", 1000));
  } else if (fault == "crossed") {
    m_crossed = body->value("kind", "request");
  } else if (fault == "leave") {
    m_leaving_since = UnixNow();
    m_announcer->Kick();
  } else if (fault == "stop_announcing") {
    m_announcer->SetStopped(true);
  } else if (fault == "none") {
    m_fault_after_tokens.clear();
    m_slow_factor = 1;
    m_late = milliseconds(0);
    m_crossed.clear();
    m_server->SetFrozen(false);
    m_announcer->SetStopped(false);
  } else {
    return ErrorReply(400, "unknown_fault", fault);
  }
  return JsonReply(200, {{"fault", fault}});
}

json FakeEngine::Counts() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return {{"name", m_options.name},
          {"requests", m_requests},
          {"tokens", m_tokens},
          {"layers_run", m_layers_run},
          {"refusals", m_refusals},
          {"cancelled", m_cancelled},
          {"finished", m_finished},
          {"active", m_jobs.size()},
          {"orders_accepted", m_orders_accepted},
          {"orders_refused", m_orders_refused},
          {"fence", m_fence},
          {"leaving_since_ms", m_leaving_since},
          {"after_leaving", m_after_leaving},
          {"runs", m_runs}};
}

}  // namespace corneltray::fake
