#ifndef CORNELTRAY_HTTP_SERVER_H_
#define CORNELTRAY_HTTP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "corneltray/result.h"
#include "corneltray/time.h"

namespace httplib {
class Server;
}

namespace corneltray {

enum class HttpServerErrc { kAddressInUse = 1, kBadAddress };

std::error_code make_error_code(HttpServerErrc errc);

// One request with its whole body. Header names are in lower case; hop-by-hop headers are kept.
struct HttpRequest {
  std::string method;
  std::string target;  // as received: path and query
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Returns whether the caller has hung up. May be called from any thread until the response is
  // written.
  std::function<bool()> has_hung_up;

  // Returns the value of the first header with this lower-case name, or an empty text.
  const std::string& Header(const std::string& name) const;
  // Returns the target up to the query.
  std::string Path() const;
};

// Sends bytes of a streamed response. Returns false when the caller is gone.
using StreamWriter = std::function<bool(const std::string& bytes)>;

struct HttpResponse {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string content_type = "application/json";
  std::string body;
  // When set, the response is streamed in chunks: the function writes all of it and returns whether
  // the stream ended as intended; otherwise the connection is closed without the last chunk.
  std::function<bool(const StreamWriter&)> stream;
};

struct HttpServerOptions {
  std::string address;         // IP:PORT; port 0 picks a free one
  std::uint32_t threads = 64;  // connections served at once
  std::function<std::size_t()> max_body_bytes = [] { return std::size_t{1} << 20; };
  std::size_t max_header_bytes = 32U << 10;
  std::chrono::milliseconds keep_alive{30'000};
  std::chrono::milliseconds read_timeout{10'000};  // for the headers, and again for the body
  std::chrono::milliseconds write_timeout{10'000};
};

struct HttpServerCounters {
  std::uint64_t accepted = 0;
  std::uint64_t refused = 0;  // over the connection limit
  std::uint32_t open = 0;
  std::uint32_t busy = 0;  // with a request in progress
};

// HTTP server over cpp-httplib with one thread for each connection. Adds what the library lacks:
// limits on headers and connections, exact request bodies, detection of a caller that hangs up, and
// a stop that ends idle connections and no request in progress.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;
  // Builds the response to a request that never reaches the handler.
  using ErrorHandler = std::function<HttpResponse(int status)>;

  HttpServer(HttpServerOptions options, Handler handler, ErrorHandler error_handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // The library's server, to register routes with a fixed path below `prefix` before Start. All
  // other requests go to the handler.
  httplib::Server* Library();
  void SetLibraryPrefix(std::string prefix);

  // Binds and starts to accept. Fails with kBadAddress or kAddressInUse.
  Status Start();
  // The bound address IP:PORT.
  std::string Address() const;

  // From now on every response says `Connection: close`, and idle connections are closed after
  // `idle_grace`, so that callers move to other hosts.
  void BeginDrain(std::chrono::milliseconds idle_grace);
  // From now on new connections fail; requests in progress and idle connections go on.
  void CloseListener();
  // Waits until no request is in progress. Returns false if the deadline passed first.
  bool WaitIdle(TimePoint deadline);
  // Stops accepting, closes idle connections and waits for the requests in progress; at the
  // deadline their connections are closed.
  void Stop(TimePoint deadline);

  HttpServerCounters Counters() const;

  // For an ErrorHandler: whether the request on this thread may have an Idempotency-Key, so that
  // "not run" cannot be said of it.
  static bool IsKeyedRequest();

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace corneltray

template <>
struct std::is_error_code_enum<corneltray::HttpServerErrc> : std::true_type {};

#endif  // CORNELTRAY_HTTP_SERVER_H_
