#ifndef CORNELTRAY_PEER_SESSION_H_
#define CORNELTRAY_PEER_SESSION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "corneltray/peer.h"
#include "peer_frame.h"

namespace corneltray {

// What one side says about itself when a link opens.
struct PeerHello {
  PeerIdentity identity;
  std::string address;  // where this process accepts links
  // The sender stopped hearing the peer on an older link; the receiver uses this one instead.
  bool replaces = false;
};

enum class SessionEvent {
  kHello,            // the peer's hello came; send `reply`, which proves our key
  kEstablished,      // the peer has proved the key
  kMessage,          // `message` is authentic and new
  kMalformed,        // dropped: not a frame, or not a message
  kUnauthenticated,  // dropped: the HMAC or the proof is wrong
  kReplayed,         // dropped: the sequence number was used before
};

struct SessionInput {
  SessionEvent event = SessionEvent::kMalformed;
  std::string reply;
  PeerMessage message;
};

// Authentication and framing of one link, without a socket. Each side sends a hello with a nonce
// and answers the peer's hello with an HMAC over both hellos. The keys of the two directions derive
// from the shared key and both hellos, so frames of another link or of the other direction never
// verify.
class PeerSession {
 public:
  // `opened_here` is true on the side that dialled. `nonce` is random and never used twice.
  PeerSession(const PeerHello& own, std::string shared_key, bool opened_here,
              const std::string& nonce);

  // The first frame to send.
  const std::string& HelloFrame() const { return m_own_hello; }

  SessionInput Receive(std::string_view frame);

  // Frames a payload. Call only once established.
  std::string Seal(std::string_view payload);

  bool Established() const { return m_state == State::kEstablished; }
  // The peer's hello, valid from kHello on; proved from kEstablished on.
  const PeerHello& Peer() const { return m_peer; }

 private:
  enum class State { kAwaitHello, kAwaitProof, kEstablished };

  SessionInput ReceiveHello(std::string_view frame, const FrameParts& parts);
  std::string Proof(bool of_opener) const;

  PeerHello m_peer;
  std::string m_shared_key;
  bool m_opened_here;
  std::string m_own_hello;
  std::string m_transcript;  // the opener's hello, then the acceptor's
  std::string m_send_key;
  std::string m_receive_key;
  std::uint64_t m_send_sequence = 0;
  std::uint64_t m_receive_sequence = 0;
  State m_state = State::kAwaitHello;
};

}  // namespace corneltray

#endif  // CORNELTRAY_PEER_SESSION_H_
