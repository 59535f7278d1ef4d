#ifndef CORNELTRAY_FLEET_MESSAGES_H_
#define CORNELTRAY_FLEET_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "corneltray/result.h"
#include "corneltray/retry.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// An upstream that repeated its last announcement unchanged.
struct UpstreamRefresh {
  std::string name;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
};

// Position in the numbered messages about upstreams that one control process sends to the hosts
// that follow it, or to the other control processes.
struct FeedPosition {
  std::uint64_t epoch = 0;  // incarnation of the sender
  std::uint64_t batch = 0;  // messages with changes so far

  bool operator==(const FeedPosition& o) const { return epoch == o.epoch && batch == o.batch; }
};

// Upstream state that the sender has received. Body of upstream_updates, and of the reply to
// upstream_fetch.
struct UpstreamUpdates {
  std::vector<UpstreamUpdate> updates;
  std::vector<UpstreamRefresh> refreshes;
  std::optional<FeedPosition> position;  // of the sender's messages, after this one
};

// Interval of messages about the health of engines to followers.
constexpr std::chrono::milliseconds kHealthRelayInterval{250};

// Result of the last probe of one engine by a control process of its zone.
struct EngineHealth {
  std::string name;
  std::uint64_t incarnation = 0;
  bool answers = true;    // false: did not respond to several consecutive probes
  double load = 0.0;      // used part of its KV cache or of its slots; over 1 if requests wait
  double slowness = 1.0;  // above 1: this many times slower than its accelerator kind
  std::optional<double> memory;  // used part of its KV cache alone; not told by older processes
};

// Collects the health of engines that several control processes send, so that followers get one
// message for all zones. An engine that was lost or is back is sent at once. Not thread safe.
class EngineHealthBatch {
 public:
  void Add(const std::vector<EngineHealth>& engines);
  // Returns what is due now: everything once per interval, and everything if an engine was lost or
  // is back.
  std::vector<EngineHealth> TakeDue(TimePoint now);

 private:
  std::map<std::string, EngineHealth> m_unsent;  // by engine
  std::map<std::string, bool> m_sent_answers;    // whether the engine answered, as sent last
  bool m_is_urgent = false;
  TimePoint m_next_at{};
};

// Encodes the body of engine_health.
nlohmann::json EncodeEngineHealth(const std::vector<EngineHealth>& engines);
// Fails on a malformed body and then returns no part of it.
Result<std::vector<EngineHealth>> DecodeEngineHealth(const nlohmann::json& body);

nlohmann::json EncodeUpstreamUpdates(const UpstreamUpdates& updates);
// Fails on a malformed body and then returns no part of it.
Result<UpstreamUpdates> DecodeUpstreamUpdates(const nlohmann::json& body);

// Returns an update for every entry of a table.
UpstreamUpdates AllUpstreams(const UpstreamTable& table);

// Encodes all entries of a table, compressed. DecodeUpstreamUpdates reads both forms.
nlohmann::json EncodeUpstreamSnapshot(const UpstreamTable& table);

// Applies all updates and refreshes to a table. Returns how many entries were new or changed.
std::size_t ApplyUpstreamUpdates(TimePoint now, const UpstreamUpdates& updates,
                                 UpstreamTable* table);

// Encodes requests and retries by service. Part of a route table fetch and of its reply.
nlohmann::json EncodeRetryCounts(const std::map<std::string, RetryCounts>& counts);
// Fails on a malformed body.
Result<std::map<std::string, RetryCounts>> DecodeRetryCounts(const nlohmann::json& body);

}  // namespace corneltray

#endif  // CORNELTRAY_FLEET_MESSAGES_H_
