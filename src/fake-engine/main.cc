#include <CLI/CLI.hpp>
#include <regex>
#include <string>
#include <vector>

#include "../fake-common/stand_in.h"
#include "engine.h"

// Stand-in for an engine of the platform: docs/design.md section 6.2 over a deterministic model.

namespace corneltray::fake {
namespace {

// Parses MODEL:VERSION:ADAPTER:FIRST-LAST; the adapter may be empty. Returns false on any other
// text.
bool ParseHolding(const std::string& text, Holding* holding) {
  static const std::regex pattern("([^:]+):([^:]+):([^:]*):([0-9]{1,4})-([0-9]{1,4})");
  std::smatch match;
  if (!std::regex_match(text, match, pattern)) return false;
  *holding = {{match[1], match[2], match[3]},
              static_cast<std::uint32_t>(std::stoul(match[4])),
              static_cast<std::uint32_t>(std::stoul(match[5])),
              HoldingState::kReady};
  return holding->first_layer <= holding->last_layer;
}

int Run(int argc, char** argv) {
  EngineOptions options;
  ServeOptions serve;
  std::vector<std::string> holds;
  std::vector<std::string> model_layers;
  CLI::App app{"Stand-in for an engine"};
  app.add_option("--name", options.name, "engine name");
  app.add_option("--availability-zone", options.availability_zone, "zone of this engine");
  app.add_option("--listen", serve.listen, "IP:PORT, port 0 picks a free one");
  app.add_option("--advertise", serve.advertise,
                 "IP:PORT to announce instead of the bound address");
  app.add_option("--announce", serve.targets,
                 "IP:PORT of an entry or placement process; repeatable");
  app.add_option("--memory-bytes", options.memory_bytes, "memory for weights");
  app.add_option("--layer-bytes", options.layer_bytes, "weights of one layer");
  app.add_option("--layers-per-s", options.layers_per_s, "layer executions a second; 0: not paced");
  app.add_option("--link-mbps", options.link_mbps, "announced link rate");
  app.add_option("--accelerator", options.accelerator, "announced kind of accelerator");
  app.add_flag("--checks-fence", options.checks_fence, "refuse orders with an old fencing number");
  app.add_option("--hold", holds, "MODEL:VERSION:ADAPTER:FIRST-LAST, ready at once; repeatable");
  app.add_option("--model-layers", model_layers,
                 "MODEL:N; the last stage then refuses a chain that is not N layers long");
  CLI11_PARSE(app, argc, argv);
  for (const std::string& text : holds) {
    if (!ParseHolding(text, &options.holdings.emplace_back())) {
      PrintEvent({{"event", "bad_option"}, {"hold", text}});
      return 2;
    }
  }
  for (const std::string& text : model_layers) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos) continue;
    options.model_layers[text.substr(0, colon)] =
        static_cast<std::uint32_t>(std::strtoul(text.c_str() + colon + 1, nullptr, 10));
  }
  BlockStopSignals();
  StandInServer server;
  FakeEngine engine(options, &server);
  using Request = HttpRequest;
  server.Route("POST", "/v1/pipeline/generate",
               [&](const Request& r) { return engine.Generate(r); });
  server.Route("POST", "/v1/pipeline/forward", [&](const Request& r) { return engine.Forward(r); });
  server.Route("POST", "/v1/pipeline/cancel", [&](const Request& r) { return engine.Cancel(r); });
  server.Route("POST", "/v1/orders", [&](const Request& r) { return engine.Order(r); });
  server.Route("POST", "/fake/fault", [&](const Request& r) { return engine.SetFault(r); });
  server.Route("GET", "/fake/counts",
               [&](const Request&) { return JsonReply(200, engine.Counts()); });
  return ServeUntilStopped(
      &server, serve, [&](const std::string& address) { return engine.Announcement(address); },
      [&](Announcer* announcer) { engine.SetAnnouncer(announcer); },
      [&] { return engine.Counts(); });
}

}  // namespace
}  // namespace corneltray::fake

int main(int argc, char** argv) { return corneltray::fake::Run(argc, argv); }
