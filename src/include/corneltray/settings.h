#ifndef CORNELTRAY_SETTINGS_H_
#define CORNELTRAY_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "corneltray/admission_mode.h"
#include "corneltray/log.h"
#include "corneltray/schema.h"
#include "corneltray/server_pace.h"

namespace corneltray {

// Settings of one process, from its own TOML file. All programs read the same keys and use those
// that concern them.
struct HostSettings {
  std::string name;  // unique in the region, names the process in logs and messages
  std::string region;
  std::string site;  // which overlay of the configuration is in force here
  std::string availability_zone;
  std::string http_address;        // IP:PORT for callers, upstreams and operators
  std::string peer_address;        // IP:PORT for corneltray processes
  std::string ready_address;       // IP:PORT of the readiness check; empty: at http_address
  std::string metrics_address;     // IP:PORT of the metrics; empty: not served apart
  std::string peer_name;           // on links and in the replicated log; empty: `name`
  std::string peer_advertise;      // IP:PORT that peers are told; empty: the bound address
  std::vector<std::string> seeds;  // peer addresses to join through
  std::string shared_key;
  std::string operator_key;
  std::string data_folder;                 // empty on a host without a disk
  std::vector<std::string> control_hosts;  // names of the control replicas, for the first start
  bool control_found_from_seeds = false;   // control_hosts are the hosts of the seeds
  bool control_first_start = false;        // the region starts for the first time
  std::uint32_t control_voters = 0;  // replicas that vote, when members are kept by themselves
  std::string fleet_address;  // IP:PORT for upstreams and operators in the installation's dialect
  std::vector<std::string> lease_voters;  // names of the placement processes of this zone
  std::uint32_t http_threads = 0;
  std::size_t memory_mb = 0;   // that this process may use; 0: that of the machine
  std::size_t open_files = 0;  // that this process may have; 0: by its limit in the system
  std::int64_t drain_grace_ms = 0;
  std::int64_t drain_deadline_ms = 0;
  LogLevel log_level = LogLevel::kInfo;
  std::string weight_store;       // IP:PORT, for placement
  std::int64_t key_lease_ms = 0;  // customer keys are honoured this long without the log
  double retry_ratio = 0.0;       // second attempts for each request, over all entry hosts
  double retry_allowance = 0.0;   // second attempts in a window that need no requests
  std::int64_t retry_window_ms = 0;
  AdmissionMode admission = AdmissionMode::kAuto;
  PaceMode pace_mode = PaceMode::kAuto;  // of servers that have just started or recovered
};

const std::vector<KeySpec>& HostSettingsSchema();

// Parses a settings text. Issues are returned in `issues`; the settings are usable only if it stays
// empty.
HostSettings ParseHostSettings(const SourceText& source, std::vector<DocumentIssue>* issues);

// Reads and parses a settings file. A file that cannot be read gives one issue with line 0.
HostSettings LoadHostSettings(const std::string& path, std::vector<DocumentIssue>* issues);

}  // namespace corneltray

#endif  // CORNELTRAY_SETTINGS_H_
