#ifndef CORNELTRAY_SERVER_CLIENT_H_
#define CORNELTRAY_SERVER_CLIENT_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "corneltray/http_head.h"

namespace corneltray {

// The answer of a server, or status 0 when none answered.
struct ServerAnswer {
  int status = 0;
  nlohmann::json body;
  std::string server;             // that answered
  std::vector<std::string> lost;  // "server: reason" of each failed try
};

// Operator requests over HTTP to one of several processes of a region.
class ServerClient {
 public:
  // Servers are http://IP:PORT or IP:PORT.
  ServerClient(std::vector<std::string> servers, std::string key);

  const std::vector<std::string>& Servers() const { return m_servers; }

  // Tries each server once until one answers with something else than 503.
  ServerAnswer Get(const std::string& path) const;
  // As Get(), with a header field.
  ServerAnswer GetWith(const std::string& path, const HttpField& field) const;
  // Asks one server.
  ServerAnswer GetFrom(const std::string& server, const std::string& path) const;
  // Sends the same body to the servers in turn until one answers with something else than 503 or
  // the time is over. Only for requests that are safe to send again.
  ServerAnswer PostUntil(const std::string& path, const nlohmann::json& body,
                         std::chrono::steady_clock::time_point deadline) const;

 private:
  // Adds the answer or the reason of the failure. Returns whether the answer is final.
  bool Try(const std::string& server, const std::string& path, const nlohmann::json* body,
           std::chrono::milliseconds timeout, ServerAnswer* answer,
           const HttpField& field = {}) const;

  std::vector<std::string> m_servers;
  std::string m_key;
};

}  // namespace corneltray

#endif  // CORNELTRAY_SERVER_CLIENT_H_
