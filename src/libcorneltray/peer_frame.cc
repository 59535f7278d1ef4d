#include "peer_frame.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <stdexcept>

#include "cbor.h"

namespace corneltray {
namespace {

using nlohmann::json;

std::string EncodeSequence(std::uint64_t sequence) {
  std::string bytes(kFrameSequenceBytes, '\0');
  for (std::size_t i = 0; i < kFrameSequenceBytes; ++i) {
    bytes[kFrameSequenceBytes - 1 - i] = static_cast<char>(sequence & 0xff);
    sequence >>= 8;
  }
  return bytes;
}

std::string FrameMac(std::string_view key, std::string_view sequence, std::string_view payload) {
  std::string text(sequence);
  text += payload;
  return HmacSha256(key, text).substr(0, kFrameMacBytes);
}

}  // namespace

std::string EncodePeerMessage(PeerMessage message) {
  json encoded = {{"type", NameOf(message.type)}};
  if (message.id != 0) encoded["id"] = message.id;
  if (message.reply_to != 0) encoded["reply_to"] = message.reply_to;
  if (!message.body.is_null()) encoded["body"] = std::move(message.body);
  std::string payload;
  json::to_cbor(encoded, payload);
  return payload;
}

std::optional<PeerMessage> DecodePeerMessage(std::string_view payload) {
  std::optional<json> parsed = ParseCbor(payload);
  if (!parsed || !parsed->is_object()) return std::nullopt;
  json& decoded = *parsed;
  const auto type = decoded.find("type");
  if (type == decoded.end() || !type->is_string()) return std::nullopt;
  PeerMessage message;
  message.type =
      ParseEnum<MessageType>(type->get_ref<const std::string&>()).value_or(MessageType::kUnknown);
  for (const auto& [key, target] : {std::pair<const char*, std::uint64_t*>{"id", &message.id},
                                    {"reply_to", &message.reply_to}}) {
    const auto field = decoded.find(key);
    if (field == decoded.end()) continue;
    if (!field->is_number_unsigned()) return std::nullopt;
    *target = field->get<std::uint64_t>();
  }
  const auto body = decoded.find("body");
  if (body != decoded.end()) message.body = std::move(*body);
  return message;
}

std::string HmacSha256(std::string_view key, std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  const auto* done =
      HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
           reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &size);
  if (done == nullptr) throw std::runtime_error("HMAC-SHA-256 is not available in OpenSSL");
  return {reinterpret_cast<const char*>(digest.data()), size};
}

bool EqualInConstantTime(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string RandomBytes(std::size_t count) {
  std::string bytes(count, '\0');
  if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count)) != 1) {
    throw std::runtime_error("no random bytes from OpenSSL");
  }
  return bytes;
}

std::string SealFrame(std::string_view key, std::uint64_t sequence, std::string_view payload) {
  std::string frame = EncodeSequence(sequence);
  frame += FrameMac(key, frame, payload);
  frame += payload;
  return frame;
}

std::optional<FrameParts> SplitFrame(std::string_view frame) {
  if (frame.size() < kFrameHeaderBytes) return std::nullopt;
  FrameParts parts;
  for (std::size_t i = 0; i < kFrameSequenceBytes; ++i) {
    parts.sequence = (parts.sequence << 8) | static_cast<unsigned char>(frame[i]);
  }
  parts.mac = frame.substr(kFrameSequenceBytes, kFrameMacBytes);
  parts.payload = frame.substr(kFrameHeaderBytes);
  return parts;
}

bool VerifyFrame(std::string_view key, const FrameParts& parts) {
  return EqualInConstantTime(parts.mac,
                             FrameMac(key, EncodeSequence(parts.sequence), parts.payload));
}

}  // namespace corneltray
