#ifndef CORNELTRAY_QUARANTINE_SERVICE_H_
#define CORNELTRAY_QUARANTINE_SERVICE_H_

#include <asio/io_context.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "corneltray/crash_attribution.h"
#include "corneltray/leadership_view.h"
#include "corneltray/metrics.h"
#include "corneltray/part_verdict_store.h"
#include "corneltray/peer.h"
#include "corneltray/prompt_quarantine.h"
#include "corneltray/upstream_distributor.h"
#include "corneltray/upstream_table.h"

namespace corneltray {

// Collects at a control process the crashes that all entry hosts report, decides which prompt parts
// are quarantined and tells all hosts. Each control process decides by itself from the same
// reports, so the decision outlives the loss of any of them. Only the leader grants trials, so that
// one request in the region is sent and not one for each host. The leader records the verdicts in
// the replicated log, from which all processes recover them after a restart. Runs on one
// io_context; handlers of PeerNode run on its I/O thread.
class QuarantineService {
 public:
  struct Options {
    PeerNode* node = nullptr;                    // must outlive this object
    const UpstreamTable* upstreams = nullptr;    // must outlive this object
    Metrics* metrics = nullptr;                  // must outlive this object
    UpstreamDistributor* distributor = nullptr;  // must outlive this object
    const LeadershipView* leadership = nullptr;  // must outlive this object
    // Proposes verdicts to the replicated log. Called at the leader.
    std::function<void(const RecordPartVerdicts&)> record;
  };

  QuarantineService(asio::io_context* io, Options options)
      : m_io(io), m_options(std::move(options)) {}

  // Registers the handlers of peer messages. Call before PeerNode::Start.
  void Register();
  // Drops evidence that announcements disprove, and tells the changes that can wait: a crash breaks
  // off many requests, and one message to each host has to do. Called several times per second.
  void Check();
  // Takes over the verdicts that the replicated log holds, and tells the linked hosts those that
  // this process did not know, as after a restart.
  void OnRecorded(const std::vector<StoredPartVerdict>& recorded);
  // Sends all verdicts to a process that has just been linked.
  void SendVerdicts(const std::string& host) const;

 private:
  void OnCrash(const std::string& reporter, const CrashReport& report);
  void OnAnswerBegun(const std::string& reporter, const std::vector<std::string>& parts);
  // Passes a report of an entry host, which is linked to few control processes, on to the others.
  void Relay(const PeerIdentity& from, MessageType type, const nlohmann::json& body);
  void OnVerdicts(const std::vector<PartVerdict>& verdicts);
  void OnTrial(const std::string& host, const TrialRequest& request, bool is_forwarded,
               const PeerNode::Responder& respond);
  void GrantTrial(const std::string& host, const TrialRequest& request,
                  const PeerNode::Responder& respond);
  void PublishChanges();
  // Proposes what the replicated log lacks, if this process leads.
  void RecordIfDue();

  asio::io_context* m_io;
  Options m_options;
  CrashAttribution m_attribution;
  std::vector<StoredPartVerdict> m_recorded;  // in the replicated log, as applied here
  TimePoint m_next_record_at{};
};

}  // namespace corneltray

#endif  // CORNELTRAY_QUARANTINE_SERVICE_H_
