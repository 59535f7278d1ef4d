#ifndef CORNELTRAY_ENGINE_CALL_H_
#define CORNELTRAY_ENGINE_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "corneltray/dialect.h"
#include "corneltray/upstream_pool.h"

namespace corneltray {

// Builds a call of corneltray itself to an engine. It gets a connection of its own, because an open
// one may have gone silent; the caller sets the deadline to connect.
UpstreamRequest MakeEngineCall(const std::string& address, EngineRequest call);

// Takes what an engine said of itself, or nothing if it gave no readable answer in time.
using ReportCallback = std::function<void(const std::optional<EngineReport>& report)>;

// Asks an engine for its report. `done` is called once, unless the pool is closed before.
void RequestEngineReport(UpstreamPool* pool, std::shared_ptr<const Dialect> dialect,
                         const std::string& address, TimePoint deadline,
                         const ReportCallback& done);

}  // namespace corneltray

#endif  // CORNELTRAY_ENGINE_CALL_H_
