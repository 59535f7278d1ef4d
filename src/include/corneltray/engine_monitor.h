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

// Every engine of the zone is asked this often, which also bounds the age of what hosts know.
constexpr std::chrono::milliseconds kEngineProbeInterval{1000};
// An engine that is fuller than kBusyLoad is asked this often: the hosts together can fill the rest
// of its memory within a second.
constexpr std::chrono::milliseconds kBusyProbeInterval{500};
constexpr double kBusyLoad = 0.6;
// An engine that is emptier than kIdleLoad is asked this often, because each question has its
// price.
constexpr std::chrono::milliseconds kIdleProbeInterval{2500};
constexpr double kIdleLoad = 0.3;
// Answers are gathered this long before all hosts are told of them in one message.
constexpr std::chrono::milliseconds kPublishInterval{500};
// An engine that a host suspects, or that did not answer, is asked again after this time.
constexpr std::chrono::milliseconds kSuspectProbeInterval{200};
// An engine that does not answer this often in a row is taken for lost. One lost packet is not
// enough for that.
constexpr std::uint32_t kFailedProbesBeforeLost = 2;

// A question for a report that is to be sent to an engine.
struct EngineProbe {
  std::string name;
  std::uint64_t incarnation = 0;
  std::string address;
};

// Decides at one control process of an availability zone which engines of the zone are asked for a
// report, and what the entry hosts are told of the answers. Answers the load of many entry hosts,
// each of which sees few requests: alone they learn too late that an engine is full, slow or gone,
// and each finds it out by requests that fail. Not thread safe.
class EngineMonitor {
 public:
  // Returns the engines to ask now and counts them as asked.
  std::vector<EngineProbe> TakeDueProbes(TimePoint now, const std::string& zone,
                                         const UpstreamTable& upstreams);

  // A host got no answer from this engine, or a refusal that its load does not explain.
  void Suspect(TimePoint now, const std::string& name);

  // How a question ended. Each question of Due ends in one of these.
  void OnProbeAnswered(const EngineProbe& question, const EngineReport& report);
  void OnProbeFailed(TimePoint now, const EngineProbe& question);

  // What is to be told to all hosts now: the answers since the last time once in kPublishInterval,
  // and at once what was lost or came back. While most engines do not answer, this process is taken
  // to be cut off and nothing is said of those that do not.
  std::vector<EngineHealth> TakeHealthUpdates(TimePoint now);

  // Forgets all answers, when another process asks the engines from now on.
  void Clear() { m_watched.clear(); }

 private:
  struct Watched {
    EngineHealth health;
    TimePoint asked_at{};
    TimePoint ask_at{};
    std::uint32_t unanswered = 0;  // in a row
    bool is_asking = false;
    bool is_known = false;   // an answer, or kFailedProbesBeforeLost questions without one
    bool is_untold = false;  // of the last question
    bool is_urgent = false;  // lost or back, and not yet told
  };

  static std::chrono::milliseconds AskInterval(const Watched& engine);
  Watched* Find(const EngineProbe& question);
  bool IsCutOff() const;

  std::map<std::string, Watched> m_watched;  // by name
  TimePoint m_tell_at{};
};

}  // namespace corneltray

#endif  // CORNELTRAY_ENGINE_MONITOR_H_
