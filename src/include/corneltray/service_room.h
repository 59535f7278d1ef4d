#ifndef CORNELTRAY_SERVICE_ROOM_H_
#define CORNELTRAY_SERVICE_ROOM_H_

namespace corneltray {

// How much work the engines of one service can take, as one host sees it now. All hosts receive the
// same reports of the engines, so they see about the same load, and each takes its share of what is
// left. Tokens are those that a request holds in the KV cache of every stage of its chain.
struct ServiceRoom {
  bool is_known = false;         // false: no recent reports, so nothing is known about the load
  double capacity_tokens = 0.0;  // KV cache of the usable copies, at the smallest stage of each
  double load = 0.0;             // used part of capacity_tokens, at the fullest stage of each copy
  // Part of the demand of all hosts that arrives at this host; 1 if this host is alone.
  double host_share = 1.0;
  double usual_tokens = 1.0;  // of a usual request
  double usual_stay_s =
      1.0;  // time that a usual request holds its tokens on a copy without queueing
  double first_event_s = 0.0;  // usual time to the first event at the present load
};

}  // namespace corneltray

#endif  // CORNELTRAY_SERVICE_ROOM_H_
