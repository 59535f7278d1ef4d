#ifndef CORNELTRAY_HTTP_CALLER_CONNECTION_H_
#define CORNELTRAY_HTTP_CALLER_CONNECTION_H_

#include <array>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "corneltray/http_listener.h"
#include "corneltray/http_reader.h"

namespace corneltray {

// A connection that holds no more than this is read also under pressure, so that small requests
// are still served.
constexpr std::size_t kAlwaysReadBytes = std::size_t{24} * 1024;

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
  void SetBudget(Door door, std::shared_ptr<DoorBudget> budget);
  // Counts a connection that the listener closes, or whose request it refuses.
  void RecordClosed(CloseReason reason, std::size_t held_bytes);
  // Closes connections while what they hold is critical.
  void RelievePressure();

  HttpListenerLimits limits;
  HttpListenerCounters counters;
  std::shared_ptr<DoorBudget> budget = MakeDefaultDoorBudget();
  std::set<std::shared_ptr<HttpCallerConnection>> connections;
  // What one read of a connection takes. Shared by all: it holds nothing between two reads.
  std::array<char, std::size_t{64} * 1024> read_buffer;
  bool Draining() const { return m_draining; }

 private:
  // Connections closed for one reason since the last line of the log.
  struct Closings {
    std::uint64_t connections = 0;
    std::size_t held_bytes = 0;
  };

  void CloseHeaviest(std::size_t excess, std::size_t small_bytes);
  // Makes room for a new connection. Returns whether there is any.
  bool CloseStalest();
  void LogClosings();
  void Accept();
  void AcceptPending();
  void AddConnection(asio::ip::tcp::socket socket);
  void PlanSweep();
  void Sweep();

  Door m_door = Door::kCallers;
  std::map<CloseReason, Closings> m_closings;
  bool m_is_high_since_sweep = false;
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
  // Returns why the connection is to be closed, if the caller has taken longer than the limits
  // allow. Called in regular intervals.
  std::optional<CloseReason> Overdue(TimePoint now);

  // What the connection holds, and how it fares.
  HeldConnection Held() const;
  TimePoint LastProgressAt() const { return m_last_progress_at; }
  void AgeProgress() { m_progress_bytes /= 2; }
  // Gives up what the connection holds: refuses a request that is not read to its end, or closes.
  void Relieve();
  // Goes on reading after a pause that was due to the pressure on the listener.
  void ResumeReading();

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

  // Bytes that the caller has to move until a deadline.
  struct ProgressWindow {
    TimePoint ends_at{};
    std::size_t bytes = 0;
  };

  // Whether it waits for a request of which nothing has arrived, or for the caller to close.
  bool IsQuiet() const;
  // Whether bytes of a further request have arrived, read or not.
  bool HasFurtherInput() const;
  bool HasUnreadBytes() const;
  bool MustPause() const;
  std::size_t HeldBytes() const;
  void Account() { m_charge.Update(HeldBytes()); }
  void Read();
  void OnReadable();
  void OnRead(std::string_view bytes);
  // Reads the current request from what was kept and the new bytes, and keeps the rest.
  void ReadRequest(std::string_view bytes);
  Result<std::size_t> Consume(std::string_view bytes);
  void GrowBody(std::size_t bytes);
  std::size_t AnnouncedLength() const;
  TimePoint BodyDeadline();
  bool CheckSizes();
  std::optional<CloseReason> OverdueReader(TimePoint now);
  bool IsBodySlow(TimePoint now);
  std::size_t MinWindowBytes() const;
  void StartServing();
  void Refuse(int status);
  void Send(std::string_view bytes);
  void Flush();
  void ReleaseSent();
  void WaitWritable();
  void OnDrained();
  void FinishServing();
  // Reads the next request from what was kept, and goes on reading.
  void NextRequest();
  void ReleaseBody();

  std::shared_ptr<HttpListener::Impl> m_listener;
  asio::ip::tcp::socket m_socket;
  HttpReader m_reader;
  State m_state = State::kReading;
  std::string m_input;  // read beyond the current request
  bool m_read_pending = false;
  bool m_paused = false;  // not read, because of the pressure on the listener
  MemoryCharge m_charge;
  std::size_t m_progress_bytes = 0;  // moved lately
  TimePoint m_last_progress_at{};
  HttpHead m_head;
  std::string m_body;
  std::size_t m_head_bytes = 0;     // memory of m_head
  std::size_t m_dropped_bytes = 0;  // of a body that the handler does not use
  std::uint64_t m_number = 0;
  TimePoint m_read_at{};
  TimePoint m_opened_at{};
  std::optional<TimePoint> m_body_deadline;  // of the request that is being read
  ProgressWindow m_body_window;
  std::optional<ProgressWindow> m_answer_window;  // while the caller is behind with reading
  std::size_t m_lingered_bytes = 0;               // dropped after the last answer
  TimePoint m_idle_since{};                       // of the last answer, or of the start
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
