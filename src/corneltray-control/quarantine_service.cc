#include "quarantine_service.h"

#include <algorithm>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "corneltray/control_protocol.h"
#include "corneltray/key_lease.h"
#include "corneltray/log.h"
#include "corneltray/prompt_messages.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kForwardTimeout{250};
// Pause between two proposals of verdicts, so that one that is on its way is not proposed again.
constexpr std::chrono::milliseconds kRecordInterval{500};

void LogMalformed(const PeerIdentity& from, MessageType type, const Error& error) {
  LogEvent(LogLevel::kWarning, "message_refused",
           {{"of", from.host}, {"type", NameOf(type)}, {"error", error.ToString()}});
}

}  // namespace

void QuarantineService::Register() {
  m_options.node->SetPushHandler(
      MessageType::kPromptCrash, [this](const PeerIdentity& from, const json& body) {
        auto report = DecodeCrashReport(body);
        if (!report) return LogMalformed(from, MessageType::kPromptCrash, report.error());
        asio::post(*m_io, [this, from, body, report = std::move(report).value()] {
          Relay(from, MessageType::kPromptCrash, body);
          OnCrash(from.host, report);
        });
      });
  m_options.node->SetPushHandler(
      MessageType::kPromptBegun, [this](const PeerIdentity& from, const json& body) {
        auto parts = DecodePromptParts(body);
        if (!parts) return LogMalformed(from, MessageType::kPromptBegun, parts.error());
        asio::post(*m_io, [this, from, body, parts = std::move(parts).value()] {
          Relay(from, MessageType::kPromptBegun, body);
          OnAnswerBegun(from.host, parts);
        });
      });
  m_options.node->SetPushHandler(
      MessageType::kPromptVerdicts, [this](const PeerIdentity& from, const json& body) {
        auto verdicts = DecodePartVerdicts(body);
        if (!verdicts) return LogMalformed(from, MessageType::kPromptVerdicts, verdicts.error());
        asio::post(*m_io, [this, body, verdicts = std::move(verdicts).value()] {
          m_options.distributor->RelayToFollowers(MessageType::kPromptVerdicts, body);
          OnVerdicts(verdicts);
        });
      });
  m_options.node->SetRequestHandler(
      MessageType::kPromptTrial,
      [this](const PeerIdentity& from, const json& body, const PeerNode::Responder& respond) {
        auto request = DecodeTrialRequest(body);
        if (!request) {
          LogMalformed(from, MessageType::kPromptTrial, request.error());
          return respond(request.error());
        }
        const bool is_forwarded = from.program == kControlProgram;
        asio::post(*m_io,
                   [this, host = from.host, request = std::move(request).value(), is_forwarded,
                    respond] { OnTrial(host, request, is_forwarded, respond); });
      });
}

void QuarantineService::Relay(const PeerIdentity& from, MessageType type, const json& body) {
  if (from.program == kControlProgram) return;
  m_options.distributor->RelayToControlHosts(type, body);
}

void QuarantineService::Check() {
  m_attribution.DropDisproved(Clock::now(), *m_options.upstreams);
  PublishChanges();
  RecordIfDue();
}

void QuarantineService::OnRecorded(const std::vector<StoredPartVerdict>& recorded) {
  m_recorded = recorded;
  const TimePoint now = Clock::now();
  std::vector<PartVerdict> recovered;
  for (const PartVerdict& verdict : RecoverVerdicts(recorded, UnixNow())) {
    const bool is_unknown = !m_attribution.IsKnown(verdict.part);
    const std::uint64_t known = m_attribution.VerdictOn(now, verdict.part).generation;
    if (is_unknown || verdict.generation > known) recovered.push_back(verdict);
  }
  if (recovered.empty()) return;
  m_attribution.Merge(now, recovered);
  LogEvent(LogLevel::kInfo, "prompt_verdicts_recovered", {{"parts", recovered.size()}});
  m_options.distributor->RelayToFollowers(MessageType::kPromptVerdicts,
                                          EncodePartVerdicts(recovered));
}

