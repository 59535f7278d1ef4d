#ifndef CORNELTRAY_ADMISSION_REQUEST_H_
#define CORNELTRAY_ADMISSION_REQUEST_H_

#include <cstdint>
#include <string>

#include "corneltray/time.h"

namespace corneltray {

// A request for the engines of one service.
struct AdmissionRequest {
  std::uint64_t id = 0;
  std::uint32_t rank = 0;  // 0 is the most urgent
  std::string customer;    // empty: none
  double tokens = 1.0;     // that it will hold in the KV cache
  TimePoint objective_at{};
  TimePoint deadline{};
  bool is_return = false;  // its caller was refused before and has no more tries
};

// Whether a request can still meet its objective.
enum class ObjectiveState { kCanBeMet, kLost };

}  // namespace corneltray

#endif  // CORNELTRAY_ADMISSION_REQUEST_H_
