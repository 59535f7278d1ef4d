#ifndef CORNELTRAY_CANDIDATE_VIEW_H_
#define CORNELTRAY_CANDIDATE_VIEW_H_

#include <cstdint>
#include <optional>
#include <string>

#include "corneltray/enum_names.h"
#include "corneltray/time.h"

namespace corneltray {

// Why an upstream is not the first choice for a request, the strongest reason first.
enum class CandidateReason {
  kNone,         // it may be chosen
  kLeaving,      // it is not ready, or is shutting down
  kBlocked,      // it asked this host for no requests now
  kSuspected,    // it did not respond to a request of this host
  kUnreachable,  // a connection to it failed recently
  kLost,         // its announcements have timed out, or the control processes get no answer
  kEjected,      // it failed repeatedly or is slow
  kFull,         // it had no memory for a prompt recently
  kPace,         // it has started or recovered recently and has no room at its pace
};

template <>
struct EnumNames<CandidateReason> {
  static constexpr EnumName<CandidateReason> kTable[] = {
      {CandidateReason::kNone, ""},
      {CandidateReason::kLeaving, "leaving"},
      {CandidateReason::kBlocked, "asked_for_no_requests"},
      {CandidateReason::kSuspected, "suspected"},
      {CandidateReason::kUnreachable, "unreachable"},
      {CandidateReason::kLost, "lost"},
      {CandidateReason::kEjected, "ejected"},
      {CandidateReason::kFull, "full"},
      {CandidateReason::kPace, "no_room_at_its_pace"},
  };
};

// One upstream as the selection sees it, for operators.
struct CandidateView {
  std::string upstream;
  std::string address;
  std::string availability_zone;
  CandidateReason reason = CandidateReason::kNone;
  double load = 0.0;                   // used part of its slots or memory
  double score = 0.0;                  // load and penalties together; lower is better
  double room = 0.0;                   // slots or tokens that are free
  double share = 1.0;                  // of its weight, at its pace
  std::optional<Duration> report_age;  // of the load; nullopt: only this host's requests are known
  std::uint32_t first_layer = 0;       // layers [first, end) of an engine
  std::uint32_t end_layer = 0;
};

}  // namespace corneltray

#endif  // CORNELTRAY_CANDIDATE_VIEW_H_
