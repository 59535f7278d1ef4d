#include "corneltray/control_host_selector.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace corneltray {
namespace {

constexpr int kFirstServerError = 500;
constexpr std::size_t kBytesPerKibibyte = 1024;

Duration ExtraTimeFor(std::size_t bytes) {
  return kExtraTimePerKibibyte * (bytes / kBytesPerKibibyte);
}

}  // namespace

std::uint64_t ControlHostSelector::SpreadOf(const std::string& host) const {
  if (m_self.empty()) return 0;
  const std::string names = m_self + '/' + host;
  return XXH64(names.data(), names.size(), 0);
}

bool ControlHostSelector::HasFailed(TimePoint now, const std::string& host) const {
  const auto cooldown = m_cooldown_until.find(host);
  return cooldown != m_cooldown_until.end() && now < cooldown->second;
}

std::vector<std::string> ControlHostSelector::Order(
    TimePoint now, std::vector<ControlCandidate> candidates) const {
  const auto rank = [this, now](const ControlCandidate& candidate) {
    return std::make_tuple(candidate.is_cut_off, HasFailed(now, candidate.host),
                           !candidate.is_source, !candidate.is_local, SpreadOf(candidate.host),
                           std::cref(candidate.host));
  };
  std::sort(
      candidates.begin(), candidates.end(),
      [&rank](const ControlCandidate& a, const ControlCandidate& b) { return rank(a) < rank(b); });
  std::vector<std::string> hosts;
  hosts.reserve(candidates.size());
  for (ControlCandidate& candidate : candidates) hosts.push_back(std::move(candidate.host));
  return hosts;
}

ForwardedCall::ForwardedCall(TimePoint now, std::vector<std::string> hosts, std::size_t bytes)
    : m_hosts(std::move(hosts)),
      m_bytes(bytes),
      m_next_send_at(now),
      m_deadline(now + kForwardTimeout + ExtraTimeFor(bytes)) {
  if (m_hosts.size() > kMaxHostsPerCall) m_hosts.resize(kMaxHostsPerCall);
}

bool ForwardedCall::HasHostsLeft() const { return m_sent < m_hosts.size(); }

std::optional<std::string> ForwardedCall::NextHost(TimePoint now) {
  if (!HasHostsLeft() || now < m_next_send_at) return std::nullopt;
  m_next_send_at = now + kHedgeDelay + ExtraTimeFor(m_bytes);
  return m_hosts[m_sent++];
}

bool ForwardedCall::RecordAnswer(TimePoint now, int status) {
  ++m_answered;
  if (status < kFirstServerError) return true;
  m_next_send_at = now;
  return false;
}

bool ForwardedCall::HasFailed(TimePoint now) const {
  return now >= m_deadline || (!HasHostsLeft() && m_answered == m_sent);
}

TimePoint ForwardedCall::NextWakeup() const {
  return HasHostsLeft() ? std::min(m_next_send_at, m_deadline) : m_deadline;
}

}  // namespace corneltray
