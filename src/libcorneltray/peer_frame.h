#ifndef CORNELTRAY_PEER_FRAME_H_
#define CORNELTRAY_PEER_FRAME_H_

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "corneltray/messages.h"

namespace corneltray {

// A frame is an 8-byte big-endian sequence number, a 16-byte truncated HMAC-SHA-256 over sequence
// and payload, and the payload. See docs/design.md section 6.3.
inline constexpr std::size_t kFrameSequenceBytes = 8;
inline constexpr std::size_t kFrameMacBytes = 16;
inline constexpr std::size_t kFrameHeaderBytes = kFrameSequenceBytes + kFrameMacBytes;
inline constexpr std::size_t kMaxFrameBytes = 1024UL * 1024UL;

// One message inside a frame. `id` is 0 for a push, `reply_to` is 0 unless it answers a request.
struct PeerMessage {
  MessageType type = MessageType::kHeartbeat;
  std::uint64_t id = 0;
  std::uint64_t reply_to = 0;
  nlohmann::json body;
};

// CBOR of a message. Decoding returns nothing for malformed bytes, and kUnknown for a type that
// only other versions know.
std::string EncodePeerMessage(PeerMessage message);
std::optional<PeerMessage> DecodePeerMessage(std::string_view payload);

// HMAC-SHA-256 of the text under the key, 32 bytes.
std::string HmacSha256(std::string_view key, std::string_view text);

// Compares in a time that does not depend on where the texts differ.
bool EqualInConstantTime(std::string_view a, std::string_view b);

// Random bytes from the operating system.
std::string RandomBytes(std::size_t count);

// Adds the header to a payload.
std::string SealFrame(std::string_view key, std::uint64_t sequence, std::string_view payload);

// The parts of a frame whose HMAC was not checked yet. Nothing when it is shorter than a header.
struct FrameParts {
  std::uint64_t sequence = 0;
  std::string_view mac;
  std::string_view payload;
};
std::optional<FrameParts> SplitFrame(std::string_view frame);

// Returns whether the HMAC of the frame matches.
bool VerifyFrame(std::string_view key, const FrameParts& parts);

}  // namespace corneltray

#endif  // CORNELTRAY_PEER_FRAME_H_
