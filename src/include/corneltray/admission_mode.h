#ifndef CORNELTRAY_ADMISSION_MODE_H_
#define CORNELTRAY_ADMISSION_MODE_H_

#include "corneltray/enum_names.h"

namespace corneltray {

// For which services with engines the gateway holds requests back under load.
enum class AdmissionMode {
  kAuto,  // those whose routes have more than one rank
  kOn,    // all
  kOff,   // none
};

template <>
struct EnumNames<AdmissionMode> {
  static constexpr EnumName<AdmissionMode> kTable[] = {
      {AdmissionMode::kAuto, "auto"},
      {AdmissionMode::kOn, "on"},
      {AdmissionMode::kOff, "off"},
  };
};

}  // namespace corneltray

#endif  // CORNELTRAY_ADMISSION_MODE_H_
