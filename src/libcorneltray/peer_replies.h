#ifndef CORNELTRAY_PEER_REPLIES_H_
#define CORNELTRAY_PEER_REPLIES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

namespace corneltray {

// The requests that one incarnation of a peer sent recently, with their replies. A request that is
// sent again after its link was replaced gets the first reply and does not run again.
class ReplyCache {
 public:
  enum class Seen {
    kNew,
    kInProgress,
    kAnswered,
    kForgotten,  // may have been answered before; must not run again
  };

  // Replies kept for each peer. An older one can only be asked for by a request that stayed
  // unanswered while that many later ones were answered.
  static constexpr std::size_t kMaxReplies = 1024;
  static constexpr std::size_t kMaxReplyBytes = 512UL * 1024UL;

  // Notes a request id and the link it came on, and returns whether it was seen before.
  Seen Begin(std::uint64_t id, std::uint64_t link);
  // The link that the latest copy of a request came on; 0 for an unknown request.
  std::uint64_t LinkOf(std::uint64_t id) const;
  // Stores the reply. Returns false if the request was answered before or is unknown.
  bool Answer(std::uint64_t id, std::string payload);
  // The reply to an answered request; empty otherwise.
  const std::string& ReplyTo(std::uint64_t id) const;

  std::size_t Size() const { return m_replies.size(); }

 private:
  struct Reply {
    std::uint64_t link = 0;
    bool answered = false;
    std::string payload;
  };

  std::unordered_map<std::uint64_t, Reply> m_replies;
  std::deque<std::uint64_t> m_answered;  // oldest first
  // Greatest id whose reply was dropped. Ids of one process increase.
  std::uint64_t m_forgotten = 0;
  std::size_t m_bytes = 0;
};

}  // namespace corneltray

#endif  // CORNELTRAY_PEER_REPLIES_H_
