#include "corneltray/upstream.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

namespace corneltray {
namespace {

using nlohmann::json;

// Bounds on one announcement. They keep a faulty upstream from filling the membership table.
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxHoldings = 256;
constexpr std::uint64_t kMaxLayer = 1023;
constexpr std::uint64_t kMaxQueue = 1'000'000;
constexpr double kMaxRate = 1e12;

class UpstreamCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "upstream"; }
  std::string message(int value) const override {
    switch (static_cast<UpstreamErrc>(value)) {
      case UpstreamErrc::kMalformedAnnouncement:
        return "malformed announcement";
      case UpstreamErrc::kFieldOutOfBounds:
        return "field out of bounds";
    }
    return "unknown upstream error";
  }
};

// Reads typed fields of one JSON object and remembers the first error. `m_prefix` names the object
// in errors.
class FieldReader {
 public:
  FieldReader(const json& object, std::string prefix, Status* status)
      : m_object(object), m_prefix(std::move(prefix)), m_status(status) {
    if (!m_object.is_object()) Fail("", UpstreamErrc::kMalformedAnnouncement);
  }

  std::string Text(const char* field, bool required) {
    const json* value = Find(field, required);
    if (value == nullptr) return {};
    if (!value->is_string()) return Fail(field, UpstreamErrc::kMalformedAnnouncement), "";
    auto text = value->get<std::string>();
    if (text.size() > kMaxNameLength || (required && text.empty())) {
      Fail(field, UpstreamErrc::kFieldOutOfBounds);
    }
    return text;
  }

  std::uint64_t Integer(const char* field, bool required, std::uint64_t max) {
    const json* value = Find(field, required);
    if (value == nullptr) return 0;
    if (!value->is_number_integer()) return Fail(field, UpstreamErrc::kMalformedAnnouncement), 0;
    if (!value->is_number_unsigned() && value->get<std::int64_t>() < 0) {
      return Fail(field, UpstreamErrc::kFieldOutOfBounds), 0;
    }
    const auto number = value->get<std::uint64_t>();
    if (number > max) Fail(field, UpstreamErrc::kFieldOutOfBounds);
    return number;
  }

  double Number(const char* field, double max) {
    const json* value = Find(field, false);
    if (value == nullptr) return 0.0;
    if (!value->is_number()) return Fail(field, UpstreamErrc::kMalformedAnnouncement), 0.0;
    const auto number = value->get<double>();
    if (!std::isfinite(number) || number < 0.0 || number > max) {
      Fail(field, UpstreamErrc::kFieldOutOfBounds);
    }
    return number;
  }

  bool Boolean(const char* field) {
    const json* value = Find(field, false);
    if (value == nullptr) return false;
    if (!value->is_boolean()) return Fail(field, UpstreamErrc::kMalformedAnnouncement), false;
    return value->get<bool>();
  }

  template <class E>
  E Enumerator(const char* field, bool required, E fallback) {
    const std::string text = Text(field, required);
    if (text.empty()) return fallback;
    const auto value = ParseEnum<E>(text);
    if (!value) return Fail(field, UpstreamErrc::kMalformedAnnouncement), fallback;
    return *value;
  }

  const json* Find(const char* field, bool required) {
    if (!m_status->Ok()) return nullptr;
    const auto found = m_object.find(field);
    if (found != m_object.end() && !found->is_null()) return &*found;
    if (required) Fail(field, UpstreamErrc::kMalformedAnnouncement);
    return nullptr;
  }

  void Fail(const std::string& field, UpstreamErrc errc) {
    if (m_status->Ok()) *m_status = Error{errc, m_prefix + field};
  }

 private:
  const json& m_object;
  std::string m_prefix;
  Status* m_status;
};

// Accepts IPv4 and bracketed IPv6 literals with a port from 1 to 65535.
bool IsAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == address.size()) return false;
  const std::string host = address.substr(0, colon);
  const bool bracketed = host.front() == '[' && host.back() == ']';
  const char* allowed = bracketed ? "0123456789abcdefABCDEF:.[]" : "0123456789.";
  if (host.find_first_not_of(allowed) != std::string::npos) return false;
  const std::string port = address.substr(colon + 1);
  if (port.size() > 5 || port.find_first_not_of("0123456789") != std::string::npos) return false;
  const int number = std::stoi(port);
  return number >= 1 && number <= 65535;
}

Holding DecodeHolding(const json& body, std::size_t position, Status* status) {
  FieldReader fields(body, "holdings[" + std::to_string(position) + "].", status);
  Holding holding;
  if (!status->Ok()) return holding;
  holding.key.model = fields.Text("model", true);
  holding.key.version = fields.Text("version", true);
  holding.key.adapter = fields.Text("adapter", false);
  holding.first_layer = static_cast<std::uint32_t>(fields.Integer("first_layer", true, kMaxLayer));
  holding.last_layer = static_cast<std::uint32_t>(fields.Integer("last_layer", true, kMaxLayer));
  holding.state = fields.Enumerator("state", true, HoldingState::kLoading);
  if (holding.first_layer > holding.last_layer) {
    fields.Fail("last_layer", UpstreamErrc::kFieldOutOfBounds);
  }
  return holding;
}

