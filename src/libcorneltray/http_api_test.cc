#include "http_api_test.h"

#include <doctest/doctest.h>

#include "corneltray/filters.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr char kCompletions[] = "/v1/completions";
constexpr char kBookings[] = "/v1/services/ledger/v1/bookings";

std::string Body(const std::string& patch) {
  json body = {{"model", "assistant"}, {"prompt", "p"}, {"max_tokens", 3}};
  body.merge_patch(json::parse(patch));
  return body.dump();
}

// Guards against a bad request that reaches an upstream, and against an answer from which the
// caller cannot tell what to change.
TEST_CASE("each bad completion has its status, code and field") {
  struct Case {
    std::string body;
    int status;
    const char* code;
    const char* field;
  };
  const Case cases[] = {
      {"", 400, "malformed_body", ""},
      {"{", 400, "malformed_body", ""},
      {"[]", 400, "malformed_body", ""},
      {"\xff\xfe", 400, "malformed_body", ""},
      {std::string(1500, '['), 400, "malformed_body", ""},
      {Body(R"({"model":null})"), 400, "invalid_field", "model"},
      {Body(R"({"model":""})"), 400, "invalid_field", "model"},
      {Body(R"({"prompt":["a"]})"), 400, "invalid_field", "prompt"},
      {Body(R"({"max_tokens":0})"), 400, "invalid_field", "max_tokens"},
      {Body(R"({"max_tokens":-1})"), 400, "invalid_field", "max_tokens"},
      {Body(R"({"max_tokens":1.5})"), 400, "invalid_field", "max_tokens"},
      {Body(R"({"max_tokens":"3"})"), 400, "invalid_field", "max_tokens"},
      {Body(R"({"max_tokens":51})"), 400, "invalid_field", "max_tokens"},
      {Body(R"({"max_tokens":99999999999999999999})"), 400, "invalid_field", "max_tokens"},
      {Body(R"({"stream":1})"), 400, "invalid_field", "stream"},
      {Body(R"({"priority":10})"), 400, "invalid_field", "priority"},
      {Body(R"({"adapter":"other"})"), 400, "invalid_field", "adapter"},
      {Body(R"({"model":"other"})"), 404, "unknown_model", "model"},
      {Body("{\"prompt\":\"" + std::string(101, 'x') + "\"}"), 413, "prompt_too_long", "prompt"},
      {Body("{\"prompt\":\"" + std::string(2000, 'x') + "\"}"), 413, "body_too_large", ""},
      {Body(R"({"model":"unplaced"})"), 503, "no_pipeline", ""},
  };
  TestEntry entry(kTestConfiguration);
  for (const Case& c : cases) {
    CAPTURE(c.body.substr(0, 80));
    const HttpResponse response =
        HandleApiRequest(entry.context, TestRequest("POST", kCompletions, c.body));
    const json error = ErrorOf(response);
    CHECK(response.status == c.status);
    CHECK(error.value("code", "") == c.code);
    CHECK(error.value("field", "") == c.field);
    CHECK(error.value("outcome", "") == "not_run");
    CHECK(HeaderOf(response, "Corneltray-Outcome") == "not_run");
    CHECK(error.value("request_id", "") == HeaderOf(response, "X-Request-Id"));
    CHECK(!error.value("message", "").empty());
  }
}

