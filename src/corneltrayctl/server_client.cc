#include "server_client.h"

#include <httplib.h>

#include <algorithm>
#include <thread>
#include <utility>

#include "corneltray/http_syntax.h"

namespace corneltray {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{2000};
// Above the time that a server gives a change (10 s), so that its own answer is read.
constexpr milliseconds kReadTimeout{12'000};
constexpr milliseconds kRoundPause{200};
constexpr int kFirstRedirect = 300;

std::string WithScheme(const std::string& server) {
  return server.rfind("http://", 0) == 0 ? server : "http://" + server;
}

// What a failed try means for the operator.
std::string ReasonOf(httplib::Error error) {
  switch (error) {
    case httplib::Error::Connection:
      return "cannot connect";
    case httplib::Error::Read:
      return "no answer: the connection broke or the time was over";
    default:
      return "failed: " + httplib::to_string(error);
  }
}

// Returns whether the library let an answer pass that is not whole or not HTTP: it takes any three
// digits for a status, any bytes in a reason or a name, and a chunk without its end for the last
// one. All answers with a success are JSON objects.
bool IsBroken(const httplib::Response& response, const json& body) {
  const int status = response.status;
  if (status < kFirstFinalStatus || status > kLastStatus) return true;
  if (!HasStatusLine("HTTP/1.1 " + std::to_string(status) + " " + response.reason)) return true;
  const bool has_bad_name = std::any_of(response.headers.begin(), response.headers.end(),
                                        [](const auto& header) { return !IsToken(header.first); });
  return has_bad_name || (status < kFirstRedirect && !body.is_object());
}

}  // namespace

ServerClient::ServerClient(std::vector<std::string> servers, std::string key)
    : m_servers(std::move(servers)), m_key(std::move(key)) {
  for (std::string& server : m_servers) server = WithScheme(server);
}

bool ServerClient::Try(const std::string& server, const std::string& path, const json* body,
                       milliseconds timeout, ServerAnswer* answer, const HttpField& field) const {
  httplib::Client client(server);
  client.set_connection_timeout(std::min(timeout, kConnectTimeout));
  client.set_read_timeout(std::min(timeout, kReadTimeout));
  httplib::Headers headers = {{"Authorization", "Bearer " + m_key}};
  if (!field.name.empty()) headers.emplace(field.name, field.value);
  const httplib::Result result = body == nullptr
                                     ? client.Get(path, headers)
                                     : client.Post(path, headers, body->dump(), "application/json");
  if (!result) {
    answer->lost.push_back(server + ": " + ReasonOf(result.error()));
    return false;
  }
  json parsed = json::parse(result->body, nullptr, false);
  if (IsBroken(*result, parsed)) {
    answer->lost.push_back(server + ": the answer is cut off or is none of a corneltray process");
    return false;
  }
  answer->status = result->status;
  answer->server = server;
  answer->body = parsed.is_discarded() ? json::object() : std::move(parsed);
  if (result->status != 503) return true;
  std::string reason = "503";
  if (answer->body.is_object() && answer->body.contains("error")) {
    reason = answer->body["error"].value("message", reason);
  }
  answer->lost.push_back(server + ": " + reason);
  return false;
}

ServerAnswer ServerClient::Get(const std::string& path) const {
  ServerAnswer answer;
  for (const std::string& server : m_servers) {
    if (Try(server, path, nullptr, kReadTimeout, &answer)) break;
  }
  return answer;
}

ServerAnswer ServerClient::GetFrom(const std::string& server, const std::string& path) const {
  ServerAnswer answer;
  Try(server, path, nullptr, kReadTimeout, &answer);
  return answer;
}

ServerAnswer ServerClient::GetWith(const std::string& path, const HttpField& field) const {
  ServerAnswer answer;
  for (const std::string& server : m_servers) {
    if (Try(server, path, nullptr, kReadTimeout, &answer, field)) break;
  }
  return answer;
}

ServerAnswer ServerClient::PostUntil(const std::string& path, const json& body,
                                     std::chrono::steady_clock::time_point deadline) const {
  ServerAnswer answer;
  while (true) {
    for (const std::string& server : m_servers) {
      const auto left =
          std::chrono::duration_cast<milliseconds>(deadline - std::chrono::steady_clock::now());
      if (left <= milliseconds(0)) return answer;
      if (Try(server, path, &body, left, &answer)) return answer;
    }
    std::this_thread::sleep_for(kRoundPause);
  }
}

}  // namespace corneltray
