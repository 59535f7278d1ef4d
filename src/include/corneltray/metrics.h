#ifndef CORNELTRAY_METRICS_H_
#define CORNELTRAY_METRICS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "corneltray/peer.h"
#include "corneltray/time.h"

namespace corneltray {

// Counters and latency histograms of one process, with text exposition in the format that
// Prometheus reads. Thread safe.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // One response to a caller. `kind` is "completion" or "service".
  void RecordResponse(std::string_view kind, int status, Duration latency);
  void RecordFirstToken(Duration latency);
  void RecordTokenGap(Duration latency);

  // Adds to a counter with one label, for example ("resumes", "no_progress").
  void Count(std::string_view name, std::string_view label, std::uint64_t number = 1);

  // Returns the exposition. `gauges` are values read at this moment, by metric name.
  std::string Text(const std::map<std::string, double>& gauges) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

// Returns the exposition of the counters of the links to other processes, the same for every
// program.
std::string PeerMetricsText(const PeerCounters& counters);
// Returns the exposition of the counters by message type.
std::string PeerMessageMetricsText(const std::map<MessageType, PeerMessageCounters>& by_type);

}  // namespace corneltray

#endif  // CORNELTRAY_METRICS_H_
