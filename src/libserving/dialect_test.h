#ifndef CORNELTRAY_DIALECT_TEST_H_
#define CORNELTRAY_DIALECT_TEST_H_

#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "corneltray/dialect.h"

namespace corneltray {

// A plain dialect for tests of the data path, with names of its own.
class TestDialect : public Dialect {
 public:
  RequestFacts ReadRequest(const HttpHead& head) const override {
    RequestFacts facts;
    facts.request_id = head.Value("Request-Id");
    facts.customer_key = head.Value("Key");
    facts.last_event_id = head.Value("Last-Event");
    if (const std::string* left = head.Find("Time-Left")) {
      facts.time_left = std::chrono::milliseconds(std::stoll(*left));
    }
    facts.prompt_tokens = 800;
    return facts;
  }

  void WriteAttempt(const AttemptFacts& facts, HttpHead* head) const override {
    head->Remove("Key");
    head->Set("Customer", facts.customer);
    head->Set("Only", facts.upstream);
    head->Set("Time-Left", std::to_string(facts.time_left.count()));
    std::string chain;
    for (const ChainStage& stage : facts.chain) chain += stage.upstream + " ";
    if (!chain.empty()) head->Set("Chain", chain);
    if (!facts.last_event_id.empty()) head->Set("Last-Event", facts.last_event_id);
  }

  AnswerFacts ReadAnswer(const HttpHead& head) const override {
    AnswerFacts facts;
    facts.request_id = head.Value("Request-Id");
    facts.is_authentic = head.Find("Mark") != nullptr;
    facts.is_not_run = head.Find("Not-Run") != nullptr;
    facts.is_encoded = head.Find("Content-Encoding") != nullptr;
    facts.faulty_address = head.Value("Faulty");
    return facts;
  }

  std::string_view ReadinessPath() const override { return "/ready"; }
  Result<RouteTable> ReadRouteTable(const std::string&) const override { return RouteTable{}; }
  ControlCall ReadControlCall(const HttpHead&, const std::string&) const override {
    return RefusedCall{};
  }
  EngineRequest WritePlaceOrder(const PlaceOrder&) const override { return {}; }
  EngineRequest WriteReportRequest() const override {
    EngineRequest request;
    request.head.method = "GET";
    request.head.target = "/report";
    return request;
  }
  // The body lists the stalled addresses.
  Result<EngineReport> ReadReport(const std::string& body) const override {
    EngineReport report;
    for (const auto& address : nlohmann::json::parse(body)) {
      report.stalled_addresses.push_back(address.get<std::string>());
    }
    return report;
  }
};

}  // namespace corneltray

#endif  // CORNELTRAY_DIALECT_TEST_H_
