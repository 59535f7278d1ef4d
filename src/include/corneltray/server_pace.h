#ifndef CORNELTRAY_SERVER_PACE_H_
#define CORNELTRAY_SERVER_PACE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "corneltray/enum_names.h"
#include "corneltray/time.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

enum class PaceMode {
  kAuto,  // servers that are new, restarted or recovered are paced
  kOff,
};

template <>
struct EnumNames<PaceMode> {
  static constexpr EnumName<PaceMode> kTable[] = {
      {PaceMode::kAuto, "auto"},
      {PaceMode::kOff, "off"},
  };
};

// Why a server is paced.
enum class PaceReason {
  kNew,
  kRestarted,
  kHeardAgain,     // its announcements had timed out
  kHealthy,        // the control processes had reported that it does not answer
  kEjectionEnded,  // this host had ejected it as an outlier
  kFleet,          // other hosts pace it, and this host has just started
};

template <>
struct EnumNames<PaceReason> {
  static constexpr EnumName<PaceReason> kTable[] = {
      {PaceReason::kNew, "new"},
      {PaceReason::kRestarted, "restarted"},
      {PaceReason::kHeardAgain, "heard_again"},
      {PaceReason::kHealthy, "healthy"},
      {PaceReason::kEjectionEnded, "ejection_ended"},
      {PaceReason::kFleet, "fleet"},
  };
};

// What hosts have seen of one paced server since they began to pace it. Cumulative, so that a
// report that is lost or counted twice changes nothing.
struct PaceCounts {
  std::uint64_t incarnation = 0;
  std::uint32_t answered = 0;
  double latency_ratios = 0.0;  // sum over the answers: latency over that of its kind
  double busy_s = 0.0;          // sum of their latencies
  std::uint32_t refused = 0;
  std::uint32_t failed = 0;   // also answers that came too late
  std::uint32_t limited = 0;  // requests that went elsewhere only because of the pace
  double window = 0.0;        // of the host; in a sum, of all hosts together
  std::uint32_t hosts = 0;    // that were counted together
};

using ServerPaceCounts = std::map<std::string, PaceCounts>;  // by server

// The counts of all entry hosts.
struct FleetPace {
  std::uint32_t hosts = 0;  // entry hosts that send reports, also those that pace no server
  ServerPaceCounts servers;
};

// Adds the counts of one host to a sum. Counts of an older incarnation are left out.
void AddPaceCounts(const ServerPaceCounts& counts, ServerPaceCounts* sum);

enum class PaceStep { kBegin, kFall, kEnd };

template <>
struct EnumNames<PaceStep> {
  static constexpr EnumName<PaceStep> kTable[] = {
      {PaceStep::kBegin, "begin"},
      {PaceStep::kFall, "fall"},
      {PaceStep::kEnd, "end"},
  };
};

// A change that is worth a line in the log.
struct PaceEvent {
  PaceStep step = PaceStep::kBegin;
  std::string server;
  PaceReason reason = PaceReason::kNew;
  double window = 0.0;         // after the change
  std::uint32_t answered = 0;  // by this host's count
  Duration since_begin{};
};

// Limits the requests in flight at servers that have just started or recovered. Each such server
// has a window for all hosts together, which changes with its answers as in congestion control: it
// doubles with each round of good answers, grows by its square root once the server has shown its
// limit, shrinks with the ratio of the latency to that of its kind, halves on refusals and starts
// again from one request on failures. The window ends, without any fixed time, when no host holds
// back requests any more. Hosts exchange what they have seen, and each takes its part of the
// window. Not thread safe.
class ServerPace {
 public:
  // `seed` must differ between hosts.
  ServerPace(PaceMode mode, std::uint64_t seed);

  // Updates the set of servers, and begins to pace those that are new or restarted. A server is not
  // new if this host has known its service only for a short time.
  void SetServers(TimePoint now, const UpstreamTable& upstreams);
  // Records whether a server can get requests at all, as far as `reason` is concerned. It is paced
  // when it becomes available again.
  void SetAvailable(TimePoint now, const std::string& server, PaceReason reason, bool available);

  // Count the start and the end of a request of this host.
  void Begin(const std::string& server);
  void End(const std::string& server);
  // An answer, or the first event of a stream. `expected` is the recent latency of servers of its
  // kind that are not paced; zero if there is none.
  void Answered(TimePoint now, const std::string& server, Duration latency, Duration expected);
  void Refused(TimePoint now, const std::string& server);
  void Failed(TimePoint now, const std::string& server);
  // A request went to another server because this one had no room.
  void Limited(const std::string& server);

