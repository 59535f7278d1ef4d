#include <algorithm>
#include <nlohmann/json.hpp>

#include "corneltray/filters.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr char kServicePrefix[] = "/v1/services/";
// Bounds that hold whatever the configuration says.
constexpr std::uint64_t kMaxTokens = 1'000'000;
constexpr std::uint64_t kMaxPriority = 9;
constexpr std::size_t kMaxNameLength = 64;

ApiError InvalidField(const std::string& field, const std::string& message) {
  return {ApiCode::kInvalidField, message, field, BookingState::kNotRun, 0, 0};
}

// Returns the outcome of a request that this host has not started. An earlier call with the same
// key may have run through another host.
BookingState Untouched(const RequestContext& context) {
  return context.http.Header("idempotency-key").empty() ? BookingState::kNotRun
                                                        : BookingState::kUnknown;
}

// Reads the fields of a completion body and keeps the first error.
class CompletionReader {
 public:
  CompletionReader(const json& body, CompletionCall* call) : m_body(body), m_call(call) {}

  std::optional<ApiError> Read() {
    m_call->model = Text("model", true);
    if (!m_error && (m_call->model.empty() || m_call->model.size() > kMaxNameLength)) {
      m_error = InvalidField("model", "model must have 1 to 64 bytes");
    }
    m_call->prompt = Text("prompt", true);
    m_call->adapter = Text("adapter", false);
    m_call->max_tokens = static_cast<std::uint32_t>(Integer("max_tokens", true, 1, kMaxTokens));
    m_call->priority = static_cast<std::uint32_t>(Integer("priority", false, 0, kMaxPriority));
    if (const json* stream = Find("stream", false); stream != nullptr) {
      if (stream->is_boolean()) {
        m_call->stream = stream->get<bool>();
      } else {
        Fail("stream", "must be true or false");
      }
    }
    return m_error;
  }

 private:
  const json* Find(const char* field, bool required) {
    const auto found = m_body.find(field);
    if (found != m_body.end()) return &*found;
    if (required) Fail(field, "is required");
    return nullptr;
  }

  std::string Text(const char* field, bool required) {
    const json* value = Find(field, required);
    if (value == nullptr) return {};
    if (value->is_string()) return value->get<std::string>();
    Fail(field, "must be a string");
    return {};
  }

  std::uint64_t Integer(const char* field, bool required, std::uint64_t min, std::uint64_t max) {
    const json* value = Find(field, required);
    if (value == nullptr) return 0;
    if (value->is_number_unsigned()) {
      const auto number = value->get<std::uint64_t>();
      if (number >= min && number <= max) return number;
    }
    Fail(field, "must be an integer from " + std::to_string(min) + " to " + std::to_string(max));
    return 0;
  }

  void Fail(const char* field, const std::string& message) {
    if (!m_error) m_error = InvalidField(field, std::string(field) + " " + message);
  }

  const json& m_body;
  CompletionCall* m_call;
  std::optional<ApiError> m_error;
};

// Returns whether a path has an empty, "." or ".." segment or an encoded dot or slash. A service
// that resolves those would see another path than the one that was checked for being idempotent.
bool IsAmbiguousPath(const std::string& path) {
  std::size_t begin = 1;
  while (begin <= path.size()) {
    const std::size_t end = std::min(path.find('/', begin), path.size());
    const std::string segment = path.substr(begin, end - begin);
    if (segment == "." || segment == ".." || (segment.empty() && end != path.size())) return true;
    begin = end + 1;
  }
  for (std::size_t at = path.find('%'); at != std::string::npos; at = path.find('%', at + 1)) {
    const std::string code = path.substr(at + 1, 2);
    if (code == "2e" || code == "2E" || code == "2f" || code == "2F" || code == "5c" ||
        code == "5C" || code == "00") {
      return true;
    }
  }
  return path.find('\\') != std::string::npos || path.find('#') != std::string::npos;
}

}  // namespace

