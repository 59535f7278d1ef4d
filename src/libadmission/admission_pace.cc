#include "corneltray/admission_pace.h"

#include <algorithm>
#include <cmath>

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
// Time constant of what this host sent recently. It spans several requests at a host with a few
// requests a second.
constexpr double kSentSeconds = 1.0;
// Age of the load of a report that is in use: the interval of the reports and their way.
constexpr double kReportAgeSeconds = 0.75;
// Smallest usual stay; guards the division.
constexpr double kMinStaySeconds = 0.01;

}  // namespace

void AdmissionPace::SetRoom(TimePoint now, const ServiceRoom& room, bool is_binding) {
  const std::chrono::duration<double> since = now - m_updated_at;
  const double passed_s = std::max(0.0, since.count());
  m_updated_at = now;
  Extrapolate(room, passed_s);
  Correct(room.load, is_binding, std::min(passed_s, kMaxStepSeconds));
  const double stay_s = std::max(kMinStaySeconds, room.usual_stay_s);
  const double released_at_target = room.capacity_tokens * kTargetLoad / stay_s;
  const double distance = (kTargetLoad - m_expected_load) / kTargetLoad;
  const double factor = std::clamp(1.0 + kGain * distance, kMinFactor, kMaxFactor);
  m_steady_tokens_per_s = room.host_share * released_at_target * m_correction;
  m_tokens_per_s = m_steady_tokens_per_s * factor;
}

void AdmissionPace::Extrapolate(const ServiceRoom& room, double passed_s) {
  m_recently_sent *= std::exp(-passed_s / kSentSeconds);
  m_expected_load = room.load;
  const double share_of_capacity = room.host_share * room.capacity_tokens;
  if (share_of_capacity <= 0.0) return;
  const double filled_per_s = m_recently_sent / kSentSeconds / share_of_capacity;
  const double released_per_s =
      m_correction * room.load / std::max(kMinStaySeconds, room.usual_stay_s);
  m_expected_load += kReportAgeSeconds * (filled_per_s - released_per_s);
  m_expected_load = std::clamp(m_expected_load, 0.0, std::max(1.0, room.load));
}

void AdmissionPace::Correct(double load, bool is_binding, double passed_s) {
  const double gap = kTargetLoad - load;
  const bool is_too_low = gap > 0.0 && (is_binding || m_correction < 1.0);
  if (gap > 0.0 && !is_too_low) return;
  const double changed = m_correction * (1.0 + kCorrectionRate * gap * passed_s);
  m_correction = std::clamp(changed, kMinCorrection, kMaxCorrection);
}

}  // namespace corneltray
