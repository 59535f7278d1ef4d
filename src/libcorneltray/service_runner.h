#ifndef CORNELTRAY_SERVICE_RUNNER_H_
#define CORNELTRAY_SERVICE_RUNNER_H_

#include "corneltray/http_api.h"
#include "corneltray/upstream_client.h"

namespace corneltray {

// Runs one idempotent call of a plain service: tries replicas until one answers, within the retry
// budget and the deadline. Blocks.
HttpResponse RunIdempotentCall(const EntryContext& entry, const RequestContext& context);

// Returns the call as the service gets it: the caller's headers without those that belong to its
// connection or carry its key.
ServiceCall MakeServiceCall(const RequestContext& context);

}  // namespace corneltray

#endif  // CORNELTRAY_SERVICE_RUNNER_H_
