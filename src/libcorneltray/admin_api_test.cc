#include "corneltray/admin_api.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <atomic>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>

#include "corneltray/configuration_feed.h"
#include "corneltray/control_client.h"

namespace corneltray {
namespace {

using nlohmann::json;

constexpr char kOperatorKey[] = "operator-key-of-the-region";

// Applies changes to a store in memory, or fails in a fixed way.
class StandInClient : public ControlClient {
 public:
  Result<CommandReply> Propose(const Command& command, TimePoint) override {
    if (failure) return Error{*failure, "stand-in"};
    // As the leader does before it proposes a change.
    const ApplyConfiguration change = PrepareChange(std::get<ApplyConfiguration>(command));
    return CommandReply(store.Apply(change, 1'000));
  }
  Result<BookingReply> ReadBooking(const BookingKey&, TimePoint) override {
    return Error{ControlErrc::kUnavailable, "stand-in"};
  }
  Result<std::vector<ConfigurationHistoryRow>> ReadHistory(std::size_t limit, TimePoint) override {
    if (failure) return Error{*failure, "stand-in"};
    std::vector<ConfigurationHistoryRow> rows(store.History().rbegin(), store.History().rend());
    if (rows.size() > limit) rows.resize(limit);
    return rows;
  }

  ConfigurationStore store;
  std::optional<ControlErrc> failure;
};

// A server with the operator interface on a free port.
struct Bench {
  StandInClient control;
  ConfigurationFeed feed{nullptr, "dkr"};
  int drains = 0;
  std::atomic<bool> recovered{false};
  std::function<void()> on_recovered_asked;
  httplib::Server server;
  int port = 0;
  std::thread thread;

  Bench() {
    AdminOptions options;
    options.operator_key = kOperatorKey;
    options.control = &control;
    options.feed = &feed;
    options.status = [] { return json{{"host", "control-1"}}; };
    options.recovered = [this] {
      if (on_recovered_asked) on_recovered_asked();
      return recovered.load();
    };
    options.drain = [this] { ++drains; };
    RegisterAdminApi(&server, std::move(options));
    port = server.bind_to_any_port("127.0.0.1");
    thread = std::thread([this] { server.listen_after_bind(); });
    while (!server.is_running()) std::this_thread::yield();
  }
  ~Bench() {
    server.stop();
    thread.join();
  }
  Bench(const Bench&) = delete;
  Bench& operator=(const Bench&) = delete;

  httplib::Headers Headers(const std::string& key = kOperatorKey) const {
    return {{"Authorization", "Bearer " + key}};
  }
  httplib::Result Get(const std::string& path) const {
    return httplib::Client("127.0.0.1", port).Get("/admin/v1/" + path, Headers());
  }
  httplib::Result Post(const std::string& path, const std::string& body) const {
    return httplib::Client("127.0.0.1", port)
        .Post("/admin/v1/" + path, Headers(), body, "application/json");
  }
};

std::string ChangeBody(const std::string& id, int expected, const std::string& base) {
  return json{{"change_id", id}, {"expected_revision", expected}, {"base", base}}.dump();
}

constexpr char kBase[] = "[limits]\nmax_body_bytes = 20000\n";

TEST_CASE("operators change and read the configuration") {
  Bench bench;
  const auto first = bench.Post("configuration", ChangeBody("c1", 0, kBase));
  REQUIRE(first);
  CHECK(first->status == 200);
  CHECK(json::parse(first->body)["revision"] == 1);

  SUBCASE("and a resent change gets the first answer") {
    const auto again = bench.Post("configuration", ChangeBody("c1", 0, kBase));
    CHECK(again->status == 200);
    CHECK(json::parse(again->body)["verdict"] == "duplicate");
  }
  SUBCASE("and a conflict names the current revision") {
    const auto reply = bench.Post("configuration", ChangeBody("c2", 0, kBase));
    CHECK(reply->status == 409);
    const json error = json::parse(reply->body)["error"];
    CHECK(error["code"] == "revision_conflict");
    CHECK(error["revision"] == 1);
    CHECK(error["outcome"] == "not_run");
  }
  // Guards against a change over revision 0 that a process shows only because it is behind.
  SUBCASE("and do not read revision 0 from a process that has not fetched it") {
    CHECK(bench.Get("configuration")->status == 503);
    bench.recovered = true;
    CHECK(json::parse(bench.Get("configuration")->body)["revision"] == 0);
  }
  SUBCASE("and do not read revision 0 while the process finishes its recovery") {
    bench.recovered = true;
    bench.on_recovered_asked = [&] { bench.feed.Activate({1, bench.control.store.Document()}); };
    CHECK(json::parse(bench.Get("configuration")->body)["revision"] == 1);
  }
  SUBCASE("and read it as it is in force") {
    REQUIRE(bench.feed.Activate({1, bench.control.store.Document()}));
    const json body = json::parse(bench.Get("configuration")->body);
    CHECK(body["revision"] == 1);
    CHECK(body["base"] == kBase);
  }
  SUBCASE("and read the history") {
    const json body = json::parse(bench.Get("history?limit=1")->body);
    REQUIRE(body["changes"].size() == 1);
    CHECK(body["changes"][0]["change_id"] == "c1");
    CHECK(body["changes"][0]["author"] == "127.0.0.1");
    CHECK(bench.Get("history?limit=x")->status == 400);
  }
  SUBCASE("and read the status and drain the process") {
    CHECK(json::parse(bench.Get("status")->body)["host"] == "control-1");
    CHECK(bench.Post("drain", "{}")->status == 202);
    CHECK(bench.drains == 1);
  }
}

// Guards against a change by somebody else than an operator.
TEST_CASE("only the operator key opens the operator interface") {
  Bench bench;
  for (const std::string key : {"", "wrong", "operator-key-of-the-regioN"}) {
    CAPTURE(key);
    httplib::Client client("127.0.0.1", bench.port);
    for (const std::string path : {"configuration", "history", "status"}) {
      CHECK(client.Get("/admin/v1/" + path, bench.Headers(key))->status == 401);
    }
    const std::string body = ChangeBody("c1", 0, kBase);
    CHECK(client.Post("/admin/v1/configuration", bench.Headers(key), body, "application/json")
              ->status == 401);
    CHECK(client.Post("/admin/v1/drain", bench.Headers(key), "{}", "application/json")->status ==
          401);
  }
  CHECK(bench.control.store.Revision() == 0);
  CHECK(bench.drains == 0);
}

// Guards against a change that is half understood, and against `not_run` when it is not certain.
TEST_CASE("refusals name the field and the outcome") {
  Bench bench;
  struct Row {
    std::string name;
    std::string body;
    int status;
    std::string code;
    std::string field;
  };
  const Row rows[] = {
      {"no JSON", "{", 400, "malformed_body", ""},
      {"no object", "[]", 400, "malformed_body", ""},
      {"unknown field", R"({"revision":1})", 400, "invalid_field", "revision"},
      {"missing base", R"({"change_id":"c","expected_revision":0})", 400, "invalid_field", "base"},
      {"negative revision", R"({"change_id":"c","expected_revision":-1,"base":""})", 400,
       "invalid_field", "expected_revision"},
      {"empty change id", R"({"change_id":"","expected_revision":0,"base":""})", 400,
       "invalid_field", "change_id"},
      {"overlay of another type",
       R"({"change_id":"c","expected_revision":0,"base":"","overlays":{"dkr":1}})", 400,
       "invalid_field", "overlays.dkr"},
      {"mistake in the document", ChangeBody("c", 0, "[limit]\n"), 400, "configuration_invalid",
       ""},
      {"too large", ChangeBody("c", 0, std::string(kMaxDocumentBytes + 1, '#')), 413,
       "body_too_large", ""},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const auto reply = bench.Post("configuration", row.body);
    REQUIRE(reply);
    CHECK(reply->status == row.status);
    const json error = json::parse(reply->body)["error"];
    CHECK(error["code"] == row.code);
    CHECK(error.value("field", "") == row.field);
    CHECK(error["outcome"] == "not_run");
  }
  for (const auto& [failure, outcome] :
       {std::pair<ControlErrc, const char*>{ControlErrc::kUnavailable, "unknown"},
        {ControlErrc::kNotProposed, "not_run"}}) {
    bench.control.failure = failure;
    const auto reply = bench.Post("configuration", ChangeBody("c1", 0, kBase));
    CHECK(reply->status == 503);
    CHECK(json::parse(reply->body)["error"]["outcome"] == outcome);
  }
}

}  // namespace
}  // namespace corneltray
