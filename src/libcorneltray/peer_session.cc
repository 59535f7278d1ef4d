#include "peer_session.h"

#include <utility>

namespace corneltray {
namespace {

using nlohmann::json;

json HelloBody(const PeerHello& hello, const std::string& nonce) {
  return {{"host", hello.identity.host},
          {"program", hello.identity.program},
          {"availability_zone", hello.identity.availability_zone},
          {"region", hello.identity.region},
          {"incarnation", hello.identity.incarnation},
          {"log_version", hello.identity.log_version},
          {"address", hello.address},
          {"replaces", hello.replaces},
          {"nonce", json::binary({nonce.begin(), nonce.end()})}};
}

std::optional<PeerHello> ParseHello(const json& body) {
  try {
    PeerHello hello;
    hello.identity.host = body.at("host");
    hello.identity.program = body.at("program");
    hello.identity.availability_zone = body.at("availability_zone");
    hello.identity.region = body.at("region");
    hello.identity.incarnation = body.at("incarnation");
    // Absent in the hello of builds that do not tell their version.
    hello.identity.log_version = body.value("log_version", kUntoldLogVersion);
    hello.address = body.at("address");
    hello.replaces = body.at("replaces");
    return hello;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

std::string HelloKey(const std::string& shared_key) {
  return HmacSha256(shared_key, "corneltray hello");
}

}  // namespace

PeerSession::PeerSession(const PeerHello& own, std::string shared_key, bool opened_here,
                         const std::string& nonce)
    : m_shared_key(std::move(shared_key)), m_opened_here(opened_here) {
  PeerMessage hello;
  hello.type = MessageType::kHello;
  hello.body = HelloBody(own, nonce);
  m_own_hello = SealFrame(HelloKey(m_shared_key), 0, EncodePeerMessage(hello));
}

std::string PeerSession::Proof(bool of_opener) const {
  const std::string label = of_opener ? "corneltray proof opener" : "corneltray proof acceptor";
  return HmacSha256(m_shared_key, label + m_transcript);
}

SessionInput PeerSession::ReceiveHello(std::string_view frame, const FrameParts& parts) {
  if (parts.sequence != 0 || !VerifyFrame(HelloKey(m_shared_key), parts)) {
    return {SessionEvent::kUnauthenticated, {}, {}};
  }
  const auto message = DecodePeerMessage(parts.payload);
  if (!message || message->type != MessageType::kHello) return {SessionEvent::kMalformed, {}, {}};
  const auto hello = ParseHello(message->body);
  if (!hello) return {SessionEvent::kMalformed, {}, {}};
  m_peer = *hello;
  const std::string peer_hello(frame);
  m_transcript = m_opened_here ? m_own_hello + peer_hello : peer_hello + m_own_hello;
  const std::string from_opener = HmacSha256(m_shared_key, "corneltray opener" + m_transcript);
  const std::string from_acceptor = HmacSha256(m_shared_key, "corneltray acceptor" + m_transcript);
  m_send_key = m_opened_here ? from_opener : from_acceptor;
  m_receive_key = m_opened_here ? from_acceptor : from_opener;
  m_state = State::kAwaitProof;
  const std::string own_proof = Proof(m_opened_here);
  PeerMessage proof;
  proof.type = MessageType::kHello;
  proof.body = {{"proof", json::binary({own_proof.begin(), own_proof.end()})}};
  return {SessionEvent::kHello, Seal(EncodePeerMessage(proof)), {}};
}

SessionInput PeerSession::Receive(std::string_view frame) {
  const auto parts = SplitFrame(frame);
  if (!parts) return {SessionEvent::kMalformed, {}, {}};
  if (m_state == State::kAwaitHello) return ReceiveHello(frame, *parts);
  // The HMAC is checked before anything is decoded: only a holder of the key reaches the decoder.
  if (!VerifyFrame(m_receive_key, *parts)) return {SessionEvent::kUnauthenticated, {}, {}};
  if (parts->sequence <= m_receive_sequence) return {SessionEvent::kReplayed, {}, {}};
  m_receive_sequence = parts->sequence;
  auto message = DecodePeerMessage(parts->payload);
  if (!message) return {SessionEvent::kMalformed, {}, {}};
  if (m_state == State::kEstablished) return {SessionEvent::kMessage, {}, std::move(*message)};
  const auto proof = message->body.find("proof");
  if (proof == message->body.end() || !proof->is_binary()) {
    return {SessionEvent::kUnauthenticated, {}, {}};
  }
  const auto& bytes = proof->get_binary();
  if (!EqualInConstantTime({reinterpret_cast<const char*>(bytes.data()), bytes.size()},
                           Proof(!m_opened_here))) {
    return {SessionEvent::kUnauthenticated, {}, {}};
  }
  m_state = State::kEstablished;
  return {SessionEvent::kEstablished, {}, {}};
}

std::string PeerSession::Seal(std::string_view payload) {
  return SealFrame(m_send_key, ++m_send_sequence, payload);
}

}  // namespace corneltray
