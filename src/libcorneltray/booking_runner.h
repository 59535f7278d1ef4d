#ifndef CORNELTRAY_BOOKING_RUNNER_H_
#define CORNELTRAY_BOOKING_RUNNER_H_

#include "corneltray/http_api.h"

namespace corneltray {

// Runs one keyed call through the log and its service. Blocks until the caller can be answered;
// what is still to be recorded after that goes on in the background.
HttpResponse RunBookingCall(const EntryContext& entry, const RequestContext& context);

// Records that a keyed call never runs, and answers with `refusal` once that is committed. A key
// that is present already gets its own outcome.
HttpResponse RefuseBookingCall(const EntryContext& entry, const RequestContext& context,
                               const ApiError& refusal);

}  // namespace corneltray

#endif  // CORNELTRAY_BOOKING_RUNNER_H_
