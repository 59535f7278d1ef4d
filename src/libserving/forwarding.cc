#include "corneltray/forwarding.h"

#include <sstream>
#include <string_view>

#include "../libcorneltray/peer_frame.h"

namespace corneltray {
namespace {

constexpr std::string_view kRequestField = "Corneltray-Forwarded";
constexpr std::string_view kAnswerField = "Corneltray-Served-By";

std::string Hex(std::string_view bytes) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    text += kDigits[byte / kDigits.size()];
    text += kDigits[byte % kDigits.size()];
  }
  return text;
}

std::string SignedText(const ForwardedRequest& request) {
  return std::to_string(request.route_version) + " " + std::to_string(request.max_upstreams) + " " +
         request.host;
}

std::string Signature(std::string_view shared_key, const std::string& request_id,
                      const std::string& text) {
  return Hex(HmacSha256(shared_key, "corneltray forwarded request " + request_id + " " + text));
}

// Reads the rest of a stream, behind one space.
std::string ReadRest(std::istringstream* fields) {
  std::string rest;
  fields->ignore(1);
  std::getline(*fields, rest);
  return rest;
}

}  // namespace

void WriteForwardedRequest(std::string_view shared_key, const std::string& request_id,
                           const ForwardedRequest& request, HttpHead* head) {
  const std::string text = SignedText(request);
  head->Set(kRequestField, Signature(shared_key, request_id, text) + " " + text);
}

std::optional<ForwardedRequest> TakeForwardedRequest(std::string_view shared_key,
                                                     const std::string& request_id,
                                                     HttpHead* head) {
  const std::string* field = head->Find(kRequestField);
  if (field == nullptr) return std::nullopt;
  std::istringstream fields(*field);
  head->Remove(kRequestField);
  std::string signature;
  ForwardedRequest request;
  if (!(fields >> signature >> request.route_version >> request.max_upstreams)) return std::nullopt;
  request.host = ReadRest(&fields);
  const std::string expected = Signature(shared_key, request_id, SignedText(request));
  if (!EqualInConstantTime(signature, expected)) return std::nullopt;
  return request;
}

void WriteForwardedAnswer(const ForwardedAnswer& answer, HttpHead* head) {
  head->Set(kAnswerField, std::to_string(answer.attempts) + " " +
                              std::to_string(answer.incarnation) + " " + answer.upstream);
}

std::optional<ForwardedAnswer> TakeForwardedAnswer(HttpHead* head) {
  const std::string* field = head->Find(kAnswerField);
  if (field == nullptr) return std::nullopt;
  std::istringstream fields(*field);
  head->Remove(kAnswerField);
  ForwardedAnswer answer;
  if (!(fields >> answer.attempts >> answer.incarnation)) return std::nullopt;
  answer.upstream = ReadRest(&fields);
  return answer;
}

}  // namespace corneltray
