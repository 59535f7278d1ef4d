#include "server_client.h"

#include <httplib.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace corneltray {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{2000};
// Above the time that a server gives a change (10 s), so that its own answer is read.
constexpr milliseconds kReadTimeout{12'000};
constexpr milliseconds kRoundPause{200};

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
  answer->status = result->status;
  answer->server = server;
  answer->body = json::parse(result->body, nullptr, false);
  if (answer->body.is_discarded()) answer->body = json::object();
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
