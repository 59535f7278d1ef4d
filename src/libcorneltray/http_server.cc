#include "corneltray/http_server.h"

#include <httplib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>
#include <thread>

#include "http_connection.h"
#include "http_worker_pool.h"

namespace corneltray {
namespace {

using std::chrono::milliseconds;

// Path under which the library sees every request that is not its own. The real target stays in
// Request::target. A fixed path keeps the library's regular expressions away from input of any
// length.
constexpr char kInnerPath[] = "/corneltray";
constexpr int kListenBacklog = 1024;
// Slice of the wait for the next request, after which a stop or a need for room is noticed.
constexpr milliseconds kIdleSlice{100};
// After a refusal the unread rest of the request is taken in for this time; closing at once would
// reset the connection and lose the response.
constexpr milliseconds kLinger{500};
constexpr std::size_t kMaxLingerBytes = 4U << 20;

class HttpServerCategory : public std::error_category {
 public:
  const char* name() const noexcept override { return "http_server"; }
  std::string message(int value) const override {
    switch (static_cast<HttpServerErrc>(value)) {
      case HttpServerErrc::kAddressInUse:
        return "the address is in use or not of this host";
      case HttpServerErrc::kBadAddress:
        return "not an address of the form IP:PORT";
    }
    return "unknown http server error";
  }
};

// The pool as the library owns it. The pool itself lives as long as the server.
class PoolHandle : public httplib::TaskQueue {
 public:
  explicit PoolHandle(HttpWorkerPool* pool) : m_pool(pool) {}
  void enqueue(std::function<void()> fn) override { m_pool->Enqueue(std::move(fn)); }  // NOLINT
  void shutdown() override { m_pool->Shutdown(); }                                     // NOLINT

