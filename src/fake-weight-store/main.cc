#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>

#include "../fake-common/stand_in.h"

// Stand-in for the platform's weight store: deterministic bytes for each layer, limited in bytes/s
// over all readers together.

namespace corneltray::fake {
namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr std::size_t kPieceBytes = 16'384;

class WeightStore {
 public:
  WeightStore(double bytes_per_s, std::uint64_t layer_bytes)
      : m_bytes_per_s(bytes_per_s), m_layer_bytes(layer_bytes) {}

  HttpReply Serve(const HttpRequest& request) {
    const std::string layer =
        request.captures[0] + "/" + request.captures[1] + "/" + request.captures[2];
    std::uint64_t bytes = m_layer_bytes;
    if (const auto asked = request.query.find("bytes"); asked != request.query.end()) {
      bytes = std::strtoull(asked->second.c_str(), nullptr, 10);
    }
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      ++m_requests[layer];
    }
    HttpReply reply;
    reply.content_type = "application/octet-stream";
    reply.stream = [this, bytes](StreamSink& sink) { Send(bytes, sink); };
    return reply;
  }

  json Counts() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return {{"bytes", m_bytes.load()}, {"requests", m_requests}};
  }

 private:
  void Send(std::uint64_t bytes, StreamSink& sink) {
    std::string piece(kPieceBytes, '\0');
    for (std::size_t i = 0; i < piece.size(); ++i) piece[i] = static_cast<char>(i * 131 % 251);
    for (std::uint64_t left = bytes; left > 0;) {
      const std::size_t size = std::min<std::uint64_t>(left, piece.size());
      std::this_thread::sleep_until(Reserve(size));
      if (!sink.Write({piece.data(), size})) return;
      m_bytes += size;
      left -= size;
    }
  }

  // Takes the next slot on the shared link and returns when it ends.
  Clock::time_point Reserve(std::size_t size) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_free_at = std::max(m_free_at, Clock::now());
    if (m_bytes_per_s > 0) {
      m_free_at += std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>{static_cast<double>(size) / m_bytes_per_s});
    }
    return m_free_at;
  }

  const double m_bytes_per_s;
  const std::uint64_t m_layer_bytes;
  std::mutex m_mutex;
  Clock::time_point m_free_at;
  std::map<std::string, std::uint64_t> m_requests;
  std::atomic<std::uint64_t> m_bytes{0};
};

int Run(int argc, char** argv) {
  std::string listen = "127.0.0.1:0";
  double bytes_per_s = 0;
  std::uint64_t layer_bytes = 1000;
  CLI::App app{"Stand-in for the weight store"};
  app.add_option("--listen", listen, "IP:PORT, port 0 picks a free one");
  app.add_option("--bytes-per-s", bytes_per_s, "limit over all readers; 0: none");
  app.add_option("--layer-bytes", layer_bytes, "size of a layer when the request names none");
  CLI11_PARSE(app, argc, argv);
  BlockStopSignals();
  WeightStore store(bytes_per_s, layer_bytes);
  StandInServer server;
  server.Route("GET", "/v1/weights/([^/]+)/([^/]+)/([0-9]+)",
               [&](const HttpRequest& request) { return store.Serve(request); });
  server.Route("GET", "/fake/counts",
               [&](const HttpRequest&) { return JsonReply(200, store.Counts()); });
  const auto address = server.Start(listen);
  if (!address) {
    PrintEvent({{"event", "listen_failed"}, {"address", listen}});
    return 1;
  }
  PrintEvent({{"event", "listening"}, {"http_address", *address}});
  WaitForStopSignal([&] { return store.Counts(); });
}

}  // namespace
}  // namespace corneltray::fake

int main(int argc, char** argv) { return corneltray::fake::Run(argc, argv); }
