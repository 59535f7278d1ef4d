#ifndef CORNELTRAY_EXCHANGE_H_
#define CORNELTRAY_EXCHANGE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "corneltray/attempt_rules.h"
#include "corneltray/enum_names.h"
#include "corneltray/event_stream.h"
#include "corneltray/gateway.h"

namespace corneltray {

// An upstream that has written this many events did not crash on the prompt. A single event may
// arrive from one that does.
constexpr std::uint64_t kEventsOfBegunAnswer = 2;

// An error response of an upstream. It is forwarded if no other upstream succeeds.
struct FallbackResponse {
  HttpHead head;
  std::string body;
  std::string upstream;
  std::uint64_t incarnation = 0;
};

// Why an attempt that is silent goes on.
enum class KeepReason {
  kNotRepeatable,  // the request may not run again, or not at a further upstream
  kNoUpstream,     // no other upstream is available
  kNoQuota,        // no retry is granted now
  kReachUnknown,   // this host itself may be cut off, which is being found out
};

template <>
struct EnumNames<KeepReason> {
  static constexpr EnumName<KeepReason> kTable[] = {
      {KeepReason::kNotRepeatable, "not_repeatable"},
      {KeepReason::kNoUpstream, "no_upstream"},
      {KeepReason::kNoQuota, "no_quota"},
      {KeepReason::kReachUnknown, "reach_unknown"},
  };
};

// A response that is forwarded event by event and may resume at another upstream.
struct StreamedResponse {
  explicit StreamedResponse(const std::string& last_id) : events(last_id) {}

  EventStream events;
  bool begun = false;  // the head was sent to the caller
};

// One admitted request, from its first attempt to its response. The gateway keeps it alive until it
// is finished.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Gateway* gateway, HttpCall call, GatewayRequest request);

  void Start();
  // Handles expired timeouts and checks silent streams.
  void Tick(TimePoint now);
  // An engine no longer responds. A request that waits for it fails over at once.
  void OnEngineLost(TimePoint now, const EngineLoss& loss);
  // Verdicts on prompt parts have changed. Takes back a request that would crash its upstream.
  void OnPromptVerdicts();
  // Ends the request without a response because the process stops.
  void Abandon();

 private:
  // One attempt to run the request at an upstream.
  struct Attempt {
    std::uint32_t number = 0;
    std::string upstream;
    std::uint64_t incarnation = 0;  // of the upstream
    std::string address;
    // The entry host that serves the request for this one. Without it, `address` is that of the
    // upstream, and `upstream` its name.
    std::optional<ForwardHost> host;
    std::uint32_t host_upstreams = 0;  // at which the host may run it
    std::uint32_t host_attempts = 0;   // that the host has sent to upstreams, by its answer
    std::vector<ChainStage> chain;
    TimePoint started_at{};
    TimePoint deadline{};  // of this attempt only
    double tokens = 0.0;   // KV cache tokens held on each stage
    double load = 0.0;     // of the upstream or the most loaded stage when it was chosen
    TimePoint last_event_at{};
    TimePoint check_at{};            // next check if the stream stays silent
    bool is_report_pending = false;  // from the first stage
    bool is_stage_lost = false;  // since the last event; the attempt is left once that is possible
    std::uint64_t events = 0;
    bool is_begin_recorded = false;
    bool is_fault_recorded = false;
    bool is_crash_recorded = false;
    std::optional<KeepReason> kept_for;  // why it went on last in silence
    HttpHead head;                       // of the response
    std::string faulty_address;          // failed stage, if the response names one
    std::string body;                    // buffered until the response is complete
    std::size_t body_bytes = 0;          // reserved for the buffered body
    bool is_event_stream = false;        // forwarded event by event
    UpstreamCall call;
  };

  bool IsStream() const { return m_request.route->kind == CallKind::kStream; }
  // Null if the service has no engines.
  EngineRouter* Router() const { return m_gateway->RouterOf(*m_request.service); }
  bool HasBegun() const { return m_stream.begun; }

  // exchange_attempt.cc
  void SendAttempt();
  void WaitForChain(TimePoint now);
  bool WaitForRoom(TimePoint now);
  bool WaitForRateLimit(TimePoint now);
  void RecordRequest() const;
  bool ChooseTarget(TimePoint now, Attempt* attempt);
  bool ChooseUpstream(TimePoint now, Attempt* attempt);
  TimePoint AttemptDeadline(TimePoint now, const Attempt& attempt) const;
  void RecordBegin();
  std::string FormatAttempt(TimePoint now) const;
  UpstreamCallbacks Callbacks();
  void OnHead(HttpHead head);
  void KeepHead(HttpHead head, const ResponseMetadata& metadata);
  // Ends the attempt if its response cannot be passed on.
  void CheckHead(const ResponseMetadata& metadata);
  void OnBody(std::string_view bytes);
  void OnEnd();
  void OnFailure(UpstreamFailure failure);
  void RecordLoad(const ResponseMetadata& metadata);
  void OnRefused(const ResponseMetadata& metadata);
  void EndAttempt(AttemptEvidence evidence);
  // Ends the attempt. `loss` names the engine that does not respond, if one is suspected.
  void EndAttemptOnLostEngine(AttemptEvidence evidence, const std::optional<EngineLoss>& loss);
  // What a retry of this request is for.
  RetryPurpose NextPurpose() const;
  // `runs` with those at other hosts.
  std::uint32_t CountRuns(TimePoint now, const RunHistory& runs) const;
  // Returns whether a retry may be sent now, and counts it. Logs a refusal.
  bool TryRetry(TimePoint now, RetryPurpose purpose) const;
  // Records why the attempt failed, and releases it. Reports the lost engine, if one is named.
  void RecordFailedAttempt(TimePoint now, AttemptEvidence evidence,
                           const std::optional<EngineLoss>& loss);
  void LogAttemptSent(TimePoint now) const;
  void LogRateLimit(int status, double limit) const;
  void LogAttemptFailure(TimePoint now, AttemptEvidence evidence, HasRun has_run) const;
  void RecordFault(TimePoint now, AttemptEvidence evidence);
  void RecordCrash(CrashPhase phase);
  void CloseAttempt();
  void CancelAttempt();
  // `runs` is the number of upstreams at which the request has run.
  bool CanRetry(const AttemptOutcome& outcome, std::uint32_t runs) const;

