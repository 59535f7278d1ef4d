#ifndef CORNELTRAY_ADMISSION_PACE_H_
#define CORNELTRAY_ADMISSION_PACE_H_

#include "corneltray/service_room.h"
#include "corneltray/time.h"

namespace corneltray {

// Part of the KV cache that admission aims to fill. The rest is for answers that grow while they
// are generated, for requests that are larger than the usual one, and for copies that are fuller
// than the mean because hosts choose among them independently.
constexpr double kTargetLoad = 0.8;
// No request is held back below this load. It lies under the target by about what the hosts may
// send before the next report shows it.
constexpr double kHoldLoad = 0.7;

// The pace, in tokens/s, at which one host may start requests of a service. A host sees a few
// requests a second of many hundred, so it cannot infer the room from its own requests: it takes
// its share of a rate that all hosts derive from the same reports. The rate is what the engines
// release at the target load, raised or lowered in proportion to the distance of the reported load
// from the target; a slow correction removes the error of the usual stay. Reports are late, so the
// load is extrapolated: a host expects the others to have sent in proportion to what it sent
// itself. Not thread safe.
class AdmissionPace {
 public:
  // Applies the present room. Called several times a second. `is_binding` says whether requests
  // wait for the pace: only then does a load below the target mean that the pace is too low.
  void SetRoom(TimePoint now, const ServiceRoom& room, bool is_binding);
  // Counts what this host sent to the engines.
  void RecordSent(double tokens) { m_recently_sent += tokens; }
  // Tokens of KV cache a second; meaningless while the room is unknown.
  double TokensPerSecond() const { return m_tokens_per_s; }
  // The same at the target load, for estimates over longer times.
  double SteadyTokensPerSecond() const { return m_steady_tokens_per_s; }
  // The load that the engines probably have by now.
  double ExpectedLoad() const { return m_expected_load; }

 private:
  void Extrapolate(const ServiceRoom& room, double passed_s);
  void Correct(double load, bool is_binding, double passed_s);

  double m_tokens_per_s = 0.0;
  double m_steady_tokens_per_s = 0.0;
  double m_correction = 1.0;  // factor for the error of the usual stay
  double m_expected_load = 0.0;
  double m_recently_sent = 0.0;  // tokens, decayed
  TimePoint m_updated_at{};
};

}  // namespace corneltray

#endif  // CORNELTRAY_ADMISSION_PACE_H_
