#include "corneltray/upstream.h"

#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

namespace corneltray {
namespace {

using nlohmann::json;

json EngineBody() {
  return {{"kind", "engine"},
          {"name", "engine-1"},
          {"incarnation", 1000},
          {"availability_zone", "dkr-a"},
          {"address", "127.0.0.1:9000"},
          {"state", "ready"},
          {"layers_per_s", 40.5},
          {"holdings",
           {{{"model", "assistant"},
             {"version", "1"},
             {"adapter", ""},
             {"first_layer", 0},
             {"last_layer", 23},
             {"state", "ready"}}}},
          {"load", {{"running", 2}, {"waiting", 1}, {"kv_used", 0.25}}},
          {"sequence", 7}};
}

TEST_CASE("an announcement is the same after encoding and decoding") {
  const Result<Announcement> first = DecodeAnnouncement(EngineBody());
  REQUIRE(first.Ok());
  CHECK(first.value().holdings.at(0).last_layer == 23);
  CHECK(first.value().load.kv_used == 0.25);
  const json encoded = EncodeAnnouncement(first.value());
  const Result<Announcement> second = DecodeAnnouncement(encoded);
  REQUIRE(second.Ok());
  CHECK(EncodeAnnouncement(second.value()) == encoded);
}

// Guards against an upstream with a faulty announcement entering the routing tables, and against a
// crash on bytes from outside.
TEST_CASE("each faulty field is named in the error") {
  struct Fault {
    const char* patch;
    const char* field;
  };
  const Fault faults[] = {
      {R"({"kind":"router"})", "kind"},
      {R"({"kind":"service"})", "service"},
      {R"({"name":null})", "name"},
      {R"({"name":""})", "name"},
      {R"({"name":7})", "name"},
      {R"({"incarnation":-1})", "incarnation"},
      {R"({"incarnation":1.5})", "incarnation"},
      {R"({"address":"host.example:80"})", "address"},
      {R"({"address":"127.0.0.1"})", "address"},
      {R"({"address":"127.0.0.1:70000"})", "address"},
      {R"({"address":":80"})", "address"},
      {R"({"state":"gone"})", "state"},
      {R"({"layers_per_s":-3})", "layers_per_s"},
      {R"({"holdings":{}})", "holdings"},
      {R"({"holdings":[3]})", "holdings[0]."},
      {R"({"holdings":[{"model":"m","version":"1","first_layer":4,"last_layer":3,"state":"ready"}]})",
       "holdings[0].last_layer"},
      {R"({"load":{"kv_used":1.5}})", "load.kv_used"},
      {R"({"load":[]})", "load."},
      {R"({"checks_fence":"yes"})", "checks_fence"},
  };
  for (const Fault& fault : faults) {
    CAPTURE(fault.patch);
    json body = EngineBody();
    body.merge_patch(json::parse(fault.patch));
    const Result<Announcement> decoded = DecodeAnnouncement(body);
    REQUIRE(!decoded.Ok());
    CHECK(decoded.error().detail == fault.field);
  }
  CHECK(!DecodeAnnouncement(json::array()).Ok());
  CHECK(!DecodeAnnouncement(json()).Ok());
}

}  // namespace
}  // namespace corneltray