  // exchange_silence.cc
  void CheckSilentStream(TimePoint now);
  void OnReport(std::uint32_t attempt, const EngineReport* report);
  // Moves a request whose attempt is silent, but may still be running, to another upstream. If it
  // cannot go on elsewhere now, the attempt goes on and is checked again later.
  void LeaveSilentAttempt(TimePoint now, AttemptEvidence evidence,
                          const std::optional<EngineLoss>& loss);
  // Returns why a silent attempt has to go on, or nothing if the request may be moved. Takes the
  // retry that a move needs.
  std::optional<KeepReason> TakeMove(TimePoint now, AttemptEvidence evidence);
  void KeepAttempt(TimePoint now, AttemptEvidence evidence, KeepReason reason);
  bool HasOtherUpstream(TimePoint now) const;

  // exchange_forward.cc
  // Returns whether the request goes to another entry host if it has a further attempt now.
  bool UsesHosts(TimePoint now) const;
  bool ChooseHost(TimePoint now, Attempt* attempt);
  // Whether the host that forwarded a silent request can move it, but this one, which has become
  // isolated itself, cannot.
  bool IsLeftToForwarder() const;
  // Whether a request has no attempt here any more, because another host can forward it elsewhere.
  bool IsToBeHandedBack() const;
  void HandBack();
  // Holds back the next attempt of a request that failed at the connection to an upstream, and a
  // request without an upstream, until it is known whether this host is cut off.
  bool WaitForReach(TimePoint now, bool has_target);
  // Holds a request back for a moment whose hosts have all refused it.
  bool WaitForHost(TimePoint now);
  void OnHostHead(HttpHead head);
  void AvoidHost(TimePoint now, AttemptEvidence evidence);
  // Whether an attempt that ended like this may have reached an upstream, so that the next one is a
  // retry.
  bool WasOffered(AttemptEvidence evidence) const;
  // Adds what another host that has forwarded the request needs to know.
  void AddServedBy(const std::string& upstream, std::uint64_t incarnation, HttpHead* head) const;

  // exchange.cc
  void ForwardEvents(std::string_view bytes);
  void RecordEvent(TimePoint now);
  // Records the first event of the current attempt.
  void RecordFirstEvent(TimePoint now);
  void FinishStream();
  void FinishBuffered();
  // Records that an upstream has begun the answer, if that has not been recorded for this attempt.
  void RecordAnswerBegun();
  void OnCallerGone();
  void OnDeadline();
  // Whether the request would crash its upstream by what is known now.
  bool IsToBeTakenBack() const;
  // Ends a request with a quarantined prompt part that is no trial.
  void EndQuarantined();
  void Fail(int status);
  void Refuse(GatewayRefusal refusal);
  void Finish(int status, std::string_view outcome);

  Gateway* m_gateway;
  HttpCall m_call;
  GatewayRequest m_request;
  StreamedResponse m_stream;  // unused by other kinds of calls
  std::optional<FallbackResponse> m_fallback_response;
  std::optional<Attempt> m_attempt;
  std::uint32_t m_attempts = 0;
  RunHistory m_runs;
  HasRun m_has_run = HasRun::kNo;
  AttemptEvidence m_last_evidence = AttemptEvidence::kNotConnected;
  std::set<std::string> m_excluded;  // addresses at which this request failed
  std::set<std::string> m_full;      // addresses that refused it
  std::uint32_t m_host_runs = 0;     // that other hosts may have begun for it
  bool m_is_trial = false;           // of a prompt part that was in quarantine at the start
  std::uint32_t m_unoffered = 0;     // attempts that reached no upstream
  ChainScope m_scope = ChainScope::kNone;
  std::optional<TimePoint> m_first_event_at;
  TimePoint m_last_event_at{};                     // of the last event
  Duration m_longest_gap{};                        // between two events
  std::optional<TimePoint> m_chain_wait_deadline;  // for a request that has started
  TimePoint m_chain_wait_until{};                  // no attempt before this time
  bool m_waits_for_reach = false;
  std::uint32_t m_room_waits = 0;
  std::uint64_t m_bytes = 0;  // of the response body
  bool m_finished = false;
};

}  // namespace corneltray

#endif  // CORNELTRAY_EXCHANGE_H_