 private:
  HttpWorkerPool* m_pool;
};

// What the library does not carry from the head of a request to its handler.
struct RequestState {
  std::string content_type;
  int reject_status = 0;
  bool must_close = true;  // until the head is understood
  bool keyed = true;       // until the head is known
};

thread_local HttpConnection* t_connection = nullptr;
thread_local RequestState t_request;

std::string LowerCase(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return text;
}

bool IsNumber(const std::string& text) {
  return !text.empty() && text.size() <= 18 &&
         text.find_first_not_of("0123456789") == std::string::npos;
}

// The library drops headers with an empty value; this adds them again, because "empty" and
// "missing" are different answers to a caller.
void RestoreEmptyHeaders(const std::string& head, httplib::Request* request) {
  std::size_t begin = head.find("\r\n");
  while (begin != std::string::npos) {
    begin += 2;
    const std::size_t end = head.find("\r\n", begin);
    if (end == std::string::npos || end == begin) return;
    const std::size_t colon = head.find(':', begin);
    if (colon < end && head.find_first_not_of(" \t", colon + 1) == end) {
      request->headers.emplace(head.substr(begin, colon - begin), "");
    }
    begin = end;
  }
}

// Returns the status with which a request is refused because of its framing, or 0. Ambiguous
// framing would let one caller's bytes be read as another request.
int CheckFraming(const httplib::Request& request, std::size_t max_body_bytes) {
  const std::size_t lengths = request.get_header_value_count("Content-Length");
  const std::size_t encodings = request.get_header_value_count("Transfer-Encoding");
  if (lengths > 1 || encodings > 1 || (lengths == 1 && encodings == 1)) return 400;
  if (encodings == 1 && LowerCase(request.get_header_value("Transfer-Encoding")) != "chunked") {
    return 400;
  }
  const std::string length = request.get_header_value("Content-Length");
  if (lengths == 1 && !IsNumber(length)) return 400;
  const bool has_body = encodings == 1 || (lengths == 1 && std::stoull(length) > 0);
  const bool may_have_body = request.method == "POST" || request.method == "PUT" ||
                             request.method == "PATCH" || request.method == "DELETE";
  if (has_body && !may_have_body) return 400;
  if (lengths == 1 && std::stoull(length) > max_body_bytes) return 413;
  return 0;
}

// Reads and drops what the peer still sends, then leaves the connection to be closed.
void Linger(HttpConnection* connection) {
  ::shutdown(connection->socket(), SHUT_WR);
  connection->BeginBody();
  const TimePoint until = Clock::now() + kLinger;
  char buffer[4096];
  std::size_t total = 0;
  while (Clock::now() < until && total < kMaxLingerBytes && connection->WaitReadable(kLinger)) {
    const ssize_t count = connection->read(buffer, sizeof(buffer));
    if (count <= 0) return;
    total += static_cast<std::size_t>(count);
  }
}

}  // namespace

std::error_code make_error_code(HttpServerErrc errc) {
  static const HttpServerCategory category;
  return {static_cast<int>(errc), category};
}

const std::string& HttpRequest::Header(const std::string& name) const {
  static const std::string none;
  for (const auto& [key, value] : headers) {
    if (key == name) return value;
  }
  return none;
}

std::string HttpRequest::Path() const { return target.substr(0, target.find('?')); }

// The library's server with its connection loop replaced.
class HttpServer::Impl : public httplib::Server {
 public:
  Impl(HttpServerOptions options, HttpServer::Handler handler, ErrorHandler error_handler)
      : m_options(std::move(options)),
        m_handler(std::move(handler)),
        m_error_handler(std::move(error_handler)),
        m_pool(m_options.threads) {
    new_task_queue = [this] { return new PoolHandle(&m_pool); };
    // The library's default option lets two processes share one port.
    set_socket_options([](socket_t socket) {
      const int on = 1;
      ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
    set_tcp_nodelay(true);
    set_keep_alive_max_count(1'000'000);
    set_keep_alive_timeout(
        std::chrono::duration_cast<std::chrono::seconds>(m_options.keep_alive).count());
    RegisterRoutes();
  }

  ~Impl() override { StopNow(Clock::now()); }

  Status Start() {
    const std::size_t colon = m_options.address.rfind(':');
    const std::string port_text =
        colon == std::string::npos ? "" : m_options.address.substr(colon + 1);
    if (!IsNumber(port_text) || port_text.size() > 5 || std::stoi(port_text) > 65535) {
      return Error{HttpServerErrc::kBadAddress, m_options.address};
    }
    const std::string host = m_options.address.substr(0, colon);
    int port = std::stoi(port_text);
    if (port == 0) {
      port = bind_to_any_port(host);
    } else if (!bind_to_port(host, port)) {
      port = -1;
    }
    if (port <= 0) return Error{HttpServerErrc::kAddressInUse, m_options.address};
    // The library listens with a backlog of 5, which a burst of connections overflows.
    ::listen(svr_sock_, kListenBacklog);
    m_address = host + ":" + std::to_string(port);
    m_accept_thread = std::thread([this] { listen_after_bind(); });
    while (!is_running()) std::this_thread::sleep_for(milliseconds(1));
    return {};
  }

  const std::string& Address() const { return m_address; }
  void SetLibraryPrefix(std::string prefix) { m_library_prefix = std::move(prefix); }

  void BeginDrain(milliseconds idle_grace) {
    m_idle_until = (Clock::now() + idle_grace).time_since_epoch().count();
    m_draining = true;
  }

  bool WaitIdle(TimePoint deadline) { return m_pool.WaitIdle(deadline); }

  // Server::stop marks the listener as closed, and the library then skips streamed responses that
  // have not begun. A shutdown of the socket ends its accept loop without that mark.
  void CloseListener() {
    if (!m_listener_closed.exchange(true)) ::shutdown(svr_sock_, SHUT_RDWR);
  }

  void StopNow(TimePoint deadline) {
    if (!m_accept_thread.joinable()) return;
    if (!m_draining) BeginDrain(milliseconds(0));
    CloseListener();
    if (!WaitIdle(deadline)) {
      const std::lock_guard<std::mutex> lock(m_sockets_mutex);
      for (const int socket : m_sockets) ::shutdown(socket, SHUT_RDWR);
    }
    m_idle_until = 0;
    m_accept_thread.join();
  }

  HttpServerCounters Counters() const {
    HttpServerCounters counters;
    counters.accepted = m_accepted;
    counters.refused = m_pool.Refused();
    counters.open = m_pool.Open();
    counters.busy = m_pool.Busy();
    return counters;
  }

 private:
  void RegisterRoutes() {
    const auto without_body = [this](const httplib::Request& request, httplib::Response& response) {
      Handle(request, {}, &response);
    };
    const auto with_body = [this](const httplib::Request& request, httplib::Response& response,
                                  const httplib::ContentReader& reader) {
      ReadAndHandle(request, &response, reader);
    };
    Get(kInnerPath, without_body);
    Options(kInnerPath, without_body);
    Post(kInnerPath, with_body);
    Put(kInnerPath, with_body);
    Patch(kInnerPath, with_body);
    Delete(kInnerPath, with_body);
    set_pre_routing_handler([this](const httplib::Request&, httplib::Response& response) {
      if (t_request.reject_status == 0) return HandlerResponse::Unhandled;
      Fill(m_error_handler(t_request.reject_status), &response);
      return HandlerResponse::Handled;
    });
    set_error_handler(
        HandlerWithResponse([this](const httplib::Request&, httplib::Response& response) {
          if (response.body.empty() && !response.content_provider_) {
            Fill(m_error_handler(response.status), &response);
          }
          return HandlerResponse::Handled;
        }));
    set_exception_handler(
        [this](const httplib::Request&, httplib::Response& response, const std::exception_ptr&) {
          Fill(m_error_handler(500), &response);
        });
  }

  // Called by the library when the head of a request is complete.
  void PrepareRequest(httplib::Request* request) {
    RestoreEmptyHeaders(t_connection->Head(), request);
    t_connection->BeginBody();
    t_request.keyed = request->has_header("Idempotency-Key");
    t_request.reject_status = CheckFraming(*request, m_options.max_body_bytes());
    t_request.must_close = t_request.reject_status != 0;
    if (t_request.must_close) {
      request->headers.erase("Connection");
      request->headers.emplace("Connection", "close");
    }
    // The library would read until the connection closes.
    if (request->get_header_value_count("Content-Length") == 0 &&
        request->get_header_value_count("Transfer-Encoding") == 0) {
      request->headers.emplace("Content-Length", "0");
    }
    // Ranges and compression would change the bytes of a stored answer.
    request->headers.erase("Range");
    request->headers.erase("Accept-Encoding");
    request->ranges.clear();
    if (!m_library_prefix.empty() &&
        request->path.compare(0, m_library_prefix.size(), m_library_prefix) == 0) {
      return;
    }
    // The library parses bodies of forms; without the header it passes the bytes on.
    t_request.content_type = request->get_header_value("Content-Type");
    request->headers.erase("Content-Type");
    request->path = kInnerPath;
  }

  void ReadAndHandle(const httplib::Request& request, httplib::Response* response,
                     const httplib::ContentReader& reader) {
    std::string body;
    const std::size_t max_bytes = m_options.max_body_bytes();
    bool too_large = false;
    const bool complete = reader([&](const char* data, std::size_t size) {
      too_large = body.size() + size > max_bytes;
      if (!too_large) body.append(data, size);
      return !too_large;
    });
    if (!complete) {
      t_request.must_close = true;
      Fill(m_error_handler(too_large ? 413 : 400), response);
      return;
    }
    Handle(request, std::move(body), response);
  }

  void Handle(const httplib::Request& request, std::string body, httplib::Response* response) {
    HttpRequest own;
    own.method = request.method;
    own.target = request.target;
    own.body = std::move(body);
    for (const auto& [name, value] : request.headers) {
      // The library adds these four to each request.
      if (name == "REMOTE_ADDR" || name == "REMOTE_PORT" || name == "LOCAL_ADDR" ||
          name == "LOCAL_PORT") {
        continue;
      }
      own.headers.emplace_back(LowerCase(name), value);
    }
    if (!t_request.content_type.empty()) {
      own.headers.emplace_back("content-type", t_request.content_type);
    }
    own.has_hung_up = [connection = t_connection] { return connection->HasHungUp(); };
    Fill(m_handler(own), response);
  }

  static void Fill(HttpResponse own, httplib::Response* response) {
    response->status = own.status;
    for (const auto& [name, value] : own.headers) response->set_header(name, value);
    if (!own.stream) {
      response->set_content(own.body, own.content_type);
      if (own.content_type.empty()) response->headers.erase("Content-Type");
      return;
    }
    response->set_chunked_content_provider(
        own.content_type, [stream = std::move(own.stream)](std::size_t, httplib::DataSink& sink) {
          const bool ended = stream([&sink](const std::string& bytes) {
            return sink.is_writable() && sink.write(bytes.data(), bytes.size());
          });
          if (ended) sink.done();
          return ended;
        });
  }

  bool process_and_close_socket(socket_t socket) override {  // NOLINT
    ++m_accepted;
    const ConnectionFate fate = HttpWorkerPool::Fate();
    {
      const std::lock_guard<std::mutex> lock(m_sockets_mutex);
      m_sockets.insert(socket);
    }
    if (fate != ConnectionFate::kDrop) {
      HttpConnection connection(socket, m_options.max_header_bytes, m_options.read_timeout,
                                m_options.write_timeout);
      t_connection = &connection;
      if (fate == ConnectionFate::kRefuse) {
        Refuse(&connection);
      } else {
        Serve(&connection);
      }
      t_connection = nullptr;
    }
    const std::lock_guard<std::mutex> lock(m_sockets_mutex);
    m_sockets.erase(socket);
    ::shutdown(socket, SHUT_RDWR);
    ::close(socket);
    return true;
  }

  void Serve(HttpConnection* connection) {
    while (WaitForRequest(connection)) {
      m_pool.BeginRequest();
      connection->BeginRequest();
      t_request = {};
      const bool last = m_draining;
      bool closed_by_peer = false;
      const bool written =
          process_request(*connection, last, closed_by_peer,
                          [this](httplib::Request& request) { PrepareRequest(&request); });
      m_pool.EndRequest();
      if (t_request.must_close) Linger(connection);
      if (!written || closed_by_peer || last || t_request.must_close) return;
    }
  }

  // Returns true when bytes of a request are there, false when the connection is to be closed. A
  // request that has arrived is always served.
  bool WaitForRequest(HttpConnection* connection) {
    const TimePoint until = Clock::now() + m_options.keep_alive;
    for (;;) {
      if (connection->WaitReadable(kIdleSlice)) return true;
      const TimePoint now = Clock::now();
      const bool drained = m_draining && now.time_since_epoch().count() >= m_idle_until;
      if (now >= until || drained || m_pool.TakePressure()) {
        return connection->WaitReadable(milliseconds(0));
      }
    }
  }

  void Refuse(HttpConnection* connection) {
    t_request = {};
    connection->WaitReadable(kIdleSlice);
    HttpResponse own = m_error_handler(503);
    std::string text = "HTTP/1.1 " + std::to_string(own.status) + " Refused\r\n";
    for (const auto& [name, value] : own.headers) text += name + ": " + value + "\r\n";
    text += "Content-Type: " + own.content_type +
            "\r\nContent-Length: " + std::to_string(own.body.size()) +
            "\r\nConnection: close\r\n\r\n" + own.body;
    connection->write(text.data(), text.size());
    Linger(connection);
  }

  const HttpServerOptions m_options;
  const HttpServer::Handler m_handler;
  const ErrorHandler m_error_handler;
  std::string m_library_prefix;
  std::string m_address;
  std::thread m_accept_thread;
  HttpWorkerPool m_pool;
  std::atomic<bool> m_draining{false};
  std::atomic<bool> m_listener_closed{false};
  std::atomic<Duration::rep> m_idle_until{0};
  std::atomic<std::uint64_t> m_accepted{0};
  std::mutex m_sockets_mutex;
  std::set<int> m_sockets;
};

HttpServer::HttpServer(HttpServerOptions options, Handler handler, ErrorHandler error_handler)
    : m_impl(std::make_unique<Impl>(std::move(options), std::move(handler),
                                    std::move(error_handler))) {}
HttpServer::~HttpServer() = default;

bool HttpServer::IsKeyedRequest() { return t_request.keyed; }
httplib::Server* HttpServer::Library() { return m_impl.get(); }
void HttpServer::SetLibraryPrefix(std::string prefix) {
  m_impl->SetLibraryPrefix(std::move(prefix));
}
Status HttpServer::Start() { return m_impl->Start(); }
std::string HttpServer::Address() const { return m_impl->Address(); }
void HttpServer::BeginDrain(milliseconds idle_grace) { m_impl->BeginDrain(idle_grace); }
void HttpServer::CloseListener() { m_impl->CloseListener(); }
bool HttpServer::WaitIdle(TimePoint deadline) { return m_impl->WaitIdle(deadline); }
void HttpServer::Stop(TimePoint deadline) { m_impl->StopNow(deadline); }
HttpServerCounters HttpServer::Counters() const { return m_impl->Counters(); }

}  // namespace corneltray
