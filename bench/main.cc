#include <CLI/CLI.hpp>
#include <chrono>
#include <string>

#include "report.h"

int main(int argc, char** argv) {
  std::string json_file;
  std::string only;
  CLI::App app{"Measures placement, routing, overload and membership in virtual time"};
  app.add_option("--json", json_file, "file for all figures as JSON");
  app.add_option("--only", only, "placement, routing, overload, membership or capacity");
  CLI11_PARSE(app, argc, argv);
  const auto start = std::chrono::steady_clock::now();
  corneltray::bench::Report report;
  if (only.empty() || only == "placement") corneltray::bench::RunPlacementBench(&report);
  if (only.empty() || only == "routing") corneltray::bench::RunRoutingBench(&report);
  if (only.empty() || only == "overload") corneltray::bench::RunOverloadBench(&report);
  if (only.empty() || only == "membership") corneltray::bench::RunMembershipBench(&report);
  if (only.empty() || only == "capacity") corneltray::bench::RunCapacityBench(&report);
  const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
  report.Section("whole run");
  report.Add({"wall time", "-", took.count(), "s", "", corneltray::bench::Goal::kAtMost, 300.0});
  if (!json_file.empty() && !report.WriteJson(json_file)) return 1;
  return 0;
}
