#ifndef CORNELTRAY_ENGINE_CALL_H_
#define CORNELTRAY_ENGINE_CALL_H_

#include <string>

#include "corneltray/dialect.h"
#include "corneltray/upstream_pool.h"

namespace corneltray {

// Builds a call of corneltray itself to an engine. It gets a connection of its own, because an open
// one may have gone silent; the caller sets the deadline to connect.
UpstreamRequest MakeEngineCall(const std::string& address, EngineRequest call);

}  // namespace corneltray

#endif  // CORNELTRAY_ENGINE_CALL_H_
