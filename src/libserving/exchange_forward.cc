// Attempts of an Exchange at other entry hosts, while this one reaches no upstream.
#include <algorithm>
#include <utility>

#include "exchange.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;
constexpr int kUnavailable = 503;
constexpr int kMisdirectedStatus = 421;
// A host that failed or refused a request is avoided for this long by the others.
constexpr milliseconds kHostAvoidance{300};
// If all hosts have refused a request, they are asked again after this pause: they may have been
// about to apply a change of the route table.
constexpr milliseconds kHostPause{100};
constexpr milliseconds kMaxHostWait{500};

// Whether a response that another host made itself says that the request has not run. The two hosts
// agree about the request, so a client error is one of the connection between them.
bool IsHostRefusal(int status) {
  return (status >= kFirstClientError && status < kFirstServerError) || status == kUnavailable;
}

}  // namespace

bool Exchange::WaitForReach(TimePoint now, bool has_target) {
  const bool has_lost_connection =
      m_attempts > 0 && (m_last_evidence == AttemptEvidence::kNotConnected ||
                         m_last_evidence == AttemptEvidence::kNoAnswer ||
                         m_last_evidence == AttemptEvidence::kTruncated);
  const bool may_wait = has_lost_connection || !has_target || m_gateway->IsIsolated();
  if (!may_wait || IsToBeHandedBack() || !m_gateway->IsReachUnknown(now)) {
    if (std::exchange(m_waits_for_reach, false)) m_chain_wait_deadline.reset();
    return false;
  }
  // Both the probes and the wait for hosts end by themselves.
  m_waits_for_reach = true;
  m_chain_wait_deadline = m_request.deadline;
  m_chain_wait_until = now;
  return true;
}

bool Exchange::IsToBeHandedBack() const { return m_request.forwarded && m_gateway->IsIsolated(); }

void Exchange::HandBack() {
  if (m_has_run == HasRun::kNo && !HasBegun()) return Refuse(GatewayRefusal::kIsolated);
  Fail(ClassifyAttempt(m_last_evidence, IsRetrySafe(*m_request.route)).status);
}

bool Exchange::IsLeftToForwarder() const {
  return IsToBeHandedBack() && IsRetrySafe(*m_request.route);
}

bool Exchange::UsesHosts(TimePoint now) const {
  return !m_request.forwarded && m_gateway->IsForwarding(now);
}

bool Exchange::ChooseHost(TimePoint now, Attempt* attempt) {
  std::set<std::string> excluded = m_excluded;
  excluded.insert(m_full.begin(), m_full.end());
  const auto host = m_gateway->GetForwardHosts().Choose(now, excluded);
  const std::uint32_t runs = CountRuns(now, m_runs);
  const std::uint32_t allowed = MaxUpstreams(m_request);
  if (!host || runs >= allowed) return false;
  attempt->host = host;
  // One is kept, if possible, for another host if this one fails.
  attempt->host_upstreams = std::max(allowed - runs, 2U) - 1;
  attempt->upstream = host->name;
  attempt->address = host->address;
  return true;
}

bool Exchange::WaitForHost(TimePoint now) {
  const TimePoint latest = std::min(m_request.deadline, m_request.read_at + kMaxHostWait);
  if (!UsesHosts(now) || HasBegun() || now + kHostPause > latest) return false;
  m_full.clear();
  m_chain_wait_deadline = latest + kHostPause;
  m_chain_wait_until = now + kHostPause;
  return true;
}

void Exchange::OnHostHead(HttpHead head) {
  const std::optional<ForwardedAnswer> taken = TakeForwardedAnswer(&head);
  if (!taken) return EndAttempt(AttemptEvidence::kMalformed);
  const ForwardedAnswer& answer = *taken;
  const ResponseMetadata metadata = m_gateway->GetDialect().ReadResponse(head);
  const bool is_of_upstream = !answer.upstream.empty();
  m_attempt->host_attempts = answer.attempts;
  // The upstream may serve this host again at any time.
  if (is_of_upstream && metadata.is_leaving) {
    m_gateway->ReportLeaving(answer.upstream, answer.incarnation);
  }
  if (is_of_upstream && head.status != kMisdirectedStatus) {
    m_gateway->ReportRateLimit(answer.upstream, answer.incarnation, m_attempt->started_at,
                               metadata.rate_limit);
  }
  KeepHead(std::move(head), metadata);
  if (!is_of_upstream && IsHostRefusal(m_attempt->head.status)) {
    m_full.insert(m_attempt->address);
    const TimePoint avoided_until = Clock::now() + kHostAvoidance;
    if (answer.attempts == 0) {
      m_gateway->GetForwardHosts().Avoid(m_attempt->address, avoided_until);
    }
    return EndAttempt(AttemptEvidence::kRefused);
  }
  CheckHead(metadata);
}

void Exchange::AvoidHost(TimePoint now, AttemptEvidence evidence) {
  m_excluded.insert(m_attempt->address);
  if (evidence == AttemptEvidence::kUpstreamError) return;
  m_gateway->GetForwardHosts().Avoid(m_attempt->address, now + kHostAvoidance);
}

bool Exchange::WasOffered(AttemptEvidence evidence) const {
  if (evidence == AttemptEvidence::kNotConnected) return false;
  const bool is_refused_by_host = m_attempt->host && evidence == AttemptEvidence::kRefused;
  return !is_refused_by_host || m_attempt->host_attempts > 0;
}

void Exchange::AddServedBy(const std::string& upstream, std::uint64_t incarnation,
                           HttpHead* head) const {
  if (!m_request.forwarded) return;
  WriteForwardedAnswer({m_attempts - m_unoffered, upstream, incarnation}, head);
}

}  // namespace corneltray
