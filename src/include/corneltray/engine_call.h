#ifndef CORNELTRAY_ENGINE_CALL_H_
#define CORNELTRAY_ENGINE_CALL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "corneltray/dialect.h"
#include "corneltray/upstream_pool.h"

namespace corneltray {

// Builds a request that corneltray itself sends to an engine. It uses a new connection, because a
// pooled one may be stale. The caller sets the connect deadline.
UpstreamRequest MakeEngineCall(const std::string& address, EngineRequest call);

// Receives the report of an engine, or nullopt if no valid response arrived before the deadline.
using ReportCallback = std::function<void(const std::optional<EngineReport>& report)>;

// Requests the report of an engine. `done` is called once, unless the pool is closed first.
void RequestEngineReport(UpstreamPool* pool, std::shared_ptr<const Dialect> dialect,
                         const std::string& address, TimePoint deadline,
                         const ReportCallback& done);

}  // namespace corneltray

#endif  // CORNELTRAY_ENGINE_CALL_H_