TEST_CASE("each bad head has its status and code") {
  const std::string old_key = "00000000-0000-7000-8000-000000000000";
  const std::string good_key = "01a3185c-5000-7000-8000-000000000001";
  struct Case {
    const char* method;
    const char* target;
    std::vector<std::pair<std::string, std::string>> headers;
    const char* customer_key;
    int status;
    const char* code;
    const char* outcome;
  };
  const char* own = "0123456789abcdef";
  const Case cases[] = {
      {"GET", "/", {}, own, 404, "unknown_service", "not_run"},
      {"GET", kCompletions, {}, own, 404, "unknown_service", "not_run"},
      {"POST", kCompletions, {}, "", 401, "unauthorized", "not_run"},
      {"POST", kCompletions, {}, "0123456789abcdeg", 401, "unauthorized", "not_run"},
      {"POST", kCompletions, {}, "0123456789abcde", 401, "unauthorized", "not_run"},
      {"POST", kBookings, {}, own, 400, "idempotency_key_required", "not_run"},
      {"POST",
       kBookings,
       {{"idempotency-key", "x"}},
       own,
       400,
       "idempotency_key_invalid",
       "not_run"},
      {"POST",
       kBookings,
       {{"idempotency-key", old_key}},
       own,
       400,
       "idempotency_key_expired",
       "unknown"},
      {"GET", "/v1/services/other/x", {}, own, 404, "unknown_service", "not_run"},
      {"GET", "/v1/services/ledger/x", {}, own, 503, "no_replica", "not_run"},
      {"GET", "/v1/services//x", {}, own, 400, "invalid_field", "not_run"},
      // Guards against a path that is idempotent here and another one at the service.
      {"POST",
       "/v1/services/ledger/v1/quotes/../bookings",
       {},
       own,
       400,
       "invalid_field",
       "not_run"},
      {"POST",
       "/v1/services/ledger/v1/quotes/%2e%2E/bookings",
       {},
       own,
       400,
       "invalid_field",
       "not_run"},
      {"POST", "/v1/services/ledger/v1/quotes%2fx", {}, own, 400, "invalid_field", "not_run"},
      {"POST",
       "/v1/services/ledger/v1/quotes-all",
       {},
       own,
       400,
       "idempotency_key_required",
       "not_run"},
      {"POST", "/v1/services/ledger/v1/quotes/1", {}, own, 503, "no_replica", "not_run"},
      {"POST",
       kCompletions,
       {{"corneltray-deadline-ms", "soon"}},
       own,
       400,
       "invalid_deadline",
       "not_run"},
      {"POST",
       kCompletions,
       {{"corneltray-deadline-ms", ""}},
       own,
       400,
       "invalid_deadline",
       "not_run"},
      {"POST",
       kCompletions,
       {{"corneltray-deadline-ms", "1000"}},
       own,
       400,
       "deadline_passed",
       "not_run"},
      // Guards against "not_run" for a call that this host did not run, but another one may have.
      {"POST",
       kBookings,
       {{"corneltray-deadline-ms", "1000"}, {"idempotency-key", good_key}},
       own,
       400,
       "deadline_passed",
       "unknown"},
  };
  TestEntry entry(kTestConfiguration);
  for (const Case& c : cases) {
    CAPTURE(std::string(c.target));
    CAPTURE(std::string(c.code));
    const HttpResponse response = HandleApiRequest(
        entry.context, TestRequest(c.method, c.target, Body("{}"), c.headers, c.customer_key));
    CHECK(response.status == c.status);
    CHECK(ErrorOf(response).value("code", "") == c.code);
    CHECK(HeaderOf(response, "Corneltray-Outcome") == c.outcome);
  }
  entry.draining = true;
  const HttpResponse response =
      HandleApiRequest(entry.context, TestRequest("POST", kCompletions, Body("{}")));
  CHECK(ErrorOf(response).value("code", "") == "draining");
}

// Guards against a request id that breaks a header or a log line.
TEST_CASE("a request id is taken over only if it is harmless") {
  TestEntry entry(kTestConfiguration);
  const auto id_of = [&](const std::string& given) {
    return HeaderOf(
        HandleApiRequest(entry.context, TestRequest("GET", "/", "", {{"x-request-id", given}})),
        "X-Request-Id");
  };
  CHECK(id_of("mine-1") == "mine-1");
  CHECK(id_of("a b").size() == 32);
  CHECK(id_of("a\r\nb").size() == 32);
  CHECK(id_of(std::string(129, 'a')).size() == 32);
}

TEST_CASE("a UUID of version 7 is told from other texts") {
  CHECK(IsUuidV7("01a3185c-5000-7000-8000-000000000001"));
  CHECK(IsUuidV7("01a3185c-5000-7abc-bdef-0123456789ab"));
  const char* bad[] = {"",
                       "01a3185c-5000-4000-8000-000000000001",
                       "01a3185c-5000-7000-c000-000000000001",
                       "01A3185C-5000-7000-8000-000000000001",
                       "01a3185c50007000800000000000000001",
                       "01a3185c-5000-7000-8000-0000000000010",
                       "01a3185c-5000-7000-8000-00000000000g"};
  for (const char* text : bad) CHECK_FALSE(IsUuidV7(text));
}

// Guards against a customer who takes the capacity of the others.
TEST_CASE("a customer over its rate is told when to come back") {
  TestEntry entry(kTestConfiguration);
  const HttpRequest request =
      TestRequest("POST", kCompletions, Body(R"({"model":"unplaced"})"), {}, "small-0123456789");
  CHECK(HandleApiRequest(entry.context, request).status == 503);
  const HttpResponse second = HandleApiRequest(entry.context, request);
  CHECK(second.status == 429);
  CHECK(ErrorOf(second).value("code", "") == "limit_exceeded");
  CHECK(ErrorOf(second).value("retry_after_ms", 0) > 0);
  CHECK(!HeaderOf(second, "Retry-After").empty());
}

}  // namespace
}  // namespace corneltray
