#include "corneltray/route_table.h"

#include <doctest/doctest.h>

#include <map>
#include <ostream>

namespace corneltray {
namespace {

using std::chrono::milliseconds;

RouteEntry MakeRoute(const std::string& name, const std::string& prefix) {
  RouteEntry route;
  route.name = name;
  route.host = "h.example";
  route.prefix = prefix;
  route.timeout = milliseconds(1000);
  route.targets = {{"s", 1}};
  return route;
}

RouteTable MakeTable() {
  RouteTable table;
  table.version = 3;
  table.services["s"].name = "s";
  table.services["t"].name = "t";
  table.routes = {MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/")};
  table.customers = {{"first", {"k1", "k2"}, 0}, {"second", {"k3"}, std::nullopt}};
  return table;
}

TEST_CASE("a request matches the route of its host with the longest prefix") {
  const RouteIndex index(MakeTable());
  const auto name = [&index](const char* host, const char* path) {
    const RouteEntry* route = index.FindRoute(host, path);
    return route == nullptr ? std::string() : route->name;
  };
  CHECK(name("h.example", "/a/x") == "short");
  CHECK(name("h.example", "/a/b/x/y") == "long");
  CHECK(name("h.example:8080", "/a/b/") == "long");
  CHECK(name("h.example", "/a/b") == "short");
  CHECK(name("h.example", "/a/b?q=/a/b/") == "short");
  CHECK(name("h.example", "/b/a/") == "");
  CHECK(name("h.example", "") == "");
  CHECK(name("other", "/a/x") == "");
  CHECK(name("h.example/a", "/x") == "");
}

TEST_CASE("a key identifies one customer") {
  const RouteIndex index(MakeTable());
  REQUIRE(index.FindCustomer("k2") != nullptr);
  CHECK(index.FindCustomer("k2")->name == "first");
  CHECK(index.FindCustomer("k3")->name == "second");
  CHECK(index.FindCustomer("") == nullptr);

  // Guards against a customer with an empty key that owns every request without a key.
  RouteTable table = MakeTable();
  table.customers.push_back({"careless", {""}, std::nullopt});
  CHECK(RouteIndex(table).FindCustomer("") == nullptr);
}

// Guards against a configuration that fails every request of a route.
TEST_CASE("an invalid route table is rejected") {
  RouteTable table = MakeTable();
  CHECK(ValidateRouteTable(table).Ok());
  const auto code = [&table] {
    const Status status = ValidateRouteTable(table);
    return status ? std::error_code() : status.error().code;
  };
  SUBCASE("an unknown service") {
    table.routes[0].targets = {{"missing", 1}};
    CHECK(code() == RouteTableErrc::kUnknownService);
  }
  SUBCASE("two routes with the same host and prefix") {
    table.routes[1].prefix = table.routes[0].prefix;
    CHECK(code() == RouteTableErrc::kDuplicateRoute);
  }
  SUBCASE("no weight") {
    table.routes[0].targets = {{"s", 0}, {"t", 0}};
    CHECK(code() == RouteTableErrc::kNoWeight);
  }
  SUBCASE("no timeout") {
    table.routes[0].timeout = milliseconds(0);
    CHECK(code() == RouteTableErrc::kNoTimeout);
  }
  SUBCASE("a key shared by two customers") {
    table.customers[1].keys = {"k1"};
    CHECK(code() == RouteTableErrc::kSharedKey);
  }
}

TEST_CASE("a split route divides its requests by weight") {
  RouteEntry route = MakeRoute("split", "/");
  route.targets = {{"s", 90}, {"t", 10}};
  std::map<std::string, int> counts;
  constexpr int kRequests = 10000;
  for (int i = 0; i < kRequests; ++i) ++counts[ChooseTarget(route, std::to_string(i))];
  // Three standard deviations of a binomial distribution around 1,000.
  CHECK(counts["t"] > 910);
  CHECK(counts["t"] < 1090);
  CHECK(ChooseTarget(route, "same") == ChooseTarget(route, "same"));
  route.targets = {{"s", 0}, {"t", 1}};
  CHECK(ChooseTarget(route, "any") == "t");
}

}  // namespace
}  // namespace corneltray
