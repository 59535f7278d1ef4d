#include "booking_runner.h"
#include "corneltray/filters.h"
#include "corneltray/log.h"
#include "corneltray/metrics.h"
#include "corneltray/routing_state.h"

namespace corneltray {
namespace {

ApiError ErrorFor(const Refused& refused) {
  const std::int64_t retry_after = std::max<std::int64_t>(refused.retry_after.count(), 1);
  switch (refused.reason) {
    case RefusalReason::kUnknownCustomer:
    case RefusalReason::kRate:
      return {ApiCode::kLimitExceeded,
              "the customer's rate is used up",
              "",
              BookingState::kNotRun,
              retry_after,
              0};
    case RefusalReason::kConcurrency:
      return {ApiCode::kOverloaded,
              "too many requests are in progress",
              "",
              BookingState::kNotRun,
              retry_after,
              0};
    case RefusalReason::kDeadline:
      return {ApiCode::kOverloaded,
              "the deadline would pass before the first answer",
              "",
              BookingState::kNotRun,
              retry_after,
              0};
  }
  return {ApiCode::kOverloaded, "refused", "", BookingState::kNotRun, retry_after, 0};
}

}  // namespace

FilterResult LimitFilter::Apply(RequestContext& context) {
  const auto* call = std::get_if<ServiceCallRequest>(&context.call);
  const Workload workload = call == nullptr ? Workload::kGeneration : Workload::kServiceCall;
  const Admission admission =
      m_entry->routing->Admit(context.customer, workload, context.deadline, Duration::zero());
  const auto* refused = std::get_if<Refused>(&admission);
  if (refused == nullptr) {
    if (workload == Workload::kGeneration) {
      context.admission = std::make_unique<AdmissionTicket>(m_entry->routing, context.customer);
    }
    m_entry->routing->RecordRequest();
    return Continue{};
  }
  m_entry->metrics->Count("refusals", NameOf(refused->reason));
  LogEvent(LogLevel::kInfo, "refused",
           {{"request_id", context.request_id},
            {"customer", context.customer},
            {"reason", NameOf(refused->reason)}});
  const ApiError error = ErrorFor(*refused);
  if (call != nullptr && !call->idempotent && IsUuidV7(call->idempotency_key)) {
    return Respond{RefuseBookingCall(*m_entry, context, error)};
  }
  return Refuse(error, context);
}

}  // namespace corneltray
