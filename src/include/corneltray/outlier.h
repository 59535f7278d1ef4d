#ifndef CORNELTRAY_OUTLIER_H_
#define CORNELTRAY_OUTLIER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "corneltray/enum_names.h"
#include "corneltray/time.h"

namespace corneltray {

constexpr std::uint32_t kEjectAfterFailures = 5;
constexpr double kEjectLatencyFactor = 3.0;
constexpr std::chrono::seconds kEjectionBase{5};
constexpr std::chrono::seconds kEjectionMax{60};

enum class EjectionCause { kFailures, kLatency };

template <>
struct EnumNames<EjectionCause> {
  static constexpr EnumName<EjectionCause> kTable[] = {
      {EjectionCause::kFailures, "failures"},
      {EjectionCause::kLatency, "latency"},
  };
};

struct Ejection {
  std::string upstream;
  EjectionCause cause = EjectionCause::kFailures;
  TimePoint ends_at{};
};

// Ejects upstreams that fail or answer slowly, per group (one model or one service), and never more
// than a share of a group. An ejected upstream returns when its ejection ends; each further
// ejection lasts longer, up to kEjectionMax. Not thread safe.
class OutlierDetector {
 public:
  explicit OutlierDetector(double max_ejected_ratio);

  void SetMaxEjectedRatio(double ratio);

  // Sets how many members a group has, for the cap.
  void SetGroupSize(const std::string& group, std::size_t size);

  // Record one outcome. Return an ejection if this outcome caused one. `latency` is that of one
  // unit of work which is comparable within the group, for example seconds for one layer.
  std::vector<Ejection> Success(TimePoint now, const std::string& group,
                                const std::string& upstream, Duration latency);
  std::vector<Ejection> Failure(TimePoint now, const std::string& group,
                                const std::string& upstream);

  bool IsEjected(TimePoint now, const std::string& upstream) const;
  std::vector<Ejection> Ejected(TimePoint now) const;

  // Forgets an upstream that was removed or restarted.
  void Forget(const std::string& upstream);

 private:
  struct Member {
    std::string group;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t samples = 0;
    double latency_s = 0.0;  // moving average
    std::uint32_t ejections = 0;
    EjectionCause cause = EjectionCause::kFailures;
    TimePoint ejected_until{};
    TimePoint calm_at{};  // the ejection count is reset after this time
  };

  std::vector<Ejection> Eject(TimePoint now, const std::string& upstream, Member* member,
                              EjectionCause cause);
  double MedianLatency(const std::string& group) const;

  double m_max_ejected_ratio;
  TimePoint m_any_ejected_until{};  // latest end of an ejection
  std::map<std::string, std::size_t> m_group_sizes;
  std::map<std::string, Member> m_members;
};

}  // namespace corneltray

#endif  // CORNELTRAY_OUTLIER_H_