  // Whether no server is paced. Then Share() is 1 and HasRoom() is true for all of them.
  bool IsIdle() const { return m_ramps.empty(); }
  bool IsPaced(const std::string& server) const { return m_ramps.count(server) > 0; }
  // Factor of the weight of a server in the selection, above 0 and at most 1.
  double Share(const std::string& server) const;
  // Whether this host may send another request to the server.
  bool HasRoom(const std::string& server) const;

  // Counts of the servers that are paced and have been considered for requests.
  ServerPaceCounts OwnCounts() const;
  // Applies the counts of all hosts.
  void SetFleet(TimePoint now, const FleetPace& fleet);

  std::vector<PaceEvent> TakeEvents();
  // Number of servers that are paced, and the sum of their windows.
  std::size_t PacedServers() const { return m_ramps.size(); }
  double WindowSum() const;
  // Refusals and failures of paced servers that this host has seen.
  std::uint64_t RefusedInRamps() const { return m_refused_in_ramps; }

 private:
  // Outcomes that one decision about the window is based on.
  struct Outcomes {
    double answered = 0.0;
    double latency_ratios = 0.0;
    double busy_s = 0.0;
    double refused = 0.0;
    double failed = 0.0;
    double limited = 0.0;
  };
  struct Ramp {
    PaceReason reason = PaceReason::kNew;
    TimePoint began_at{};
    double window = 0.0;            // requests in flight of all hosts together
    double slow_start_end = 0.0;    // window above which it no longer doubles
    bool has_grown = false;         // by the last decision
    bool has_fallen = false;        // because of an outcome at this host, since the last decision
    std::uint32_t slow_rounds = 0;  // decisions in a row with slow answers and none held back
    // Requests in flight that all hosts may have for each that they are expected to have. Most
    // hosts have no request for the server most of the time.
    double overcommitment = 1.0;
    double max_overcommitment = 1.0;
    TimePoint decided_at{};
    double draw = 0.0;  // in [0, 1); decides whether a part of a request counts as a whole one
    PaceCounts own;
    PaceCounts fleet;      // that the last decision was based on
    bool is_told = false;  // counts of other hosts have been received
    Outcomes round;        // at this host, since the last decision
  };
  struct Server {
    std::uint64_t incarnation = 0;
    std::string service;
    std::uint32_t in_flight = 0;  // requests of this host
    bool was_paced = false;       // in this incarnation
  };
  struct Service {
    TimePoint known_since{};
    std::uint32_t servers = 0;
    std::uint32_t in_flight = 0;   // requests of this host
    double usual_in_flight = 0.0;  // moving average of in_flight, at the start of each request
  };

  void AddServer(TimePoint now, const Announcement& announcement);
  void BeginRamp(TimePoint now, const std::string& server, PaceReason reason);
  void RemoveServer(const std::string& name);
  void JoinFleet(TimePoint now, const std::string& server, const PaceCounts& sum);
  std::uint32_t HostsOf(const Ramp& ramp) const;
  // Requests that this host may have in flight.
  double Limit(const Ramp& ramp) const;
  // Whether this host decides by its own outcomes, because it is alone or hears of no others.
  bool DecidesAlone(TimePoint now, const Ramp& ramp) const;
  void RecordBad(TimePoint now, const std::string& server, double window, Ramp* ramp);
  // Decides after each window of outcomes, if this host decides alone.
  void CompleteRound(TimePoint now, const std::string& server);
  // Changes the window. Returns whether the ramp ends.
  bool Decide(TimePoint now, const std::string& server, const Outcomes& outcomes, Ramp* ramp);
  static bool IsComplete(const Outcomes& outcomes, bool is_slow, Ramp* ramp);
  void SetOvercommitment(double in_flight, double most, Ramp* ramp) const;
  void SetWindow(TimePoint now, const std::string& server, double window, Ramp* ramp);
  void EndRamp(TimePoint now, const std::string& server);
  void AddEvent(TimePoint now, PaceStep step, const std::string& server, const Ramp& ramp);
  double Draw() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }

  PaceMode m_mode;
  std::mt19937_64 m_random;
  std::map<std::string, Server> m_servers;    // by name
  std::map<std::string, Service> m_services;  // by name
  std::map<std::string, PaceReason> m_unavailable;
  std::map<std::string, Ramp> m_ramps;  // by server
  std::uint32_t m_hosts = 1;            // entry hosts that send reports
  TimePoint m_fleet_valid_until{};      // of the counts of the other hosts
  std::vector<PaceEvent> m_events;
  std::uint64_t m_refused_in_ramps = 0;
};

}  // namespace corneltray

#endif  // CORNELTRAY_SERVER_PACE_H_