FilterResult ParseFilter::Apply(RequestContext& context) {
  if (!context.configuration) {
    return Refuse({ApiCode::kDraining, "no configuration is in force yet", "",
                   BookingState::kUnknown, 1000, 0},
                  context);
  }
  const std::string path = context.http.Path();
  const bool is_completion = path == "/v1/completions" && context.http.method == "POST";
  const bool is_service = path.compare(0, sizeof(kServicePrefix) - 1, kServicePrefix) == 0;
  if (!is_completion && !is_service) {
    return Refuse({ApiCode::kUnknownService, "no such path", "", BookingState::kNotRun, 0, 0},
                  context);
  }
  if (is_service) context.call = ServiceCallRequest{};
  if (m_entry->is_draining()) {
    return Refuse(
        {ApiCode::kDraining, "this host is shutting down", "", Untouched(context), 1000, 0},
        context);
  }
  if (context.http.body.size() > context.configuration->limits.max_body_bytes) {
    return Refuse({ApiCode::kBodyTooLarge,
                   "the body is over " +
                       std::to_string(context.configuration->limits.max_body_bytes) + " bytes",
                   "", Untouched(context), 0, 0},
                  context);
  }
  FilterResult parsed = is_completion ? ParseCompletion(context) : ParseService(context);
  if (std::holds_alternative<Respond>(parsed)) return parsed;
  return ParseDeadline(context);
}

FilterResult ParseFilter::ParseDeadline(RequestContext& context) const {
  const LimitsConfig& limits = context.configuration->limits;
  const bool given =
      std::any_of(context.http.headers.begin(), context.http.headers.end(),
                  [](const auto& header) { return header.first == "corneltray-deadline-ms"; });
  UnixMs deadline = context.arrived_unix_ms + limits.default_deadline_ms;
  if (given) {
    const std::string& text = context.http.Header("corneltray-deadline-ms");
    if (text.empty() || text.size() > 15 ||
        text.find_first_not_of("0123456789") != std::string::npos) {
      return Refuse({ApiCode::kInvalidDeadline, "Corneltray-Deadline-Ms must be Unix milliseconds",
                     "", BookingState::kNotRun, 0, 0},
                    context);
    }
    deadline = std::min<UnixMs>(std::stoll(text), context.arrived_unix_ms + limits.max_deadline_ms);
  }
  const std::int64_t left = deadline - context.arrived_unix_ms;
  if (left <= 0) {
    return Refuse(
        {ApiCode::kDeadlinePassed, "the deadline has passed", "", Untouched(context), 0, 0},
        context);
  }
  context.deadline_unix_ms = deadline;
  context.deadline = context.arrived_at + std::chrono::milliseconds(left);
  return Continue{};
}

FilterResult ParseFilter::ParseCompletion(RequestContext& context) const {
  const json body = json::parse(context.http.body, nullptr, false);
  if (body.is_discarded() || !body.is_object()) {
    return Refuse({ApiCode::kMalformedBody, "the body must be a JSON object", "",
                   BookingState::kNotRun, 0, 0},
                  context);
  }
  CompletionCall call;
  if (const auto error = CompletionReader(body, &call).Read()) return Refuse(*error, context);
  context.call = std::move(call);
  return Continue{};
}

FilterResult ParseFilter::ParseService(RequestContext& context) const {
  const std::string& target = context.http.target;
  const std::size_t begin = sizeof(kServicePrefix) - 1;
  const std::size_t end = std::min(target.find_first_of("/?", begin), target.size());
  ServiceCallRequest call;
  call.service = target.substr(begin, end - begin);
  call.target =
      end < target.size() && target[end] == '/' ? target.substr(end) : "/" + target.substr(end);
  const std::string path = call.target.substr(0, call.target.find('?'));
  if (call.service.empty() || call.service.size() > kMaxNameLength || IsAmbiguousPath(path)) {
    return Refuse(InvalidField("path", "the path must name a service and have no dot segments"),
                  context);
  }
  call.idempotency_key = context.http.Header("idempotency-key");
  context.call = std::move(call);
  return Continue{};
}

}  // namespace corneltray
