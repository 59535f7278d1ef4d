#ifndef CORNELTRAY_PART_STATE_H_
#define CORNELTRAY_PART_STATE_H_

#include "corneltray/enum_names.h"

namespace corneltray {

// What is held of a prompt part on which upstreams may crash.
enum class PartState {
  kSound,        // an answer began after the last crash
  kSuspected,    // present in a crash; hosts report whether an answer with it begins
  kQuarantined,  // requests with it are refused
};

template <>
struct EnumNames<PartState> {
  static constexpr EnumName<PartState> kTable[] = {
      {PartState::kSound, "sound"},
      {PartState::kSuspected, "suspected"},
      {PartState::kQuarantined, "quarantined"},
  };
};

}  // namespace corneltray

#endif  // CORNELTRAY_PART_STATE_H_