LoadReport DecodeLoad(const json& body, Status* status) {
  FieldReader fields(body, "load.", status);
  LoadReport load;
  if (!status->Ok()) return load;
  load.running = static_cast<std::uint32_t>(fields.Integer("running", false, kMaxQueue));
  load.waiting = static_cast<std::uint32_t>(fields.Integer("waiting", false, kMaxQueue));
  load.kv_used = fields.Number("kv_used", 1.0);
  return load;
}

}  // namespace

bool ModelKey::operator<(const ModelKey& other) const {
  return std::tie(model, version, adapter) < std::tie(other.model, other.version, other.adapter);
}

std::error_code make_error_code(UpstreamErrc errc) {
  static const UpstreamCategory category;
  return {static_cast<int>(errc), category};
}

json EncodeAnnouncement(const Announcement& announcement) {
  json holdings = json::array();
  for (const Holding& holding : announcement.holdings) {
    holdings.push_back({{"model", holding.key.model},
                        {"version", holding.key.version},
                        {"adapter", holding.key.adapter},
                        {"first_layer", holding.first_layer},
                        {"last_layer", holding.last_layer},
                        {"state", NameOf(holding.state)}});
  }
  json body = {{"kind", NameOf(announcement.kind)},
               {"name", announcement.name},
               {"incarnation", announcement.incarnation},
               {"availability_zone", announcement.availability_zone},
               {"address", announcement.address},
               {"state", NameOf(announcement.state)},
               {"checks_fence", announcement.checks_fence},
               {"fence", announcement.fence},
               {"accelerator", announcement.accelerator},
               {"memory_bytes", announcement.memory_bytes},
               {"layers_per_s", announcement.layers_per_s},
               {"link_mbps", announcement.link_mbps},
               {"holdings", std::move(holdings)},
               {"slots", announcement.slots},
               {"load",
                {{"running", announcement.load.running},
                 {"waiting", announcement.load.waiting},
                 {"kv_used", announcement.load.kv_used}}},
               {"sequence", announcement.sequence}};
  if (!announcement.service.empty()) body["service"] = announcement.service;
  return body;
}

Result<Announcement> DecodeAnnouncement(const json& body) {
  constexpr std::uint64_t kMaxInteger = INT64_MAX;
  Status status;
  FieldReader fields(body, "", &status);
  if (!status.Ok()) return status.error();
  Announcement announcement;
  announcement.kind = fields.Enumerator("kind", true, UpstreamKind::kEngine);
  const bool is_service = announcement.kind == UpstreamKind::kService;
  announcement.service = fields.Text("service", is_service);
  announcement.name = fields.Text("name", true);
  announcement.incarnation = fields.Integer("incarnation", true, kMaxInteger);
  announcement.availability_zone = fields.Text("availability_zone", true);
  announcement.address = fields.Text("address", true);
  if (status.Ok() && !IsAddress(announcement.address)) {
    fields.Fail("address", UpstreamErrc::kMalformedAnnouncement);
  }
  announcement.state = fields.Enumerator("state", true, UpstreamState::kReady);
  announcement.checks_fence = fields.Boolean("checks_fence");
  announcement.fence = fields.Integer("fence", false, kMaxInteger);
  announcement.accelerator = fields.Text("accelerator", false);
  announcement.memory_bytes = fields.Integer("memory_bytes", false, kMaxInteger);
  announcement.layers_per_s = fields.Number("layers_per_s", kMaxRate);
  announcement.link_mbps = fields.Number("link_mbps", kMaxRate);
  announcement.slots = static_cast<std::uint32_t>(fields.Integer("slots", false, kMaxQueue));
  announcement.sequence = fields.Integer("sequence", false, kMaxInteger);
  if (const json* holdings = fields.Find("holdings", false); holdings != nullptr) {
    if (!holdings->is_array()) fields.Fail("holdings", UpstreamErrc::kMalformedAnnouncement);
    if (holdings->size() > kMaxHoldings) fields.Fail("holdings", UpstreamErrc::kFieldOutOfBounds);
    for (std::size_t i = 0; status.Ok() && i < holdings->size(); ++i) {
      announcement.holdings.push_back(DecodeHolding((*holdings)[i], i, &status));
    }
  }
  if (const json* load = fields.Find("load", false); load != nullptr) {
    announcement.load = DecodeLoad(*load, &status);
  }
  if (!status.Ok()) return status.error();
  return announcement;
}

}  // namespace corneltray
