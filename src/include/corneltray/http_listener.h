#ifndef CORNELTRAY_HTTP_LISTENER_H_
#define CORNELTRAY_HTTP_LISTENER_H_

#include <asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "corneltray/http_head.h"
#include "corneltray/memory_budget.h"
#include "corneltray/result.h"
#include "corneltray/time.h"

namespace corneltray {

// What a caller may send and how long it may take. Zero means no limit.
struct HttpListenerLimits {
  std::size_t max_head_bytes = std::size_t{16} * 1024;
  std::size_t max_body_bytes = std::size_t{4} * 1024 * 1024;
  Duration head_timeout = std::chrono::seconds(3);
  Duration idle_timeout = std::chrono::seconds(15);
  // Whether the handler uses bodies. If not, they are read and dropped.
  bool keeps_bodies = true;
};

class HttpCallerConnection;

// One request that was read whole, and the way to answer it. Copies share the request. Once the
// caller is gone every call is ignored. Used on the thread of the io_context only.
class HttpCall {
 public:
  HttpCall(std::shared_ptr<HttpCallerConnection> connection, std::uint64_t number);

  const HttpHead& Head() const;
  const std::string& Body() const;
  TimePoint ReadAt() const;  // when its last byte was read

  // Whether the caller still waits for the answer.
  bool IsOpen() const;
  // Called once when the caller closes or resets the connection before the answer is complete.
  void OnCallerGone(std::function<void()> handler) const;
  // Called when bytes that waited for a slow caller have been written.
  void OnDrained(std::function<void()> handler) const;

  // Answers with a whole body.
  void Respond(HttpHead head, std::string_view body) const;
  // Starts an answer whose body follows in parts. With a Content-Length field in the head the body
  // has that length; otherwise it is sent in chunks.
  void Begin(HttpHead head) const;
  void Write(std::string_view bytes) const;
  // Ends the answer as complete.
  void End() const;
  // Closes the connection, so that an answer that was begun is seen to be incomplete.
  void Abort() const;

  bool Begun() const;
  // Bytes that wait for the caller to read.
  std::size_t Unsent() const;

 private:
  HttpCallerConnection* Current() const;

  std::shared_ptr<HttpCallerConnection> m_connection;
  std::uint64_t m_number;  // of the request on its connection
};

struct HttpListenerCounters {
  std::uint64_t accepted = 0;
  std::uint64_t malformed = 0;
  std::uint64_t refused = 0;  // over a limit
  std::size_t open = 0;
  std::size_t busy = 0;        // with a request in progress
  std::size_t unfinished = 0;  // with a request that is not read, or an answer that is not sent
};

// Accepts connections of callers and reads their requests, without a thread for each. Requests on
// one connection are answered one after the other. Counts what its connections hold, and when that
// is too much closes those that hold most for the least progress. Not thread safe: lives on one
// io_context.
class HttpListener {
 public:
  using Handler = std::function<void(const HttpCall& call)>;

  HttpListener(asio::io_context* io, Handler handler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Binds IP:PORT and accepts. Fails with the error of the system.
  Status Listen(const std::string& address);
  // The bound address IP:PORT.
  std::string Address() const;
  void SetLimits(const HttpListenerLimits& limits);
  // The part of this listener in the budget of the process. Call before Listen.
  void SetBudget(Door door, std::shared_ptr<DoorBudget> budget);

  // From now on every answer ends its connection.
  void BeginDrain();
  // Closes connections that carry no request.
  void CloseIdle();
  // Stops accepting. Connections that the system has completed by then are still served.
  void CloseListener();
  // Closes every connection.
  void CloseAll();

  HttpListenerCounters Counters() const;

 private:
  friend class HttpCallerConnection;
  class Impl;
  std::shared_ptr<Impl> m_impl;
};

// Reads "IP:PORT". Returns false on any other text.
bool SplitAddress(const std::string& address, std::string* ip, std::uint16_t* port);

}  // namespace corneltray

#endif  // CORNELTRAY_HTTP_LISTENER_H_