void QuarantineService::RecordIfDue() {
  const TimePoint now = Clock::now();
  if (now < m_next_record_at || !m_options.leadership->LeadingTerm(BootTimeNow())) return;
  RecordPartVerdicts command{FindUnrecorded(m_attribution.Verdicts(now), m_recorded, UnixNow())};
  if (command.verdicts.empty()) return;
  m_next_record_at = now + kRecordInterval;
  LogEvent(LogLevel::kInfo, "prompt_verdicts_proposed", {{"parts", command.verdicts.size()}});
  m_options.record(command);
}

void QuarantineService::SendVerdicts(const std::string& host) const {
  const std::vector<PartVerdict> verdicts = m_attribution.Verdicts(Clock::now());
  if (verdicts.empty()) return;
  m_options.node->Send(host, MessageType::kPromptVerdicts, EncodePartVerdicts(verdicts));
}

void QuarantineService::OnCrash(const std::string& reporter, const CrashReport& report) {
  LogEvent(LogLevel::kWarning, "prompt_crash_reported",
           {{"of", reporter},
            {"upstream", report.upstream},
            {"incarnation", report.incarnation},
            {"phase", NameOf(report.phase)},
            {"prompt_parts", report.parts}});
  CrashReport known = report;
  // This process may have heard a later announcement than the reporter.
  const UpstreamTableEntry* upstream = m_options.upstreams->Find(report.upstream);
  if (upstream != nullptr && upstream->announcement.incarnation == report.incarnation) {
    known.sequence = std::max(known.sequence, upstream->announcement.sequence);
  }
  m_attribution.OnCrash(Clock::now(), known);
  if (m_attribution.HasUrgentChange()) PublishChanges();
}

void QuarantineService::OnAnswerBegun(const std::string& reporter,
                                      const std::vector<std::string>& parts) {
  LogEvent(LogLevel::kInfo, "prompt_answer_begun", {{"of", reporter}, {"prompt_parts", parts}});
  m_attribution.OnAnswerBegun(Clock::now(), parts);
  if (m_attribution.HasUrgentChange()) PublishChanges();
}

void QuarantineService::OnVerdicts(const std::vector<PartVerdict>& verdicts) {
  m_attribution.Merge(Clock::now(), verdicts);
}

void QuarantineService::OnTrial(const std::string& host, const TrialRequest& request,
                                bool is_forwarded, const PeerNode::Responder& respond) {
  if (m_options.leadership->LeadingTerm(BootTimeNow())) return GrantTrial(host, request, respond);
  // A process that is asked by another control process but does not lead refuses: the caller may
  // come back once the leader is known.
  const std::string& leader = m_options.leadership->LeaderHost();
  if (is_forwarded || leader.empty()) return respond(EncodeTrialReply(false));
  m_options.node->Request(leader, MessageType::kPromptTrial, EncodeTrialRequest(request),
                          Clock::now() + kForwardTimeout, [respond](const Result<json>& reply) {
                            respond(reply ? reply.value() : EncodeTrialReply(false));
                          });
}

void QuarantineService::GrantTrial(const std::string& host, const TrialRequest& request,
                                   const PeerNode::Responder& respond) {
  const TimePoint now = Clock::now();
  // A leader that has just started may not know the part yet.
  m_attribution.Merge(now, {request.verdict});
  const std::string& part = request.verdict.part;
  const bool is_granted = m_attribution.GrantTrial(now, part, request.reason);
  LogEvent(LogLevel::kInfo, "prompt_trial",
           {{"for", host},
            {"part", part},
            {"reason", NameOf(request.reason)},
            {"is_granted", is_granted}});
  m_options.metrics->Count("prompt_trials", is_granted ? "granted" : "refused");
  respond(EncodeTrialReply(is_granted));
}

void QuarantineService::PublishChanges() {
  const std::vector<PartVerdict> changes = m_attribution.TakeChanges(Clock::now());
  if (changes.empty()) return;
  for (const PartVerdict& verdict : changes) {
    m_options.metrics->Count("prompt_part_verdicts", NameOf(verdict.state));
    LogEvent(LogLevel::kInfo, "prompt_part_verdict",
             {{"part", verdict.part},
              {"state", NameOf(verdict.state)},
              {"generation", verdict.generation},
              {"crashes", verdict.crashes.all},
              {"companions", verdict.companions},
              {"trial_in_ms", verdict.trial_in.count()}});
  }
  m_options.distributor->Broadcast(MessageType::kPromptVerdicts, EncodePartVerdicts(changes));
  RecordIfDue();
}

}  // namespace corneltray
