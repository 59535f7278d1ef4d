#include "corneltray/metrics.h"

#include <doctest/doctest.h>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

bool Has(const std::string& text, const std::string& line) {
  return text.find("\n" + line + "\n") != std::string::npos;
}

// Guards against values in the wrong bucket: an alert on latency would then never fire.
TEST_CASE("metrics are exposed as text") {
  Metrics metrics;
  metrics.RecordResponse("completion", 200, milliseconds(15));
  metrics.RecordResponse("completion", 200, milliseconds(90'000));
  metrics.RecordResponse("service", 503, milliseconds(0));
  metrics.RecordFirstToken(milliseconds(700));
  metrics.RecordTokenGap(milliseconds(55));
  metrics.Count("resumes", "no_progress", 2);
  metrics.Count("resumes", "no_progress");
  const std::string text = metrics.Text({{"connections_open", 3}});

  CHECK(Has(text, R"(corneltray_responses_total{kind="completion",status="200"} 2)"));
  CHECK(Has(text, R"(corneltray_responses_total{kind="service",status="503"} 1)"));
  CHECK(Has(text, R"(corneltray_response_seconds_bucket{kind="completion",le="0.01"} 0)"));
  CHECK(Has(text, R"(corneltray_response_seconds_bucket{kind="completion",le="0.02"} 1)"));
  CHECK(Has(text, R"(corneltray_response_seconds_bucket{kind="completion",le="60"} 1)"));
  CHECK(Has(text, R"(corneltray_response_seconds_bucket{kind="completion",le="+Inf"} 2)"));
  CHECK(Has(text, R"(corneltray_response_seconds_bucket{kind="service",le="0.001"} 1)"));
  CHECK(Has(text, R"(corneltray_response_seconds_sum{kind="completion"} 90.015)"));
  CHECK(Has(text, R"(corneltray_first_token_seconds_bucket{le="0.62"} 0)"));
  CHECK(Has(text, R"(corneltray_first_token_seconds_bucket{le="0.8"} 1)"));
  CHECK(Has(text, R"(corneltray_token_gap_seconds_bucket{le="0.05"} 0)"));
  CHECK(Has(text, R"(corneltray_token_gap_seconds_bucket{le="0.059"} 1)"));
  CHECK(Has(text, R"(corneltray_resumes_total{reason="no_progress"} 3)"));
  CHECK(Has(text, "corneltray_connections_open 3"));
}

}  // namespace
}  // namespace corneltray
