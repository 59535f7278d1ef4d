#ifndef CORNELTRAY_LOAD_TABLE_H_
#define CORNELTRAY_LOAD_TABLE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "corneltray/time.h"
#include "corneltray/upstream.h"

namespace corneltray {

// Reports older than this count only through this process's own work in flight.
constexpr std::chrono::seconds kLoadReportExpiry{5};

// Small number that stands for the name of an upstream in one LoadTable. Never reused.
using UpstreamId = std::uint32_t;

// Load of each upstream: the last report with its arrival time, and the work that this process
// itself has in flight. Not thread safe.
class LoadTable {
 public:
  // Returns the number of a name, and makes a new one for an unknown name.
  UpstreamId Intern(const std::string& name);

  // Takes in a report, from an announcement or a reply.
  void Report(TimePoint now, const std::string& name, const LoadReport& report);

  // Counts a unit of this process's own work on an upstream. Every Begin is followed by one End.
  void Begin(TimePoint now, const std::string& name);
  void End(TimePoint now, const std::string& name);

  // Requests that a new one finds there: the reported queue plus what this process has started
  // since that report arrived; with no report or an expired one, this process's work alone.
  double Queue(TimePoint now, UpstreamId id) const;
  // This process's own work in flight.
  std::uint32_t InFlight(UpstreamId id) const;

  // Drops the report of an upstream that was removed. Work in flight stays counted.
  void Forget(const std::string& name);

 private:
  struct Entry {
    LoadReport report;
    TimePoint expires_at{};  // of the report
    std::uint32_t in_flight = 0;
    std::uint32_t started_since_report = 0;
  };
  std::unordered_map<std::string, UpstreamId> m_ids;
  std::vector<Entry> m_entries;
};

}  // namespace corneltray

#endif  // CORNELTRAY_LOAD_TABLE_H_
