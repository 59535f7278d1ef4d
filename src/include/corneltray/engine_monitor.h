#ifndef CORNELTRAY_ENGINE_MONITOR_H_
#define CORNELTRAY_ENGINE_MONITOR_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "corneltray/dialect.h"
#include "corneltray/fleet_messages.h"
#include "corneltray/time.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// Default interval between probes of an engine. Also bounds the age of the health data of the
// hosts.
constexpr std::chrono::milliseconds kEngineProbeInterval{1000};
// Probe interval for an engine with a load of kBusyLoad or more, since the hosts together can fill
// the rest of its memory within a second.
constexpr std::chrono::milliseconds kBusyProbeInterval{500};
constexpr double kBusyLoad = 0.45;
// Probe interval for an engine with a load below kIdleLoad, because each probe has a cost. A load
// of 0.3 can become a full engine within this time, so only nearly unused engines are idle.
constexpr std::chrono::milliseconds kIdleProbeInterval{2500};
constexpr double kIdleLoad = 0.15;
// Probe results are batched for this long before they are sent to all hosts in one message.
constexpr std::chrono::milliseconds kPublishInterval{250};
// An engine that a host suspects, or that did not respond, is probed again after this time.
constexpr std::chrono::milliseconds kSuspectProbeInterval{200};
// Consecutive failed probes after which an engine is considered lost. A single lost packet must not
// suffice.
constexpr std::uint32_t kFailedProbesBeforeLost = 2;

// A request for a report that is due to be sent to an engine.
struct EngineProbe {
  std::string name;
  std::uint64_t incarnation = 0;
  std::string address;
};

// Schedules health probes of the engines of one availability zone and selects the results to send
// to the entry hosts. Runs in one control process per zone. With many entry hosts each sees few
// requests, so a host on its own detects a full, slow or lost engine too late and only through
// failed requests. Not thread safe.
class EngineMonitor {
 public:
  // Returns the probes to send now and marks them as in progress.
  std::vector<EngineProbe> TakeDueProbes(TimePoint now, const std::string& zone,
                                         const UpstreamTable& upstreams);

  // A host got no response from this engine, or a refusal that its load does not explain.
  void Suspect(TimePoint now, const std::string& name);

  // Each probe of TakeDueProbes ends in a call to one of these.
  void OnProbeAnswered(const EngineProbe& probe, const EngineReport& report);
  void OnProbeFailed(TimePoint now, const EngineProbe& probe);

  // Returns the health to send to all hosts now: new results once per kPublishInterval, and engines
  // that were lost or recovered immediately. While most engines do not respond, this process is
  // assumed to be partitioned and does not report the engines without a response.
  std::vector<EngineHealth> TakeHealthUpdates(TimePoint now);

  // Discards all state. Called when another process takes over probing.
  void Clear() { m_engines.clear(); }

 private:
  struct MonitoredEngine {
    EngineHealth health;
    TimePoint probed_at{};
    TimePoint next_probe_at{};
    std::uint32_t failed_probes = 0;  // consecutive
    bool is_probing = false;
    bool is_known = false;        // has responded, or failed kFailedProbesBeforeLost probes
    bool is_unpublished = false;  // the last result was not sent
    bool is_urgent = false;       // lost or recovered, and not yet sent
  };

  static std::chrono::milliseconds ProbeInterval(const MonitoredEngine& engine);
  MonitoredEngine* Find(const EngineProbe& probe);
  bool IsPartitioned() const;

  std::map<std::string, MonitoredEngine> m_engines;  // by name
  TimePoint m_next_publish_at{};
};

}  // namespace corneltray

#endif  // CORNELTRAY_ENGINE_MONITOR_H_
