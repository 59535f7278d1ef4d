#include "peer_replies.h"

#include <algorithm>
#include <utility>

namespace corneltray {

ReplyCache::Seen ReplyCache::Begin(std::uint64_t id, std::uint64_t link) {
  if (id <= m_forgotten && m_replies.count(id) == 0) return Seen::kForgotten;
  const auto [reply, inserted] = m_replies.try_emplace(id);
  reply->second.link = link;
  if (inserted) return Seen::kNew;
  return reply->second.answered ? Seen::kAnswered : Seen::kInProgress;
}

bool ReplyCache::Answer(std::uint64_t id, std::string payload) {
  const auto found = m_replies.find(id);
  if (found == m_replies.end() || found->second.answered) return false;
  m_bytes += payload.size();
  found->second.answered = true;
  found->second.payload = std::move(payload);
  m_answered.push_back(id);
  // The newest reply is always kept: it is the one that may be asked for next.
  while (m_answered.size() > 1 && (m_answered.size() > kMaxReplies || m_bytes > kMaxReplyBytes)) {
    const auto oldest = m_replies.find(m_answered.front());
    m_bytes -= oldest->second.payload.size();
    m_forgotten = std::max(m_forgotten, oldest->first);
    m_replies.erase(oldest);
    m_answered.pop_front();
  }
  return true;
}

std::uint64_t ReplyCache::LinkOf(std::uint64_t id) const {
  const auto found = m_replies.find(id);
  return found == m_replies.end() ? 0 : found->second.link;
}

const std::string& ReplyCache::ReplyTo(std::uint64_t id) const {
  static const std::string none;
  const auto found = m_replies.find(id);
  return found == m_replies.end() ? none : found->second.payload;
}

}  // namespace corneltray
