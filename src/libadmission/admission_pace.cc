#include "corneltray/admission_pace.h"

#include <algorithm>

namespace corneltray {
namespace {

// Change of the rate for a load that differs from the target by the target itself. With a gain of
// 2 a gap closes within about a third of the usual stay. A higher gain oscillates, because the
// reports are some tenths of a second old and the stay itself delays the effect.
constexpr double kGain = 2.0;
// Bounds of the proportional factor. The lower one keeps some requests going while the reports show
// full engines, since the reports may be wrong and an idle fleet serves nobody.
constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 2.0;
// Relative change of the correction per second and unit of load.
constexpr double kCorrectionRate = 0.5;
constexpr double kMinCorrection = 0.3;
constexpr double kMaxCorrection = 2.0;
// Longest time between two updates that counts for the correction, after a pause of the caller.
constexpr double kMaxStepSeconds = 0.25;
// Smallest usual stay; guards the division.
constexpr double kMinStaySeconds = 0.01;

}  // namespace

void AdmissionPace::SetRoom(TimePoint now, const ServiceRoom& room, bool is_binding) {
  Correct(now, room.load, is_binding);
  const double stay_s = std::max(kMinStaySeconds, room.usual_stay_s);
  const double released_at_target = room.capacity_tokens * kTargetLoad / stay_s;
  const double distance = (kTargetLoad - room.load) / kTargetLoad;
  const double factor = std::clamp(1.0 + kGain * distance, kMinFactor, kMaxFactor);
  m_tokens_per_s = room.host_share * released_at_target * m_correction * factor;
}

void AdmissionPace::Correct(TimePoint now, double load, bool is_binding) {
  const std::chrono::duration<double> since = now - m_corrected_at;
  const double step_s = std::clamp(since.count(), 0.0, kMaxStepSeconds);
  m_corrected_at = now;
  const double gap = kTargetLoad - load;
  const bool is_too_low = gap > 0.0 && (is_binding || m_correction < 1.0);
  if (gap > 0.0 && !is_too_low) return;
  const double changed = m_correction * (1.0 + kCorrectionRate * gap * step_s);
  m_correction = std::clamp(changed, kMinCorrection, kMaxCorrection);
}

}  // namespace corneltray
