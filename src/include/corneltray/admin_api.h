#ifndef CORNELTRAY_ADMIN_API_H_
#define CORNELTRAY_ADMIN_API_H_

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace httplib {
class Server;
}

namespace corneltray {

class ConfigurationFeed;
class ControlClient;

// What the operator interface of a program is built from. The pointers outlive the server.
struct AdminOptions {
  std::string operator_key;
  ControlClient* control = nullptr;
  ConfigurationFeed* feed = nullptr;
  // Fields that this program adds to GET /admin/v1/status; may be empty.
  std::function<nlohmann::json()> status;
  // Starts a graceful shutdown (POST /admin/v1/drain); must return at once. Empty: 501.
  std::function<void()> drain;
  // Whether the document of `feed` may be shown while it is at revision 0: true at a control
  // process that has recovered its log. Empty: never, because the process may only not have fetched
  // it yet.
  std::function<bool()> recovered{};
};

// Registers the routes below /admin/v1 on a server: configuration, history, drain and status (see
// docs/design.md section 6.1). Every route needs `Authorization: Bearer OPERATOR_KEY`; an empty
// operator key refuses all. Call before the server listens.
void RegisterAdminApi(httplib::Server* server, AdminOptions options);

}  // namespace corneltray

#endif  // CORNELTRAY_ADMIN_API_H_
