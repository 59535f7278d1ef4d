#ifndef CORNELTRAY_FORWARD_REPORT_H_
#define CORNELTRAY_FORWARD_REPORT_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "corneltray/enum_names.h"
#include "corneltray/forward_hosts.h"
#include "corneltray/result.h"
#include "corneltray/time.h"

namespace corneltray {

// Whether an entry host can serve requests of others.
enum class ForwardState {
  kServing,   // it reaches upstreams
  kIsolated,  // it reaches none and needs other hosts
  kStopping,  // it starts, or shuts down
};

template <>
struct EnumNames<ForwardState> {
  static constexpr EnumName<ForwardState> kTable[] = {
      {ForwardState::kServing, "serving"},
      {ForwardState::kIsolated, "isolated"},
      {ForwardState::kStopping, "stopping"},
  };
};

// What an entry host tells the control processes about itself.
struct ForwardReport {
  std::string address;  // IP:PORT at which it takes requests; empty: it serves none of others
  ForwardState state = ForwardState::kStopping;

  bool operator==(const ForwardReport& o) const { return address == o.address && state == o.state; }
};

// Interval of reports that say nothing new.
constexpr std::chrono::seconds kForwardReportInterval{3};
// How long a host counts as it reported last. One report may be lost.
constexpr std::chrono::seconds kForwardReportLifetime{8};
// Hosts that one isolated host is told of. Each is told of others, so that they share the load.
constexpr std::size_t kMaxForwardHosts = 16;

// The entry hosts as they reported last, at a control process. Not thread safe.
class ForwardHostTable {
 public:
  void Store(TimePoint now, const std::string& host, const ForwardReport& report);
  // Returns hosts that serve, at most `max_hosts`. Which of them depends on who asks.
  std::vector<ForwardHost> List(TimePoint now, const std::string& asking,
                                std::size_t max_hosts) const;

 private:
  struct Entry {
    ForwardReport report;
    TimePoint expires_at{};
  };

  std::map<std::string, Entry> m_hosts;  // by name
};

// Encode parts of a route table fetch and of its reply. Decoding fails on a malformed body and then
// returns no part of it.
nlohmann::json EncodeForwardReport(const ForwardReport& report);
Result<ForwardReport> DecodeForwardReport(const nlohmann::json& body);
nlohmann::json EncodeForwardHosts(const std::vector<ForwardHost>& hosts);
Result<std::vector<ForwardHost>> DecodeForwardHosts(const nlohmann::json& body);

}  // namespace corneltray

#endif  // CORNELTRAY_FORWARD_REPORT_H_
