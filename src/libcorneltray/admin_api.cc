#include "corneltray/admin_api.h"

#include <httplib.h>

#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "corneltray/configuration_feed.h"
#include "corneltray/control_client.h"
#include "corneltray/control_protocol.h"
#include "peer_frame.h"

namespace corneltray {
namespace {

using nlohmann::json;

// Longer than an election, so that a change of leader is not seen by operators.
constexpr std::chrono::seconds kAdminTimeout{10};
constexpr std::size_t kMaxAuthorBytes = 128;
constexpr std::size_t kDefaultHistoryRows = 100;
constexpr std::size_t kMaxHistoryRows = 1000;

// Bytes from outside may not be valid UTF-8; an answer never fails because of them.
std::string Dump(const json& body) {
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

void Answer(httplib::Response* response, int status, const json& body) {
  response->status = status;
  response->set_content(Dump(body), "application/json");
}

struct AdminError {
  int status = 400;
  std::string code;
  std::string message;
  std::string field;
  std::string outcome = "not_run";
  std::optional<std::uint64_t> revision;
};

void Refuse(httplib::Response* response, const AdminError& error) {
  json body = {{"code", error.code}, {"message", error.message}, {"outcome", error.outcome}};
  if (!error.field.empty()) body["field"] = error.field;
  if (error.revision) body["revision"] = *error.revision;
  Answer(response, error.status, {{"error", std::move(body)}});
}

// Reads the body of a change. Fails with the answer to send.
std::variant<ApplyConfiguration, AdminError> ParseChange(const std::string& text) {
  const json body = json::parse(text, nullptr, false);
  if (!body.is_object()) {
    return AdminError{400, "malformed_body", "the body is not a JSON object", "", "not_run", {}};
  }
  const auto invalid = [](const std::string& field, const std::string& message) {
    return AdminError{400, "invalid_field", message, field, "not_run", {}};
  };
  ApplyConfiguration change;
  for (const auto& [key, value] : body.items()) {
    if (key == "change_id" || key == "base" || key == "author") {
      if (!value.is_string()) return invalid(key, "must be a string");
      std::string& target = key == "change_id" ? change.change_id
                            : key == "base"    ? change.document.base
                                               : change.author;
      target = value.get<std::string>();
    } else if (key == "expected_revision") {
      if (!value.is_number_unsigned()) return invalid(key, "must be a whole number from 0 on");
      change.expected_revision = value;
    } else if (key == "overlays") {
      if (!value.is_object()) return invalid(key, "must be an object of site names and texts");
      for (const auto& [site, overlay] : value.items()) {
        if (!overlay.is_string()) return invalid("overlays." + site, "must be a string");
        change.document.overlays.emplace_back(site, overlay.get<std::string>());
      }
    } else {
      return invalid(key, "is not known");
    }
  }
  for (const char* required : {"change_id", "expected_revision", "base"}) {
    if (!body.contains(required)) return invalid(required, "is required");
  }
  if (change.change_id.empty()) return invalid("change_id", "must not be empty");
  if (change.author.size() > kMaxAuthorBytes) return invalid("author", "is too long");
  return change;
}

class AdminApi {
 public:
  explicit AdminApi(AdminOptions options) : m_options(std::move(options)) {}

  // Wraps a handler so that it runs only for operators.
  template <class Handler>
  httplib::Server::Handler Guard(Handler handler) {
    return [this, handler](const httplib::Request& request, httplib::Response& response) {
      const std::string expected = "Bearer " + m_options.operator_key;
      if (m_options.operator_key.empty() ||
          !EqualInConstantTime(request.get_header_value("Authorization"), expected)) {
        Refuse(&response, {401, "unauthorized", "the operator key is missing or wrong", "",
                           "not_run", std::nullopt});
        return;
      }
      (this->*handler)(request, &response);
    };
  }

  void GetConfiguration(const httplib::Request&, httplib::Response* response) {
    // Asked before the document is read: what was recovered in between must not be missed.
    const bool recovered = m_options.recovered && m_options.recovered();
    const RevisedDocument document = m_options.feed->Document();
    // Revision 0 of a process that does not know better would invite a change over it.
    if (document.revision == 0 && !recovered) {
      Refuse(response, {503, "configuration_unknown",
                        "no configuration is in force at this process yet; ask another one", "",
                        "not_run", std::nullopt});
      return;
    }
    json overlays = json::object();
    for (const auto& [site, text] : document.document.overlays) overlays[site] = text;
    Answer(response, 200,
           {{"revision", document.revision},
            {"floor", m_options.feed->RequiredRevision()},
            {"base", document.document.base},
            {"overlays", std::move(overlays)}});
  }

  void PostConfiguration(const httplib::Request& request, httplib::Response* response) {
    auto parsed = ParseChange(request.body);
    if (const auto* error = std::get_if<AdminError>(&parsed)) {
      Refuse(response, *error);
      return;
    }
    ApplyConfiguration& change = std::get<ApplyConfiguration>(parsed);
    std::size_t bytes = change.document.base.size();
    for (const auto& [site, text] : change.document.overlays) bytes += site.size() + text.size();
    if (bytes > kMaxDocumentBytes) {
      Refuse(response, {413, "body_too_large",
                        "the document is over " + std::to_string(kMaxDocumentBytes) + " bytes", "",
                        "not_run", std::nullopt});
      return;
    }
    if (change.author.empty()) change.author = request.remote_addr;
    const std::string change_id = change.change_id;
    const auto reply = m_options.control->Propose(std::move(change), Clock::now() + kAdminTimeout);
    if (!reply) {
      const bool not_run = reply.error().code == make_error_code(ControlErrc::kNotProposed);
      Refuse(response,
             {503, "log_unavailable",
              reply.error().ToString() + "; send the change again with the same change_id", "",
              not_run ? "not_run" : "unknown", std::nullopt});
      return;
    }
    AnswerChange(change_id, std::get<ConfigurationReply>(reply.value()), response);
  }

  void GetHistory(const httplib::Request& request, httplib::Response* response) {
    std::size_t limit = kDefaultHistoryRows;
    if (request.has_param("limit")) {
      const std::string text = request.get_param_value("limit");
      const bool digits = !text.empty() && text.size() <= 4 &&
                          text.find_first_not_of("0123456789") == std::string::npos;
      limit = digits ? std::stoul(text) : 0;
      if (limit == 0 || limit > kMaxHistoryRows) {
        Refuse(response,
               {400, "invalid_field", "must be from 1 to 1000", "limit", "not_run", std::nullopt});
        return;
      }
    }
    const auto rows = m_options.control->ReadHistory(limit, Clock::now() + kAdminTimeout);
    if (!rows) {
      Refuse(response,
             {503, "log_unavailable", rows.error().ToString(), "", "not_run", std::nullopt});
      return;
    }
    Answer(response, 200, {{"changes", HistoryToJson(rows.value())}});
  }

  void GetStatus(const httplib::Request&, httplib::Response* response) {
    json status = m_options.status ? m_options.status() : json::object();
    status["revision"] = m_options.feed->Document().revision;
    status["floor"] = m_options.feed->RequiredRevision();
    Answer(response, 200, status);
  }

  void PostDrain(const httplib::Request&, httplib::Response* response) {
    if (!m_options.drain) {
      Refuse(response,
             {501, "not_supported", "this program cannot be drained", "", "not_run", std::nullopt});
      return;
    }
    m_options.drain();
    Answer(response, 202, {{"draining", true}});
  }

 private:
  static void AnswerChange(const std::string& change_id, const ConfigurationReply& reply,
                           httplib::Response* response) {
    switch (reply.verdict) {
      case ConfigurationVerdict::kApplied:
      case ConfigurationVerdict::kDuplicate:
        Answer(response, 200,
               {{"revision", reply.revision},
                {"verdict", NameOf(reply.verdict)},
                {"change_id", change_id}});
        return;
      case ConfigurationVerdict::kRevisionConflict:
        Refuse(response, {409, "revision_conflict", reply.detail, "", "not_run", reply.revision});
        return;
      case ConfigurationVerdict::kInvalid:
        Refuse(response,
               {400, "configuration_invalid", reply.detail, "", "not_run", reply.revision});
        return;
    }
  }

  AdminOptions m_options;
};

}  // namespace

void RegisterAdminApi(httplib::Server* server, AdminOptions options) {
  auto api = std::make_shared<AdminApi>(std::move(options));
  // The handlers own the object.
  const auto hold = [&](httplib::Server::Handler handler) {
    return [api, handler = std::move(handler)](const httplib::Request& request,
                                               httplib::Response& response) {
      handler(request, response);
    };
  };
  server->Get("/admin/v1/configuration", hold(api->Guard(&AdminApi::GetConfiguration)));
  server->Post("/admin/v1/configuration", hold(api->Guard(&AdminApi::PostConfiguration)));
  server->Get("/admin/v1/history", hold(api->Guard(&AdminApi::GetHistory)));
  server->Get("/admin/v1/status", hold(api->Guard(&AdminApi::GetStatus)));
  server->Post("/admin/v1/drain", hold(api->Guard(&AdminApi::PostDrain)));
}

}  // namespace corneltray
