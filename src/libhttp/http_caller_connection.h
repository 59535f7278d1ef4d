#ifndef CORNELTRAY_HTTP_CALLER_CONNECTION_H_
#define CORNELTRAY_HTTP_CALLER_CONNECTION_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "corneltray/http_listener.h"
#include "corneltray/http_reader.h"

namespace corneltray {

// Shared by the listener and its connections, which may outlive it for a moment.
class HttpListener::Impl : public std::enable_shared_from_this<HttpListener::Impl> {
 public:
  Impl(asio::io_context* io, Handler handler);

  Status Listen(const std::string& address);
  std::string Address() const;
  void BeginDrain() { m_draining = true; }
  void CloseIdle();
  void CloseListener();
  void CloseAll();
  HttpListenerCounters Counters() const;

  asio::io_context* io;
  Handler handler;
  HttpListenerLimits limits;
  HttpListenerCounters counters;
  std::size_t buffered_bytes = 0;  // of request bodies
  std::set<std::shared_ptr<HttpCallerConnection>> connections;
  bool Draining() const { return m_draining; }

 private:
  void Accept();
  void AcceptPending();
  void AddConnection(asio::ip::tcp::socket socket);
  void PlanSweep();
  void Sweep();

  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_accept_timer;
  asio::steady_timer m_sweep_timer;
  bool m_sweep_planned = false;
  bool m_draining = false;
  bool m_closes_idle = false;
};

// One connection of a caller.
class HttpCallerConnection : public std::enable_shared_from_this<HttpCallerConnection> {
 public:
  HttpCallerConnection(std::shared_ptr<HttpListener::Impl> listener, asio::ip::tcp::socket socket);

  void Start();
  void Close();
  // Whether closing the connection cuts off nothing: no request is in progress, partly read or
  // waiting to be read, and every answer is sent.
  bool Idle() const;
  // Whether the end of the process would cut off a request or an answer.
  bool Unfinished() const { return m_state != State::kClosed && (Unsent() > 0 || !IsQuiet()); }
  bool Busy() const { return m_state == State::kServing; }
  // Whether the caller has taken longer than the limits allow.
  bool Expired(TimePoint now) const;

  // Of the request in progress; see HttpCall.
  std::uint64_t Number() const { return m_number; }
  bool Serving() const { return m_state == State::kServing; }
  const HttpHead& Head() const { return m_head; }
  const std::string& Body() const { return m_body; }
  TimePoint ReadAt() const { return m_read_at; }
  void SetGoneHandler(std::function<void()> handler) { m_on_gone = std::move(handler); }
  void SetDrainedHandler(std::function<void()> handler) { m_on_drained = std::move(handler); }
  void Respond(HttpHead head, std::string_view body);
  void Begin(HttpHead head);
  void Write(std::string_view bytes);
  void End();
  bool Begun() const { return m_begun; }
  std::size_t Unsent() const { return m_output.size() - m_output_at; }

 private:
  enum class State { kReading, kServing, kClosing, kClosed };

  // Whether it waits for a request of which nothing has arrived, or for the caller to close.
  bool IsQuiet() const;
  void Read();
  void OnRead(std::size_t bytes);
  void ReadRequest();
  std::size_t AnnouncedLength() const;
  TimePoint BodyDeadline();
  bool CheckSizes();
  void StartServing();
  void Refuse(int status);
  void Send(std::string_view bytes);
  void Flush();
  void WaitWritable();
  void FinishServing();
  void ReleaseBody();

  std::shared_ptr<HttpListener::Impl> m_listener;
  asio::ip::tcp::socket m_socket;
  HttpReader m_reader;
  State m_state = State::kReading;
  std::array<char, 8192> m_chunk;
  std::string m_input;  // read beyond the current request
  bool m_read_pending = false;
  HttpHead m_head;
  std::string m_body;
  std::size_t m_counted_body = 0;
  std::uint64_t m_number = 0;
  TimePoint m_read_at{};
  TimePoint m_opened_at{};
  std::optional<TimePoint> m_body_deadline;  // of the request that is being read
  TimePoint m_deadline{};  // of the caller: to finish its head, or to send another request
  bool m_continue_sent = false;
  bool m_begun = false;
  bool m_chunked = false;
  bool m_no_body = false;  // the request allows the answer no body
  bool m_keep_alive = true;
  std::string m_output;
  std::size_t m_output_at = 0;
  bool m_write_pending = false;
  std::function<void()> m_on_gone;
  std::function<void()> m_on_drained;
};

}  // namespace corneltray

#endif  // CORNELTRAY_HTTP_CALLER_CONNECTION_H_
